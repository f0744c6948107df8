//! Reservations for blocked work, and backfilling of reserved capacity.

use super::Scheduler;
use crate::clock::Millis;
use crate::contract::gang::{MAX_RESERVATIONS, Opening, Reservation};
use crate::contract::table::{Number, Place as TaskPlace};
use crate::machine::capacity::Capacity;
use crate::machine::placement::Handle;

/// Time for which work must have waited before it may hold a reservation.
const RESERVE_AFTER: Millis = Millis::from_secs(10);
/// Maximum number of workers considered for one reservation.
const MAX_WORKERS: usize = 2048;

impl Scheduler {
    /// Plans a reservation for a job that has been blocked for [`RESERVE_AFTER`], unless it has one
    /// or the limit of reservations is reached.
    pub(super) fn reserve(&mut self, job: Number, needs: &Capacity, since: Millis, now: Millis) {
        let held = self.reservations.iter().any(|r| r.job == job);
        let early = now.since(since) < RESERVE_AFTER;
        if held || early || self.reservations.len() >= MAX_RESERVATIONS {
            return;
        }
        let Some(entry) = self.table.get(job) else { return };
        let tasks = if entry.policy.is_together() { entry.waiting as usize } else { 1 };
        let openings = self.openings(needs, tasks, now);
        if let Some(reservation) = Reservation::plan(job, needs, tasks, openings, now) {
            for part in &reservation.parts {
                self.view.hold(part.worker, &part.needs);
            }
            self.counters.reservations += 1;
            self.reservations.push(reservation);
        }
    }

    /// Ends the reservations for which `over` returns true, and releases their capacity.
    pub(super) fn drop_reservations(&mut self, over: impl Fn(&Reservation) -> bool) {
        for i in (0..self.reservations.len()).rev() {
            if over(&self.reservations[i]) {
                let reservation = self.reservations.swap_remove(i);
                for part in &reservation.parts {
                    self.view.unhold(part.worker, &part.needs);
                }
            }
        }
    }

    /// Returns the total capacity held by the reservations for which `of` returns true.
    pub(super) fn held(&self, of: impl Fn(&Reservation) -> bool) -> Capacity {
        let parts = self.reservations.iter().filter(|r| of(r)).flat_map(|r| &r.parts);
        parts.fold(Capacity::ZERO, |sum, part| sum.plus(&part.needs))
    }

    /// Returns a worker on which the job's own reservation has enough free capacity now.
    pub(super) fn reserved_room(&self, job: Number, needs: &Capacity) -> Option<Handle> {
        let reservation = self.reservations.iter().find(|r| r.job == job)?;
        let fits =
            |handle: Handle| self.view.available_with(handle, &reservation.on(handle)).holds(needs);
        reservation.parts.iter().map(|p| p.worker).find(|&handle| fits(handle))
    }

    /// Returns a worker whose reserved capacity a task can use, given that the task is expected to
    /// end at `ends`, before the reservation starts.
    pub(super) fn backfill(&mut self, needs: &Capacity, ends: Millis) -> Option<Handle> {
        let before = self.reservations.iter().filter(|r| ends <= r.starts);
        let found = before
            .flat_map(|r| &r.parts)
            .find(|part| self.view.available_with(part.worker, &part.needs).holds(needs))
            .map(|part| part.worker);
        self.counters.backfilled += u64::from(found.is_some());
        found
    }

    /// Returns when workers are expected to have room for tasks of size `needs`, at most `tasks`
    /// openings per worker, derived from the expected ends of this steward's own tasks.
    fn openings(&self, needs: &Capacity, tasks: usize, now: Millis) -> Vec<Opening> {
        let mut openings = Vec::new();
        for (rank, (worker, machine)) in self.view.workers().take(MAX_WORKERS).enumerate() {
            if !self.view.is_usable(worker) || !machine.capacity.holds(needs) {
                continue;
            }
            let mut room = self.view.available(worker);
            let mut found = 0;
            let mut open = |room: &Capacity, at: Millis| {
                while found < tasks && room.holds(&needs.times(found as u64 + 1)) {
                    found += 1;
                    openings.push(Opening { at, rank, worker });
                }
            };
            open(&room, now);
            for (ends, freed) in self.ends(worker) {
                room = room.plus(&freed);
                open(&room, ends.max(now));
            }
        }
        openings
    }

    /// Returns the expected ends of this steward's tasks on a worker, the earliest first.
    fn ends(&self, worker: Handle) -> Vec<(Millis, Capacity)> {
        let running = self.running.get(worker as usize).into_iter().flatten();
        let mut ends: Vec<(Millis, Capacity)> = running
            .filter_map(|&(number, index)| {
                match self.table.get(number)?.tasks.get(index as usize)? {
                    TaskPlace::Placed(claim) => Some((claim.ends, claim.needs)),
                    _ => None,
                }
            })
            .collect();
        ends.sort_unstable();
        ends
    }
}
