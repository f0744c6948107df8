//! One request, from its arrival to its single answer.

use super::attempt::{self, Progress, Try};
use super::{Event, Shared, not_run};
use crate::ring::{self, Sender};
use crate::route;
use crate::view;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request::{Answer, Reason, Request};
use pimentovalve_core::link::tries::{MAX_TRIES, Next, Outcome, Tries};
use pimentovalve_core::zone::stewardship;
use pimentovalve_wire::peer::{Forward, Forwarded, Query, StewardReply};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Time reserved for the transfer of the answer to the caller.
const RETURN_TIME: Millis = Millis(20);
/// Longest time for which a forwarded request waits for a slot.
const FORWARD_WAIT: Millis = Millis(250);
/// Capacity of the ring on which the tries of a request report their progress.
const MAX_PROGRESS: usize = 8 * MAX_TRIES;
/// Longest time for which an answer is delayed until it is recorded. Recording continues in the
/// background after that.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// A request with its tries.
struct Running {
    tries: Tries,
    request: Arc<Request>,
    deadline: Millis,
    progress: Sender<Progress>,
    /// Cancels the tries that have not been sent.
    cancel: CancellationToken,
}

impl Shared {
    pub(super) async fn event(self: &Arc<Self>, event: Event) {
        let gone = match event {
            Event::Request { request, reply } => {
                let answer = self.request(Arc::new(request)).await;
                reply.send(answer).is_err()
            }
            Event::Forward { forward, reply } => reply.send(self.forwarded(forward).await).is_err(),
        };
        if gone {
            tracing::debug!("caller stopped waiting; answer discarded");
        }
    }

    async fn request(self: &Arc<Self>, request: Arc<Request>) -> Answer {
        let deadline = view::now() + request.wait_ms;
        if self.ledger_view.borrow().history.configuration().version == 0 {
            return not_run(&request, Reason::Configuration);
        }
        if request.idempotent {
            return self.try_all(request, deadline).await;
        }
        let sender = self.submission_number();
        let ask = Query::Claim { request: (*request).clone(), sender };
        let claim = tokio::time::timeout_at(instant(deadline - RETURN_TIME), self.route.ask(&ask));
        match claim.await {
            Ok(Ok(StewardReply::Claimed)) => self.claimed(request, deadline).await,
            Ok(Ok(StewardReply::Answer(answer))) => answer,
            Ok(Ok(StewardReply::Refused(refusal))) if refusal.not_run => {
                not_run(&request, refusal.reason.unwrap_or(Reason::Unavailable))
            }
            Ok(Ok(StewardReply::Refused(_)) | Err(route::Failure::Unknown)) | Err(_) => {
                Answer::Unknown { request: request.id.clone() }
            }
            Ok(Ok(_) | Err(route::Failure::Refused)) => not_run(&request, Reason::Ledger),
        }
    }

