//! Shared harness of the integration tests: a configured cell and HTTP calls with retries.
//!
//! Waits poll for a condition and fail after a generous time-out; no assertion in this module
//! depends on how long an operation took.

#![allow(dead_code, reason = "each test crate uses only some of the helpers")]

use pimentovalve::cell::{Cell, OPERATOR_KEY};
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::request::Answer;
use pimentovalve::core::contract::status;
use pimentovalve::daemon::settings::Settings;
use pimentovalve::standin::fleet::Plan;
use pimentovalve::wire::codec;
use pimentovalve::wire::http::Content;
use pimentovalve::wire::http::client::{Call, Client, Error, Reply};
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Time after which a wait fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time-out of one HTTP call.
const CALL_TIMEOUT: Millis = Millis::from_secs(10);
/// The configuration patch that every test cell starts with.
const PATCH: &str = include_str!("support/patch.toml");

/// A running cell and an HTTP client for its daemons.
pub struct Harness {
    /// The running cell.
    pub cell: Cell,
    client: Client,
    runtime: Runtime,
}

impl Harness {
    /// Starts a cell with Archivo Andino's places, two workers and two runners in each, and
    /// applies the test configuration.
    pub fn start(daemons: usize, change: impl FnOnce(&mut Settings)) -> Self {
        let plan = Plan::andino(2, 2).expect("the plan is valid");
        Self::start_with(&plan, daemons, change)
    }

    /// Starts a cell from `plan` and applies the test configuration.
    pub fn start_with(plan: &Plan, daemons: usize, change: impl FnOnce(&mut Settings)) -> Self {
        let cell = Cell::start(plan, daemons, change).expect("the cell starts");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime is built");
        let harness = Self { cell, client: Client::new(), runtime };
        harness.wait_until("the configuration is accepted", || harness.patch(0, 0, PATCH).0 == 200);
        harness.wait_until("all daemons have the configuration", || {
            (0..daemons).all(|i| harness.version(i) == Some(1))
        });
        harness
    }

