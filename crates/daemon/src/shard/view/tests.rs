//! Tests of the clocks, and of the age of the replica.

use super::{FIRST_READING_MS, MAX_LAG, ShardStatus, now};
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

const NOW: Millis = Millis(2_000_000);

#[gtest]
fn a_replica_lags_when_reads_are_refused_or_the_daemon_has_just_started() {
    let status = |age: Millis| ShardStatus {
        caught_up: true,
        covered_until: NOW.since(age),
        ..ShardStatus::default()
    };
    expect_that!(status(MAX_LAG).lags(NOW), eq(false));
    expect_that!(status(MAX_LAG + Millis(1)).lags(NOW), eq(true));
    expect_that!(ShardStatus { caught_up: false, ..status(Millis(10)) }.lags(NOW), eq(true));
    // While every read takes long, peers are no more recent.
    let mut slow = status(MAX_LAG + Millis(1));
    slow.response_time.record(Millis(400));
    expect_that!(slow.lags(NOW), eq(false));
}

#[gtest]
fn the_replica_of_the_owner_is_as_recent_as_its_last_append() {
    let (covered_until, owned_until) = (NOW.since(Millis(2000)), NOW.since(Millis(300)));
    let caught_up = true;
    let status = ShardStatus { caught_up, covered_until, owned_until, ..ShardStatus::default() };
    expect_that!(status.lags(NOW), eq(false));
    expect_that!(ShardStatus { owned_until: Millis::ZERO, ..status }.lags(NOW), eq(true));
}
