//! Tests of the size of a round of queries, with the advisor's times of the large sites.

use super::{IDLE_PER_QUERY, Plan};
use crate::clock::Millis;
use crate::contract::owner::advice::MAX_NAMED;
use crate::contract::work::AdvisorTiming;
use googletest::prelude::*;

const VALID: Millis = Millis(1500);
const QUICK: AdvisorTiming = AdvisorTiming { answer_us: 16_900, worker_us: 230, valid_ms: VALID };
const SLOW: AdvisorTiming = AdvisorTiming { answer_us: 637_000, worker_us: 9100, valid_ms: VALID };

const fn plan(timing: AdvisorTiming, share: u64, idle: usize) -> Plan {
    Plan { timing, share, idle }
}

/// Returns the probability that fewer than `needed` of `named` workers are allowed.
fn shortfall(named: usize, needed: usize, share: f64) -> f64 {
    let mut distribution = vec![1.0];
    for _ in 0..named {
        let mut next = vec![0.0; distribution.len() + 1];
        for (allowed, probability) in distribution.iter().enumerate() {
            next[allowed] += probability * (1.0 - share);
            next[allowed + 1] += probability * share;
        }
        distribution = next;
    }
    distribution.iter().take(needed).sum()
}

#[gtest]
fn a_quick_query_names_enough_workers_to_need_no_second_round() {
    for needed in [1, 2, 3, 6] {
        let named = plan(QUICK, 300, 0).named(needed);
        expect_that!(shortfall(named, needed, 0.3), lt(0.02), "{needed} of {named}");
    }
}

#[gtest]
fn a_slow_query_does_not_pay_for_unlikely_shortfalls() {
    let (quick, slow) = (plan(QUICK, 300, 0).named(7), plan(SLOW, 300, 0).named(7));
    expect_that!(slow, all![gt(7 * 1000 / 300), lt(quick)]);
}

#[gtest]
fn a_round_names_more_workers_where_fewer_are_allowed() {
    let named: Vec<usize> = [900, 600, 300, 100].map(|share| plan(QUICK, share, 0).named(2)).into();
    expect_that!(named.is_sorted() && named[0] < named[3], eq(true), "{named:?}");
}

#[gtest]
fn a_round_names_at_most_what_its_queries_can_carry() {
    expect_that!(plan(SLOW, 50, 0).named(80), eq(MAX_NAMED));
    expect_that!(plan(SLOW, 50, 2 * IDLE_PER_QUERY).named(80), eq(3 * MAX_NAMED));
    // All are allowed; some have no room left when the answer arrives.
    expect_that!(plan(QUICK, 1000, 0).named(5), le(3 * 5));
    expect_that!(plan(QUICK, 300, 0).named(0), eq(0));
}

#[gtest]
fn a_long_list_is_spread_over_idle_daemons_only() {
    expect_that!(plan(SLOW, 300, 0).queries(70), eq(1));
    expect_that!(plan(SLOW, 300, 40).queries(70), all![gt(1), le(6)]);
    expect_that!(plan(SLOW, 300, 0).queries(101), eq(2));
    expect_that!(plan(QUICK, 300, 90).queries(12), eq(1));
    expect_that!(plan(QUICK, 300, 90).queries(0), eq(1));
}

#[gtest]
fn times_of_zero_and_without_bound_give_a_plan() {
    for (answer_us, worker_us) in [(0, 0), (0, u64::MAX), (u64::MAX / 2, u64::MAX)] {
        let timing = AdvisorTiming { answer_us, worker_us, valid_ms: Millis::ZERO };
        let plan = plan(timing, 300, 100);
        expect_that!(plan.named(3), ge(3));
        expect_that!(plan.queries(50), ge(1));
    }
}
