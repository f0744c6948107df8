//! The log, the regions, a daemon or a worker is away for long: running tasks stay as their kind's
//! `separation` says, and afterwards nothing is lost or doubled.

mod support;

use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::request::Answer;
use pimentovalve::core::contract::task;
use pimentovalve::core::machine::lease::Bounds;
use pimentovalve::core::name::Name;
use pimentovalve::daemon::settings::Settings;
use pimentovalve::standin::fleet::Plan;
use std::time::Duration;
use support::{Trial, batch, dispatch, job, lookup};

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn running(trial: &Trial) -> usize {
    trial.cell.fleet.observer.summary().running
}

fn starts_of(trial: &Trial, id: &str) -> usize {
    let spans = trial.cell.fleet.observer.all_spans();
    spans.iter().filter(|s| s.task.job == name(id)).count()
}

fn worker_of(trial: &Trial, id: &str) -> Name {
    let task = task::Id { job: name(id), index: 0 };
    let spans = trial.cell.fleet.observer.spans(&task);
    spans.last().expect("it has run").worker.clone()
}

fn wait(time: Millis) {
    std::thread::sleep(Duration::from(time));
}

/// Leases that outlast the time in which a dead daemon is still asked.
fn long_leases(settings: &mut Settings) {
    settings.bounds.lease_ms = Millis(8000);
    settings.timing.log_ms = Millis(300);
}

/// Returns a time after which every lease that was not renewed has lapsed.
fn past_leases(bounds: &Bounds) -> Millis {
    bounds.lease_ms + bounds.currency_ms + bounds.skew_ms
}

