use super::ResponseTime;
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
