//! The dispatcher: chooses the runner of a try and spends its slots.
//!
//! Only the controller of a runner's worker spends its slots. Three rules keep all entry instances
//! together within them:
//!
//! - A controller spends only for [`Config::term`] after it sent the last call that its worker
//!   answered under its epoch. One that was paused, or cut off from the worker, stops by itself.
//! - A new controller waits for [`Config::settle`], the term with the clock skew, after it adopted
//!   the worker: then the former one has surely stopped spending.
//! - What the former one still has under way is in doubt until the runner tells how many slots are
//!   in use ([`Pool::prove`]), or until the longest deadline has passed. The same holds after a try
//!   went silent.

mod entry;

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::request::{MAX_WAIT, Reason};
use crate::link::latency::Window;
use crate::link::queue::{Queue, Waiter};
use crate::link::slot::Pool;
use crate::machine::controller::Tenure;
use crate::machine::runner::Limits;
use crate::name::Name;
use crate::zone::Place;
use crate::zone::membership::Instance;
use entry::{Entry, Held};

#[cfg(test)]
mod tests;

/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER: Millis = Millis(100);
/// Quantile of recent latencies, in thousandths, after which a request is hedged.
const HEDGE_PER_MILLE: usize = 950;
/// Shortest time before a hedge.
const MIN_HEDGE: Millis = Millis(30);
/// Time before a hedge while too little is known of the service's latency.
const FIRST_HEDGE: Millis = Millis(300);

/// Settings of a dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Time after the last proof of control for which slots are spent.
    pub term: Millis,
    /// Time after an adoption before the worker's runners are used: the term and the clock skew.
    pub settle: Millis,
    /// Time after a try's deadline within which its runner gives it up.
    pub margin: Millis,
    /// Time for which a runner that failed is used only when there is no other.
    pub penalty: Millis,
    /// Pause between two questions to a runner about its slots.
    pub question: Millis,
    /// Longest time for which a runner is not used after a silent try, if it answers no question.
    pub probation: Millis,
    /// Most tries of one class that wait for a slot of one service.
    pub queue: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            term: Millis(1500),
            settle: Millis(1700),
            margin: Millis(500),
            penalty: Millis::from_secs(2),
            question: Millis(200),
            probation: Millis::from_secs(5),
            queue: 512,
        }
    }
}

/// Where a try goes.
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
        /// The entry instance that controls its worker.
        controller: Name,
    },
}

/// What became of a try that waited.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It goes there.
    Go(Choice),
    /// It does not go: why, and when there may be room.
    Refused(Reason, Millis),
}

/// A question to a runner: how many of its slots are in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Question {
    /// The runner.
    pub runner: Name,
    /// Its socket address.
    pub address: String,
    /// Number of the question.
    pub number: u64,
}

#[derive(Clone, Debug)]
struct Service {
    name: Name,
    queue: Queue,
    latencies: Window,
}

/// The runners of all services.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    place: Place,
    config: Config,
    /// Sorted by name.
    entries: Vec<Entry>,
    /// Sorted by name.
    services: Vec<Service>,
    /// Sorted by worker.
    held: Vec<(Name, Held)>,
    choices: u64,
}

impl Dispatcher {
    /// Returns a dispatcher at a place that knows no runner.
    pub const fn new(place: Place, config: Config) -> Self {
        Self {
            place,
            config,
            entries: Vec::new(),
            services: Vec::new(),
            held: Vec::new(),
            choices: 0,
        }
    }

    /// Takes in the listed runners, the limits of their services, and which other entry instance
    /// controls a worker.
    pub fn members(
        &mut self,
        runners: &[Instance],
        limits: impl Fn(&Name) -> Limits,
        controller: impl Fn(&Name) -> Option<Name>,
        now: Millis,
    ) {
        self.entries.retain(|e| runners.iter().any(|r| r.name == e.instance.name));
        for runner in runners {
            let (Some(service), Some(worker)) = (&runner.service, &runner.worker) else {
                continue;
            };
            let i = match self.position(runner.name.as_str()) {
                Ok(i) => i,
                Err(i) => {
                    let pool = Pool::new(limits(service));
                    self.entries.insert(i, Entry::new(runner, service, worker, pool));
                    i
                }
            };
            let entry = &mut self.entries[i];
            entry.instance = runner.clone();
            entry.pool.limit(limits(service));
            entry.controller = controller(worker);
        }
        self.hand_out(now);
    }

