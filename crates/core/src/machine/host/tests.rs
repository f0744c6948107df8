//! Tests of what a worker's clock readings and leases tell.

use super::*;
use googletest::prelude::*;

const NOW: Millis = Millis(1_000_000);
const LEASE: Millis = Millis::from_secs(6);
const MAX_LEASE: Millis = Millis::from_secs(10);

/// Returns a worker whose clock read `clock` at [`NOW`].
fn host(clock: u64) -> Host {
    let incarnation = Incarnation { worker: "a".into(), born: 1 };
    let entry = WorkerEntry {
        incarnation,
        address: "127.0.0.1:1".into(),
        pool: "pool".into(),
        draining: false,
        capacity: Capacity::new(4000, 8192, 0),
        labels: vec![],
    };
    let mut host = Host::new(entry, 0, NOW, NOW);
    host.update_clock(clock, NOW);
    host
}

#[gtest]
fn a_reading_is_told_from_that_of_a_restarted_clock() {
    // Reading at `NOW`, time until the next one, and the next one.
    for (reference, elapsed, clock, is_own) in [
        (100_000, 50, 100_050, true),
        (100_000, 50, 20, false),
        (100_000, 60_000, 160_000, true),
        // The worker's clock may run slow by 2 %.
        (100_000, 60_000, 158_800, true),
        (100_000, 60_000, 60_000, false),
        // An answer that was delayed.
        (100_000, 900, 100_000, true),
        // The next incarnation can be as old as the time since the reference.
        (400, 60_000, 60_400, false),
        (3_000, 60_000, 63_000, true),
        // A reading that fits neither.
        (100_000, 50, 40_000, false),
        (100_000, 50, 300_000, false),
    ] {
        let now = NOW + Millis(elapsed);
        let host = host(reference);
        expect_that!(host.is_own_clock(clock, now), eq(is_own), "{reference} {elapsed} {clock}");
    }
}

#[gtest]
fn a_worker_whose_clock_is_not_known_shows_no_incarnation() {
    let entry = host(1).entry;
    expect_that!(Host::new(entry, 0, NOW, NOW).is_own_clock(100_000, NOW), eq(false));
}

#[gtest]
fn inherited_leases_outlast_a_confirmation() {
    let mut host = host(100_000);
    host.inherit_leases(MAX_LEASE, NOW);
    host.confirm(LEASE, NOW);
    expect_that!(host.leases_expired(NOW + max_lease_lifetime(LEASE)), eq(false));
    expect_that!(host.leases_expired(NOW + max_lease_lifetime(MAX_LEASE)), eq(true));
}

#[gtest]
fn earlier_leases_are_limited_for_workers_that_have_not_answered() {
    let far = NOW + Millis::from_secs(15);
    let mut silent = Host::new(host(1).entry, 0, NOW, far);
    silent.limit_earlier_leases(NOW + LEASE);
    expect_that!(silent.leases_expired(NOW + LEASE), eq(true));
    let mut answered = host(100_000);
    let granted = answered.grant(LEASE, NOW);
    expect_that!(granted, some(eq(106_000)));
    answered.limit_earlier_leases(NOW);
    expect_that!(answered.leases_expired(NOW + LEASE), eq(false));
}
