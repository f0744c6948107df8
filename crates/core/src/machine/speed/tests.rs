//! Tests of what the times of runs show about their workers.

use super::*;
use crate::contract::work::Id;
use googletest::prelude::*;

const ESTIMATE: Millis = Millis(1000);
/// When the first runs end, and when those of [`pool`] have ended.
const BEGIN: Millis = Millis(100_000);
const NOW: Millis = Millis(BEGIN.get() + 23_000);
/// Runs of a worker, one a second, of which the first don't count.
const RUNS: u64 = 23;

/// A pool of 30 workers with [`RUNS`] runs each, which took what `took` says of the worker and the run.
fn pool(took: impl Fn(u64, u64) -> u64) -> (Pace, Vec<Speed>) {
    let mut pace = Pace::default();
    let mut speeds = vec![Speed::default(); 30];
    for run in 0..RUNS {
        let now = BEGIN + Millis(1000 * run);
        for (worker, speed) in (0..).zip(&mut speeds) {
            end(&mut pace, speed, took(worker, run), now);
        }
    }
    compare(&mut pace, &mut speeds);
    (pace, speeds)
}

fn compare(pace: &mut Pace, speeds: &mut [Speed]) {
    pace.compare(speeds.iter(), NOW);
    speeds.iter_mut().for_each(|s| pace.settle(s));
}

fn end(pace: &mut Pace, speed: &mut Speed, took: u64, now: Millis) {
    let ordered = Millis(now.get() - took);
    pace.record(speed, &Timed { ordered, ..timed(now.get() + took) }, now);
}

/// A run of a step of its own.
fn timed(job: u64) -> Timed {
    let step_id = StepId { job: Id(job), occurrence: 0, step: 0 };
    Timed { ordered: NOW, step_id, estimate: ESTIMATE, is_overdue: false }
}

/// Errors of estimates that average out.
const fn rough(worker: u64, run: u64) -> u64 {
    [700, 1300, 900, 1100, 800, 1200, 1000][((worker * 3 + run) % 7) as usize]
}

#[gtest]
fn workers_are_told_apart_by_more_than_the_error_of_the_estimates() {
    let (_, speeds) =
        pool(|worker, run| rough(worker, run) * [800, 1000, 1250][worker as usize % 3] / 1000);
    for (worker, speed) in speeds.iter().enumerate() {
        let expected: [(u64, u64); 3] = [(740, 860), (930, 1060), (1160, 1300)];
        let (least, most) = expected[worker % 3];
        expect_that!(speed.ratio(), all!(ge(least), le(most)), "worker {worker}");
    }
}

#[gtest]
fn workers_that_differ_by_chance_only_are_typical() {
    let (_, speeds) = pool(rough);
    expect_that!(speeds.iter().map(Speed::ratio).collect::<Vec<_>>(), each(eq(&TYPICAL)));
}

#[gtest]
fn a_worker_is_typical_until_three_of_its_runs_count() {
    let (mut pace, mut speeds) = pool(|worker, _| [800, 1000, 1250][worker as usize % 3]);
    speeds.push(Speed::default());
    // The first run ends before longer ones could have ended.
    for (runs, is_known) in [(1, false), (2, false), (3, false), (4, true)] {
        end(&mut pace, &mut speeds[30], 1250, NOW + Millis(1250 * runs));
        compare(&mut pace, &mut speeds);
        expect_that!(speeds[30].ratio() > TYPICAL, eq(is_known), "after {runs} runs");
    }
}

#[gtest]
fn a_worker_counts_as_slowed_the_longer_the_more_of_its_last_runs_were_slow() {
    let (pace, speeds) = pool(rough);
    for (took, millis) in [
        (&[1000][..], 0),
        (&[2000], 0),
        (&[5000], 1500),
        (&[5000, 1000], 0),
        (&[5000, 5000], 2250),
        (&[5000, 5000, 5000], 2625),
        (&[5000, 5000, 1000], 0),
    ] {
        let (mut pace, mut speed) = (pace.clone(), Speed { recent: TYPICAL, ..speeds[0] });
        took.iter().for_each(|took| end(&mut pace, &mut speed, *took, NOW));
        let is_near = all!(ge(millis * 98 / 100), le(millis * 102 / 100));
        expect_that!(speed.slowed_until.since(NOW).get(), is_near, "{took:?}");
        expect_that!(speed.is_slowed(NOW), eq(millis > 0), "{took:?}");
        expect_that!(speed.mean.abs_diff(speeds[0].mean), le(100), "{took:?}");
    }
}

#[gtest]
fn runs_under_way_show_that_a_worker_has_turned_slow_before_they_end() {
    let (pace, mut speeds) = pool(rough);
    let ordered = Millis(NOW.get() - 1500);
    let mut runs = [Timed { ordered, ..timed(0) }; 2];
    // Half done after one and a half of its usual time: rough, but no sign.
    pace.note_progress(&mut speeds[0], &mut runs[0], 60, NOW);
    expect_that!(runs[0].is_overdue, eq(false));
    // Each run counts once.
    for _ in 0..5 {
        pace.note_progress(&mut speeds[0], &mut runs[0], 30, NOW);
    }
    expect_that!(speeds[0].is_slowed(NOW), eq(true));
    expect_that!(speeds[0].recent, lt(2100));
    pace.note_progress(&mut speeds[0], &mut runs[1], 30, NOW);
    expect_that!(speeds[0].recent, gt(2400));
}

#[gtest]
fn a_worker_counts_as_failing_the_longer_the_more_of_its_runs_failed() {
    for (ends, millis) in [
        (&[true][..], 0),
        (&[false], 1000),
        (&[false, true], 0),
        (&[false, false], 1752),
        (&[false, false, true], 1752),
        (&[false, false, true, true], 0),
        (&[false, true, true, true, false], 1320),
    ] {
        let mut speed = Speed::default();
        for is_done in ends {
            if *is_done { speed.record_success() } else { speed.record_failure(NOW) }
        }
        expect_that!(speed.failing_until.since(NOW), eq(Millis(millis)), "{ends:?}");
        expect_that!(speed.is_failing(NOW), eq(millis > 0), "{ends:?}");
    }
}

/// The tasks of a step share the error of their estimate, so that many of them show no more than one.
#[gtest]
fn runs_of_one_step_on_a_worker_count_once() {
    let (mut pace, mut speeds) = pool(rough);
    let before = speeds[0].mean;
    let run = Timed { ordered: Millis(NOW.get() - 1700), ..timed(1) };
    pace.record(&mut speeds[0], &run, NOW);
    let once = speeds[0].mean;
    expect_that!(once, gt(before));
    (0..5).for_each(|_| pace.record(&mut speeds[0], &run, NOW));
    expect_that!(speeds[0].mean, eq(once));
}
