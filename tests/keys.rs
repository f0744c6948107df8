//! Who may do what: operators and peers show a named key, and without one nothing changes.

mod support;

use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::wire::http::Content;
use pimentovalve::wire::http::client::Call;
use std::net::SocketAddr;
use support::Trial;

/// Longest time for one call.
const TIMEOUT: Millis = Millis::from_secs(10);
/// A patch that would be accepted.
const PATCH: &str = "shares = { urgent = 1, normal = 1, deferrable = 1 }";
/// Keys that are missing or wrong.
const WRONG: [Option<&str>; 5] = [
    None,
    Some(""),
    Some("demo-operator"),
    Some("demo-operator:only-for-stand-ins-0002"),
    Some("another:only-for-stand-ins-0001"),
];

fn status(trial: &Trial, to: SocketAddr, method: &str, path: &str, key: Option<&str>) -> u16 {
    let address = to.to_string();
    let call = Call {
        method,
        content: Content::Text,
        key,
        ..Call::post(&address, path, PATCH.as_bytes(), TIMEOUT)
    };
    trial.call(call).expect("the daemon answers").status
}

#[gtest]
fn a_wrong_or_missing_operators_key_gets_401_and_changes_nothing() {
    let trial = Trial::start(1, |_| {});
    let operators = trial.cell.nodes[0].addresses.operators;
    for key in WRONG {
        for (method, path) in [
            ("POST", "/v1/configuration?base=1"),
            ("GET", "/v1/configuration"),
            ("GET", "/v1/configuration/history"),
            ("GET", "/v1/ledger/configuration"),
            ("POST", "/v1/release"),
            ("GET", "/"),
        ] {
            let status = status(&trial, operators, method, path, key);
            expect_that!(status, eq(401), "{method} {path} {key:?}");
        }
    }
    expect_that!(trial.version(0), some(eq(1)));
}

#[gtest]
fn callers_and_monitors_reach_nothing_of_the_operators() {
    let trial = Trial::start(1, |_| {});
    let addresses = trial.cell.nodes[0].addresses;
    for address in [addresses.callers, addresses.metrics] {
        let key = Some(pimentovalve::cell::OPERATOR_KEY);
        let status = status(&trial, address, "POST", "/v1/configuration?base=1", key);
        expect_that!(status, eq(404), "{address}");
    }
    expect_that!(trial.version(0), some(eq(1)));
}

#[gtest]
fn peers_show_a_key() {
    let path = std::env::temp_dir().join(format!("peer-key-{}", std::process::id()));
    std::fs::write(&path, "daemons:only-for-this-test").expect("the key can be written");
    let trial = Trial::start(2, |settings| settings.peer_key = Some(path.clone()));
    std::fs::remove_file(&path).expect("the key can be removed");
    let peers = trial.cell.nodes[0].addresses.peers;
    for key in WRONG {
        for path in ["/peer/ping", "/peer/pull", "/peer/standings", "/peer/wishes", "/"] {
            expect_that!(status(&trial, peers, "POST", path, key), eq(401), "{path} {key:?}");
        }
    }
    let key = Some("daemons:only-for-this-test");
    expect_that!(status(&trial, peers, "POST", "/peer/ping", key), eq(400));
}
