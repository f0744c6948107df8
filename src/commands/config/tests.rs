use super::{difference, rebuild, write_history};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::configuration::{Configuration, Patch};
use pimentovalve_core::ledger::history::Entry;
use pimentovalve_core::name::Name;

fn entry(version: u64, patch: &str) -> Entry {
    Entry {
        version,
        offset: version - 1,
        at: Millis(1000 * version),
        operator: Name::try_from("rosa").unwrap(),
        patch: toml::from_str::<Patch>(patch).unwrap(),
    }
}

fn history() -> Vec<Entry> {
    vec![
        entry(1, "[[services]]\nname = 'buoycheck'\n[[services]]\nname = 'ferry'"),
        entry(
            2,
            "remove_services = ['ferry']\n[[services]]\nname = 'buoycheck'\nrunner = { slots = 4, connections = 8 }",
        ),
        entry(3, "shares = { urgent = 50, normal = 20, deferrable = 10 }"),
    ]
}

#[gtest]
fn rebuilds_earlier_versions_from_the_history() {
    let second = rebuild(&history(), 2).unwrap();
    expect_that!(second.version, eq(2));
    expect_that!(second.services.len(), eq(1));
    expect_that!(second.shares, eq(Configuration::default().shares));
    expect_that!(rebuild(&history(), 0).unwrap(), eq(&Configuration::default()));
    expect_that!(rebuild(&history(), 4), err(anything()));
    expect_that!(rebuild(&history()[1..], 2), err(anything()));
}

#[gtest]
fn history_lists_operator_time_and_changes_of_each_version() {
    let mut out = Vec::new();
    write_history(&mut out, &history()).unwrap();
    let text = String::from_utf8(out).unwrap();
    expect_that!(text, contains_substring("version 2 by rosa at 2000 ms, offset 1"));
    expect_that!(text, contains_substring("  - service ferry"));
    expect_that!(text, contains_substring("\"slots\":8"));
    expect_that!(text, contains_substring("  ~ shares"));
}

#[gtest]
fn equal_versions_have_no_differences() {
    let same = rebuild(&history(), 3).unwrap();
    expect_that!(difference::lines(&same, &same).len(), eq(0));
}
