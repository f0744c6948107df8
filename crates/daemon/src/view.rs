//! What duties publish to each other: the newest value replaces the older one.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::configuration::Version;
use pimentovalve_core::contract::measure::Counters;
use pimentovalve_core::contract::request::Reason;
use pimentovalve_core::contract::share::Totals;
use pimentovalve_core::ledger::Stream;
use pimentovalve_core::ledger::fleet::Fleet;
use pimentovalve_core::ledger::history::History;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::controller::Tenure;
use pimentovalve_core::zone::membership::{Instance, Role, State};
use pimentovalve_core::zone::stewardship;
use pimentovalve_wire::peer::{News, Ping, Tidings};
use std::sync::Arc;

/// The instances that exist, as the gossip duty sees them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// This instance.
    pub own: Instance,
    /// All listed instances.
    pub listed: Arc<Vec<Instance>>,
    /// Entry instances that may own something, sorted by name.
    pub candidates: Vec<Instance>,
    /// Entry instances that must be told, listed now or within the list's lag.
    pub peers: Vec<Instance>,
    /// Since when every instance that relies on its list must ask this one, if that can be shown.
    /// Only then may it record a loss or rest on one.
    pub asked_since: Option<Millis>,
    /// Whether this instance drains.
    pub draining: bool,
    /// Greatest version of the configuration that a peer said to have in force.
    pub informed: Version,
}

impl Members {
    /// Returns a view that knows only this instance.
    pub fn alone(own: Instance) -> Self {
        Self {
            own,
            listed: Arc::default(),
            candidates: Vec::new(),
            peers: Vec::new(),
            asked_since: None,
            draining: false,
            informed: 0,
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

/// The streams that everybody reads, as the ledger duty has them.
#[derive(Clone, Debug, Default)]
pub struct Facts {
    /// The configuration with its history.
    pub history: Arc<History>,
    /// Instant as of which the history is complete.
    pub history_as_of: Millis,
    /// The losses.
    pub fleet: Arc<Fleet>,
    /// Instant as of which the losses are complete.
    pub fleet_as_of: Millis,
    /// Whether a loss that this instance recorded may still land.
    pub loss_pending: bool,
    /// Whether the last call of the log failed.
    pub log_out: bool,
}

impl Facts {
    /// Returns what this instance says of itself to its peers.
    pub fn word(&self, own: &Instance) -> Ping {
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
            tidings: Tidings::default(),
        }
    }

    /// Returns whether new work may be taken, or why not.
    ///
    /// # Errors
    ///
    /// Returns the reason with which new work is refused.
    pub fn open(&self, members: &Members, term: Millis, now: Millis) -> Result<(), Reason> {
        if members.draining {
            Err(Reason::Draining)
        } else if now.since(self.history_as_of) > term {
            Err(Reason::Configuration)
        } else {
            Ok(())
        }
    }
}

/// The workers that the control duty controls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Held {
    /// The workers, sorted by name.
    pub workers: Arc<Vec<Tenure>>,
    /// Adoptions since the start.
    pub adopted: u64,
    /// Workers that were handed over, lost or taken since the start.
    pub given_up: u64,
}

impl Held {
    /// Takes in the workers that are controlled now. Returns whether something changed.
    pub fn update(&mut self, workers: Vec<Tenure>) -> bool {
        if *self.workers == workers {
            return false;
        }
        let lacks = |list: &[Tenure], item: &Tenure| {
            let found = list.binary_search_by(|t| t.worker.cmp(&item.worker));
            found.map_or(true, |i| list[i].epoch != item.epoch)
        };
        self.adopted += workers.iter().filter(|w| lacks(&self.workers, w)).count() as u64;
        self.given_up += self.workers.iter().filter(|w| lacks(&workers, w)).count() as u64;
        self.workers = Arc::new(workers);
        true
    }
}

/// What the steward duty measures.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Counters of the scheduler.
    pub counters: Counters,
    /// Capacity of the fleet in view.
    pub total: Capacity,
    /// Capacity that is free in view.
    pub free: Capacity,
    /// What this instance's teams use and wait for.
    pub totals: Totals,
    /// Failures that this instance saw lately, oldest first.
    pub news: Vec<News>,
}

impl Figures {
    /// Returns what peers are told, with the totals or without.
    pub fn tidings(&self, with_totals: bool) -> Tidings {
        Tidings { totals: with_totals.then(|| Box::new(self.totals)), news: self.news.clone() }
    }
}

/// Returns the present time of this process.
pub fn now() -> Millis {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(Millis::ZERO, Millis::from)
}
