//! Workers on which every task fails, jobs that fail on every worker, and jobs that fit on none.

use super::*;

/// Fails every task on one worker for some rounds. Returns the number of tasks started there.
fn fail_on(harness: &mut Harness, bad: &str, rounds: usize) -> usize {
    let mut wasted = 0;
    for _ in 0..rounds {
        harness.decide();
        harness.now = harness.now + Millis(100);
        for (id, worker, _) in std::mem::take(&mut harness.running) {
            let failed = worker.as_str() == bad;
            wasted += usize::from(failed);
            let ending = if failed { &FAILED } else { &DONE };
            harness.scheduler.ended(&id, ending, &Capacity::ZERO, Millis(100), harness.now);
        }
    }
    wasted
}

#[gtest]
fn a_worker_on_which_every_task_fails_gets_at_most_five_starts() {
    let mut harness = Harness::new(4, 8);
    for i in 0..200 {
        harness.submit(&harness.job(&format!("j{i}"), "batch", 1, CORE));
    }
    expect_that!(fail_on(&mut harness, "w1", 60), all![ge(1), le(5)]);
}

#[gtest]
fn a_recovered_worker_is_probed_once_and_gets_work_again() {
    let mut harness = Harness::new(2, 4);
    for i in 0..300 {
        harness.submit(&harness.job(&format!("j{i}"), "batch", 1, CORE));
    }
    fail_on(&mut harness, "w1", 10);
    harness.now = harness.now + Millis::from_secs(31);
    harness.decide();
    let probes = harness.running.iter().filter(|(_, w, _)| w.as_str() == "w1").count();
    expect_that!(probes, eq(1));
    expect_that!(fail_on(&mut harness, "none", 1), eq(0));
    harness.decide();
    let back = harness.running.iter().filter(|(_, w, _)| w.as_str() == "w1").count();
    expect_that!(back, gt(1));
}

#[gtest]
fn a_job_that_fails_everywhere_quarantines_nothing() {
    let mut harness = Harness::new(3, 8);
    let job = harness.job("bad", "batch", 1, CORE);
    for _ in 0..30 {
        harness.submit(&job);
        harness.decide();
        harness.now = harness.now + Millis(100);
        harness.end("bad/0", &FAILED);
    }
    expect_that!(harness.scheduler.quarantined(), eq(0));
    harness.now = harness.now + PROOF;
    harness.decide();
    let view = harness.scheduler.view();
    expect_that!(view.workers().all(|(handle, _)| view.is_usable(handle)), eq(true));
}

#[gtest]
fn a_failed_task_goes_to_another_worker() {
    let mut harness = Harness::new(2, 8);
    let job = harness.job("j", "batch", 1, CORE);
    harness.submit(&job);
    harness.decide();
    let first = harness.worker_of("j/0");
    harness.end("j/0", &FAILED);
    harness.submit(&job);
    harness.decide();
    expect_that!(harness.worker_of("j/0"), not(eq(&first)));
}

#[gtest]
fn work_that_fits_on_no_worker_does_not_block_other_work() {
    let mut harness = Harness::new(1, 8);
    harness.submit(&harness.job("large", "batch", 5, CORE.times(9)));
    harness.submit(&harness.job("gang", "gang", 20, CORE.times(9)));
    harness.submit(&harness.job("j", "batch", 1, CORE));
    expect_that!(harness.settle(20), elements_are![eq("j/0")]);
}

#[gtest]
fn a_lost_task_is_placed_again_before_what_came_after_it() {
    let mut harness = Harness::new(1, 1);
    let job = harness.job("j", "batch", 1, CORE);
    let since = harness.now;
    harness.submit(&job);
    harness.decide();
    harness.now = harness.now + Millis(1000);
    harness.submit(&harness.job("k", "batch", 1, CORE));
    harness.end("j/0", &Ending::Lapsed);
    let kind = harness.configuration.kind("batch").unwrap().clone();
    harness.scheduler.enqueue(&job, &kind, &[0], since);
    expect_that!(harness.decide(), elements_are![eq("j/0")]);
}

#[gtest]
fn an_end_that_is_reported_twice_counts_once() {
    let mut harness = Harness::new(1, 2);
    harness.submit(&harness.job("j", "batch", 2, CORE));
    harness.decide();
    harness.now = harness.now + Millis(1);
    let (id, ..) = harness.running[0].clone();
    for _ in 0..2 {
        harness.scheduler.ended(&id, &DONE, &CORE, Millis(1), harness.now);
    }
    expect_that!(harness.scheduler.used(&name("a")), eq(CORE));
    expect_that!(*harness.scheduler.view().free(), eq(CORE));
}
