//! Tests of the lines from the end of a job to the last stop of its runs.

use super::{log, log_poll, log_stop, record_stop};
use crate::ring;
use crate::shard::metrics::Metrics;
use crate::shard::view::ShardStatus;
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::order::{Poll, Stop, StopReason};
use pimentovalve_core::contract::owner::{Leftover, Notice, Report, StopAnswer, Tally};
use pimentovalve_core::contract::work::{Id, Job, Policy, StepId, Task};
use pimentovalve_core::ledger::shard::replica::Replica;
use pimentovalve_core::ledger::shard::{Entry, Incarnation, Run};
use serde_json::{Value, json};
use std::io;
use std::sync::{Arc, Mutex};

const NOW: Millis = Millis(5_000);
const ENDED_AT: Millis = Millis(4_600);

/// A writer whose content a test can read.
#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl io::Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the fields of the lines that `write` logs.
fn lines(write: impl FnOnce()) -> Vec<Value> {
    let text = Shared::default();
    let writer = text.clone();
    let subscriber = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_writer(move || writer.clone())
        .finish();
    tracing::subscriber::with_default(subscriber, write);
    let text = String::from_utf8(text.0.lock().unwrap().clone()).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

/// Returns the state of a shard with job 1, cancelled or not.
fn replica(is_cancelled: bool) -> Replica {
    let policy = Policy {
        queue: "q".into(),
        pool: "pool".into(),
        priority: 0,
        attempts: 2,
        stretch_milli: 1500,
        slack_ms: Millis(600),
        advisor_timing: None,
        team: None,
    };
    let (payload, steps) = ("".into(), Vec::new());
    let job = Job { id: Id(1), policy, payload, steps, schedule: None };
    let mut replica = Replica::default();
    replica.apply(Entry::Submitted(Box::new(job)), Millis(4_000));
    if is_cancelled {
        replica.apply(Entry::Cancelled(Id(1)), ENDED_AT);
    }
    replica
}

fn run() -> Run {
    let step_id = StepId { job: Id(1), occurrence: 0, step: 0 };
    Run { task: Task { step_id, index: 2 }, number: 3 }
}

fn on() -> Arc<Incarnation> {
    Arc::new(Incarnation { worker: "i-7".into(), born: 1 })
}

fn over(open: Tally, is_recovered: bool) -> Notice {
    Notice::Over { job: Id(1), open, is_recovered }
}

#[track_caller]
fn expect_fields(line: &Value, expected: &Value) {
    for (name, value) in expected.as_object().unwrap() {
        expect_that!(line[name], eq(value), "{name} of {line}");
    }
}

#[gtest]
fn the_end_of_a_job_is_logged_with_its_runs_by_phase() {
    let open = Tally { working: 2, ordered: 1, stopping: 1, unstopped: 3, ..Tally::default() };
    let lines = lines(|| log(&over(open, true), 4, &replica(true), NOW));
    expect_that!(lines, len(eq(1)));
    expect_fields(
        &lines[0],
        &json!({"message": "job ended: runs to stop", "job": "0000000000000001", "epoch": 4,
            "status": "Cancelled", "runs": 4, "working": 2, "ordered": 1, "stopping": 1,
            "stopped": 0, "recording": 0, "ending": 0, "recovered": true, "ended_ms": 400}),
    );
}

#[gtest]
fn a_job_that_ends_without_runs_is_logged_only_if_it_was_cancelled() {
    let notice = over(Tally::default(), false);
    expect_that!(lines(|| log(&notice, 4, &replica(false), NOW)), is_empty());
    let lines = lines(|| log(&notice, 4, &replica(true), NOW));
    expect_that!(lines, len(eq(1)));
    expect_fields(&lines[0], &json!({"status": "Cancelled", "runs": 0, "recovered": false}));
}

#[gtest]
fn a_run_that_is_listed_after_its_stop_is_logged() {
    let notice = Notice::Unstopped(run(), on(), Millis(1300));
    let lines = lines(|| log(&notice, 4, &replica(true), NOW));
    expect_that!(lines, len(eq(1)));
    expect_fields(
        &lines[0],
        &json!({"message": "run listed after its stop was acknowledged", "level": "WARN",
            "job": "0000000000000001", "task": "0000000000000001.0.0.2", "number": 3,
            "worker": "i-7", "epoch": 4, "stopped_ms": 1300}),
    );
}

#[gtest]
fn a_listed_run_that_no_owner_knows_is_logged_with_the_state_of_its_job() {
    let lines = lines(|| log(&Notice::Unknown(run(), on()), 4, &replica(true), NOW));
    expect_that!(lines, len(eq(1)));
    expect_fields(
        &lines[0],
        &json!({"message": "unknown run listed", "level": "WARN", "job": "0000000000000001",
            "task": "0000000000000001.0.0.2", "number": 3, "worker": "i-7", "epoch": 4,
            "status": "Some(Cancelled)"}),
    );
}

#[gtest]
fn a_run_that_is_missing_from_a_report_is_logged_with_the_ends_that_are_listed() {
    let (run, on) = (run(), on());
    let notice = Notice::Missing { run, on, has_begun: true, ends: 2, last_end: 9 };
    let lines = lines(|| log(&notice, 4, &replica(false), NOW));
    expect_that!(lines, len(eq(1)));
    expect_fields(
        &lines[0],
        &json!({"message": "run missing from a report", "level": "WARN",
            "job": "0000000000000001", "task": "0000000000000001.0.0.2", "number": 3,
            "worker": "i-7", "born": 1, "epoch": 4, "has_begun": true, "ends": 2, "last_end": 9}),
    );
}

#[gtest]
fn an_answer_of_another_incarnation_is_logged_with_what_the_poll_said() {
    let poll = Poll {
        on: on(),
        address: "127.0.0.1:1".into(),
        number: 1,
        recorded_end: 7,
        lease_end: Some(6_000),
        wait: Millis::ZERO,
    };
    let report = |born| Ok(Report { born, ..Report::default() });
    for own in [Some(1), None] {
        expect_that!(lines(|| log_poll(&poll, &report(own), 4)), is_empty());
    }
    let lines = lines(|| log_poll(&poll, &report(Some(2)), 4));
    expect_that!(lines, len(eq(1)));
    expect_fields(
        &lines[0],
        &json!({"message": "status poll answered by another incarnation", "worker": "i-7",
            "born": 1, "by": 2, "acknowledged": 7, "lease_end": "Some(6000)", "epoch": 4}),
    );
}

#[gtest]
fn the_answer_to_a_stop_is_logged_with_the_time_since_it_was_ordered() {
    let (on, run, reason) = (on(), run(), StopReason::Over);
    let stop = Stop { on, address: "127.0.0.1:1".into(), run, reason, since: ENDED_AT };
    let lines = lines(|| log_stop(&stop, StopAnswer::Taken, 4, NOW));
    expect_that!(lines, len(eq(1)));
    expect_fields(
        &lines[0],
        &json!({"message": "stop answered", "job": "0000000000000001",
            "task": "0000000000000001.0.0.2", "number": 3, "worker": "i-7", "epoch": 4,
            "why": "Over", "answer": "Taken", "ordered_ms": 400}),
    );
}

fn metrics(leftover: Leftover) -> Metrics {
    let (_publisher, status) =
        ring::latest(ShardStatus { epoch: Some(4), leftover, ..ShardStatus::default() });
    Metrics::new(status, Vec::new(), Arc::default(), Arc::default()).unwrap()
}

/// Returns the value of a metric, by the start of its name.
fn value(text: &str, name: &str) -> Option<String> {
    let line = text.lines().find(|l| l.starts_with(name))?;
    line.split_whitespace().last().map(Into::into)
}

#[gtest]
fn the_time_from_the_end_of_a_job_to_an_acknowledged_stop_is_measured() {
    let metrics = metrics(Leftover::default());
    let (on, run, reason) = (on(), run(), StopReason::Over);
    let stop = Stop { on, address: "127.0.0.1:1".into(), run, reason, since: ENDED_AT };
    record_stop(&stop, StopAnswer::Unknown, &replica(true), &metrics, NOW);
    record_stop(&stop, StopAnswer::Taken, &replica(false), &metrics, NOW);
    expect_that!(value(&metrics.text().unwrap(), "pimentovalve_stop_ms_sum"), none());
    record_stop(&stop, StopAnswer::Taken, &replica(true), &metrics, NOW);
    let text = metrics.text().unwrap();
    expect_that!(value(&text, "pimentovalve_stop_ms_sum"), some(eq("400")));
    expect_that!(value(&text, "pimentovalve_stop_ms_count"), some(eq("1")));
}

#[gtest]
fn runs_of_ended_jobs_are_exported_with_the_age_of_the_oldest() {
    let text = metrics(Leftover { runs: 3, oldest: Millis(1700) }).text().unwrap();
    expect_that!(value(&text, "pimentovalve_ended_job_runs{"), some(eq("3")));
    expect_that!(value(&text, "pimentovalve_ended_job_runs_age_ms{"), some(eq("1700")));
}
