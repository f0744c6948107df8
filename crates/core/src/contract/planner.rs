//! The border between the steward, which knows what is recorded, and the policy, which decides
//! what should be placed where.

pub mod weighted;

use crate::clock::Millis;
use crate::contract::configuration::Configuration;
use crate::contract::job::Job;
use crate::contract::kind::Kind;
use crate::contract::measure::Counters;
use crate::contract::share::Totals;
use crate::contract::status::Refusal;
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::machine::controller::Standing;
use crate::machine::health::Failure;
use crate::machine::worker::Ended;
use crate::name::Name;

/// What the policy wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Place these tasks, all of them or none. More than one only for a gang.
    Place(Vec<Placement>),
    /// Checkpoint a running task, so that something more urgent fits.
    Preempt {
        /// The task.
        task: task::Id,
        /// The worker on which it runs.
        worker: Name,
    },
}

/// One task on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: task::Id,
    /// The worker.
    pub worker: Name,
    /// Capacity to be reserved, which may differ from the declared need.
    pub needs: Capacity,
}

/// A policy. It never sees a socket or a clock.
pub trait Planner: Send {
    /// Takes in a configuration.
    fn configure(&mut self, configuration: &Configuration);

    /// Takes in what a controller says of its worker.
    fn stand(&mut self, standing: &Standing, now: Millis);

    /// Forgets a worker that has left the fleet.
    fn forget(&mut self, worker: &Name);

    /// Says whether a job may be accepted.
    ///
    /// # Errors
    ///
    /// Returns why not: nothing could ever hold it, or too much waits.
    fn admit(
        &self,
        job: &Job,
        kind: &Kind,
        configuration: &Configuration,
        now: Millis,
    ) -> Result<(), Refusal>;

    /// Adds a waiting task, which was accepted at `at`.
    fn enqueue(&mut self, job: &Job, kind: &Kind, task: &task::Id, at: Millis);

    /// Removes a waiting task, whose job was cancelled or which turned out to be over.
    fn withdraw(&mut self, task: &task::Id, now: Millis);

    /// Takes in that a controller holds the capacity of a decided placement.
    fn reserved(&mut self, placement: &Placement, now: Millis);

    /// Takes in that a task is recorded as placed, by this instance or by an earlier steward.
    fn placed(&mut self, job: &Job, kind: &Kind, placement: &Placement, now: Millis);

    /// Takes in that a decided placement did not come about; the task waits again.
    fn refused(&mut self, placement: &Placement, now: Millis);

    /// Takes in that a placed task is over. It is enqueued again if it must run again.
    fn over(&mut self, task: &task::Id, worker: &Name, ended: Option<&Ended>, now: Millis);

    /// Decides at most `limit` placements.
    fn decide(&mut self, now: Millis, limit: usize) -> Vec<Decision>;

    /// Returns what this instance's teams use and wait for, to be told to peers.
    fn totals(&self) -> Totals;

    /// Returns the failures since the last call, to be told to peers soon.
    fn take_news(&mut self) -> Vec<Failure>;

    /// Takes in what a peer's teams use and wait for.
    fn hear_totals(&mut self, peer: &Name, totals: &Totals, now: Millis);

    /// Takes in a failure that a peer saw.
    fn hear_failure(&mut self, failure: &Failure, now: Millis);

    /// Returns what was counted since the start.
    fn counters(&self) -> Counters;

    /// Returns the capacity of the fleet in view, and what is free of it.
    fn packing(&self) -> (Capacity, Capacity);

    /// Drops jobs whose partition another instance is the steward of from now on.
    fn drop_jobs(&mut self, jobs: &[Name]);
}
