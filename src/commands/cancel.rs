//! `pimentovalve cancel`: cancels a job.

use super::client::{self, CALL_TIMEOUT, Client, Failover};
use super::{Error, Run, status, write_json};
use gumdrop::Options;
use pimentovalve_wire::caller::Job;
use pimentovalve_wire::http::client::Call;
use std::io::Write;
use std::time::Duration;

/// Cancels a job: waiting tasks never start, running ones are stopped.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print the job as one JSON object
    #[options(no_short)]
    json: bool,
    /// Callers' address of a daemon; repeat it for others to try
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// Retry a call refused as "not run" for at most this many milliseconds
    #[options(no_short, meta = "MS")]
    retry_ms: u64,
    /// Team of the job
    #[options(no_short, meta = "NAME")]
    team: String,
    /// Id of the job
    #[options(free)]
    id: String,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let path = status::path("jobs", &self.id, &self.team)?;
        let client = Client::new(&self.daemon, None)?;
        let call = Call { method: "DELETE", ..Call::get("", &path, CALL_TIMEOUT) };
        let retry_for = Duration::from_millis(self.retry_ms);
        let reply = client.call_with_retries(&call, Failover::OnlyIfNotRun, retry_for)?;
        let job: Job = client::decode(&reply)?;
        if self.json { write_json(out, &job) } else { status::write_job(out, &job) }
    }
}
