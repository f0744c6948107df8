//! `pimentovalve submit`: submits a job or a request, from a file or from flags.

use super::client::{self, CALL_TIMEOUT, Client, Effect};
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

/// Submits a job, or a request when a service is named. Flags go over what the file says.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object
    #[options(no_short)]
    json: bool,
    /// Callers' address of a daemon; repeat it for others to try when one surely took nothing
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// Come back as told after refusals that say "not run", at most for this long
    #[options(no_short, meta = "MS")]
    retry_ms: u64,
    /// Unique id; the same id is the same work
    #[options(no_short, meta = "NAME")]
    id: Option<String>,
    /// Team that answers for the work
    #[options(no_short, meta = "NAME")]
    team: Option<String>,
    /// Urgency: urgent, normal or deferrable
    #[options(no_short, meta = "CLASS")]
    class: Option<String>,
    /// Job: its kind of work
    #[options(no_short, meta = "NAME")]
    kind: Option<String>,
    /// Job: number of its tasks
    #[options(no_short, meta = "N")]
    tasks: Option<u32>,
    /// Job: need of each task in thousandths of a core
    #[options(no_short, meta = "N")]
    cpu_milli: Option<u64>,
    /// Job: need of each task in MiB
    #[options(no_short, meta = "N")]
    memory_mib: Option<u64>,
    /// Job: accelerators that each task needs
    #[options(no_short, meta = "N")]
    accelerators: Option<u64>,
    /// Job: declared run time of each task in milliseconds
    #[options(no_short, meta = "MS")]
    run_ms: Option<u64>,
    /// Job: input
    #[options(no_short, meta = "TEXT")]
    payload: Option<String>,
    /// Request: the service that serves it
    #[options(no_short, meta = "NAME")]
    service: Option<String>,
    /// Request: running it twice does no harm
    #[options(no_short)]
    idempotent: bool,
    /// Request: how long to wait in milliseconds
    #[options(no_short, meta = "MS")]
    wait_ms: Option<u64>,
    /// Request: input
    #[options(no_short, meta = "TEXT")]
    body: Option<String>,
    /// Job or request in TOML, in JSON when its name ends in .json, - for standard input (TOML)
    #[options(free)]
    file: Option<String>,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let origin = self.file.as_deref().unwrap_or("arguments");
        let mut table = self.file.as_deref().map(input::table).transpose()?.unwrap_or_default();
        self.merge(&mut table);
        if table.contains_key("service") {
            let raw: request::Raw = typed(origin, table)?;
            self.submit_request(origin, &raw, out)
        } else {
            let raw: job::Raw = typed(origin, table)?;
            self.submit_job(origin, &raw, out)
        }
    }
}

impl Arguments {
    const fn patience(&self) -> Duration {
        Duration::from_millis(self.retry_ms)
    }

    /// Puts the flags into the table of the file.
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
        checked(origin, Job::try_from(raw.clone()))?;
        let body = encode(raw)?;
        let client = Client::new(&self.daemon, None)?;
        let call = Client::post("/v1/jobs", Content::Json, &body, CALL_TIMEOUT);
        let job: caller::Job =
            client::decode(&client.call_again(&call, Effect::Changes, self.patience())?)?;
        if self.json { write_json(out, &job) } else { status::write_job(out, &job) }
    }

    fn submit_request(
        &self,
        origin: &str,
        raw: &request::Raw,
        out: &mut dyn Write,
    ) -> Result<(), Error> {
        let request = checked(origin, Request::try_from(raw.clone()))?;
        let body = encode(raw)?;
        let client = Client::new(&self.daemon, None)?;
        let timeout: Millis = request.wait_ms + CALL_TIMEOUT;
        let call = Client::post("/v1/requests", Content::Json, &body, timeout);
        // Without an idempotent effect only what surely did not run may be tried elsewhere.
        let effect = if request.idempotent { Effect::Reads } else { Effect::Changes };
        let reply = client.call_again(&call, effect, self.patience())?;
        status::show_answer(out, &status::answer(&reply)?, self.json)
    }
}

fn typed<T: DeserializeOwned>(origin: &str, table: Map<String, Value>) -> Result<T, Error> {
    serde_json::from_value(Value::Object(table))
        .map_err(|e| Error::input(origin, List::one("input", e.to_string())))
}

fn checked<T>(origin: &str, result: Result<T, List>) -> Result<T, Error> {
    result.map_err(|findings| Error::input(origin, findings))
}

fn encode<T: Serialize>(raw: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(raw).map_err(|e| Error::failed(e.to_string()))
}
