//! What duties say of themselves: events of the time line.
//!
//! Events are numbered where they happen and written by the telemetry duty. When its ring is full
//! an event is dropped, which the merge of the time line shows as a gap.

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

/// Puts events in the ring of the telemetry duty.
struct Ring(Sender<Event>);

impl Sink for Ring {
    fn take(&self, event: &Event) {
        if self.0.offer(event.clone()).is_err() {
            tracing::warn!(sequence = event.sequence, "an event of the time line is dropped");
        }
    }
}

/// The telemetry of one duty.
#[derive(Clone)]
pub struct Telemetry {
    journal: Arc<Journal>,
    duty: Name,
}

impl Telemetry {
    /// Returns the telemetry of a process, and the duty that writes its events to `sink`.
    pub fn new(process: Name, duty: Name, places: usize, sink: Arc<dyn Sink>) -> (Self, Writer) {
        let (sender, events) = ring::ring(places);
        let journal = Arc::new(Journal::new(process, Arc::new(Ring(sender))));
        (Self { journal, duty }, Writer { events, sink })
    }

    /// Returns the telemetry of another duty of the process.
    pub fn of(&self, duty: &Name) -> Self {
        Self { journal: Arc::clone(&self.journal), duty: duty.clone() }
    }

    /// Notes what happened.
    pub fn note(&self, what: What) -> Point {
        self.journal.note(&self.duty, view::now(), None, what)
    }

    /// Notes that a record is in force.
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
        tracing::debug!(%stream, offset, "a record is in force");
        self.note(what);
    }
}

/// The telemetry duty: writes events.
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
                    Some(event) = self.events.next() => self.sink.take(&event),
                    () = stop.cancelled() => break,
                }
            }
        })
    }
}
