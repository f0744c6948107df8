use super::Pace;
use crate::clock::Millis;
use googletest::prelude::*;

const USUAL: Millis = Millis(1000);

#[gtest]
fn a_response_from_another_region_is_not_slow() {
    let mut pace = Pace::default();
    pace.note(Millis(70));
    expect_false!(pace.is_slow());
    expect_that!(pace.patience(USUAL), eq(USUAL));
}

#[gtest]
fn the_timeout_grows_at_once_with_a_slow_response_and_is_bounded() {
    let mut pace = Pace::default();
    pace.note(Millis(4));
    pace.note(Millis(300));
    expect_true!(pace.is_slow());
    expect_that!(pace.patience(USUAL), eq(Millis(2400)));
    pace.note(Millis(5000));
    expect_that!(pace.patience(USUAL), eq(Millis(3000)));
}

#[gtest]
fn one_fast_response_does_not_reset_the_timeout() {
    let mut pace = Pace::default();
    pace.note(Millis(400));
    pace.note(Millis(4));
    expect_true!(pace.is_slow());
    (0..6).for_each(|_| pace.note(Millis(4)));
    expect_false!(pace.is_slow());
}
