//! Tests of quotas, rates and shares of teams.

use super::{Accounts, Arrival};
use crate::clock::Millis;
use crate::contract::roster::{Raw, Roster};
use crate::contract::work::Id;
use crate::machine::capacity::Capacity;
use crate::name::Name;
use googletest::prelude::*;

const CORE: Capacity = Capacity::new(1000, 1024, 0);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Returns the accounts of teams with a weight and a quota of cores each.
fn accounts(teams: &[(&str, u32, u64)]) -> Accounts {
    let raw = |(name, weight, cores): &(&str, u32, u64)| Raw {
        name: (*name).into(),
        weight: *weight,
        quota: CORE.times(*cores),
        keys: vec![format!("key-of-{name}")],
    };
    let roster = Roster::try_from(teams.iter().map(raw).collect::<Vec<_>>()).unwrap();
    let mut accounts = Accounts::default();
    accounts.update(&roster);
    accounts
}

fn arrivals(team: &str, ids: std::ops::Range<u64>, at: Millis) -> Vec<Arrival> {
    ids.map(|id| Arrival { at, job: Id(id), team: name(team) }).collect()
}

#[gtest]
fn a_team_may_start_what_its_quota_leaves() {
    let mut accounts = accounts(&[("wards", 1, 4)]);
    let wards = name("wards");
    expect_that!(accounts.headroom(Some(&wards), &CORE), eq(4));
    accounts.add(&wards, &CORE.times(3));
    expect_that!(accounts.headroom(Some(&wards), &CORE), eq(1));
    expect_that!(accounts.headroom(Some(&wards), &CORE.times(2)), eq(0));
    expect_that!(accounts.may_ever_run(Some(&wards), &CORE.times(4)), eq(true));
    expect_that!(accounts.may_ever_run(Some(&wards), &CORE.times(5)), eq(false));
    accounts.remove(&wards, &CORE);
    expect_that!(accounts.headroom(Some(&wards), &CORE), eq(2));
}

#[gtest]
fn a_lower_quota_lets_nothing_start_until_the_rest_fits() {
    let mut accounts = accounts(&[("wards", 1, 4)]);
    let wards = name("wards");
    accounts.add(&wards, &CORE.times(4));
    let raw = Raw { name: "wards".into(), weight: 1, quota: CORE.times(2), keys: Vec::new() };
    accounts.update(&Roster::try_from(vec![raw]).unwrap());
    expect_that!(accounts.headroom(Some(&wards), &CORE), eq(0));
    accounts.remove(&wards, &CORE.times(2));
    expect_that!(accounts.headroom(Some(&wards), &CORE), eq(0));
    accounts.remove(&wards, &CORE);
    expect_that!(accounts.headroom(Some(&wards), &CORE), eq(1));
}

#[gtest]
fn without_a_configuration_no_team_starts_anything_and_work_without_a_team_does() {
    let accounts = Accounts::default();
    expect_that!(accounts.headroom(Some(&name("wards")), &CORE), eq(0));
    expect_that!(accounts.headroom(None, &CORE), eq(usize::MAX));
}

#[gtest]
fn a_removed_team_keeps_its_quota_for_the_jobs_that_it_has() {
    let mut accounts = accounts(&[("wards", 1, 4)]);
    accounts.update(&Roster::default());
    expect_that!(accounts.headroom(Some(&name("wards")), &CORE), eq(4));
}

/// The load: a team sends eight times its rate for 3 s, another one half of its own.
#[gtest]
fn what_a_team_sends_beyond_its_rate_is_not_owed() {
    let mut accounts = accounts(&[("hot", 5, 100), ("calm", 4, 100)]);
    let start = Millis::from_secs(1000);
    accounts.judge(arrivals("calm", 1000..1001, start));
    for tick in 0..30 {
        let at = start + Millis(tick * 100);
        accounts.judge(arrivals("hot", tick * 4..tick * 4 + 4, at));
        if tick % 5 == 0 {
            accounts.judge(arrivals("calm", 2000 + tick..2001 + tick, at));
        }
    }
    let owed = (0..120).filter(|id| !accounts.is_beyond(Id(*id))).count();
    // Five a second, and five that it had saved up.
    expect_that!(owed, all![ge(15), le(20)]);
    expect_that!((2000..2030).any(|id| accounts.is_beyond(Id(id))), eq(false));
}

/// The log could not be read for 4 s, so that all jobs of that time arrive at once.
#[gtest]
fn jobs_that_were_sent_during_an_outage_are_owed_for_its_whole_time() {
    let mut accounts = accounts(&[("wards", 5, 100)]);
    let start = Millis::from_secs(1000);
    accounts.judge(arrivals("wards", 0..1, start));
    accounts.judge(arrivals("wards", 1..31, start + Millis::from_secs(4)));
    let owed = (1..31).filter(|id| !accounts.is_beyond(Id(*id))).count();
    expect_that!(owed, eq(20));
}

#[gtest]
fn a_share_is_that_of_the_resource_of_which_a_team_uses_most() {
    let mut accounts = accounts(&[("wards", 1, 100), ("ferries", 3, 100), ("idle", 9, 100)]);
    let whole = Capacity::new(100_000, 100_000, 0);
    accounts.add(&name("wards"), &Capacity::new(10_000, 30_000, 0));
    accounts.add(&name("ferries"), &Capacity::new(70_000, 10_000, 0));
    accounts.update_shares(&whole, std::iter::empty());
    expect_that!(accounts.is_over_share(Some(&name("wards"))), eq(true));
    expect_that!(accounts.is_over_share(Some(&name("ferries"))), eq(false));
    expect_that!(accounts.is_over_share(None), eq(false));
    accounts.update_shares(&whole, [name("idle")].iter());
    expect_that!(accounts.is_over_share(Some(&name("ferries"))), eq(true));
}

#[gtest]
fn shares_beyond_the_rate_are_of_the_jobs_since_the_last_call() {
    let mut accounts = accounts(&[("calm", 10, 4), ("hot", 10, 4)]);
    let mut sent = arrivals("hot", 0..40, Millis(5000));
    sent.extend(arrivals("calm", 100..105, Millis(5000)));
    accounts.judge(sent);
    expect_that!(accounts.beyond_shares(), elements_are![eq(&(name("hot"), 75))]);
    accounts.judge(arrivals("hot", 40..45, Millis(6000)));
    expect_that!(accounts.beyond_shares(), is_empty());
}
