//! Workers that fail everything, jobs that fail everywhere, and jobs that nothing can run.

use super::*;

/// Fails every task on one worker; returns the starts that were wasted there.
fn fail_on(bench: &mut Bench, bad: &str, rounds: usize) -> usize {
    let mut wasted = 0;
    for _ in 0..rounds {
        bench.decide();
        bench.now = bench.now + Millis(100);
        for (id, worker, _) in std::mem::take(&mut bench.running) {
            let failed = worker.as_str() == bad;
            wasted += usize::from(failed);
            let ending = if failed { &FAILED } else { &DONE };
            bench.scheduler.ended(&id, ending, &Capacity::ZERO, Millis(100), bench.now);
        }
    }
    wasted
}

#[gtest]
fn a_worker_that_fails_everything_wastes_at_most_five_starts() {
    let mut bench = Bench::new(4, 8);
    for i in 0..200 {
        bench.submit(&bench.job(&format!("j{i}"), "batch", 1, CORE));
    }
    expect_that!(fail_on(&mut bench, "w1", 60), all![ge(1), le(5)]);
}

#[gtest]
fn a_healed_worker_is_probed_once_and_comes_back() {
    let mut bench = Bench::new(2, 4);
    for i in 0..300 {
        bench.submit(&bench.job(&format!("j{i}"), "batch", 1, CORE));
    }
    fail_on(&mut bench, "w1", 10);
    bench.now = bench.now + Millis::from_secs(31);
    bench.decide();
    let probes = bench.running.iter().filter(|(_, w, _)| w.as_str() == "w1").count();
    expect_that!(probes, eq(1));
    expect_that!(fail_on(&mut bench, "none", 1), eq(0));
    bench.decide();
    let back = bench.running.iter().filter(|(_, w, _)| w.as_str() == "w1").count();
    expect_that!(back, gt(1));
}

#[gtest]
fn a_job_that_fails_everywhere_quarantines_nothing() {
    let mut bench = Bench::new(3, 8);
    let job = bench.job("bad", "batch", 1, CORE);
    for _ in 0..30 {
        bench.submit(&job);
        bench.decide();
        bench.now = bench.now + Millis(100);
        bench.end("bad/0", &FAILED);
    }
    expect_that!(bench.scheduler.quarantined(), eq(0));
    bench.now = bench.now + PROOF;
    bench.decide();
    let view = bench.scheduler.view();
    expect_that!(view.workers().all(|(handle, _)| view.is_usable(handle)), eq(true));
}

#[gtest]
fn a_failed_task_goes_to_another_worker() {
    let mut bench = Bench::new(2, 8);
    let job = bench.job("j", "batch", 1, CORE);
    bench.submit(&job);
    bench.decide();
    let first = bench.worker_of("j/0");
    bench.end("j/0", &FAILED);
    bench.submit(&job);
    bench.decide();
    expect_that!(bench.worker_of("j/0"), not(eq(&first)));
}

#[gtest]
fn work_that_no_worker_can_hold_any_more_blocks_nothing() {
    let mut bench = Bench::new(1, 8);
    bench.submit(&bench.job("large", "batch", 5, CORE.times(9)));
    bench.submit(&bench.job("gang", "gang", 20, CORE.times(9)));
    bench.submit(&bench.job("j", "batch", 1, CORE));
    expect_that!(bench.settle(20), elements_are![eq("j/0")]);
}

#[gtest]
fn a_lost_task_is_placed_again_before_what_came_after_it() {
    let mut bench = Bench::new(1, 1);
    let job = bench.job("j", "batch", 1, CORE);
    let since = bench.now;
    bench.submit(&job);
    bench.decide();
    bench.now = bench.now + Millis(1000);
    bench.submit(&bench.job("k", "batch", 1, CORE));
    bench.end("j/0", &Ending::Lapsed);
    let kind = bench.configuration.kind("batch").unwrap().clone();
    bench.scheduler.enqueue(&job, &kind, &[0], since);
    expect_that!(bench.decide(), elements_are![eq("j/0")]);
}

#[gtest]
fn an_end_that_is_told_twice_counts_once() {
    let mut bench = Bench::new(1, 2);
    bench.submit(&bench.job("j", "batch", 2, CORE));
    bench.decide();
    bench.now = bench.now + Millis(1);
    let (id, ..) = bench.running[0].clone();
    for _ in 0..2 {
        bench.scheduler.ended(&id, &DONE, &CORE, Millis(1), bench.now);
    }
    expect_that!(bench.scheduler.used(&name("a")), eq(CORE));
    expect_that!(*bench.scheduler.view().free(), eq(CORE));
}
