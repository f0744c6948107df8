//! Tests of the log service and its faults.

use super::{Counters, Log, Retention};
use crate::server::{ANY_PORT, Server};
use crate::testing::{CALL_TIMEOUT, SHORT_WAIT, name};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::client::{Call, Client, Error};
use pimentovalve_wire::log::{Append, Appended, Chunk, Gone, Read};
use serde_bytes::ByteBuf;
use std::net::SocketAddr;

fn start(retention: Retention) -> (Server, Log) {
    let server = Server::start("test").expect("a thread");
    let log = Log::start(&server, ANY_PORT, retention).expect("a port");
    (server, log)
}

async fn append(address: SocketAddr, entries: &[&str]) -> std::result::Result<Appended, Error> {
    let entries = entries.iter().map(|e| ByteBuf::from(e.as_bytes())).collect();
    let address = address.to_string();
    Client::new().exchange(&address, "/streams/fleet", &Append { entries }, CALL_TIMEOUT).await
}

async fn read(address: SocketAddr, from: u64, wait: Millis) -> std::result::Result<Chunk, Error> {
    let read = Read { from, max: 100, wait_ms: wait };
    Client::new().exchange(&address.to_string(), "/streams/fleet/read", &read, CALL_TIMEOUT).await
}

#[gtest]
#[tokio::test]
async fn a_group_is_appended_atomically_and_is_read_from_any_offset() {
    let (_server, log) = start(Retention::default());
    expect_that!(append(log.address(), &["a", "b"]).await.unwrap().first, eq(0));
    expect_that!(append(log.address(), &["c"]).await.unwrap().first, eq(2));
    let chunk = read(log.address(), 1, Millis::ZERO).await.unwrap();
    expect_that!(chunk.entries, elements_are![eq(b"b"), eq(b"c")]);
    expect_that!((chunk.end, chunk.horizon), eq((3, 0)));
    let counters = Counters { appends: 2, entries: 3, reads: 1, bytes_in: 3, bytes_out: 2 };
    expect_that!(log.counters(), eq(counters));
}

#[gtest]
#[tokio::test]
async fn an_append_wakes_a_waiting_reader() {
    let (_server, log) = start(Retention::default());
    // The read waits longer than its call may take, so only the append can complete it.
    let waiting = read(log.address(), 0, CALL_TIMEOUT + CALL_TIMEOUT);
    let appending = async {
        tokio::time::sleep(SHORT_WAIT.into()).await;
        append(log.address(), &["a"]).await
    };
    let (chunk, appended) = tokio::join!(waiting, appending);
    expect_that!(appended, ok(anything()));
    expect_that!(chunk.unwrap().entries, elements_are![eq(b"a")]);
}

#[gtest]
#[tokio::test]
async fn entries_beyond_the_retention_are_deleted() {
    let retention = Retention { entries: 2, ..Retention::default() };
    let (_server, log) = start(retention);
    append(log.address(), &["a", "b", "c"]).await.unwrap();
    let body = codec::pack(&Read { from: 0, max: 9, wait_ms: Millis::ZERO }).unwrap();
    let address = log.address().to_string();
    let call = Call::post(&address, "/streams/fleet/read", &body, CALL_TIMEOUT);
    let reply = Client::new().call(call).await.unwrap();
    expect_that!(reply.status, eq(410));
    expect_that!(codec::unpack::<Gone>(&reply.body).unwrap(), eq(Gone { horizon: 1 }));
    log.set_retention(Retention { entries: 9, age_ms: Millis::ZERO });
    tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    let chunk = read(log.address(), 3, Millis::ZERO).await.unwrap();
    expect_that!((chunk.end, chunk.horizon), eq((3, 3)));
}

#[gtest]
#[tokio::test]
async fn an_outage_refuses_all_requests_and_wakes_readers() {
    let (_server, log) = start(Retention::default());
    let outage = async {
        tokio::time::sleep(SHORT_WAIT.into()).await;
        log.set_outage(true);
    };
    let (waiting, ()) = tokio::join!(read(log.address(), 0, CALL_TIMEOUT + CALL_TIMEOUT), outage);
    expect_that!(waiting, err(matches_pattern!(Error::Status { status: eq(&503), .. })));
    let refused = append(log.address(), &["a"]).await;
    expect_that!(refused, err(matches_pattern!(Error::Status { status: eq(&503), .. })));
    log.set_outage(false);
    expect_that!(append(log.address(), &["a"]).await.unwrap().first, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_listener_can_have_an_outage_of_its_own() {
    let (server, log) = start(Retention::default());
    let lima = log.listener(&server, ANY_PORT).unwrap();
    lima.set_outage(true);
    expect_that!(append(lima.port.address, &["a"]).await, err(anything()));
    expect_that!(append(log.address(), &["b"]).await.unwrap().first, eq(0));
    lima.set_outage(false);
    expect_that!(append(lima.port.address, &["c"]).await.unwrap().first, eq(1));
}

#[gtest]
#[tokio::test]
async fn appends_with_lost_answers_take_effect() {
    let (_server, log) = start(Retention::default());
    log.lose_answers(1);
    expect_that!(append(log.address(), &["a"]).await, err(matches_pattern!(Error::Unknown { .. })));
    expect_that!(append(log.address(), &["b"]).await.unwrap().first, eq(1));
    log.lose_share(100, 7);
    expect_that!(append(log.address(), &["c"]).await, err(anything()));
    expect_that!(log.entries(&name("fleet")).1, len(eq(3)));
}

#[gtest]
#[tokio::test]
async fn delayed_appends_take_effect_later() {
    let (_server, log) = start(Retention::default());
    log.delay_landing(1, Millis::from_secs(3600));
    expect_that!(
        append(log.address(), &["never"]).await,
        err(matches_pattern!(Error::Unknown { .. }))
    );
    expect_that!(log.entries(&name("fleet")).1, is_empty());
    log.delay_landing(1, Millis(20));
    expect_that!(append(log.address(), &["late"]).await, err(anything()));
    let chunk = read(log.address(), 0, CALL_TIMEOUT).await.unwrap();
    expect_that!(chunk.entries, elements_are![eq(b"late")]);
}
