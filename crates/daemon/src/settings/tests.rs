use super::{Settings, Timing};
use googletest::prelude::*;
use pimentovalve_core::finding::{Finding, List};
use pimentovalve_core::machine::lease;
use pimentovalve_wire::http::server;

/// A file with only the required keys.
const MINIMAL: &str = r#"name = "entry-1"

[place]
region = "lima"
domain = "lima-a"
rack = "lima-a-1"

[listen]
callers = "10.1.0.1:7100"
operators = "10.1.0.1:7101"
peers = "10.1.0.1:7102"
metrics = "10.1.0.1:7103"

[platform]
log = "10.1.0.9:7000"
list = "10.1.0.9:7001"
"#;

fn places(findings: &List) -> Vec<&str> {
    findings.as_slice().iter().map(|f| f.place.as_str()).collect()
}

/// Returns the findings of the minimal settings with one text replaced.
fn changed(from: &str, to: &str) -> List {
    assert!(MINIMAL.contains(from), "{from} is not in the minimal settings");
    Settings::parse(&MINIMAL.replace(from, to)).expect_err("the change should be refused")
}

/// Returns the findings of the minimal settings with text appended.
fn added(more: &str) -> List {
    Settings::parse(&format!("{MINIMAL}\n{more}")).expect_err("the addition should be refused")
}

#[gtest]
fn minimal_settings_take_the_defaults() {
    let settings = Settings::parse(MINIMAL).unwrap();
    expect_that!(settings.name.as_str(), eq("entry-1"));
    expect_that!(settings.bounds, eq(lease::Bounds::default()));
    expect_that!(settings.timing, eq(Timing::default()));
    expect_that!(settings.limits, eq(server::Limits::default()));
    expect_that!(settings.partitions, eq(16));
    expect_that!(settings.ring, eq(1024));
    expect_that!(settings.log_level.as_str(), eq("info"));
    expect_that!(settings.operator_keys, none());
}

#[gtest]
fn all_mistakes_are_reported_with_key_and_line() {
    let text = MINIMAL.replace("\"10.1.0.1:7100\"", "7100").replace("[place]", "[place]\nrow = 3");
    let text = format!("partitions = 0\n{text}");
    let findings = Settings::parse(&text).unwrap_err();
    expect_that!(
        places(&findings),
        unordered_elements_are![
            eq(&"partitions (line 1)"),
            eq(&"place.row (line 5)"),
            eq(&"listen.callers (line 11)"),
        ]
    );
}

#[gtest]
fn an_empty_file_is_refused_with_the_required_keys() {
    let findings = Settings::parse("").unwrap_err();
    expect_that!(findings.as_slice()[0].place.as_str(), eq("file"));
    expect_that!(findings.as_slice()[0].message, contains_substring("is empty"));
    for place in ["name", "place.region", "listen.peers", "platform.log"] {
        expect_that!(places(&findings), contains(eq(&place)));
    }
}

#[gtest]
fn toml_syntax_errors_are_reported_with_other_mistakes() {
    let findings = Settings::parse("name = \nring = -4\n[place\nregion = 'a'\n").unwrap_err();
    expect_that!(places(&findings), contains(eq(&"line 1")));
    expect_that!(places(&findings), contains(eq(&"ring (line 2)")));
    expect_that!(places(&findings), contains(eq(&"line 3")));
}

#[gtest]
fn duplicate_keys_and_sections_are_refused() {
    expect_that!(places(&added("list = '10.1.0.9:1'")), contains(starts_with("line ")));
    expect_that!(places(&added("[place]\nrack = 'b'")), contains(starts_with("line ")));
}

#[gtest]
fn unknown_keys_are_reported_with_the_known_ones() {
    let findings = added("[timing]\nping_secs = 1");
    let Finding { place, message } = &findings.as_slice()[0];
    expect_that!(place.as_str(), starts_with("timing.ping_secs (line "));
    expect_that!(message, contains_substring("ping_ms"));
}

