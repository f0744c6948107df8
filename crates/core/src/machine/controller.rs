//! The controller: the workers that one instance controls, their reservations and orders.
//!
//! It adopts the workers for which its instance is the preferred owner, keeps their leases, gives
//! capacity to stewards and reports what ended. It never trusts itself about ownership: the worker
//! refuses a former controller ([`crate::machine::arbiter`]).

mod hold;
mod tenure;
#[cfg(test)]
mod tests;
mod wish;

pub use tenure::Tenure;

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
use serde::{Deserialize, Serialize};

/// Pause between signs of life to a worker whose ended attempts are not recorded yet.
const REPORT_PAUSE: Millis = Millis(200);

/// A wish of a steward to a controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Wish {
    /// Hold capacity for an attempt until it is started or `until` has passed.
    Reserve {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: task::Attempt,
        /// The capacity.
        needs: Capacity,
        /// When the reservation lapses.
        until: Millis,
    },
    /// Give a reservation back.
    Release {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
    },
    /// Start a recorded attempt. Repeated until the attempt is seen to run or to be over.
    Start {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: task::Attempt,
        /// What the worker must know.
        start: Start,
    },
    /// Stop an attempt; a checkpoint is saved first if asked for.
    Stop {
        /// The worker.
        worker: Name,
        /// The task.
        task: task::Id,
        /// The attempt.
        attempt: task::Attempt,
        /// Whether to save progress.
        checkpoint: bool,
    },
}

impl Wish {
    /// Returns the worker that the wish is about.
    pub const fn worker(&self) -> &Name {
        match self {
            Self::Reserve { worker, .. }
            | Self::Release { worker, .. }
            | Self::Start { worker, .. }
            | Self::Stop { worker, .. } => worker,
        }
    }

    /// Returns the task that the wish is about.
    pub const fn task(&self) -> &task::Id {
        match self {
            Self::Reserve { task, .. }
            | Self::Release { task, .. }
            | Self::Start { task, .. }
            | Self::Stop { task, .. } => task,
        }
    }
}

/// Answer to one wish.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Grant {
    /// Capacity is held under this epoch.
    Reserved {
        /// The controller's epoch.
        epoch: Epoch,
    },
    /// The wish is being carried out.
    Accepted,
    /// The attempt runs.
    Running,
    /// The attempt is over or can never start: the worker refused it, or has a newer epoch and
    /// lacks it.
    Absent,
    /// The capacity isn't there.
    Full,
    /// The sender must ask another instance: this one doesn't control the worker.
    Elsewhere,
}

/// One worker in a controller's report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// The worker.
    pub worker: Worker,
    /// Epoch of its controller.
    pub epoch: Epoch,
    /// Capacity that is neither taken nor reserved.
    pub free: Capacity,
    /// Whether it takes no new work: leaving, silent or given up.
    pub closed: bool,
    /// Instant as of which this holds.
    pub as_of: Millis,
}

/// An ended attempt, with the worker on which it ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// The worker.
    pub worker: Name,
    /// What the worker said.
    pub ended: Ended,
}

/// What the controller wants to be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Ask to control a worker.
    Adopt {
        /// The worker.
        worker: Name,
        /// Its socket address.
        address: String,
        /// The epoch that is believed to be present.
        expected: Epoch,
    },
    /// Send a sign of life.
    Beat {
        /// The worker.
        worker: Name,
        /// Its socket address.
        address: String,
        /// What to say.
        pulse: Pulse,
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
    /// Record that the worker is lost.
    Lose {
        /// The worker.
        worker: Name,
        /// Last epoch that is lost.
        epoch: Epoch,
        /// Version of the worker's register on which the record rests.
        expect: u64,
    },
}

/// A sign of life to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pulse {
    /// The controller's epoch.
    pub epoch: Epoch,
    /// Revision of the inventory that the controller has, 0 for none.
    pub seen: u64,
    /// Sequence of the last ended attempt that is recorded.
    pub acknowledged: u64,
    /// New end of all leases, if all may be renewed.
    pub renew_all: Option<Millis>,
}

/// A worker's answer to a sign of life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heard {
    /// The present epoch.
    pub epoch: Epoch,
    /// Revision of the inventory.
    pub revision: u64,
    /// The inventory, if it is another than the one seen.
    pub inventory: Option<Inventory>,
    /// Ended attempts after the acknowledged one.
    pub ended: Vec<Ended>,
}

/// How a call of a worker ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// It answered.
    Answered(T),
    /// It did not answer, or could not be reached.
    Silent,
}

/// Settings of a controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Fencing bounds.
    pub bounds: Bounds,
    /// A worker that was not heard for this long takes nothing new.
    pub suspicion: Millis,
    /// A worker that was not heard for this long is recorded as lost.
    pub loss: Millis,
    /// Pause after a call that failed, and before a worker is adopted again after it was taken.
    pub pause: Millis,
}

