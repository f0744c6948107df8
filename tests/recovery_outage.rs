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
use support::{Harness, batch, idempotent_request, job, non_idempotent_request};

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn running(harness: &Harness) -> usize {
    harness.cell.fleet.observer.summary().running
}

fn starts_of(harness: &Harness, id: &str) -> usize {
    let spans = harness.cell.fleet.observer.all_spans();
    spans.iter().filter(|s| s.task.job == name(id)).count()
}

fn worker_of(harness: &Harness, id: &str) -> Name {
    let task = task::Id { job: name(id), index: 0 };
    let spans = harness.cell.fleet.observer.spans(&task);
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

fn expect_sound(harness: &Harness) {
    expect_that!(harness.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(harness.cell.fleet.observer.over_capacity(), is_empty());
}

#[gtest]
fn tasks_stay_through_an_outage_of_the_log_and_requests_tell_the_truth() {
    let harness = Harness::start(3, |_| {});
    harness.submit(&batch("move", 3, "forever"));
    harness.submit(&job("hold", "service", 3, "forever"));
    harness.wait_until("all run", || running(&harness) == 6);
    harness.cell.fleet.log.outage(true);
    wait(past_leases(&harness.cell.bounds()));
    expect_that!(running(&harness), eq(6));
    harness.wait_until("a lookup is answered", || {
        matches!(
            harness.request(0, &idempotent_request("look", "echo=x")),
            Some(Answer::Whole { .. })
        )
    });
    let refused = harness.request(1, &non_idempotent_request("purge", "echo=x"));
    expect_that!(refused, some(matches_pattern!(Answer::NotRun { .. })));
    expect_that!(harness.post(0, "/v1/jobs", &batch("new", 1, "x")).0, not(eq(202)));
    harness.cell.fleet.log.outage(false);
    harness.submit(&batch("new", 1, "run_ms=50 result=done"));
    harness.await_ended("new");
    expect_that!(harness.cell.fleet.observer.executions("purge"), is_empty());
    expect_that!(starts_of(&harness, "move") + starts_of(&harness, "hold"), eq(6));
    expect_sound(&harness);
}

/// A dead daemon is asked until it has been off the list for as long as a list can trail. Leases
/// that outlast that stay; the new daemon has its state from its peers.
#[gtest]
fn a_daemon_dies_and_another_starts_while_the_log_is_out() {
    let mut harness = Harness::start(3, long_leases);
    harness.submit(&batch("move", 3, "forever"));
    harness.submit(&job("hold", "service", 3, "forever"));
    harness.wait_until("all run", || running(&harness) == 6);
    harness.cell.fleet.log.outage(true);
    harness.cell.kill(0);
    harness.cell.unlist(0);
    let new = harness.cell.add().expect("a daemon can be added");
    harness.wait_until("the new one has the configuration", || harness.version(new) == Some(1));
    wait(past_leases(&harness.cell.bounds()));
    expect_that!(running(&harness), eq(6));
    expect_that!(harness.version(new), some(eq(1)));
    harness.cell.fleet.log.outage(false);
    harness.submit(&batch("after", 3, "run_ms=50 result=done"));
    harness.await_ended("after");
    expect_that!(starts_of(&harness, "move") + starts_of(&harness, "hold"), eq(6));
    expect_sound(&harness);
}

/// A dead daemon that stays on the list can't be asked, so nothing can be shown: `separation`
/// decides. What holds goes on; what moves lapses and is started again after the outage.
#[gtest]
fn a_dead_daemon_that_stays_on_the_list_leaves_it_to_the_kinds() {
    let mut harness = Harness::start(3, |_| {});
    harness.submit(&batch("move", 2, "forever"));
    harness.submit(&job("hold", "service", 2, "forever"));
    harness.wait_until("all run", || running(&harness) == 4);
    harness.cell.fleet.log.outage(true);
    harness.cell.kill(0);
    harness.wait_until("what moves has lapsed", || running(&harness) == 2);
    expect_that!(starts_of(&harness, "hold"), eq(2));
    wait(harness.cell.bounds().lease_ms);
    expect_that!(running(&harness), eq(2));
    harness.cell.fleet.log.outage(false);
    harness.wait_until("what moves runs again", || running(&harness) == 4);
    expect_that!(starts_of(&harness, "hold"), eq(2));
    expect_that!(starts_of(&harness, "move"), eq(4));
    expect_sound(&harness);
}

#[gtest]
fn a_controller_paused_beyond_its_leases_wakes_and_starts_nothing() {
    let harness = Harness::start(3, |_| {});
    harness.submit(&batch("first", 6, "forever"));
    harness.wait_until("all run", || running(&harness) == 6);
    for round in 0..3 {
        let id = format!("in-hand-{round}");
        harness.submit_at((round + 1) % 3, &batch(&id, 6, "run_ms=400 result=done"));
        harness.cell.freeze(round, true);
        if round == 0 {
            expect_that!(harness.version(round), none(), "a paused daemon answers nothing");
        }
        wait(past_leases(&harness.cell.bounds()));
        harness.cell.freeze(round, false);
        harness.await_ended(&id);
    }
    harness.wait_until("all of the first run", || running(&harness) == 6);
    expect_sound(&harness);
}

#[gtest]
fn a_silent_worker_is_lost_and_its_tasks_move_only_after_the_fence() {
    let harness = Harness::start(2, |_| {});
    harness.submit(&batch("move", 1, "forever"));
    harness.submit(&job("hold", "service", 1, "forever"));
    harness.wait_until("both run", || running(&harness) == 2);
    let silent = worker_of(&harness, "move");
    let held = worker_of(&harness, "hold");
    for worker in [&silent, &held] {
        harness.cell.fleet.worker(worker.as_str()).expect("there is one").link().cut();
    }
    let task = task::Id { job: name("move"), index: 0 };
    harness.wait_until("it runs elsewhere", || harness.cell.fleet.observer.spans(&task).len() == 2);
    for worker in [&silent, &held] {
        harness.cell.fleet.worker(worker.as_str()).expect("there is one").link().heal();
    }
    wait(past_leases(&harness.cell.bounds()));
    harness.submit(&batch("after", 12, "run_ms=50 result=done"));
    harness.await_ended("after");
    expect_that!(harness.cell.fleet.observer.spans(&task).len(), eq(2));
    expect_sound(&harness);
}

#[gtest]
fn a_worker_that_was_away_for_less_than_its_lease_keeps_its_tasks() {
    let harness = Harness::start(2, |_| {});
    harness.submit(&batch("move", 1, "forever"));
    harness.wait_until("it runs", || running(&harness) == 1);
    let worker = worker_of(&harness, "move");
    let link = harness.cell.fleet.worker(worker.as_str()).expect("there is one").link();
    link.cut();
    wait(Millis(600));
    link.heal();
    wait(past_leases(&harness.cell.bounds()));
    expect_that!(running(&harness), eq(1));
    expect_that!(starts_of(&harness, "move"), eq(1));
    expect_sound(&harness);
}

/// One region loses the log and its workers' links: what moves is started again in another
/// region, what holds is not.
#[gtest]
fn a_region_apart_is_left_to_the_kinds() {
    let plan = Plan::andino(1, 1).expect("the plan is valid");
    let mut harness = Harness::start_with(&plan, 2, |_| {});
    let door = harness
        .cell
        .fleet
        .log
        .listener(harness.cell.fleet.platform(), std::net::SocketAddr::from(([127, 0, 0, 1], 0)));
    let door = door.expect("a listener can be had");
    let address = door.port.address;
    let far = harness.cell.add_with(|s| s.platform.log = address).expect("a daemon can be added");
    harness.wait_until("the far one has the configuration", || harness.version(far) == Some(1));
    harness.submit(&batch("move", 3, "forever"));
    harness.submit(&job("hold", "service", 3, "forever"));
    harness.wait_until("all run", || running(&harness) == 6);
    let region = harness.cell.nodes[far].instance.place.region.clone();
    let apart: Vec<Name> = harness.cell.fleet.workers.iter().map(|(n, _)| n.clone()).collect();
    let apart: Vec<Name> =
        apart.into_iter().filter(|n| n.as_str().starts_with(region.as_str())).collect();
    door.outage(true);
    harness.cell.freeze(far, true);
    for worker in &apart {
        harness.cell.fleet.worker(worker.as_str()).expect("there is one").link().cut();
    }
    let moved = harness.cell.fleet.observer.all_spans();
    let moved = moved.iter().filter(|s| s.task.job == name("move") && apart.contains(&s.worker));
    let moved = moved.count();
    harness.wait_until("what moves runs elsewhere", || starts_of(&harness, "move") == 3 + moved);
    expect_that!(starts_of(&harness, "hold"), eq(3));
    door.outage(false);
    for worker in &apart {
        harness.cell.fleet.worker(worker.as_str()).expect("there is one").link().heal();
    }
    harness.cell.freeze(far, false);
    harness.wait_until("all of it runs", || running(&harness) >= 3);
    harness.submit(&batch("after", 6, "run_ms=50 result=done"));
    harness.await_ended("after");
    expect_sound(&harness);
}

#[gtest]
fn a_leaving_worker_gets_nothing_new() {
    let harness = Harness::start(2, |_| {});
    harness.submit(&batch("before", 6, "run_ms=50 result=done"));
    harness.await_ended("before");
    let leaving = harness.cell.fleet.workers[0].0.clone();
    harness.cell.fleet.leave(leaving.as_str());
    let from = pimentovalve::daemon::view::now() + Millis::from_secs(3);
    wait(Millis::from_secs(3));
    harness.submit(&batch("later", 40, "run_ms=50 result=done"));
    harness.await_ended("later");
    let spans = harness.cell.fleet.observer.all_spans();
    let late = spans.iter().filter(|s| s.worker == leaving && s.start > from);
    expect_that!(late.count(), eq(0));
    expect_sound(&harness);
}

#[gtest]
fn a_planned_stop_disturbs_no_task() {
    let mut harness = Harness::start(3, |_| {});
    harness.submit(&batch("long", 6, "forever"));
    harness.submit(&batch("short", 6, "run_ms=2500 result=done"));
    harness.wait_until("all run", || running(&harness) == 12);
    harness.cell.stop(0);
    harness.submit(&batch("after", 3, "run_ms=50 result=done"));
    harness.await_ended("after");
    harness.await_ended("short");
    wait(past_leases(&harness.cell.bounds()));
    expect_that!(running(&harness), eq(6));
    expect_that!(starts_of(&harness, "long") + starts_of(&harness, "short"), eq(12));
    expect_sound(&harness);
}
