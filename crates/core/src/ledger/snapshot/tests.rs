use super::*;
use googletest::prelude::*;

const HOUR: Millis = Millis::from_secs(3600);

#[gtest]
fn a_snapshot_is_written_four_times_in_the_retention() {
    let last = |at| Some(Written { next: 5, at });
    expect_false!(is_due(None, 0, HOUR, Millis::ZERO));
    expect_true!(is_due(None, 1, HOUR, Millis::ZERO));
    expect_false!(is_due(last(HOUR), 9, HOUR, HOUR + Millis::from_secs(899)));
    expect_true!(is_due(last(HOUR), 5, HOUR, HOUR + Millis::from_secs(900)));
}

#[gtest]
fn a_view_goes_on_only_without_a_gap() {
    expect_that!(check(5, 5), ok(eq(())));
    expect_that!(check(5, 6), err(eq(Gap { next: 5, first: 6 })));
}

#[gtest]
fn parts_give_the_whole_in_any_order_and_with_duplicates() {
    let bytes: Vec<u8> = (0..=9).collect();
    let parts = split(3, &bytes, 4);
    expect_that!(parts.len(), eq(3));
    let mut assembly = Assembly::default();
    for i in [2, 0, 2, 0, 1, 1] {
        assembly.take(parts[i].clone());
    }
    expect_that!(assembly.newest(), some(eq((3, bytes.as_slice()))));
}

#[gtest]
fn an_older_or_unfinished_snapshot_does_not_replace_a_newer_one() {
    let mut assembly = Assembly::default();
    split(9, b"new", 8).into_iter().for_each(|part| assembly.take(part));
    split(4, b"old", 8).into_iter().for_each(|part| assembly.take(part));
    assembly.take(split(12, b"half", 2)[0].clone());
    expect_that!(assembly.newest(), some(eq((9, b"new".as_slice()))));
}

#[gtest]
fn an_encoded_snapshot_is_the_same_again() {
    let mut fleet = Fleet::default();
    fleet.next = 3;
    let snapshot = Snapshot::Fleet(fleet);
    let bytes = rmp_serde::to_vec_named(&snapshot).unwrap();
    let again: Snapshot = rmp_serde::from_slice(&bytes).unwrap();
    expect_that!(again, eq(&snapshot));
    expect_that!(again.next(), eq(3));
}
