//! Tests of the rate at which processor time is released.

use super::Turnover;
use crate::clock::Millis;
use googletest::prelude::*;

/// Returns what is expected in one second after `steps` intervals of 500 ms in which `cpu_milli` is
/// released.
fn after(steps: u64, cpu_milli: u64) -> u64 {
    let mut turnover = Turnover::default();
    let mut expected = 0;
    for step in 1..=steps {
        turnover.release(cpu_milli);
        expected = turnover.expected(Millis(1000), Millis(500 * step));
    }
    expected
}

#[gtest]
fn a_steady_rate_is_expected_to_go_on() {
    expect_that!(after(0, 9000), eq(0));
    expect_that!(after(20, 9000), all![ge(17_900), le(18_000)]);
    expect_that!(after(20, u64::MAX), gt(0));
}

#[gtest]
fn the_rate_falls_when_nothing_ends() {
    let mut turnover = Turnover::default();
    turnover.release(50_000);
    let before = turnover.expected(Millis(1000), Millis(500));
    let later = (2..12).map(|step| turnover.expected(Millis(1000), Millis(500 * step))).last();
    expect_that!(later, some(lt(before / 10)));
}
