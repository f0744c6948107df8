//! Tests of the worker and of each of its faults.

use super::{Shared, Worker};
use crate::clock;
use crate::server::Server;
use crate::testing::{CALL_TIMEOUT, SHORT_WAIT, name, place, task, wait_until};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{self, Action, Ending, Order, Refusal, Reply, Start};
use pimentovalve_wire::http::client::{Client, Error};
use pimentovalve_wire::worker::{Adopt, Adopted, Beat, Heartbeat, Orders, Replies};
use std::sync::Arc;

const NEEDS: Capacity = Capacity::new(1000, 1024, 0);

struct Bench {
    worker: Worker,
    shared: Shared,
    client: Client,
    server: Server,
}

impl Bench {
    fn start() -> Self {
        let server = Server::start("test").expect("a thread");
        let shared =
            Shared { observer: Arc::default(), checkpoints: Arc::default(), usage_lag: Millis(1) };
        let worker = start(&server, "w1", &shared);
        Self { worker, shared, client: Client::new(), server }
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

    async fn heartbeat(&self, seen: u64, acknowledged: u64) -> Beat {
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
        self.shared.observer.spans(&task(job)).into_iter().map(|s| s.ending).collect()
    }

    async fn ended(&self, job: &str) -> Ending {
        wait_until(|| self.endings(job).last().is_some_and(Option::is_some)).await;
        self.endings(job).pop().flatten().expect("an ending")
    }
}

fn start(server: &Server, raw: &str, shared: &Shared) -> Worker {
    let worker =
        worker::Worker { name: name(raw), place: place(), capacity: Capacity::new(2000, 4096, 0) };
    Worker::start(server, worker, shared.clone()).expect("a port")
}

fn run(payload: &str) -> Action {
    lease(payload, CALL_TIMEOUT + CALL_TIMEOUT, false)
}

fn lease(payload: &str, lease: Millis, resume: bool) -> Action {
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
    let bench = Bench::start();
    expect_that!(bench.adopt("d1", 0).await, matches_pattern!(Adopted::Yes(anything())));
    expect_that!(bench.order("job", 1, run("run_ms=30 result=sealed")).await, eq(&Reply::Done));
    let first = bench.heartbeat(0, 0).await;
    expect_that!(first.inventory, some(anything()));
    let mut beat = first;
    while beat.ended.is_empty() {
        beat = bench.heartbeat(beat.revision, 0).await;
    }
    expect_that!(beat.ended[0].ending, eq(&Ending::Completed("sealed".into())));
    expect_that!(bench.worker.inventory().running, is_empty());
    expect_that!(bench.shared.observer.summary().completed, eq(1));
}

#[gtest]
#[tokio::test]
async fn a_deposed_controller_is_told_at_once() {
    let bench = Bench::start();
    bench.adopt("d1", 0).await;
    expect_that!(
        bench.adopt("d2", 0).await,
        matches_pattern!(Adopted::No { epoch: eq(&1), controller: some(eq(&name("d1"))) })
    );
    bench.adopt("d2", 1).await;
    expect_that!(bench.heartbeat(99, 0).await.epoch, eq(2));
    let refused = bench.order("job", 1, run("forever")).await;
    expect_that!(refused, eq(&Reply::Refused(Refusal::Epoch)));
    expect_that!(bench.shared.observer.summary().starts, eq(0));
}

#[gtest]
#[tokio::test]
async fn a_lease_lapses_while_the_process_is_paused() {
    let bench = Bench::start();
    bench.adopt("d1", 0).await;
    bench.order("job", 1, run("forever")).await;
    bench.worker.link().pause();
    bench.worker.skew(10 * 60 * 1000);
    expect_that!(bench.ended("job").await, eq(&Ending::Lapsed));
}

#[gtest]
#[tokio::test]
async fn a_paused_or_cut_worker_answers_nothing_and_its_tasks_run_on() {
    let bench = Bench::start();
    bench.adopt("d1", 0).await;
    bench.order("job", 1, run("run_ms=100")).await;
    bench.worker.link().cut();
    let adopt = Adopt { controller: name("d2"), expected: 1 };
    let address = bench.worker.address().to_string();
    let cut: std::result::Result<Adopted, _> =
        bench.client.exchange(&address, "/adopt", &adopt, SHORT_WAIT).await;
    expect_that!(cut, err(matches_pattern!(Error::Unknown { .. })));
    expect_that!(bench.ended("job").await, eq(&Ending::Completed("ok".into())));
    expect_that!(bench.worker.inventory().epoch, eq(1));
}

#[gtest]
#[tokio::test]
async fn a_checkpointed_task_resumes_on_another_worker() {
    let mut bench = Bench::start();
    bench.adopt("d1", 0).await;
    bench.order("job", 1, run("run_ms=3600000")).await;
    tokio::time::sleep(SHORT_WAIT.into()).await;
    expect_that!(bench.order("job", 1, Action::Checkpoint).await, eq(&Reply::Done));
    expect_that!(bench.endings("job"), elements_are![some(eq(&Ending::Checkpointed))]);
    let saved = bench.shared.checkpoints.load(&task("job"));
    expect_that!(saved, ge(SHORT_WAIT));
    bench.worker = start(&bench.server, "w2", &bench.shared);
    bench.adopt("d1", 0).await;
    let payload = format!("run_ms={}", saved.get());
    bench.order("job", 2, lease(&payload, CALL_TIMEOUT, true)).await;
    expect_that!(bench.ended("job").await, eq(&Ending::Completed("ok".into())));
    let second = bench.shared.observer.spans(&task("job")).pop().unwrap();
    expect_that!(second.worker, eq(&name("w2")));
}

#[gtest]
#[tokio::test]
async fn throttle_and_speed_hold_progress_back() {
    let bench = Bench::start();
    bench.adopt("d1", 0).await;
    bench.worker.speed(0);
    bench.order("job", 1, run("run_ms=1")).await;
    tokio::time::sleep(SHORT_WAIT.into()).await;
    expect_that!(bench.endings("job"), elements_are![none()]);
    bench.order("job", 1, Action::Throttle { percent: 0 }).await;
    bench.worker.speed(100);
    tokio::time::sleep(SHORT_WAIT.into()).await;
    expect_that!(bench.endings("job"), elements_are![none()]);
    bench.order("job", 1, Action::Throttle { percent: 100 }).await;
    expect_that!(bench.ended("job").await, eq(&Ending::Completed("ok".into())));
}

#[gtest]
#[tokio::test]
async fn usage_is_reported_as_the_payload_says() {
    let bench = Bench::start();
    bench.adopt("d1", 0).await;
    bench.order("job", 1, run("forever use_cpu=250 use_memory=100")).await;
    let used = Capacity::new(250, 100, 0);
    wait_until(|| bench.worker.inventory().running.iter().any(|h| h.usage == used)).await;
    expect_that!(bench.order("job", 1, Action::Stop).await, eq(&Reply::Done));
    expect_that!(bench.endings("job"), elements_are![some(eq(&Ending::Stopped))]);
    expect_that!(bench.worker.inventory().ended[0].peak, eq(used));
}

#[gtest]
#[tokio::test]
async fn failures_are_those_of_the_task_or_of_the_worker() {
    let bench = Bench::start();
    bench.adopt("d1", 0).await;
    bench.order("bad", 1, run("run_ms=1 fail=ink")).await;
    expect_that!(bench.ended("bad").await, eq(&Ending::Failed("ink".into())));
    bench.order("flaky", 1, run("run_ms=1 fail_first=1")).await;
    expect_that!(bench.ended("flaky").await, matches_pattern!(Ending::Failed(anything())));
    bench.order("flaky", 2, run("run_ms=1 fail_first=1")).await;
    wait_until(|| bench.endings("flaky").len() == 2).await;
    expect_that!(bench.ended("flaky").await, eq(&Ending::Completed("ok".into())));
    bench.worker.fail_all(true);
    bench.order("good", 1, run("forever")).await;
    expect_that!(bench.ended("good").await, matches_pattern!(Ending::Failed(anything())));
}

#[gtest]
#[tokio::test]
async fn a_leaving_worker_starts_nothing_and_says_so() {
    let bench = Bench::start();
    bench.adopt("d1", 0).await;
    let seen = bench.heartbeat(0, 0).await.revision;
    bench.worker.leave();
    let beat = bench.heartbeat(seen, 0).await;
    expect_that!(beat.inventory.unwrap().leaving, eq(true));
    let refused = bench.order("job", 1, run("forever")).await;
    expect_that!(refused, eq(&Reply::Refused(Refusal::Leaving)));
}

#[gtest]
#[tokio::test]
async fn a_crash_ends_tasks_without_a_report() {
    let bench = Bench::start();
    bench.adopt("d1", 0).await;
    bench.order("job", 1, run("forever")).await;
    bench.worker.crash();
    let span = bench.shared.observer.spans(&task("job")).pop().unwrap();
    expect_that!(span.end, some(anything()));
    expect_that!(span.ending, none());
}
