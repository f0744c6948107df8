//! Tests that the observer detects each kind of violated guarantee.

use super::Observer;
use crate::testing::{name, task};
use googletest::prelude::*;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::Ending;

const NEEDS: Capacity = Capacity::new(600, 10, 0);
const CAPACITY: Capacity = Capacity::new(1000, 100, 0);

#[gtest]
fn overlapping_runs_of_a_task_are_double_runs() {
    let observer = Observer::default();
    observer.attempt_started((&task("a"), 1), &NEEDS, &name("w1"), &CAPACITY);
    observer.attempt_started((&task("a"), 2), &NEEDS, &name("w2"), &CAPACITY);
    expect_that!(observer.double_runs(), len(eq(1)));
}

#[gtest]
fn consecutive_runs_of_a_task_are_not_double_runs() {
    let observer = Observer::default();
    let done = Ending::Completed("ok".into());
    observer.attempt_started((&task("a"), 1), &NEEDS, &name("w1"), &CAPACITY);
    observer.attempt_ended((&task("a"), 1), &name("w1"), Some(&Ending::Lapsed));
    observer.attempt_started((&task("a"), 2), &NEEDS, &name("w1"), &CAPACITY);
    observer.attempt_ended((&task("a"), 2), &name("w1"), Some(&done));
    expect_that!(observer.double_runs(), is_empty());
    expect_that!(observer.over_capacity(), is_empty());
    let tasks = [task("a"), task("b")];
    expect_that!(observer.incomplete(&tasks), elements_are![eq(&&task("b"))]);
}

#[gtest]
fn exceeding_the_capacity_of_a_worker_is_recorded() {
    let observer = Observer::default();
    observer.attempt_started((&task("a"), 1), &NEEDS, &name("w1"), &CAPACITY);
    observer.attempt_started((&task("b"), 1), &NEEDS, &name("w1"), &CAPACITY);
    let excess = observer.over_capacity().pop().unwrap();
    expect_that!(excess.taken.cpu_milli, eq(1200));
}

#[gtest]
fn repeated_executions_are_counted() {
    let observer = Observer::default();
    for attempt in ["q.1", "q.2"] {
        observer.execution_started(&name("q"), &name(attempt), &name("r1"));
        observer.execution_ended(&name("q"), &name(attempt), &name("r1"));
    }
    expect_that!(observer.summary().repeated_requests, eq(1));
    expect_that!(observer.slot_usage()[0].most_slots, eq(1));
}
