//! Stand-in of a runner: serves the requests of one service, limited by slots and connections.
//!
//! The request body controls the simulated execution with `key=value` words:
//! `sleep_ms=20 echo=text`. Without `echo` the answer is the request body.

use crate::fault::{Fault, FaultInjection};
use crate::link::{Link, Outcome, Service};
use crate::lock;
use crate::observer::Observer;
use crate::server::{ANY_PORT, Port, Server};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::runner;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Pending, Request, Response};
use pimentovalve_wire::runner::{Busy, Call, Done, Slots};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Semaphore, oneshot};

#[cfg(test)]
mod tests;

/// Longest time for which an answer is held until a second one arrives to be swapped with it.
const SWAP_TIMEOUT: Duration = Duration::from_secs(2);

struct Faults {
    leaving: bool,
    /// Requests that are still to run without an answer.
    answers_to_lose: u32,
    /// Answers that are still to be delayed by `answer_delay`.
    answers_to_delay: u32,
    answer_delay: Millis,
    /// Pairs of answers that are still to be swapped.
    pairs_to_swap: u32,
    /// First answer of a pair, held until the second arrives; the sender delivers that one.
    waiting_answer: Option<(Done, oneshot::Sender<Done>)>,
}

/// A runner. It runs until its server stops; clones share one runner.
#[derive(Clone)]
pub struct Runner {
    process: Arc<Process>,
    port: Port,
}

impl Runner {
    /// Starts a runner on a free port.
    ///
    /// # Errors
    ///
    /// As [`Server::listen`].
    pub fn start(
        server: &Server,
        runner: runner::Runner,
        observer: &Arc<Observer>,
    ) -> io::Result<Self> {
        let connections = runner.limits.connections as usize;
        let process = Arc::new(Process {
            slots: Semaphore::new(runner.limits.slots as usize),
            runner,
            observer: Arc::clone(observer),
            faults: Mutex::new(Faults {
                leaving: false,
                answers_to_lose: 0,
                answers_to_delay: 0,
                answer_delay: Millis::ZERO,
                pairs_to_swap: 0,
                waiting_answer: None,
            }),
        });
        let service: Arc<dyn Service> = Arc::<Process>::clone(&process);
        let port = server.listen(ANY_PORT, connections, service)?;
        Ok(Self { process, port })
    }

    /// Returns the runner's description: name, service, place, worker and limits.
    pub fn runner(&self) -> &runner::Runner {
        &self.process.runner
    }

    /// Returns the address on which the runner takes requests.
    pub const fn address(&self) -> SocketAddr {
        self.port.address
    }

    /// Returns the runner's link, into which pauses, partitions, silence and delays are injected.
    pub const fn link(&self) -> &Arc<Link> {
        &self.port.link
    }

    /// Marks the runner as leaving: it refuses new requests.
    pub fn leave(&self) {
        lock(&self.process.faults).leaving = true;
    }

    /// Makes the next `count` requests run without an answer.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.process.faults).answers_to_lose = count;
    }

    /// Delays the next `count` answers by `by`; their slots are free in the meantime.
    pub fn late_answers(&self, count: u32, by: Millis) {
        let mut faults = lock(&self.process.faults);
        faults.answers_to_delay = count;
        faults.answer_delay = by;
    }

    /// Swaps the two answers of each of the next `pairs` pairs of requests, so that a caller gets
    /// the answer to another request.
    pub fn cross_answers(&self, pairs: u32) {
        lock(&self.process.faults).pairs_to_swap = pairs;
    }
}

impl FaultInjection for Runner {
    fn inject(&self, fault: Fault) -> bool {
        match fault {
            Fault::Leave => self.leave(),
            Fault::LoseAnswers(count) => self.lose_answers(count),
            Fault::LateAnswers { count, by_ms } => self.late_answers(count, by_ms),
            Fault::CrossAnswers(pairs) => self.cross_answers(pairs),
            Fault::Crash => self.port.link.kill(),
            _ => return self.port.link.inject(fault),
        }
        true
    }
}

struct Process {
    runner: runner::Runner,
    slots: Semaphore,
    observer: Arc<Observer>,
    faults: Mutex<Faults>,
}

