//! Answers callers. Decoding is the adapter's; what is answered is decided here.

use super::border::{Answer, Callers, Command, Decoded};
use super::ledger::{Intake, Stored};
use super::metrics::Metrics;
use super::steward::Event;
use super::view::{self, Facts};
use crate::ring::{self, Latest, Sender, Unanswered};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use pimentovalve_core::contract::work::{Id, Job, Status};
use pimentovalve_core::ledger::shard::Entry;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use std::sync::Arc;

/// When a caller should come back whose request was not run.
const COME_BACK: Millis = Millis::from_secs(1);
/// Longest time for which storing a request is tried. Callers that say how long they wait get an
/// answer while they can still use it.
const MAX_PATIENCE: Millis = Millis(2500);
/// Part of a caller's patience, in tenths, that storing may use: a caller that hears earlier that
/// nothing was done can still come back in time.
const PATIENCE_TENTHS: u64 = 4;
/// The same while the store is slow: then it is waiting that brings success, not coming back.
const SLOW_PATIENCE_TENTHS: u64 = 8;
/// A book that was not brought up to date for so long can't tell that a job does not exist. Half
/// of the time in which an accepted job must be visible.
const STALE: Millis = Millis(1500);
/// Time after which a read of the log covers what was acknowledged before: a reader that is not
/// the owner reads every 200 ms.
const SETTLE: Millis = Millis(600);

/// Answers callers.
pub struct Front {
    /// The callers' protocol.
    pub callers: Arc<dyn Callers>,
    /// The configuration in force.
    pub catalog: Latest<Option<Arc<Catalog>>>,
    /// What is stored.
    pub intake: Sender<Intake>,
    /// Who knows the state of jobs.
    pub steward: Sender<Event>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// What the steward publishes.
    pub facts: Latest<Facts>,
}

impl Handler for Front {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            let mut visit = Visit::new(&request);
            let answer = self.answer(&request).await;
            visit.is_answered = true;
            self.metrics.answered(kind(&answer), view::now().since(visit.since));
            self.callers.encode(&answer)
        })
    }
}

/// Returns the kind of an answer, for metrics.
const fn kind(answer: &Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::State(_) => "state",
        Answer::Waiting(_) => "count",
        Answer::NoQueue => "no queue",
        Answer::NoJob => "no job",
        Answer::Malformed(_) => "malformed",
        Answer::TooLarge(_) => "too large",
        Answer::NotDone(_) => "not done",
        Answer::Undecided => "undecided",
    }
}

/// A request in flight. One that is dropped before its answer was left by its caller.
struct Visit<'a> {
    method: &'a str,
    path: &'a str,
    since: Millis,
    is_answered: bool,
}

impl<'a> Visit<'a> {
    fn new(request: &Request<'a>) -> Self {
        let (method, path) = (request.method, request.path);
        Self { method, path, since: view::now(), is_answered: false }
    }
}

impl Drop for Visit<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let waited_ms = view::now().since(self.since).get();
            let (method, path) = (self.method, self.path);
            tracing::info!(method, path, waited_ms, "caller left before its answer");
        }
    }
}

impl Front {
    async fn answer(&self, request: &Request<'_>) -> Answer {
        let Some(catalog) = self.catalog.borrow().clone() else {
            tracing::info!("request refused: no configuration was read yet");
            return Answer::NotDone(COME_BACK);
        };
        let most = catalog.bounds.body_bytes;
        let decoded = match self.callers.decode(request, &catalog) {
            Ok(_) if request.body.len() > most => Err(Answer::TooLarge(most)),
            decoded => decoded,
        };
        let Decoded { command, timeout } = match decoded {
            Ok(decoded) => decoded,
            Err(answer) => {
                let (method, path, version) = (request.method, request.path, catalog.version);
                tracing::info!(method, path, version, ?answer, "request refused");
                return answer;
            }
        };
        let patience = self.callers.patience(request).unwrap_or(MAX_PATIENCE).min(timeout);
        let is_slow = self.facts.borrow().pace.is_slow();
        let tenths = if is_slow { SLOW_PATIENCE_TENTHS } else { PATIENCE_TENTHS };
        let patience = MAX_PATIENCE.min(Millis(patience.get() * tenths / 10));
        let until = view::now() + patience;
        match command {
            Command::Submit(job) => self.submit(job, catalog.version, until).await,
            Command::Status(id) => self.status(id).await,
            Command::Cancel(id) => self.cancel(id, until).await,
            Command::Count(queue) => self.count(queue).await,
        }
    }

