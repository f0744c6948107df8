use super::{Least, ResponseTime};
use crate::clock::Millis;
use googletest::prelude::*;

const USUAL: Millis = Millis(1000);

#[gtest]
fn a_response_from_another_region_is_not_slow() {
    let mut response_time = ResponseTime::default();
    response_time.record(Millis(70));
    expect_false!(response_time.is_slow());
    expect_that!(response_time.timeout(USUAL), eq(USUAL));
}

#[gtest]
fn the_timeout_grows_at_once_with_a_slow_response_and_is_bounded() {
    let mut response_time = ResponseTime::default();
    response_time.record(Millis(4));
    response_time.record(Millis(300));
    expect_true!(response_time.is_slow());
    expect_that!(response_time.timeout(USUAL), eq(Millis(2400)));
    response_time.record(Millis(5000));
    expect_that!(response_time.timeout(USUAL), eq(Millis(3000)));
}

#[gtest]
fn one_fast_response_does_not_reset_the_timeout() {
    let mut response_time = ResponseTime::default();
    response_time.record(Millis(400));
    response_time.record(Millis(4));
    expect_true!(response_time.is_slow());
    (0..6).for_each(|_| response_time.record(Millis(4)));
    expect_false!(response_time.is_slow());
}

#[gtest]
fn the_shortest_latency_is_kept_for_a_minute_at_most() {
    let mut least = Least::default();
    expect_that!(least.get(), none());
    let began = Millis(1_000_000);
    for (after, took) in [(0, 60), (1, 4), (20, 90), (40, 70)] {
        least.record(Millis(took), began + Millis::from_secs(after));
    }
    expect_that!(least.get(), some(eq(Millis(4))));
    // The daemon, or the store, has moved.
    least.record(Millis(65), began + Millis::from_secs(75));
    expect_that!(least.get(), some(eq(Millis(65))));
}
