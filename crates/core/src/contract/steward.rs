//! The steward of partitions: accepts jobs, places their tasks and claims idempotency keys.
//!
//! A record must be accepted in the partition's stream before the steward acts on it, and of two
//! conflicting records only the first is accepted. Two instances that both consider themselves the
//! steward are therefore safe. [`Steward::tick`] derives the pending work from the replayed state
//! (the [`Replica`]), so that a new steward resumes whatever its predecessor left unfinished. Model:
//! `specs/attempt.tla`, `specs/claim.tla`.

mod ask;
mod place;
#[cfg(test)]
mod tests;

use crate::clock::Millis;
use crate::contract::configuration::Configuration;
use crate::contract::job::{self, Job};
use crate::contract::planner::Planner;
use crate::contract::request::{self, Answer, Request};
use crate::contract::status::{self, Refusal};
use crate::contract::task;
use crate::ledger::attempt::LossReadTimes;
use crate::ledger::fleet::Fleet;
use crate::ledger::record::{self, Change, Record, Register};
use crate::ledger::replica::Replica;
use crate::ledger::{Offset, Stream, Verdict};
use crate::machine::controller::{Ending, Grant, Operation, WorkerStatus};
use crate::machine::lease::Bounds;
use crate::name::Name;
use serde::{Deserialize, Serialize};

pub use place::Flight;

/// Number by which the answer to a query ([`Query`]) is matched to its sender.
pub type Ticket = u64;

/// A query of an entry instance to the steward of a team's partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Query {
    /// Accept a job.
    Submit(Job),
    /// Return the state of a job.
    Status {
        /// The team of the job.
        team: Name,
        /// Id of the job.
        job: job::Id,
    },
    /// Cancel a job.
    Cancel {
        /// The team of the job.
        team: Name,
        /// Id of the job.
        job: job::Id,
    },
    /// Return the recorded answer to a non-idempotent request.
    Answered {
        /// The team of the request.
        team: Name,
        /// Id of the request.
        request: request::Id,
    },
    /// Claim the key of a non-idempotent request, so that only the sender forwards it, and once.
    Claim {
        /// The request whose id is the key.
        request: Request,
        /// Number of the submission, unique over all instances and their restarts. A repeated
        /// query with the same number is recognised as coming from the claimant.
        sender: u64,
    },
    /// Record the answer to a claimed request.
    Settle {
        /// The team of the request.
        team: Name,
        /// Id of the request.
        request: request::Id,
        /// The answer to record.
        answer: Answer,
    },
    /// Release a held task.
    Release {
        /// The team of the task.
        team: Name,
        /// Id of the task.
        task: task::Id,
        /// The attempt that the operator has found to be over.
        attempt: task::Attempt,
        /// Name of the operator's key.
        operator: Name,
    },
}

impl Query {
    /// Returns the team whose partition must handle the query.
    pub const fn team(&self) -> &Name {
        match self {
            Self::Submit(job) => &job.team,
            Self::Claim { request, .. } => &request.team,
            Self::Status { team, .. }
            | Self::Cancel { team, .. }
            | Self::Answered { team, .. }
            | Self::Settle { team, .. }
            | Self::Release { team, .. } => team,
        }
    }
}

/// Answer to a [`Query`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StewardReply {
    /// The current state of the job.
    Job(status::Job),
    /// The recorded answer to the request, or [`Answer::Unknown`] while there is none.
    Answer(Answer),
    /// The key is claimed for the sender, which must now forward the request, once.
    Claimed,
    /// The answer or the release is recorded.
    Settled,
    /// There is no such job, request or task.
    Nothing,
    /// The query was refused.
    Refused(Refusal),
    /// This instance is not the steward of the partition, or has not replayed it to the end yet.
    Elsewhere,
}

