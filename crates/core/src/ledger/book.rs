//! The book of one partition: its jobs, tasks and keys, as replay of the records made them.
//!
//! What a book forgets is a function of the stream, too: its clock is the latest time in a record,
//! so that every reader has forgotten the same at the same offset and gives the same verdict.
//! Model: `specs/claim.tla`.

use crate::clock::Millis;
use crate::contract::job::{self, Job};
use crate::contract::kind::Kind;
use crate::contract::request::{self, Answer};
use crate::contract::task::{self, Attempt, State};
use crate::ledger::record::{Change, End, Record, Register};
use crate::ledger::{Offset, Verdict, judge};
use crate::machine::capacity::Capacity;
use crate::machine::worker::Epoch;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// A task in the book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Version of its register.
    pub version: u64,
    /// Where it is in its life.
    pub state: State,
    /// Number of the last attempt, 0 before the first.
    pub attempt: Attempt,
    /// Number of attempts that ran and failed.
    pub failures: u32,
    /// Result of the attempt that completed, or the reason of the last failure.
    pub result: String,
    /// When the last attempt was recorded.
    pub placed_at: Millis,
    /// Capacity that the last attempt reserves; the declared need before the first.
    pub needs: Capacity,
}

/// A job in the book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Version of its register.
    pub version: u64,
    /// The job itself.
    pub job: Job,
    /// Its kind of work as it was at acceptance.
    pub kind: Kind,
    /// When it was accepted, by its writer's clock.
    pub at: Millis,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// When the last of its tasks ended for good, by the clock of that record's writer.
    #[serde(default)]
    pub ended: Option<Millis>,
    /// Its tasks, by index.
    pub tasks: Vec<Task>,
}

/// The key of a non-idempotent request in the book.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Version of its register.
    pub version: u64,
    /// The request.
    pub request: request::Id,
    /// The instance that may send it.
    pub claimant: Name,
    /// Hash of the request's content.
    pub digest: u64,
    /// When it was claimed.
    pub at: Millis,
    /// The answer, once it is known.
    pub answer: Option<Answer>,
}

/// The state of one partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// Offset of the next record to be read.
    pub next: Offset,
    /// Sorted by id.
    jobs: Vec<Entry>,
    /// Sorted by request.
    keys: Vec<Key>,
    /// How long ended jobs and claimed keys are kept; `None` for ever.
    #[serde(default)]
    window: Option<Millis>,
    /// Latest time in a record.
    #[serde(default)]
    latest: Millis,
    /// What ended or was claimed before is forgotten.
    #[serde(default)]
    horizon: Millis,
}

/// Part of the window by which the horizon moves on at once, so that forgetting costs little.
const HORIZON_STEPS: u64 = 16;

impl Book {
    /// Returns an empty book that keeps ended jobs and claimed keys for `window`. All readers of a
    /// stream must use the same window.
    pub fn with_window(window: Millis) -> Self {
        Self { window: Some(window), ..Self::default() }
    }

    /// Returns the time before which the stream takes no new job or key.
    pub const fn horizon(&self) -> Millis {
        self.horizon
    }

    /// Takes over a snapshot's book, if it is newer. Returns whether it was.
    pub fn merge(&mut self, other: &Self) -> bool {
        let newer = other.next > self.next;
        if newer {
            self.clone_from(other);
        }
        newer
    }

