//! The dispatch duty: sends requests to runners and returns their answers.
//!
//! [`pimentovalve_core::link`] makes the decisions; this duty executes them. Each request has an
//! async task, and each of its tries another one, which may outlive the request: a try that was
//! sent occupies a slot until the runner answers or must have abandoned it.

mod attempt;
mod request;

use crate::duty::Duty;
use crate::platform::Runner;
use crate::ring::{Latest, Receiver, Reply};
use crate::route::Route;
use crate::telemetry::Telemetry;
use crate::view::{self, ControlledWorkers, LedgerView, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::contract::request::{Answer, Reason, Request};
use pimentovalve_core::link::budget::{self, Budget};
use pimentovalve_core::link::dispatcher::{Choice, Dispatcher, Grant, SlotQuery};
use pimentovalve_core::link::permit::Permits;
use pimentovalve_core::machine::controller::WorkerControl;
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

/// Maximum number of concurrent requests; further ones are refused.
const MAX_REQUESTS: usize = 2048;
/// Period of the timer that runs time-based decisions while a request waits for a runner.
const TICK: Duration = Duration::from_millis(20);
/// Retry interval given to callers where the policy has not set one.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// An event for the dispatch duty.
#[derive(Debug)]
pub enum Event {
    /// A caller's request.
    Request {
        /// The checked request.
        request: Request,
        /// Receives the one answer.
        reply: Reply<Answer>,
    },
    /// A request that another entry instance forwards to a runner of this one.
    Forward {
        /// The request and the runner that was chosen for it.
        forward: Forward,
        /// Receives the outcome.
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

    /// Refuses the event because too many requests are in progress.
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
            tracing::debug!("caller stopped waiting; refusal discarded");
        }
    }
}

/// The dispatch duty.
pub struct Dispatch {
    /// Byte counters of calls to peers.
    pub traffic: Arc<Traffic>,
    /// Makes the decisions that this duty executes.
    pub dispatcher: Dispatcher,
    /// Client of runners.
    pub runner: Arc<dyn Runner>,
    /// Client of the stewards that record the keys of requests.
    pub route: Route,
    /// Requests from the fronts.
    pub events: Receiver<Event>,
    /// Membership as published by the gossip duty.
    pub members: Latest<Arc<Members>>,
    /// Replicated state as published by the ledger duty.
    pub ledger_view: Latest<LedgerView>,
    /// Workers controlled by this instance, as published by the control duty.
    pub controlled: Latest<ControlledWorkers>,
    /// Records timeline events.
    pub telemetry: Telemetry,
}

/// A try that waits for a runner.
struct Waiting {
    ticket: u64,
    attempt: Name,
    grant: oneshot::Sender<Grant>,
}

/// The state on which decisions are based. It is used only on the duty's thread, and the lock is
/// never held across an await point.
struct State {
    dispatcher: Dispatcher,
    budget: Budget,
    permits: Permits,
    /// Sorted by ticket.
    waiting: Vec<Waiting>,
}

/// State shared by the async tasks of all requests.
struct Shared {
    state: Mutex<State>,
    runner: Arc<dyn Runner>,
    route: Route,
    client: Client,
    members: Latest<Arc<Members>>,
    ledger_view: Latest<LedgerView>,
    telemetry: Telemetry,
    /// The next number of a try, ticket or submission.
    next_number: AtomicU64,
    /// When the duty started.
    started: Millis,
    tracker: TaskTracker,
    /// Wakes the duty's loop when a try starts to wait, since the loop's timer is off while
    /// nothing waits.
    wake: Notify,
}

impl Duty for Dispatch {
    fn name(&self) -> &'static str {
        "dispatch"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (mut members, mut controlled) = (self.members.clone(), self.controlled.clone());
            let (shared, events) = self.into_shared();
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
                    Ok(()) = controlled.changed() => {
                        let seen = Arc::clone(&controlled.borrow_and_update().workers);
                        shared.controlled(&seen);
                    }
                    () = shared.wake.notified() => {}
                    _ = tick.tick(), if !idle => shared.run_due(),
                }
            }
            shared.finish(&events, &mut controlled).await;
        })
    }
}

impl Dispatch {
    fn into_shared(self) -> (Arc<Shared>, Receiver<Event>) {
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
            ledger_view: self.ledger_view,
            telemetry: self.telemetry,
            next_number: AtomicU64::new(0),
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

    /// Returns a number that is unique among tries, tickets and submissions of this start.
    fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Spawns the task of a request if its class has a permit left, and refuses it otherwise.
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

    /// Completes the requests in flight and those that are still in the ring.
    async fn finish(
        self: &Arc<Self>,
        events: &Receiver<Event>,
        controlled: &mut Latest<ControlledWorkers>,
    ) {
        while let Some(event) = events.try_next() {
            self.admit(event);
        }
        self.tracker.close();
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                () = self.tracker.wait() => return,
                Ok(()) = controlled.changed() => {
                    let seen = Arc::clone(&controlled.borrow_and_update().workers);
                    self.controlled(&seen);
                }
                _ = tick.tick() => self.run_due(),
            }
        }
    }

    fn members(self: &Arc<Self>, members: &Members) {
        let runners: Vec<Instance> = members.of_role(Role::Runner).cloned().collect();
        let history = Arc::clone(&self.ledger_view.borrow().history);
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
        self.deliver_grants();
    }

    fn controlled(self: &Arc<Self>, controlled: &[WorkerControl]) {
        let lost = self.state().dispatcher.controlled(controlled, view::now());
        for address in lost {
            self.runner.forget(&address);
        }
        self.run_due();
    }

    /// Runs the decisions that depend on time.
    fn run_due(self: &Arc<Self>) {
        let queries = self.state().dispatcher.queries(view::now());
        for query in queries {
            let shared = Arc::clone(self);
            tokio::spawn(async move { shared.query_slots(query).await });
        }
        self.deliver_grants();
    }

    async fn query_slots(&self, query: SlotQuery) {
        match self.runner.slots(&query.address).await {
            Ok(slots) => {
                self.state().dispatcher.query_answered(&query, slots.in_use);
                self.deliver_grants();
            }
            Err(failure) => {
                tracing::debug!(
                    runner = %query.runner, ?failure, "runner did not report its slots"
                );
            }
        }
    }

    /// Hands the dispatcher's decisions to the waiting tries: a runner, or a refusal for those that
    /// waited too long.
    fn deliver_grants(&self) {
        let mut state = self.state();
        let now = view::now();
        for (ticket, grant) in state.dispatcher.grants(now) {
            let Ok(i) = state.waiting.binary_search_by_key(&ticket, |w| w.ticket) else {
                continue;
            };
            let Waiting { grant: sender, attempt, .. } = state.waiting.remove(i);
            if let Err(Grant::Go(choice)) = sender.send(grant) {
                state.release_unsent(&choice, &attempt);
            }
        }
        drop(state);
        self.wake.notify_one();
    }
}

impl State {
    /// Releases the slot, or the count of forwarded tries, that was taken for a try that was not
    /// sent.
    fn release_unsent(&mut self, choice: &Choice, attempt: &Name) {
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
