//! The controller: manages the workers that one instance controls, with their reservations and
//! orders.
//!
//! It adopts the workers for which its instance is the preferred owner, renews their leases,
//! reserves capacity for stewards and reports ended attempts. Its own view of ownership is never
//! decisive: a worker refuses the orders of a former controller ([`crate::machine::arbiter`]).

mod controlled;
mod requests;
#[cfg(test)]
mod tests;
mod worker_control;

pub use worker_control::WorkerControl;

use crate::clock::Millis;
use crate::contract::configuration::Configuration;
use crate::contract::task;
use crate::ledger::currency::Proof;
use crate::ledger::fleet::Fleet;
use crate::machine::adoption::View;
use crate::machine::capacity::Capacity;
use crate::machine::lease::Bounds;
use crate::machine::worker::{Ended, Epoch, Inventory, Order, Reply, Start, Worker};
use crate::name::Name;
use crate::zone::membership::{Instance, State};
use crate::zone::stewardship;
use controlled::ControlledWorker;
use serde::{Deserialize, Serialize};

/// Pause between heartbeats to a worker that has ended attempts to report. Such a worker answers
/// at once instead of waiting for a change.
const REPORT_PAUSE: Millis = Millis(200);

/// A steward's request to the controller of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Operation {
    /// Reserve capacity for an attempt until it is started or `until` has passed.
    Reserve {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: task::Attempt,
        /// The capacity.
        needs: Capacity,
        /// When the reservation expires.
        until: Millis,
    },
    /// Cancel a reservation.
    Release {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
    },
    /// Start a recorded attempt. The steward repeats the request until the attempt is known to be
    /// running or over.
    Start {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: task::Attempt,
        /// Details of the start order.
        start: Start,
    },
    /// Stop an attempt, optionally saving a checkpoint first.
    Stop {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: task::Attempt,
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
}

impl Operation {
    /// Returns the worker to which the request applies.
    pub const fn worker(&self) -> &Name {
        match self {
            Self::Reserve { worker, .. }
            | Self::Release { worker, .. }
            | Self::Start { worker, .. }
            | Self::Stop { worker, .. } => worker,
        }
    }

    /// Returns the task to which the request applies.
    pub const fn task(&self) -> &task::Id {
        match self {
            Self::Reserve { task, .. }
            | Self::Release { task, .. }
            | Self::Start { task, .. }
            | Self::Stop { task, .. } => task,
        }
    }
}

/// A controller's response to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Grant {
    /// Capacity is reserved under this epoch.
    Reserved {
        /// The controller's epoch.
        epoch: Epoch,
    },
    /// The request is being carried out.
    Accepted,
    /// The attempt is running.
    Running,
    /// The attempt is over or can never start: the worker refused it, or the worker has a newer
    /// epoch and its inventory lacks the attempt.
    Absent,
    /// The worker has too little free capacity, or accepts no new work.
    Full,
    /// This instance doesn't control the worker; the sender must ask another one.
    Elsewhere,
}

/// Status of one worker, as its controller reports it to stewards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// The worker.
    pub worker: Worker,
    /// Epoch under which it is controlled.
    pub epoch: Epoch,
    /// Capacity neither used by running attempts nor reserved.
    pub free: Capacity,
    /// Whether it accepts no new work: it is leaving, unresponsive, or this instance is no longer
    /// its preferred owner.
    pub closed: bool,
    /// Instant at which this status was determined.
    pub as_of: Millis,
}

/// An ended attempt and the worker on which it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// The worker.
    pub worker: Name,
    /// The worker's report of how it ended.
    pub ended: Ended,
}

/// An action that the caller carries out for the controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Ask a worker to accept this instance as its controller.
    Adopt {
        /// The worker.
        worker: Name,
        /// Its socket address.
        address: String,
        /// The worker's current epoch as far as is known; the adoption fails if it differs.
        expected: Epoch,
    },
    /// Send a heartbeat.
    Heartbeat {
        /// The worker.
        worker: Name,
        /// Its socket address.
        address: String,
        /// The heartbeat's content.
        request: HeartbeatRequest,
    },
    /// Send orders.
    Order {
        /// The worker.
        worker: Name,
        /// Its socket address.
        address: String,
        /// The controller's epoch.
        epoch: Epoch,
        /// The orders.
        orders: Vec<Order>,
    },
    /// Append a record to the log that the worker is lost.
    RecordLoss {
        /// The worker.
        worker: Name,
        /// The loss covers this epoch and all earlier ones.
        epoch: Epoch,
        /// Expected version of the worker's register; the record is stale if it differs.
        expect: u64,
    },
}

