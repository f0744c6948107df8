//! The orders duty: carries calls to workers and brings back what they answered.

use super::border::Workers;
use super::metrics::Metrics;
use super::steward::Event;
use super::view;
use crate::duty::Duty;
use crate::ring::{Receiver, Sender};
use pimentovalve_core::contract::owner::order::Order;
use pimentovalve_core::contract::owner::{StartAnswer, StopAnswer};
use pimentovalve_wire::http::Pending;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// A call to a worker, under the epoch of the owner that decided it.
pub struct Call {
    /// The epoch.
    pub epoch: u64,
    /// What the worker shall do.
    pub order: Order,
}

/// The duty.
pub struct Orders {
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// Calls to make.
    pub orders: Receiver<Call>,
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
                let call = tokio::select! {
                    () = stop.cancelled() => return,
                    call = self.orders.next() => call,
                };
                let Some(call) = call else { return };
                let (workers, metrics) = (Arc::clone(&self.workers), Arc::clone(&self.metrics));
                let steward = self.steward.clone();
                // The owner has at most one call in flight for each run and each look.
                tokio::spawn(async move {
                    let began = view::now();
                    let answer = carry(&*workers, call).await;
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
        Event::Looked(_, _, Ok(_)) => ("look", "report"),
        _ => ("look", "none"),
    }
}

async fn carry(workers: &dyn Workers, Call { epoch, order }: Call) -> Event {
    match order {
        Order::Start(start) => {
            let (answer, clock) = workers.start(epoch, &start).await;
            Event::Started(epoch, start, answer, clock)
        }
        Order::Stop(stop) => {
            let (answer, clock) = workers.stop(epoch, &stop).await;
            Event::Stopped(epoch, stop, answer, clock)
        }
        Order::Look(look) => {
            let report = workers.look(epoch, &look).await;
            Event::Looked(epoch, look, report)
        }
    }
}
