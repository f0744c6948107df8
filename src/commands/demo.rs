//! `pimentovalve demo`: the main job on embedded stand-ins.
//!
//! Starts stand-ins and three daemons on loopback, makes a configuration, submits a service, a
//! batch, an all-at-once job, idempotent lookups and non-idempotent requests, kills one daemon
//! half-way, and counts from the stand-ins' own observations whether every promise was kept.

use super::audit::write_report;
use super::{Error, Run};
use crate::cell::{Cell, OPERATOR_KEY};
use crate::core::audit::{self, Standing};
use crate::core::clock::Millis;
use crate::core::contract::request::Answer;
use crate::core::contract::{status, task};
use crate::core::name::Name;
use crate::core::timeline::merge;
use crate::standin::fleet::Plan;
use crate::wire::codec;
use crate::wire::http::Content;
use crate::wire::http::client::{Call, Client};
use gumdrop::Options;
use serde::Serialize;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Workers and runners in each failure domain.
const MACHINES: usize = 2;
/// Daemons at the start.
const DAEMONS: usize = 3;
/// Lookups and dispatches before and after the kill.
const REQUESTS: usize = 10;
/// Longest time for one call.
const CALL_TIMEOUT: Millis = Millis::from_secs(5);
/// Longest time for jobs to end.
const JOBS_TIMEOUT: Duration = Duration::from_secs(18);
/// Pause between two looks at something awaited.
const PAUSE: Duration = Duration::from_millis(50);
/// The configuration of the demo.
const PATCH: &str = include_str!("demo/patch.toml");
/// The jobs of the demo: id, kind, tasks, payload.
const JOBS: [(&str, &str, u32, &str); 3] = [
    ("certificate-service", "service", 3, "forever"),
    ("seal-deeds", "batch", 12, "run_ms=900 result=sealed"),
    ("reindex-archive", "gang", 4, "run_ms=1200 result=indexed"),
];

/// Show the main job on embedded stand-ins
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    pub help: bool,
    /// Print only the last line
    #[options(no_short)]
    pub json: bool,
}

/// What the demo counted; its last line of output.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct Report {
    jobs_submitted: usize,
    jobs_completed: usize,
    requests_answered: usize,
    requests_refused_not_run: usize,
    requests_unknown: usize,
    double_runs: usize,
    over_capacity: usize,
    lost: usize,
    promises_broken: usize,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Error::failed(e.to_string()))?;
        let plan = Plan::andino(MACHINES, MACHINES).map_err(|e| Error::failed(e.to_string()))?;
        let cell = Cell::start(&plan, DAEMONS, |_| {}).map_err(|e| Error::failed(e.to_string()))?;
        let mut demo = Demo { cell, client: Client::new(), report: Report::default(), audit: None };
        runtime.block_on(demo.run())?;
        if !self.json {
            demo.print(out)?;
        }
        let report =
            serde_json::to_string(&demo.report).map_err(|e| Error::failed(e.to_string()))?;
        writeln!(out, "{report}")?;
        if demo.report.promises_broken > 0 {
            return Err(Error::failed("a promise was broken"));
        }
        Ok(())
    }
}

struct Demo {
    cell: Cell,
    client: Client,
    report: Report,
    /// What the audit states, once the run has ended.
    audit: Option<audit::Report>,
}

impl Demo {
    async fn run(&mut self) -> Result<(), Error> {
        self.configure().await?;
        for (id, kind, tasks, payload) in JOBS {
            self.submit(id, kind, tasks, payload).await?;
        }
        let mut refused = Vec::new();
        self.requests("before", &mut refused).await;
        self.cell.kill(0);
        self.requests("after", &mut refused).await;
        self.await_jobs().await;
        self.cancel("certificate-service").await?;
        self.await_idle().await;
        self.count(&refused);
        for index in self.cell.running() {
            self.cell.stop(index);
        }
        let audit = self.cell.audit();
        let broken = audit.claims.iter().filter(|c| c.standing == Standing::Broken).count();
        self.report.promises_broken += broken;
        self.audit = Some(audit);
        Ok(())
    }

    /// Makes the first version of the configuration, as soon as a daemon takes it.
    async fn configure(&self) -> Result<(), Error> {
        let started = Instant::now();
        loop {
            let address = self.cell.operators()[0].to_string();
            let call = Call {
                content: Content::Text,
                key: Some(OPERATOR_KEY),
                ..Call::post(&address, "/v1/configuration?base=0", PATCH.as_bytes(), CALL_TIMEOUT)
            };
            match self.client.call(call).await {
                Ok(reply) if reply.status == 200 => return Ok(()),
                Ok(reply) if started.elapsed() > JOBS_TIMEOUT => {
                    let body = String::from_utf8_lossy(&reply.body).into_owned();
                    return Err(Error::failed(format!("the patch was refused: {body}")));
                }
                Err(error) if started.elapsed() > JOBS_TIMEOUT => {
                    return Err(Error::failed(error.to_string()));
                }
                _ => tokio::time::sleep(PAUSE).await,
            }
        }
    }

