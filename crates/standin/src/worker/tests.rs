//! Tests of the worker and its faults.

use super::{FleetContext, Worker};
use crate::clock;
use crate::server::Server;
use crate::testing::{CALL_TIMEOUT, SHORT_WAIT, name, place, task, wait_until};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{self, Action, Ending, Order, Refusal, Reply, Start};
use pimentovalve_wire::http::client::{Client, Error};
use pimentovalve_wire::worker::{Adopt, Adopted, Heartbeat, HeartbeatReply, Orders, Replies};
use std::sync::Arc;

const NEEDS: Capacity = Capacity::new(1000, 1024, 0);

struct Fixture {
    worker: Worker,
    context: FleetContext,
    client: Client,
    server: Server,
}

impl Fixture {
    fn start() -> Self {
        let server = Server::start("test").expect("a thread");
        let context = FleetContext {
            observer: Arc::default(),
            checkpoints: Arc::default(),
            usage_lag: Millis(1),
        };
        let worker = start(&server, "w1", &context);
        Self { worker, context, client: Client::new(), server }
    }

    async fn adopt(&self, controller: &str, expected: u64) -> Adopted {
        let adopt = Adopt { controller: name(controller), expected };
        let address = self.worker.address().to_string();
        self.client.exchange(&address, "/adopt", &adopt, CALL_TIMEOUT).await.expect("an answer")
    }

    async fn order(&self, job: &str, attempt: u32, action: Action) -> Reply {
        let order = Order { task: task(job), attempt, action };
        let orders = Orders { epoch: 1, orders: vec![order] };
        let address = self.worker.address().to_string();
        let replies: Replies = self
            .client
            .exchange(&address, "/orders", &orders, CALL_TIMEOUT)
            .await
            .expect("an answer");
        replies.replies.into_iter().next().expect("one reply")
    }

    async fn heartbeat(&self, seen: u64, acknowledged: u64) -> HeartbeatReply {
        let heartbeat = Heartbeat {
            epoch: 1,
            seen,
            acknowledged,
            renew_all: Some(clock::now() + CALL_TIMEOUT),
            wait_ms: CALL_TIMEOUT + CALL_TIMEOUT,
        };
        let address = self.worker.address().to_string();
        self.client
            .exchange(&address, "/heartbeat", &heartbeat, CALL_TIMEOUT)
            .await
            .expect("a beat")
    }

    fn endings(&self, job: &str) -> Vec<Option<Ending>> {
        self.context.observer.spans(&task(job)).into_iter().map(|s| s.ending).collect()
    }

    async fn ended(&self, job: &str) -> Ending {
        wait_until(|| self.endings(job).last().is_some_and(Option::is_some)).await;
        self.endings(job).pop().flatten().expect("an ending")
    }
}

fn start(server: &Server, raw: &str, context: &FleetContext) -> Worker {
    let worker =
        worker::Worker { name: name(raw), place: place(), capacity: Capacity::new(2000, 4096, 0) };
    Worker::start(server, worker, context.clone()).expect("a port")
}

fn start_action(payload: &str) -> Action {
    start_with_lease(payload, CALL_TIMEOUT + CALL_TIMEOUT, false)
}

fn start_with_lease(payload: &str, lease: Millis, resume: bool) -> Action {
    let now = clock::now();
    Action::Start(Start {
        epoch: 1,
        needs: NEEDS,
        start_by: now + CALL_TIMEOUT,
        until: now + lease,
        team: name("records"),
        kind: name("seal"),
        payload: payload.into(),
        resume,
    })
}

#[gtest]
#[tokio::test]
async fn a_task_runs_and_its_end_wakes_the_heartbeat() {
    let fixture = Fixture::start();
    expect_that!(fixture.adopt("d1", 0).await, matches_pattern!(Adopted::Yes(anything())));
    expect_that!(
        fixture.order("job", 1, start_action("run_ms=30 result=sealed")).await,
        eq(&Reply::Done)
    );
    let first = fixture.heartbeat(0, 0).await;
    expect_that!(first.inventory, some(anything()));
    let mut reply = first;
    while reply.ended.is_empty() {
        reply = fixture.heartbeat(reply.revision, 0).await;
    }
    expect_that!(reply.ended[0].ending, eq(&Ending::Completed("sealed".into())));
    expect_that!(fixture.worker.inventory().running, is_empty());
    expect_that!(fixture.context.observer.summary().completed, eq(1));
}

