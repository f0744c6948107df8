use super::*;
use crate::contract::class::Class;
use crate::contract::configuration::Patch;
use crate::contract::kind::{Kind, Separation, Shape};
use crate::contract::team::Team;
use googletest::prelude::*;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// Returns a configuration with the kind `k` and the team `t` with a quota of 4 cores.
fn configuration() -> Configuration {
    let kind = Kind {
        name: name("k"),
        shape: Shape::Batch,
        separation: Separation::Move,
        class: Class::Normal,
        attempts: 1,
    };
    let team = Team { name: name("t"), weight: 1, quota: Capacity::new(4000, 4, 0) };
    let patch = Patch { kinds: vec![kind], teams: vec![team], ..Patch::default() };
    Configuration::default().patched(&patch).unwrap()
}

fn places(configuration: &Configuration, usages: &[Usage]) -> Vec<String> {
    let findings = configuration.consequences(usages);
    findings.as_slice().iter().map(|f| f.place.clone()).collect()
}

#[gtest]
fn work_that_fits_has_no_consequence() {
    let (team, kind) = (name("t"), name("k"));
    let usage = Usage { team: &team, kind: &kind, tasks: 2, taken: Capacity::new(4000, 4, 0) };
    expect_that!(places(&configuration(), &[usage]), is_empty());
}

#[gtest]
fn a_quota_below_the_usage_is_reported() {
    let (team, kind) = (name("t"), name("k"));
    let usage = Usage { team: &team, kind: &kind, tasks: 1, taken: Capacity::new(2001, 1, 0) };
    expect_that!(places(&configuration(), &[usage, usage]), elements_are![eq("teams.t.quota")]);
}

#[gtest]
fn a_removed_kind_or_team_with_running_tasks_is_reported() {
    let (team, kind) = (name("t"), name("k"));
    let usage = Usage { team: &team, kind: &kind, tasks: 1, taken: Capacity::new(1, 1, 0) };
    let patch = Patch {
        remove_kinds: vec![kind.clone()],
        remove_teams: vec![team.clone()],
        ..Patch::default()
    };
    let next = configuration().patched(&patch).unwrap();
    expect_that!(places(&next, &[usage]), elements_are![eq("kinds.k"), eq("teams.t")]);
}
