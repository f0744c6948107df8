//! Tests of the runner and its faults.

use super::Runner;
use crate::observer::Observer;
use crate::server::Server;
use crate::testing::{CALL_TIMEOUT, abandon_call_when, name, place, wait_until};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::machine::runner;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::Content;
use pimentovalve_wire::http::client::{self, Client, Error, Reply};
use pimentovalve_wire::runner::{Call, Done};
use std::sync::Arc;

struct Fixture {
    runner: Runner,
    observer: Arc<Observer>,
    _server: Server,
}

impl Fixture {
    fn start() -> Self {
        let server = Server::start("test").expect("a thread");
        let observer = Arc::<Observer>::default();
        let limits = runner::Limits { slots: 2, connections: 64 };
        let (service, worker) = (name("retention-engine"), name("w1"));
        let runner = runner::Runner { name: name("r1"), service, worker, place: place(), limits };
        let runner = Runner::start(&server, runner, &observer).expect("a port");
        Self { runner, observer, _server: server }
    }

    async fn call(&self, request: &str, body: &str) -> std::result::Result<Reply, Error> {
        self.call_within(request, body, CALL_TIMEOUT).await
    }

    async fn call_within(
        &self,
        request: &str,
        body: &str,
        budget: Millis,
    ) -> std::result::Result<Reply, Error> {
        let call = Call {
            request: name(request),
            attempt: name(&format!("{request}.1")),
            budget_ms: budget,
            body: body.into(),
        };
        let body = codec::to_json(&call).unwrap();
        let address = self.runner.address().to_string();
        let call = client::Call::post(&address, "/serve", &body, CALL_TIMEOUT);
        Client::new().call(client::Call { content: Content::Json, ..call }).await
    }
}

fn done(reply: std::result::Result<Reply, Error>) -> Done {
    codec::from_json(&reply.expect("an answer").body).expect("a complete answer")
}

#[gtest]
#[tokio::test]
async fn a_request_is_answered_with_its_ids() {
    let fixture = Fixture::start();
    let answer = done(fixture.call("a", "deed 7").await);
    expect_that!(answer.body, eq("deed 7"));
    expect_that!(answer.request, eq(&name("a")));
    expect_that!(answer.attempt, eq(&name("a.1")));
    expect_that!(done(fixture.call("b", "sleep_ms=1 echo=yes").await).body, eq("yes"));
    expect_that!(fixture.observer.executions("a"), len(eq(1)));
}

#[gtest]
#[tokio::test]
async fn requests_beyond_the_slots_are_refused_and_do_not_run() {
    let fixture = Fixture::start();
    let long = "sleep_ms=60000";
    let calls = async { tokio::join!(fixture.call("a", long), fixture.call("b", long)) };
    abandon_call_when(calls, || fixture.observer.summary().executions == 2).await;
    expect_that!(fixture.call("c", "").await.unwrap().status, eq(503));
    expect_that!(fixture.observer.executions("c"), is_empty());
    let usage = &fixture.observer.slot_usage()[0];
    expect_that!((usage.most_slots, usage.refused), eq((2, 1)));
}

#[gtest]
#[tokio::test]
async fn a_request_is_aborted_after_its_time_budget() {
    let fixture = Fixture::start();
    let reply = fixture.call_within("a", "sleep_ms=60000", Millis(5)).await;
    expect_that!(reply.unwrap().status, eq(504));
    expect_that!(fixture.observer.executions("a")[0].end, some(anything()));
}

#[gtest]
#[tokio::test]
async fn a_request_with_a_lost_answer_is_executed() {
    let fixture = Fixture::start();
    fixture.runner.lose_answers(1);
    expect_that!(fixture.call("a", "").await, err(matches_pattern!(Error::Unknown { .. })));
    expect_that!(fixture.observer.executions("a"), len(eq(1)));
    expect_that!(fixture.call("b", "").await, ok(anything()));
}

#[gtest]
#[tokio::test]
async fn delayed_answers_follow_a_finished_execution() {
    let fixture = Fixture::start();
    fixture.runner.late_answers(1, Millis::from_secs(3600));
    let executed = || fixture.observer.executions("a").iter().any(|e| e.end.is_some());
    abandon_call_when(fixture.call("a", ""), executed).await;
}

#[gtest]
#[tokio::test]
async fn swapped_answers_carry_the_ids_of_the_other_request() {
    let fixture = Fixture::start();
    fixture.runner.cross_answers(1);
    let (a, b) = tokio::join!(fixture.call("a", "for a"), fixture.call("b", "for b"));
    expect_that!(done(a).body, eq("for b"));
    expect_that!(done(b).request, eq(&name("a")));
}

#[gtest]
#[tokio::test]
async fn a_leaving_runner_refuses_new_requests() {
    let fixture = Fixture::start();
    fixture.runner.leave();
    expect_that!(fixture.call("a", "").await.unwrap().status, eq(503));
    expect_that!(fixture.observer.executions("a"), is_empty());
}

#[gtest]
#[tokio::test]
async fn a_paused_runner_executes_after_it_resumes() {
    let fixture = Fixture::start();
    fixture.runner.link().pause();
    abandon_call_when(fixture.call("a", ""), || fixture.runner.link().pending() == 1).await;
    expect_that!(fixture.observer.executions("a"), is_empty());
    fixture.runner.link().resume();
    wait_until(|| fixture.observer.executions("a").len() == 1).await;
}
