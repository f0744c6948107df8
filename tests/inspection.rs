//! The audit of runs with faults agrees with what the stand-ins saw: where they saw nothing wrong,
//! it names no broken promise.

mod support;

use googletest::prelude::*;
use pimentovalve::core::audit::{Promise, Report, Standing};
use pimentovalve::core::clock::Millis;
use pimentovalve::core::zone::membership::Role;
use pimentovalve::standin::fault::Fault;
use std::thread;
use std::time::Duration;
use support::{Trial, batch, dispatch, job, lookup};

/// Ends the run and audits it.
fn inspect(mut trial: Trial) -> Report {
    for index in trial.cell.running() {
        trial.cell.stop(index);
    }
    let observer = &trial.cell.fleet.observer;
    expect_that!(observer.double_runs(), is_empty());
    expect_that!(observer.over_capacity(), is_empty());
    trial.cell.audit()
}

/// Asserts that nothing is stated as broken, and that the given promises were put to the test.
fn expect_unbroken(report: &Report, tested: &[Promise]) {
    for claim in &report.claims {
        expect_that!(claim.standing, not(eq(Standing::Broken)), "{claim:#?}");
        if tested.contains(&claim.promise) {
            expect_that!(claim.checked, gt(0), "{:?}", claim.promise);
        }
    }
}

fn settle() {
    thread::sleep(Duration::from_millis(1500));
}

#[gtest]
fn a_crashed_worker_leaves_every_promise_unbroken() {
    let trial = Trial::start(3, |_| {});
    trial.submit(&batch("seal-1", 12, "run_ms=1500 result=sealed"));
    settle();
    let span = trial.cell.fleet.observer.all_spans()[0].clone();
    trial.cell.fleet.switch(span.worker.as_str(), Fault::Crash);
    trial.await_ended("seal-1");
    let report = inspect(trial);
    expect_unbroken(&report, &[Promise::Capacity, Promise::OnePlace]);
}

#[gtest]
fn an_outage_of_the_log_leaves_every_promise_unbroken() {
    let trial = Trial::start(3, |_| {});
    trial.submit(&batch("seal-1", 12, "run_ms=1500 result=sealed"));
    settle();
    trial.cell.fleet.switch("log", Fault::Outage(true));
    for i in 0..6 {
        trial.request(i % 3, &lookup(&format!("lookup-{i}"), "echo=found"));
        trial.request(i % 3, &dispatch(&format!("purge-{i}"), "echo=purged"));
    }
    settle();
    trial.cell.fleet.switch("log", Fault::Outage(false));
    trial.await_ended("seal-1");
    let report = inspect(trial);
    expect_unbroken(&report, &[Promise::OnePlace, Promise::WholeAnswer, Promise::NotRun]);
}

#[gtest]
fn lost_answers_of_the_log_leave_every_promise_unbroken() {
    let trial = Trial::start(3, |_| {});
    trial.cell.fleet.switch("log", Fault::LoseShare { percent: 20, seed: 5 });
    for i in 0..6 {
        trial.post(i % 3, "/v1/jobs", &batch(&format!("seal-{i}"), 3, "run_ms=100 result=sealed"));
        trial.request(i % 3, &dispatch(&format!("purge-{i}"), "echo=purged"));
    }
    trial.cell.fleet.switch("log", Fault::LoseShare { percent: 0, seed: 5 });
    settle();
    settle();
    let report = inspect(trial);
    expect_unbroken(&report, &[Promise::NothingLost, Promise::AtMostOnce]);
}

#[gtest]
fn a_worker_cut_off_beyond_its_leases_leaves_every_promise_unbroken() {
    let trial = Trial::start(3, |_| {});
    trial.submit(&batch("seal-1", 12, "run_ms=3000 result=sealed"));
    trial.submit(&job("index-1", "service", 3, "forever"));
    settle();
    let span = trial.cell.fleet.observer.all_spans()[0].clone();
    trial.cell.fleet.switch(span.worker.as_str(), Fault::Cut);
    thread::sleep(Duration::from_secs(8));
    trial.cell.fleet.switch(span.worker.as_str(), Fault::Heal);
    trial.await_ended("seal-1");
    settle();
    let report = inspect(trial);
    expect_unbroken(&report, &[Promise::Capacity, Promise::OnePlace]);
}

#[gtest]
fn crossed_and_late_answers_leave_every_promise_unbroken() {
    let trial = Trial::start(3, |_| {});
    let addresses = trial.cell.fleet.addresses();
    for instance in addresses.instances.iter().filter(|i| i.role == Role::Runner) {
        trial.cell.fleet.switch(instance.name.as_str(), Fault::CrossAnswers(1));
        let late = Fault::LateAnswers { count: 1, by_ms: Millis(800) };
        trial.cell.fleet.switch(instance.name.as_str(), late);
    }
    for i in 0..3 {
        trial.request(i % 3, &lookup(&format!("lookup-{i}"), "echo=found"));
        trial.request(i % 3, &dispatch(&format!("purge-{i}"), "echo=purged"));
    }
    let report = inspect(trial);
    expect_unbroken(&report, &[Promise::WholeAnswer, Promise::AtMostOnce]);
}

#[gtest]
fn a_death_with_a_leaving_worker_leaves_every_promise_unbroken() {
    let mut trial = Trial::start(3, |_| {});
    trial.submit(&batch("seal-1", 24, "run_ms=800 result=sealed"));
    settle();
    let span = trial.cell.fleet.observer.all_spans()[0].clone();
    trial.cell.fleet.leave(span.worker.as_str());
    trial.cell.kill(0);
    trial.cell.add().unwrap();
    for i in 0..8 {
        trial.request(1 + i % 3, &lookup(&format!("lookup-{i}"), "sleep_ms=100"));
        trial.request(1 + i % 3, &dispatch(&format!("purge-{i}"), "echo=purged"));
    }
    trial.cell.stop(1);
    trial.await_ended("seal-1");
    let report = inspect(trial);
    expect_unbroken(&report, &[Promise::Leaving, Promise::GracefulStop, Promise::NothingLost]);
}
