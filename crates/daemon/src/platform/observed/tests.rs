use super::Observed;
use crate::duty::{self, Tokens};
use crate::journal::Memory;
use crate::platform::{Failure, Runner, Worker};
use crate::telemetry::Telemetry;
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::arbiter::Arbiter;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{self, Action, Ending, Order, Refusal, Start};
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{Outcome, What};
use pimentovalve_core::zone::Place;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::runner::{Call, Done};
use pimentovalve_wire::worker::{Adopt, Adopted, Heartbeat, HeartbeatReply, Orders, Replies};
use std::sync::{Arc, Mutex};

const ADDRESS: &str = "127.0.0.1:1";
const SIZE: Capacity = Capacity::new(1_000, 1_000, 0);
const NEEDS: Capacity = Capacity::new(600, 600, 0);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn task(job: &str) -> task::Id {
    task::Id { job: name(job), index: 0 }
}

/// An in-memory worker.
struct Fake(Mutex<Arbiter>);

impl Fake {
    fn new() -> Arc<Self> {
        let place = Place { region: name("lima"), domain: name("lima-a"), rack: name("r1") };
        let worker = worker::Worker { name: name("worker-1"), place, capacity: SIZE };
        Arc::new(Self(Mutex::new(Arbiter::new(worker))))
    }
}

impl Worker for Fake {
    fn adopt<'a>(&'a self, _: &'a str, adopt: Adopt) -> Pending<'a, Result<Adopted, Failure>> {
        Box::pin(async move {
            let mut arbiter = self.0.lock().unwrap();
            Ok(match arbiter.adopt(&adopt.controller, adopt.expected) {
                Ok(inventory) => Adopted::Yes(inventory.clone()),
                Err(epoch) => Adopted::No { epoch, controller: None },
            })
        })
    }

    fn order<'a>(&'a self, _: &'a str, orders: Orders) -> Pending<'a, Result<Replies, Failure>> {
        Box::pin(async move {
            let mut arbiter = self.0.lock().unwrap();
            let epoch = orders.epoch;
            let replies = orders.orders.iter().map(|o| arbiter.order(epoch, o, Millis(10)));
            Ok(Replies { replies: replies.collect() })
        })
    }

    fn reply<'a>(
        &'a self,
        _: &'a str,
        _: Heartbeat,
    ) -> Pending<'a, Result<HeartbeatReply, Failure>> {
        Box::pin(async move {
            let inventory = self.0.lock().unwrap().inventory().clone();
            let (epoch, ended) = (inventory.epoch, inventory.ended.clone());
            Ok(HeartbeatReply { epoch, revision: 1, inventory: Some(inventory), ended })
        })
    }
}

/// A runner that serves requests whose id ends in 0 and refuses all others.
struct SelectiveRunner;

impl Runner for SelectiveRunner {
    fn serve<'a>(&'a self, _: &'a str, call: Call, _: bool) -> Pending<'a, Result<Done, Failure>> {
        Box::pin(async move {
            if call.request.as_str().ends_with('0') {
                let (request, attempt) = (call.request, call.attempt);
                Ok(Done { request, attempt, body: String::new() })
            } else {
                Err(Failure::Refused("busy".into()))
            }
        })
    }
}

fn start(job: &str) -> Order {
    let start = Start {
        epoch: 1,
        needs: NEEDS,
        start_by: Millis(1_000),
        until: Millis(1_000),
        team: name("notaries"),
        kind: name("sealing"),
        payload: String::new(),
        resume: false,
    };
    Order { task: task(job), attempt: 1, action: Action::Start(start) }
}

/// Runs `test` and returns the events that it recorded.
fn recorded<F: Future<Output = ()>>(test: impl FnOnce(Telemetry) -> F) -> Vec<What> {
    let memory = Arc::new(Memory::new(100));
    let sink = Arc::clone(&memory);
    let (telemetry, writer) = Telemetry::new(name("entry-1"), name("test"), 100, sink);
    let tokens = Tokens::default();
    let thread = duty::start(Box::new(writer), &tokens).unwrap();
    let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
    runtime.block_on(test(telemetry));
    tokens.stop.cancel();
    thread.join().unwrap();
    memory.events().into_iter().map(|event| event.what).collect()
}

