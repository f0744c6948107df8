//! The dispatcher: chooses the runner of a request and spends its slots.
//!
//! Only the controller of a runner's worker spends its slots. After it has taken a worker over it
//! waits for [`Config::settle`], so that a former controller that does not know yet has stopped.

use crate::clock::Millis;
use crate::contract::request;
use crate::link::slot::Pool;
use crate::machine::runner::Limits;
use crate::machine::worker::Epoch;
use crate::name::Name;
use crate::zone::Place;
use crate::zone::membership::{Instance, State};

/// Settings of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after an adoption before the worker's runners are used.
    pub settle: Millis,
    /// Time after a request's deadline within which its runner gives it up.
    pub margin: Millis,
    /// Time for which a runner that failed is used only when there is no other.
    pub penalty: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Self { settle: Millis(500), margin: Millis(500), penalty: Millis::from_secs(2) }
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// To a runner of which a slot is spent now.
    Own {
        /// The runner.
        runner: Name,
        /// Its socket address.
        address: String,
    },
    /// To the controller of a runner's worker.
    Remote {
        /// The runner.
        runner: Name,
        /// Its worker.
        worker: Name,
    },
}

#[derive(Clone, Debug)]
struct Entry {
    instance: Instance,
    service: Name,
    worker: Name,
    pool: Pool,
    /// Since when this instance controls the worker, and under which epoch.
    held: Option<(Epoch, Millis)>,
    /// Used only when there is no other before this instant.
    shunned: Millis,
    /// When it was last chosen; the least recently chosen is preferred.
    chosen: u64,
}

/// The runners of all services.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    place: Place,
    config: Config,
    /// Sorted by name.
    entries: Vec<Entry>,
    choices: u64,
}

impl Dispatcher {
    /// Returns a dispatcher at a place that knows no runner.
    pub const fn new(place: Place, config: Config) -> Self {
        Self { place, config, entries: Vec::new(), choices: 0 }
    }

    /// Takes in the listed runners, with the limits of their services.
    pub fn members(&mut self, runners: &[Instance], limits: impl Fn(&Name) -> Limits) {
        self.entries.retain(|e| runners.iter().any(|r| r.name == e.instance.name));
        for runner in runners {
            let (Some(service), Some(worker)) = (&runner.service, &runner.worker) else {
                continue;
            };
            match self.position(runner.name.as_str()) {
                Ok(i) => {
                    self.entries[i].instance = runner.clone();
                    self.entries[i].pool.limit(limits(service));
                }
                Err(i) => self.entries.insert(
                    i,
                    Entry {
                        instance: runner.clone(),
                        service: service.clone(),
                        worker: worker.clone(),
                        pool: Pool::new(limits(service)),
                        held: None,
                        shunned: Millis::ZERO,
                        chosen: 0,
                    },
                ),
            }
        }
    }

    /// Takes in the workers that this instance controls, sorted by name.
    pub fn held(&mut self, held: &[(Name, Epoch)], now: Millis) {
        for entry in &mut self.entries {
            let found = held.binary_search_by(|(worker, _)| worker.cmp(&entry.worker));
            entry.held = found.ok().map(|i| {
                let epoch = held[i].1;
                entry.held.filter(|(old, _)| *old == epoch).unwrap_or((epoch, now))
            });
        }
    }

    /// Chooses a runner of a service that was not tried yet: an own one with a free slot first,
    /// then one of another controller, in the same region first.
    pub fn choose(
        &mut self,
        service: &str,
        request: &request::Id,
        tried: &[Name],
        deadline: Millis,
        now: Millis,
    ) -> Option<Choice> {
        let settle = self.config.settle;
        let fit = |e: &Entry| {
            e.service.as_str() == service
                && e.instance.state == State::Live
                && !tried.contains(&e.instance.name)
        };
        for entry in &mut self.entries {
            entry.pool.expire(now);
        }
        let ready = |e: &Entry| {
            e.held.is_none_or(|(_, since)| now.since(since) >= settle && e.pool.free() > 0)
        };
        let best = self
            .entries
            .iter()
            .enumerate()
            .filter(|(_, e)| fit(e) && ready(e))
            .min_by_key(|(_, e)| {
                let far = !e.instance.place.same_region(&self.place);
                (e.shunned > now, far, e.held.is_none(), e.chosen)
            })
            .map(|(i, _)| i)?;
        self.choices += 1;
        self.entries[best].chosen = self.choices;
        if self.entries[best].held.is_some() {
            return self.spend(best, request, deadline);
        }
        let entry = &self.entries[best];
        let (runner, worker) = (entry.instance.name.clone(), entry.worker.clone());
        Some(Choice::Remote { runner, worker })
    }

    /// Spends a slot of the given runner, if this instance may.
    pub fn take(
        &mut self,
        runner: &str,
        request: &request::Id,
        deadline: Millis,
        now: Millis,
    ) -> Option<Choice> {
        let i = self.position(runner).ok()?;
        let entry = &mut self.entries[i];
        entry.pool.expire(now);
        let settled = entry.held.is_some_and(|(_, since)| now.since(since) >= self.config.settle);
        let live = entry.instance.state == State::Live;
        if settled && live { self.spend(i, request, deadline) } else { None }
    }

    /// Gives a slot back: the runner answered, or certainly did not get the request.
    pub fn release(&mut self, runner: &str, request: &request::Id) {
        if let Ok(i) = self.position(runner) {
            self.entries[i].pool.release(request);
        }
    }

    /// Notes that a runner failed, or its controller did not take the request.
    pub fn shun(&mut self, runner: &str, now: Millis) {
        if let Ok(i) = self.position(runner) {
            self.entries[i].shunned = now + self.config.penalty;
        }
    }

    fn spend(&mut self, i: usize, request: &request::Id, deadline: Millis) -> Option<Choice> {
        let free_by = deadline + self.config.margin;
        let entry = &mut self.entries[i];
        entry.pool.spend(request, free_by).then(|| Choice::Own {
            runner: entry.instance.name.clone(),
            address: entry.instance.address.clone(),
        })
    }

    fn position(&self, runner: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.instance.name.as_str().cmp(runner))
    }
}
