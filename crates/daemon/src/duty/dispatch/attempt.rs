//! One try of a request, from waiting for a runner to its outcome.

use super::{Shared, Waiting};
use crate::platform::Failure;
use crate::ring::{Full, Sender};
use crate::view;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::contract::request::{Reason, Request};
use pimentovalve_core::link::dispatcher::{Choice, Grant};
use pimentovalve_core::link::queue::Waiter;
use pimentovalve_core::link::tries::Outcome;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::client;
use pimentovalve_wire::peer::{Forward, Forwarded};
use pimentovalve_wire::runner::{Call, Done};
use std::sync::Arc;
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

/// A try is not sent when less time than this is left.
const MIN_BUDGET: Millis = Millis(10);
/// Time reserved for the transfer of an answer between two entry instances.
const HOP_TIME: Millis = Millis(20);
/// Time for which nothing is forwarded to an instance that is unreachable or does not control the
/// worker.
const PEER_PAUSE: Millis = Millis(200);

/// Longest time for which requests of a class are not forwarded to an instance whose runners are
/// busy.
const BUSY_PAUSE: Millis = Millis(100);

/// Progress of a try, reported to its request.
pub(super) enum Progress {
    /// The try is being sent to this runner.
    Sent(Name),
    /// The controller of this runner did not accept the try, which waits for a runner again.
    Requeued(Name),
    /// The try has ended, at this runner if it was sent.
    Ended(Option<Name>, Outcome),
}

/// One try.
pub(super) struct Try {
    pub request: Arc<Request>,
    /// Number of the try, unique at this instance.
    pub ticket: u64,
    /// Globally unique name of the try.
    pub attempt: Name,
    /// Runners at which the request is in progress or may have run; they are used only when there
    /// is no other.
    pub tried: Vec<Name>,
    /// The runner that the forwarding instance chose.
    pub forwarded: Option<Name>,
    /// Instant by which the answer must have arrived.
    pub deadline: Millis,
    /// Instant after which the try no longer waits for a runner.
    pub until: Millis,
    /// Whether to use a new connection.
    pub new_connection: bool,
}

/// Returns the name of a try: the instance and a number that is unique there.
pub(super) fn name(own: &Name, number: u64) -> Name {
    Name::try_from(format!("{own}.{number}")).unwrap_or_else(|_| own.clone())
}

impl Shared {
    /// Runs a try. Once sent, it runs to its end even if the request no longer waits for it.
    pub(super) async fn attempt(
        &self,
        sent: Try,
        progress: Sender<Progress>,
        cancel: CancellationToken,
    ) {
        loop {
            let choice = match self.await_grant(&sent, &cancel).await {
                None => return,
                Some(Grant::Go(choice)) => choice,
                Some(Grant::Refused(reason, after)) => {
                    report(&progress, Progress::Ended(None, Outcome::NotRun(reason, after)));
                    return;
                }
            };
            let (Choice::Own { runner, .. } | Choice::Remote { runner, .. }) = &choice;
            let runner = runner.clone();
            report(&progress, Progress::Sent(runner.clone()));
            let outcome = self.send_granted(&sent, choice).await;
            self.deliver_grants();
            let Some(outcome) = outcome else {
                report(&progress, Progress::Requeued(runner));
                continue;
            };
            report(&progress, Progress::Ended(Some(runner), outcome));
            return;
        }
    }

    /// Sends a try to the runner that was granted. Returns `None` when it must wait for another
    /// runner.
    async fn send_granted(&self, sent: &Try, choice: Choice) -> Option<Outcome> {
        let started = view::now();
        let outcome = match choice {
            Choice::Own { runner, address } => Some(self.serve(sent, &runner, &address).await),
            Choice::Remote { runner, controller } => self.forward(sent, &runner, &controller).await,
        };
        if matches!(outcome, Some(Outcome::Whole(_))) {
            let latency = view::now().since(started);
            self.state().dispatcher.answered(&sent.request.service, latency);
        }
        outcome
    }

    /// Waits for a runner. Returns `None` when the try was cancelled.
    async fn await_grant(&self, sent: &Try, cancel: &CancellationToken) -> Option<Grant> {
        let now = view::now();
        if sent.until <= now + MIN_BUDGET {
            return Some(Grant::Refused(Reason::Deadline, self.retry_after(sent)));
        }
        let (sender, mut receiver) = oneshot::channel();
        let waiter = Waiter {
            ticket: sent.ticket,
            class: sent.request.class,
            attempt: sent.attempt.clone(),
            tried: sent.tried.clone(),
            forwarded: sent.forwarded.clone(),
            deadline: sent.deadline,
            until: sent.until,
        };
        {
            let mut state = self.state();
            if let Err((reason, after)) = state.dispatcher.wait(&sent.request.service, waiter, now)
            {
                return Some(Grant::Refused(reason, after));
            }
            let i = state.waiting.partition_point(|w| w.ticket < sent.ticket);
            let attempt = sent.attempt.clone();
            state.waiting.insert(i, Waiting { ticket: sent.ticket, attempt, grant: sender });
        }
        self.deliver_grants();
        tokio::select! {
            biased;
            () = cancel.cancelled() => {
                let mut state = self.state();
                state.dispatcher.leave(sent.ticket);
                state.waiting.retain(|w| w.ticket != sent.ticket);
                if let Ok(Grant::Go(choice)) = receiver.try_recv() {
                    state.release_unsent(&choice, &sent.attempt);
                }
                None
            }
            grant = &mut receiver => grant.ok(),
        }
    }