/// An action that the caller of [`Steward`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append a record to a stream.
    Append {
        /// The stream to append to.
        stream: Stream,
        /// The record to append.
        record: Record,
    },
    /// Send a request to the worker's controller; then call [`Steward::granted`].
    Operation(Operation),
    /// Answer a query.
    Answer {
        /// Number of the query.
        ticket: Ticket,
        /// The answer.
        told: StewardReply,
    },
    /// Add to the time line that a record of this instance was replayed.
    RecordEvent {
        /// The stream of the record.
        stream: Stream,
        /// Offset of the record in the stream.
        offset: Offset,
        /// The replayed record.
        record: Record,
        /// Whether replay accepted the record.
        verdict: Verdict,
    },
}

/// Outcome of an append, as far as its writer can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record is in the stream. Its verdict follows when the stream is replayed.
    Landed,
    /// The record is not in the stream and never will be.
    Refused,
    /// The record may be in the stream or may still arrive there, but has not been read yet.
    Unknown,
}

/// A record of this instance that has not been replayed yet.
#[derive(Clone, Debug)]
struct Pending {
    id: record::Id,
    partition: u16,
    register: Register,
    ticket: Option<Ticket>,
}

/// A partition of which this instance is the steward.
#[derive(Clone, Debug)]
struct Partition {
    index: u16,
    replica: Replica,
    /// Whether the stream has been replayed to its end at least once.
    complete: bool,
}

/// Settings of a steward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of partitions of the ledger.
    pub partitions: u16,
    /// Bounds of leases and fencing.
    pub bounds: Bounds,
    /// Time after which a controller drops an unused reservation.
    pub reservation: Millis,
    /// Time after which an unanswered request to a controller is repeated.
    pub repeat: Millis,
    /// Retention of ended jobs and claimed keys. Must be the same at all instances.
    pub window: Millis,
    /// Maximum number of placements in one tick.
    pub round: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            partitions: 16,
            bounds: Bounds::default(),
            reservation: Millis::from_secs(5),
            repeat: Millis::from_secs(2),
            window: Millis::from_secs(3600),
            round: 256,
        }
    }
}

/// Scheduling state of the partitions of which this instance is the steward.
pub struct Steward {
    /// Writer name in this instance's records.
    own: Name,
    config: Config,
    configuration: Configuration,
    /// Whether new work is accepted (the configuration is current and the daemon isn't draining),
    /// or the reason why not.
    open: Result<(), request::Reason>,
    fleet: Fleet,
    /// When this instance first read each worker loss that is in force.
    loss_read_times: LossReadTimes,
    /// Time from which every controller is known to consult this instance before it renews leases.
    consulted_since: Option<Millis>,
    planner: Box<dyn Planner>,
    /// Sorted by index.
    partitions: Vec<Partition>,
    /// Sorted by id.
    pending: Vec<Pending>,
    /// Attempts from their reservation to their recorded end. Sorted by task.
    flights: Vec<Flight>,
    /// When [`Self::follow_up`] last examined all flights.
    followed_up_at: Millis,
    /// Whether the next [`Self::follow_up`] must examine all flights without delay.
    is_follow_up_due: bool,
    /// Latest report on each worker. Sorted by worker.
    statuses: Vec<WorkerStatus>,
    /// Last number given to a record or a gang decision.
    last_number: u64,
    effects: Vec<Effect>,
}

impl Steward {
    /// Returns a steward without partitions. `own` is the writer name in its records.
    pub fn new(own: Name, config: Config, planner: Box<dyn Planner>) -> Self {
        Self {
            own,
            config,
            configuration: Configuration::default(),
            open: Err(request::Reason::Configuration),
            fleet: Fleet::default(),
            loss_read_times: LossReadTimes::default(),
            consulted_since: None,
            planner,
            partitions: Vec::new(),
            pending: Vec::new(),
            flights: Vec::new(),
            followed_up_at: Millis::ZERO,
            is_follow_up_due: false,
            statuses: Vec::new(),
            last_number: 0,
            effects: Vec::new(),
        }
    }

    /// Drains the effects produced since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Applies the configuration in force if it is newer than the known one.
    pub fn configure(&mut self, configuration: &Configuration) {
        if configuration.version > self.configuration.version {
            self.configuration = configuration.clone();
            self.planner.configure(configuration);
        }
    }