    /// Takes in the workers that this instance controls, sorted by name. Returns the addresses of
    /// runners that it no longer may use, whose connections are to be closed.
    pub fn held(&mut self, tenures: &[Tenure], now: Millis) -> Vec<String> {
        let old = std::mem::take(&mut self.held);
        let held = tenures.iter().map(|tenure| {
            let known = old.binary_search_by(|(worker, _)| worker.cmp(&tenure.worker));
            let known = known.ok().map(|i| old[i].1).filter(|h| h.epoch == tenure.epoch);
            let since = known.map_or(now, |h| h.since);
            let held = Held { epoch: tenure.epoch, since, proven: tenure.proven };
            (tenure.worker.clone(), held)
        });
        self.held = held.collect();
        self.hand_out(now)
    }

    /// Gives each runner the tenure of its worker.
    fn hand_out(&mut self, now: Millis) -> Vec<String> {
        let Self { held, entries, config, .. } = self;
        let longest = config.settle + MAX_WAIT + config.margin;
        let mut lost = Vec::new();
        for entry in entries {
            let found = held.binary_search_by(|(worker, _)| worker.cmp(&entry.worker));
            let new = found.ok().map(|i| held[i].1);
            let same = |h: &Held| entry.held.is_some_and(|old| old.epoch == h.epoch);
            // The first controller of a worker has no former one.
            if new.is_some_and(|h| h.epoch > 1 && !same(&h)) {
                entry.pool.doubt(now + longest);
            }
            if new.is_none() && entry.held.is_some() {
                lost.push(entry.instance.address.clone());
            }
            entry.held = new;
        }
        lost
    }

    /// Lets a try wait for a runner. It is granted or refused by [`Self::grants`].
    ///
    /// # Errors
    ///
    /// Returns why the try is refused at once, and when there may be room: its class has too many
    /// waiting, or it would surely wait for too long.
    pub fn wait(
        &mut self,
        service: &Name,
        waiter: Waiter,
        now: Millis,
    ) -> Result<(), (Reason, Millis)> {
        let expected = self.expected_wait(service.as_str(), waiter.class, now);
        let most = self.config.queue;
        let service = self.service(service);
        if service.queue.depth(waiter.class) >= most || now + expected > waiter.until {
            return Err((Reason::Overload, expected.max(MIN_RETRY_AFTER)));
        }
        service.queue.join(waiter);
        Ok(())
    }

    /// Takes a try out of the queue, because nobody waits for it any more.
    pub fn leave(&mut self, ticket: u64) {
        for service in &mut self.services {
            service.queue.leave(ticket);
        }
    }

    /// Returns the tries that may go now, with the slots spent, and those that waited in vain.
    pub fn grants(&mut self, now: Millis) -> Vec<(u64, Grant)> {
        for entry in &mut self.entries {
            entry.pool.expire(now);
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
            let choice = self.take(found, &waiter);
            grants.push((waiter.ticket, Grant::Go(choice)));
        }
        self.services[i].queue = queue;
        for waiter in expired {
            let known = self.entries.iter().any(|e| e.service == service);
            let reason = if known { Reason::Overload } else { Reason::Unavailable };
            let refused = Grant::Refused(reason, self.retry_after(&service, waiter.class, now));
            grants.push((waiter.ticket, refused));
        }
    }

    /// Finds the runner of a try: one that was not tried, in the same region first, an own one
    /// first, the least loaded.
    fn choose(&self, service: &str, waiter: &Waiter, now: Millis) -> Option<usize> {
        let of_service = |e: &Entry| e.service.as_str() == service;
        let local = waiter.forwarded.is_some();
        let candidates = self.entries.iter().enumerate().filter(|(_, e)| of_service(e));
        candidates
            .filter(|(_, e)| e.has_room(&self.config, waiter.class, local, now))
            .min_by_key(|(_, e)| {
                let other = local && waiter.forwarded.as_ref() != Some(&e.instance.name);
                let far = !e.instance.place.same_region(&self.place);
                let tried = waiter.tried.contains(&e.instance.name);
                (tried, e.shunned > now, other, far, e.held.is_none(), e.load(), e.chosen)
            })
            .map(|(i, _)| i)
    }

    fn take(&mut self, i: usize, waiter: &Waiter) -> Choice {
        self.choices += 1;
        let free_by = waiter.deadline + self.config.margin;
        let entry = &mut self.entries[i];
        entry.chosen = self.choices;
        let runner = entry.instance.name.clone();
        match &entry.controller {
            Some(controller) if entry.held.is_none() => {
                entry.forwarded += 1;
                Choice::Remote { runner, controller: controller.clone() }
            }
            _ => {
                entry.pool.spend(&waiter.attempt, free_by);
                Choice::Own { runner, address: entry.instance.address.clone() }
            }
        }
    }

