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

/// Returns a usage with two teams of equal weight.
fn usage() -> Usage {
    let mut usage = Usage::default();
    usage.set_weight(0, 1);
    usage.set_weight(1, 1);
    usage
}

fn use_capacity(usage: &mut Usage, class: Class, team: u16, count: u64) {
    usage.add_used(class, team, &cores(count), true);
    usage.refresh(&fleet(100));
}

#[gtest]
fn a_team_may_always_use_its_part() {
    let mut usage = usage();
    use_capacity(&mut usage, Class::Deferrable, 0, 70);
    expect_that!(usage.allows(Class::Urgent, 1, &cores(30), false, &fleet(30)), eq(true));
    expect_that!(usage.is_within(Class::Urgent, 1, &cores(30), &fleet(30)), eq(true));
    expect_that!(usage.is_within(Class::Deferrable, 0, &cores(0), &fleet(30)), eq(false));
}

#[gtest]
fn active_teams_split_the_share_of_a_class_by_weight() {
    let mut usage = usage();
    use_capacity(&mut usage, Class::Urgent, 0, 1);
    expect_that!(usage.is_within(Class::Urgent, 0, &cores(29), &fleet(99)), eq(true));
    use_capacity(&mut usage, Class::Urgent, 1, 1);
    expect_that!(usage.is_within(Class::Urgent, 0, &cores(14), &fleet(98)), eq(true));
    expect_that!(usage.is_within(Class::Urgent, 0, &cores(15), &fleet(98)), eq(false));
    usage.set_weight(0, 2);
    usage.refresh(&fleet(98));
    expect_that!(usage.is_within(Class::Urgent, 0, &cores(19), &fleet(98)), eq(true));
}

#[gtest]
fn non_preemptible_work_does_not_use_the_shares_of_others() {
    let mut usage = usage();
    let firm =
        |usage: &Usage, count| usage.allows(Class::Normal, 0, &cores(count), false, &fleet(100));
    expect_that!(firm(&usage, 60), eq(true));
    expect_that!(firm(&usage, 61), eq(false));
    expect_that!(usage.allows(Class::Normal, 0, &cores(61), true, &fleet(100)), eq(true));
    usage.add_used(Class::Urgent, 1, &cores(35), false);
    expect_that!(firm(&usage, 55), eq(true));
    expect_that!(firm(&usage, 56), eq(false));
}

#[gtest]
fn recent_usage_of_a_team_is_held_back_for_a_while() {
    let mut usage = usage();
    usage.tick(Millis(0));
    use_capacity(&mut usage, Class::Urgent, 0, 10);
    usage.remove_used(Class::Urgent, 0, &cores(10), true);
    usage.refresh(&fleet(100));
    let allows =
        |usage: &Usage, count| usage.allows(Class::Deferrable, 1, &cores(count), true, &fleet(100));
    expect_that!(allows(&usage, 88), eq(true));
    expect_that!(allows(&usage, 89), eq(false));
    usage.tick(PEAK_HALF_LIFE);
    usage.refresh(&fleet(100));
    expect_that!(allows(&usage, 94), eq(true));
    for round in 2..10 {
        usage.tick(PEAK_HALF_LIFE.times(round));
    }
    usage.refresh(&fleet(100));
    expect_that!(allows(&usage, 100), eq(true));
}

#[gtest]
fn capacity_is_held_back_from_a_team_beyond_its_part_in_the_same_class() {
    let mut usage = usage();
    use_capacity(&mut usage, Class::Urgent, 0, 10);
    use_capacity(&mut usage, Class::Urgent, 1, 40);
    usage.remove_used(Class::Urgent, 0, &cores(10), true);
    usage.refresh(&fleet(60));
    expect_that!(usage.allows(Class::Urgent, 1, &cores(49), true, &fleet(60)), eq(false));
    expect_that!(usage.allows(Class::Urgent, 1, &cores(48), true, &fleet(60)), eq(true));
}

#[gtest]
fn nothing_is_held_back_when_waiting_time_has_no_weight() {
    let mut usage = usage();
    usage.add_used(Class::Urgent, 0, &cores(10), true);
    usage.remove_used(Class::Urgent, 0, &cores(10), true);
    let mut fleet = fleet(100);
    fleet.weights.waiting = 0;
    usage.refresh(&fleet);
    expect_that!(usage.allows(Class::Deferrable, 1, &cores(100), true, &fleet), eq(true));
}

#[gtest]
fn waiting_work_is_needy_as_far_as_its_team_is_within_its_part() {
    let mut usage = usage();
    usage.add_waiting(Class::Urgent, 0, &cores(1), 1, 50);
    usage.refresh(&fleet(100));
    expect_that!(usage.totals().needy[0], eq(cores(30)));
    expect_that!(usage.is_needy(Class::Urgent), eq(true));
    expect_that!(usage.is_needy(Class::Normal), eq(false));
    use_capacity(&mut usage, Class::Urgent, 0, 30);
    expect_that!(usage.is_needy(Class::Urgent), eq(false));
    usage.remove_waiting(Class::Urgent, 0, &cores(1), 1, 50);
    expect_that!(usage.account(Class::Urgent, 0).tasks, eq(0));
}

#[gtest]
fn totals_of_peers_count_until_they_expire() {
    let mut usage = usage();
    let mut totals = Totals::default();
    let urgent = Class::Urgent.index();
    totals.used[urgent] = cores(30);
    totals.needy[urgent] = cores(5);
    totals.likely[urgent] = cores(5);
    totals.weights[urgent] = 2;
    let peer = Name::try_from("p").unwrap();
    usage.update_peer_totals(&peer, &totals, Millis(0));
    usage.update_peer_totals(&peer, &totals, Millis(1));
    use_capacity(&mut usage, Class::Urgent, 0, 1);
    expect_that!(usage.used(Class::Urgent), eq(cores(31)));
    expect_that!(usage.needy_at_peers(Class::Urgent), eq(cores(5)));
    expect_that!(usage.is_within(Class::Urgent, 0, &cores(9), &fleet(69)), eq(true));
    expect_that!(usage.is_within(Class::Urgent, 0, &cores(10), &fleet(69)), eq(false));
    expect_that!(usage.allows(Class::Normal, 0, &cores(65), true, &fleet(69)), eq(false));
    usage.tick(Millis(2) + GOSSIP_TTL);
    expect_that!(usage.used(Class::Urgent), eq(cores(1)));
}