    /// Sets whether new work is accepted, or the reason why not.
    pub fn set_open(&mut self, open: Result<(), request::Reason>) {
        self.open = open;
    }

    /// Applies the worker losses in force if they are newer than the known ones.
    pub fn update_fleet(&mut self, fleet: &Fleet, now: Millis) {
        if fleet.next <= self.fleet.next {
            return;
        }
        self.fleet = fleet.clone();
        self.loss_read_times.update(fleet, now);
    }

    /// Sets the time from which every controller is known to consult this instance before it renews
    /// a lease on the word of its peers. While it is `None`, this instance must not conclude from a
    /// recorded loss that a lease has expired.
    pub fn consulted_since(&mut self, since: Option<Millis>) {
        self.consulted_since = since;
    }

    /// Removes a worker that has left the fleet.
    pub fn forget(&mut self, worker: &Name) {
        self.planner.forget(worker);
        self.statuses.retain(|s| s.worker.name != *worker);
    }

    /// Returns the planner, for its metrics.
    pub fn planner(&self) -> &dyn Planner {
        &*self.planner
    }

    /// Returns the planner, for the exchange of usage and failures with peers.
    pub fn planner_mut(&mut self) -> &mut (dyn Planner + 'static) {
        &mut *self.planner
    }

    /// Returns the indices of the partitions of which this is the steward.
    pub fn partitions(&self) -> impl Iterator<Item = u16> + '_ {
        self.partitions.iter().map(|p| p.index)
    }

    /// Becomes the steward of a partition. Replay starts from `replica`, which comes from a snapshot,
    /// or from the beginning of the stream.
    pub fn add_partition(&mut self, index: u16, replica: Option<Replica>) {
        let replica = replica.unwrap_or_else(|| Replica::new(self.config.window));
        if let Err(i) = self.partitions.binary_search_by_key(&index, |p| p.index) {
            self.partitions.insert(i, Partition { index, replica, complete: false });
        }
    }

    /// Stops being the steward of a partition. Queries that wait for a record of the partition are
    /// answered as unknown.
    pub fn remove_partition(&mut self, index: u16) {
        let Ok(i) = self.partitions.binary_search_by_key(&index, |p| p.index) else {
            return;
        };
        let gone = self.partitions.remove(i);
        self.flights.retain(|flight| gone.replica.task(&flight.task).is_none());
        let jobs: Vec<Name> = gone.replica.jobs().iter().map(|e| e.job.id.clone()).collect();
        self.planner.drop_jobs(&jobs);
        let lost: Vec<Pending> = self.pending.extract_if(.., |p| p.partition == index).collect();
        for ticket in lost.into_iter().filter_map(|p| p.ticket) {
            self.tell(ticket, StewardReply::Refused(Refusal::unknown()));
        }
    }

    /// Returns the replayed state of a partition, if its stream has been read to the end.
    pub fn replica(&self, index: u16) -> Option<&Replica> {
        let i = self.partitions.binary_search_by_key(&index, |p| p.index).ok()?;
        Some(&self.partitions[i]).filter(|p| p.complete).map(|p| &p.replica)
    }

    /// Replays rows of a partition's stream. `at_end` says whether they reach the end of the
    /// stream. Rows that were replayed before are skipped.
    pub fn rows(&mut self, index: u16, rows: &[(Offset, Record)], at_end: bool, now: Millis) {
        let Ok(i) = self.partitions.binary_search_by_key(&index, |p| p.index) else {
            return;
        };
        for (offset, record) in rows {
            let partition = &mut self.partitions[i];
            if *offset < partition.replica.next {
                continue;
            }
            let verdict = partition.replica.apply(*offset, record);
            let complete = partition.complete;
            if record.id.writer == self.own {
                self.effects.push(Effect::RecordEvent {
                    stream: Stream::Partition(index),
                    offset: *offset,
                    record: record.clone(),
                    verdict,
                });
            }
            if complete && verdict == Verdict::Accepted {
                self.accepted(i, record, now);
            }
            self.settle_pending(i, record, verdict, now);
        }
        if at_end && !self.partitions[i].complete {
            self.partitions[i].complete = true;
            self.adopt_book(i, now);
        }
    }

    /// Handles the outcome of an append of this instance.
    pub fn append_done(&mut self, id: &record::Id, outcome: AppendOutcome) {
        let Ok(i) = self.pending.binary_search_by(|p| p.id.cmp(id)) else {
            return;
        };
        if outcome == AppendOutcome::Landed {
            return;
        }
        let pending = self.pending.remove(i);
        if let Some(ticket) = pending.ticket {
            let refusal = match outcome {
                AppendOutcome::Refused => {
                    Refusal::not_run(request::Reason::Ledger, Millis::from_secs(2))
                }
                _ => Refusal::unknown(),
            };
            self.tell(ticket, StewardReply::Refused(refusal));
        }
    }

    /// Repeats requests that are due, passes fences, and places waiting tasks.
    pub fn tick(&mut self, now: Millis) {
        self.follow_up(now);
        self.place(now);
    }

    /// Handles a controller's report. Returns worker and sequence of the reported endings that need
    /// no record any more, so that the controller can drop them.
    pub fn report(
        &mut self,
        statuses: &[WorkerStatus],
        endings: &[Ending],
        now: Millis,
    ) -> Vec<(Name, u64)> {
        for status in statuses {
            self.update_worker(status, now);
        }
        endings
            .iter()
            .filter(|ending| self.ended(ending, now))
            .map(|ending| (ending.worker.clone(), ending.ended.sequence))
            .collect()
    }

    /// Handles a controller's answer to a request.
    pub fn granted(&mut self, operation: &Operation, grant: Grant, now: Millis) {
        self.grant(operation, grant, now);
    }

    /// Applies a report on a worker, unless the worker has had a newer controller since. A report
    /// of a newer controller always supersedes the known one, even if that controller's clock is
    /// behind: its time stamp is then moved to just after the known one.
    fn update_worker(&mut self, status: &WorkerStatus, now: Millis) {
        let mut status = status.clone();
        match self.statuses.binary_search_by(|s| s.worker.name.cmp(&status.worker.name)) {
            Ok(i) if status.epoch >= self.statuses[i].epoch => {
                if status.epoch > self.statuses[i].epoch {
                    let after = self.statuses[i].as_of + Millis(1);
                    status.as_of = status.as_of.max(after);
                }
                self.statuses[i] = status.clone();
            }
            Ok(_) => return,
            Err(i) => self.statuses.insert(i, status.clone()),
        }
        self.planner.update_worker(&status, now);
    }

    fn tell(&mut self, ticket: Ticket, told: StewardReply) {
        self.effects.push(Effect::Answer { ticket, told });
    }

    fn append(
        &mut self,
        partition: u16,
        register: Register,
        expect: u64,
        change: Change,
        ticket: Option<Ticket>,
        now: Millis,
    ) {
        self.last_number += 1;
        let id = record::Id { writer: self.own.clone(), number: self.last_number };
        let pending = Pending { id: id.clone(), partition, register: register.clone(), ticket };
        let record = Record { id, at: now, register, expect, change };
        if let Err(i) = self.pending.binary_search_by(|p| p.id.cmp(&pending.id)) {
            self.pending.insert(i, pending);
        }
        self.effects.push(Effect::Append { stream: Stream::Partition(partition), record });
    }

    /// Returns whether a record of this instance on the register has not been replayed yet.
    fn is_pending(&self, register: &Register) -> bool {
        self.pending.iter().any(|p| p.register == *register)
    }

    /// Returns the position in `self.partitions` of the team's partition, if it is complete.
    fn partition_of(&self, team: &Name) -> Option<usize> {
        let Stream::Partition(index) = Stream::of_team(team, self.config.partitions) else {
            return None;
        };
        self.partitions
            .binary_search_by_key(&index, |p| p.index)
            .ok()
            .filter(|&i| self.partitions[i].complete)
    }
}
