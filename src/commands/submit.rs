//! `pimentovalve submit`: submits a job or a request, described by a file, by flags or by both.

use super::client::{self, CALL_TIMEOUT, Client, Failover};
use super::{Error, Run, input, status, write_json};
use gumdrop::Options;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::job::{self, Job};
use pimentovalve_core::contract::request::{self, Request};
use pimentovalve_core::finding::List;
use pimentovalve_wire::caller;
use pimentovalve_wire::http::Content;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::io::Write;
use std::time::Duration;

/// Submits a job, or a request if a service is given. Flags override the file.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object
    #[options(no_short)]
    json: bool,
    /// Callers' address of a daemon; repeat it for others to try if the work was not run there
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// Retry a submission refused as "not run" for at most this many milliseconds
    #[options(no_short, meta = "MS")]
    retry_ms: u64,
    /// Unique id; submitting an id again does not repeat the work
    #[options(no_short, meta = "NAME")]
    id: Option<String>,
    /// Team that owns the work
    #[options(no_short, meta = "NAME")]
    team: Option<String>,
    /// Class of urgency: urgent, normal or deferrable
    #[options(no_short, meta = "CLASS")]
    class: Option<String>,
    /// Job: kind of work, as named in the configuration
    #[options(no_short, meta = "NAME")]
    kind: Option<String>,
    /// Job: number of tasks
    #[options(no_short, meta = "N")]
    tasks: Option<u32>,
    /// Job: CPU per task in thousandths of a core
    #[options(no_short, meta = "N")]
    cpu_milli: Option<u64>,
    /// Job: memory per task in MiB
    #[options(no_short, meta = "N")]
    memory_mib: Option<u64>,
    /// Job: accelerators per task
    #[options(no_short, meta = "N")]
    accelerators: Option<u64>,
    /// Job: estimated run time of each task in milliseconds
    #[options(no_short, meta = "MS")]
    run_ms: Option<u64>,
    /// Job: payload, passed to each task
    #[options(no_short, meta = "TEXT")]
    payload: Option<String>,
    /// Request: service that handles it
    #[options(no_short, meta = "NAME")]
    service: Option<String>,
    /// Request: may safely be executed more than once
    #[options(no_short)]
    idempotent: bool,
    /// Request: longest wait for the answer in milliseconds
    #[options(no_short, meta = "MS")]
    wait_ms: Option<u64>,
    /// Request: body
    #[options(no_short, meta = "TEXT")]
    body: Option<String>,
    /// Job or request in TOML, in JSON if its name ends in .json, - for standard input (TOML)
    #[options(free)]
    file: Option<String>,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let origin = self.file.as_deref().unwrap_or("arguments");
        let mut table =
            self.file.as_deref().map(input::read_table).transpose()?.unwrap_or_default();
        self.merge(&mut table);
        if table.contains_key("service") {
            let raw: request::Raw = from_table(origin, table)?;
            self.submit_request(origin, &raw, out)
        } else {
            let raw: job::Raw = from_table(origin, table)?;
            self.submit_job(origin, &raw, out)
        }
    }
}

impl Arguments {
    const fn retry_for(&self) -> Duration {
        Duration::from_millis(self.retry_ms)
    }

    /// Overrides the entries of the file's table with the flags given.
    fn merge(&self, table: &mut Map<String, Value>) {
        let mut set = |key: &str, value: Option<Value>| {
            if let Some(value) = value {
                table.insert(key.into(), value);
            }
        };
        set("id", self.id.clone().map(Value::from));
        set("team", self.team.clone().map(Value::from));
        set("class", self.class.clone().map(Value::from));
        set("kind", self.kind.clone().map(Value::from));
        set("tasks", self.tasks.map(Value::from));
        set("run_ms", self.run_ms.map(Value::from));
        set("payload", self.payload.clone().map(Value::from));
        set("service", self.service.clone().map(Value::from));
        set("idempotent", self.idempotent.then_some(Value::Bool(true)));
        set("wait_ms", self.wait_ms.map(Value::from));
        set("body", self.body.clone().map(Value::from));
        let needs = [
            ("cpu_milli", self.cpu_milli),
            ("memory_mib", self.memory_mib),
            ("accelerators", self.accelerators),
        ];
        for (key, value) in needs {
            let Some(value) = value else { continue };
            let needs = table.entry("needs").or_insert_with(|| Value::Object(Map::new()));
            if let Value::Object(needs) = needs {
                needs.insert(key.into(), value.into());
            }
        }
    }

    fn submit_job(&self, origin: &str, raw: &job::Raw, out: &mut dyn Write) -> Result<(), Error> {
        validated(origin, Job::try_from(raw.clone()))?;
        let body = encode(raw)?;
        let client = Client::new(&self.daemon, None)?;
        let call = Client::post("/v1/jobs", Content::Json, &body, CALL_TIMEOUT);
        let job: caller::Job = client::decode(&client.call_with_retries(
            &call,
            Failover::OnlyIfNotRun,
            self.retry_for(),
        )?)?;
        if self.json { write_json(out, &job) } else { status::write_job(out, &job) }
    }

    fn submit_request(
        &self,
        origin: &str,
        raw: &request::Raw,
        out: &mut dyn Write,
    ) -> Result<(), Error> {
        let request = validated(origin, Request::try_from(raw.clone()))?;
        let body = encode(raw)?;
        let client = Client::new(&self.daemon, None)?;
        let timeout: Millis = request.wait_ms + CALL_TIMEOUT;
        let call = Client::post("/v1/requests", Content::Json, &body, timeout);
        let failover =
            if request.idempotent { Failover::OnAnyFailure } else { Failover::OnlyIfNotRun };
        let reply = client.call_with_retries(&call, failover, self.retry_for())?;
        status::write_answer(out, &status::answer(&reply)?, self.json)
    }
}

fn from_table<T: DeserializeOwned>(origin: &str, table: Map<String, Value>) -> Result<T, Error> {
    serde_json::from_value(Value::Object(table))
        .map_err(|e| Error::input(origin, List::one("input", e.to_string())))
}

fn validated<T>(origin: &str, result: Result<T, List>) -> Result<T, Error> {
    result.map_err(|findings| Error::input(origin, findings))
}

fn encode<T: Serialize>(raw: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(raw).map_err(|e| Error::failed(e.to_string()))
}