impl Process {
    async fn serve_call(&self, call: Call) -> Outcome {
        if lock(&self.faults).leaving {
            return busy("the runner is leaving");
        }
        let Ok(slot) = self.slots.try_acquire() else {
            self.observer.request_refused(&self.runner.name);
            return busy("no slot is free");
        };
        self.observer.execution_started(&call.request, &call.attempt, &self.runner.name);
        let (sleep, body) = parse_body(&call.body);
        tokio::time::sleep(sleep.min(call.budget_ms).into()).await;
        self.observer.execution_ended(&call.request, &call.attempt, &self.runner.name);
        drop(slot);
        if sleep > call.budget_ms {
            let message = format!("exceeded: request aborted after {}", call.budget_ms);
            return Outcome::Answer(Response::findings(504, &List::one("budget_ms", message)));
        }
        self.answer(Done { request: call.request, attempt: call.attempt, body }).await
    }

    /// Returns the answer, or its loss, delay or swap if such a fault is injected.
    async fn answer(&self, done: Done) -> Outcome {
        let delay = {
            let mut faults = lock(&self.faults);
            if faults.answers_to_lose > 0 {
                faults.answers_to_lose -= 1;
                return Outcome::Lost;
            }
            let delay = faults.answers_to_delay > 0;
            faults.answers_to_delay = faults.answers_to_delay.saturating_sub(1);
            if delay { faults.answer_delay } else { Millis::ZERO }
        };
        if delay > Millis::ZERO {
            tokio::time::sleep(delay.into()).await;
        }
        let done = self.swap(done).await;
        Outcome::Answer(Response::json(200, &done))
    }

    /// Swaps the answer with another one, if that fault is injected and a second answer arrives
    /// within [`SWAP_TIMEOUT`].
    async fn swap(&self, done: Done) -> Done {
        let receiver = {
            let mut faults = lock(&self.faults);
            if let Some((other, sender)) = faults.waiting_answer.take() {
                // The send fails if the first answer timed out: then nothing is swapped.
                return match sender.send(done) {
                    Ok(()) => other,
                    Err(done) => done,
                };
            }
            if faults.pairs_to_swap == 0 {
                return done;
            }
            faults.pairs_to_swap -= 1;
            let (sender, receiver) = oneshot::channel();
            faults.waiting_answer = Some((done.clone(), sender));
            receiver
        };
        match tokio::time::timeout(SWAP_TIMEOUT, receiver).await {
            Ok(Ok(other)) => other,
            _ => done,
        }
    }

    /// Returns the call to serve, or the response to any other request.
    fn parse_call(&self, request: Request<'_>) -> Result<Call, Response> {
        if (request.method, request.path) == ("GET", "/slots") {
            let free = self.slots.available_permits();
            let in_use = (self.runner.limits.slots as usize).saturating_sub(free);
            let in_use = u32::try_from(in_use).unwrap_or(u32::MAX);
            return Err(Response::json(200, &Slots { in_use }));
        }
        if (request.method, request.path) != ("POST", "/serve") {
            return Err(Response::findings(404, &List::one("path", "is not known")));
        }
        codec::from_json(request.body).map_err(|findings| Response::findings(400, &findings))
    }
}

impl Service for Process {
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome> {
        Box::pin(async move {
            match self.parse_call(request) {
                Ok(call) => self.serve_call(call).await,
                Err(response) => Outcome::Answer(response),
            }
        })
    }
}

fn busy(message: &str) -> Outcome {
    Outcome::Answer(Response::json(503, &Busy { message: message.into() }))
}

/// Returns the run time of a request and the body of its answer.
fn parse_body(body: &str) -> (Millis, String) {
    let value = |key: &str| {
        let mut words = body.split_whitespace().filter_map(|word| word.split_once('='));
        words.find(|(k, _)| *k == key).map(|(_, value)| value)
    };
    let sleep = value("sleep_ms").and_then(|v| v.parse().ok()).map_or(Millis::ZERO, Millis);
    (sleep, value("echo").unwrap_or(body).into())
}