/// What this instance knows of one worker.
#[derive(Clone, Debug)]
struct Entry {
    instance: Instance,
    /// Whether the list still has it.
    listed: bool,
    /// Whether this instance is its preferred controller, and since when.
    preferred: Option<Millis>,
    /// Greatest epoch that is known of it.
    epoch: Epoch,
    /// When it last answered this instance.
    heard: Millis,
    /// Whether an adoption or a sign of life is under way.
    calling: bool,
    /// When the last adoption or sign of life was sent.
    sent: Millis,
    /// When the last one was sent that showed this instance to be the controller.
    proven: Millis,
    /// No adoption or sign of life before this instant.
    not_before: Millis,
    /// Present while this instance controls it.
    hold: Option<hold::Hold>,
    /// Last standing, and the number of the change that made it.
    standing: Option<Standing>,
    change: u64,
}

/// The workers of one instance.
pub struct Controller {
    own: Name,
    config: Config,
    /// Sorted by name.
    entries: Vec<Entry>,
    fleet: Fleet,
    /// How current that is.
    proof: Proof,
    /// Whether this instance may record losses: it has been listed long enough.
    may_lose: bool,
    /// The configuration in force, for the kinds' `separation`.
    configuration: Configuration,
    change: u64,
    effects: Vec<Effect>,
}

impl Controller {
    /// Returns a controller of no worker.
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

    /// Takes the effects that have come up since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes in the configuration in force.
    pub fn configure(&mut self, configuration: &Configuration) {
        if configuration.version > self.configuration.version {
            self.configuration = configuration.clone();
        }
    }

    /// Takes in the losses in force, and the instant as of which they are complete.
    pub fn fleet(&mut self, fleet: &Fleet, as_of: Millis) {
        if fleet.next > self.fleet.next {
            self.fleet = fleet.clone();
        }
        self.proof.note(as_of);
    }

