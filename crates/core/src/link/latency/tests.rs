use super::Window;
use crate::clock::Millis;
use googletest::prelude::*;

#[gtest]
fn quantiles_cover_only_recent_latencies() {
    let mut window = Window::default();
    (1..=15).for_each(|ms| window.record(Millis(ms)));
    expect_that!(window.quantile(950), none());
    (16..=100).for_each(|ms| window.record(Millis(ms)));
    expect_that!(window.quantile(950), some(eq(Millis(95))));
    expect_that!(window.mean(), some(eq(Millis(51))));
    (0..128).for_each(|_| window.record(Millis(7)));
    expect_that!(window.quantile(999), some(eq(Millis(7))));
}
