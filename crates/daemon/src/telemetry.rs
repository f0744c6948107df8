//! Timeline events recorded by the duties.
//!
//! Events are numbered where they occur and written by the telemetry duty. If its ring is full, an
//! event is dropped; the gap in the numbers shows when timelines are merged.

use crate::duty::Duty;
use crate::journal::{Journal, Sink};
use crate::ring::{self, Receiver, Sender};
use crate::view;
use pimentovalve_core::ledger::record::{Change, Record, Register};
use pimentovalve_core::ledger::{Offset, Stream};
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{Event, Point, What};
use pimentovalve_wire::http::Pending;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// A sink that passes events to the telemetry duty.
struct RingSink(Sender<Event>);

impl Sink for RingSink {
    fn record(&self, event: &Event) {
        if self.0.offer(event.clone()).is_err() {
            tracing::warn!(
                sequence = event.sequence,
                "ring of the telemetry duty is full or closed; timeline event dropped"
            );
        }
    }
}

/// Records the timeline events of one duty.
#[derive(Clone)]
pub struct Telemetry {
    journal: Arc<Journal>,
    duty: Name,
}

impl Telemetry {
    /// Returns the recorder of `duty`, and the telemetry duty, which writes the events of the
    /// process to `sink`.
    pub fn new(process: Name, duty: Name, places: usize, sink: Arc<dyn Sink>) -> (Self, Writer) {
        let (sender, events) = ring::ring(places);
        let journal = Arc::new(Journal::new(process, Arc::new(RingSink(sender))));
        (Self { journal, duty }, Writer { events, sink })
    }

    /// Returns a recorder for another duty of the process.
    pub fn of(&self, duty: &Name) -> Self {
        Self { journal: Arc::clone(&self.journal), duty: duty.clone() }
    }

    /// Records an event and returns its identity.
    pub fn note(&self, what: What) -> Point {
        self.journal.note(&self.duty, view::now(), None, what)
    }

    /// Records the event that corresponds to a ledger record which took effect, if there is one.
    pub fn recorded(&self, stream: Stream, offset: Offset, record: &Record) {
        let what = match (&record.register, &record.change) {
            (Register::Job(job), Change::Submit { job: accepted, .. }) => What::JobAccepted {
                job: job.clone(),
                team: accepted.team.clone(),
                tasks: accepted.tasks,
            },
            (Register::Job(job), Change::Cancel) => What::JobCancelled { job: job.clone() },
            (Register::Task(task), Change::Attempt { attempt, worker, epoch, .. }) => {
                What::AttemptRecorded {
                    task: task.clone(),
                    attempt: *attempt,
                    worker: worker.clone(),
                    epoch: *epoch,
                    offset,
                }
            }
            (Register::Key(request), Change::Claim { .. }) => {
                What::RequestClaimed { request: request.clone() }
            }
            (Register::Worker(worker), Change::Lost { epoch }) => {
                What::WorkerLost { worker: worker.clone(), epoch: *epoch, offset }
            }
            _ => return,
        };
        tracing::debug!(%stream, offset, "ledger record took effect");
        self.note(what);
    }
}

/// The telemetry duty: writes timeline events to a sink.
pub struct Writer {
    events: Receiver<Event>,
    sink: Arc<dyn Sink>,
}

impl Duty for Writer {
    fn name(&self) -> &'static str {
        "telemetry"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            loop {
                tokio::select! {
                    biased;
                    Some(event) = self.events.next() => self.sink.record(&event),
                    () = stop.cancelled() => break,
                }
            }
        })
    }
}