    /// Returns a number for a submission that no other instance or start uses.
    fn submission_number(&self) -> u64 {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed).to_string();
        let own = self.members.borrow().own.name.clone();
        stewardship::hash(&[own.as_str(), &self.started.to_string(), &number])
    }

    /// Sends a request whose key this instance has claimed, and records its answer.
    async fn claimed(self: &Arc<Self>, request: Arc<Request>, deadline: Millis) -> Answer {
        let answer = self.try_all(Arc::clone(&request), deadline).await;
        if matches!(answer, Answer::Unknown { .. }) {
            return answer;
        }
        let (team, id) = (request.team.clone(), request.id.clone());
        let settle = Query::Settle { team, request: id, answer: answer.clone() };
        let shared = Arc::clone(self);
        let recorded = self.tracker.spawn(async move {
            match shared.route.ask(&settle).await {
                Ok(StewardReply::Settled) => {}
                // The answer is valid all the same. Only a later query by id returns "unknown".
                other => {
                    tracing::warn!(request = %request.id, ?other, "answer not recorded");
                }
            }
        });
        if tokio::time::timeout(RECORD_TIMEOUT, recorded).await.is_err() {
            tracing::warn!("answer not recorded in time; returning it to the caller first");
        }
        answer
    }

    /// Sends a request to runners until one answers or no further try is allowed.
    async fn try_all(self: &Arc<Self>, request: Arc<Request>, deadline: Millis) -> Answer {
        let (progress, received) = ring::ring(MAX_PROGRESS);
        let cancel = CancellationToken::new();
        let _left = cancel.clone().drop_guard();
        let tries = Tries::new(request.id.clone(), request.idempotent, deadline);
        let mut running = Running { tries, request, deadline, progress, cancel };
        self.state().budget.earn();
        self.start(&mut running, false);
        let end = instant(deadline - RETURN_TIME);
        let mut hedge = None;
        loop {
            let due = hedge.unwrap_or(end);
            let seen = tokio::select! {
                biased;
                Some(seen) = received.next() => seen,
                () = tokio::time::sleep_until(end) => return running.tries.conclude(),
                () = tokio::time::sleep_until(due) => {
                    hedge = None;
                    self.hedge(&mut running);
                    continue;
                }
            };
            match seen {
                Progress::Sent(runner) => {
                    running.tries.sent(&runner);
                    let service = running.request.service.as_str();
                    let after = self.state().dispatcher.hedge_after(service);
                    hedge = Some(Instant::now() + Duration::from(after));
                }
                Progress::Requeued(runner) => {
                    running.tries.not_run_at(&runner);
                    hedge = None;
                }
                Progress::Ended(runner, outcome) => {
                    if let (Some(runner), Outcome::NotRun(..)) = (&runner, &outcome) {
                        running.tries.not_run_at(runner);
                    }
                    match self.end(&mut running.tries, outcome) {
                        Next::Answer(answer) => return answer,
                        Next::Wait => {}
                        Next::Retry(pause) => {
                            tokio::time::sleep(pause.into()).await;
                            self.start(&mut running, true);
                        }
                    }
                }
            }
        }
    }

    fn end(&self, tries: &mut Tries, outcome: Outcome) -> Next {
        let number = self.next_number().to_le_bytes();
        let random = stewardship::hash(&[&format!("{number:?}")]);
        tries.end(outcome, view::now(), random, &mut self.state().budget)
    }

    /// Starts a second try in parallel to one that takes longer than most, if the request and the
    /// retry budget allow it.
    fn hedge(self: &Arc<Self>, running: &mut Running) {
        let may = running.tries.may_hedge(view::now(), &mut self.state().budget);
        if may {
            self.start(running, true);
        }
    }

    fn start(self: &Arc<Self>, running: &mut Running, new_connection: bool) {
        running.tries.start();
        let number = self.next_number();
        let attempt = attempt::name(&self.members.borrow().own.name, number);
        let sent = Try {
            request: Arc::clone(&running.request),
            ticket: number,
            attempt,
            tried: running.tries.tried().to_vec(),
            forwarded: None,
            deadline: running.deadline - RETURN_TIME,
            until: running.deadline - RETURN_TIME.times(2),
            // A request that must not be sent twice is not sent on a reused connection, which may
            // be dead.
            new_connection: new_connection || !running.request.idempotent,
        };
        let (shared, progress) = (Arc::clone(self), running.progress.clone());
        let cancel = running.cancel.clone();
        self.tracker.spawn(async move { shared.attempt(sent, progress, cancel).await });
    }

    /// Serves a request that another entry instance forwarded.
    async fn forwarded(self: &Arc<Self>, forward: Forward) -> Forwarded {
        let Forward { request, runner, attempt } = forward;
        let now = view::now();
        let sent = Try {
            ticket: self.next_number(),
            attempt,
            tried: Vec::new(),
            forwarded: Some(runner),
            deadline: now + request.wait_ms,
            // Another instance may have a free slot, so the wait here is short.
            until: now + Millis(request.wait_ms.get() / 2).min(FORWARD_WAIT),
            new_connection: !request.idempotent,
            request: Arc::new(request),
        };
        let (progress, received) = ring::ring(2);
        let (shared, cancel) = (Arc::clone(self), CancellationToken::new());
        self.tracker.spawn(async move { shared.attempt(sent, progress, cancel).await });
        loop {
            match received.next().await {
                Some(Progress::Sent(_) | Progress::Requeued(_)) => {}
                Some(Progress::Ended(_, Outcome::Whole(body))) => return Forwarded::Done { body },
                Some(Progress::Ended(_, Outcome::NotRun(Reason::Overload, retry_after_ms))) => {
                    return Forwarded::Busy { retry_after_ms };
                }
                Some(Progress::Ended(_, Outcome::NotRun(..))) => return Forwarded::NotRun,
                Some(Progress::Ended(_, Outcome::Unknown)) | None => return Forwarded::Unknown,
            }
        }
    }
}

/// Converts a time of the system clock to an instant of the runtime's clock.
fn instant(at: Millis) -> Instant {
    Instant::now() + Duration::from(at.since(view::now()))
}
