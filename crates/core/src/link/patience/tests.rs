use super::hold;
use crate::clock::Millis;
use googletest::prelude::*;

const RETRY_AFTER: Millis = Millis(1000);

#[gtest]
fn a_caller_that_can_return_is_refused_in_time_to_do_so() {
    let held = hold(Millis(3000), RETRY_AFTER, Millis(600));
    expect_that!(held, ge(Millis(1400)));
    expect_that!(held + RETRY_AFTER, lt(Millis(3000)));
}

#[gtest]
fn a_caller_without_time_for_a_retry_is_held_for_most_of_its_time() {
    let held = hold(Millis(1200), RETRY_AFTER, Millis(600));
    expect_that!(held, ge(Millis(1000)));
    expect_that!(held, lt(Millis(1200)));
}

#[gtest]
fn in_an_old_outage_a_caller_is_refused_at_once() {
    expect_that!(hold(Millis(3000), RETRY_AFTER, Millis(4000)), gt(Millis::ZERO));
    expect_that!(hold(Millis(3000), RETRY_AFTER, Millis(6000)), eq(Millis::ZERO));
    expect_that!(hold(Millis(500), RETRY_AFTER, Millis(4000)), gt(Millis::ZERO));
    expect_that!(hold(Millis(500), RETRY_AFTER, Millis(6000)), eq(Millis::ZERO));
}