    /// Takes in the listed workers and the instances that may control them.
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
            entry.preferred = preferred.then(|| entry.preferred.unwrap_or(now));
        }
        self.entries.retain(|e| e.listed || e.hold.is_some());
    }

    /// Takes in what another controller says of a worker.
    pub fn stand(&mut self, standing: &Standing) {
        if let Ok(i) = self.position(standing.worker.name.as_str()) {
            self.entries[i].epoch = self.entries[i].epoch.max(standing.epoch);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        for i in 0..self.entries.len() {
            self.tick_entry(i, now);
            self.refresh(i, now);
        }
    }

    /// Returns the standings that changed after the change `since`, and the number of the last
    /// change.
    pub fn standings(&self, since: u64) -> (Vec<Standing>, u64) {
        let changed = self.entries.iter().filter(|e| e.change > since && e.hold.is_some());
        (changed.filter_map(|e| e.standing.clone()).collect(), self.change)
    }

    /// Returns the ended attempts that are not known to be recorded.
    pub fn endings(&self) -> Vec<Ending> {
        let held = self.entries.iter().filter_map(|e| Some((e, e.hold.as_ref()?)));
        held.flat_map(|(entry, hold)| {
            let worker = entry.instance.name.clone();
            hold.unrecorded()
                .map(move |ended| Ending { worker: worker.clone(), ended: ended.clone() })
        })
        .collect()
    }

    /// Takes in that ended attempts are recorded.
    pub fn recorded(&mut self, recorded: &[(Name, u64)]) {
        for (worker, sequence) in recorded {
            if let Ok(i) = self.position(worker.as_str())
                && let Some(hold) = &mut self.entries[i].hold
            {
                hold.record(*sequence);
                if hold.unrecorded().next().is_none() {
                    self.entries[i].not_before = Millis::ZERO;
                }
            }
        }
    }

    /// Returns the workers that this instance controls, sorted by name.
    pub fn held(&self) -> impl Iterator<Item = Tenure> {
        self.entries.iter().filter_map(|e| {
            let epoch = e.hold.as_ref()?.epoch;
            Some(Tenure { worker: e.instance.name.clone(), epoch, proven: e.proven })
        })
    }

    /// Takes in the answer to an adoption: the inventory, or the epoch that is present instead.
    pub fn adopted(
        &mut self,
        worker: &str,
        outcome: Outcome<Result<Inventory, Epoch>>,
        now: Millis,
    ) {
        let Ok(i) = self.position(worker) else { return };
        let pause = self.config.pause;
        let entry = &mut self.entries[i];
        entry.calling = false;
        match outcome {
            Outcome::Answered(Ok(inventory)) => {
                entry.heard = now;
                entry.proven = entry.sent;
                entry.epoch = inventory.epoch;
                entry.hold = Some(hold::Hold::new(inventory));
            }
            Outcome::Answered(Err(epoch)) => {
                entry.heard = now;
                entry.epoch = epoch;
            }
            Outcome::Silent => entry.not_before = now + pause,
        }
        self.tick_entry(i, now);
        self.refresh(i, now);
    }

    /// Takes in the answer to a sign of life.
    pub fn beaten(&mut self, worker: &str, outcome: Outcome<Heard>, now: Millis) {
        let Ok(i) = self.position(worker) else { return };
        let pause = self.config.pause;
        let entry = &mut self.entries[i];
        entry.calling = false;
        match outcome {
            Outcome::Answered(heard) => {
                entry.heard = now;
                entry.epoch = entry.epoch.max(heard.epoch);
                match &mut entry.hold {
                    Some(hold) if hold.epoch == heard.epoch => {
                        entry.proven = entry.sent;
                        hold.hear(heard);
                        // A worker answers at once while it has ended attempts to report.
                        let paced = hold.unrecorded().next().is_some();
                        entry.not_before = if paced { now + REPORT_PAUSE } else { now };
                    }
                    // Another instance has adopted the worker; it may know better who is alive.
                    _ => {
                        entry.hold = None;
                        entry.not_before = now + pause;
                    }
                }
            }
            Outcome::Silent => entry.not_before = now + pause,
        }
        self.tick_entry(i, now);
        self.refresh(i, now);
    }

    /// Takes in the answers to orders.
    pub fn ordered(
        &mut self,
        worker: &str,
        epoch: Epoch,
        orders: &[Order],
        outcome: Outcome<Vec<Reply>>,
        now: Millis,
    ) {
        let Ok(i) = self.position(worker) else { return };
        if let Some(hold) = &mut self.entries[i].hold
            && hold.epoch == epoch
            && !hold.ordered(orders, outcome)
        {
            self.entries[i].hold = None;
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
                    preferred: None,
                    epoch: 0,
                    heard: now,
                    calling: false,
                    sent: now,
                    proven: Millis::ZERO,
                    not_before: now,
                    hold: None,
                    standing: None,
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
        self.lose_if_silent(i, now);
        let entry = &self.entries[i];
        if entry.calling || now < entry.not_before {
            return;
        }
        let (worker, address) = (entry.instance.name.clone(), entry.instance.address.clone());
        if entry.hold.is_some() {
            self.beat(i, worker, address, now);
        } else if entry.preferred.is_some() {
            let expected = entry.epoch;
            self.entries[i].calling = true;
            self.entries[i].sent = now;
            self.effects.push(Effect::Adopt { worker, address, expected });
        }
    }

    /// Sends a sign of life, with the renewals that may be given now, and the orders that wait.
    fn beat(&mut self, i: usize, worker: Name, address: String, now: Millis) {
        let Self { entries, config, fleet, proof, configuration, .. } = self;
        let view = View { fleet, proof, configuration, bounds: &config.bounds };
        let Some(hold) = &mut entries[i].hold else { return };
        let renewal = hold.renew(&view, now);
        let pulse = hold.pulse(renewal);
        entries[i].calling = true;
        entries[i].sent = now;
        self.effects.push(Effect::Beat { worker, address, pulse });
        self.send_orders(i, now);
    }

    fn send_orders(&mut self, i: usize, now: Millis) {
        let Self { entries, effects, config, fleet, proof, configuration, .. } = self;
        let view = View { fleet, proof, configuration, bounds: &config.bounds };
        let entry = &mut entries[i];
        let Some(hold) = &mut entry.hold else { return };
        let orders = hold.orders(&view, now);
        if !orders.is_empty() {
            effects.push(Effect::Order {
                worker: entry.instance.name.clone(),
                address: entry.instance.address.clone(),
                epoch: hold.epoch,
                orders,
            });
        }
    }

    fn lose_if_silent(&mut self, i: usize, now: Millis) {
        let entry = &self.entries[i];
        let since = entry.preferred.map(|since| since.max(entry.heard));
        let silent = since.is_some_and(|since| now.since(since) >= self.config.loss);
        let (name, epoch) = (entry.instance.name.clone(), entry.epoch);
        let loss = self.fleet.loss(name.as_str());
        let covered = loss.is_some_and(|l| l.epoch >= epoch);
        if covered && entry.hold.is_some() {
            // This epoch is over; the worker must be adopted again before anything is renewed.
            self.entries[i].hold = None;
        } else if silent && !covered && epoch > 0 && self.may_lose {
            let expect = loss.map_or(0, |l| l.version);
            self.effects.push(Effect::Lose { worker: name, epoch, expect });
        }
    }

    /// Notes a changed standing.
    fn refresh(&mut self, i: usize, now: Millis) {
        let silent = now.since(self.entries[i].heard) > self.config.suspicion;
        let entry = &mut self.entries[i];
        let Some(hold) = &mut entry.hold else { return };
        hold.lapse(now);
        let standing = Standing {
            worker: hold.inventory.worker.clone(),
            epoch: hold.epoch,
            free: hold.free(),
            closed: hold.inventory.leaving
                || silent
                || entry.preferred.is_none()
                || entry.instance.state == State::Leaving,
            as_of: now,
        };
        let same = |old: &Standing| Standing { as_of: now, ..old.clone() } == standing;
        if !entry.standing.as_ref().is_some_and(same) {
            self.change += 1;
            entry.change = self.change;
            entry.standing = Some(standing);
        }
    }
}
