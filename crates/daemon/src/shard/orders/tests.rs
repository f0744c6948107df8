//! Tests of orders that get no answer, and of the number of orders in flight.

use super::lane::MAX_ORDERS;
use super::{Call, FIRST_TIMEOUT, MAX_START_AGE, Orders, SECOND_TIMEOUT, send};
use crate::duty::Duty;
use crate::ring;
use crate::shard::border::Workers;
use crate::shard::metrics::Metrics;
use crate::shard::steward::Event;
use crate::shard::view;
use crate::shard::view::ShardStatus;
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::order::{Order, Poll, Start, Stop, StopReason};
use pimentovalve_core::contract::owner::{PollError, Report, StartAnswer, StopAnswer};
use pimentovalve_core::contract::work::{Id, Job, Policy, StepId, Task};
use pimentovalve_core::ledger::shard::{Incarnation, Run};
use pimentovalve_wire::http::Pending;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// A worker whose answers are given.
struct Scripted {
    starts: Mutex<Vec<StartAnswer>>,
    stops: Mutex<Vec<StopAnswer>>,
    /// Time-outs of the orders that it got.
    timeouts: Mutex<Vec<Millis>>,
    /// Time for which this process is paused while it waits for the answer to a start order.
    pause: Millis,
}

impl Scripted {
    fn new(starts: &[StartAnswer], stops: &[StopAnswer]) -> Self {
        Self {
            starts: Mutex::new(starts.to_vec()),
            stops: Mutex::new(stops.to_vec()),
            timeouts: Mutex::default(),
            pause: Millis::ZERO,
        }
    }
}

impl Workers for Scripted {
    fn start<'a>(
        &'a self,
        _: u64,
        _: &'a Start,
        timeout: Millis,
    ) -> Pending<'a, (StartAnswer, Option<u64>)> {
        self.timeouts.lock().unwrap().push(timeout);
        let answer = self.starts.lock().unwrap().remove(0);
        std::thread::sleep(self.pause.into());
        Box::pin(async move { (answer, Some(7)) })
    }

    fn stop<'a>(
        &'a self,
        _: u64,
        _: &'a Stop,
        timeout: Millis,
    ) -> Pending<'a, (StopAnswer, Option<u64>)> {
        self.timeouts.lock().unwrap().push(timeout);
        let answer = self.stops.lock().unwrap().remove(0);
        Box::pin(async move { (answer, None) })
    }

    fn poll<'a>(
        &'a self,
        _: u64,
        _: &'a Poll,
    ) -> Pending<'a, std::result::Result<Report, PollError>> {
        Box::pin(async { Err(PollError::NoAnswer) })
    }
}

fn run() -> Run {
    let step_id = StepId { job: Id(1), occurrence: 0, step: 0 };
    Run { task: Task { step_id, index: 0 }, number: 1 }
}

fn on() -> Arc<Incarnation> {
    Arc::new(Incarnation { worker: "a".into(), born: 1 })
}

/// Sends a start order to a worker with these answers; returns the answer that the owner gets and the
/// number of orders sent.
fn started(answers: &[StartAnswer]) -> (StartAnswer, usize) {
    start(&Scripted::new(answers, &[]), view::now())
}

/// Sends a start order that was decided at `decided`; returns as [`started`] does.
fn start(worker: &Scripted, decided: Millis) -> (StartAnswer, usize) {
    let call = start_call("127.0.0.1:1", decided);
    let Event::Started(_, _, answer, _) = block_on(send(worker, call)) else {
        unreachable!("a start is answered as a start")
    };
    let sent = worker.timeouts.lock().unwrap().len();
    (answer, sent)
}

fn start_call(address: &str, decided: Millis) -> Call {
    let policy = Policy {
        queue: "q".into(),
        pool: "pool".into(),
        priority: 0,
        attempts: 2,
        stretch_milli: 1500,
        slack_ms: Millis(600),
        advisor_timing: None,
        team: None,
    };
    let (payload, steps) = ("".into(), Vec::new());
    let job = Arc::new(Job { id: Id(1), policy, payload, steps, schedule: None });
    let start = Start {
        on: on(),
        address: address.into(),
        run: run(),
        job,
        lease_end: None,
        saved: "".into(),
        ticket: None,
    };
    Call { epoch: 1, decided, order: Order::Start(Box::new(start)) }
}

fn block_on<T>(call: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(call)
}

/// Regression: a start order without answer was given up after 0.9 s, its gang was broken, and its
/// worker got no work for 2 s (large trouble-1: one order in twenty for 16 s).
#[gtest]
fn a_start_order_without_answer_is_sent_once_more() {
    use StartAnswer::{Taken, TakenOnRepeat, Unknown};
    expect_that!(started(&[Unknown, Taken]), eq((TakenOnRepeat, 2)));
    expect_that!(started(&[Unknown, Unknown]), eq((Unknown, 2)));
}

#[gtest]
fn an_answered_order_is_not_repeated() {
    use StartAnswer::{Fenced, OtherLife, Refused, Taken, Unhealthy};
    for answer in [Taken, Refused, Unhealthy, Fenced, OtherLife] {
        expect_that!(started(&[answer]), eq((answer, 1)));
    }
}

