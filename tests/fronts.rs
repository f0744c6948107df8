//! Malformed, oversized and truncated input to the HTTP listeners: each is refused with a 4xx
//! status, and the daemon continues to serve.

mod support;

use googletest::prelude::*;
use pimentovalve::cell::OPERATOR_KEY;
use pimentovalve::core::clock::Millis;
use pimentovalve::wire::http::Content;
use pimentovalve::wire::http::client::Call;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;
use support::{Harness, batch};

/// Body size above the limit of every listener, in bytes.
const OVERSIZED_BODY_BYTES: usize = 300 * 1024;
/// Read time-out of a raw connection.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends raw bytes and returns everything received until the daemon closes the connection.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    // The daemon may refuse and close before it has read everything.
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn expect_serving(harness: &Harness) {
    harness.submit(&batch("after", 1, "run_ms=10 result=done"));
    expect_that!(harness.await_ended("after").ended, eq(true));
}

#[gtest]
fn malformed_bodies_of_callers_get_findings() {
    let harness = Harness::start(1, |_| {});
    let bodies =
        ["", "{", "[]", "null", "{}", "{\"id\": 1}", "\u{0}\u{1}", "{\"id\":\"a\",\"unknown\":1}"];
    for path in ["/v1/jobs", "/v1/requests"] {
        for body in bodies {
            let (status, answer) = harness.post(0, path, body);
            expect_that!(status, eq(400), "{path} {body:?}");
            let answer = String::from_utf8_lossy(&answer).into_owned();
            expect_that!(answer, contains_substring("\"findings\":[{"), "{path} {body:?}");
        }
    }
    expect_serving(&harness);
}

#[gtest]
fn all_findings_of_a_job_are_reported_at_once() {
    let harness = Harness::start(1, |_| {});
    let job = r#"{"id": "", "team": "not a team!", "kind": "batch", "tasks": 0,
        "needs": {"cpu_milli": 0, "memory_mib": 0}}"#;
    let (status, answer) = harness.post(0, "/v1/jobs", job);
    let answer = String::from_utf8_lossy(&answer).into_owned();
    expect_that!(status, eq(400));
    for place in ["\"id\"", "\"team\"", "\"tasks\"", "needs.cpu_milli", "needs.memory_mib"] {
        expect_that!(answer, contains_substring(place));
    }
}

#[gtest]
fn a_job_larger_than_every_worker_is_refused() {
    let harness = Harness::start(1, |_| {});
    let job = r#"{"id": "huge", "team": "notaries", "kind": "batch",
        "needs": {"cpu_milli": 9000000, "memory_mib": 1, "accelerators": 50}}"#;
    let (status, _) = harness.post(0, "/v1/jobs", job);
    expect_that!(status, eq(400));
    expect_that!(harness.status("huge"), none());
}

#[gtest]
fn oversized_and_truncated_messages_are_refused() {
    let harness = Harness::start(1, |_| {});
    let address = harness.cell.nodes[0].addresses.callers;
    let (status, _) = harness.post(0, "/v1/jobs", &"x".repeat(OVERSIZED_BODY_BYTES));
    expect_that!(status, eq(413));
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: a\r\ncontent-length: 1000\r\n\r\n{\"id\"";
    expect_that!(send_raw(address, head.as_bytes()), contains_substring(" 400 "));
    let garbage = send_raw(address, b"\x00\x01\x02 nonsense\r\n\r\n");
    expect_that!(garbage, contains_substring(" 400 "));
    let long = format!("GET /{} HTTP/1.1\r\nhost: a\r\n\r\n", "a".repeat(100_000));
    let refused = any!(eq(""), contains_substring(" 414 "), contains_substring(" 431 "));
    expect_that!(send_raw(address, long.as_bytes()), refused);
    expect_serving(&harness);
}

#[gtest]
fn unknown_paths_and_methods_get_404_and_405() {
    let harness = Harness::start(1, |_| {});
    expect_that!(harness.get(0, "/v2/jobs").0, eq(404));
    expect_that!(harness.get(0, "/v1/jobs").0, eq(405));
    expect_that!(harness.get(0, "/v1/jobs/none?team=notaries").0, eq(404));
    expect_that!(harness.get(0, "/v1/jobs/none").0, eq(400));
    expect_that!(harness.get(0, "/v1/requests/none?team=notaries").0, eq(404));
}

#[gtest]
fn invalid_patches_change_nothing() {
    let harness = Harness::start(1, |_| {});
    for patch in ["", "not toml [", "unknown = 1", "[[teams]]\nname = 'x'", "remove_kinds = ['no']"]
    {
        expect_that!(harness.patch(0, 1, patch).0, eq(400), "{patch:?}");
    }
    expect_that!(harness.version(0), some(eq(1)));
}

#[gtest]
fn malformed_messages_of_peers_get_findings() {
    let harness = Harness::start(1, |_| {});
    let address = harness.cell.nodes[0].addresses.peers.to_string();
    for path in ["ping", "pull", "wishes", "standings", "ask", "forward"] {
        for body in [b"".as_slice(), b"\xc1", b"\x90", &[0xff; 64]] {
            let path = format!("/peer/{path}");
            let call = Call {
                content: Content::Pack,
                key: Some(OPERATOR_KEY),
                ..Call::post(&address, &path, body, Millis::from_secs(5))
            };
            let reply = harness.call(call).unwrap();
            expect_that!(reply.status, eq(400), "{path} {body:?}");
        }
    }
    expect_serving(&harness);
}
