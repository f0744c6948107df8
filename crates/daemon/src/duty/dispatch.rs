//! The dispatch duty: has requests served by runners.
//!
//! What to do is decided by [`pimentovalve_core::link`]; this duty carries it out. Each request
//! has a task of its own, and each of its tries another one, which outlives the request: a try
//! that was sent keeps its slot until the runner answers or must have given it up.

mod attempt;
mod request;

use crate::duty::Duty;
use crate::platform::Runner;
use crate::ring::{Latest, Receiver, Reply};
use crate::route::Route;
use crate::telemetry::Telemetry;
use crate::view::{self, Facts, Held, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::contract::request::{Answer, Reason, Request};
use pimentovalve_core::link::budget::{self, Budget};
use pimentovalve_core::link::dispatcher::{Choice, Dispatcher, Grant, Question};
use pimentovalve_core::link::permit::Permits;
use pimentovalve_core::machine::controller::Tenure;
use pimentovalve_core::machine::runner::Limits;
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::membership::{Instance, Role};
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::peer::{Forward, Forwarded};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Most requests under way at once; more are refused.
const MAX_REQUESTS: usize = 2048;
/// Time between two looks at what is due, while something waits.
const TICK: Duration = Duration::from_millis(20);
/// When to come back after a refusal that the policy didn't time.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// An event for the dispatch duty.
#[derive(Debug)]
pub enum Event {
    /// A request of a caller.
    Request {
        /// The request.
        request: Request,
        /// Where the answer goes.
        reply: Reply<Answer>,
    },
    /// A request that another entry instance hands on.
    Forward {
        /// The request with its runner.
        forward: Forward,
        /// Where the outcome goes.
        reply: Reply<Forwarded>,
    },
}

impl Event {
    const fn class(&self) -> Class {
        match self {
            Self::Request { request, .. } => request.class,
            Self::Forward { forward, .. } => forward.request.class,
        }
    }

    /// Refuses the event, because too many requests are under way.
    fn refuse(self) {
        let gone = match self {
            Self::Request { request, reply } => {
                reply.send(not_run(&request, Reason::Overload)).is_err()
            }
            Self::Forward { reply, .. } => {
                reply.send(Forwarded::Busy { retry_after_ms: RETRY_AFTER }).is_err()
            }
        };
        if gone {
            tracing::debug!("nobody waits for a refusal any more");
        }
    }
}

/// The dispatch duty.
pub struct Dispatch {
    /// Counts the bytes of calls to peers.
    pub traffic: Arc<Traffic>,
    /// The dispatcher.
    pub dispatcher: Dispatcher,
    /// Access to runners.
    pub runner: Arc<dyn Runner>,
    /// The way to stewards.
    pub route: Route,
    /// Events.
    pub events: Receiver<Event>,
    /// The instances.
    pub members: Latest<Arc<Members>>,
    /// What the ledger duty publishes.
    pub facts: Latest<Facts>,
    /// The workers that this instance controls.
    pub held: Latest<Held>,
    /// The time line.
    pub telemetry: Telemetry,
}

/// A try that waits for a runner.
struct Waiting {
    ticket: u64,
    attempt: Name,
    grant: oneshot::Sender<Grant>,
}

/// What decides, used on the duty's thread only and never across a wait.
struct State {
    dispatcher: Dispatcher,
    budget: Budget,
    permits: Permits,
    /// Sorted by ticket.
    waiting: Vec<Waiting>,
}

/// What the tasks of requests share.
struct Shared {
    state: Mutex<State>,
    runner: Arc<dyn Runner>,
    route: Route,
    client: Client,
    members: Latest<Arc<Members>>,
    facts: Latest<Facts>,
    telemetry: Telemetry,
    tries: AtomicU64,
    /// When the duty started.
    started: Millis,
    tracker: TaskTracker,
    /// Wakes the duty's loop when something has begun to wait.
    wake: Notify,
}

impl Duty for Dispatch {
    fn name(&self) -> &'static str {
        "dispatch"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (mut members, mut held) = (self.members.clone(), self.held.clone());
            let (shared, events) = self.split();
            let mut tick = tokio::time::interval(TICK);
            tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                let idle = shared.state().dispatcher.is_idle();
                tokio::select! {
                    () = stop.cancelled() => break,
                    Some(event) = events.next() => shared.admit(event),
                    Ok(()) = members.changed() => {
                        let seen = Arc::clone(&members.borrow_and_update());
                        shared.members(&seen);
                    }
                    Ok(()) = held.changed() => {
                        let seen = Arc::clone(&held.borrow_and_update().workers);
                        shared.held(&seen);
                    }
                    () = shared.wake.notified() => {}
                    _ = tick.tick(), if !idle => shared.due(),
                }
            }
            shared.finish(&events, &mut held).await;
        })
    }
}

