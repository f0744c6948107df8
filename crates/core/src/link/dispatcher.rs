//! The dispatcher: chooses the runner of each attempt and allocates its slots.
//!
//! Only the controller of a runner's worker allocates the runner's slots. Three rules ensure that
//! all entry instances together never exceed the number of slots:
//!
//! - A controller allocates slots only for [`Config::term`] after it sent the last call that its
//!   worker answered under its epoch. A controller that is paused or disconnected from the worker
//!   therefore stops on its own.
//! - After adopting the worker, a new controller waits for [`Config::settle`], the term plus the
//!   clock skew, by which time the former controller has stopped.
//! - The slots that the former controller still uses are unknown until the runner reports how many
//!   are in use ([`Pool::report`]) or the latest possible deadline has passed. The same applies
//!   after an attempt without a response.

mod runner_state;

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::request::{MAX_WAIT, Reason};
use crate::link::latency::Window;
use crate::link::queue::{Queue, Waiter};
use crate::link::slot::Pool;
use crate::machine::controller::WorkerControl;
use crate::machine::runner::Limits;
use crate::name::Name;
use crate::zone::Place;
use crate::zone::membership::Instance;
use runner_state::{Control, RunnerState};

#[cfg(test)]
mod tests;

/// Shortest retry delay reported to a caller.
const MIN_RETRY_AFTER: Millis = Millis(100);
/// Quantile of recent latencies used as the hedging delay, in thousandths.
const HEDGE_PER_MILLE: usize = 950;
/// Shortest hedging delay.
const MIN_HEDGE_DELAY: Millis = Millis(30);
/// Hedging delay until there are enough latency samples of the service.
const DEFAULT_HEDGE_DELAY: Millis = Millis(300);

/// Settings of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after the last confirmation of control during which slots may be allocated.
    pub term: Millis,
    /// Time after adopting a worker before its runners are used: the term plus the clock skew.
    pub settle: Millis,
    /// Time after an attempt's deadline within which the runner abandons it.
    pub margin: Millis,
    /// Time after a failure during which a runner is used only if there is no other.
    pub penalty: Millis,
    /// Pause between two slot queries to a runner.
    pub query_pause: Millis,
    /// Longest time that a runner is not used after an attempt without a response, unless it
    /// answers a slot query before.
    pub probation: Millis,
    /// Limit on the attempts of one class that wait for a slot of one service.
    pub queue: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            term: Millis(1500),
            settle: Millis(1700),
            margin: Millis(500),
            penalty: Millis::from_secs(2),
            query_pause: Millis(200),
            probation: Millis::from_secs(5),
            queue: 512,
        }
    }
}

/// The destination of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to a runner, whose slot is now allocated.
    Own {
        /// The runner.
        runner: Name,
        /// Its socket address.
        address: String,
    },
    /// Forward it to the controller of a runner's worker.
    Remote {
        /// The runner.
        runner: Name,
        /// The entry instance that controls its worker.
        controller: Name,
    },
}

/// The result of waiting for a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// The attempt is dispatched to this destination.
    Go(Choice),
    /// The attempt is refused, with the reason and the delay after which to retry.
    Refused(Reason, Millis),
}

/// A query to a runner for its number of slots in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotQuery {
    /// The runner.
    pub runner: Name,
    /// Its socket address.
    pub address: String,
    /// Number of the query, which is ignored if outdated.
    pub number: u64,
}

/// Queue and latencies of one service.
#[derive(Clone, Debug)]
struct Service {
    name: Name,
    queue: Queue,
    latencies: Window,
}

/// Dispatches the attempts of one entry instance to the runners of all services.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    place: Place,
    config: Config,
    /// Runners, sorted by name.
    runners: Vec<RunnerState>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Controlled workers, sorted by name.
    controlled: Vec<(Name, Control)>,
    /// Number of attempts dispatched, for the least recently chosen runner.
    choices: u64,
}

impl Dispatcher {
    /// Returns a dispatcher without runners for an instance at `place`.
    pub const fn new(place: Place, config: Config) -> Self {
        Self {
            place,
            config,
            runners: Vec::new(),
            services: Vec::new(),
            controlled: Vec::new(),
            choices: 0,
        }
    }