    async fn submit(
        &mut self,
        id: &str,
        kind: &str,
        tasks: u32,
        payload: &str,
    ) -> Result<(), Error> {
        let body = serde_json::json!({
            "id": id, "team": "notaries", "kind": kind, "tasks": tasks, "payload": payload,
            "needs": {"cpu_milli": 2000, "memory_mib": 4096},
            "run_ms": 1000,
        })
        .to_string();
        let started = Instant::now();
        for i in 0.. {
            let callers = self.cell.callers();
            let reply = self.post(callers[i % callers.len()], "/v1/jobs", &body).await;
            match reply {
                Ok((202, _)) => {
                    self.report.jobs_submitted += 1;
                    return Ok(());
                }
                other if started.elapsed() > JOBS_TIMEOUT => {
                    return Err(Error::failed(format!("{id} was not accepted: {other:?}")));
                }
                _ => tokio::time::sleep(PAUSE).await,
            }
        }
        Ok(())
    }

    /// Sends lookups, which are idempotent, and dispatches, which are not, one after the other to
    /// all daemons.
    async fn requests(&mut self, part: &str, refused: &mut Vec<Name>) {
        for i in 0..REQUESTS {
            let id = format!("{part}-{i}");
            let body = serde_json::json!({
                "id": id, "team": "notaries", "service": "retention-engine", "class": "urgent",
                "idempotent": i % 2 == 0, "wait_ms": 3000, "body": "sleep_ms=20",
            })
            .to_string();
            let callers = self.cell.callers();
            let reply = self.post(callers[i % callers.len()], "/v1/requests", &body).await;
            let answer = reply.ok().and_then(|(_, body)| codec::from_json::<Answer>(&body).ok());
            match answer {
                Some(Answer::Whole { .. }) => self.report.requests_answered += 1,
                Some(Answer::NotRun { request, .. }) => {
                    self.report.requests_refused_not_run += 1;
                    refused.push(request);
                }
                Some(Answer::Unknown { .. }) | None => self.report.requests_unknown += 1,
            }
        }
    }

    async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &str,
    ) -> Result<(u16, Vec<u8>), String> {
        let address = address.to_string();
        let call = Call {
            content: Content::Json,
            ..Call::post(&address, path, body.as_bytes(), CALL_TIMEOUT)
        };
        let reply = self.client.call(call).await.map_err(|e| e.to_string())?;
        Ok((reply.status, reply.body.to_vec()))
    }

    async fn status(&self, id: &str) -> Option<status::Job> {
        let path = format!("/v1/jobs/{id}?team=notaries");
        for address in self.cell.callers() {
            let address = address.to_string();
            if let Ok(reply) = self.client.call(Call::get(&address, &path, CALL_TIMEOUT)).await
                && let Ok(job) = codec::from_json(&reply.body)
            {
                return Some(job);
            }
        }
        None
    }

    async fn await_jobs(&mut self) {
        let started = Instant::now();
        for (id, kind, tasks, _) in JOBS {
            while started.elapsed() < JOBS_TIMEOUT {
                let job = self.status(id).await;
                let placed = |t: &status::Task| matches!(t.state, task::State::Placed { .. });
                let done = job.is_some_and(|job| match kind {
                    "service" => job.tasks.iter().filter(|t| placed(t)).count() == tasks as usize,
                    _ => job.tasks.iter().all(|t| t.state == task::State::Completed),
                });
                if done {
                    self.report.jobs_completed += 1;
                    break;
                }
                tokio::time::sleep(PAUSE).await;
            }
        }
    }

    async fn cancel(&self, id: &str) -> Result<(), Error> {
        let address = self.cell.callers()[0].to_string();
        let path = format!("/v1/jobs/{id}?team=notaries");
        let call = Call { method: "DELETE", ..Call::get(&address, &path, CALL_TIMEOUT) };
        self.client.call(call).await.map_err(|e| Error::failed(e.to_string()))?;
        Ok(())
    }

    /// Waits until no task runs any more.
    async fn await_idle(&self) {
        let started = Instant::now();
        while started.elapsed() < JOBS_TIMEOUT && self.cell.fleet.observer.summary().running > 0 {
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Counts what really happened, as the stand-ins saw it.
    fn count(&mut self, refused: &[Name]) {
        let observer = &self.cell.fleet.observer;
        let summary = observer.summary();
        let ran = refused.iter().filter(|id| !observer.executions(id.as_str()).is_empty()).count();
        let repeated = ["before", "after"]
            .iter()
            .flat_map(|part| (1..REQUESTS).step_by(2).map(move |i| format!("{part}-{i}")))
            .filter(|id| observer.executions(id).len() > 1)
            .count();
        let report = &mut self.report;
        report.double_runs = summary.double_runs + repeated;
        report.over_capacity = summary.over_capacity;
        report.lost = report.jobs_submitted - report.jobs_completed;
        report.promises_broken = report.double_runs + report.over_capacity + report.lost + ran;
    }

    fn print(&self, out: &mut dyn Write) -> Result<(), Error> {
        let events = self.cell.events();
        for line in &merge(&events) {
            let line =
                serde_json::to_string(line.event).map_err(|e| Error::failed(e.to_string()))?;
            writeln!(out, "{line}")?;
        }
        if let Some(audit) = &self.audit {
            write_report(out, audit)?;
        }
        Ok(())
    }
}
