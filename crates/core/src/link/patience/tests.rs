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
fn a_caller_has_more_than_half_of_its_time_left_when_it_is_refused() {
    for left in [300, 500, 1200, 3000].map(Millis) {
        let held = hold(left, RETRY_AFTER, Millis(600));
        expect_that!(held, all![gt(Millis::ZERO), lt(Millis(left.get() / 2))]);
    }
}

#[gtest]
fn in_an_old_outage_a_caller_is_refused_at_once() {
    expect_that!(hold(Millis(3000), RETRY_AFTER, Millis(4000)), gt(Millis::ZERO));
    expect_that!(hold(Millis(3000), RETRY_AFTER, Millis(6000)), eq(Millis::ZERO));
    expect_that!(hold(Millis(800), RETRY_AFTER, Millis(4000)), gt(Millis::ZERO));
    expect_that!(hold(Millis(800), RETRY_AFTER, Millis(6000)), eq(Millis::ZERO));
}
