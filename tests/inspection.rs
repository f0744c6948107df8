//! Audits of runs with injected faults: where the stand-ins' observer saw no violation, the audit
//! reports no broken promise.

mod support;

use googletest::prelude::*;
use pimentovalve::core::audit::{Promise, Report, Standing};
use pimentovalve::core::clock::Millis;
use pimentovalve::core::zone::membership::Role;
use pimentovalve::standin::fault::Fault;
use std::thread;
use std::time::Duration;
use support::{Harness, batch, idempotent_request, job, non_idempotent_request};

/// Stops all daemons, checks the observer's findings and audits the run.
fn stop_and_audit(mut harness: Harness) -> Report {
    for index in harness.cell.running() {
        harness.cell.stop(index);
    }
    let observer = &harness.cell.fleet.observer;
    expect_that!(observer.double_runs(), is_empty());
    expect_that!(observer.over_capacity(), is_empty());
    harness.cell.audit()
}

/// Asserts that no promise is reported as broken, and that each promise in `tested` was checked at
/// least once.
fn expect_unbroken(report: &Report, tested: &[Promise]) {
    for claim in &report.claims {
        expect_that!(claim.standing, not(eq(Standing::Broken)), "{claim:#?}");
        if tested.contains(&claim.promise) {
            expect_that!(claim.checked, gt(0), "{:?}", claim.promise);
        }
    }
}

/// Gives the cell time to start tasks and to process delayed answers.
fn settle() {
    thread::sleep(Duration::from_millis(1500));
}

#[gtest]
fn a_crashed_worker_leaves_every_promise_unbroken() {
    let harness = Harness::start(3, |_| {});
    harness.submit(&batch("seal-1", 12, "run_ms=1500 result=sealed"));
    settle();
    let span = harness.cell.fleet.observer.all_spans()[0].clone();
    harness.cell.fleet.inject(span.worker.as_str(), Fault::Crash);
    harness.await_ended("seal-1");
    let report = stop_and_audit(harness);
    expect_unbroken(&report, &[Promise::Capacity, Promise::OnePlace]);
}

#[gtest]
fn an_outage_of_the_log_leaves_every_promise_unbroken() {
    let harness = Harness::start(3, |_| {});
    harness.submit(&batch("seal-1", 12, "run_ms=1500 result=sealed"));
    settle();
    harness.cell.fleet.inject("log", Fault::Outage(true));
    for i in 0..6 {
        harness.request(i % 3, &idempotent_request(&format!("lookup-{i}"), "echo=found"));
        harness.request(i % 3, &non_idempotent_request(&format!("purge-{i}"), "echo=purged"));
    }
    settle();
    harness.cell.fleet.inject("log", Fault::Outage(false));
    harness.await_ended("seal-1");
    let report = stop_and_audit(harness);
    expect_unbroken(&report, &[Promise::OnePlace, Promise::WholeAnswer, Promise::NotRun]);
}

#[gtest]
fn lost_answers_of_the_log_leave_every_promise_unbroken() {
    let harness = Harness::start(3, |_| {});
    harness.cell.fleet.inject("log", Fault::LoseShare { percent: 20, seed: 5 });
    for i in 0..6 {
        harness.post(
            i % 3,
            "/v1/jobs",
            &batch(&format!("seal-{i}"), 3, "run_ms=100 result=sealed"),
        );
        harness.request(i % 3, &non_idempotent_request(&format!("purge-{i}"), "echo=purged"));
    }
    harness.cell.fleet.inject("log", Fault::LoseShare { percent: 0, seed: 5 });
    settle();
    settle();
    let report = stop_and_audit(harness);
    expect_unbroken(&report, &[Promise::NothingLost, Promise::AtMostOnce]);
}

#[gtest]
fn a_worker_unreachable_beyond_its_leases_leaves_every_promise_unbroken() {
    let harness = Harness::start(3, |_| {});
    harness.submit(&batch("seal-1", 12, "run_ms=3000 result=sealed"));
    harness.submit(&job("index-1", "service", 3, "forever"));
    settle();
    let span = harness.cell.fleet.observer.all_spans()[0].clone();
    harness.cell.fleet.inject(span.worker.as_str(), Fault::Cut);
    thread::sleep(Duration::from_secs(8));
    harness.cell.fleet.inject(span.worker.as_str(), Fault::Heal);
    harness.await_ended("seal-1");
    settle();
    let report = stop_and_audit(harness);
    expect_unbroken(&report, &[Promise::Capacity, Promise::OnePlace]);
}

#[gtest]
fn crossed_and_late_answers_leave_every_promise_unbroken() {
    let harness = Harness::start(3, |_| {});
    let addresses = harness.cell.fleet.addresses();
    for instance in addresses.instances.iter().filter(|i| i.role == Role::Runner) {
        harness.cell.fleet.inject(instance.name.as_str(), Fault::CrossAnswers(1));
        let late = Fault::LateAnswers { count: 1, by_ms: Millis(800) };
        harness.cell.fleet.inject(instance.name.as_str(), late);
    }
    for i in 0..3 {
        harness.request(i % 3, &idempotent_request(&format!("lookup-{i}"), "echo=found"));
        harness.request(i % 3, &non_idempotent_request(&format!("purge-{i}"), "echo=purged"));
    }
    let report = stop_and_audit(harness);
    expect_unbroken(&report, &[Promise::WholeAnswer, Promise::AtMostOnce]);
}

#[gtest]
fn a_killed_daemon_and_a_leaving_worker_leave_every_promise_unbroken() {
    let mut harness = Harness::start(3, |_| {});
    harness.submit(&batch("seal-1", 24, "run_ms=800 result=sealed"));
    settle();
    let span = harness.cell.fleet.observer.all_spans()[0].clone();
    harness.cell.fleet.leave(span.worker.as_str());
    harness.cell.kill(0);
    harness.cell.add().unwrap();
    for i in 0..8 {
        harness.request(1 + i % 3, &idempotent_request(&format!("lookup-{i}"), "sleep_ms=100"));
        harness.request(1 + i % 3, &non_idempotent_request(&format!("purge-{i}"), "echo=purged"));
    }
    harness.cell.stop(1);
    harness.await_ended("seal-1");
    let report = stop_and_audit(harness);
    expect_unbroken(&report, &[Promise::Leaving, Promise::GracefulStop, Promise::NothingLost]);
}
