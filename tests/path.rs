//! End-to-end path through three daemons: a job is submitted over HTTP and run by workers, and a
//! request is answered by a runner.

mod support;

use googletest::prelude::*;
use pimentovalve::core::contract::request::Answer;
use support::{Harness, batch, idempotent_request};

#[gtest]
fn a_job_completes_and_a_request_is_answered() {
    let harness = Harness::start(3, |_| {});
    harness.submit(&batch("seal-1", 6, "run_ms=100 result=sealed"));
    let job = harness.await_ended("seal-1");
    let results: Vec<&str> = job.tasks.iter().map(|t| t.result.as_str()).collect();
    expect_that!(results, each(eq(&"sealed")));
    let answer = harness.request(0, &idempotent_request("lookup-1", "echo=found"));
    expect_that!(answer, some(matches_pattern!(Answer::Whole { .. })));
    expect_that!(harness.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(harness.cell.fleet.observer.over_capacity(), is_empty());
}

#[gtest]
fn every_instance_accepts_jobs_and_reports_their_status() {
    let harness = Harness::start(3, |_| {});
    for (i, id) in ["at-0", "at-1", "at-2"].into_iter().enumerate() {
        harness.submit_at(i, &batch(id, 1, "run_ms=50 result=done"));
    }
    for id in ["at-0", "at-1", "at-2"] {
        expect_that!(harness.await_ended(id).ended, eq(true));
    }
}

#[gtest]
fn submitting_the_same_job_twice_creates_one_job() {
    let harness = Harness::start(2, |_| {});
    harness.submit_at(0, &batch("once", 1, "run_ms=50 result=done"));
    harness.submit_at(1, &batch("once", 1, "run_ms=50 result=done"));
    harness.await_ended("once");
    expect_that!(harness.cell.fleet.observer.all_spans(), len(eq(1)));
    let (status, _) = harness.post(0, "/v1/jobs", &batch("once", 2, "other"));
    expect_that!(status, eq(409));
}
