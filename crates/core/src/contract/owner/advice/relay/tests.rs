//! Tests of the choice of the daemon that carries a query.

use super::{Booking, Relays};
use crate::clock::Millis;
use googletest::prelude::*;

const QUICK: Millis = Millis(18);
const SLOW: Millis = Millis(700);
const NOW: Millis = Millis(1000);

fn relays(names: &[&str]) -> Relays {
    let names: Vec<Box<str>> = names.iter().map(|n| (*n).into()).collect();
    let mut relays = Relays::default();
    relays.set(&names);
    relays
}

/// Sends a query and answers it `way` after the advisor has served it.
fn measure(
    relays: &mut Relays,
    takes: Millis,
    way: impl Fn(&str) -> Millis,
    now: Millis,
) -> Booking {
    let booking = relays.book(takes, now).expect("a daemon is free");
    let answered = now + takes + way(&booking.through);
    relays.answered(&booking.through, Some(&booking), answered);
    booking
}

/// Distances of two daemons in the own region and two in others.
fn way(through: &str) -> Millis {
    if through.starts_with("near") { Millis(4) } else { Millis(64) }
}

#[gtest]
fn queries_go_through_near_daemons_once_all_were_measured() {
    let mut relays = relays(&["near-own", "far-1", "far-2", "near-2"]);
    let mut now = NOW;
    for _ in 0..8 {
        measure(&mut relays, QUICK, way, now);
        now = now + Millis(200);
    }
    let names = [0; 2].map(|_| relays.book(QUICK, now).expect("a daemon is free").through);
    expect_that!(names.iter().all(|n| n.starts_with("near")), eq(true), "{names:?}");
}

#[gtest]
fn a_far_daemon_serves_when_the_near_ones_are_busy_for_longer() {
    let mut relays = relays(&["near-own", "far-1"]);
    measure(&mut relays, QUICK, way, NOW);
    measure(&mut relays, SLOW, way, NOW + Millis(300));
    let now = NOW + Millis(2000);
    let through: Vec<_> =
        (0..6).map(|_| relays.book(QUICK, now).expect("a daemon is free").through).collect();
    expect_that!(through[..3].iter().all(|n| **n == *"near-own"), eq(true), "{through:?}");
    expect_that!(through.iter().any(|n| **n == *"far-1"), eq(true), "{through:?}");
}

#[gtest]
fn a_slow_query_neither_queues_nor_uses_the_own_daemon() {
    let mut relays = relays(&["own", "peer"]);
    expect_that!(relays.book(SLOW, NOW).map(|b| b.through), some(eq(&Box::from("peer"))));
    expect_that!(relays.book(SLOW, NOW), none());
    expect_that!(relays.book(QUICK, NOW).map(|b| b.through), some(eq(&Box::from("own"))));
    expect_that!(relays.idle(NOW), eq(0));
}

#[gtest]
fn a_daemon_whose_queries_get_no_answer_is_avoided_for_longer_each_time() {
    let mut relays = relays(&["own", "silent"]);
    let mut now = NOW;
    let mut pauses = Vec::new();
    for _ in 0..5 {
        let booking = relays.book(SLOW, now).expect("the daemon is free");
        now = booking.expected + Millis(700);
        relays.failed(&booking.through, now);
        let since = now;
        while relays.idle(now) == 0 {
            now = now + Millis(100);
        }
        pauses.push(now.since(since).get());
    }
    expect_that!(pauses, elements_are![eq(&800), eq(&1600), eq(&3200), eq(&6400), eq(&6400)]);
    measure(&mut relays, SLOW, way, now);
    let booking = relays.book(SLOW, now + Millis(900)).expect("the daemon is free");
    relays.failed(&booking.through, now + Millis(2000));
    expect_that!(relays.idle(now + Millis(2900)), eq(1));
}

/// An answer may come twice, or after its query was given up.
#[gtest]
fn an_answer_without_booking_measures_nothing() {
    let mut relays = relays(&["own", "peer"]);
    let booking = measure(&mut relays, SLOW, way, NOW);
    relays.answered(&booking.through, None, NOW + Millis(90_000));
    relays.answered("unknown", Some(&booking), NOW + Millis(90_000));
    let next = relays.book(SLOW, NOW + Millis(90_000)).expect("the daemon is free");
    expect_that!(next.expected, eq(NOW + Millis(90_000) + SLOW + way("far")));
}

#[gtest]
fn what_is_known_about_a_daemon_outlasts_a_new_list() {
    let mut relays = relays(&["own", "peer"]);
    measure(&mut relays, SLOW, way, NOW);
    relays.set(&["own".into(), "other".into(), "peer".into()]);
    let through: Vec<_> = (0..2).filter_map(|_| relays.book(SLOW, NOW + SLOW)).collect();
    expect_that!(&*through[0].through, eq("other"));
    expect_that!(through.last().map(|b| b.expected), some(eq(NOW + SLOW + SLOW + Millis(64))));
}