/// Content of a heartbeat to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatRequest {
    /// The controller's epoch.
    pub epoch: Epoch,
    /// Revision of the inventory that the controller has; 0 for none.
    pub seen: u64,
    /// Sequence number up to which all ended attempts are recorded.
    pub acknowledged: u64,
    /// New end of all leases; `None` if they can't all be renewed.
    pub renew_all: Option<Millis>,
}

/// A worker's response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatResponse {
    /// The worker's current epoch.
    pub epoch: Epoch,
    /// Revision of the inventory.
    pub revision: u64,
    /// The inventory, if its revision differs from [`HeartbeatRequest::seen`].
    pub inventory: Option<Inventory>,
    /// Ended attempts after [`HeartbeatRequest::acknowledged`].
    pub ended: Vec<Ended>,
}

/// Result of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// The worker answered.
    Answered(T),
    /// The worker did not answer or could not be reached. The call may still have taken effect.
    NoAnswer,
}

/// Settings of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time bounds of leases and fencing.
    pub bounds: Bounds,
    /// Time without an answer after which a worker gets no new work.
    pub suspicion: Millis,
    /// Time without an answer after which a worker is recorded as lost.
    pub loss: Millis,
    /// Pause after a failed call, and before adopting a worker again that another instance has
    /// adopted.
    pub pause: Millis,
}

/// State of one listed or controlled worker.
#[derive(Clone, Debug)]
struct Entry {
    instance: Instance,
    /// Whether the platform's list contains it.
    listed: bool,
    /// Since when this instance has been its preferred owner; `None` if another one is.
    preferred_since: Option<Millis>,
    /// Highest known epoch of the worker.
    epoch: Epoch,
    /// When the worker last answered this instance.
    last_answer: Millis,
    /// Whether an adoption or a heartbeat is in flight.
    call_in_flight: bool,
    /// When the last adoption or heartbeat was sent.
    call_sent: Millis,
    /// When the last call was sent whose answer confirmed that this instance is the controller.
    proven: Millis,
    /// Earliest time of the next adoption or heartbeat.
    not_before: Millis,
    /// Present while this instance controls the worker.
    controlled: Option<ControlledWorker>,
    /// Last published status.
    status: Option<WorkerStatus>,
    /// Change number of the last published status.
    change: u64,
}

/// Manages the workers of one instance.
pub struct Controller {
    own: Name,
    config: Config,
    /// Sorted by name.
    entries: Vec<Entry>,
    fleet: Fleet,
    /// Proof of the instant as of which `fleet` is complete.
    proof: Proof,
    /// Whether this instance may record losses. It may once every other instance has it on its
    /// list.
    may_lose: bool,
    /// The configuration in force, for the kinds' `separation`.
    configuration: Configuration,
    /// Number of the last change of any worker's status.
    change: u64,
    effects: Vec<Effect>,
}

impl Controller {
    /// Returns a controller without workers.
    pub fn new(own: Name, config: Config) -> Self {
        Self {
            own,
            config,
            entries: Vec::new(),
            fleet: Fleet::default(),
            proof: Proof::none(),
            may_lose: false,
            configuration: Configuration::default(),
            change: 0,
            effects: Vec::new(),
        }
    }

    /// Drains the effects queued since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Updates the configuration in force. Older versions are ignored.
    pub fn configure(&mut self, configuration: &Configuration) {
        if configuration.version > self.configuration.version {
            self.configuration = configuration.clone();
        }
    }

    /// Updates the losses in force, and the instant as of which they are complete.
    pub fn fleet(&mut self, fleet: &Fleet, as_of: Millis) {
        if fleet.next > self.fleet.next {
            self.fleet = fleet.clone();
        }
        self.proof.note(as_of);
    }

    /// Updates the listed workers and the instances that may control them, and determines which
    /// workers prefer this instance.
    pub fn members(
        &mut self,
        workers: &[Instance],
        candidates: &[&Instance],
        may_lose: bool,
        now: Millis,
    ) {
        self.may_lose = may_lose;
        for entry in &mut self.entries {
            entry.listed = false;
        }
        for worker in workers {
            let i = self.entry_or_insert(worker, now);
            let entry = &mut self.entries[i];
            entry.listed = true;
            entry.instance = worker.clone();
            let owner = stewardship::owner(worker.name.as_str(), Some(&worker.place), candidates);
            let preferred = owner == Some(&self.own);
            entry.preferred_since = preferred.then(|| entry.preferred_since.unwrap_or(now));
        }
        self.entries.retain(|e| e.listed || e.controlled.is_some());
    }

