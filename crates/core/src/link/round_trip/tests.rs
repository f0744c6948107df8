//! Tests of the estimate of round-trip times.

use super::RoundTrip;
use crate::clock::Millis;
use googletest::prelude::*;

fn after(samples: &[u64]) -> Option<Millis> {
    let mut round_trip = RoundTrip::default();
    samples.iter().for_each(|ms| round_trip.record(Millis(*ms)));
    round_trip.get()
}

#[gtest]
fn a_link_without_samples_has_no_estimate() {
    expect_that!(after(&[]), none());
}

#[gtest]
fn one_slow_call_hardly_changes_the_estimate() {
    expect_that!(after(&[60, 700, 60]), some(eq(Millis(60))));
    expect_that!(after(&[60, 140]), some(eq(Millis(70))));
}

#[gtest]
fn the_estimate_follows_a_link_that_became_slower() {
    expect_that!(after(&[&[4][..], &[64; 40]].concat()), some(ge(Millis(60))));
}

#[gtest]
fn a_round_trip_of_minutes_or_of_zero_does_not_overflow() {
    expect_that!(after(&[u64::MAX, 0]), some(eq(Millis::ZERO)));
    expect_that!(after(&[0, u64::MAX, u64::MAX]), some(gt(Millis::ZERO)));
}
