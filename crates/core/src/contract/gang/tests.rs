use super::*;
use googletest::prelude::*;

const ONE: Capacity = Capacity::new(1000, 1000, 1);

fn opening(at: u64, rank: usize) -> Opening {
    Opening { at: Millis(at), rank, worker: Handle::try_from(rank).unwrap() + 10 }
}

#[gtest]
fn the_earliest_openings_are_reserved_in_the_order_of_names() {
    let openings = vec![opening(9, 0), opening(5, 3), opening(1, 2), opening(3, 3)];
    let plan = Reservation::plan(1, &ONE, 3, openings, Millis(0)).unwrap();
    let parts: Vec<_> = plan.parts.iter().map(|p| (p.worker, p.needs)).collect();
    expect_that!(parts, elements_are![eq(&(12, ONE)), eq(&(13, ONE.times(2)))]);
    expect_that!(plan.starts, eq(Millis(5)));
    expect_that!(plan.on(13), eq(ONE.times(2)));
    expect_that!(plan.on(10), eq(Capacity::ZERO));
}

#[gtest]
fn nothing_is_reserved_for_a_part_of_a_gang() {
    expect_that!(Reservation::plan(1, &ONE, 3, vec![opening(1, 0)], Millis(0)), none());
    expect_that!(Reservation::plan(1, &ONE, 0, vec![], Millis(0)), none());
}

#[gtest]
fn a_reservation_expires_after_its_grace_time_or_maximum_lifetime() {
    let plan = |at| Reservation::plan(1, &ONE, 1, vec![opening(at, 0)], Millis(50)).unwrap();
    expect_that!(plan(100).expires, eq(Millis(100) + GRACE));
    expect_that!(plan(10).starts, eq(Millis(50)));
    expect_that!(plan(10_000_000).expires, eq(Millis(50) + MAX_LIFETIME));
}

#[gtest]
fn back_offs_grow_and_differ_between_gangs() {
    expect_that!(backoff(1, 3), gt(backoff(1, 0)));
    expect_that!(backoff(1, 100), eq(backoff(1, 1000)));
    expect_that!(backoff(1, 2), not(eq(backoff(2, 2))));
}
