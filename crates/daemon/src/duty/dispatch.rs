//! The dispatch duty: has requests served by runners.
//!
//! A request ends in exactly one of three answers. It is "not run" only when every try of it is
//! known not to have run; a single try of unknown outcome makes it "unknown".

use crate::duty::Duty;
use crate::platform::{Failure, Runner};
use crate::ring::{Latest, Receiver, Reply};
use crate::route::{self, Route};
use crate::telemetry::Telemetry;
use crate::view::{self, Facts, Held, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request::{Answer, Reason, Request};
use pimentovalve_core::link::dispatcher::{Choice, Dispatcher};
use pimentovalve_core::machine::runner::Limits;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use pimentovalve_core::zone::membership::{Instance, Role};
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::peer::{Ask, Forward, Forwarded, Told};
use pimentovalve_wire::runner::Call;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Most requests under way at once; more are refused.
const MAX_REQUESTS: usize = 2048;
/// Most tries of one request.
const MAX_TRIES: usize = 6;
/// Pause before another try when no runner has a free slot.
const PAUSE: Duration = Duration::from_millis(20);
/// When to come back after a refusal.
const RETRY_AFTER: Millis = Millis::from_secs(1);
/// Time that an answer needs from here to the caller at most.
const RETURN_TIME: Millis = Millis(20);

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

/// What the tries of requests share; used on the duty's thread only.
struct Shared {
    dispatcher: Mutex<Dispatcher>,
    runner: Arc<dyn Runner>,
    route: Route,
    client: Client,
    members: Latest<Arc<Members>>,
    facts: Latest<Facts>,
    telemetry: Telemetry,
    tries: AtomicU64,
}

impl Duty for Dispatch {
    fn name(&self) -> &'static str {
        "dispatch"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (mut members, mut held) = (self.members.clone(), self.held.clone());
            let events = self.events;
            let shared = Arc::new(Shared {
                dispatcher: Mutex::new(self.dispatcher),
                runner: self.runner,
                route: self.route,
                client: Client::counted(self.traffic),
                members: self.members,
                facts: self.facts,
                telemetry: self.telemetry,
                tries: AtomicU64::new(0),
            });
            let permits = Arc::new(Semaphore::new(MAX_REQUESTS));
            let tracker = TaskTracker::new();
            loop {
                tokio::select! {
                    () = stop.cancelled() => break,
                    Some(event) = events.next() => {
                        match Arc::clone(&permits).try_acquire_owned() {
                            Ok(permit) => {
                                let shared = Arc::clone(&shared);
                                tracker.spawn(async move {
                                    shared.event(event).await;
                                    drop(permit);
                                });
                            }
                            Err(_) => refuse(event),
                        }
                    }
                    Ok(()) = members.changed() => shared.members(&members.borrow_and_update()),
                    Ok(()) = held.changed() => {
                        shared.dispatcher().held(&held.borrow_and_update().workers, view::now());
                    }
                }
            }
            tracker.close();
            tracker.wait().await;
        })
    }
}

/// What the tries of one request came to.
struct Tries {
    body: Option<String>,
    unknown: bool,
}

impl Shared {
    fn dispatcher(&self) -> MutexGuard<'_, Dispatcher> {
        self.dispatcher.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn members(&self, members: &Members) {
        let runners: Vec<Instance> = members.of_role(Role::Runner).cloned().collect();
        let history = Arc::clone(&self.facts.borrow().history);
        let limits = |service: &Name| {
            let known = history.configuration().service(service.as_str());
            known.map_or_else(Limits::default, |s| s.runner)
        };
        self.dispatcher().members(&runners, limits);
    }

    async fn event(&self, event: Event) {
        let gone = match event {
            Event::Request { request, reply } => {
                let answer = self.request(request).await;
                reply.send(answer).is_err()
            }
            Event::Forward { forward, reply } => {
                let outcome = self.forwarded(forward).await;
                reply.send(outcome).is_err()
            }
        };
        if gone {
            tracing::debug!("nobody waits for an answer any more");
        }
    }

    async fn request(&self, request: Request) -> Answer {
        let deadline = view::now() + request.wait_ms;
        if self.facts.borrow().history.configuration().version == 0 {
            return not_run(&request, Reason::Configuration);
        }
        if request.idempotent {
            let tries = self.tries(&request, deadline).await;
            return conclude(&request, tries);
        }
        match self.route.ask(&Ask::Claim { request: request.clone() }).await {
            Ok(Told::Claimed) => self.claimed(request, deadline).await,
            Ok(Told::Answer(answer)) => answer,
            Ok(Told::Refused(refusal)) if refusal.not_run => {
                not_run(&request, refusal.reason.unwrap_or(Reason::Unavailable))
            }
            Ok(Told::Refused(_)) | Err(route::Failure::Unknown) => {
                Answer::Unknown { request: request.id }
            }
            Ok(_) | Err(route::Failure::Refused) => not_run(&request, Reason::Ledger),
        }
    }

    /// Sends a request whose key this instance has claimed, once, and records the answer.
    async fn claimed(&self, request: Request, deadline: Millis) -> Answer {
        let tries = self.tries(&request, deadline).await;
        let answer = conclude(&request, tries);
        if matches!(answer, Answer::Unknown { .. }) {
            return answer;
        }
        let (team, id) = (request.team.clone(), request.id.clone());
        let settle = Ask::Settle { team, request: id, answer: answer.clone() };
        match self.route.ask(&settle).await {
            Ok(Told::Settled) => answer,
            // The answer is true all the same; only asking for it by id gives "unknown".
            other => {
                tracing::warn!(request = %request.id, ?other, "an answer could not be recorded");
                answer
            }
        }
    }

