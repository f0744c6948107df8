//! What is compared: schedulers behind one trait.

pub mod baseline;
pub mod partitioned;

use crate::load::JobSpec;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::admission::Refusal;
use pimentovalve_core::contract::scheduler::Decision;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{Ending, Worker};

/// A controller's answer to a claim.
#[derive(Clone, Copy, Debug)]
pub struct ReservationReply<'a> {
    /// Whether the claim was granted.
    pub granted: bool,
    /// The worker.
    pub worker: &'a Worker,
    /// What is free on it now.
    pub free: &'a Capacity,
}

/// A way to place work. It is told of events and asked for decisions.
pub trait SchedulingPolicy {
    /// Takes in a report of a worker, made at `at`.
    fn worker_reported(&mut self, worker: &Worker, free: &Capacity, at: Millis);

    /// Takes out a worker that is lost.
    fn worker_lost(&mut self, worker: &Worker);

    /// Takes a job, or refuses it.
    ///
    /// # Errors
    ///
    /// Returns why it was refused.
    fn submit(&mut self, spec: &JobSpec, now: Millis) -> Result<(), Refusal>;

    /// Queues tasks again that didn't run to their end.
    fn requeue(&mut self, spec: &JobSpec, tasks: &[u32], now: Millis);

    /// Cancels a job.
    fn cancel(&mut self, spec: &JobSpec);

    /// Notes that a claim was granted or refused; the answer tells what is free on the worker.
    fn reservation_answered(
        &mut self,
        spec: &JobSpec,
        task: u32,
        answer: &ReservationReply<'_>,
        now: Millis,
    );

    /// Takes in the usage of a running task.
    fn usage_observed(&mut self, _spec: &JobSpec, _task: u32, _usage: &Capacity) {}

    /// Notes the end of an attempt.
    fn attempt_ended(
        &mut self,
        spec: &JobSpec,
        task: u32,
        ending: &Ending,
        ran: Millis,
        now: Millis,
    );

    /// Lets the parts tell each other what they know; called every second.
    fn exchange_totals(&mut self, _now: Millis) {}

    /// Returns the number of tasks that wait.
    fn waiting_tasks(&self) -> u64;

    /// Decides what is to be done now.
    fn decide(&mut self, now: Millis) -> Vec<Decision>;
}
