//! Handles callers' requests. The platform adapter decodes requests and encodes answers; which answer
//! a request gets is decided here.

use super::border::{Answer, Callers, Command, Decoded};
use super::freshness::MAX_CONFIGURATION_AGE;
use super::inquiry::{Fact, Inquiries, Inquiry};
use super::ledger::{Intake, Stored};
use super::metrics::Metrics;
use super::view::{self, Configuration, Prospect, ShardStatus};
use crate::ring::{self, Latest, Publisher, Sender, Unanswered};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::outlook::Refusal;
use pimentovalve_core::contract::work::{Id, Job, Status};
use pimentovalve_core::ledger::shard::Entry;
use pimentovalve_core::ledger::shard::replica::backlog::Backlog;
use pimentovalve_core::link::patience::hold;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use std::sync::Arc;

/// Retry delay that a refused caller is told. A retry reaches another daemon, which may well serve it,
/// so this is the shortest delay that HTTP can express.
const RETRY_AFTER: Millis = Millis::from_secs(1);
/// Maximum time for storing a request. A caller that states a shorter timeout gets its answer within
/// that timeout.
const MAX_STORE_TIMEOUT: Millis = Millis(2500);
/// Share of the caller's timeout, in tenths, that storing may take. A caller that is refused in time
/// can still retry before its own deadline.
const STORE_TIMEOUT_TENTHS: u64 = 4;
/// The same while the store is slow: waiting longer then succeeds more often than a retry.
const SLOW_STORE_TIMEOUT_TENTHS: u64 = 8;

/// HTTP handler for callers.
pub struct Front {
    /// Platform adapter for the callers' protocol.
    pub callers: Arc<dyn Callers>,
    /// Configuration in force.
    pub configuration: Latest<Configuration>,
    /// Ring to the ledger duty, for entries to append.
    pub intake: Sender<Intake>,
    /// Answers callers' questions.
    pub inquiries: Inquiries,
    /// Counters and latencies of answers.
    pub metrics: Arc<Metrics>,
    /// Ownership and log progress, published by the steward.
    pub shard_status: Latest<ShardStatus>,
    /// Publishes the number of submitted jobs, so that the owner is asked what waits.
    pub submissions: Publisher<u64>,
    /// What the owner last said of the waiting work.
    pub prospect: Latest<Prospect>,
    /// Whether jobs are refused by it.
    pub refuses_for_room: bool,
}

impl Handler for Front {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            let mut guard = RequestGuard::new(&request);
            let answer = self.answer(&request).await;
            guard.is_answered = true;
            self.metrics.answered(kind(&answer), view::now().since(guard.since));
            self.callers.encode(&answer)
        })
    }
}

/// Returns the metric label of an answer.
const fn kind(answer: &Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::State(_) => "state",
        Answer::Waiting(_) => "count",
        Answer::NoQueue => "no queue",
        Answer::NoKey => "no key",
        Answer::NoJob => "no job",
        Answer::Malformed(_) => "malformed",
        Answer::TooLarge(_) => "too large",
        Answer::NotDone(_) => "not done",
        Answer::NoRoom(_) => "no room",
        Answer::Undecided => "undecided",
    }
}

/// A request in flight. It is dropped unanswered when the client disconnects, which is logged.
struct RequestGuard<'a> {
    method: &'a str,
    path: &'a str,
    since: Millis,
    is_answered: bool,
}

impl<'a> RequestGuard<'a> {
    fn new(request: &Request<'a>) -> Self {
        let (method, path) = (request.method, request.path);
        Self { method, path, since: view::now(), is_answered: false }
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let waited_ms = view::now().since(self.since).get();
            let (method, path) = (self.method, self.path);
            tracing::info!(method, path, waited_ms, "client disconnected before the answer");
        }
    }
}

impl Front {
    async fn answer(&self, request: &Request<'_>) -> Answer {
        let Configuration { catalog, covered_until } = self.configuration.borrow().clone();
        let Some(catalog) = catalog else {
            tracing::info!("request refused: no configuration loaded yet");
            return Answer::NotDone(RETRY_AFTER);
        };
        let most = catalog.bounds.body_bytes;
        let decoded = match self.callers.decode(request, &catalog) {
            Ok(_) if request.body.len() > most => Err(Answer::TooLarge(most)),
            decoded => decoded,
        };
        let is_old = view::now().since(covered_until) > MAX_CONFIGURATION_AGE;
        let Decoded { command, timeout, is_keyed } = match decoded {
            Ok(decoded) => decoded,
            Err(answer) => {
                // A newer version may allow what this one does not.
                let answer = match answer {
                    Answer::NoQueue | Answer::NoKey | Answer::TooLarge(_) if is_old => {
                        Answer::NotDone(RETRY_AFTER)
                    }
                    answer => answer,
                };
                let (method, path, version) = (request.method, request.path, catalog.version);
                tracing::info!(method, path, version, ?answer, "request refused");
                return answer;
            }
        };
        if is_keyed && is_old {
            let (method, path, version) = (request.method, request.path, catalog.version);
            tracing::info!(
                method,
                path,
                version,
                "request refused: its key may have been withdrawn"
            );
            return Answer::NotDone(RETRY_AFTER);
        }
        if let Command::Submit(job) = &command
            && let Err(findings) = catalog.roster.check_quota(job)
        {
            tracing::info!(job = %job.id, version = catalog.version, %findings, "job refused: over its team's quota");
            return Answer::Malformed(findings);
        }
        let timeout = self.callers.timeout(request).unwrap_or(MAX_STORE_TIMEOUT).min(timeout);
        let is_slow = self.shard_status.borrow().response_time.is_slow();
        let tenths = if is_slow { SLOW_STORE_TIMEOUT_TENTHS } else { STORE_TIMEOUT_TENTHS };
        let store_timeout = MAX_STORE_TIMEOUT.min(Millis(timeout.get() * tenths / 10));
        let now = view::now();
        let until = now + store_timeout;
        let silence = self.shard_status.borrow().store_silence(now);
        // In an outage, an entry is held for the store's return.
        let store_until = match silence {
            Some(silence) => now + MAX_STORE_TIMEOUT.min(hold(timeout, RETRY_AFTER, silence)),
            None => until,
        };
        match command {
            Command::Submit(job) => self.submit(job, catalog.version, store_until).await,
            Command::Status(id) => self.status(id, until).await,
            Command::Cancel(id) => self.cancel(id, store_until).await,
            Command::Count(queue) => self.count(queue, until).await,
        }
    }

