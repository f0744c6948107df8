//! Long outages of the log, of a region, of a daemon or of a worker: running tasks continue or move
//! as their kind's `separation` says, no job is lost and no task runs twice at once.

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

fn count_starts(harness: &Harness, id: &str) -> usize {
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

/// Sets leases longer than the time for which controllers still query a daemon that has died.
fn set_long_leases(settings: &mut Settings) {
    settings.bounds.lease_ms = Millis(8000);
    settings.timing.log_ms = Millis(300);
}

/// Returns a time after which every lease that was not renewed has expired.
fn lease_expiry_time(bounds: &Bounds) -> Millis {
    bounds.lease_ms + bounds.currency_ms + bounds.skew_ms
}

fn expect_sound(harness: &Harness) {
    expect_that!(harness.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(harness.cell.fleet.observer.over_capacity(), is_empty());
}

#[gtest]
fn tasks_run_through_a_log_outage_and_request_answers_are_correct() {
    let harness = Harness::start(3, |_| {});
    harness.submit(&batch("move", 3, "forever"));
    harness.submit(&job("hold", "service", 3, "forever"));
    harness.wait_until("all run", || running(&harness) == 6);
    harness.cell.fleet.log.set_outage(true);
    wait(lease_expiry_time(&harness.cell.bounds()));
    expect_that!(running(&harness), eq(6));
    harness.wait_until("an idempotent request is answered", || {
        matches!(
            harness.request(0, &idempotent_request("look", "echo=x")),
            Some(Answer::Whole { .. })
        )
    });
    let refused = harness.request(1, &non_idempotent_request("purge", "echo=x"));
    expect_that!(refused, some(matches_pattern!(Answer::NotRun { .. })));
    expect_that!(harness.post(0, "/v1/jobs", &batch("new", 1, "x")).0, not(eq(202)));
    harness.cell.fleet.log.set_outage(false);
    harness.submit(&batch("new", 1, "run_ms=50 result=done"));
    harness.await_ended("new");
    expect_that!(harness.cell.fleet.observer.executions("purge"), is_empty());
    expect_that!(count_starts(&harness, "move") + count_starts(&harness, "hold"), eq(6));
    expect_sound(&harness);
}

/// Without the log, controllers renew leases only after an answer from every peer. A daemon that
/// has died is queried until it has been off the instance list for longer than the list's lag.
/// Leases longer than that are renewed in time. The new daemon gets its state from its peers.
#[gtest]
fn tasks_run_on_when_a_daemon_is_replaced_during_a_log_outage() {
    let mut harness = Harness::start(3, set_long_leases);
    harness.submit(&batch("move", 3, "forever"));
    harness.submit(&job("hold", "service", 3, "forever"));
    harness.wait_until("all run", || running(&harness) == 6);
    harness.cell.fleet.log.set_outage(true);
    harness.cell.kill(0);
    harness.cell.unlist(0);
    let new = harness.cell.add().expect("a daemon can be added");
    harness.wait_until("the new daemon has the configuration", || harness.version(new) == Some(1));
    wait(lease_expiry_time(&harness.cell.bounds()));
    expect_that!(running(&harness), eq(6));
    expect_that!(harness.version(new), some(eq(1)));
    harness.cell.fleet.log.set_outage(false);
    harness.submit(&batch("after", 3, "run_ms=50 result=done"));
    harness.await_ended("after");
    expect_that!(count_starts(&harness, "move") + count_starts(&harness, "hold"), eq(6));
    expect_sound(&harness);
}

/// Without the log, controllers need an answer from every listed peer, which a dead daemon on the
/// list never gives, so `separation` decides: tasks with `hold` continue, leases of tasks with
/// `move` expire and the tasks start again after the outage.
#[gtest]
fn separation_decides_when_a_listed_daemon_is_dead_during_a_log_outage() {
    let mut harness = Harness::start(3, |_| {});
    harness.submit(&batch("move", 2, "forever"));
    harness.submit(&job("hold", "service", 2, "forever"));
    harness.wait_until("all run", || running(&harness) == 4);
    harness.cell.fleet.log.set_outage(true);
    harness.cell.kill(0);
    harness.wait_until("the leases of the moving tasks have expired", || running(&harness) == 2);
    expect_that!(count_starts(&harness, "hold"), eq(2));
    wait(harness.cell.bounds().lease_ms);
    expect_that!(running(&harness), eq(2));
    harness.cell.fleet.log.set_outage(false);
    harness.wait_until("the moving tasks run again", || running(&harness) == 4);
    expect_that!(count_starts(&harness, "hold"), eq(2));
    expect_that!(count_starts(&harness, "move"), eq(4));
    expect_sound(&harness);
}

#[gtest]
fn a_controller_resumed_after_its_leases_expired_starts_nothing() {
    let harness = Harness::start(3, |_| {});
    harness.submit(&batch("first", 6, "forever"));
    harness.wait_until("all run", || running(&harness) == 6);
    for round in 0..3 {
        let id = format!("in-hand-{round}");
        harness.submit_at((round + 1) % 3, &batch(&id, 6, "run_ms=400 result=done"));
        harness.cell.set_paused(round, true);
        if round == 0 {
            // A pause takes effect when each thread of the daemon next polls its tasks.
            harness.wait_until("the paused daemon answers nothing", || {
                harness.version(round).is_none()
            });
        }
        wait(lease_expiry_time(&harness.cell.bounds()));
        harness.cell.set_paused(round, false);
        harness.await_ended(&id);
    }
    harness.wait_until("all tasks of the first job run", || running(&harness) == 6);
    expect_sound(&harness);
}

#[gtest]
fn tasks_of_an_unreachable_worker_move_only_after_the_fence() {
    let harness = Harness::start(2, |_| {});
    harness.submit(&batch("move", 1, "forever"));
    harness.submit(&job("hold", "service", 1, "forever"));
    harness.wait_until("both run", || running(&harness) == 2);
    let mover = worker_of(&harness, "move");
    let holder = worker_of(&harness, "hold");
    for worker in [&mover, &holder] {
        harness.cell.fleet.worker(worker.as_str()).expect("there is one").link().cut();
    }
    let task = task::Id { job: name("move"), index: 0 };
    harness.wait_until("the task runs elsewhere", || {
        harness.cell.fleet.observer.spans(&task).len() == 2
    });
    for worker in [&mover, &holder] {
        harness.cell.fleet.worker(worker.as_str()).expect("there is one").link().heal();
    }
    wait(lease_expiry_time(&harness.cell.bounds()));
    harness.submit(&batch("after", 12, "run_ms=50 result=done"));
    harness.await_ended("after");
    expect_that!(harness.cell.fleet.observer.spans(&task).len(), eq(2));
    expect_sound(&harness);
}

#[gtest]
fn a_worker_unreachable_for_less_than_its_lease_keeps_its_tasks() {
    let harness = Harness::start(2, |_| {});
    harness.submit(&batch("move", 1, "forever"));
    harness.wait_until("the task runs", || running(&harness) == 1);
    let worker = worker_of(&harness, "move");
    let link = harness.cell.fleet.worker(worker.as_str()).expect("there is one").link();
    link.cut();
    wait(Millis(600));
    link.heal();
    wait(lease_expiry_time(&harness.cell.bounds()));
    expect_that!(running(&harness), eq(1));
    expect_that!(count_starts(&harness, "move"), eq(1));
    expect_sound(&harness);
}

/// One region loses the log and the connections to its workers: tasks with `move` start again in
/// another region, tasks with `hold` do not.
#[gtest]
fn separation_decides_when_a_region_is_disconnected() {
    let plan = Plan::andino(1, 1).expect("the plan is valid");
    let mut harness = Harness::start_with(&plan, 2, |_| {});
    let far_log = harness
        .cell
        .fleet
        .log
        .listener(harness.cell.fleet.platform(), std::net::SocketAddr::from(([127, 0, 0, 1], 0)));
    let far_log = far_log.expect("the listener is created");
    let address = far_log.port.address;
    let far = harness.cell.add_with(|s| s.platform.log = address).expect("a daemon can be added");
    harness.wait_until("the daemon in the far region has the configuration", || {
        harness.version(far) == Some(1)
    });
    harness.submit(&batch("move", 3, "forever"));
    harness.submit(&job("hold", "service", 3, "forever"));
    harness.wait_until("all run", || running(&harness) == 6);
    let region = harness.cell.nodes[far].instance.place.region.clone();
    let disconnected: Vec<Name> =
        harness.cell.fleet.workers.iter().map(|(n, _)| n.clone()).collect();
    let disconnected: Vec<Name> =
        disconnected.into_iter().filter(|n| n.as_str().starts_with(region.as_str())).collect();
    far_log.set_outage(true);
    harness.cell.set_paused(far, true);
    for worker in &disconnected {
        harness.cell.fleet.worker(worker.as_str()).expect("there is one").link().cut();
    }
    let moved = harness.cell.fleet.observer.all_spans();
    let moved =
        moved.iter().filter(|s| s.task.job == name("move") && disconnected.contains(&s.worker));
    let moved = moved.count();
    harness.wait_until("the moving tasks run elsewhere", || {
        count_starts(&harness, "move") == 3 + moved
    });
    expect_that!(count_starts(&harness, "hold"), eq(3));
    far_log.set_outage(false);
    for worker in &disconnected {
        harness.cell.fleet.worker(worker.as_str()).expect("there is one").link().heal();
    }
    harness.cell.set_paused(far, false);
    harness.wait_until("at least three tasks run", || running(&harness) >= 3);
    harness.submit(&batch("after", 6, "run_ms=50 result=done"));
    harness.await_ended("after");
    expect_sound(&harness);
}

#[gtest]
fn a_leaving_worker_gets_no_new_tasks() {
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
fn a_planned_stop_restarts_no_task() {
    let mut harness = Harness::start(3, |_| {});
    harness.submit(&batch("long", 6, "forever"));
    harness.submit(&batch("short", 6, "run_ms=2500 result=done"));
    harness.wait_until("all run", || running(&harness) == 12);
    harness.cell.stop(0);
    harness.submit(&batch("after", 3, "run_ms=50 result=done"));
    harness.await_ended("after");
    harness.await_ended("short");
    wait(lease_expiry_time(&harness.cell.bounds()));
    expect_that!(running(&harness), eq(6));
    expect_that!(count_starts(&harness, "long") + count_starts(&harness, "short"), eq(12));
    expect_sound(&harness);
}