impl Dispatch {
    fn split(self) -> (Arc<Shared>, Receiver<Event>) {
        let state = State {
            dispatcher: self.dispatcher,
            budget: Budget::new(budget::Config::default()),
            permits: Permits::new(MAX_REQUESTS),
            waiting: Vec::new(),
        };
        let shared = Shared {
            state: Mutex::new(state),
            runner: self.runner,
            route: self.route,
            client: Client::counted(self.traffic),
            members: self.members,
            facts: self.facts,
            telemetry: self.telemetry,
            tries: AtomicU64::new(0),
            started: view::now(),
            tracker: TaskTracker::new(),
            wake: Notify::new(),
        };
        (Arc::new(shared), self.events)
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a number that no other try or ticket has.
    fn number(&self) -> u64 {
        self.tries.fetch_add(1, Ordering::Relaxed)
    }

    /// Starts the task of a request, if its class has a permit left.
    fn admit(self: &Arc<Self>, event: Event) {
        let class = event.class();
        if !self.state().permits.take(class) {
            event.refuse();
            return;
        }
        let shared = Arc::clone(self);
        self.tracker.spawn(async move {
            shared.event(event).await;
            shared.state().permits.give(class);
        });
    }

    /// Finishes what is in flight, and what is still in the ring.
    async fn finish(self: &Arc<Self>, events: &Receiver<Event>, held: &mut Latest<Held>) {
        while let Some(event) = events.try_next() {
            self.admit(event);
        }
        self.tracker.close();
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                () = self.tracker.wait() => return,
                Ok(()) = held.changed() => {
                    let seen = Arc::clone(&held.borrow_and_update().workers);
                    self.held(&seen);
                }
                _ = tick.tick() => self.due(),
            }
        }
    }

    fn members(self: &Arc<Self>, members: &Members) {
        let runners: Vec<Instance> = members.of_role(Role::Runner).cloned().collect();
        let history = Arc::clone(&self.facts.borrow().history);
        let limits = |service: &Name| {
            let known = history.configuration().service(service.as_str());
            known.map_or_else(Limits::default, |s| s.runner)
        };
        let controller = |worker: &Name| {
            let worker = members.of_role(Role::Worker).find(|w| w.name == *worker)?;
            let controller = members.controller(worker)?;
            (controller.name != members.own.name).then(|| controller.name.clone())
        };
        self.state().dispatcher.members(&runners, limits, controller, view::now());
        self.settle();
    }

    fn held(self: &Arc<Self>, held: &[Tenure]) {
        let lost = self.state().dispatcher.held(held, view::now());
        for address in lost {
            self.runner.forget(&address);
        }
        self.due();
    }

    /// Does what the passing of time has made due.
    fn due(self: &Arc<Self>) {
        let questions = self.state().dispatcher.questions(view::now());
        for question in questions {
            let shared = Arc::clone(self);
            tokio::spawn(async move { shared.question(question).await });
        }
        self.settle();
    }

    async fn question(&self, question: Question) {
        match self.runner.slots(&question.address).await {
            Ok(slots) => {
                self.state().dispatcher.told(&question, slots.in_use);
                self.settle();
            }
            Err(failure) => {
                tracing::debug!(runner = %question.runner, ?failure, "a runner told no slots");
            }
        }
    }

    /// Lets those tries go that may, and refuses those that waited in vain.
    fn settle(&self) {
        let mut state = self.state();
        let now = view::now();
        for (ticket, grant) in state.dispatcher.grants(now) {
            let Ok(i) = state.waiting.binary_search_by_key(&ticket, |w| w.ticket) else {
                continue;
            };
            let Waiting { grant: sender, attempt, .. } = state.waiting.remove(i);
            if let Err(Grant::Go(choice)) = sender.send(grant) {
                state.give_back(&choice, &attempt);
            }
        }
        drop(state);
        self.wake.notify_one();
    }
}

impl State {
    /// Takes back what was spent for a try that was never sent.
    fn give_back(&mut self, choice: &Choice, attempt: &Name) {
        match choice {
            Choice::Own { runner, .. } => self.dispatcher.release(runner.as_str(), attempt),
            Choice::Remote { runner, .. } => {
                self.dispatcher.returned(runner.as_str(), None, view::now());
            }
        }
    }
}

fn not_run(request: &Request, reason: Reason) -> Answer {
    Answer::NotRun { request: request.id.clone(), reason, retry_after_ms: RETRY_AFTER }
}