    /// Polls `holds` until it returns true; panics after [`WAIT_TIMEOUT`].
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let started = Instant::now();
        while !holds() {
            assert!(started.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Makes an HTTP call and blocks until it ends.
    pub fn call(&self, call: Call<'_>) -> Result<Reply, Error> {
        self.runtime.block_on(self.client.call(call))
    }

    /// Posts JSON to a daemon's callers address. Returns status 0 when there is no response.
    pub fn post(&self, node: usize, path: &str, body: &str) -> (u16, Vec<u8>) {
        let address = self.cell.nodes[node].addresses.callers.to_string();
        let call = Call {
            content: Content::Json,
            ..Call::post(&address, path, body.as_bytes(), CALL_TIMEOUT)
        };
        self.call(call).map_or((0, Vec::new()), |r| (r.status, r.body.to_vec()))
    }

    /// Sends a GET to a daemon's callers address. Returns status 0 when there is no response.
    pub fn get(&self, node: usize, path: &str) -> (u16, Vec<u8>) {
        let address = self.cell.nodes[node].addresses.callers.to_string();
        let reply = self.call(Call::get(&address, path, CALL_TIMEOUT));
        reply.map_or((0, Vec::new()), |r| (r.status, r.body.to_vec()))
    }

    /// Sends a configuration patch to a daemon's operators address. Returns status 0 when there
    /// is no response.
    pub fn patch(&self, node: usize, base: u64, patch: &str) -> (u16, Vec<u8>) {
        let address = self.cell.nodes[node].addresses.operators.to_string();
        let path = format!("/v1/configuration?base={base}");
        let call = Call {
            content: Content::Text,
            key: Some(OPERATOR_KEY),
            ..Call::post(&address, &path, patch.as_bytes(), CALL_TIMEOUT)
        };
        self.call(call).map_or((0, Vec::new()), |r| (r.status, r.body.to_vec()))
    }

    /// Returns the configuration version that a daemon reports.
    pub fn version(&self, node: usize) -> Option<u64> {
        let address = self.cell.nodes[node].addresses.operators.to_string();
        let call = Call {
            key: Some(OPERATOR_KEY),
            ..Call::get(&address, "/v1/configuration", CALL_TIMEOUT)
        };
        let reply = self.call(call).ok()?;
        let body: serde_json::Value = serde_json::from_slice(&reply.body).ok()?;
        body["version"].as_u64()
    }

    /// Submits a job to the first running daemon, retrying until it is accepted.
    pub fn submit(&self, body: &str) {
        self.submit_at(self.cell.running()[0], body);
    }

    /// Submits a job to a daemon, retrying until it is accepted.
    pub fn submit_at(&self, node: usize, body: &str) {
        self.wait_until("the job is accepted", || self.post(node, "/v1/jobs", body).0 == 202);
    }

    /// Returns the status of a job from the first running daemon that has it.
    pub fn status(&self, id: &str) -> Option<status::Job> {
        let path = format!("/v1/jobs/{id}?team=notaries");
        let fetch = |&i: &usize| codec::from_json(&self.get(i, &path).1).ok();
        self.cell.running().iter().find_map(fetch)
    }

    /// Waits until a job has ended and returns its final status.
    pub fn await_ended(&self, id: &str) -> status::Job {
        let mut job = None;
        self.wait_until("the job ends", || {
            job = self.status(id).filter(|job| job.ended);
            job.is_some()
        });
        job.expect("the job has ended")
    }

    /// Sends a request to a daemon. Returns `None` when there is no valid answer.
    pub fn request(&self, node: usize, body: &str) -> Option<Answer> {
        codec::from_json(&self.post(node, "/v1/requests", body).1).ok()
    }
}

/// Returns the JSON of a batch job.
pub fn batch(id: &str, tasks: u32, payload: &str) -> String {
    job(id, "batch", tasks, payload)
}

/// Returns the JSON of a job.
pub fn job(id: &str, kind: &str, tasks: u32, payload: &str) -> String {
    serde_json::json!({
        "id": id, "team": "notaries", "kind": kind, "tasks": tasks, "payload": payload,
        "needs": {"cpu_milli": 2000, "memory_mib": 4096}, "run_ms": 500,
    })
    .to_string()
}

/// Returns the JSON of an idempotent request.
pub fn idempotent_request(id: &str, body: &str) -> String {
    request(id, true, body)
}

/// Returns the JSON of a non-idempotent request.
pub fn non_idempotent_request(id: &str, body: &str) -> String {
    request(id, false, body)
}

fn request(id: &str, idempotent: bool, body: &str) -> String {
    serde_json::json!({
        "id": id, "team": "notaries", "service": "retention-engine", "class": "urgent",
        "idempotent": idempotent, "wait_ms": 4000, "body": body,
    })
    .to_string()
}

/// Sends a configuration patch; may be called from any thread. Returns status 0 when there is no
/// response.
pub fn patch_at(address: std::net::SocketAddr, base: u64, patch: &str) -> (u16, Vec<u8>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    let (client, address) = (Client::new(), address.to_string());
    let path = format!("/v1/configuration?base={base}");
    let call = Call {
        content: Content::Text,
        key: Some(OPERATOR_KEY),
        ..Call::post(&address, &path, patch.as_bytes(), CALL_TIMEOUT)
    };
    let reply = runtime.block_on(client.call(call));
    reply.map_or((0, Vec::new()), |r| (r.status, r.body.to_vec()))
}

/// Posts each body, retrying until it is accepted; may be called from any thread.
pub fn post_all(address: std::net::SocketAddr, path: &str, bodies: &[String]) {
    let address = address.to_string();
    for body in bodies {
        let call = Call {
            content: Content::Json,
            ..Call::post(&address, path, body.as_bytes(), CALL_TIMEOUT)
        };
        retry_until_status(&call, 202);
    }
}

/// Cancels each job, retrying until that succeeds; may be called from any thread.
pub fn cancel_all(address: std::net::SocketAddr, team: &str, ids: &[String]) {
    let address = address.to_string();
    for id in ids {
        let path = format!("/v1/jobs/{id}?team={team}");
        retry_until_status(
            &Call { method: "DELETE", ..Call::get(&address, &path, CALL_TIMEOUT) },
            200,
        );
    }
}

fn retry_until_status(call: &Call<'_>, wanted: u16) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the runtime is built");
    let client = Client::new();
    let started = Instant::now();
    while !runtime.block_on(client.call(*call)).is_ok_and(|reply| reply.status == wanted) {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for status {wanted}: {}",
            call.path
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}