    /// Updates the listed runners, the limits of their services, and which other entry instance
    /// controls each worker.
    pub fn members(
        &mut self,
        listed: &[Instance],
        limits: impl Fn(&Name) -> Limits,
        controller: impl Fn(&Name) -> Option<Name>,
        now: Millis,
    ) {
        self.runners.retain(|r| listed.iter().any(|l| l.name == r.instance.name));
        for runner in listed {
            let (Some(service), Some(worker)) = (&runner.service, &runner.worker) else {
                continue;
            };
            let i = match self.position(runner.name.as_str()) {
                Ok(i) => i,
                Err(i) => {
                    let pool = Pool::new(limits(service));
                    self.runners.insert(i, RunnerState::new(runner, service, worker, pool));
                    i
                }
            };
            let state = &mut self.runners[i];
            state.instance = runner.clone();
            state.pool.set_limits(limits(service));
            state.controller = controller(worker);
        }
        self.update_control(now);
    }

    /// Updates the workers that this instance controls, sorted by name. Returns the addresses of
    /// runners that it may no longer use, whose connections must be closed.
    pub fn controlled(&mut self, workers: &[WorkerControl], now: Millis) -> Vec<String> {
        let old = std::mem::take(&mut self.controlled);
        let controlled = workers.iter().map(|worker_control| {
            let known = old.binary_search_by(|(worker, _)| worker.cmp(&worker_control.worker));
            let known = known.ok().map(|i| old[i].1).filter(|c| c.epoch == worker_control.epoch);
            let since = known.map_or(now, |c| c.since);
            let control =
                Control { epoch: worker_control.epoch, since, proven: worker_control.proven };
            (worker_control.worker.clone(), control)
        });
        self.controlled = controlled.collect();
        self.update_control(now)
    }

    /// Updates the control of each runner's worker. Returns the addresses of runners that this
    /// instance may no longer use.
    fn update_control(&mut self, now: Millis) -> Vec<String> {
        let Self { controlled, runners, config, .. } = self;
        let longest = config.settle + MAX_WAIT + config.margin;
        let mut lost = Vec::new();
        for runner in runners {
            let found = controlled.binary_search_by(|(worker, _)| worker.cmp(&runner.worker));
            let new = found.ok().map(|i| controlled[i].1);
            let same = |c: &Control| runner.control.is_some_and(|old| old.epoch == c.epoch);
            // Under epoch 1 there is no former controller.
            if new.is_some_and(|c| c.epoch > 1 && !same(&c)) {
                runner.pool.set_unknown(now + longest);
            }
            if new.is_none() && runner.control.is_some() {
                lost.push(runner.instance.address.clone());
            }
            runner.control = new;
        }
        lost
    }

    /// Queues an attempt for a runner. [`Self::grants`] returns its result.
    ///
    /// # Errors
    ///
    /// Returns the reason and the retry delay if the attempt is refused at once, because the queue
    /// of its class is full or its expected wait is too long.
    pub fn wait(
        &mut self,
        service: &Name,
        waiter: Waiter,
        now: Millis,
    ) -> Result<(), (Reason, Millis)> {
        let expected = self.expected_wait(service.as_str(), waiter.class, now);
        let limit = self.config.queue;
        let service = self.service(service);
        if service.queue.depth(waiter.class) >= limit || now + expected > waiter.until {
            return Err((Reason::Overload, expected.max(MIN_RETRY_AFTER)));
        }
        service.queue.push(waiter);
        Ok(())
    }

    /// Removes an attempt from the queue because its request is no longer waiting.
    pub fn leave(&mut self, ticket: u64) {
        for service in &mut self.services {
            service.queue.remove(ticket);
        }
    }

    /// Returns the results of queued attempts by ticket: those that can be dispatched now, whose
    /// slots are allocated, and those whose waiting time has expired.
    pub fn grants(&mut self, now: Millis) -> Vec<(u64, Grant)> {
        for runner in &mut self.runners {
            runner.pool.expire(now);
        }
        let mut grants = Vec::new();
        for i in 0..self.services.len() {
            self.grant_service(i, now, &mut grants);
        }
        grants
    }

