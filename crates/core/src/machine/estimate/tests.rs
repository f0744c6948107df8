use super::*;
use googletest::prelude::*;

const DECLARED: Capacity = Capacity::new(4000, 8000, 2);

fn kind() -> Name {
    Name::try_from("index").unwrap()
}

fn sample(cpu: u64, memory: u64) -> Sample {
    Sample {
        declared: DECLARED,
        peak: Capacity::new(cpu, memory, 2),
        declared_run: Millis(1000),
        ran: Millis(3000),
    }
}

#[gtest]
fn the_declared_size_is_used_until_there_are_enough_samples() {
    let mut estimates = Estimates::default();
    for _ in 1..MIN_SAMPLES {
        estimates.completed(&kind(), 0, &sample(1000, 2000));
        expect_that!(estimates.needs("index", 0, &DECLARED), eq(DECLARED));
        expect_that!(estimates.run("index", 0, Millis(1000)), none());
    }
    estimates.completed(&kind(), 0, &sample(1000, 2000));
    expect_that!(estimates.needs("index", 0, &DECLARED), eq(Capacity::new(1100, 2200, 2)));
    expect_that!(estimates.run("index", 0, Millis(1000)), some(eq(Millis(3000))));
    expect_that!(estimates.needs("other", 0, &DECLARED), eq(DECLARED));
}

#[gtest]
fn a_kind_that_declares_too_little_is_scaled_up() {
    let mut estimates = Estimates::default();
    for _ in 0..MIN_SAMPLES {
        estimates.completed(&kind(), 0, &sample(16_000, 8000));
    }
    expect_that!(estimates.needs("index", 0, &DECLARED), eq(Capacity::new(17_600, 8000, 2)));
}

#[gtest]
fn an_accurate_declared_size_gets_no_margin() {
    let mut estimates = Estimates::default();
    for _ in 0..MIN_SAMPLES {
        estimates.completed(&kind(), 0, &sample(4000, 7900));
    }
    expect_that!(estimates.needs("index", 0, &DECLARED), eq(DECLARED));
}

#[gtest]
fn the_greatest_of_few_samples_counts_and_old_ones_are_evicted() {
    let mut estimates = Estimates::default();
    estimates.completed(&kind(), 0, &sample(8000, 8000));
    for _ in 0..MIN_SAMPLES {
        estimates.completed(&kind(), 0, &sample(1000, 8000));
    }
    expect_that!(estimates.needs("index", 0, &DECLARED).cpu_milli, eq(8800));
    for _ in 0..WINDOW_SAMPLES {
        estimates.completed(&kind(), 0, &sample(1000, 8000));
    }
    expect_that!(estimates.needs("index", 0, &DECLARED).cpu_milli, eq(1100));
}

#[gtest]
fn usage_of_running_tasks_only_raises_an_estimate() {
    let mut estimates = Estimates::default();
    for _ in 0..MIN_SAMPLES {
        estimates.completed(&kind(), 0, &sample(1000, 2000));
    }
    for _ in 0..WINDOW_SAMPLES {
        estimates.seen(&kind(), 0, &DECLARED, &Capacity::new(100, 100, 0));
    }
    expect_that!(estimates.needs("index", 0, &DECLARED).cpu_milli, eq(1100));
    estimates.seen(&kind(), 0, &DECLARED, &Capacity::new(5000, 2000, 0));
    expect_that!(estimates.needs("index", 0, &DECLARED).cpu_milli, eq(5500));
}

#[gtest]
fn a_task_without_reported_usage_is_ignored() {
    let mut estimates = Estimates::default();
    for _ in 0..MIN_SAMPLES {
        estimates.completed(&kind(), 0, &sample(0, 0));
        estimates.completed(&kind(), 0, &Sample { peak: Capacity::ZERO, ..sample(1, 1) });
    }
    expect_that!(estimates.needs("index", 0, &DECLARED).cpu_milli, ge(1));
    expect_that!(estimates.needs("other", 0, &DECLARED), eq(DECLARED));
}

#[gtest]
fn run_times_of_tasks_that_declare_none_are_estimated_directly() {
    let mut estimates = Estimates::default();
    for _ in 0..MIN_SAMPLES {
        estimates.completed(&kind(), 0, &Sample { declared_run: Millis::ZERO, ..sample(1, 1) });
    }
    expect_that!(estimates.run("index", 0, Millis::ZERO), some(eq(Millis(3000))));
    expect_that!(estimates.run("index", 0, Millis(1)), none());
}

#[gtest]
fn estimates_are_kept_per_team() {
    let mut estimates = Estimates::default();
    for _ in 0..MIN_SAMPLES {
        estimates.completed(&kind(), 0, &sample(1000, 2000));
        estimates.completed(&kind(), 1, &sample(2000, 4000));
    }
    expect_that!(estimates.needs("index", 0, &DECLARED).cpu_milli, eq(1100));
    expect_that!(estimates.needs("index", 1, &DECLARED).cpu_milli, eq(2200));
    expect_that!(estimates.needs("index", 2, &DECLARED), eq(DECLARED));
}
