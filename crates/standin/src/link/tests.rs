//! Tests of the faults injected into connections.

use crate::testing::{abandon_call_when, get, get_briefly, start_counter, wait_until};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_wire::http::client::{Client, Error};

#[gtest]
#[tokio::test]
async fn a_paused_process_handles_held_requests_after_it_resumes() {
    let (_server, port, counter) = start_counter(8);
    let client = Client::new();
    port.link.pause();
    abandon_call_when(get(&client, port.address, "/held"), || port.link.pending() == 1).await;
    expect_that!(counter.get(), eq(0));
    port.link.resume();
    wait_until(|| counter.get() == 1).await;
    expect_that!(get(&client, port.address, "/next").await.unwrap().status, eq(200));
}

#[gtest]
#[tokio::test]
async fn a_partition_discards_requests_for_good() {
    let (_server, port, counter) = start_counter(8);
    let client = Client::new();
    get(&client, port.address, "/before").await.unwrap();
    port.link.cut();
    let discarded = get_briefly(&client, port.address, "/during").await;
    expect_that!(discarded, err(matches_pattern!(Error::Unknown { .. })));
    port.link.heal();
    get(&client, port.address, "/after").await.unwrap();
    expect_that!(counter.get(), eq(2));
}

#[gtest]
#[tokio::test]
async fn silent_connections_stay_silent_while_new_ones_work() {
    let (_server, port, counter) = start_counter(8);
    let (old, new) = (Client::new(), Client::new());
    get(&old, port.address, "/before").await.unwrap();
    port.link.silence();
    expect_that!(
        get_briefly(&old, port.address, "/old").await,
        err(matches_pattern!(Error::Unknown { .. }))
    );
    get(&new, port.address, "/new").await.unwrap();
    expect_that!(counter.get(), eq(2));
}

#[gtest]
#[tokio::test]
async fn a_lost_answer_drops_the_connection_after_the_effect() {
    let (_server, port, counter) = start_counter(8);
    let lost = get(&Client::new(), port.address, "/lost").await;
    expect_that!(lost, err(matches_pattern!(Error::Unknown { .. })));
    expect_that!(counter.get(), eq(1));
}

#[gtest]
#[tokio::test]
async fn slow_handling_delays_requests() {
    let (_server, port, counter) = start_counter(8);
    let client = Client::new();
    port.link.slow(Millis::from_secs(3600));
    abandon_call_when(get(&client, port.address, "/slow"), || port.link.pending() == 1).await;
    expect_that!(counter.get(), eq(0));
    port.link.slow(Millis::ZERO);
    get(&client, port.address, "/quick").await.unwrap();
}

#[gtest]
#[tokio::test]
async fn a_killed_process_stays_unreachable() {
    let (_server, port, counter) = start_counter(8);
    port.link.kill();
    port.link.heal();
    port.link.resume();
    expect_that!(get_briefly(&Client::new(), port.address, "/dead").await, err(anything()));
    expect_that!(counter.get(), eq(0));
}

#[gtest]
#[tokio::test]
async fn connections_beyond_the_limit_are_refused_and_counted() {
    let (_server, port, _counter) = start_counter(1);
    let (first, second) = (Client::new(), Client::new());
    get(&first, port.address, "/first").await.unwrap();
    expect_that!(get(&second, port.address, "/second").await, err(anything()));
    expect_that!(port.link.peak_connections(), eq(1));
    expect_that!(port.link.refused_connections(), ge(1));
}