    fn grant_service(&mut self, i: usize, now: Millis, grants: &mut Vec<(u64, Grant)>) {
        let mut expired = Vec::new();
        let mut queue = std::mem::take(&mut self.services[i].queue);
        let service = self.services[i].name.clone();
        queue.expire(now, &mut expired);
        while let Some((waiter, found)) =
            queue.grant(|waiter| self.choose(service.as_str(), waiter, now))
        {
            let choice = self.dispatch(found, &waiter);
            grants.push((waiter.ticket, Grant::Go(choice)));
        }
        self.services[i].queue = queue;
        for waiter in expired {
            let known = self.runners.iter().any(|r| r.service == service);
            let reason = if known { Reason::Overload } else { Reason::Unavailable };
            let refused = Grant::Refused(reason, self.retry_after(&service, waiter.class, now));
            grants.push((waiter.ticket, refused));
        }
    }

    /// Chooses a runner with a free slot. In order of precedence, it prefers a runner that was not
    /// tried yet, one without a recent failure, the one that a forwarding instance chose, the same
    /// region, a worker controlled by this instance, the lowest load, and the least recently
    /// chosen.
    fn choose(&self, service: &str, waiter: &Waiter, now: Millis) -> Option<usize> {
        let of_service = |r: &RunnerState| r.service.as_str() == service;
        let forwarded = waiter.forwarded.is_some();
        let candidates = self.runners.iter().enumerate().filter(|(_, r)| of_service(r));
        candidates
            .filter(|(_, r)| r.accepts(&self.config, waiter.class, forwarded, now))
            .min_by_key(|(_, r)| {
                let other = forwarded && waiter.forwarded.as_ref() != Some(&r.instance.name);
                let remote_region = !r.instance.place.same_region(&self.place);
                let tried = waiter.tried.contains(&r.instance.name);
                (
                    tried,
                    r.penalized_until > now,
                    other,
                    remote_region,
                    r.control.is_none(),
                    r.load(),
                    r.last_chosen,
                )
            })
            .map(|(i, _)| i)
    }

    /// Allocates a slot of the chosen runner, or counts the attempt as forwarded.
    fn dispatch(&mut self, i: usize, waiter: &Waiter) -> Choice {
        self.choices += 1;
        let free_by = waiter.deadline + self.config.margin;
        let state = &mut self.runners[i];
        state.last_chosen = self.choices;
        let runner = state.instance.name.clone();
        match &state.controller {
            Some(controller) if state.control.is_none() => {
                state.forwarded += 1;
                Choice::Remote { runner, controller: controller.clone() }
            }
            _ => {
                state.pool.allocate(&waiter.attempt, free_by);
                Choice::Own { runner, address: state.instance.address.clone() }
            }
        }
    }

    /// Frees an attempt's slot: the runner answered, or certainly did not receive the attempt.
    pub fn release(&mut self, runner: &str, attempt: &Name) {
        if let Ok(i) = self.position(runner) {
            self.runners[i].pool.release(attempt);
        }
    }

    /// Records an attempt without a response. Its slot stays allocated, and nothing new is sent to
    /// the runner until it answers a slot query on a new connection or the probation ends.
    pub fn no_response(&mut self, runner: &str, now: Millis) {
        let (probation, penalty) = (self.config.probation, self.config.penalty);
        if let Ok(i) = self.position(runner) {
            let state = &mut self.runners[i];
            state.pool.set_unknown(now + probation);
            state.penalized_until = now + penalty;
        }
    }

    /// Records that a runner refused an attempt or sent an invalid response. It is used only if
    /// there is no other until the penalty ends.
    pub fn penalize(&mut self, runner: &str, now: Millis) {
        if let Ok(i) = self.position(runner) {
            self.runners[i].penalized_until = now + self.config.penalty;
        }
    }

