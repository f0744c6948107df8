//! `pimentovalve release`: releases a held task for another place.

use super::client::{self, CALL_TIMEOUT, Client, Effect};
use super::{Error, Run, write_json};
use gumdrop::Options;
use pimentovalve_core::contract::task;
use pimentovalve_core::finding::List;
use pimentovalve_core::name::Name;
use pimentovalve_daemon::front::operator::Release;
use pimentovalve_wire::http::Content;
use std::io::Write;

/// Releases a held task, whose worker can't be asked, once you know that the attempt is over.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object
    #[options(no_short)]
    json: bool,
    /// Operators' address of a daemon; repeat it for others to try when one surely did nothing
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// File with the operator's key
    #[options(no_short, meta = "FILE")]
    key: Option<String>,
    /// Team of the job
    #[options(no_short, meta = "NAME")]
    team: String,
    /// The attempt that is known to be over
    #[options(no_short, meta = "N")]
    attempt: Option<task::Attempt>,
    /// The task, as job/index
    #[options(free)]
    task: String,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let release = self.checked().map_err(|findings| Error::input("arguments", findings))?;
        let body = serde_json::to_vec(&release).map_err(|e| Error::failed(e.to_string()))?;
        let client = Client::new(&self.daemon, self.key.as_deref())?;
        let call = Client::post("/v1/release", Content::Json, &body, CALL_TIMEOUT);
        let () = client::decode(&client.call(&call, Effect::Changes)?)?;
        if self.json {
            return write_json(out, &release);
        }
        writeln!(out, "attempt {} of {} is released", release.attempt, release.task)?;
        Ok(())
    }
}

impl Arguments {
    fn checked(&self) -> Result<Release, List> {
        let mut findings = List::new();
        let team = findings.take("--team", Name::try_from(self.team.as_str()));
        let task = findings.take("task", read_task(&self.task));
        if self.attempt.is_none() {
            findings.note("--attempt", "is missing");
        }
        match (team, task, self.attempt) {
            (Some(team), Some(task), Some(attempt)) => Ok(Release { team, task, attempt }),
            _ => Err(findings),
        }
    }
}

fn read_task(raw: &str) -> Result<task::Id, List> {
    let split = raw.rsplit_once('/').and_then(|(job, index)| Some((job, index.parse().ok()?)));
    let Some((job, index)) = split else {
        return Err(List::one("", format!("must be a job, a slash and an index, not {raw:?}")));
    };
    Ok(task::Id { job: Name::try_from(job)?, index })
}
