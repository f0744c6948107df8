//! `pimentovalve status`: shows the state of a job, or the answer to a request.

use super::client::{self, CALL_TIMEOUT, Client, Effect};
use super::{Error, Run, write_json};
use gumdrop::Options;
use pimentovalve_core::contract::request::Answer;
use pimentovalve_core::contract::task::State;
use pimentovalve_core::finding::List;
use pimentovalve_core::name::Name;
use pimentovalve_wire::caller::Job;
use pimentovalve_wire::http::client::{Call, Reply};
use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

/// Time between two looks at a job that is waited for.
const POLL: Duration = Duration::from_millis(200);

/// Shows the state of a job or the answer to a request, from any daemon.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object
    #[options(no_short)]
    json: bool,
    /// Callers' address of a daemon; repeat it for others to try
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// Team of the job or the request
    #[options(no_short, meta = "NAME")]
    team: String,
    /// The id is that of a request
    #[options(no_short)]
    request: bool,
    /// Wait until the job has ended or the request is answered, at most this many milliseconds
    #[options(no_short, meta = "MS")]
    wait_ms: u64,
    /// Id of the job or the request
    #[options(free)]
    id: String,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let things = if self.request { "requests" } else { "jobs" };
        let path = path(things, &self.id, &self.team)?;
        let client = Client::new(&self.daemon, None)?;
        let deadline = Instant::now() + Duration::from_millis(self.wait_ms);
        loop {
            let call = Call::get("", &path, CALL_TIMEOUT);
            let reply = client.call(&call, Effect::Reads);
            let late = Instant::now() >= deadline;
            if late || reply.as_ref().is_ok_and(|reply| self.is_final(reply)) {
                return self.show(&reply?, out);
            }
            thread::sleep(POLL);
        }
    }
}

impl Arguments {
    fn is_final(&self, reply: &Reply) -> bool {
        if self.request {
            answer(reply).is_ok_and(|answer| !matches!(answer, Answer::Unknown { .. }))
        } else {
            client::decode::<Job>(reply).is_ok_and(|job| job.ended)
        }
    }

    fn show(&self, reply: &Reply, out: &mut dyn Write) -> Result<(), Error> {
        if self.request {
            return show_answer(out, &answer(reply)?, self.json);
        }
        let job: Job = client::decode(reply)?;
        if self.json {
            write_json(out, &job)?
        } else {
            write_job(out, &job)?
        }
        if self.wait_ms > 0 && !job.ended {
            return Err(Error::failed(format!("the job has not ended within {} ms", self.wait_ms)));
        }
        Ok(())
    }
}

/// Returns the path of a job or a request.
///
/// # Errors
///
/// Returns a finding for each name that is wrong.
pub(super) fn path(things: &str, id: &str, team: &str) -> Result<String, Error> {
    let mut findings = List::new();
    findings.take("id", Name::try_from(id));
    findings.take("--team", Name::try_from(team));
    findings.into_result().map_err(|findings| Error::input("arguments", findings))?;
    Ok(format!("/v1/{things}/{id}?team={team}"))
}

/// Returns the answer to a request; a refusal is one as well, under any status.
pub(super) fn answer(reply: &Reply) -> Result<Answer, Error> {
    serde_json::from_slice(&reply.body).map_err(|_| client::refusal(reply))
}

/// Writes the answer to a request; only the whole answer counts as done.
pub(super) fn show_answer(out: &mut dyn Write, answer: &Answer, json: bool) -> Result<(), Error> {
    if json {
        write_json(out, answer)?;
    }
    match answer {
        Answer::Whole { body, .. } => {
            if !json {
                writeln!(out, "{body}")?;
            }
            Ok(())
        }
        Answer::NotRun { request, reason, retry_after_ms } => Err(Error::failed(format!(
            "{request} did not run and will not: {reason:?}; come back in {retry_after_ms}"
        ))),
        Answer::Unknown { request } => {
            Err(Error::failed(format!("{request} may have run: ask by id with status --request")))
        }
    }
}

/// Writes the state of a job for people.
pub(super) fn write_job(out: &mut dyn Write, job: &Job) -> Result<(), Error> {
    let state = match (job.ended, job.cancelled) {
        (true, true) => "ended after its cancellation",
        (true, false) => "ended",
        (false, true) => "cancelled, still stopping",
        (false, false) => "accepted",
    };
    writeln!(out, "job {}: {state}", job.id)?;
    for (index, task) in job.tasks.iter().enumerate() {
        let attempt = task.attempt;
        match &task.state {
            State::Waiting => writeln!(out, "task {index}: waiting, after {attempt} attempts")?,
            State::Placed { worker, epoch } => {
                writeln!(out, "task {index}: attempt {attempt} on {worker}, epoch {epoch}")?;
            }
            State::Completed => writeln!(out, "task {index}: completed: {}", task.result)?,
            State::Failed => writeln!(out, "task {index}: failed: {}", task.result)?,
            State::Cancelled => writeln!(out, "task {index}: cancelled")?,
        }
    }
    Ok(())
}
