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
