//! Tests of a complete fleet and its operator port.

use super::{Fleet, Plan};
use crate::observer::Summary;
use crate::operator::{MAX_CONNECTIONS, OperatorService};
use crate::server::{ANY_PORT, Server};
use crate::testing::{get, post_json, wait_until};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::zone::membership::{Instance, Role, State};
use pimentovalve_wire::codec;
use pimentovalve_wire::http::client::Client;
use std::sync::Arc;

#[gtest]
#[tokio::test]
async fn both_deployments_start_and_are_listed() {
    for plan in [Plan::andino(2, 3).unwrap(), Plan::lifebuoy(2, 3).unwrap()] {
        let mut fleet = Fleet::start(&plan).unwrap();
        let reply = get(&Client::new(), fleet.list.address(), "/instances").await.unwrap();
        let published: Vec<Instance> = codec::from_json(&reply.body).unwrap();
        expect_that!(published.iter().filter(|i| i.role == Role::Worker).count(), eq(6));
        expect_that!(published.iter().filter(|i| i.role == Role::Runner).count(), eq(9));
        let runner = published.iter().find(|i| i.role == Role::Runner).unwrap();
        let worker = runner.worker.as_ref().unwrap();
        expect_that!(fleet.worker(worker.as_str()).is_some(), eq(true));
        fleet.stop();
        expect_that!(get(&Client::new(), fleet.list.address(), "/").await, err(anything()));
    }
}

#[gtest]
#[tokio::test]
async fn a_leaving_worker_is_marked_in_the_list() {
    let plan = Plan { list_lag: Millis::ZERO, ..Plan::andino(1, 1).unwrap() };
    let fleet = Fleet::start(&plan).unwrap();
    expect_that!(fleet.leave("lima-a-w01"), eq(true));
    expect_that!(fleet.leave("nobody"), eq(false));
    let leaving = |i: &Instance| i.name.as_str() == "lima-a-w01" && i.state == State::Leaving;
    wait_until(|| fleet.list.published().iter().any(leaving)).await;
}

#[gtest]
#[tokio::test]
async fn faults_are_injected_over_the_operator_port() {
    let fleet = Arc::new(Fleet::start(&Plan::andino(1, 1).unwrap()).unwrap());
    let server = Server::start("test").unwrap();
    let service = Arc::new(OperatorService::new(Arc::clone(&fleet)));
    let address = server.listen(ANY_PORT, MAX_CONNECTIONS, service).unwrap().address;
    let client = Client::new();
    let order = |body: &'static str| post_json(&client, address, "/faults", body);
    expect_that!(order(r#"{"target":"list","fault":{"outage":true}}"#).await.status, eq(200));
    let refused = get(&client, fleet.list.address(), "/instances").await.unwrap();
    expect_that!(refused.status, eq(503));
    let late = r#"{"target":"lima-a-w01","fault":{"late_answers":{"count":1,"by_ms":5}}}"#;
    expect_that!(order(late).await.status, eq(404));
    expect_that!(order(r#"{"target":"log","fault":"pause"}"#).await.status, eq(200));
    expect_that!(order(r#"{"target":"log","fault":"flood"}"#).await.status, eq(400));
    let report = get(&client, address, "/report").await.unwrap();
    expect_that!(codec::from_json::<Summary>(&report.body).unwrap(), eq(&Summary::default()));
    expect_that!(get(&client, address, "/addresses").await.unwrap().status, eq(200));
}
