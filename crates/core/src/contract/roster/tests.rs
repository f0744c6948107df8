//! Tests of the validation of teams and keys.

use super::{Raw, Roster};
use crate::machine::capacity::Capacity;
use crate::name::Name;
use googletest::prelude::*;

fn raw(name: &str, keys: &[&str]) -> Raw {
    let keys = keys.iter().map(|k| (*k).into()).collect();
    Raw { name: name.into(), weight: 2, quota: Capacity::new(4000, 4096, 0), keys }
}

fn places(teams: Vec<Raw>) -> Vec<String> {
    let findings = Roster::try_from(teams).unwrap_err();
    findings.as_slice().iter().map(|f| f.place.clone()).collect()
}

#[gtest]
fn a_key_names_its_team() {
    let roster = Roster::try_from(vec![raw("wards", &["b", "a"]), raw("ferries", &["c"])]).unwrap();
    let team_of = |key| roster.team_of(key).map(|team| team.name.to_string());
    expect_that!(team_of("a"), some(eq("wards")));
    expect_that!(team_of("b"), some(eq("wards")));
    expect_that!(team_of("c"), some(eq("ferries")));
    expect_that!(team_of("d"), none());
    expect_that!(team_of(""), none());
    let wards = Name::try_from("wards").unwrap();
    expect_that!(roster.team(&wards).map(|t| t.weight), some(eq(2)));
}

#[gtest]
fn a_team_may_lose_all_its_keys() {
    let roster = Roster::try_from(vec![raw("wards", &[]), raw("ferries", &["c"])]).unwrap();
    expect_that!((roster.teams().len(), roster.key_count()), eq((2, 1)));
}

#[gtest]
fn a_key_of_two_teams_is_a_finding() {
    let teams = vec![raw("wards", &["a"]), raw("ferries", &["b", "a"])];
    expect_that!(places(teams), elements_are![eq("teams[wards].keys")]);
}

#[gtest]
fn every_finding_is_reported_with_its_team() {
    let teams = vec![raw("a b", &["a"]), raw("wards", &[""]), raw("wards", &["b"])];
    let expected = elements_are![eq("teams[a b]"), eq("teams[wards].keys"), eq("teams[wards]")];
    expect_that!(places(teams), expected);
}

#[gtest]
fn secrets_are_not_in_the_debug_output() {
    let roster = Roster::try_from(vec![raw("wards", &["hunter-2"])]).unwrap();
    expect_that!(format!("{roster:?}"), not(contains_substring("hunter-2")));
}
