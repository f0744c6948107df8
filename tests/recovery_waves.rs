//! Many things at once: a wave of cancellations, a rack that is lost. All else goes on.

mod support;

use googletest::prelude::*;
use pimentovalve::core::name::Name;
use pimentovalve::standin::fleet::Plan;
use support::{Trial, batch, job};

/// Jobs that are cancelled at once.
const WAVE: usize = 1000;

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn tiny(id: &str, payload: &str) -> String {
    serde_json::json!({
        "id": id, "team": "notaries", "kind": "batch", "tasks": 1, "payload": payload,
        "needs": {"cpu_milli": 100, "memory_mib": 64}, "run_ms": 500,
    })
    .to_string()
}

#[gtest]
fn a_wave_of_cancellations_disturbs_nothing_else() {
    let trial = Trial::start(3, |_| {});
    trial.submit(&job("serve", "service", 2, "forever"));
    trial.until("the service runs", || trial.cell.fleet.observer.summary().running == 2);
    let ids: Vec<String> = (0..WAVE).map(|i| format!("wave-{i}")).collect();
    let addresses = trial.cell.callers();
    std::thread::scope(|scope| {
        for (chunk, address) in ids.chunks(WAVE.div_ceil(6)).zip(addresses.iter().cycle()) {
            let bodies: Vec<String> = chunk.iter().map(|id| tiny(id, "forever")).collect();
            scope.spawn(move || support::post_all(*address, "/v1/jobs", &bodies));
        }
    });
    std::thread::scope(|scope| {
        for (chunk, address) in ids.chunks(WAVE.div_ceil(6)).zip(addresses.iter().cycle()) {
            scope.spawn(move || support::cancel_all(*address, "notaries", chunk));
        }
        let trial = &trial;
        trial.submit(&tiny("among", "run_ms=50 result=done"));
        expect_that!(trial.await_ended("among").tasks[0].result.as_str(), eq("done"));
    });
    for id in &ids {
        expect_that!(trial.await_ended(id).cancelled, eq(true));
    }
    trial.until("only the service runs", || trial.cell.fleet.observer.summary().running == 2);
    expect_that!(trial.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(trial.cell.fleet.observer.over_capacity(), is_empty());
}

#[gtest]
fn a_lost_rack_costs_only_what_ran_on_it() {
    let plan = Plan::andino(8, 1).expect("the plan is valid");
    let trial = Trial::start_with(&plan, 3, |_| {});
    trial.submit(&batch("spread", 24, "forever"));
    trial.until("all run", || trial.cell.fleet.observer.summary().running == 24);
    let rack: Vec<Name> = trial.cell.fleet.workers.iter().map(|(n, _)| n.clone()).collect();
    let rack: Vec<Name> = rack.into_iter().filter(|n| n.as_str().starts_with("lima-a")).collect();
    expect_that!(rack, len(eq(8)));
    let spans = trial.cell.fleet.observer.all_spans();
    let hit = spans.iter().filter(|s| rack.contains(&s.worker)).count();
    for worker in &rack {
        trial.cell.fleet.worker(worker.as_str()).expect("there is one").crash();
        trial.cell.fleet.list.remove(worker);
    }
    trial.submit(&batch("meanwhile", 6, "run_ms=50 result=done"));
    trial.await_ended("meanwhile");
    trial.until("what was lost runs again", || trial.cell.fleet.observer.summary().running == 24);
    let spread = trial.cell.fleet.observer.all_spans();
    let starts = spread.iter().filter(|s| s.task.job == name("spread")).count();
    expect_that!(starts, eq(24 + hit));
    expect_that!(trial.cell.fleet.observer.double_runs(), is_empty());
    expect_that!(trial.cell.fleet.observer.over_capacity(), is_empty());
}
