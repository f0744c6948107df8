//! Reservations of capacity for gangs and large tasks that can't be placed at once.
//!
//! Blocked gangs that each hold part of the capacity they need could deadlock. To prevent this, a
//! steward holds a bounded number of reservations, reservations expire, and their parts are taken
//! in the order of the workers' names: of two gangs that need the same workers, one gets the first
//! of them and the other none. No task starts before all parts are free. Then all are claimed in
//! one step, and if a controller refuses one, the claims of the whole group are released.

use crate::clock::Millis;
use crate::contract::table::Number;
use crate::machine::capacity::Capacity;
use crate::machine::placement::Handle;

/// Maximum number of reservations that a steward holds at the same time.
pub const MAX_RESERVATIONS: usize = 1;
/// Time after its expected start at which a reservation expires.
const GRACE: Millis = Millis::from_secs(30);
/// Maximum lifetime of a reservation.
const MAX_LIFETIME: Millis = Millis::from_secs(600);
/// Base of the back-off after a failed attempt to place a gang.
const MIN_BACKOFF: Millis = Millis(100);

/// Capacity reserved on one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Handle of the worker.
    pub worker: Handle,
    /// Capacity reserved there.
    pub needs: Capacity,
}

/// A reservation of capacity on one or more workers for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The job that may use the capacity.
    pub job: Number,
    /// One part per worker, sorted by the workers' names.
    pub parts: Vec<Part>,
    /// When all parts are expected to be free.
    pub starts: Millis,
    /// When the reservation is dropped.
    pub expires: Millis,
}

/// Expected time at which a worker has capacity for one more task of a blocked job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opening {
    /// When the capacity is expected to be free.
    pub at: Millis,
    /// Position of the worker in the order of names.
    pub rank: usize,
    /// Handle of the worker.
    pub worker: Handle,
}

impl Reservation {
    /// Plans a reservation for `tasks` tasks of size `needs` from the earliest openings. Returns
    /// `None` if there are fewer openings than tasks.
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
        let expires = (starts + GRACE).min(now + MAX_LIFETIME);
        Some(Self { job, parts, starts, expires })
    }

    /// Returns the capacity reserved on a worker.
    pub fn on(&self, worker: Handle) -> Capacity {
        let part = self.parts.iter().find(|p| p.worker == worker);
        part.map_or(Capacity::ZERO, |p| p.needs)
    }
}

/// Returns the back-off of a gang that could not be placed. It is jittered per job, so that of two
/// gangs that block each other one can succeed.
pub fn backoff(job: Number, tries: u32) -> Millis {
    let jitter = u64::from(job.wrapping_mul(0x9e37_79b9) >> 24);
    MIN_BACKOFF.times(1 << tries.min(6)) + Millis(jitter * (1 << tries.min(4)))
}

#[cfg(test)]
mod tests;
