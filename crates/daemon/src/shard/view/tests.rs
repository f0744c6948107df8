//! Tests of the clocks, and of the age of the replica.

use super::{FIRST_READING_MS, MAX_LAG, MAX_OUTLOOK_AGE, Prospect, ShardStatus, now};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::outlook::Outlook;
use std::sync::Arc;
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

/// Nobody is refused by a summary of an owner that is lost, replaced or silent, or while this daemon can't know
/// whether it has accepted the job before.
#[gtest]
fn jobs_are_refused_only_by_a_recent_summary_of_the_present_owner() {
    let status = ShardStatus {
        claim: 7,
        owner: "10.0.0.1:1".into(),
        caught_up: true,
        covered_until: NOW,
        ..ShardStatus::default()
    };
    let outlook = Some(Arc::new(Outlook::default()));
    let prospect = Prospect { epoch: 7, at: NOW.since(MAX_OUTLOOK_AGE), outlook };
    let is_used =
        |prospect: &Prospect, status: &ShardStatus, now| prospect.current(status, now).is_some();
    expect_that!(is_used(&prospect, &status, NOW), eq(true));
    expect_that!(is_used(&prospect, &status, NOW + Millis(1)), eq(false));
    let successor = ShardStatus { claim: 8, ..status.clone() };
    expect_that!(is_used(&prospect, &successor, NOW), eq(false));
    let released = ShardStatus { owner: "".into(), ..status.clone() };
    expect_that!(is_used(&prospect, &released, NOW), eq(false));
    let lagging = ShardStatus { covered_until: NOW.since(Millis(1000)), ..status.clone() };
    expect_that!(is_used(&prospect, &lagging, NOW), eq(false));
    expect_that!(is_used(&Prospect { outlook: None, ..prospect }, &status, NOW), eq(false));
    expect_that!(is_used(&Prospect::default(), &status, NOW), eq(false));
}
