//! Tests of the time after which the shard may be claimed.

use super::{Standing, Tenure};
use crate::clock::Millis;
use crate::link::response_time::ResponseTime;
use googletest::prelude::*;

const OWNS: Tenure = Tenure { epoch: Some(4), claim: 4, caught_up: true, appends_succeed: true };

#[gtest]
fn an_owner_whose_appends_succeed_keeps_its_whole_time() {
    expect_that!(Standing::of(&OWNS, 4), eq(Standing::Unknown));
    expect_that!(Standing::Unknown.timeout(&ResponseTime::default()), eq(Millis(1400)));
}

#[gtest]
fn an_owner_that_the_store_refuses_is_replaced_sooner() {
    let failing = Tenure { appends_succeed: false, ..OWNS };
    expect_that!(Standing::of(&failing, 4), eq(Standing::Failing));
    let timeout = |standing: Standing| standing.timeout(&ResponseTime::default());
    expect_that!(timeout(Standing::Failing), lt(timeout(Standing::Unknown)));
    // Two liveness records may be late before it counts.
    expect_that!(timeout(Standing::Failing), gt(Millis(2 * 300)));
}

/// A process that starts again at the owner's address does not own the shard under the old claim.
#[gtest]
fn a_restarted_owner_is_replaced_at_once() {
    let restarted = Tenure { epoch: None, claim: 0, caught_up: false, appends_succeed: true };
    expect_that!(Standing::of(&restarted, 4), eq(Standing::Disowned));
    expect_that!(Standing::Disowned.timeout(&ResponseTime::default()), eq(Millis::ZERO));
}

#[gtest]
fn an_owner_that_has_not_read_its_own_claim_yet_is_not_replaced() {
    let claiming = Tenure { epoch: None, claim: 3, ..OWNS };
    expect_that!(Standing::of(&claiming, 4), eq(Standing::Unknown));
    let released = Tenure { epoch: None, claim: 4, ..OWNS };
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