    /// Tries a request at runners until one answers, the deadline is near, or, for a request that
    /// is not idempotent, a try has an unknown outcome.
    async fn tries(&self, request: &Request, deadline: Millis) -> Tries {
        let mut tries = Tries { body: None, unknown: false };
        let mut tried: Vec<Name> = Vec::new();
        while view::now() + RETURN_TIME < deadline && tried.len() < MAX_TRIES {
            let (service, now) = (request.service.as_str(), view::now());
            let choice = self.dispatcher().choose(service, &request.id, &tried, deadline, now);
            let Some(choice) = choice else {
                tokio::time::sleep(PAUSE).await;
                continue;
            };
            let (runner, outcome) = self.attempt(request, choice, deadline).await;
            match outcome {
                Forwarded::Done { body } => {
                    tries.body = Some(body);
                    break;
                }
                Forwarded::NotRun => self.dispatcher().shun(runner.as_str(), view::now()),
                Forwarded::Unknown => {
                    self.dispatcher().shun(runner.as_str(), view::now());
                    tries.unknown = true;
                    if !request.idempotent {
                        break;
                    }
                }
            }
            tried.push(runner);
        }
        tries
    }

    async fn attempt(
        &self,
        request: &Request,
        choice: Choice,
        deadline: Millis,
    ) -> (Name, Forwarded) {
        let attempt = self.name_try();
        match choice {
            Choice::Own { runner, address } => {
                let outcome = self.serve(request, &runner, &address, attempt, deadline).await;
                (runner, outcome)
            }
            Choice::Remote { runner, worker } => {
                let outcome = self.forward(request, &runner, &worker, attempt, deadline).await;
                (runner, outcome)
            }
        }
    }

    /// Names a try uniquely.
    fn name_try(&self) -> Name {
        let number = self.tries.fetch_add(1, Ordering::Relaxed);
        let own = self.members.borrow().own.name.clone();
        Name::try_from(format!("{own}.{number}")).unwrap_or(own)
    }

    /// Hands a request to the controller of the runner's worker.
    async fn forward(
        &self,
        request: &Request,
        runner: &Name,
        worker: &Name,
        attempt: Name,
        deadline: Millis,
    ) -> Forwarded {
        let controller = {
            let members = self.members.borrow();
            let found = members.of_role(Role::Worker).find(|w| w.name == *worker);
            found.and_then(|w| members.controller(w)).cloned()
        };
        let Some(controller) = controller.filter(|c| c.name != self.members.borrow().own.name)
        else {
            return Forwarded::NotRun;
        };
        let left = deadline.since(view::now() + RETURN_TIME);
        let request = Request { wait_ms: left, ..request.clone() };
        let forward = Forward { request, runner: runner.clone(), attempt };
        let (address, path) = (controller.address.as_str(), "/peer/forward");
        let key = self.route.key.as_deref();
        match self.client.exchange_with_key(address, path, &forward, left, key).await {
            Ok(outcome) => outcome,
            Err(error) => match Failure::from(error) {
                Failure::Refused(_) => Forwarded::NotRun,
                _ => Forwarded::Unknown,
            },
        }
    }

    /// Has a request served that another entry instance handed on.
    async fn forwarded(&self, forward: Forward) -> Forwarded {
        let Forward { request, runner, attempt } = forward;
        let now = view::now();
        let deadline = now + request.wait_ms;
        let choice = self.dispatcher().take(runner.as_str(), &request.id, deadline, now);
        match choice {
            Some(Choice::Own { runner, address }) => {
                self.serve(&request, &runner, &address, attempt, deadline).await
            }
            _ => Forwarded::NotRun,
        }
    }

    /// Sends a request to a runner of which a slot is spent.
    async fn serve(
        &self,
        request: &Request,
        runner: &Name,
        address: &str,
        attempt: Name,
        deadline: Millis,
    ) -> Forwarded {
        let id = request.id.clone();
        self.telemetry.note(What::RequestSent {
            request: id.clone(),
            attempt: attempt.clone(),
            runner: runner.clone(),
        });
        let call = Call {
            request: id.clone(),
            attempt: attempt.clone(),
            budget_ms: deadline.since(view::now()),
            body: request.body.clone(),
        };
        match self.runner.serve(address, call, false).await {
            Ok(done) if done.request == id && done.attempt == attempt => {
                self.dispatcher().release(runner.as_str(), &id);
                Forwarded::Done { body: done.body }
            }
            Ok(_) => {
                self.telemetry.note(What::AnswerDropped { request: id, runner: runner.clone() });
                Forwarded::Unknown
            }
            Err(Failure::Refused(_)) => {
                self.dispatcher().release(runner.as_str(), &id);
                Forwarded::NotRun
            }
            Err(_) => {
                self.telemetry.note(What::SlotHeld { request: id, runner: runner.clone() });
                Forwarded::Unknown
            }
        }
    }
}

/// Refuses an event when too many requests are under way.
fn refuse(event: Event) {
    let gone = match event {
        Event::Request { request, reply } => {
            reply.send(not_run(&request, Reason::Overload)).is_err()
        }
        Event::Forward { reply, .. } => reply.send(Forwarded::NotRun).is_err(),
    };
    if gone {
        tracing::debug!("nobody waits for a refusal any more");
    }
}

fn not_run(request: &Request, reason: Reason) -> Answer {
    Answer::NotRun { request: request.id.clone(), reason, retry_after_ms: RETRY_AFTER }
}

fn conclude(request: &Request, tries: Tries) -> Answer {
    match tries {
        Tries { body: Some(body), .. } => Answer::Whole { request: request.id.clone(), body },
        Tries { unknown: true, .. } => Answer::Unknown { request: request.id.clone() },
        Tries { .. } => not_run(request, Reason::Unavailable),
    }
}