    async fn submit(&self, job: Box<Job>, version: u64, until: Millis) -> Answer {
        let id = job.id;
        if matches!(self.look_up(id).await, Ok(Some(_))) {
            tracing::info!(job = %id, version, "job known already");
            return Answer::Accepted;
        }
        let queue = job.policy.queue.clone();
        let stored = self.store(Entry::Submitted(job), until).await;
        tracing::info!(job = %id, %queue, version, outcome = ?stored, "job handed in");
        match stored {
            Stored::Yes => Answer::Accepted,
            Stored::No => Answer::NotDone(COME_BACK),
            Stored::Unknown => Answer::Undecided,
        }
    }

    async fn cancel(&self, id: Id, until: Millis) -> Answer {
        match self.find(id).await {
            Ok(Some(_)) => {}
            Ok(None) => return Answer::NoJob,
            Err(answer) => return answer,
        }
        let stored = self.store(Entry::Cancelled(id), until).await;
        tracing::info!(job = %id, outcome = ?stored, "job cancelled");
        match stored {
            Stored::Yes => Answer::Accepted,
            Stored::No => Answer::NotDone(COME_BACK),
            Stored::Unknown => Answer::Undecided,
        }
    }

    async fn status(&self, id: Id) -> Answer {
        match self.find(id).await {
            Ok(Some(status)) => Answer::State(status),
            Ok(None) => Answer::NoJob,
            Err(answer) => answer,
        }
    }

    /// Returns the state of a job, `None` when it does not exist. That is said only once the log was
    /// read again: another daemon may just have accepted the job.
    async fn find(&self, id: Id) -> Result<Option<Status>, Answer> {
        let asked = view::now();
        loop {
            match self.look_up(id).await {
                Ok(Some(status)) => return Ok(Some(status)),
                Ok(None) => {}
                Err(_) => return Err(Answer::NotDone(COME_BACK)),
            }
            let Facts { heard, covers, .. } = *self.facts.borrow();
            if covers > asked {
                return Ok(None);
            }
            let mut facts = self.facts.clone();
            let newer = facts.wait_for(|f| f.covers > asked);
            if tokio::time::timeout(SETTLE.into(), newer).await.is_err()
                && view::now().since(heard) > STALE
            {
                tracing::info!(job = %id, "state unknown: the log can't be read");
                return Err(Answer::NotDone(COME_BACK));
            }
        }
    }

    async fn count(&self, queue: Box<str>) -> Answer {
        match ring::ask(&self.steward, |reply| Event::Count(queue, reply)).await {
            Ok(count) => Answer::Waiting(count),
            Err(_) => Answer::NotDone(COME_BACK),
        }
    }

    async fn look_up(&self, id: Id) -> Result<Option<Status>, Unanswered> {
        ring::ask(&self.steward, |reply| Event::Status(id, reply)).await
    }

    async fn store(&self, entry: Entry, until: Millis) -> Stored {
        let outcome =
            ring::ask(&self.intake, |reply| Intake { entry, until, is_doubtful: false, reply })
                .await;
        match outcome {
            Ok(stored) => stored,
            Err(Unanswered::Refused) => Stored::No,
            Err(Unanswered::Dropped) => Stored::Unknown,
        }
    }
}
