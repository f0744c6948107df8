//! Gangs, reservations, backfill, spread and estimates.

use super::*;

#[gtest]
fn a_gang_starts_whole_or_not_at_all_sorted_by_worker() {
    let mut bench = Bench::new(4, 1);
    bench.submit(&bench.job("n", "batch", 1, CORE));
    bench.decide();
    bench.submit(&bench.job("g", "gang", 4, CORE));
    expect_that!(bench.settle(3), is_empty());
    bench.end("n/0", &DONE);
    bench.now = bench.now + Millis(5000);
    let decisions = bench.scheduler.decide(bench.now, 1);
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
    let mut bench = Bench::new(4, 1);
    bench.submit(&bench.job("g", "gang", 4, CORE));
    expect_that!(bench.decide().len(), eq(4));
    let task = bench.running[2].0.clone();
    bench.scheduler.reservation_refused(&task, bench.now);
    expect_that!(bench.scheduler.waiting(Class::Normal), eq(4));
    expect_that!(bench.scheduler.used(&name("a")), eq(Capacity::ZERO));
    expect_that!(bench.scheduler.view().free().cpu_milli, eq(3000));
    expect_that!(bench.decide(), is_empty());
    bench.now = bench.now + Millis(60_000);
    bench.report("w0", CORE, CORE);
    bench.report("w1", CORE, CORE);
    bench.report("w2", CORE, CORE);
    bench.report("w3", CORE, CORE);
    expect_that!(bench.decide().len(), eq(4));
}

#[gtest]
fn a_blocked_gang_gets_a_reservation_and_is_not_starved_by_small_work() {
    let mut bench = Bench::new(4, 2);
    bench.submit(&bench.job("n", "batch", 8, CORE));
    bench.settle(3);
    bench.submit(&bench.job("g", "gang", 4, CORE.times(2)));
    bench.submit(&bench.job("m", "batch", 100, CORE));
    bench.settle(14);
    expect_that!(bench.scheduler.counters().reservations, eq(1));
    let mut started = false;
    for _ in 0..60 {
        bench.now = bench.now + Millis(1000);
        let running: Vec<String> = bench.running.iter().map(|(id, ..)| id.to_string()).collect();
        if let Some(task) = running.first() {
            bench.end(task, &DONE);
        }
        started |= bench.decide().iter().any(|id| id.starts_with("g/"));
    }
    expect_that!(started, eq(true));
}

#[gtest]
fn a_reservation_expires() {
    let mut bench = Bench::new(1, 2);
    bench.submit(&bench.job("n", "batch", 1, CORE));
    bench.decide();
    bench.submit(&bench.job("g", "gang", 2, CORE));
    bench.settle(12);
    expect_that!(bench.scheduler.reservations.len(), eq(1));
    let expires = bench.scheduler.reservations[0].expires;
    expect_that!(*bench.scheduler.view().free(), eq(Capacity::ZERO));
    bench.scheduler.cancel("g");
    expect_that!(bench.scheduler.reservations, is_empty());
    expect_that!(*bench.scheduler.view().free(), eq(CORE));
    expect_that!(expires, gt(bench.now));
}

#[gtest]
fn short_work_fills_the_time_before_a_reservation() {
    let mut bench = Bench::new(1, 2);
    bench.submit(&bench.job("n", "batch", 1, CORE));
    bench.decide();
    bench.submit(&bench.job("g", "gang", 2, CORE));
    bench.settle(12);
    let mut long = bench.job("long", "batch", 1, CORE);
    long.run_ms = Millis(600_000);
    let mut short = bench.job("short", "batch", 1, CORE);
    short.run_ms = Millis(1000);
    bench.submit(&long);
    bench.submit(&short);
    expect_that!(bench.decide(), elements_are![eq("short/0")]);
    expect_that!(bench.scheduler.counters().backfilled, eq(1));
}

#[gtest]
fn a_large_task_at_the_head_does_not_block_smaller_ones() {
    let mut bench = Bench::new(1, 4);
    bench.submit(&bench.job("n", "batch", 1, CORE));
    bench.decide();
    bench.submit(&bench.job("large", "batch", 1, CORE.times(4)));
    bench.submit(&bench.job("small", "batch", 1, CORE));
    expect_that!(bench.decide(), elements_are![eq("small/0")]);
}

#[gtest]
fn services_spread_over_domains_and_racks() {
    let mut bench = Bench::new(8, 8);
    bench.submit(&bench.job("s", "service", 4, CORE));
    expect_that!(bench.settle(2).len(), eq(4));
    let mut racks: Vec<usize> = bench
        .running
        .iter()
        .map(|(_, worker, _)| worker.as_str()[1..].parse::<usize>().unwrap() % 4)
        .collect();
    racks.sort_unstable();
    expect_that!(racks, elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn batches_are_packed_by_what_they_really_take() {
    let mut bench = Bench::new(1, 16);
    bench.submit(&bench.job("j", "batch", 40, CORE.times(4)));
    expect_that!(bench.decide().len(), eq(4));
    for round in 0..3 {
        let running: Vec<task::Id> = bench.running.drain(..).map(|(id, ..)| id).collect();
        for id in running {
            let now = bench.now;
            bench.scheduler.ended(&id, &DONE, &CORE, Millis(1000), now);
        }
        bench.now = bench.now + Millis(1000);
        let placed = bench.settle(4).len();
        expect_that!(placed, ge(if round == 0 { 4 } else { 12 }));
    }
}