#[gtest]
#[tokio::test]
async fn a_deposed_controller_is_notified_immediately() {
    let fixture = Fixture::start();
    fixture.adopt("d1", 0).await;
    expect_that!(
        fixture.adopt("d2", 0).await,
        matches_pattern!(Adopted::No { epoch: eq(&1), controller: some(eq(&name("d1"))) })
    );
    fixture.adopt("d2", 1).await;
    expect_that!(fixture.heartbeat(99, 0).await.epoch, eq(2));
    let refused = fixture.order("job", 1, start_action("forever")).await;
    expect_that!(refused, eq(&Reply::Refused(Refusal::Epoch)));
    expect_that!(fixture.context.observer.summary().starts, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_lease_expires_while_the_process_is_paused() {
    let fixture = Fixture::start();
    fixture.adopt("d1", 0).await;
    fixture.order("job", 1, start_action("forever")).await;
    fixture.worker.link().pause();
    fixture.worker.set_clock_offset(10 * 60 * 1000);
    expect_that!(fixture.ended("job").await, eq(&Ending::Lapsed));
}

#[gtest]
#[tokio::test]
async fn a_partitioned_worker_answers_nothing_and_its_tasks_keep_running() {
    let fixture = Fixture::start();
    fixture.adopt("d1", 0).await;
    fixture.order("job", 1, start_action("run_ms=100")).await;
    fixture.worker.link().cut();
    let adopt = Adopt { controller: name("d2"), expected: 1 };
    let address = fixture.worker.address().to_string();
    let cut: std::result::Result<Adopted, _> =
        fixture.client.exchange(&address, "/adopt", &adopt, SHORT_WAIT).await;
    expect_that!(cut, err(matches_pattern!(Error::Unknown { .. })));
    expect_that!(fixture.ended("job").await, eq(&Ending::Completed("ok".into())));
    expect_that!(fixture.worker.inventory().epoch, eq(1));
}

#[gtest]
#[tokio::test]
async fn a_checkpointed_task_resumes_on_another_worker() {
    let mut fixture = Fixture::start();
    fixture.adopt("d1", 0).await;
    fixture.order("job", 1, start_action("run_ms=3600000")).await;
    tokio::time::sleep(SHORT_WAIT.into()).await;
    expect_that!(fixture.order("job", 1, Action::Checkpoint).await, eq(&Reply::Done));
    expect_that!(fixture.endings("job"), elements_are![some(eq(&Ending::Checkpointed))]);
    let saved = fixture.context.checkpoints.load(&task("job"));
    expect_that!(saved, ge(SHORT_WAIT));
    fixture.worker = start(&fixture.server, "w2", &fixture.context);
    fixture.adopt("d1", 0).await;
    let payload = format!("run_ms={}", saved.get());
    fixture.order("job", 2, start_with_lease(&payload, CALL_TIMEOUT, true)).await;
    expect_that!(fixture.ended("job").await, eq(&Ending::Completed("ok".into())));
    let second = fixture.context.observer.spans(&task("job")).pop().unwrap();
    expect_that!(second.worker, eq(&name("w2")));
}

#[gtest]
#[tokio::test]
async fn throttle_and_speed_limit_progress() {
    let fixture = Fixture::start();
    fixture.adopt("d1", 0).await;
    fixture.worker.set_speed(0);
    fixture.order("job", 1, start_action("run_ms=1")).await;
    tokio::time::sleep(SHORT_WAIT.into()).await;
    expect_that!(fixture.endings("job"), elements_are![none()]);
    fixture.order("job", 1, Action::Throttle { percent: 0 }).await;
    fixture.worker.set_speed(100);
    tokio::time::sleep(SHORT_WAIT.into()).await;
    expect_that!(fixture.endings("job"), elements_are![none()]);
    fixture.order("job", 1, Action::Throttle { percent: 100 }).await;
    expect_that!(fixture.ended("job").await, eq(&Ending::Completed("ok".into())));
}

#[gtest]
#[tokio::test]
async fn usage_is_reported_as_the_payload_specifies() {
    let fixture = Fixture::start();
    fixture.adopt("d1", 0).await;
    fixture.order("job", 1, start_action("forever use_cpu=250 use_memory=100")).await;
    let used = Capacity::new(250, 100, 0);
    wait_until(|| fixture.worker.inventory().running.iter().any(|h| h.usage == used)).await;
    expect_that!(fixture.order("job", 1, Action::Stop).await, eq(&Reply::Done));
    expect_that!(fixture.endings("job"), elements_are![some(eq(&Ending::Stopped))]);
    expect_that!(fixture.worker.inventory().ended[0].peak, eq(used));
}

#[gtest]
#[tokio::test]
async fn attempts_fail_because_of_the_payload_or_of_the_worker() {
    let fixture = Fixture::start();
    fixture.adopt("d1", 0).await;
    fixture.order("bad", 1, start_action("run_ms=1 fail=ink")).await;
    expect_that!(fixture.ended("bad").await, eq(&Ending::Failed("ink".into())));
    fixture.order("flaky", 1, start_action("run_ms=1 fail_first=1")).await;
    expect_that!(fixture.ended("flaky").await, matches_pattern!(Ending::Failed(anything())));
    fixture.order("flaky", 2, start_action("run_ms=1 fail_first=1")).await;
    wait_until(|| fixture.endings("flaky").len() == 2).await;
    expect_that!(fixture.ended("flaky").await, eq(&Ending::Completed("ok".into())));
    fixture.worker.set_fail_all(true);
    fixture.order("good", 1, start_action("forever")).await;
    expect_that!(fixture.ended("good").await, matches_pattern!(Ending::Failed(anything())));
}

#[gtest]
#[tokio::test]
async fn a_leaving_worker_reports_it_and_starts_nothing() {
    let fixture = Fixture::start();
    fixture.adopt("d1", 0).await;
    let seen = fixture.heartbeat(0, 0).await.revision;
    fixture.worker.leave();
    let reply = fixture.heartbeat(seen, 0).await;
    expect_that!(reply.inventory.unwrap().leaving, eq(true));
    let refused = fixture.order("job", 1, start_action("forever")).await;
    expect_that!(refused, eq(&Reply::Refused(Refusal::Leaving)));
}

#[gtest]
#[tokio::test]
async fn a_crash_ends_tasks_without_a_report() {
    let fixture = Fixture::start();
    fixture.adopt("d1", 0).await;
    fixture.order("job", 1, start_action("forever")).await;
    fixture.worker.crash();
    let span = fixture.context.observer.spans(&task("job")).pop().unwrap();
    expect_that!(span.end, some(anything()));
    expect_that!(span.ending, none());
}
