//! The scheduling policies that the experiments compare, behind one trait.

pub mod baseline;
pub mod partitioned;

use crate::load::JobSpec;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::admission::Refusal;
use pimentovalve_core::contract::scheduler::Decision;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{Ending, Worker};

/// Reply of a worker's controller to the reservation of one placement.
#[derive(Clone, Copy, Debug)]
pub struct ReservationReply<'a> {
    /// Whether the capacity was reserved.
    pub granted: bool,
    /// The worker that the placement named.
    pub worker: &'a Worker,
    /// Unreserved capacity of the worker after the reply.
    pub free: &'a Capacity,
}

/// A scheduling policy. The simulation notifies it of events and calls it for decisions.
pub trait SchedulingPolicy {
    /// Handles a worker's report of its free capacity, taken at `at`.
    fn worker_reported(&mut self, worker: &Worker, free: &Capacity, at: Millis);

    /// Stops placing work on a worker that is lost, until it reports again.
    fn worker_lost(&mut self, worker: &Worker);

    /// Accepts a job and queues its tasks, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal.
    fn submit(&mut self, spec: &JobSpec, now: Millis) -> Result<(), Refusal>;

    /// Queues tasks of an accepted job again after an attempt that did not complete.
    fn requeue(&mut self, spec: &JobSpec, tasks: &[u32], now: Millis);

    /// Removes the queued tasks of a job. Its running attempts end separately, through
    /// [`SchedulingPolicy::attempt_ended`].
    fn cancel(&mut self, spec: &JobSpec);

    /// Handles the reply to the reservation of a placement. A refused task waits again.
    fn reservation_answered(
        &mut self,
        spec: &JobSpec,
        task: u32,
        reply: &ReservationReply<'_>,
        now: Millis,
    );

    /// Handles the measured usage of a running task.
    fn usage_observed(&mut self, _spec: &JobSpec, _task: u32, _usage: &Capacity) {}

    /// Handles the end of an attempt, which ran for `ran`.
    fn attempt_ended(
        &mut self,
        spec: &JobSpec,
        task: u32,
        ending: &Ending,
        ran: Millis,
        now: Millis,
    );

    /// Exchanges usage totals among the schedulers of a partitioned policy; called every second.
    fn exchange_totals(&mut self, _now: Millis) {}

    /// Returns the number of queued tasks.
    fn waiting_tasks(&self) -> u64;

    /// Returns the placements and preemptions to apply now.
    fn decide(&mut self, now: Millis) -> Vec<Decision>;
}
