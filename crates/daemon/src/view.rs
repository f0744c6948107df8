//! Views that duties publish to each other. A newer value replaces the older one.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::configuration::Version;
use pimentovalve_core::contract::metrics::Counters;
use pimentovalve_core::contract::request::Reason;
use pimentovalve_core::contract::share::Totals;
use pimentovalve_core::ledger::Stream;
use pimentovalve_core::ledger::fleet::Fleet;
use pimentovalve_core::ledger::history::History;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::controller::WorkerControl;
use pimentovalve_core::zone::membership::{Instance, Role, State};
use pimentovalve_core::zone::stewardship;
use pimentovalve_wire::peer::{NumberedFailure, Ping, PolicyUpdate};
use std::sync::Arc;

/// The membership of the cluster, published by the gossip duty.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// This instance, with its present state.
    pub own: Instance,
    /// All instances in the platform's list, as last read.
    pub listed: Arc<Vec<Instance>>,
    /// Entry instances that may be stewards or controllers, sorted by name.
    pub candidates: Vec<Instance>,
    /// Other entry instances that must be kept informed, because they are listed now or were within
    /// the list's lag.
    pub peers: Vec<Instance>,
    /// Since when every instance with a sufficiently recent list is certain to ask this one, or
    /// `None` if that is not certain. Only then may this instance publish a loss or rely on one.
    pub consulted_since: Option<Millis>,
    /// Whether this instance is draining.
    pub draining: bool,
    /// Greatest version of the configuration that a peer reported to be in force there.
    pub peer_version: Version,
}

impl Members {
    /// Returns the initial view, before the list was read.
    pub fn alone(own: Instance) -> Self {
        Self {
            own,
            listed: Arc::default(),
            candidates: Vec::new(),
            peers: Vec::new(),
            consulted_since: None,
            draining: false,
            peer_version: 0,
        }
    }

    /// Returns the preferred steward of a stream.
    pub fn steward(&self, stream: Stream) -> Option<&Instance> {
        let candidates: Vec<&Instance> = self.candidates.iter().collect();
        let name = stewardship::owner(&stream.to_string(), None, &candidates)?;
        self.candidates.iter().find(|c| c.name == *name)
    }

    /// Returns the preferred controller of a worker.
    pub fn controller(&self, worker: &Instance) -> Option<&Instance> {
        let candidates: Vec<&Instance> = self.candidates.iter().collect();
        let name = stewardship::owner(worker.name.as_str(), Some(&worker.place), &candidates)?;
        self.candidates.iter().find(|c| c.name == *name)
    }

    /// Returns the listed instances of a role.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Instance> {
        self.listed.iter().filter(move |i| i.role == role)
    }
}

/// The replicated configuration and fleet state, published by the ledger duty.
#[derive(Clone, Debug, Default)]
pub struct LedgerView {
    /// The configuration and its earlier versions.
    pub history: Arc<History>,
    /// Instant as of which `history` is complete.
    pub history_as_of: Millis,
    /// The recorded losses of workers.
    pub fleet: Arc<Fleet>,
    /// Instant as of which `fleet` is complete.
    pub fleet_as_of: Millis,
    /// Whether a loss that this instance published may still take effect.
    pub loss_pending: bool,
    /// Whether the last read of the log failed.
    pub log_unavailable: bool,
}

impl LedgerView {
    /// Returns the ping that describes this instance to its peers, without policy data.
    pub fn ping(&self, own: &Instance) -> Ping {
        Ping {
            from: own.name.clone(),
            at: now(),
            draining: own.state == State::Leaving,
            version: self.history.configuration().version,
            history_next: self.history.next,
            fleet_next: self.fleet.next,
            fleet_as_of: self.fleet_as_of,
            history_as_of: self.history_as_of,
            loss_pending: self.loss_pending,
            policy: PolicyUpdate::default(),
        }
    }

    /// Checks whether this instance may accept new work.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Draining`] when the instance is draining, and [`Reason::Configuration`]
    /// when the configuration was last known to be current longer ago than `term`.
    pub fn admits_work(&self, members: &Members, term: Millis, now: Millis) -> Result<(), Reason> {
        if members.draining {
            Err(Reason::Draining)
        } else if now.since(self.history_as_of) > term {
            Err(Reason::Configuration)
        } else {
            Ok(())
        }
    }
}

/// The workers that this instance controls, published by the control duty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControlledWorkers {
    /// The workers with their epochs, sorted by name.
    pub workers: Arc<Vec<WorkerControl>>,
    /// Number of adoptions since the start.
    pub adopted: u64,
    /// Number of workers that were handed over, lost or adopted by another instance since the
    /// start.
    pub given_up: u64,
}

impl ControlledWorkers {
    /// Replaces the workers and updates the counters. Returns whether anything changed.
    pub fn update(&mut self, workers: Vec<WorkerControl>) -> bool {
        if *self.workers == workers {
            return false;
        }
        let lacks = |list: &[WorkerControl], item: &WorkerControl| {
            let found = list.binary_search_by(|t| t.worker.cmp(&item.worker));
            found.map_or(true, |i| list[i].epoch != item.epoch)
        };
        self.adopted += workers.iter().filter(|w| lacks(&self.workers, w)).count() as u64;
        self.given_up += self.workers.iter().filter(|w| lacks(&workers, w)).count() as u64;
        self.workers = Arc::new(workers);
        true
    }
}

/// Statistics of the scheduler, published by the steward duty.
#[derive(Clone, Debug, Default)]
pub struct SchedulerStats {
    /// Decisions and waiting times since the start.
    pub counters: Counters,
    /// Total capacity of the workers that the scheduler sees.
    pub total: Capacity,
    /// The part of `total` that is free.
    pub free: Capacity,
    /// Capacity that the teams of this instance use and wait for.
    pub totals: Totals,
    /// Recent failures that this instance saw, oldest first.
    pub failures: Vec<NumberedFailure>,
}

impl SchedulerStats {
    /// Returns the policy data for a ping, with the totals or without.
    pub fn policy(&self, with_totals: bool) -> PolicyUpdate {
        PolicyUpdate {
            totals: with_totals.then(|| Box::new(self.totals)),
            failures: self.failures.clone(),
        }
    }
}

/// Returns the current time of the system clock, since the Unix epoch.
pub fn now() -> Millis {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(Millis::ZERO, Millis::from)
}
