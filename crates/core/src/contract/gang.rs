//! Reservations: room that is kept for a gang, or for a large task, which finds none at once.
//!
//! Several blocked gangs, each holding part of what it needs, would wait for each other for
//! ever. So a steward holds few reservations, they expire, and the parts are taken in the order
//! of the workers' names: of two gangs that want the same workers, one gets the first and the
//! other nothing. No task starts before all parts are free; then all are claimed in one step, and
//! the controllers grant all or the whole group is released.

use crate::clock::Millis;
use crate::contract::table::Number;
use crate::machine::capacity::Capacity;
use crate::machine::placement::Handle;

/// Reservations of a steward at a time.
pub const RESERVATIONS: usize = 1;
/// Time after the expected start for which a reservation is kept.
const GRACE: Millis = Millis::from_secs(30);
/// Longest life of a reservation.
const LIFE: Millis = Millis::from_secs(600);
/// Shortest pause after a failed try to place a gang.
const BACKOFF: Millis = Millis(100);

/// Room kept on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The worker.
    pub worker: Handle,
    /// What is kept there.
    pub needs: Capacity,
}

/// A reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The job for which the room is kept.
    pub job: Number,
    /// One part per worker, in the order of the workers' names.
    pub parts: Vec<Part>,
    /// When the room is expected to be free.
    pub starts: Millis,
    /// When it is given up.
    pub expires: Millis,
}

/// When a worker has room for one more task of the blocked work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opening {
    /// When the room is expected.
    pub at: Millis,
    /// Rank of the worker by name.
    pub rank: usize,
    /// The worker.
    pub worker: Handle,
}

impl Reservation {
    /// Plans a reservation for `tasks` tasks of size `needs` from the openings that come first.
    /// Returns `None` when there are too few.
    pub fn plan(
        job: Number,
        needs: &Capacity,
        tasks: usize,
        mut openings: Vec<Opening>,
        now: Millis,
    ) -> Option<Self> {
        openings.sort_unstable_by_key(|o| (o.at, o.rank));
        openings.truncate(tasks);
        let starts = openings.last().filter(|_| openings.len() == tasks)?.at.max(now);
        openings.sort_unstable_by_key(|o| o.rank);
        let mut parts: Vec<Part> = Vec::new();
        for Opening { worker, .. } in openings {
            match parts.last_mut().filter(|part| part.worker == worker) {
                Some(part) => part.needs = part.needs.plus(needs),
                None => parts.push(Part { worker, needs: *needs }),
            }
        }
        let expires = (starts + GRACE).min(now + LIFE);
        Some(Self { job, parts, starts, expires })
    }

    /// Returns what is kept on a worker.
    pub fn on(&self, worker: Handle) -> Capacity {
        let part = self.parts.iter().find(|p| p.worker == worker);
        part.map_or(Capacity::ZERO, |p| p.needs)
    }
}

/// Returns how long a gang that could not be placed pauses. The pauses of two gangs that refuse
/// each other differ, so that one of them gets through.
pub fn backoff(job: Number, tries: u32) -> Millis {
    let jitter = u64::from(job.wrapping_mul(0x9e37_79b9) >> 24);
    BACKOFF.times(1 << tries.min(6)) + Millis(jitter * (1 << tries.min(4)))
}

#[cfg(test)]
mod tests;