    /// Takes in the record at `offset`.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        self.next = offset + 1;
        let verdict =
            if self.is_expired(record) { Verdict::Expired } else { self.judge_and_apply(record) };
        self.advance(record.at);
        verdict
    }

    /// Returns whether the record may repeat one that is forgotten: an append may land very late.
    fn is_expired(&self, record: &Record) -> bool {
        let creates = matches!(record.change, Change::Submit { .. } | Change::Claim { .. });
        creates && record.at < self.horizon
    }

    /// Moves the book's clock on.
    fn advance(&mut self, at: Millis) {
        self.latest = self.latest.max(at);
        let Some(window) = self.window else { return };
        let step = (window.get() / HORIZON_STEPS).max(1);
        let horizon = Millis(self.latest.since(window).get() / step * step);
        if horizon > self.horizon {
            self.horizon = horizon;
            self.forget(horizon);
        }
    }

    fn judge_and_apply(&mut self, record: &Record) -> Verdict {
        match &record.register {
            Register::Job(id) => self.apply_job(id, record),
            Register::Task(id) => self.apply_task(id, record),
            Register::Key(id) => self.apply_key(id, record),
            Register::Configuration | Register::Worker(_) => Verdict::Illegal,
        }
    }

    /// Returns a job.
    pub fn job(&self, id: &str) -> Option<&Entry> {
        self.job_position(id).ok().map(|i| &self.jobs[i])
    }

    /// Returns a task.
    pub fn task(&self, id: &task::Id) -> Option<&Task> {
        self.job(id.job.as_str()).and_then(|entry| entry.tasks.get(id.index as usize))
    }

    /// Returns the key of a request.
    pub fn key(&self, id: &str) -> Option<&Key> {
        self.key_position(id).ok().map(|i| &self.keys[i])
    }

    /// Returns all jobs, sorted by id.
    pub fn jobs(&self) -> &[Entry] {
        &self.jobs
    }

    /// Returns all keys, sorted by request.
    pub fn keys(&self) -> &[Key] {
        &self.keys
    }

    /// Forgets jobs that ended and keys that were claimed before `horizon`.
    fn forget(&mut self, horizon: Millis) {
        self.jobs.retain(|entry| entry.ended.is_none_or(|ended| ended >= horizon));
        self.keys.retain(|key| key.at >= horizon);
    }

    fn job_position(&self, id: &str) -> Result<usize, usize> {
        self.jobs.binary_search_by(|entry| entry.job.id.as_str().cmp(id))
    }

    fn key_position(&self, id: &str) -> Result<usize, usize> {
        self.keys.binary_search_by(|key| key.request.as_str().cmp(id))
    }

    fn apply_job(&mut self, id: &job::Id, record: &Record) -> Verdict {
        let found = self.job_position(id.as_str());
        let version = found.map_or(0, |i| self.jobs[i].version);
        let legal = match &record.change {
            Change::Submit { job, .. } => job.id == *id && found.is_err(),
            Change::Cancel => found.is_ok_and(|i| !self.jobs[i].cancelled),
            _ => false,
        };
        let verdict = judge(record.expect, version, legal);
        if verdict == Verdict::Accepted {
            match (&record.change, found) {
                (Change::Submit { job, kind }, Err(i)) => {
                    self.jobs.insert(i, Entry::new(job, kind, record.at));
                }
                (_, Ok(i)) => {
                    self.jobs[i].cancel();
                    self.jobs[i].note_end(record.at);
                }
                (_, Err(_)) => {}
            }
        }
        verdict
    }

    fn apply_task(&mut self, id: &task::Id, record: &Record) -> Verdict {
        let Ok(i) = self.job_position(id.job.as_str()) else {
            return judge(record.expect, 0, false);
        };
        let Entry { kind, cancelled, tasks, .. } = &mut self.jobs[i];
        let Some(task) = tasks.get_mut(id.index as usize) else {
            return judge(record.expect, 0, false);
        };
        let verdict = judge(record.expect, task.version, task.permits(&record.change));
        if verdict == Verdict::Accepted {
            task.version += 1;
            task.apply(&record.change, record.at, kind.attempts, *cancelled);
            self.jobs[i].note_end(record.at);
        }
        verdict
    }

    fn apply_key(&mut self, id: &request::Id, record: &Record) -> Verdict {
        let found = self.key_position(id.as_str());
        let version = found.map_or(0, |i| self.keys[i].version);
        let legal = match &record.change {
            Change::Claim { .. } => found.is_err(),
            Change::Answer(_) => found.is_ok_and(|i| self.keys[i].answer.is_none()),
            _ => false,
        };
        let verdict = judge(record.expect, version, legal);
        if verdict == Verdict::Accepted {
            match (&record.change, found) {
                (Change::Claim { digest }, Err(i)) => {
                    let key = Key {
                        version: 1,
                        request: id.clone(),
                        claimant: record.id.writer.clone(),
                        digest: *digest,
                        at: record.at,
                        answer: None,
                    };
                    self.keys.insert(i, key);
                }
                (Change::Answer(answer), Ok(i)) => {
                    self.keys[i].version += 1;
                    self.keys[i].answer = Some(answer.clone());
                }
                _ => {}
            }
        }
        verdict
    }
}

impl Entry {
    fn new(job: &Job, kind: &Kind, at: Millis) -> Self {
        let task = Task {
            version: 0,
            state: State::Waiting,
            attempt: 0,
            failures: 0,
            result: String::new(),
            placed_at: Millis::ZERO,
            needs: job.needs,
        };
        Self {
            version: 1,
            job: job.clone(),
            kind: kind.clone(),
            at,
            cancelled: false,
            ended: None,
            tasks: vec![task; job.tasks as usize],
        }
    }

    /// Notes that the job has ended, if all its tasks have.
    fn note_end(&mut self, at: Millis) {
        if self.ended.is_none() && self.tasks.iter().all(|task| task.state.is_final()) {
            self.ended = Some(at);
        }
    }

    /// Cancels the job. A task that is placed stays so until its worker says that it is over.
    fn cancel(&mut self) {
        self.version += 1;
        self.cancelled = true;
        for task in &mut self.tasks {
            if task.state == State::Waiting {
                task.version += 1;
                task.state = State::Cancelled;
            }
        }
    }
}

impl Task {
    /// Returns the worker and the epoch of the attempt that may run.
    pub const fn placement(&self) -> Option<(&Name, Epoch)> {
        match &self.state {
            State::Placed { worker, epoch } => Some((worker, *epoch)),
            _ => None,
        }
    }

    fn permits(&self, change: &Change) -> bool {
        match change {
            Change::Attempt { attempt, fence, .. } => {
                let next = *attempt == self.attempt + 1;
                let over = self.state == State::Waiting;
                let fenced = self.placement().is_some() && fence.is_some();
                next && (over || fenced)
            }
            Change::Over { attempt, .. } | Change::Release { attempt, .. } => {
                *attempt == self.attempt && self.placement().is_some()
            }
            _ => false,
        }
    }

    fn apply(&mut self, change: &Change, at: Millis, attempts: u32, cancelled: bool) {
        match change {
            Change::Attempt { attempt, worker, epoch, needs, .. } => {
                self.attempt = *attempt;
                self.needs = *needs;
                self.placed_at = at;
                self.state = State::Placed { worker: worker.clone(), epoch: *epoch };
            }
            Change::Over { end, .. } => self.end(end, attempts, cancelled),
            Change::Release { .. } => self.end(&End::Evicted, attempts, cancelled),
            _ => {}
        }
    }

    fn end(&mut self, end: &End, attempts: u32, cancelled: bool) {
        self.state = if cancelled { State::Cancelled } else { State::Waiting };
        match end {
            End::Completed(result) => {
                self.result.clone_from(result);
                self.state = State::Completed;
            }
            End::Failed(reason) => {
                self.result.clone_from(reason);
                self.failures += 1;
                if self.failures >= attempts && !cancelled {
                    self.state = State::Failed;
                }
            }
            End::Evicted => {}
        }
    }
}

#[cfg(test)]
mod tests;
