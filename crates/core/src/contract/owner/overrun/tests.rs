use super::*;
use googletest::prelude::*;

const ESTIMATE: Millis = Millis(1000);
const SLACK: Millis = Millis(600);

#[gtest]
fn nothing_is_expected_before_the_first_run_of_a_queue() {
    let mut overruns = Overruns::default();
    overruns.record("other", ESTIMATE, Millis(1200));
    expect_that!(overruns.expected("queue", 1, SLACK), eq(Millis::ZERO));
}

#[gtest]
fn most_runs_take_less_than_expected() {
    let mut overruns = Overruns::default();
    for i in 0..1000 {
        overruns.record("queue", ESTIMATE, Millis(1000 + 100 + (i * 37) % 200));
    }
    let expected = overruns.expected("queue", 1, SLACK);
    expect_that!(expected, all![ge(Millis(220)), le(Millis(290))]);
    expect_that!(overruns.expected("queue", 2, Millis(10_000)), ge(Millis(440)));
}

#[gtest]
fn a_run_that_took_less_than_its_estimate_counts_as_none_over_it() {
    let mut overruns = Overruns::default();
    overruns.record("queue", ESTIMATE, Millis(300));
    expect_that!(overruns.expected("queue", 1, SLACK), eq(Millis::ZERO));
}

/// A store that was silent for 14 s.
#[gtest]
fn runs_through_an_outage_leave_half_of_the_slack() {
    let mut overruns = Overruns::default();
    for _ in 0..100 {
        overruns.record("queue", ESTIMATE, Millis(15_000));
    }
    expect_that!(overruns.expected("queue", 1, SLACK), eq(Millis(300)));
    expect_that!(overruns.expected("queue", 3, Millis(60_000)), eq(Millis(4500)));
    for _ in 0..200 {
        overruns.record("queue", ESTIMATE, Millis(1100));
    }
    expect_that!(overruns.expected("queue", 1, SLACK), le(Millis(130)));
}
