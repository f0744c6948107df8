//! Concurrent requests, each sent by a client on its own thread.

#![allow(dead_code, reason = "each test crate uses only some of the helpers")]

use crate::support::Harness;
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::class::Class;
use pimentovalve::core::contract::request::{Answer, Raw};
use pimentovalve::core::name::Name;
use pimentovalve::standin::clock;
use pimentovalve::standin::observer::Execution;
use pimentovalve::wire::codec;
use pimentovalve::wire::http::Content;
use pimentovalve::wire::http::client::{Call, Client};
use std::net::SocketAddr;
use std::thread::JoinHandle;

/// Time added to a request's `wait_ms` before the client gives up.
const RESPONSE_GRACE: Millis = Millis::from_secs(20);

/// A request whose answer may still be outstanding.
pub struct PendingRequest {
    /// The request as sent.
    pub request: Raw,
    /// Entry instance that received it.
    pub entry: Name,
    /// Time of sending.
    pub at: Millis,
    caller: JoinHandle<Option<Answer>>,
}

/// A request with the answer that its caller got.
pub struct FinishedRequest {
    /// The request as sent.
    pub request: Raw,
    /// Entry instance that received it.
    pub entry: Name,
    /// Time of sending.
    pub at: Millis,
    /// The answer, `None` when the connection broke or no valid answer arrived in time.
    pub answer: Option<Answer>,
}

/// Returns an urgent request whose runner answers with the request's id.
pub fn echo_request(id: &str, idempotent: bool, wait_ms: u64) -> Raw {
    Raw {
        id: id.into(),
        team: "notaries".into(),
        service: "retention-engine".into(),
        class: Class::Urgent,
        idempotent,
        wait_ms: Millis(wait_ms),
        body: format!("echo={id}"),
    }
}

/// As [`echo_request`], but the runner takes `sleep_ms` to answer.
pub fn slow_request(id: &str, idempotent: bool, wait_ms: u64, sleep_ms: u64) -> Raw {
    let body = format!("sleep_ms={sleep_ms} echo={id}");
    Raw { body, ..echo_request(id, idempotent, wait_ms) }
}

/// Sends a request to an entry instance on a new thread.
fn send(entry: &Name, address: SocketAddr, request: &Raw) -> PendingRequest {
    let (at, sent) = (clock::now(), request.clone());
    let caller = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().ok()?;
        let body = codec::to_json(&sent).ok()?;
        let (address, timeout) = (address.to_string(), sent.wait_ms + RESPONSE_GRACE);
        let post = Call::post(&address, "/v1/requests", &body, timeout);
        let client = Client::new();
        let call = Call { content: Content::Json, ..post };
        let reply = runtime.block_on(client.call(call)).ok()?;
        codec::from_json(&reply.body).ok()
    });
    PendingRequest { request: request.clone(), entry: entry.clone(), at, caller }
}

impl PendingRequest {
    /// Waits for the answer.
    pub fn wait(self) -> FinishedRequest {
        let answer = self.caller.join().expect("the caller ends");
        FinishedRequest { request: self.request, entry: self.entry, at: self.at, answer }
    }

    /// Returns whether the client has finished.
    pub fn is_finished(&self) -> bool {
        self.caller.is_finished()
    }
}

impl FinishedRequest {
    /// Returns whether the caller got the complete answer.
    pub const fn is_whole(&self) -> bool {
        matches!(self.answer, Some(Answer::Whole { .. }))
    }

    /// Returns whether the caller was told that the request did not run.
    pub const fn is_not_run(&self) -> bool {
        matches!(self.answer, Some(Answer::NotRun { .. }))
    }

    /// Returns whether an execution contradicts the answer "not run": it belongs to this
    /// submission or, for a non-idempotent request, to an earlier one.
    fn contradicts_not_run(&self, execution: &Execution) -> bool {
        let own = execution.attempt.as_str().starts_with(&format!("{}.", self.entry));
        own || (!self.request.idempotent && execution.start < self.at)
    }

