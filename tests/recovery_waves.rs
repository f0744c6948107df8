//! Bulk events: mass cancellation and the loss of a rack. Unaffected work continues.

mod support;

use googletest::prelude::*;
use pimentovalve::core::name::Name;
use pimentovalve::standin::fleet::Plan;
use support::{Harness, batch, job};

/// Number of jobs that are submitted and then cancelled concurrently.
const CANCELLED_JOBS: usize = 1000;

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn small_job(id: &str, payload: &str) -> String {
    serde_json::json!({
        "id": id, "team": "notaries", "kind": "batch", "tasks": 1, "payload": payload,
        "needs": {"cpu_milli": 100, "memory_mib": 64}, "run_ms": 500,
    })
    .to_string()
}

#[gtest]
fn mass_cancellation_does_not_disturb_other_jobs() {
    let harness = Harness::start(3, |_| {});
    harness.submit(&job("serve", "service", 2, "forever"));
    harness.wait_until("the service runs", || harness.cell.fleet.observer.summary().running == 2);
    let ids: Vec<String> = (0..CANCELLED_JOBS).map(|i| format!("wave-{i}")).collect();
    let addresses = harness.cell.caller_addresses();
    std::thread::scope(|scope| {
        for (chunk, address) in ids.chunks(CANCELLED_JOBS.div_ceil(6)).zip(addresses.iter().cycle())
        {
            let bodies: Vec<String> = chunk.iter().map(|id| small_job(id, "forever")).collect();
            scope.spawn(move || support::post_all(*address, "/v1/jobs", &bodies));
        }
    });
    std::thread::scope(|scope| {
        for (chunk, address) in ids.chunks(CANCELLED_JOBS.div_ceil(6)).zip(addresses.iter().cycle())
        {
            scope.spawn(move || support::cancel_all(*address, "notaries", chunk));
        }
        let harness = &harness;
        harness.submit(&small_job("among", "run_ms=50 result=done"));
        expect_that!(harness.await_ended("among").tasks[0].result.as_str(), eq("done"));
    });
    for id in &ids {
        expect_that!(harness.await_ended(id).cancelled, eq(true));
    }
    harness
        .wait_until("only the service runs", || harness.cell.fleet.observer.summary().running == 2);
    expect_that!(harness.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(harness.cell.fleet.observer.over_capacity(), is_empty());
}

#[gtest]
fn a_lost_rack_restarts_only_the_tasks_that_ran_on_it() {
    let plan = Plan::andino(8, 1).expect("the plan is valid");
    let harness = Harness::start_with(&plan, 3, |_| {});
    harness.submit(&batch("spread", 24, "forever"));
    harness.wait_until("all run", || harness.cell.fleet.observer.summary().running == 24);
    let rack: Vec<Name> = harness.cell.fleet.workers.iter().map(|(n, _)| n.clone()).collect();
    let rack: Vec<Name> = rack.into_iter().filter(|n| n.as_str().starts_with("lima-a")).collect();
    expect_that!(rack, len(eq(8)));
    let spans = harness.cell.fleet.observer.all_spans();
    let tasks_on_rack = spans.iter().filter(|s| rack.contains(&s.worker)).count();
    for worker in &rack {
        harness.cell.fleet.worker(worker.as_str()).expect("there is one").crash();
        harness.cell.fleet.list.remove(worker);
    }
    harness.submit(&batch("meanwhile", 6, "run_ms=50 result=done"));
    harness.await_ended("meanwhile");
    harness.wait_until("the lost tasks run again", || {
        harness.cell.fleet.observer.summary().running == 24
    });
    let spread = harness.cell.fleet.observer.all_spans();
    let starts = spread.iter().filter(|s| s.task.job == name("spread")).count();
    expect_that!(starts, eq(24 + tasks_on_rack));
    expect_that!(harness.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(harness.cell.fleet.observer.over_capacity(), is_empty());
}
