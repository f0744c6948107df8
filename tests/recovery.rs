//! Log retention, daemons killed at arbitrary points, and lost or delayed log appends: no job is
//! lost and no task runs twice.

mod support;

use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::status;
use pimentovalve::core::ledger::Stream;
use pimentovalve::core::name::Name;
use pimentovalve::standin::fleet::Plan;
use pimentovalve::standin::log::Retention;
use support::{Harness, batch, job};

/// Log retention, short enough for records to expire during a test. Settings require it to be
/// longer than the fence.
const RETENTION: Millis = Millis(5000);
/// Delay of a late append, longer than daemons wait for the log's answer.
const APPEND_DELAY: Millis = Millis(2500);

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn short_retention(daemons: usize) -> Harness {
    let retention = Retention { age_ms: RETENTION, ..Retention::default() };
    let plan = Plan { retention, ..Plan::andino(2, 2).expect("the plan is valid") };
    Harness::start_with(&plan, daemons, |s| s.platform.retention_ms = RETENTION)
}

fn running(harness: &Harness) -> usize {
    harness.cell.fleet.observer.summary().running
}

/// Asserts that no task ran twice at once and that no worker exceeded its capacity.
fn expect_sound(harness: &Harness) {
    expect_that!(harness.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(harness.cell.fleet.observer.over_capacity(), is_empty());
}

fn has_completed(job: &status::Job) -> bool {
    use pimentovalve::core::contract::task::State;
    job.tasks.iter().all(|t| t.state == State::Completed)
}

/// Waits until the log has dropped every record that the streams contain now.
fn wait_until_trimmed(harness: &Harness, streams: &[&str]) {
    for stream in streams {
        let (horizon, entries) = harness.cell.fleet.log.entries(&name(stream));
        let end = horizon + entries.len() as u64;
        harness.wait_until("the log has dropped the records", || {
            harness.cell.fleet.log.entries(&name(stream)).0 >= end
        });
    }
}

#[gtest]
fn state_survives_the_retention_of_its_records() {
    let mut harness = short_retention(2);
    harness.submit(&job("serve", "service", 2, "forever"));
    harness.wait_until("the service runs", || running(&harness) == 2);
    let partition = Stream::of_team(&name("notaries"), 8).to_string();
    wait_until_trimmed(&harness, &["configuration", &partition]);
    let new = harness.cell.add().expect("a daemon can be added");
    harness.wait_until("the new daemon has the configuration", || harness.version(new) == Some(1));
    for old in [0, 1] {
        harness.cell.kill(old);
        let instance = harness.cell.nodes[old].instance.name.clone();
        harness.cell.fleet.list.remove(&instance);
    }
    harness.wait_until("the new daemon knows the job", || {
        harness.status("serve").is_some_and(|job| job.tasks.len() == 2 && !job.ended)
    });
    harness.submit(&batch("after", 3, "run_ms=50 result=done"));
    expect_that!(has_completed(&harness.await_ended("after")), eq(true));
    expect_that!(running(&harness), eq(2));
    expect_that!(harness.version(new), some(eq(1)));
    expect_sound(&harness);
}

#[gtest]
fn an_id_older_than_the_window_is_refused_as_expired() {
    let harness = short_retention(1);
    harness.submit(&batch("old", 1, "run_ms=50 result=done"));
    harness.await_ended("old");
    let mut index = 0;
    // Records of other jobs advance the stream's time, which decides on expiry.
    harness.wait_until("the old id has expired", || {
        index += 1;
        harness.post(0, "/v1/jobs", &batch(&format!("more-{index}"), 1, "run_ms=1 result=done"));
        std::thread::sleep(std::time::Duration::from_millis(200));
        harness.post(0, "/v1/jobs", &batch("old", 1, "run_ms=50 result=done")).0 == 410
    });
    let old = harness.cell.fleet.observer.all_spans();
    expect_that!(old.iter().filter(|s| s.task.job == name("old")).count(), eq(1));
    expect_sound(&harness);
}

/// Kills a daemon at one of several delays after a job was accepted, so that recording, placing or
/// starting it is interrupted. In six rounds each daemon is killed twice, so also the steward of
/// the team's partition.
#[gtest]
fn a_daemon_killed_between_two_steps_loses_no_job_and_runs_none_twice() {
    for (round, pause) in [0, 5, 15, 40, 90, 160].into_iter().enumerate() {
        let mut harness = Harness::start(3, |_| {});
        let id = format!("kill-{round}");
        harness.submit_at(0, &batch(&id, 4, "run_ms=150 result=done"));
        std::thread::sleep(std::time::Duration::from_millis(pause));
        let dead = round % 3;
        harness.cell.kill(dead);
        // A retry with the same id at another instance must not create a second job.
        let other = (dead + 1) % 3;
        harness.submit_at(other, &batch(&id, 4, "run_ms=150 result=done"));
        expect_that!(has_completed(&harness.await_ended(&id)), eq(true));
        expect_sound(&harness);
    }
}

#[gtest]
fn lost_append_answers_lose_no_job_and_run_none_twice() {
    let harness = Harness::start(3, |_| {});
    harness.cell.fleet.log.lose_share(40, 7);
    for i in 0..6 {
        harness.submit_at(i % 3, &batch(&format!("lost-{i}"), 2, "run_ms=50 result=done"));
    }
    for i in 0..6 {
        expect_that!(has_completed(&harness.await_ended(&format!("lost-{i}"))), eq(true));
    }
    expect_that!(harness.cell.fleet.observer.all_spans().len(), eq(12));
    expect_sound(&harness);
}

#[gtest]
fn delayed_appends_lose_no_job_and_run_none_twice() {
    let harness = Harness::start(3, |_| {});
    for i in 0..4 {
        harness.cell.fleet.log.delay_landing(2, APPEND_DELAY);
        harness.submit_at(i % 3, &batch(&format!("late-{i}"), 2, "run_ms=50 result=done"));
    }
    for i in 0..4 {
        expect_that!(has_completed(&harness.await_ended(&format!("late-{i}"))), eq(true));
    }
    expect_sound(&harness);
}

#[gtest]
fn the_same_job_submitted_at_every_instance_at_once_is_one_job() {
    let harness = Harness::start(3, |_| {});
    let body = batch("both", 3, "run_ms=100 result=done");
    std::thread::scope(|scope| {
        for node in 0..3 {
            let address = harness.cell.nodes[node].addresses.callers;
            let body = body.as_str();
            scope.spawn(move || support::post_all(address, "/v1/jobs", &[body.to_owned()]));
        }
    });
    expect_that!(has_completed(&harness.await_ended("both")), eq(true));
    expect_that!(harness.cell.fleet.observer.all_spans().len(), eq(3));
    expect_sound(&harness);
}
