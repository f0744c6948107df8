//! `pimentovalve cancel`: cancels a job.

use super::client::{self, CALL_TIMEOUT, Client, Effect};
use super::{Error, Run, status, write_json};
use gumdrop::Options;
use pimentovalve_wire::caller::Job;
use pimentovalve_wire::http::client::Call;
use std::io::Write;

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
        let job: Job = client::decode(&client.call(&call, Effect::Changes)?)?;
        if self.json { write_json(out, &job) } else { status::write_job(out, &job) }
    }
}