    /// Gives a slot back: the runner answered, or certainly did not get the try.
    pub fn release(&mut self, runner: &str, attempt: &Name) {
        if let Ok(i) = self.position(runner) {
            self.entries[i].pool.release(attempt);
        }
    }

    /// Notes that a try was not answered: its slot stays spent, and nothing new goes to the runner
    /// before it has answered a question on a new connection.
    pub fn silent(&mut self, runner: &str, now: Millis) {
        let (probation, penalty) = (self.config.probation, self.config.penalty);
        if let Ok(i) = self.position(runner) {
            let entry = &mut self.entries[i];
            entry.pool.doubt(now + probation);
            entry.shunned = now + penalty;
        }
    }

    /// Notes that a runner refused a try or answered wrongly.
    pub fn shun(&mut self, runner: &str, now: Millis) {
        if let Ok(i) = self.position(runner) {
            self.entries[i].shunned = now + self.config.penalty;
        }
    }

    /// Notes that a forwarded try has ended. When its controller did not take it, nothing of its
    /// class or a less urgent one is forwarded there for the given pause.
    pub fn returned(&mut self, runner: &str, pause: Option<(Class, Millis)>, now: Millis) {
        let Ok(i) = self.position(runner) else { return };
        self.entries[i].forwarded = self.entries[i].forwarded.saturating_sub(1);
        let Some((class, pause)) = pause else { return };
        let until = now + pause.min(self.config.penalty);
        let (service, controller) =
            (self.entries[i].service.clone(), self.entries[i].controller.clone());
        for entry in &mut self.entries {
            if entry.service == service && entry.controller == controller {
                entry.closed[class.index()..].fill(until);
            }
        }
    }

    /// Returns the questions that are to be put to runners now.
    pub fn questions(&mut self, now: Millis) -> Vec<Question> {
        let Self { entries, config, .. } = self;
        let mut questions = Vec::new();
        for entry in entries.iter_mut().filter(|e| e.is_usable(config, now)) {
            let Some(number) = entry.pool.question() else { continue };
            if now < entry.next_question {
                continue;
            }
            entry.next_question = now + config.question;
            let (runner, address) = (entry.instance.name.clone(), entry.instance.address.clone());
            questions.push(Question { runner, address, number });
        }
        questions
    }

    /// Takes in how many slots a runner says are in use.
    pub fn told(&mut self, question: &Question, in_use: u32) {
        if let Ok(i) = self.position(question.runner.as_str()) {
            let in_use = usize::try_from(in_use).unwrap_or(usize::MAX);
            self.entries[i].pool.prove(question.number, in_use);
        }
    }

    /// Notes how long a whole answer of a service took.
    pub fn answered(&mut self, service: &Name, latency: Millis) {
        self.service(service).latencies.note(latency);
    }

    /// Returns after which time an idempotent request to a service is hedged.
    pub fn hedge_after(&self, service: &str) -> Millis {
        let known = self.services.iter().find(|s| s.name.as_str() == service);
        let quantile = known.and_then(|s| s.latencies.quantile(HEDGE_PER_MILLE));
        quantile.map_or(FIRST_HEDGE, |q| q.max(MIN_HEDGE))
    }

    /// Returns whether nothing happens by the mere passing of time.
    pub fn is_idle(&self) -> bool {
        let quiet = |e: &Entry| e.held.is_none() || e.pool.question().is_none();
        self.services.iter().all(|s| s.queue.is_empty()) && self.entries.iter().all(quiet)
    }

    /// Returns when there may be room for a refused request, from now.
    pub fn retry_after(&self, service: &Name, class: Class, now: Millis) -> Millis {
        self.expected_wait(service.as_str(), class, now).max(MIN_RETRY_AFTER)
    }

    /// Returns how long a new try of a class would wait, as far as can be told.
    fn expected_wait(&self, service: &str, class: Class, now: Millis) -> Millis {
        let Some(known) = self.services.iter().find(|s| s.name.as_str() == service) else {
            return Millis::ZERO;
        };
        let of_service = self.entries.iter().filter(|e| e.service.as_str() == service);
        let room = of_service.map(|e| e.capacity(&self.config, class, now)).sum::<usize>();
        let ahead = u64::try_from(known.queue.ahead(class)).unwrap_or(u64::MAX);
        let mean = known.latencies.mean().unwrap_or(Millis::ZERO);
        let rounds = mean.times(ahead).get().checked_div(u64::try_from(room).unwrap_or(u64::MAX));
        Millis(rounds.unwrap_or(0))
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
        self.entries.binary_search_by(|e| e.instance.name.as_str().cmp(runner))
    }
}