#[gtest]
fn answers_of_a_worker_are_recorded_once() {
    let events = recorded(|telemetry| async move {
        let fake = Fake::new();
        let observed = Observed::new(Arc::clone(&fake), telemetry);
        let adopt = Adopt { controller: name("entry-1"), expected: 0 };
        observed.adopt(ADDRESS, adopt).await.unwrap();
        let orders = Orders { epoch: 1, orders: vec![start("deed-1"), start("deed-2")] };
        observed.order(ADDRESS, orders).await.unwrap();
        let ending = Ending::Completed("sealed".into());
        fake.0.lock().unwrap().finish(&task("deed-1"), 1, ending, Millis(70));
        let heartbeat =
            Heartbeat { epoch: 1, seen: 0, acknowledged: 0, renew_all: None, wait_ms: Millis(0) };
        observed.reply(ADDRESS, heartbeat.clone()).await.unwrap();
        observed.reply(ADDRESS, heartbeat).await.unwrap();
    });
    let worker = name("worker-1");
    let sent = |job: &str| What::OrderSent {
        task: task(job),
        attempt: 1,
        worker: worker.clone(),
        epoch: 1,
    };
    let wanted = vec![
        What::WorkerAdopted { worker: worker.clone(), epoch: 1, capacity: SIZE },
        sent("deed-1"),
        sent("deed-2"),
        What::AttemptStarted {
            task: task("deed-1"),
            attempt: 1,
            worker: worker.clone(),
            needs: NEEDS,
        },
        What::OrderRefused {
            task: task("deed-2"),
            attempt: 1,
            worker: worker.clone(),
            refusal: Refusal::Capacity,
        },
        What::AttemptEnded {
            task: task("deed-1"),
            attempt: 1,
            worker,
            outcome: Outcome::Completed,
            ran_ms: Millis(60),
        },
    ];
    expect_that!(events, eq(&wanted));
}

#[gtest]
fn running_attempts_are_recorded_at_adoption_and_a_newer_epoch_once() {
    let events = recorded(|telemetry| async move {
        let fake = Fake::new();
        let before = Adopt { controller: name("entry-2"), expected: 0 };
        fake.adopt(ADDRESS, before).await.unwrap();
        fake.order(ADDRESS, Orders { epoch: 1, orders: vec![start("deed-1")] }).await.unwrap();
        let observed = Observed::new(Arc::clone(&fake), telemetry);
        let adopt = Adopt { controller: name("entry-1"), expected: 1 };
        observed.adopt(ADDRESS, adopt).await.unwrap();
        fake.0.lock().unwrap().adopt(&name("entry-2"), 2).unwrap();
        let heartbeat =
            Heartbeat { epoch: 2, seen: 0, acknowledged: 0, renew_all: None, wait_ms: Millis(0) };
        observed.reply(ADDRESS, heartbeat.clone()).await.unwrap();
        observed.reply(ADDRESS, heartbeat).await.unwrap();
    });
    let worker = name("worker-1");
    let wanted = vec![
        What::WorkerAdopted { worker: worker.clone(), epoch: 2, capacity: SIZE },
        What::AttemptStarted {
            task: task("deed-1"),
            attempt: 1,
            worker: worker.clone(),
            needs: NEEDS,
        },
        What::WorkerDeposed { worker, epoch: 2 },
    ];
    expect_that!(events, eq(&wanted));
}

#[gtest]
fn answers_of_a_runner_are_recorded() {
    let events = recorded(|telemetry| async move {
        let observed = Observed::new(Arc::new(SelectiveRunner), telemetry);
        for id in ["lookup-0", "lookup-1"] {
            let (request, attempt) = (name(id), name("try-1"));
            let call = Call { request, attempt, budget_ms: Millis(10), body: String::new() };
            drop(observed.serve(ADDRESS, call, false).await);
        }
    });
    let wanted = vec![
        What::RequestServed { request: name("lookup-0"), attempt: name("try-1") },
        What::TryRefused { request: name("lookup-1"), attempt: name("try-1") },
    ];
    expect_that!(events, eq(&wanted));
}
