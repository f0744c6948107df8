use super::{Breaker, FIRST_STEP, PROBE_INTERVAL};
use crate::clock::Millis;
use googletest::prelude::*;

#[gtest]
fn a_breaker_that_never_opened_limits_nothing() {
    let mut breaker = Breaker::default();
    breaker.succeeded(Millis(70));
    expect_false!(breaker.is_open());
    expect_that!(breaker.allowance(Millis(5)), eq(usize::MAX));
}

#[gtest]
fn an_open_breaker_passes_one_call_for_each_interval() {
    let mut breaker = Breaker::default();
    breaker.failed(Millis(1000));
    expect_true!(breaker.is_open());
    expect_that!(breaker.allowance(Millis(1001)), eq(0));
    let probe_at = Millis(1000) + PROBE_INTERVAL;
    expect_that!(breaker.probe_at(), some(eq(probe_at)));
    expect_that!(breaker.allowance(probe_at), eq(1));
    breaker.failed(probe_at);
    expect_that!(breaker.allowance(probe_at), eq(0));
    expect_that!(breaker.open_for(Millis(3000)), some(eq(Millis(2000))));
}

#[gtest]
fn after_an_outage_the_steps_grow() {
    let mut breaker = Breaker::default();
    breaker.failed(Millis(0));
    breaker.succeeded(Millis(70));
    expect_that!(breaker.allowance(Millis(1)), eq(FIRST_STEP));
    breaker.succeeded(Millis(70));
    expect_that!(breaker.allowance(Millis(2)), eq(2 * FIRST_STEP));
}

#[gtest]
fn a_call_that_took_an_outage_does_not_make_all_calls_hopeless() {
    let mut breaker = Breaker::default();
    breaker.succeeded(Millis(60_000));
    expect_that!(breaker.typical(), le(Millis(600)));
}
