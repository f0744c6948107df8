use super::*;
use googletest::prelude::*;

const TOTAL: Capacity = Capacity::new(100, 100, 0);

fn cores(count: u64) -> Capacity {
    Capacity::new(count, count, 0)
}

fn fleet(free: u64) -> Fleet {
    let shares = Shares { urgent: 30, normal: 40, deferrable: 10 };
    let weights = Weights { waiting: 100, ..Weights::default() };
    Fleet { shares, weights, total: TOTAL, free: cores(free) }
}

#[gtest]
fn a_class_may_always_use_its_share() {
    let mut usage = Usage::default();
    usage.take(Class::Deferrable, &cores(70), true);
    expect_that!(usage.allows(Class::Urgent, &cores(30), false, &fleet(30)), eq(true));
    expect_that!(usage.is_below(Class::Urgent, &fleet(30)), eq(true));
    expect_that!(usage.is_below(Class::Deferrable, &fleet(30)), eq(false));
}

#[gtest]
fn work_that_can_not_give_back_stays_out_of_the_shares_of_others() {
    let mut usage = Usage::default();
    expect_that!(usage.allows(Class::Normal, &cores(60), false, &fleet(100)), eq(true));
    expect_that!(usage.allows(Class::Normal, &cores(61), false, &fleet(100)), eq(false));
    expect_that!(usage.allows(Class::Normal, &cores(61), true, &fleet(100)), eq(true));
    usage.take(Class::Urgent, &cores(35), false);
    expect_that!(usage.allows(Class::Normal, &cores(55), false, &fleet(65)), eq(true));
    expect_that!(usage.allows(Class::Normal, &cores(56), false, &fleet(65)), eq(false));
}

#[gtest]
fn what_a_class_used_lately_is_kept_for_a_while() {
    let mut usage = Usage::default();
    usage.tick(Millis(0));
    usage.take(Class::Urgent, &cores(10), true);
    usage.give(Class::Urgent, &cores(10), true);
    expect_that!(usage.allows(Class::Deferrable, &cores(88), true, &fleet(100)), eq(true));
    expect_that!(usage.allows(Class::Deferrable, &cores(89), true, &fleet(100)), eq(false));
    usage.tick(PEAK_HALF_LIFE);
    expect_that!(usage.allows(Class::Deferrable, &cores(94), true, &fleet(100)), eq(true));
    usage.tick(PEAK_HALF_LIFE.times(1000));
    expect_that!(usage.allows(Class::Deferrable, &cores(100), true, &fleet(100)), eq(true));
}

#[gtest]
fn nothing_is_kept_when_waiting_time_has_no_weight() {
    let mut usage = Usage::default();
    usage.take(Class::Urgent, &cores(10), true);
    usage.give(Class::Urgent, &cores(10), true);
    let mut fleet = fleet(100);
    fleet.weights.waiting = 0;
    expect_that!(usage.allows(Class::Deferrable, &cores(100), true, &fleet), eq(true));
}

#[gtest]
fn peers_count_until_they_fall_silent() {
    let mut usage = Usage::default();
    let mut totals = Totals::default();
    totals.used[Class::Urgent.index()] = cores(30);
    totals.waiting[Class::Urgent.index()] = cores(5);
    let peer = Name::try_from("p").unwrap();
    usage.gossip(&peer, &totals, Millis(0));
    usage.gossip(&peer, &totals, Millis(1));
    expect_that!(usage.used(Class::Urgent), eq(cores(30)));
    expect_that!(usage.waiting_at_peers(Class::Urgent), eq(cores(5)));
    expect_that!(usage.is_below(Class::Urgent, &fleet(70)), eq(false));
    usage.tick(Millis(2) + GOSSIP_LIFE);
    expect_that!(usage.used(Class::Urgent), eq(Capacity::ZERO));
}
