//! Gangs, reservations, backfilling, spreading and estimates.

use super::*;

#[gtest]
fn a_gang_starts_whole_or_not_at_all_sorted_by_worker() {
    let mut harness = Harness::new(4, 1);
    harness.submit(&harness.job("n", "batch", 1, CORE));
    harness.decide();
    harness.submit(&harness.job("g", "gang", 4, CORE));
    expect_that!(harness.settle(3), is_empty());
    harness.end("n/0", &DONE);
    harness.now = harness.now + Millis(5000);
    let decisions = harness.scheduler.decide(harness.now, 1);
    let workers: Vec<&str> = decisions
        .iter()
        .map(|d| match d {
            Decision::Place { worker, gang: Some(1), .. } => worker.as_str(),
            other => panic!("{other:?}"),
        })
        .collect();
    expect_that!(workers, elements_are![eq(&"w0"), eq(&"w1"), eq(&"w2"), eq(&"w3")]);
}

#[gtest]
fn a_refusal_of_one_member_returns_the_whole_gang() {
    let mut harness = Harness::new(4, 1);
    harness.submit(&harness.job("g", "gang", 4, CORE));
    expect_that!(harness.decide().len(), eq(4));
    let task = harness.running[2].0.clone();
    harness.scheduler.reservation_refused(&task, harness.now);
    expect_that!(harness.scheduler.waiting(Class::Normal), eq(4));
    expect_that!(harness.scheduler.used(&name("a")), eq(Capacity::ZERO));
    expect_that!(harness.scheduler.view().free().cpu_milli, eq(3000));
    expect_that!(harness.decide(), is_empty());
    harness.now = harness.now + Millis(60_000);
    harness.report("w0", CORE, CORE);
    harness.report("w1", CORE, CORE);
    harness.report("w2", CORE, CORE);
    harness.report("w3", CORE, CORE);
    expect_that!(harness.decide().len(), eq(4));
}

#[gtest]
fn a_blocked_gang_gets_a_reservation_and_is_not_starved_by_small_work() {
    let mut harness = Harness::new(4, 2);
    harness.submit(&harness.job("n", "batch", 8, CORE));
    harness.settle(3);
    harness.submit(&harness.job("g", "gang", 4, CORE.times(2)));
    harness.submit(&harness.job("m", "batch", 100, CORE));
    harness.settle(14);
    expect_that!(harness.scheduler.counters().reservations, eq(1));
    let mut started = false;
    for _ in 0..60 {
        harness.now = harness.now + Millis(1000);
        let running: Vec<String> = harness.running.iter().map(|(id, ..)| id.to_string()).collect();
        if let Some(task) = running.first() {
            harness.end(task, &DONE);
        }
        started |= harness.decide().iter().any(|id| id.starts_with("g/"));
    }
    expect_that!(started, eq(true));
}

#[gtest]
fn a_reservation_expires() {
    let mut harness = Harness::new(1, 2);
    harness.submit(&harness.job("n", "batch", 1, CORE));
    harness.decide();
    harness.submit(&harness.job("g", "gang", 2, CORE));
    harness.settle(12);
    expect_that!(harness.scheduler.reservations.len(), eq(1));
    let expires = harness.scheduler.reservations[0].expires;
    expect_that!(*harness.scheduler.view().free(), eq(Capacity::ZERO));
    harness.scheduler.cancel("g");
    expect_that!(harness.scheduler.reservations, is_empty());
    expect_that!(*harness.scheduler.view().free(), eq(CORE));
    expect_that!(expires, gt(harness.now));
}

#[gtest]
fn short_work_is_backfilled_before_a_reservation() {
    let mut harness = Harness::new(1, 2);
    harness.submit(&harness.job("n", "batch", 1, CORE));
    harness.decide();
    harness.submit(&harness.job("g", "gang", 2, CORE));
    harness.settle(12);
    let mut long = harness.job("long", "batch", 1, CORE);
    long.run_ms = Millis(600_000);
    let mut short = harness.job("short", "batch", 1, CORE);
    short.run_ms = Millis(1000);
    harness.submit(&long);
    harness.submit(&short);
    expect_that!(harness.decide(), elements_are![eq("short/0")]);
    expect_that!(harness.scheduler.counters().backfilled, eq(1));
}

#[gtest]
fn a_large_task_at_the_head_does_not_block_smaller_ones() {
    let mut harness = Harness::new(1, 4);
    harness.submit(&harness.job("n", "batch", 1, CORE));
    harness.decide();
    harness.submit(&harness.job("large", "batch", 1, CORE.times(4)));
    harness.submit(&harness.job("small", "batch", 1, CORE));
    expect_that!(harness.decide(), elements_are![eq("small/0")]);
}

#[gtest]
fn services_spread_over_domains_and_racks() {
    let mut harness = Harness::new(8, 8);
    harness.submit(&harness.job("s", "service", 4, CORE));
    expect_that!(harness.settle(2).len(), eq(4));
    let mut racks: Vec<usize> = harness
        .running
        .iter()
        .map(|(_, worker, _)| worker.as_str()[1..].parse::<usize>().unwrap() % 4)
        .collect();
    racks.sort_unstable();
    expect_that!(racks, elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn batches_are_packed_by_their_measured_usage() {
    let mut harness = Harness::new(1, 16);
    harness.submit(&harness.job("j", "batch", 40, CORE.times(4)));
    expect_that!(harness.decide().len(), eq(4));
    for round in 0..3 {
        let running: Vec<task::Id> = harness.running.drain(..).map(|(id, ..)| id).collect();
        for id in running {
            let now = harness.now;
            harness.scheduler.ended(&id, &DONE, &CORE, Millis(1000), now);
        }
        harness.now = harness.now + Millis(1000);
        let placed = harness.settle(4).len();
        expect_that!(placed, ge(if round == 0 { 4 } else { 12 }));
    }
}
