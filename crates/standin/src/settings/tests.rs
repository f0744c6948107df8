//! Tests of the validation of settings.

use super::Settings;
use googletest::prelude::*;

const VALID: &str = r#"
operator = "127.0.0.1:0"
list_lag_ms = 2000

[retention]
entries = 1000

[[zones]]
region = "lima"
domain = "lima-a"
service = "retention-engine"
workers = 2
capacity = { cpu_milli = 32000, memory_mib = 131072 }

[[entries]]
name = "e1"
place = { region = "lima", domain = "lima-a", rack = "lima-a-r1" }
address = "127.0.0.1:7001"
"#;

fn places(text: &str) -> Vec<String> {
    match Settings::try_from(text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings.as_slice().iter().map(|f| f.place.clone()).collect(),
    }
}

#[gtest]
fn valid_settings_are_accepted() {
    let settings = Settings::try_from(VALID).unwrap();
    expect_that!(settings.plan.zones[0].workers, eq(2));
    expect_that!(settings.plan.retention.entries, eq(1000));
    expect_that!(settings.plan.entries, len(eq(1)));
}

#[gtest]
fn all_mistakes_are_reported_with_their_keys() {
    let text = VALID
        .replace("workers = 2", "workers = -2")
        .replace("32000", "0")
        .replace("entries = 1000", "entires = 1000")
        .replace("127.0.0.1:7001", "here");
    let expected = [
        "retention.entires",
        "zones[0].workers",
        "zones[0].capacity.cpu_milli",
        "entries[0].address",
    ];
    expect_that!(
        places(&text),
        unordered_elements_are![eq(expected[0]), eq(expected[1]), eq(expected[2]), eq(expected[3])]
    );
}

#[gtest]
fn duplicates_and_empty_files_are_reported() {
    let zone = &VALID[VALID.find("[[zones]]").unwrap()..VALID.find("[[entries]]").unwrap()];
    expect_that!(places(&format!("{zone}{zone}")), elements_are![eq("zones[1]")]);
    expect_that!(places(""), elements_are![eq("zones")]);
    expect_that!(places("zones = ["), elements_are![eq("settings")]);
    expect_that!(places("zones = 7"), elements_are![eq("zones")]);
}

#[gtest]
fn the_example_settings_are_valid() {
    let andino = include_str!("../../../../examples/standin-andino.toml");
    let lifebuoy = include_str!("../../../../examples/standin-lifebuoy.toml");
    for text in [andino, lifebuoy] {
        let settings = Settings::try_from(text).unwrap();
        let workers: usize = settings.plan.zones.iter().map(|z| z.workers).sum();
        expect_that!(workers, eq(50));
    }
}
