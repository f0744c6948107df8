//! A daemon on a small machine must not claim before one on a large machine, nor much later than now
//! where there is none.

use super::{MAX_SHARE_DELAY, MAX_STAGGER_MS, delay};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;

#[gtest]
fn a_larger_machine_claims_before_a_smaller_one_with_the_same_number() {
    for nonce in [0, 7, MAX_STAGGER_MS - 1, u64::MAX] {
        let delays = [1000, 500, 250, 120].map(|share| delay(share, nonce));
        expect_that!(delays.is_sorted_by(|a, b| a < b), eq(true), "{delays:?}");
    }
}

#[gtest]
fn machines_of_one_core_or_more_wait_only_for_the_random_part() {
    for share in [1000, 4000, u64::MAX] {
        expect_that!(delay(share, 3 * MAX_STAGGER_MS + 5), eq(Millis(5)));
    }
}

/// The random part must not hide the difference between half a core and an eighth of one.
#[gtest]
fn of_a_dozen_large_machines_one_nearly_always_claims_before_any_small_one() {
    let first = |share, nonces: std::ops::Range<u64>| {
        let drawn = nonces.map(|n| n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20);
        drawn.map(|nonce| delay(share, nonce)).min().unwrap()
    };
    let is_large_first =
        |i: u64| first(500, 100 * i..100 * i + 12) < first(120, 100 * i + 50..100 * i + 67);
    let count = (0..1000).filter(|i| is_large_first(*i)).count();
    expect_that!(count, ge(990));
}

#[gtest]
fn the_smallest_share_delays_a_claim_by_half_a_second_at_most() {
    for share in [0, 1, 10, 120] {
        expect_that!(delay(share, 0), le(MAX_SHARE_DELAY));
    }
    expect_that!(MAX_SHARE_DELAY, le(Millis(500)));
}
