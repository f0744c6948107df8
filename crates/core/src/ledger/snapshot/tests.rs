use super::{Schedule, State, best};
use crate::clock::Millis;
use crate::ledger::Stream;
use crate::ledger::fleet::Fleet;
use crate::ledger::replica::Replica;
use googletest::prelude::*;

fn replica(next: u64) -> State {
    let mut replica = Replica::default();
    replica.next = next;
    State::Replica(replica)
}

#[gtest]
fn the_snapshot_with_the_greatest_offset_is_the_best() {
    let found = best(Stream::Partition(0), [replica(3), replica(9), replica(9), replica(5)]);
    expect_that!(found.map(|s| s.next()), some(eq(9)));
}

#[gtest]
fn a_snapshot_of_another_stream_is_ignored() {
    let mut fleet = Fleet::default();
    fleet.next = 10;
    expect_that!(best(Stream::Partition(0), [State::Fleet(fleet)]), none());
}

#[gtest]
fn a_snapshot_is_repeated_well_before_the_retention_ends() {
    let mut schedule = Schedule::new(Millis(4000));
    expect_that!(schedule.is_due(0, Millis(10)), eq(false));
    expect_that!(schedule.is_due(1, Millis(10)), eq(true));
    schedule.tried(Millis(10));
    expect_that!(schedule.is_due(1, Millis(11)), eq(false));
    schedule.written(1, Millis(10));
    expect_that!(schedule.is_due(2, Millis(900)), eq(false));
    expect_that!(schedule.is_due(1, Millis(1010)), eq(true));
}

#[gtest]
fn many_records_bring_a_snapshot_forward() {
    let mut schedule = Schedule::new(Millis::from_secs(3600));
    schedule.written(1, Millis(0));
    expect_that!(schedule.is_due(4096, Millis(1)), eq(false));
    expect_that!(schedule.is_due(4097, Millis(1)), eq(true));
}
