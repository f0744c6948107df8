//! `pimentovalve release`: releases a task on hold so that it can be placed again.

use super::client::{self, CALL_TIMEOUT, Client, Failover};
use super::{Error, Run, write_json};
use gumdrop::Options;
use pimentovalve_core::contract::task;
use pimentovalve_core::finding::List;
use pimentovalve_core::name::Name;
use pimentovalve_daemon::front::operator::Release;
use pimentovalve_wire::http::Content;
use std::io::Write;

/// Releases a task on hold, whose worker is unreachable, once you know that its attempt has ended.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object
    #[options(no_short)]
    json: bool,
    /// Operators' address of a daemon; repeat it for others to try if the release was not run there
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// File with the operator's key
    #[options(no_short, meta = "FILE")]
    key: Option<String>,
    /// Team of the job
    #[options(no_short, meta = "NAME")]
    team: String,
    /// Attempt that is known to have ended
    #[options(no_short, meta = "N")]
    attempt: Option<task::Attempt>,
    /// Task, as job/index
    #[options(free)]
    task: String,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let release = self.validate().map_err(|findings| Error::input("arguments", findings))?;
        let body = serde_json::to_vec(&release).map_err(|e| Error::failed(e.to_string()))?;
        let client = Client::new(&self.daemon, self.key.as_deref())?;
        let call = Client::post("/v1/release", Content::Json, &body, CALL_TIMEOUT);
        let () = client::decode(&client.call(&call, Failover::OnlyIfNotRun)?)?;
        if self.json {
            return write_json(out, &release);
        }
        writeln!(out, "attempt {} of {} is released", release.attempt, release.task)?;
        Ok(())
    }
}

impl Arguments {
    fn validate(&self) -> Result<Release, List> {
        let mut findings = List::new();
        let team = findings.take("--team", Name::try_from(self.team.as_str()));
        let task = findings.take("task", parse_task(&self.task));
        if self.attempt.is_none() {
            findings.note("--attempt", "is missing");
        }
        match (team, task, self.attempt) {
            (Some(team), Some(task), Some(attempt)) => Ok(Release { team, task, attempt }),
            _ => Err(findings),
        }
    }
}

fn parse_task(raw: &str) -> Result<task::Id, List> {
    let split = raw.rsplit_once('/').and_then(|(job, index)| Some((job, index.parse().ok()?)));
    let Some((job, index)) = split else {
        return Err(List::one("", format!("must be a job, a slash and an index, not {raw:?}")));
    };
    Ok(task::Id { job: Name::try_from(job)?, index })
}
