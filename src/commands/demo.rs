//! `pimentovalve demo`: an end-to-end run on an embedded cell.
//!
//! Starts the platform's stand-ins and three daemons on loopback, creates a configuration and
//! submits a service, a batch, a gang, and idempotent and non-idempotent requests. One daemon is
//! killed between two rounds of requests. Whether the promises were kept is counted from what
//! the stand-ins observed, and audited from the ledger and the timelines.

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

/// Number of workers, and of runners, in each failure domain.
const MACHINES_PER_DOMAIN: usize = 2;
const DAEMONS: usize = 3;
/// Number of requests in each of the two rounds, before and after the kill.
const REQUESTS_PER_ROUND: usize = 10;
const CALL_TIMEOUT: Millis = Millis::from_secs(5);
/// Longest wait for each step of the demo: the configuration is accepted, a job is accepted, all
/// jobs are complete, all tasks have ended.
const STEP_TIMEOUT: Duration = Duration::from_secs(18);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Patch that creates version 1 of the configuration.
const PATCH: &str = include_str!("demo/patch.toml");
/// Id, kind, number of tasks and payload of each job. The payload tells the stand-in worker how
/// long to run and what to return.
const JOBS: [(&str, &str, u32, &str); 3] = [
    ("certificate-service", "service", 3, "forever"),
    ("seal-deeds", "batch", 12, "run_ms=900 result=sealed"),
    ("reindex-archive", "gang", 4, "run_ms=1200 result=indexed"),
];

/// Runs jobs and requests on an embedded cell, kills a daemon and audits all promises.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    pub help: bool,
    /// Print only the summary, as one JSON object
    #[options(no_short)]
    pub json: bool,
}

/// Counts of the run, printed as the last line of output.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
struct Summary {
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
        let plan = Plan::andino(MACHINES_PER_DOMAIN, MACHINES_PER_DOMAIN)
            .map_err(|e| Error::failed(e.to_string()))?;
        let cell = Cell::start(&plan, DAEMONS, |_| {}).map_err(|e| Error::failed(e.to_string()))?;
        let mut demo =
            Demo { cell, client: Client::new(), summary: Summary::default(), audit: None };
        runtime.block_on(demo.run())?;
        if !self.json {
            demo.write_details(out)?;
        }
        let summary =
            serde_json::to_string(&demo.summary).map_err(|e| Error::failed(e.to_string()))?;
        writeln!(out, "{summary}")?;
        if demo.summary.promises_broken > 0 {
            return Err(Error::failed("a promise was broken"));
        }
        Ok(())
    }
}

struct Demo {
    cell: Cell,
    client: Client,
    summary: Summary,
    /// Set when the run has ended and all daemons are stopped.
    audit: Option<audit::Report>,
}

impl Demo {
    async fn run(&mut self) -> Result<(), Error> {
        self.configure().await?;
        for (id, kind, tasks, payload) in JOBS {
            self.submit(id, kind, tasks, payload).await?;
        }
        let mut refused = Vec::new();
        self.send_requests("before", &mut refused).await;
        self.cell.kill(0);
        self.send_requests("after", &mut refused).await;
        self.await_jobs().await;
        self.cancel("certificate-service").await?;
        self.await_idle().await;
        self.summarize(&refused);
        for index in self.cell.running() {
            self.cell.stop(index);
        }
        let audit = self.cell.audit();
        let broken = audit.claims.iter().filter(|c| c.standing == Standing::Broken).count();
        self.summary.promises_broken += broken;
        self.audit = Some(audit);
        Ok(())
    }

