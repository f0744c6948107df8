//! Tests of the clocks.

use super::{FIRST_READING_MS, now};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use std::time::Duration;

/// Returns the time since the machine started, suspensions included (source: `/proc/uptime`).
fn uptime() -> Millis {
    let text = std::fs::read_to_string("/proc/uptime").expect("the uptime can be read");
    let seconds = text.split(' ').next().and_then(|s| s.parse().ok());
    Duration::from_secs_f64(seconds.expect("the uptime is a number")).into()
}

/// An owner that wakes from a suspension must not renew leases that have run out meanwhile.
#[gtest]
fn the_steady_clock_counts_suspensions() {
    let before = uptime();
    let reading = now().since(Millis(FIRST_READING_MS));
    // The uptime is rounded down to 10 ms.
    expect_that!(reading, all![ge(before), le(uptime() + Millis(10))]);
}