#[gtest]
fn wrong_types_are_refused() {
    for (more, place) in [
        ("[timing]\nping_ms = '500'", "timing.ping_ms"),
        ("[timing]\nping_ms = 0.5", "timing.ping_ms"),
        ("[timing]\nping_ms = [500]", "timing.ping_ms"),
        ("[bounds]\nskew_ms = true", "bounds.skew_ms"),
        ("[limits]\nconnections = 1979-05-27", "limits.connections"),
    ] {
        expect_that!(places(&added(more)), elements_are![starts_with(place)]);
    }
    expect_that!(places(&changed("\"entry-1\"", "7")), elements_are![starts_with("name")]);
    let findings = Settings::parse("place = 3\nlisten = 'here'\n").unwrap_err();
    expect_that!(places(&findings), contains(eq(&"place (line 1)")));
    expect_that!(places(&findings), contains(eq(&"listen (line 2)")));
}

#[gtest]
fn zero_negative_and_huge_sizes_are_refused() {
    for value in ["0", "-1", "99999999999999999999999999999999999999999999", "0x7fffffffffffffff"] {
        for (section, key) in
            [("limits", "connections"), ("limits", "body_bytes"), ("timing", "heartbeat_ms")]
        {
            let findings = added(&format!("[{section}]\n{key} = {value}"));
            let place = format!("{section}.{key}");
            expect_that!(places(&findings), contains(starts_with(place.as_str())));
        }
    }
}

#[gtest]
fn addresses_are_ip_addresses_and_differ() {
    let findings = changed("10.1.0.1:7100", "entry.example:7100");
    expect_that!(places(&findings), elements_are![starts_with("listen.callers")]);
    let findings = changed("10.1.0.1:7101", "10.1.0.1:7100");
    expect_that!(findings.as_slice()[0].place, eq("listen.operators"));
    expect_that!(findings.as_slice()[0].message, contains_substring("listen.callers"));
    let findings = changed("10.1.0.1:7102", "0.0.0.0:7102");
    expect_that!(findings.as_slice()[0].place, eq("listen.peers"));
    let findings = changed("10.1.0.1:7102", "10.1.0.1:0");
    expect_that!(findings.as_slice()[0].place, eq("listen.peers"));
}

#[gtest]
fn relations_between_times_are_checked() {
    for (more, place) in [
        ("[bounds]\nlease_ms = 10000\ncurrency_ms = 9000", "bounds.lease_ms"),
        ("[bounds]\ncurrency_ms = 30000", "bounds.lease_ms"),
        ("[bounds]\ncurrency_ms = 2000", "bounds.currency_ms"),
        ("[timing]\nterm_ms = 2000", "timing.term_ms"),
        ("[timing]\nsuspicion_ms = 1000", "timing.suspicion_ms"),
        ("[timing]\nloss_ms = 10000", "timing.loss_ms"),
        ("[timing]\nlist_ms = 5000", "platform.list_lag_ms"),
        ("[limits]\nrequest_ms = 60000", "limits.request_ms"),
    ] {
        expect_that!(places(&added(more)), elements_are![eq(&place)], "{more}");
    }
    let findings = changed("[platform]", "[platform]\nretention_ms = 40500");
    expect_that!(places(&findings), elements_are![eq(&"platform.retention_ms")]);
}

#[gtest]
fn a_name_leaves_room_for_the_suffix_of_a_start() {
    let findings = changed("entry-1", &"e".repeat(49));
    expect_that!(places(&findings), elements_are![eq(&"name (line 1)")]);
}

#[gtest]
fn an_unknown_log_level_is_refused() {
    let findings = Settings::parse(&format!("log_level = 'loud'\n{MINIMAL}")).unwrap_err();
    expect_that!(places(&findings), elements_are![eq(&"log_level (line 1)")]);
}

#[gtest]
fn paths_are_resolved_against_the_directory_of_the_file() {
    let folder = std::env::temp_dir().join(format!("settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("entry.toml");
    std::fs::write(&path, format!("operator_keys = 'keys'\n{MINIMAL}")).unwrap();
    let settings = Settings::read(&path);
    std::fs::remove_dir_all(&folder).unwrap();
    expect_that!(settings.unwrap().operator_keys, some(eq(&folder.join("keys"))));
    expect_that!(Settings::read(&path), err(anything()));
}
