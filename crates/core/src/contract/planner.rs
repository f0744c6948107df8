//! Interface between the steward, which knows the recorded state, and the scheduling policy, which
//! decides on placements and preemptions.

pub mod weighted;

use crate::clock::Millis;
use crate::contract::configuration::Configuration;
use crate::contract::job::Job;
use crate::contract::kind::Kind;
use crate::contract::metrics::Counters;
use crate::contract::share::Totals;
use crate::contract::status::Refusal;
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::machine::controller::WorkerStatus;
use crate::machine::health::Failure;
use crate::machine::worker::Ended;
use crate::name::Name;

/// A decision of the policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Place all of these tasks, or none. Has several elements only for a gang.
    Place(Vec<Placement>),
    /// Checkpoint and stop a running task, to free capacity for more urgent work.
    Preempt {
        /// The task to stop.
        task: task::Id,
        /// The worker on which it runs.
        worker: Name,
    },
}

/// Assignment of a task to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The task to place.
    pub task: task::Id,
    /// The worker that should run it.
    pub worker: Name,
    /// Capacity to reserve: the declared need or an estimate.
    pub needs: Capacity,
}

/// A scheduling policy. Implementations do no I/O and read no clock: the caller passes the time.
pub trait Planner: Send {
    /// Applies a configuration.
    fn configure(&mut self, configuration: &Configuration);

    /// Applies a controller's report on its worker.
    fn update_worker(&mut self, status: &WorkerStatus, now: Millis);

    /// Removes a worker that has left the fleet.
    fn forget(&mut self, worker: &Name);

    /// Checks whether a job can be accepted.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no worker could ever run the job, or if too much work is queued.
    fn admit(
        &self,
        job: &Job,
        kind: &Kind,
        configuration: &Configuration,
        now: Millis,
    ) -> Result<(), Refusal>;

    /// Adds a waiting task of a job that was accepted at `at`.
    fn enqueue(&mut self, job: &Job, kind: &Kind, task: &task::Id, at: Millis);

    /// Removes a task whose job was cancelled, or that has been placed or ended by another record.
    fn withdraw(&mut self, task: &task::Id, now: Millis);

    /// Handles that a controller has reserved the capacity of a decided placement.
    fn reserved(&mut self, placement: &Placement, now: Millis);

    /// Handles that an attempt is recorded, by this instance or by an earlier steward.
    fn placed(&mut self, job: &Job, kind: &Kind, placement: &Placement, now: Millis);

    /// Handles that a decided placement failed. The task waits again.
    fn refused(&mut self, placement: &Placement, now: Millis);

    /// Handles the end of an attempt. The caller enqueues the task again if it must run again.
    fn over(&mut self, task: &task::Id, worker: &Name, ended: Option<&Ended>, now: Millis);

    /// Returns the decisions to carry out now, about `limit` at most: a gang is never split.
    fn decide(&mut self, now: Millis, limit: usize) -> Vec<Decision>;

    /// Returns the usage and demand of this instance's teams, to be sent to the peers.
    fn totals(&self) -> Totals;

    /// Drains the task failures since the last call, to be sent to the peers.
    fn drain_failures(&mut self) -> Vec<Failure>;

    /// Applies a peer's usage and demand.
    fn update_peer_totals(&mut self, peer: &Name, totals: &Totals, now: Millis);

    /// Applies a task failure that a peer observed.
    fn record_peer_failure(&mut self, failure: &Failure, now: Millis);

    /// Returns the counters since the start of the process.
    fn counters(&self) -> Counters;

    /// Returns the total and the free capacity of the known workers.
    fn packing(&self) -> (Capacity, Capacity);

    /// Removes jobs whose partition has moved to another steward.
    fn drop_jobs(&mut self, jobs: &[Name]);
}
