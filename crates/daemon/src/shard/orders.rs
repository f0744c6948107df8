//! The orders duty: sends calls to workers and passes their answers to the steward.
//!
//! An order that gets no answer is sent once more: the worker executes it once, whether the first one
//! was lost, arrives later, or only its answer was lost. A limited number of orders is in flight to each
//! worker; further ones wait. A status poll never waits, and the owner sends one at a time to each.

mod lane;
#[cfg(test)]
mod tests;

pub use lane::MAX_CALLS_TO_WORKER;

use super::border::Workers;
use super::metrics::Metrics;
use super::steward::Event;
use super::view;
use crate::duty::Duty;
use crate::ring::{Receiver, Sender};
use lane::Lanes;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::order::{Order, Start, Stop};
use pimentovalve_core::contract::owner::{StartAnswer, StopAnswer};
use pimentovalve_core::ledger::shard::{Incarnation, Run};
use pimentovalve_wire::http::Pending;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Time-out of an order that is then sent once more: two round trips between regions, and a margin.
const FIRST_TIMEOUT: Millis = Millis(300);
/// Time-out of an order that is sent for the second time: a round trip between regions plus a slow
/// answer.
const SECOND_TIMEOUT: Millis = Millis(600);

/// Age of a start order from which it is not sent. The process was paused, or can't keep up; another
/// daemon may own the shard by now, the job may be cancelled, and the ticket may have expired.
const MAX_START_AGE: Millis = Millis(1500);

/// A call to a worker.
pub struct Call {
    /// Epoch of the owner that decided the call; the fencing token of the call.
    pub epoch: u64,
    /// When it was decided, on the steady clock.
    pub decided: Millis,
    /// Order to start or stop a run, or a lease renewal with a status poll.
    pub order: Order,
}

/// The orders duty.
pub struct Orders {
    /// Platform adapter for the workers.
    pub workers: Arc<dyn Workers>,
    /// Calls from the steward.
    pub orders: Receiver<Call>,
    /// Counters and latencies of calls.
    pub metrics: Arc<Metrics>,
    /// Ring to the steward, for the answers.
    pub steward: Sender<Event>,
}

impl Duty for Orders {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let mut lanes = Lanes::default();
            loop {
                let call = tokio::select! {
                    () = stop.cancelled() => return,
                    call = self.orders.next() => call,
                };
                let Some(call) = call else { return };
                let (workers, metrics) = (Arc::clone(&self.workers), Arc::clone(&self.metrics));
                let steward = self.steward.clone();
                let place = match &call.order {
                    Order::Start(start) => Some(lanes.place(&start.address)),
                    Order::Stop(stop) => Some(lanes.place(&stop.address)),
                    Order::Poll(_) => None,
                };
                // The number of tasks is bounded: the owner has at most one call in flight for each
                // run and one status poll for each worker.
                tokio::spawn(async move {
                    let _place = match place {
                        Some(place) => {
                            let asked = view::now();
                            let place = place.await;
                            metrics.order_waited(view::now().since(asked));
                            place
                        }
                        None => None,
                    };
                    let began = view::now();
                    let answer = send(&*workers, call).await;
                    let (kind, outcome) = metric_labels(&answer);
                    metrics.ordered(kind, outcome, view::now().since(began));
                    if steward.push(answer).await.is_err() {
                        tracing::debug!("worker's answer dropped: the steward has ended");
                    }
                });
            }
        })
    }
}

/// Returns the metric labels of a call: its kind and its answer.
const fn metric_labels(event: &Event) -> (&'static str, &'static str) {
    match event {
        Event::Started(_, _, StartAnswer::Taken | StartAnswer::TakenOnRepeat, _) => {
            ("start", "taken")
        }
        Event::Started(_, _, StartAnswer::Unknown, _) => ("start", "unknown"),
        Event::Started(..) => ("start", "refused"),
        Event::Stopped(_, _, StopAnswer::Taken, _) => ("stop", "taken"),
        Event::Stopped(..) => ("stop", "not taken"),
        Event::Polled(_, _, Ok(_)) => ("look", "report"),
        _ => ("look", "none"),
    }
}

/// Sends a call and returns the answer as an event for the steward.
async fn send(workers: &dyn Workers, Call { epoch, decided, order }: Call) -> Event {
    match order {
        Order::Start(start) => {
            let (answer, clock) = self::start(workers, epoch, decided, &start).await;
            Event::Started(epoch, start, answer, clock)
        }
        Order::Stop(stop) => {
            let (answer, clock) = self::stop(workers, epoch, &stop).await;
            Event::Stopped(epoch, stop, answer, clock)
        }
        Order::Poll(poll) => {
            let report = workers.poll(epoch, &poll).await;
            Event::Polled(epoch, poll, report)
        }
    }
}

async fn start(
    workers: &dyn Workers,
    epoch: u64,
    decided: Millis,
    order: &Start,
) -> (StartAnswer, Option<u64>) {
    let is_too_old = || {
        let age = view::now().since(decided);
        if age > MAX_START_AGE {
            let Run { task, number } = order.run;
            tracing::warn!(job = %task.step_id.job, %task, number, %age, "start order too old to send");
        }
        age > MAX_START_AGE
    };
    if is_too_old() {
        return (StartAnswer::Refused, None);
    }
    let first = workers.start(epoch, order, FIRST_TIMEOUT).await;
    if first.0 != StartAnswer::Unknown || is_too_old() {
        return first;
    }
    log_repeat(&order.run, &order.on);
    match workers.start(epoch, order, SECOND_TIMEOUT).await {
        (StartAnswer::Taken, clock) => (StartAnswer::TakenOnRepeat, clock),
        // A refusal says nothing about the first order: its run may have ended already.
        (_, clock) => (StartAnswer::Unknown, clock),
    }
}

async fn stop(workers: &dyn Workers, epoch: u64, order: &Stop) -> (StopAnswer, Option<u64>) {
    let first = workers.stop(epoch, order, FIRST_TIMEOUT).await;
    if first.0 != StopAnswer::Unknown {
        return first;
    }
    log_repeat(&order.run, &order.on);
    workers.stop(epoch, order, SECOND_TIMEOUT).await
}

fn log_repeat(run: &Run, on: &Incarnation) {
    let Run { task, number } = run;
    tracing::info!(job = %task.step_id.job, %task, number, worker = %on.worker,
        "order without answer repeated");
}
