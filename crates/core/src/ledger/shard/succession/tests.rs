//! Tests of the time after which the shard may be claimed.

use super::{Standing, Tenure, claim_delay, distance, vacancy_timeout};
use crate::clock::Millis;
use crate::link::response_time::ResponseTime;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Returns what an owner says whose appends succeed.
fn owns() -> Tenure {
    let owner = "127.0.0.1:1".into();
    Tenure { epoch: Some(4), claim: 4, caught_up: true, appends_succeed: true, owner }
}

#[gtest]
fn an_owner_whose_appends_succeed_keeps_its_whole_time() {
    expect_that!(Standing::of(&owns(), 4), eq(Standing::Unknown));
    expect_that!(Standing::Unknown.timeout(&ResponseTime::default()), eq(Millis(1400)));
}

#[gtest]
fn an_owner_that_the_store_refuses_is_replaced_sooner() {
    let failing = Tenure { appends_succeed: false, ..owns() };
    expect_that!(Standing::of(&failing, 4), eq(Standing::Failing));
    let timeout = |standing: Standing| standing.timeout(&ResponseTime::default());
    expect_that!(timeout(Standing::Failing), lt(timeout(Standing::Unknown)));
    // Two liveness records may be late before it counts.
    expect_that!(timeout(Standing::Failing), gt(Millis(2 * 300)));
}

/// A process that starts again at the owner's address does not own the shard under the old claim.
#[gtest]
fn a_restarted_owner_is_replaced_at_once() {
    let restarted = Tenure { epoch: None, claim: 0, caught_up: false, ..owns() };
    expect_that!(Standing::of(&restarted, 4), eq(Standing::Disowned));
    expect_that!(Standing::Disowned.timeout(&ResponseTime::default()), eq(Millis::ZERO));
}

#[gtest]
fn an_owner_that_has_not_read_its_own_claim_yet_is_not_replaced() {
    let claiming = Tenure { epoch: None, claim: 3, ..owns() };
    expect_that!(Standing::of(&claiming, 4), eq(Standing::Unknown));
    let released = Tenure { epoch: None, claim: 4, ..owns() };
    expect_that!(Standing::of(&released, 4), eq(Standing::Disowned));
}

/// While reads take long, records of a sound owner arrive late.
#[gtest]
fn a_slow_store_lengthens_every_wait_for_records() {
    let mut slow = ResponseTime::default();
    slow.record(Millis(400));
    for standing in [Standing::Unknown, Standing::Failing, Standing::Absent] {
        let usual = standing.timeout(&ResponseTime::default());
        expect_that!(standing.timeout(&slow), eq(usual + Millis(1200)));
    }
}

/// Returns the claim delays of the daemons of a large site, 18 large and 79 small ones, in ascending
/// order, each with whether the daemon is small.
fn delays(response_time: &ResponseTime, seed: u64) -> Vec<(Millis, bool)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let takeover = |is_small| if is_small { Millis(630) } else { Millis(40) };
    let mut delays: Vec<(Millis, bool)> = (0..97)
        .map(|i| i >= 18)
        .map(|small| (claim_delay(takeover(small), random.random(), response_time), small))
        .collect();
    delays.sort_unstable();
    delays
}

/// Regression: the owner was stopped while the store was slow, and nearly all daemons claimed before
/// they could see the first claim. The queue of claims kept all appends waiting, and a small daemon owned
/// the shard for 5 s (large trouble-2: three windows of 2 s at 0.15 to 0.26).
#[gtest]
fn few_daemons_claim_before_they_can_see_the_first_claim() {
    for read in [65, 200, 400, 1000] {
        let mut response_time = ResponseTime::default();
        response_time.record(Millis(read));
        let delays = delays(&response_time, read);
        let (first, is_small) = delays[0];
        expect_that!(is_small, eq(false));
        expect_that!(first, le(Millis(40) + Millis(read).times(6)));
        let seen = first + Millis(read).times(2);
        let small = delays.iter().filter(|(at, is_small)| *is_small && *at <= seen).count();
        expect_that!(small, eq(0), "{read} ms");
    }
    let mut slow = ResponseTime::default();
    slow.record(Millis(400));
    let early = |seed| {
        let delays = delays(&slow, seed);
        let seen = delays[0].0 + Millis(800);
        delays.iter().filter(|(at, _)| *at <= seen).count()
    };
    let claims: usize = (0..20).map(early).sum();
    expect_that!(claims, le(20 * 5), "five claims on average");
}

#[gtest]
fn a_claim_is_not_delayed_by_more_than_its_usual_stagger_while_the_store_is_quick() {
    for nonce in [0, 1, 119, u64::MAX] {
        let delay = claim_delay(Millis(40), nonce, &ResponseTime::default());
        expect_that!(delay, all![ge(Millis(40)), lt(Millis(160))]);
    }
}

#[gtest]
fn the_distance_from_the_store_delays_a_claim_by_no_more_than_the_usual_stagger() {
    expect_that!(distance(None), eq(Millis::ZERO));
    expect_that!(distance(Some(Millis(2))), eq(Millis(4)));
    expect_that!(distance(Some(Millis(5000))), eq(Millis(120)));
    // A shard that nobody has released is claimed at once.
    expect_that!(vacancy_timeout(false), eq(Millis::ZERO));
    expect_that!(vacancy_timeout(true), lt(Standing::Absent.timeout(&ResponseTime::default())));
}