    /// Records that a forwarded attempt has ended. `pause` is set if the controller refused it:
    /// then no attempt of this class or a less urgent one is forwarded to that controller's runners
    /// of the service for the pause, but no longer than the penalty.
    pub fn returned(&mut self, runner: &str, pause: Option<(Class, Millis)>, now: Millis) {
        let Ok(i) = self.position(runner) else { return };
        self.runners[i].forwarded = self.runners[i].forwarded.saturating_sub(1);
        let Some((class, pause)) = pause else { return };
        let until = now + pause.min(self.config.penalty);
        let (service, controller) =
            (self.runners[i].service.clone(), self.runners[i].controller.clone());
        for state in &mut self.runners {
            if state.service == service && state.controller == controller {
                state.forwarding_paused_until[class.index()..].fill(until);
            }
        }
    }

    /// Returns the slot queries to send now.
    pub fn queries(&mut self, now: Millis) -> Vec<SlotQuery> {
        let Self { runners, config, .. } = self;
        let mut queries = Vec::new();
        for state in runners.iter_mut().filter(|r| r.is_usable(config, now)) {
            let Some(number) = state.pool.query() else { continue };
            if now < state.next_query {
                continue;
            }
            state.next_query = now + config.query_pause;
            let (runner, address) = (state.instance.name.clone(), state.instance.address.clone());
            queries.push(SlotQuery { runner, address, number });
        }
        queries
    }

    /// Applies a runner's answer to a slot query: its number of slots in use.
    pub fn query_answered(&mut self, query: &SlotQuery, in_use: u32) {
        if let Ok(i) = self.position(query.runner.as_str()) {
            let in_use = usize::try_from(in_use).unwrap_or(usize::MAX);
            self.runners[i].pool.report(query.number, in_use);
        }
    }

    /// Records the latency of a whole response of a service.
    pub fn answered(&mut self, service: &Name, latency: Millis) {
        self.service(service).latencies.record(latency);
    }

    /// Returns the delay after which an idempotent request to a service is hedged.
    pub fn hedge_after(&self, service: &str) -> Millis {
        let known = self.services.iter().find(|s| s.name.as_str() == service);
        let quantile = known.and_then(|s| s.latencies.quantile(HEDGE_PER_MILLE));
        quantile.map_or(DEFAULT_HEDGE_DELAY, |q| q.max(MIN_HEDGE_DELAY))
    }

    /// Returns whether no attempt is queued and no slot query is due, so that nothing changes with
    /// time alone.
    pub fn is_idle(&self) -> bool {
        let no_query = |r: &RunnerState| r.control.is_none() || r.pool.query().is_none();
        self.services.iter().all(|s| s.queue.is_empty()) && self.runners.iter().all(no_query)
    }

    /// Returns the delay after which a refused request should be retried.
    pub fn retry_after(&self, service: &Name, class: Class, now: Millis) -> Millis {
        self.expected_wait(service.as_str(), class, now).max(MIN_RETRY_AFTER)
    }

    /// Estimates how long a new attempt of a class would wait: the mean latency times the number of
    /// attempts ahead, divided by the number of usable slots.
    fn expected_wait(&self, service: &str, class: Class, now: Millis) -> Millis {
        let Some(known) = self.services.iter().find(|s| s.name.as_str() == service) else {
            return Millis::ZERO;
        };
        let of_service = self.runners.iter().filter(|r| r.service.as_str() == service);
        let slots = of_service.map(|r| r.usable_slots(&self.config, class, now)).sum::<usize>();
        let ahead = u64::try_from(known.queue.ahead(class)).unwrap_or(u64::MAX);
        let mean = known.latencies.mean().unwrap_or(Millis::ZERO);
        let wait = mean.times(ahead).get().checked_div(u64::try_from(slots).unwrap_or(u64::MAX));
        Millis(wait.unwrap_or(0))
    }

    fn service(&mut self, name: &Name) -> &mut Service {
        let i = match self.services.binary_search_by(|s| s.name.cmp(name)) {
            Ok(i) => i,
            Err(i) => {
                let (queue, latencies) = (Queue::default(), Window::default());
                self.services.insert(i, Service { name: name.clone(), queue, latencies });
                i
            }
        };
        &mut self.services[i]
    }

    fn position(&self, runner: &str) -> Result<usize, usize> {
        self.runners.binary_search_by(|r| r.instance.name.as_str().cmp(runner))
    }
}