/// The first order may have been executed, and its run may have ended, before the second one is
/// refused: to count that as a start that did not happen would run the task again.
#[gtest]
fn a_refused_repetition_leaves_the_outcome_unknown() {
    use StartAnswer::{Fenced, OtherLife, Refused, Unhealthy, Unknown};
    for second in [Refused, Unhealthy, Fenced, OtherLife] {
        expect_that!(started(&[Unknown, second]), eq((Unknown, 2)));
    }
}

#[gtest]
fn a_stop_order_without_answer_is_sent_once_more() {
    let worker = Scripted::new(&[], &[StopAnswer::Unknown, StopAnswer::Taken]);
    let (on, run, reason, since) = (on(), run(), StopReason::Over, view::now());
    let order = Order::Stop(Stop { on, address: "127.0.0.1:1".into(), run, reason, since });
    let event = block_on(send(&worker, Call { epoch: 1, decided: view::now(), order }));
    expect_that!(matches!(event, Event::Stopped(_, _, StopAnswer::Taken, _)), eq(true));
    expect_that!(*worker.timeouts.lock().unwrap(), eq(&vec![FIRST_TIMEOUT, SECOND_TIMEOUT]));
}

/// A process that was paused after the owner's decision may not be the owner any more.
#[gtest]
fn a_start_order_that_was_decided_before_a_pause_is_not_sent() {
    let worker = Scripted::new(&[StartAnswer::Taken], &[]);
    let decided = view::now().since(MAX_START_AGE + Millis(1));
    expect_that!(start(&worker, decided), eq((StartAnswer::Refused, 0)));
}

#[gtest]
fn a_start_order_is_not_repeated_after_a_pause() {
    let pause = Millis(1000);
    let worker = Scripted { pause, ..Scripted::new(&[StartAnswer::Unknown], &[]) };
    let decided = view::now().since(MAX_START_AGE.since(Millis(800)));
    expect_that!(start(&worker, decided), eq((StartAnswer::Unknown, 1)));
}

/// Workers that answer each order after a while and count those in flight to each address.
#[derive(Default)]
struct Slow {
    in_flight: [AtomicUsize; 2],
    most: [AtomicUsize; 2],
    polls: AtomicUsize,
}

/// Addresses of the slow workers.
const ADDRESSES: [&str; 2] = ["127.0.0.1:1", "127.0.0.1:2"];
/// Time that a slow worker takes for an order.
const ORDER_TIME: Duration = Duration::from_millis(20);

impl Workers for Slow {
    fn start<'a>(
        &'a self,
        _: u64,
        start: &'a Start,
        _: Millis,
    ) -> Pending<'a, (StartAnswer, Option<u64>)> {
        let i = ADDRESSES.iter().position(|a| **a == *start.address).unwrap();
        Box::pin(async move {
            let in_flight = self.in_flight[i].fetch_add(1, Ordering::Relaxed) + 1;
            self.most[i].fetch_max(in_flight, Ordering::Relaxed);
            tokio::time::sleep(ORDER_TIME).await;
            self.in_flight[i].fetch_sub(1, Ordering::Relaxed);
            (StartAnswer::Taken, None)
        })
    }

    fn stop<'a>(
        &'a self,
        _: u64,
        _: &'a Stop,
        _: Millis,
    ) -> Pending<'a, (StopAnswer, Option<u64>)> {
        Box::pin(async { (StopAnswer::Taken, None) })
    }

    fn poll<'a>(
        &'a self,
        _: u64,
        _: &'a Poll,
    ) -> Pending<'a, std::result::Result<Report, PollError>> {
        self.polls.fetch_add(1, Ordering::Relaxed);
        Box::pin(async { Err(PollError::NoAnswer) })
    }
}

/// Regression: each start order of a burst took a connection of its own, and an owner that lost power left
/// eight or more open at each worker. After some losses no daemon could call a worker any more.
#[gtest]
fn a_limited_number_of_orders_is_in_flight_to_each_worker() {
    const ORDERS: usize = 20;
    let workers = Arc::new(Slow::default());
    let (orders_in, orders) = ring::ring(64);
    let (steward, events) = ring::ring(64);
    let (_, shard_status) = ring::latest(ShardStatus::default());
    let metrics =
        Arc::new(Metrics::new(shard_status, Vec::new(), Arc::default(), Arc::default()).unwrap());
    let duty =
        Orders { workers: Arc::clone(&workers) as Arc<dyn Workers>, orders, metrics, steward };
    for _ in 0..ORDERS {
        let call = |address| orders_in.offer(start_call(address, view::now())).unwrap();
        ADDRESSES.into_iter().for_each(call);
    }
    let poll = Poll {
        on: on(),
        address: ADDRESSES[0].into(),
        number: 1,
        recorded_end: 0,
        lease_end: None,
        wait: Millis::ZERO,
    };
    orders_in.offer(Call { epoch: 1, decided: view::now(), order: Order::Poll(poll) }).unwrap();
    let first = block_on(async {
        tokio::spawn(Box::new(duty).run(CancellationToken::new()));
        let first = events.next().await;
        for _ in 0..2 * ORDERS {
            events.next().await;
        }
        first
    });
    expect_that!(workers.polls.load(Ordering::Relaxed), eq(1));
    expect_that!(matches!(first, Some(Event::Polled(..))), eq(true), "a poll doesn't wait");
    for most in &workers.most {
        expect_that!(most.load(Ordering::Relaxed), eq(MAX_ORDERS));
    }
}