    async fn submit(&self, job: Box<Job>, version: u64, until: Millis) -> Answer {
        let id = job.id;
        let known = self.inquiries.look_up(&Inquiry::Status(id)).await;
        if matches!(known, Ok(Fact::Status(Some(_)))) {
            tracing::info!(job = %id, version, "job already known");
            return Answer::Accepted;
        }
        self.submissions.send_modify(|count| *count += 1);
        if let Some(Refusal { start, retry }) = self.refusal(&job) {
            let (queue, expected_start_ms, retry_ms) =
                (&job.policy.queue, start.get(), retry.get());
            tracing::info!(job = %id, %queue, version, expected_start_ms, retry_ms,
                "job refused for want of room");
            self.metrics.refused(start);
            return Answer::NoRoom(retry);
        }
        let queue = job.policy.queue.clone();
        let (tasks, core_ms) = (job.tasks(), job.effort() / 1000);
        let objective_ms = job.objective().get();
        let began = view::now();
        let silent_ms = self.shard_status.borrow().store_silence(began).unwrap_or_default().get();
        let stored = self.store(Entry::Submitted(job), until).await;
        let waited = view::now().since(began);
        let waited_ms = waited.get();
        self.metrics.stage("stored", waited);
        tracing::info!(job = %id, %queue, version, tasks, core_ms, objective_ms,
            silent_ms, waited_ms, outcome = ?stored, "job submitted");
        match stored {
            Stored::Yes => Answer::Accepted,
            Stored::No => Answer::NotDone(RETRY_AFTER),
            Stored::Unknown => Answer::Undecided,
        }
    }

    /// Returns why a job must be refused, by what the owner last said of the waiting work.
    fn refusal(&self, job: &Job) -> Option<Refusal> {
        if !self.refuses_for_room {
            return None;
        }
        let prospect = self.prospect.borrow();
        let outlook = prospect.current(&self.shard_status.borrow(), view::now())?;
        outlook.judge(job).err()
    }

    async fn cancel(&self, id: Id, until: Millis) -> Answer {
        match self.find(id, until).await {
            Ok(Some(_)) => {}
            Ok(None) => return Answer::NoJob,
            Err(answer) => return answer,
        }
        let stored = self.store(Entry::Cancelled(id), until).await;
        tracing::info!(job = %id, outcome = ?stored, "job cancellation submitted");
        match stored {
            Stored::Yes => Answer::Accepted,
            Stored::No => Answer::NotDone(RETRY_AFTER),
            Stored::Unknown => Answer::Undecided,
        }
    }

    async fn status(&self, id: Id, until: Millis) -> Answer {
        match self.find(id, until).await {
            Ok(Some(status)) => Answer::State(status),
            Ok(None) => Answer::NoJob,
            Err(answer) => answer,
        }
    }

    /// Returns the state of a job, `None` when it does not exist.
    async fn find(&self, id: Id, until: Millis) -> Result<Option<Status>, Answer> {
        match self.inquiries.answer(&Inquiry::Status(id), until).await {
            Ok(Fact::Status(status)) => Ok(status),
            outcome => {
                tracing::info!(job = %id, ?outcome, "job state unknown");
                Err(Answer::NotDone(RETRY_AFTER))
            }
        }
    }

    async fn count(&self, queue: Box<str>, until: Millis) -> Answer {
        match self.inquiries.answer(&Inquiry::Count(queue.clone()), until).await {
            Ok(Fact::Count(Backlog { queued, starting })) => {
                let ShardStatus { caught_up, covered_until, .. } = *self.shard_status.borrow();
                let age_ms = view::now().since(covered_until).get();
                tracing::info!(%queue, queued, starting, caught_up, age_ms, "queued jobs counted");
                Answer::Waiting(queued)
            }
            outcome => {
                tracing::info!(%queue, ?outcome, "number of queued jobs unknown");
                Answer::NotDone(RETRY_AFTER)
            }
        }
    }

    /// Passes an entry to the ledger duty and waits for the outcome.
    async fn store(&self, entry: Entry, until: Millis) -> Stored {
        if until <= view::now() {
            tracing::info!(
                "entry refused: the store has been silent for longer than its caller can wait"
            );
            return Stored::No;
        }
        let outcome =
            ring::ask(&self.intake, |reply| Intake { entry, until, may_be_stored: false, reply })
                .await;
        match outcome {
            Ok(stored) => stored,
            Err(Unanswered::Refused) => Stored::No,
            Err(Unanswered::Dropped) => Stored::Unknown,
        }
    }
}
