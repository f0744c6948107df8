use super::*;
use googletest::prelude::*;

#[gtest]
fn the_expected_time_grows_with_the_members_and_follows_the_measured_one() {
    let mut leads = Leads::default();
    expect_that!(leads.expected("seals", 40), eq(Millis::ZERO));
    leads.record("seals", 10, Millis(1000));
    expect_that!(leads.expected("seals", 40), eq(Millis(4000)));
    expect_that!(leads.expected("lookups", 40), eq(Millis::ZERO));
    for _ in 0..60 {
        leads.record("seals", 20, Millis(1000));
    }
    expect_that!(leads.expected("seals", 40).get(), all![ge(2000), le(2010)]);
}