    /// Creates version 1 of the configuration. Retries, because a daemon that has just started
    /// refuses patches for a while.
    async fn configure(&self) -> Result<(), Error> {
        let started = Instant::now();
        loop {
            let address = self.cell.operator_addresses()[0].to_string();
            let call = Call {
                content: Content::Text,
                key: Some(OPERATOR_KEY),
                ..Call::post(&address, "/v1/configuration?base=0", PATCH.as_bytes(), CALL_TIMEOUT)
            };
            match self.client.call(call).await {
                Ok(reply) if reply.status == 200 => return Ok(()),
                Ok(reply) if started.elapsed() > STEP_TIMEOUT => {
                    let body = String::from_utf8_lossy(&reply.body).into_owned();
                    return Err(Error::failed(format!("patch refused: {body}")));
                }
                Err(error) if started.elapsed() > STEP_TIMEOUT => {
                    return Err(Error::failed(error.to_string()));
                }
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Submits a job, trying the daemons in turn until one accepts it.
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
            let callers = self.cell.caller_addresses();
            let reply = self.post(callers[i % callers.len()], "/v1/jobs", &body).await;
            match reply {
                Ok((202, _)) => {
                    self.summary.jobs_submitted += 1;
                    return Ok(());
                }
                other if started.elapsed() > STEP_TIMEOUT => {
                    return Err(Error::failed(format!("job {id} not accepted: {other:?}")));
                }
                _ => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
        Ok(())
    }

    /// Sends one round of requests to the daemons in turn. Requests with an even number are
    /// idempotent, those with an odd number are not. Adds the ids of refused ones to `refused`.
    async fn send_requests(&mut self, round: &str, refused: &mut Vec<Name>) {
        for i in 0..REQUESTS_PER_ROUND {
            let id = format!("{round}-{i}");
            let body = serde_json::json!({
                "id": id, "team": "notaries", "service": "retention-engine", "class": "urgent",
                "idempotent": i % 2 == 0, "wait_ms": 3000, "body": "sleep_ms=20",
            })
            .to_string();
            let callers = self.cell.caller_addresses();
            let reply = self.post(callers[i % callers.len()], "/v1/requests", &body).await;
            let answer = reply.ok().and_then(|(_, body)| codec::from_json::<Answer>(&body).ok());
            match answer {
                Some(Answer::Whole { .. }) => self.summary.requests_answered += 1,
                Some(Answer::NotRun { request, .. }) => {
                    self.summary.requests_refused_not_run += 1;
                    refused.push(request);
                }
                Some(Answer::Unknown { .. }) | None => self.summary.requests_unknown += 1,
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
        for address in self.cell.caller_addresses() {
            let address = address.to_string();
            if let Ok(reply) = self.client.call(Call::get(&address, &path, CALL_TIMEOUT)).await
                && let Ok(job) = codec::from_json(&reply.body)
            {
                return Some(job);
            }
        }
        None
    }

    /// Waits until the batch and the gang have completed and all tasks of the service are placed.
    async fn await_jobs(&mut self) {
        let started = Instant::now();
        for (id, kind, tasks, _) in JOBS {
            while started.elapsed() < STEP_TIMEOUT {
                let job = self.status(id).await;
                let placed = |t: &status::Task| matches!(t.state, task::State::Placed { .. });
                let done = job.is_some_and(|job| match kind {
                    "service" => job.tasks.iter().filter(|t| placed(t)).count() == tasks as usize,
                    _ => job.tasks.iter().all(|t| t.state == task::State::Completed),
                });
                if done {
                    self.summary.jobs_completed += 1;
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    async fn cancel(&self, id: &str) -> Result<(), Error> {
        let address = self.cell.caller_addresses()[0].to_string();
        let path = format!("/v1/jobs/{id}?team=notaries");
        let call = Call { method: "DELETE", ..Call::get(&address, &path, CALL_TIMEOUT) };
        self.client.call(call).await.map_err(|e| Error::failed(e.to_string()))?;
        Ok(())
    }

    /// Waits until no task is running.
    async fn await_idle(&self) {
        let started = Instant::now();
        while started.elapsed() < STEP_TIMEOUT && self.cell.fleet.observer.summary().running > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Counts double runs, overcommitted workers, lost jobs and executed refusals, as the stand-ins
    /// observed them.
    fn summarize(&mut self, refused: &[Name]) {
        let observer = &self.cell.fleet.observer;
        let observed = observer.summary();
        let executed_refusals =
            refused.iter().filter(|id| !observer.executions(id.as_str()).is_empty()).count();
        let repeated_requests = ["before", "after"]
            .iter()
            .flat_map(|round| {
                (1..REQUESTS_PER_ROUND).step_by(2).map(move |i| format!("{round}-{i}"))
            })
            .filter(|id| observer.executions(id).len() > 1)
            .count();
        let summary = &mut self.summary;
        summary.double_runs = observed.double_runs + repeated_requests;
        summary.over_capacity = observed.over_capacity;
        summary.lost = summary.jobs_submitted - summary.jobs_completed;
        summary.promises_broken =
            summary.double_runs + summary.over_capacity + summary.lost + executed_refusals;
    }

    /// Writes the merged timeline as JSON lines, then the audit report.
    fn write_details(&self, out: &mut dyn Write) -> Result<(), Error> {
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
