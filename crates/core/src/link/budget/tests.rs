use super::{Budget, Config};
use crate::clock::Millis;
use googletest::prelude::*;

const CONFIG: Config = Config { per_mille: 200, per_second: 0, burst: 3 };

#[gtest]
fn retries_are_limited_to_a_fraction_of_first_attempts() {
    let mut budget = Budget::new(CONFIG);
    let burst = (0..10).filter(|_| budget.spend(Millis(1))).count();
    expect_that!(burst, eq(3));
    let mut retries = 0;
    for _ in 0..100 {
        budget.earn();
        retries += usize::from(budget.spend(Millis(1)));
    }
    expect_that!(retries, eq(20));
}

#[gtest]
fn retries_are_allowed_without_first_attempts() {
    let mut budget = Budget::new(Config { per_second: 1, ..CONFIG });
    while budget.spend(Millis(0)) {}
    expect_that!(budget.spend(Millis(999)), eq(false));
    expect_that!(budget.spend(Millis(1001)), eq(true));
    expect_that!(budget.spend(Millis(1998)), eq(false));
    expect_that!(budget.spend(Millis(2001)), eq(true));
}