    /// Learns a worker's epoch from another controller's report.
    pub fn observe_status(&mut self, status: &WorkerStatus) {
        if let Ok(i) = self.position(status.worker.name.as_str()) {
            self.entries[i].epoch = self.entries[i].epoch.max(status.epoch);
        }
    }

    /// Queues due adoptions, heartbeats, orders and loss records, and updates worker statuses.
    pub fn tick(&mut self, now: Millis) {
        for i in 0..self.entries.len() {
            self.tick_entry(i, now);
            self.refresh(i, now);
        }
    }

    /// Returns the statuses that changed after change number `since`, and the number of the last
    /// change.
    pub fn statuses(&self, since: u64) -> (Vec<WorkerStatus>, u64) {
        let changed = self.entries.iter().filter(|e| e.change > since && e.controlled.is_some());
        (changed.filter_map(|e| e.status.clone()).collect(), self.change)
    }

    /// Returns the ended attempts not yet known to be recorded.
    pub fn endings(&self) -> Vec<Ending> {
        let held = self.entries.iter().filter_map(|e| Some((e, e.controlled.as_ref()?)));
        held.flat_map(|(entry, controlled)| {
            let worker = entry.instance.name.clone();
            controlled
                .unrecorded()
                .map(move |ended| Ending { worker: worker.clone(), ended: ended.clone() })
        })
        .collect()
    }

    /// Marks ended attempts as recorded, each given by worker and sequence number.
    pub fn recorded(&mut self, recorded: &[(Name, u64)]) {
        for (worker, sequence) in recorded {
            if let Ok(i) = self.position(worker.as_str())
                && let Some(controlled) = &mut self.entries[i].controlled
            {
                controlled.record(*sequence);
                if controlled.unrecorded().next().is_none() {
                    self.entries[i].not_before = Millis::ZERO;
                }
            }
        }
    }

    /// Returns the workers that this instance controls, sorted by name.
    pub fn controlled(&self) -> impl Iterator<Item = WorkerControl> {
        self.entries.iter().filter_map(|e| {
            let epoch = e.controlled.as_ref()?.epoch;
            Some(WorkerControl { worker: e.instance.name.clone(), epoch, proven: e.proven })
        })
    }

    /// Handles the result of an adoption: the worker's inventory, or its current epoch if that
    /// differed from the expected one.
    pub fn adopted(
        &mut self,
        worker: &str,
        outcome: Outcome<Result<Inventory, Epoch>>,
        now: Millis,
    ) {
        let Ok(i) = self.position(worker) else { return };
        let pause = self.config.pause;
        let entry = &mut self.entries[i];
        entry.call_in_flight = false;
        match outcome {
            Outcome::Answered(Ok(inventory)) => {
                entry.last_answer = now;
                entry.proven = entry.call_sent;
                entry.epoch = inventory.epoch;
                entry.controlled = Some(ControlledWorker::new(inventory));
            }
            Outcome::Answered(Err(epoch)) => {
                entry.last_answer = now;
                entry.epoch = epoch;
            }
            Outcome::NoAnswer => entry.not_before = now + pause,
        }
        self.tick_entry(i, now);
        self.refresh(i, now);
    }

    /// Handles the result of a heartbeat.
    pub fn heartbeat_answered(
        &mut self,
        worker: &str,
        outcome: Outcome<HeartbeatResponse>,
        now: Millis,
    ) {
        let Ok(i) = self.position(worker) else { return };
        let pause = self.config.pause;
        let entry = &mut self.entries[i];
        entry.call_in_flight = false;
        match outcome {
            Outcome::Answered(response) => {
                entry.last_answer = now;
                entry.epoch = entry.epoch.max(response.epoch);
                match &mut entry.controlled {
                    Some(controlled) if controlled.epoch == response.epoch => {
                        entry.proven = entry.call_sent;
                        controlled.apply_heartbeat(response);
                        // A worker answers at once while it has ended attempts to report, so
                        // heartbeats without a pause would loop.
                        let has_reports = controlled.unrecorded().next().is_some();
                        entry.not_before = if has_reports { now + REPORT_PAUSE } else { now };
                    }
                    // Another instance has adopted the worker. Its view of the live instances may
                    // be newer, so don't adopt the worker back at once.
                    _ => {
                        entry.controlled = None;
                        entry.not_before = now + pause;
                    }
                }
            }
            Outcome::NoAnswer => entry.not_before = now + pause,
        }
        self.tick_entry(i, now);
        self.refresh(i, now);
    }

