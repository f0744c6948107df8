//! The whole path: a job goes from submission over HTTP to workers and back, a request to a runner
//! and back, through three daemons.

mod support;

use googletest::prelude::*;
use pimentovalve::core::contract::request::Answer;
use support::{Trial, batch, lookup};

#[gtest]
fn a_job_and_a_request_go_all_the_way() {
    let trial = Trial::start(3, |_| {});
    trial.submit(&batch("seal-1", 6, "run_ms=100 result=sealed"));
    let job = trial.await_ended("seal-1");
    let results: Vec<&str> = job.tasks.iter().map(|t| t.result.as_str()).collect();
    expect_that!(results, each(eq(&"sealed")));
    let answer = trial.request(0, &lookup("lookup-1", "echo=found"));
    expect_that!(answer, some(matches_pattern!(Answer::Whole { .. })));
    expect_that!(trial.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(trial.cell.fleet.observer.over_capacity(), is_empty());
}

#[gtest]
fn every_instance_takes_a_job_and_tells_its_state() {
    let trial = Trial::start(3, |_| {});
    for (i, id) in ["at-0", "at-1", "at-2"].into_iter().enumerate() {
        trial.submit_at(i, &batch(id, 1, "run_ms=50 result=done"));
    }
    for id in ["at-0", "at-1", "at-2"] {
        expect_that!(trial.await_ended(id).ended, eq(true));
    }
}

#[gtest]
fn the_same_job_twice_is_one_job() {
    let trial = Trial::start(2, |_| {});
    trial.submit_at(0, &batch("once", 1, "run_ms=50 result=done"));
    trial.submit_at(1, &batch("once", 1, "run_ms=50 result=done"));
    trial.await_ended("once");
    expect_that!(trial.cell.fleet.observer.all_spans(), len(eq(1)));
    let (status, _) = trial.post(0, "/v1/jobs", &batch("once", 2, "other"));
    expect_that!(status, eq(409));
}
