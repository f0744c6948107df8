//! Records that are gone, daemons that die between two steps, and answers of the log that are
//! lost or late: nothing is lost and nothing runs twice.

mod support;

use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::status;
use pimentovalve::core::ledger::Stream;
use pimentovalve::core::name::Name;
use pimentovalve::standin::fleet::Plan;
use pimentovalve::standin::log::Retention;
use support::{Trial, batch, job};

/// Retention that a trial outlives; longer than the fence, as settings must have it.
const RETENTION: Millis = Millis(5000);
/// How long an append that is late takes to land; longer than the daemons wait for an answer.
const LATE: Millis = Millis(2500);

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn short_retention(daemons: usize) -> Trial {
    let retention = Retention { age_ms: RETENTION, ..Retention::default() };
    let plan = Plan { retention, ..Plan::andino(2, 2).expect("the plan is valid") };
    Trial::start_with(&plan, daemons, |s| s.platform.retention_ms = RETENTION)
}

fn running(trial: &Trial) -> usize {
    trial.cell.fleet.observer.summary().running
}

/// Asserts what must hold after every trial.
fn expect_sound(trial: &Trial) {
    expect_that!(trial.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(trial.cell.fleet.observer.over_capacity(), is_empty());
}

fn has_completed(job: &status::Job) -> bool {
    use pimentovalve::core::contract::task::State;
    job.tasks.iter().all(|t| t.state == State::Completed)
}

/// Waits until the log has dropped every record that it has now of the streams.
fn outlive_records(trial: &Trial, streams: &[&str]) {
    for stream in streams {
        let (horizon, entries) = trial.cell.fleet.log.entries(&name(stream));
        let end = horizon + entries.len() as u64;
        trial
            .until("the records are gone", || trial.cell.fleet.log.entries(&name(stream)).0 >= end);
    }
}

#[gtest]
fn the_state_outlives_the_records_that_made_it() {
    let mut trial = short_retention(2);
    trial.submit(&job("serve", "service", 2, "forever"));
    trial.until("the service runs", || running(&trial) == 2);
    let partition = Stream::of_team(&name("notaries"), 8).to_string();
    outlive_records(&trial, &["configuration", &partition]);
    let new = trial.cell.add().expect("a daemon can be added");
    trial.until("the new daemon has the configuration", || trial.version(new) == Some(1));
    for old in [0, 1] {
        trial.cell.kill(old);
        let instance = trial.cell.nodes[old].instance.name.clone();
        trial.cell.fleet.list.remove(&instance);
    }
    trial.until("the new daemon knows the job", || {
        trial.status("serve").is_some_and(|job| job.tasks.len() == 2 && !job.ended)
    });
    trial.submit(&batch("after", 3, "run_ms=50 result=done"));
    expect_that!(has_completed(&trial.await_ended("after")), eq(true));
    expect_that!(running(&trial), eq(2));
    expect_that!(trial.version(new), some(eq(1)));
    expect_sound(&trial);
}

#[gtest]
fn an_id_older_than_the_window_is_refused_as_expired() {
    let trial = short_retention(1);
    trial.submit(&batch("old", 1, "run_ms=50 result=done"));
    trial.await_ended("old");
    let mut index = 0;
    // Other work moves the time of the stream on.
    trial.until("the old id has expired", || {
        index += 1;
        trial.post(0, "/v1/jobs", &batch(&format!("more-{index}"), 1, "run_ms=1 result=done"));
        std::thread::sleep(std::time::Duration::from_millis(200));
        trial.post(0, "/v1/jobs", &batch("old", 1, "run_ms=50 result=done")).0 == 410
    });
    let old = trial.cell.fleet.observer.all_spans();
    expect_that!(old.iter().filter(|s| s.task.job == name("old")).count(), eq(1));
    expect_sound(&trial);
}

/// Kills the daemon that is the steward of the notaries' partition, with whatever it has in hand,
/// at each of several moments after a job was sent to it.
#[gtest]
fn a_daemon_killed_between_two_steps_loses_and_doubles_nothing() {
    for (round, pause) in [0, 5, 15, 40, 90, 160].into_iter().enumerate() {
        let mut trial = Trial::start(3, |_| {});
        let id = format!("kill-{round}");
        trial.submit_at(0, &batch(&id, 4, "run_ms=150 result=done"));
        std::thread::sleep(std::time::Duration::from_millis(pause));
        let dead = round % 3;
        trial.cell.kill(dead);
        // The caller's retry, at another instance, is the same job.
        let other = (dead + 1) % 3;
        trial.submit_at(other, &batch(&id, 4, "run_ms=150 result=done"));
        expect_that!(has_completed(&trial.await_ended(&id)), eq(true));
        expect_sound(&trial);
    }
}

#[gtest]
fn answers_of_the_log_that_are_lost_lose_and_double_nothing() {
    let trial = Trial::start(3, |_| {});
    trial.cell.fleet.log.lose_share(40, 7);
    for i in 0..6 {
        trial.submit_at(i % 3, &batch(&format!("lost-{i}"), 2, "run_ms=50 result=done"));
    }
    for i in 0..6 {
        expect_that!(has_completed(&trial.await_ended(&format!("lost-{i}"))), eq(true));
    }
    expect_that!(trial.cell.fleet.observer.all_spans().len(), eq(12));
    expect_sound(&trial);
}

#[gtest]
fn appends_that_land_late_lose_and_double_nothing() {
    let trial = Trial::start(3, |_| {});
    for i in 0..4 {
        trial.cell.fleet.log.delay_landing(2, LATE);
        trial.submit_at(i % 3, &batch(&format!("late-{i}"), 2, "run_ms=50 result=done"));
    }
    for i in 0..4 {
        expect_that!(has_completed(&trial.await_ended(&format!("late-{i}"))), eq(true));
    }
    expect_sound(&trial);
}

#[gtest]
fn the_same_job_at_two_instances_at_once_is_one_job() {
    let trial = Trial::start(3, |_| {});
    let body = batch("both", 3, "run_ms=100 result=done");
    std::thread::scope(|scope| {
        for node in 0..3 {
            let address = trial.cell.nodes[node].addresses.callers;
            let body = body.as_str();
            scope.spawn(move || support::post_all(address, "/v1/jobs", &[body.to_owned()]));
        }
    });
    expect_that!(has_completed(&trial.await_ended("both")), eq(true));
    expect_that!(trial.cell.fleet.observer.all_spans().len(), eq(3));
    expect_sound(&trial);
}
