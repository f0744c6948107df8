//! `pimentovalve status`: shows the state of a job or the answer to a request.

use super::client::{self, CALL_TIMEOUT, Client, Failover};
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

const POLL_INTERVAL: Duration = Duration::from_millis(200);

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
    /// Query a request instead of a job
    #[options(no_short)]
    request: bool,
    /// Wait up to this many milliseconds until the job has ended or the request is answered
    #[options(no_short, meta = "MS")]
    wait_ms: u64,
    /// Id of the job or the request
    #[options(free)]
    id: String,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let collection = if self.request { "requests" } else { "jobs" };
        let path = path(collection, &self.id, &self.team)?;
        let client = Client::new(&self.daemon, None)?;
        let deadline = Instant::now() + Duration::from_millis(self.wait_ms);
        loop {
            let call = Call::get("", &path, CALL_TIMEOUT);
            let reply = client.call(&call, Failover::OnAnyFailure);
            let is_timed_out = Instant::now() >= deadline;
            if is_timed_out || reply.as_ref().is_ok_and(|reply| self.is_final(reply)) {
                return self.write(&reply?, out);
            }
            thread::sleep(POLL_INTERVAL);
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

    fn write(&self, reply: &Reply, out: &mut dyn Write) -> Result<(), Error> {
        if self.request {
            return write_answer(out, &answer(reply)?, self.json);
        }
        let job: Job = client::decode(reply)?;
        if self.json {
            write_json(out, &job)?
        } else {
            write_job(out, &job)?
        }
        if self.wait_ms > 0 && !job.ended {
            return Err(Error::failed(format!("job did not end within {} ms", self.wait_ms)));
        }
        Ok(())
    }
}

/// Returns the HTTP path of a job or a request; `collection` is `jobs` or `requests`.
///
/// # Errors
///
/// Returns a finding for each of `id` and `team` that is not a valid name.
pub(super) fn path(collection: &str, id: &str, team: &str) -> Result<String, Error> {
    let mut findings = List::new();
    findings.take("id", Name::try_from(id));
    findings.take("--team", Name::try_from(team));
    findings.into_result().map_err(|findings| Error::input("arguments", findings))?;
    Ok(format!("/v1/{collection}/{id}?team={team}"))
}

/// Decodes the answer to a request. The HTTP status is ignored, because refusals of a request are
/// answers too and come with an error status.
pub(super) fn answer(reply: &Reply) -> Result<Answer, Error> {
    serde_json::from_slice(&reply.body).map_err(|_| client::refusal(reply))
}

/// Writes the answer to a request. Returns an error for any answer other than [`Answer::Whole`].
pub(super) fn write_answer(out: &mut dyn Write, answer: &Answer, json: bool) -> Result<(), Error> {
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
            "{request} did not run and will not run: {reason:?}; retry after {retry_after_ms}"
        ))),
        Answer::Unknown { request } => {
            Err(Error::failed(format!("{request} may have run: query it with status --request")))
        }
    }
}

/// Writes the state of a job and its tasks as text.
pub(super) fn write_job(out: &mut dyn Write, job: &Job) -> Result<(), Error> {
    let state = match (job.ended, job.cancelled) {
        (true, true) => "ended after cancellation",
        (true, false) => "ended",
        (false, true) => "cancelled, tasks still stopping",
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