    /// Returns how the answer contradicts the executions that the runners observed, if it does.
    pub fn violation(&self, executions: &[Execution]) -> Option<String> {
        let id = self.request.id.as_str();
        if !self.request.idempotent && executions.len() > 1 {
            return Some(format!("{id} ran {} times", executions.len()));
        }
        match &self.answer {
            Some(Answer::Whole { request, body }) if request.as_str() == id && body == id => None,
            Some(Answer::Whole { request, body }) => {
                Some(format!("{id} got the answer {body:?} of {request}"))
            }
            Some(Answer::NotRun { .. })
                if executions.iter().any(|e| self.contradicts_not_run(e)) =>
            {
                Some(format!("{id} ran ({executions:?}), but its caller was told that it did not"))
            }
            _ => None,
        }
    }
}

impl Harness {
    /// Sends a request to a daemon without waiting.
    pub fn send(&self, node: usize, request: &Raw) -> PendingRequest {
        let node = &self.cell.nodes[node];
        send(&node.instance.name, node.addresses.callers, request)
    }

    /// Sends a request to a daemon and waits until the client has finished.
    pub fn ask(&self, node: usize, request: &Raw) -> FinishedRequest {
        self.send(node, request).wait()
    }

    /// Queries a daemon for the answer to a request by id.
    pub fn query_answer(&self, node: usize, id: &str) -> Option<Answer> {
        let (_, body) = self.get(node, &format!("/v1/requests/{id}?team=notaries"));
        codec::from_json(&body).ok()
    }

    /// Sends rounds of as many requests as all runners have slots, until a round reaches every
    /// runner and all its requests are answered.
    pub fn await_runners(&self) {
        let (runners, nodes) = (self.cell.fleet.runners.len(), self.cell.running());
        let mut round = 0;
        self.wait_until("every runner serves requests", || {
            round += 1;
            // Each runner has 8 slots.
            let requests = (0..8 * runners).map(|i| {
                let request = slow_request(&format!("warm-{round}-{i}"), false, 2000, 60);
                self.send(nodes[i % nodes.len()], &request)
            });
            let pending: Vec<PendingRequest> = requests.collect();
            let finished: Vec<FinishedRequest> =
                pending.into_iter().map(PendingRequest::wait).collect();
            let executions =
                |l: &FinishedRequest| self.cell.fleet.observer.executions(&l.request.id);
            let mut used: Vec<_> = finished.iter().flat_map(executions).map(|e| e.runner).collect();
            used.sort();
            used.dedup();
            used.len() == runners && finished.iter().all(FinishedRequest::is_whole)
        });
    }

    /// Returns answers that contradict the executions, and runners whose limits were exceeded.
    pub fn violations(&self, finished: &[FinishedRequest]) -> Vec<String> {
        let fleet = &self.cell.fleet;
        let mut violations: Vec<String> = finished
            .iter()
            .filter_map(|l| l.violation(&fleet.observer.executions(&l.request.id)))
            .collect();
        // Each runner has 8 slots and accepts 64 connections.
        for usage in fleet.observer.slot_usage().iter().filter(|u| u.most_slots > 8) {
            violations.push(format!("{} served {} at once", usage.runner, usage.most_slots));
        }
        for (name, runner) in &fleet.runners {
            let (most, refused) =
                (runner.link().peak_connections(), runner.link().refused_connections());
            if most > 64 || refused > 0 {
                violations.push(format!("{name} had {most} connections and refused {refused}"));
            }
        }
        violations
    }

    /// Returns how many requests runners rejected because all their slots were in use. Each of them
    /// means that a runner was sent more than its limit.
    pub fn rejected_for_slots(&self) -> u64 {
        self.cell.fleet.observer.slot_usage().iter().map(|u| u.refused).sum()
    }
}
