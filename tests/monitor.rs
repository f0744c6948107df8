//! Liveness, readiness and metrics of a daemon.

mod support;

use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::wire::http::client::Call;
use support::{Harness, batch};

fn read(harness: &Harness, path: &str) -> (u16, String) {
    let address = harness.cell.nodes[0].addresses.metrics.to_string();
    let reply = harness.call(Call::get(&address, path, Millis::from_secs(5))).unwrap();
    (reply.status, String::from_utf8_lossy(&reply.body).into_owned())
}

#[gtest]
fn a_daemon_that_serves_is_live_and_ready() {
    let harness = Harness::start(2, |_| {});
    expect_that!(read(&harness, "/live").0, eq(200));
    expect_that!(read(&harness, "/ready").0, eq(200));
    expect_that!(read(&harness, "/other").0, eq(404));
}

#[gtest]
fn exported_metrics_match_the_operating_page() {
    let harness = Harness::start(1, |_| {});
    harness.submit(&batch("seal-1", 3, "run_ms=50 result=sealed"));
    harness.await_ended("seal-1");
    let (status, text) = read(&harness, "/metrics");
    expect_that!(status, eq(200));
    let page = include_str!("../docs/OPERATING.md");
    let named = page.lines().filter_map(|l| l.strip_prefix("| `pimentovalve_")?.split('`').next());
    let named: Vec<String> = named.map(|name| format!("pimentovalve_{name}{{")).collect();
    expect_that!(named, not(is_empty()));
    for name in &named {
        expect_that!(text, contains_substring(name.as_str()));
    }
    let types = text.lines().filter_map(|l| l.strip_prefix("# TYPE ")?.split(' ').next());
    for name in types.filter(|name| *name != "target_info") {
        expect_that!(named, contains(eq(&format!("{name}{{"))));
    }
    let waits = |l: &&str| l.starts_with("pimentovalve_wait_count") && l.contains("deferrable");
    let placed = text.lines().find(waits);
    expect_that!(placed, some(ends_with(" 3")));
}
