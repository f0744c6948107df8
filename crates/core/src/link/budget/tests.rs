use super::{Budget, Config};
use crate::clock::Millis;
use googletest::prelude::*;

const CONFIG: Config = Config { per_mille: 200, per_second: 0, burst: 3 };

#[gtest]
fn further_tries_are_a_fraction_of_first_tries() {
    let mut budget = Budget::new(CONFIG);
    let burst = (0..10).filter(|_| budget.spend(Millis(1))).count();
    expect_that!(burst, eq(3));
    let mut further = 0;
    for _ in 0..100 {
        budget.earn();
        further += usize::from(budget.spend(Millis(1)));
    }
    expect_that!(further, eq(20));
}

#[gtest]
fn a_quiet_system_may_retry() {
    let mut budget = Budget::new(Config { per_second: 1, ..CONFIG });
    while budget.spend(Millis(0)) {}
    expect_that!(budget.spend(Millis(999)), eq(false));
    expect_that!(budget.spend(Millis(1001)), eq(true));
    expect_that!(budget.spend(Millis(1998)), eq(false));
    expect_that!(budget.spend(Millis(2001)), eq(true));
}
