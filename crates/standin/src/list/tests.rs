//! Tests of the instance list and its faults.

use super::List;
use crate::server::{ANY_PORT, Server};
use crate::testing::{get, name, place, post_json, wait_until};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::zone::membership::{Instance, Role, State};
use pimentovalve_wire::codec;
use pimentovalve_wire::http::client::Client;

fn start(lag: Millis) -> (Server, List) {
    let server = Server::start("test").expect("a thread");
    let list = List::start(&server, ANY_PORT, lag).expect("a port");
    (server, list)
}

fn entry(raw: &str) -> Instance {
    Instance {
        name: name(raw),
        role: Role::Entry,
        place: place(),
        address: "127.0.0.1:1".into(),
        state: State::Live,
        worker: None,
        service: None,
    }
}

#[gtest]
#[tokio::test]
async fn changes_are_published_after_the_lag() {
    let (_server, list) = start(Millis::from_secs(3600));
    list.register_now(&entry("a"));
    list.register(&entry("b"));
    expect_that!(list.leave("a"), eq(true));
    expect_that!(list.published(), elements_are![eq(&entry("a"))]);
    let (_server, list) = start(Millis::from_secs(3600));
    list.set_lag(Millis(20));
    list.register(&entry("b"));
    list.leave("b");
    wait_until(|| list.published().iter().any(|i| i.state == State::Leaving)).await;
    list.remove(&name("b"));
    wait_until(|| list.published().is_empty()).await;
}

#[gtest]
#[tokio::test]
async fn a_frozen_list_publishes_no_change() {
    let (_server, list) = start(Millis::ZERO);
    list.set_frozen(true);
    list.register(&entry("a"));
    expect_that!(list.published(), is_empty());
    list.set_frozen(false);
    expect_that!(list.published(), len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn instances_register_over_http() {
    let (_server, list) = start(Millis::ZERO);
    let client = Client::new();
    let body = String::from_utf8(codec::to_json(&entry("a")).unwrap()).unwrap();
    expect_that!(post_json(&client, list.address(), "/instances", &body).await.status, eq(200));
    expect_that!(post_json(&client, list.address(), "/instances", "{").await.status, eq(400));
    let reply = get(&client, list.address(), "/instances").await.unwrap();
    let published: Vec<Instance> = codec::from_json(&reply.body).unwrap();
    expect_that!(published, elements_are![eq(&entry("a"))]);
}

#[gtest]
#[tokio::test]
async fn an_outage_refuses_all_requests() {
    let (_server, list) = start(Millis::ZERO);
    list.set_outage(true);
    let reply = get(&Client::new(), list.address(), "/instances").await.unwrap();
    expect_that!(reply.status, eq(503));
}