fn expect_sound(trial: &Trial) {
    expect_that!(trial.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(trial.cell.fleet.observer.over_capacity(), is_empty());
}

#[gtest]
fn tasks_stay_through_an_outage_of_the_log_and_requests_tell_the_truth() {
    let trial = Trial::start(3, |_| {});
    trial.submit(&batch("move", 3, "forever"));
    trial.submit(&job("hold", "service", 3, "forever"));
    trial.until("all run", || running(&trial) == 6);
    trial.cell.fleet.log.outage(true);
    wait(past_leases(&trial.cell.bounds()));
    expect_that!(running(&trial), eq(6));
    trial.until("a lookup is answered", || {
        matches!(trial.request(0, &lookup("look", "echo=x")), Some(Answer::Whole { .. }))
    });
    let refused = trial.request(1, &dispatch("purge", "echo=x"));
    expect_that!(refused, some(matches_pattern!(Answer::NotRun { .. })));
    expect_that!(trial.post(0, "/v1/jobs", &batch("new", 1, "x")).0, not(eq(202)));
    trial.cell.fleet.log.outage(false);
    trial.submit(&batch("new", 1, "run_ms=50 result=done"));
    trial.await_ended("new");
    expect_that!(trial.cell.fleet.observer.executions("purge"), is_empty());
    expect_that!(starts_of(&trial, "move") + starts_of(&trial, "hold"), eq(6));
    expect_sound(&trial);
}

/// A dead daemon is asked until it has been off the list for as long as a list can trail. Leases
/// that outlast that stay; the new daemon has its state from its peers.
#[gtest]
fn a_daemon_dies_and_another_starts_while_the_log_is_out() {
    let mut trial = Trial::start(3, long_leases);
    trial.submit(&batch("move", 3, "forever"));
    trial.submit(&job("hold", "service", 3, "forever"));
    trial.until("all run", || running(&trial) == 6);
    trial.cell.fleet.log.outage(true);
    trial.cell.kill(0);
    trial.cell.unlist(0);
    let new = trial.cell.add().expect("a daemon can be added");
    trial.until("the new one has the configuration", || trial.version(new) == Some(1));
    wait(past_leases(&trial.cell.bounds()));
    expect_that!(running(&trial), eq(6));
    expect_that!(trial.version(new), some(eq(1)));
    trial.cell.fleet.log.outage(false);
    trial.submit(&batch("after", 3, "run_ms=50 result=done"));
    trial.await_ended("after");
    expect_that!(starts_of(&trial, "move") + starts_of(&trial, "hold"), eq(6));
    expect_sound(&trial);
}

/// A dead daemon that stays on the list can't be asked, so nothing can be shown: `separation`
/// decides. What holds goes on; what moves lapses and is started again after the outage.
#[gtest]
fn a_dead_daemon_that_stays_on_the_list_leaves_it_to_the_kinds() {
    let mut trial = Trial::start(3, |_| {});
    trial.submit(&batch("move", 2, "forever"));
    trial.submit(&job("hold", "service", 2, "forever"));
    trial.until("all run", || running(&trial) == 4);
    trial.cell.fleet.log.outage(true);
    trial.cell.kill(0);
    trial.until("what moves has lapsed", || running(&trial) == 2);
    expect_that!(starts_of(&trial, "hold"), eq(2));
    wait(trial.cell.bounds().lease_ms);
    expect_that!(running(&trial), eq(2));
    trial.cell.fleet.log.outage(false);
    trial.until("what moves runs again", || running(&trial) == 4);
    expect_that!(starts_of(&trial, "hold"), eq(2));
    expect_that!(starts_of(&trial, "move"), eq(4));
    expect_sound(&trial);
}

#[gtest]
fn a_controller_paused_beyond_its_leases_wakes_and_starts_nothing() {
    let trial = Trial::start(3, |_| {});
    trial.submit(&batch("first", 6, "forever"));
    trial.until("all run", || running(&trial) == 6);
    for round in 0..3 {
        let id = format!("in-hand-{round}");
        trial.submit_at((round + 1) % 3, &batch(&id, 6, "run_ms=400 result=done"));
        trial.cell.freeze(round, true);
        if round == 0 {
            expect_that!(trial.version(round), none(), "a paused daemon answers nothing");
        }
        wait(past_leases(&trial.cell.bounds()));
        trial.cell.freeze(round, false);
        trial.await_ended(&id);
    }
    trial.until("all of the first run", || running(&trial) == 6);
    expect_sound(&trial);
}

#[gtest]
fn a_silent_worker_is_lost_and_its_tasks_move_only_after_the_fence() {
    let trial = Trial::start(2, |_| {});
    trial.submit(&batch("move", 1, "forever"));
    trial.submit(&job("hold", "service", 1, "forever"));
    trial.until("both run", || running(&trial) == 2);
    let silent = worker_of(&trial, "move");
    let held = worker_of(&trial, "hold");
    for worker in [&silent, &held] {
        trial.cell.fleet.worker(worker.as_str()).expect("there is one").link().cut();
    }
    let task = task::Id { job: name("move"), index: 0 };
    trial.until("it runs elsewhere", || trial.cell.fleet.observer.spans(&task).len() == 2);
    for worker in [&silent, &held] {
        trial.cell.fleet.worker(worker.as_str()).expect("there is one").link().heal();
    }
    wait(past_leases(&trial.cell.bounds()));
    trial.submit(&batch("after", 12, "run_ms=50 result=done"));
    trial.await_ended("after");
    expect_that!(trial.cell.fleet.observer.spans(&task).len(), eq(2));
    expect_sound(&trial);
}

#[gtest]
fn a_worker_that_was_away_for_less_than_its_lease_keeps_its_tasks() {
    let trial = Trial::start(2, |_| {});
    trial.submit(&batch("move", 1, "forever"));
    trial.until("it runs", || running(&trial) == 1);
    let worker = worker_of(&trial, "move");
    let link = trial.cell.fleet.worker(worker.as_str()).expect("there is one").link();
    link.cut();
    wait(Millis(600));
    link.heal();
    wait(past_leases(&trial.cell.bounds()));
    expect_that!(running(&trial), eq(1));
    expect_that!(starts_of(&trial, "move"), eq(1));
    expect_sound(&trial);
}

/// One region loses the log and its workers' links: what moves is started again in another
/// region, what holds is not.
#[gtest]
fn a_region_apart_is_left_to_the_kinds() {
    let plan = Plan::andino(1, 1).expect("the plan is valid");
    let mut trial = Trial::start_with(&plan, 2, |_| {});
    let door = trial
        .cell
        .fleet
        .log
        .listener(trial.cell.fleet.platform(), std::net::SocketAddr::from(([127, 0, 0, 1], 0)));
    let door = door.expect("a listener can be had");
    let address = door.port.address;
    let far = trial.cell.add_with(|s| s.platform.log = address).expect("a daemon can be added");
    trial.until("the far one has the configuration", || trial.version(far) == Some(1));
    trial.submit(&batch("move", 3, "forever"));
    trial.submit(&job("hold", "service", 3, "forever"));
    trial.until("all run", || running(&trial) == 6);
    let region = trial.cell.nodes[far].instance.place.region.clone();
    let apart: Vec<Name> = trial.cell.fleet.workers.iter().map(|(n, _)| n.clone()).collect();
    let apart: Vec<Name> =
        apart.into_iter().filter(|n| n.as_str().starts_with(region.as_str())).collect();
    door.outage(true);
    trial.cell.freeze(far, true);
    for worker in &apart {
        trial.cell.fleet.worker(worker.as_str()).expect("there is one").link().cut();
    }
    let moved = trial.cell.fleet.observer.all_spans();
    let moved = moved.iter().filter(|s| s.task.job == name("move") && apart.contains(&s.worker));
    let moved = moved.count();
    trial.until("what moves runs elsewhere", || starts_of(&trial, "move") == 3 + moved);
    expect_that!(starts_of(&trial, "hold"), eq(3));
    door.outage(false);
    for worker in &apart {
        trial.cell.fleet.worker(worker.as_str()).expect("there is one").link().heal();
    }
    trial.cell.freeze(far, false);
    trial.until("all of it runs", || running(&trial) >= 3);
    trial.submit(&batch("after", 6, "run_ms=50 result=done"));
    trial.await_ended("after");
    expect_sound(&trial);
}

#[gtest]
fn a_leaving_worker_gets_nothing_new() {
    let trial = Trial::start(2, |_| {});
    trial.submit(&batch("before", 6, "run_ms=50 result=done"));
    trial.await_ended("before");
    let leaving = trial.cell.fleet.workers[0].0.clone();
    trial.cell.fleet.leave(leaving.as_str());
    let from = pimentovalve::daemon::view::now() + Millis::from_secs(3);
    wait(Millis::from_secs(3));
    trial.submit(&batch("later", 40, "run_ms=50 result=done"));
    trial.await_ended("later");
    let spans = trial.cell.fleet.observer.all_spans();
    let late = spans.iter().filter(|s| s.worker == leaving && s.start > from);
    expect_that!(late.count(), eq(0));
    expect_sound(&trial);
}

#[gtest]
fn a_planned_stop_disturbs_no_task() {
    let mut trial = Trial::start(3, |_| {});
    trial.submit(&batch("long", 6, "forever"));
    trial.submit(&batch("short", 6, "run_ms=2500 result=done"));
    trial.until("all run", || running(&trial) == 12);
    trial.cell.stop(0);
    trial.submit(&batch("after", 3, "run_ms=50 result=done"));
    trial.await_ended("after");
    trial.await_ended("short");
    wait(past_leases(&trial.cell.bounds()));
    expect_that!(running(&trial), eq(6));
    expect_that!(starts_of(&trial, "long") + starts_of(&trial, "short"), eq(12));
    expect_sound(&trial);
}