    fn retry_after(&self, sent: &Try) -> Millis {
        let Request { service, class, .. } = &*sent.request;
        self.state().dispatcher.retry_after(service, *class, view::now())
    }

    /// Forwards a try to the controller of the runner's worker. Returns `None` when the controller
    /// did not accept it.
    async fn forward(&self, sent: &Try, runner: &Name, controller: &Name) -> Option<Outcome> {
        let address = {
            let members = self.members.borrow();
            let found = members.candidates.iter().find(|c| c.name == *controller);
            found.map(|c| c.address.clone())
        };
        let left = sent.deadline.since(view::now());
        let outcome = match address {
            Some(address) if left > HOP_TIME + MIN_BUDGET => {
                self.exchange(sent, runner, &address, left).await
            }
            _ => Forwarded::NotRun,
        };
        let class = sent.request.class;
        let (pause, outcome) = match outcome {
            Forwarded::Done { body } => (None, Some(Outcome::Whole(body))),
            Forwarded::Busy { retry_after_ms } => {
                (Some((class, retry_after_ms.min(BUSY_PAUSE))), None)
            }
            Forwarded::NotRun => (Some((Class::Urgent, PEER_PAUSE)), None),
            Forwarded::Unknown => (Some((Class::Urgent, PEER_PAUSE)), Some(Outcome::Unknown)),
        };
        self.state().dispatcher.returned(runner.as_str(), pause, view::now());
        outcome
    }

    async fn exchange(&self, sent: &Try, runner: &Name, address: &str, left: Millis) -> Forwarded {
        let request = Request { wait_ms: left - HOP_TIME, ..(*sent.request).clone() };
        let (runner, attempt) = (runner.clone(), sent.attempt.clone());
        let Ok(body) = codec::pack(&Forward { request, runner, attempt }) else {
            return Forwarded::NotRun;
        };
        let (key, new_connection) = (self.route.key.as_deref(), sent.new_connection);
        let post = client::Call::post(address, "/peer/forward", &body, left);
        match self.client.call(client::Call { key, new_connection, ..post }).await {
            Ok(reply) if reply.status == 200 => {
                codec::unpack(&reply.body).unwrap_or(Forwarded::Unknown)
            }
            // The peer's front refused the message, which never reached its dispatch duty.
            Ok(reply) if reply.status == 503 || reply.status == 401 => Forwarded::NotRun,
            Err(client::Error::Unsent { .. }) => Forwarded::NotRun,
            Ok(_) | Err(_) => Forwarded::Unknown,
        }
    }

    /// Sends a try to a runner on which a slot is reserved for it.
    async fn serve(&self, sent: &Try, runner: &Name, address: &str) -> Outcome {
        let (id, attempt) = (&sent.request.id, &sent.attempt);
        let budget_ms = sent.deadline.since(view::now() + HOP_TIME);
        if budget_ms < MIN_BUDGET {
            self.state().dispatcher.release(runner.as_str(), attempt);
            return Outcome::NotRun(Reason::Deadline, self.retry_after(sent));
        }
        self.telemetry.note(What::RequestSent {
            request: id.clone(),
            attempt: attempt.clone(),
            runner: runner.clone(),
        });
        let call = Call {
            request: id.clone(),
            attempt: attempt.clone(),
            budget_ms,
            body: sent.request.body.clone(),
        };
        match self.call(sent, address, call).await {
            Ok(done) if done.request == *id && done.attempt == *attempt => {
                self.state().dispatcher.release(runner.as_str(), attempt);
                Outcome::Whole(done.body)
            }
            Ok(_) => {
                let (request, runner) = (id.clone(), runner.clone());
                self.state().dispatcher.no_response(runner.as_str(), view::now());
                self.telemetry.note(What::AnswerDropped { request, runner });
                Outcome::Unknown
            }
            Err(Failure::Refused(_)) => {
                let mut state = self.state();
                state.dispatcher.release(runner.as_str(), attempt);
                state.dispatcher.penalize(runner.as_str(), view::now());
                Outcome::NotRun(Reason::Unavailable, PEER_PAUSE)
            }
            Err(_) => {
                let (request, runner) = (id.clone(), runner.clone());
                self.state().dispatcher.no_response(runner.as_str(), view::now());
                self.telemetry.note(What::SlotHeld { request, runner });
                Outcome::Unknown
            }
        }
    }

    /// Calls a runner. If the answer takes longer than most, the connection may be dead, and with
    /// it the idle ones to the same address, so those are closed.
    async fn call(&self, sent: &Try, address: &str, call: Call) -> Result<Done, Failure> {
        let after = self.state().dispatcher.hedge_after(sent.request.service.as_str());
        let served = self.runner.serve(address, call, sent.new_connection);
        tokio::pin!(served);
        tokio::select! {
            biased;
            done = &mut served => return done,
            () = tokio::time::sleep(after.into()) => self.runner.forget(address),
        }
        served.await
    }
}

/// Reports progress to the request if it still waits.
fn report(progress: &Sender<Progress>, seen: Progress) {
    if let Err(Full) = progress.offer(seen) {
        tracing::debug!("request was answered before this try ended");
    }
}
