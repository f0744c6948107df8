//! The orders duty: carries calls to workers and brings back what they answered.

use super::border::{Look, Workers};
use super::metrics::Metrics;
use super::steward::Event;
use super::view;
use crate::duty::Duty;
use crate::ring::{Receiver, Sender};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::{Start, StartAnswer, StopAnswer};
use pimentovalve_core::ledger::shard::{Life, Run};
use pimentovalve_wire::http::Pending;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// A call to a worker, under the epoch of the owner that decided it.
pub enum Order {
    /// Start a run.
    Start(u64, Box<Start>),
    /// Stop a run.
    Stop {
        /// Epoch of the owner.
        epoch: u64,
        /// The worker.
        on: Arc<Life>,
        /// Where it takes orders.
        address: Box<str>,
        /// The run.
        run: Run,
    },
    /// Renew the lease and look.
    Look {
        /// Epoch of the owner.
        epoch: u64,
        /// The worker.
        on: Arc<Life>,
        /// Where it takes orders.
        address: Box<str>,
        /// Number of the look.
        number: u64,
        /// The last end that the worker may forget.
        noted: u64,
        /// When the lease ends on the worker's clock.
        lease_end: Option<u64>,
        /// Longest time to wait for an end.
        wait: Millis,
    },
}

impl Order {
    /// Returns the epoch of the owner that decided it.
    pub const fn epoch(&self) -> u64 {
        match self {
            Self::Start(epoch, _) | Self::Stop { epoch, .. } | Self::Look { epoch, .. } => *epoch,
        }
    }
}

/// The duty.
pub struct Orders {
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// Calls to make.
    pub orders: Receiver<Order>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// Where answers go.
    pub steward: Sender<Event>,
}

impl Duty for Orders {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            loop {
                let order = tokio::select! {
                    () = stop.cancelled() => return,
                    order = self.orders.next() => order,
                };
                let Some(order) = order else { return };
                let (workers, metrics) = (Arc::clone(&self.workers), Arc::clone(&self.metrics));
                let steward = self.steward.clone();
                // The owner has at most one call in flight for each run and each look.
                tokio::spawn(async move {
                    let began = view::now();
                    let answer = carry(&*workers, order).await;
                    let (kind, outcome) = kinds(&answer);
                    metrics.ordered(kind, outcome, view::now().since(began));
                    if steward.push(answer).await.is_err() {
                        tracing::debug!("an answer came after the steward ended");
                    }
                });
            }
        })
    }
}

/// Returns the kind of an answered call and of its answer, for metrics.
const fn kinds(event: &Event) -> (&'static str, &'static str) {
    match event {
        Event::Started(_, _, StartAnswer::Taken, _) => ("start", "taken"),
        Event::Started(_, _, StartAnswer::Unknown, _) => ("start", "unknown"),
        Event::Started(..) => ("start", "refused"),
        Event::Stopped(_, _, StopAnswer::Taken, _) => ("stop", "taken"),
        Event::Stopped(..) => ("stop", "not taken"),
        Event::Looked(_, _, _, Ok(_)) => ("look", "report"),
        _ => ("look", "none"),
    }
}

async fn carry(workers: &dyn Workers, order: Order) -> Event {
    match order {
        Order::Start(epoch, start) => {
            let (answer, clock) = workers.start(epoch, &start).await;
            Event::Started(epoch, start.run, answer, clock)
        }
        Order::Stop { epoch, on, address, run } => {
            let (answer, clock) = workers.stop(epoch, &on, &address, run).await;
            Event::Stopped(epoch, run, answer, clock)
        }
        Order::Look { epoch, on, address, number, noted, lease_end, wait } => {
            let look = Look { on: &on, address: &address, noted, lease_end, wait };
            let report = workers.look(epoch, look).await;
            Event::Looked(epoch, Arc::clone(&on), number, report)
        }
    }
}
