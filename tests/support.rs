//! What the whole-path tests share: a cell with a configuration, and calls with their waits.
//!
//! Waits end when something is seen, or fail after a time that is far above what is expected; no
//! assertion rests on how long something took.

#![allow(dead_code, reason = "each test uses a part")]

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

/// Time after which something that is awaited counts as never happening.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// Pause between two looks at something that is awaited.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest time for one call.
const CALL_TIMEOUT: Millis = Millis::from_secs(10);
/// The configuration of the trials.
const PATCH: &str = include_str!("support/patch.toml");

/// A cell under trial.
pub struct Trial {
    /// The cell.
    pub cell: Cell,
    client: Client,
    runtime: Runtime,
}

impl Trial {
    /// Starts a cell of Archivo Andino's places with two workers and two runners in each, and
    /// makes a configuration.
    pub fn start(daemons: usize, change: impl FnOnce(&mut Settings)) -> Self {
        let plan = Plan::andino(2, 2).expect("the plan is valid");
        Self::start_with(&plan, daemons, change)
    }

    /// Starts a cell of another plan, and makes a configuration.
    pub fn start_with(plan: &Plan, daemons: usize, change: impl FnOnce(&mut Settings)) -> Self {
        let cell = Cell::start(plan, daemons, change).expect("the cell starts");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime can be had");
        let trial = Self { cell, client: Client::new(), runtime };
        trial.until("the configuration is made", || trial.patch(0, 0, PATCH).0 == 200);
        trial.until("all daemons have it", || (0..daemons).all(|i| trial.version(i) == Some(1)));
        trial
    }

    /// Waits until something holds.
    pub fn until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let started = Instant::now();
        while !holds() {
            assert!(started.elapsed() < PATIENCE, "never: {what}");
            std::thread::sleep(PAUSE);
        }
    }

    /// Makes a call.
    pub fn call(&self, call: Call<'_>) -> Result<Reply, Error> {
        self.runtime.block_on(self.client.call(call))
    }

    /// Posts JSON to a daemon's front for callers; status 0 when there is no answer.
    pub fn post(&self, node: usize, path: &str, body: &str) -> (u16, Vec<u8>) {
        let address = self.cell.nodes[node].addresses.callers.to_string();
        let call = Call {
            content: Content::Json,
            ..Call::post(&address, path, body.as_bytes(), CALL_TIMEOUT)
        };
        self.call(call).map_or((0, Vec::new()), |r| (r.status, r.body.to_vec()))
    }

    /// Gets from a daemon's front for callers; status 0 when there is no answer.
    pub fn get(&self, node: usize, path: &str) -> (u16, Vec<u8>) {
        let address = self.cell.nodes[node].addresses.callers.to_string();
        let reply = self.call(Call::get(&address, path, CALL_TIMEOUT));
        reply.map_or((0, Vec::new()), |r| (r.status, r.body.to_vec()))
    }

    /// Sends a patch to a daemon's front for operators.
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

    /// Returns the version of the configuration at a daemon.
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

    /// Submits a job to some running daemon until it is accepted.
    pub fn submit(&self, body: &str) {
        self.submit_at(self.cell.running()[0], body);
    }

    /// Submits a job to a daemon until it is accepted.
    pub fn submit_at(&self, node: usize, body: &str) {
        self.until("the job is accepted", || self.post(node, "/v1/jobs", body).0 == 202);
    }

    /// Returns a job as some running daemon tells it.
    pub fn status(&self, id: &str) -> Option<status::Job> {
        let path = format!("/v1/jobs/{id}?team=notaries");
        let told = |&i: &usize| codec::from_json(&self.get(i, &path).1).ok();
        self.cell.running().iter().find_map(told)
    }

    /// Waits until a job has ended, and returns it.
    pub fn await_ended(&self, id: &str) -> status::Job {
        let mut job = None;
        self.until("the job ends", || {
            job = self.status(id).filter(|job| job.ended);
            job.is_some()
        });
        job.expect("the job has ended")
    }

    /// Sends a request to a daemon and returns the answer, `Unknown` when the daemon gave none.
    pub fn request(&self, node: usize, body: &str) -> Option<Answer> {
        codec::from_json(&self.post(node, "/v1/requests", body).1).ok()
    }
}

/// Returns a job of the batch kind.
pub fn batch(id: &str, tasks: u32, payload: &str) -> String {
    job(id, "batch", tasks, payload)
}

/// Returns a job.
pub fn job(id: &str, kind: &str, tasks: u32, payload: &str) -> String {
    serde_json::json!({
        "id": id, "team": "notaries", "kind": kind, "tasks": tasks, "payload": payload,
        "needs": {"cpu_milli": 2000, "memory_mib": 4096}, "run_ms": 500,
    })
    .to_string()
}

/// Returns an idempotent request.
pub fn lookup(id: &str, body: &str) -> String {
    request(id, true, body)
}

/// Returns a request that is not idempotent.
pub fn dispatch(id: &str, body: &str) -> String {
    request(id, false, body)
}

fn request(id: &str, idempotent: bool, body: &str) -> String {
    serde_json::json!({
        "id": id, "team": "notaries", "service": "retention-engine", "class": "urgent",
        "idempotent": idempotent, "wait_ms": 4000, "body": body,
    })
    .to_string()
}

/// Sends a patch from a thread of its own; status 0 when there is no answer.
pub fn patch_at(address: std::net::SocketAddr, base: u64, patch: &str) -> (u16, Vec<u8>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be had");
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

/// Posts each body until it is accepted, from a thread of its own.
pub fn post_all(address: std::net::SocketAddr, path: &str, bodies: &[String]) {
    let address = address.to_string();
    for body in bodies {
        let call = Call {
            content: Content::Json,
            ..Call::post(&address, path, body.as_bytes(), CALL_TIMEOUT)
        };
        call_until(&call, 202);
    }
}

/// Cancels jobs, from a thread of its own.
pub fn cancel_all(address: std::net::SocketAddr, team: &str, ids: &[String]) {
    let address = address.to_string();
    for id in ids {
        let path = format!("/v1/jobs/{id}?team={team}");
        call_until(&Call { method: "DELETE", ..Call::get(&address, &path, CALL_TIMEOUT) }, 200);
    }
}

fn call_until(call: &Call<'_>, wanted: u16) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be had");
    let client = Client::new();
    let started = Instant::now();
    while !runtime.block_on(client.call(*call)).is_ok_and(|reply| reply.status == wanted) {
        assert!(started.elapsed() < PATIENCE, "never {wanted}: {}", call.path);
        std::thread::sleep(PAUSE);
    }
}
