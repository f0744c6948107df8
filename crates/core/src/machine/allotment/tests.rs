//! Tests of the estimated takeover time.

use super::{Allotment, MAX_TAKEOVER};
use crate::clock::Millis;
use googletest::prelude::*;

#[gtest]
fn a_takeover_takes_longer_on_a_smaller_share_and_on_a_slower_link() {
    let takeover = |cpu_milli, link_kbps| Allotment { cpu_milli, link_kbps }.takeover();
    expect_that!(takeover(250, 1_000_000), eq(Millis(122)));
    expect_that!(takeover(500, 200_000), eq(Millis(40)));
    expect_that!(takeover(120, 200_000), eq(Millis(530)));
    expect_that!(takeover(500, 10_000), eq(Millis(230)));
    expect_that!(takeover(1, 1), eq(MAX_TAKEOVER));
    expect_that!(takeover(0, 0), eq(MAX_TAKEOVER));
}

#[gtest]
fn daemons_that_can_take_over_soon_read_the_log_first() {
    let delay = |cpu_milli, link_kbps| Allotment { cpu_milli, link_kbps }.replay_delay();
    expect_that!(delay(500, 200_000), eq(Millis::ZERO));
    expect_that!(delay(250, 1_000_000), eq(Millis::ZERO));
    expect_that!(delay(120, 20_000), all![ge(Millis(400)), le(Millis(700))]);
    expect_that!(delay(0, 0), le(Millis(700)));
}
