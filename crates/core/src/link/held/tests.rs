use super::Held;
use crate::clock::Millis;
use googletest::prelude::*;

#[gtest]
fn the_most_urgent_call_is_taken_first_and_equal_ones_in_order() {
    let mut held = Held::new(8);
    for (deadline, call) in [(30, 'a'), (10, 'b'), (30, 'c'), (20, 'd')] {
        expect_that!(held.put(Millis(deadline), call), ok(anything()));
    }
    expect_that!(held.next_deadline(), some(eq(Millis(10))));
    let order: Vec<char> = std::iter::from_fn(|| held.pop()).collect();
    expect_that!(order, eq(&vec!['b', 'd', 'a', 'c']));
}

#[gtest]
fn a_full_queue_returns_the_call() {
    let mut held = Held::new(1);
    expect_that!(held.put(Millis(30), 'a'), ok(anything()));
    expect_that!(held.put(Millis(10), 'b'), err(eq('b')));
    expect_that!(held.len(), eq(1));
}

#[gtest]
fn only_calls_that_are_due_are_let_go() {
    let mut held = Held::new(8);
    for deadline in [10, 20, 30] {
        expect_that!(held.put(Millis(deadline), deadline), ok(anything()));
    }
    let due: Vec<u64> = std::iter::from_fn(|| held.pop_due(Millis(20))).collect();
    expect_that!(due, eq(&vec![10, 20]));
    expect_false!(held.is_empty());
}
