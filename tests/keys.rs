//! Authentication: operators and peers must present a named key; without a valid one the call gets
//! 401 and changes nothing.

mod support;

use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::wire::http::Content;
use pimentovalve::wire::http::client::Call;
use std::net::SocketAddr;
use support::Harness;

/// Time-out of one HTTP call.
const TIMEOUT: Millis = Millis::from_secs(10);
/// A patch that is valid with the right key.
const PATCH: &str = "shares = { urgent = 1, normal = 1, deferrable = 1 }";
/// Missing and invalid keys.
const INVALID_KEYS: [Option<&str>; 5] = [
    None,
    Some(""),
    Some("demo-operator"),
    Some("demo-operator:only-for-stand-ins-0002"),
    Some("another:only-for-stand-ins-0001"),
];

fn status(harness: &Harness, to: SocketAddr, method: &str, path: &str, key: Option<&str>) -> u16 {
    let address = to.to_string();
    let call = Call {
        method,
        content: Content::Text,
        key,
        ..Call::post(&address, path, PATCH.as_bytes(), TIMEOUT)
    };
    harness.call(call).expect("the daemon answers").status
}

#[gtest]
fn an_invalid_operator_key_gets_401_and_changes_nothing() {
    let harness = Harness::start(1, |_| {});
    let operators = harness.cell.nodes[0].addresses.operators;
    for key in INVALID_KEYS {
        for (method, path) in [
            ("POST", "/v1/configuration?base=1"),
            ("GET", "/v1/configuration"),
            ("GET", "/v1/configuration/history"),
            ("GET", "/v1/ledger/configuration"),
            ("POST", "/v1/release"),
            ("GET", "/"),
        ] {
            let status = status(&harness, operators, method, path, key);
            expect_that!(status, eq(401), "{method} {path} {key:?}");
        }
    }
    expect_that!(harness.version(0), some(eq(1)));
}

#[gtest]
fn operator_paths_are_not_served_to_callers_and_monitors() {
    let harness = Harness::start(1, |_| {});
    let addresses = harness.cell.nodes[0].addresses;
    for address in [addresses.callers, addresses.metrics] {
        let key = Some(pimentovalve::cell::OPERATOR_KEY);
        let status = status(&harness, address, "POST", "/v1/configuration?base=1", key);
        expect_that!(status, eq(404), "{address}");
    }
    expect_that!(harness.version(0), some(eq(1)));
}

#[gtest]
fn peers_need_the_peer_key() {
    let path = std::env::temp_dir().join(format!("peer-key-{}", std::process::id()));
    std::fs::write(&path, "daemons:only-for-this-test").expect("the key can be written");
    let harness = Harness::start(2, |settings| settings.peer_key = Some(path.clone()));
    std::fs::remove_file(&path).expect("the key can be removed");
    let peers = harness.cell.nodes[0].addresses.peers;
    for key in INVALID_KEYS {
        for path in ["/peer/ping", "/peer/pull", "/peer/standings", "/peer/wishes", "/"] {
            expect_that!(status(&harness, peers, "POST", path, key), eq(401), "{path} {key:?}");
        }
    }
    let key = Some("daemons:only-for-this-test");
    expect_that!(status(&harness, peers, "POST", "/peer/ping", key), eq(400));
}
