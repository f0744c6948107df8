//! Monitors: liveness, readiness and metrics of a daemon.

mod support;

use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::wire::http::client::Call;
use support::{Trial, batch};

fn read(trial: &Trial, path: &str) -> (u16, String) {
    let address = trial.cell.nodes[0].addresses.metrics.to_string();
    let reply = trial.call(Call::get(&address, path, Millis::from_secs(5))).unwrap();
    (reply.status, String::from_utf8_lossy(&reply.body).into_owned())
}

#[gtest]
fn a_daemon_that_serves_is_live_and_ready() {
    let trial = Trial::start(2, |_| {});
    expect_that!(read(&trial, "/live").0, eq(200));
    expect_that!(read(&trial, "/ready").0, eq(200));
    expect_that!(read(&trial, "/other").0, eq(404));
}

#[gtest]
fn metrics_tell_of_waits_rings_bytes_and_processor_time() {
    let trial = Trial::start(1, |_| {});
    trial.submit(&batch("seal-1", 3, "run_ms=50 result=sealed"));
    trial.await_ended("seal-1");
    let (status, text) = read(&trial, "/metrics");
    expect_that!(status, eq(200));
    for line in [
        "pimentovalve_configuration_version{",
        "pimentovalve_log_lag_ms{",
        "pimentovalve_workers{",
        "pimentovalve_ring_depth{",
        "pimentovalve_bytes_sent_total{",
        "pimentovalve_thread_cpu_ms_total{",
        "pimentovalve_memory_bytes{",
        "pimentovalve_capacity_free{",
    ] {
        expect_that!(text, contains_substring(line));
    }
    let waits = |l: &&str| l.starts_with("pimentovalve_wait_count") && l.contains("deferrable");
    let placed = text.lines().find(waits);
    expect_that!(placed, some(ends_with(" 3")));
}