    /// Handles the replies to orders sent under `epoch`.
    pub fn ordered(
        &mut self,
        worker: &str,
        epoch: Epoch,
        orders: &[Order],
        outcome: Outcome<Vec<Reply>>,
        now: Millis,
    ) {
        let Ok(i) = self.position(worker) else { return };
        if let Some(controlled) = &mut self.entries[i].controlled
            && controlled.epoch == epoch
            && !controlled.ordered(orders, outcome)
        {
            self.entries[i].controlled = None;
            self.entries[i].not_before = now + self.config.pause;
        }
        self.refresh(i, now);
    }

    fn entry_or_insert(&mut self, worker: &Instance, now: Millis) -> usize {
        match self.position(worker.name.as_str()) {
            Ok(i) => i,
            Err(i) => {
                let entry = Entry {
                    instance: worker.clone(),
                    listed: true,
                    preferred_since: None,
                    epoch: 0,
                    last_answer: now,
                    call_in_flight: false,
                    call_sent: now,
                    proven: Millis::ZERO,
                    not_before: now,
                    controlled: None,
                    status: None,
                    change: 0,
                };
                self.entries.insert(i, entry);
                i
            }
        }
    }

    fn position(&self, worker: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.instance.name.as_str().cmp(worker))
    }

    fn tick_entry(&mut self, i: usize, now: Millis) {
        self.record_loss_if_unresponsive(i, now);
        let entry = &self.entries[i];
        if entry.call_in_flight || now < entry.not_before {
            return;
        }
        let (worker, address) = (entry.instance.name.clone(), entry.instance.address.clone());
        if entry.controlled.is_some() {
            self.send_heartbeat(i, worker, address, now);
        } else if entry.preferred_since.is_some() {
            let expected = entry.epoch;
            self.entries[i].call_in_flight = true;
            self.entries[i].call_sent = now;
            self.effects.push(Effect::Adopt { worker, address, expected });
        }
    }

    /// Queues a heartbeat, with the renewals allowed now, and the pending orders.
    fn send_heartbeat(&mut self, i: usize, worker: Name, address: String, now: Millis) {
        let Self { entries, config, fleet, proof, configuration, .. } = self;
        let view = View { fleet, proof, configuration, bounds: &config.bounds };
        let Some(controlled) = &mut entries[i].controlled else { return };
        let renewal = controlled.renew(&view, now);
        let request = controlled.request(renewal);
        entries[i].call_in_flight = true;
        entries[i].call_sent = now;
        self.effects.push(Effect::Heartbeat { worker, address, request });
        self.send_orders(i, now);
    }

    fn send_orders(&mut self, i: usize, now: Millis) {
        let Self { entries, effects, config, fleet, proof, configuration, .. } = self;
        let view = View { fleet, proof, configuration, bounds: &config.bounds };
        let entry = &mut entries[i];
        let Some(controlled) = &mut entry.controlled else { return };
        let orders = controlled.orders(&view, now);
        if !orders.is_empty() {
            effects.push(Effect::Order {
                worker: entry.instance.name.clone(),
                address: entry.instance.address.clone(),
                epoch: controlled.epoch,
                orders,
            });
        }
    }

    fn record_loss_if_unresponsive(&mut self, i: usize, now: Millis) {
        let entry = &self.entries[i];
        let since = entry.preferred_since.map(|since| since.max(entry.last_answer));
        let unresponsive = since.is_some_and(|since| now.since(since) >= self.config.loss);
        let (name, epoch) = (entry.instance.name.clone(), entry.epoch);
        let loss = self.fleet.loss(name.as_str());
        let covered = loss.is_some_and(|l| l.epoch >= epoch);
        if covered && entry.controlled.is_some() {
            // A loss covers this epoch; the worker must be adopted again before any renewal.
            self.entries[i].controlled = None;
        } else if unresponsive && !covered && epoch > 0 && self.may_lose {
            let expect = loss.map_or(0, |l| l.version);
            self.effects.push(Effect::RecordLoss { worker: name, epoch, expect });
        }
    }

    /// Publishes the worker's status if it changed.
    fn refresh(&mut self, i: usize, now: Millis) {
        let unresponsive = now.since(self.entries[i].last_answer) > self.config.suspicion;
        let entry = &mut self.entries[i];
        let Some(controlled) = &mut entry.controlled else { return };
        controlled.expire_reservations(now);
        let status = WorkerStatus {
            worker: controlled.inventory.worker.clone(),
            epoch: controlled.epoch,
            free: controlled.free(),
            closed: controlled.inventory.leaving
                || unresponsive
                || entry.preferred_since.is_none()
                || entry.instance.state == State::Leaving,
            as_of: now,
        };
        let same = |old: &WorkerStatus| WorkerStatus { as_of: now, ..old.clone() } == status;
        if !entry.status.as_ref().is_some_and(same) {
            self.change += 1;
            entry.change = self.change;
            entry.status = Some(status);
        }
    }
}
