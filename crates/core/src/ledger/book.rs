//! The book of one partition: its jobs, tasks and keys, as replay of the records made them.

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
}

impl Book {
    /// Takes in the record at `offset`.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        self.next = offset + 1;
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
    pub fn forget(&mut self, horizon: Millis) {
        let ended = |entry: &Entry| entry.tasks.iter().all(|t| t.state.is_final());
        self.jobs.retain(|entry| entry.at >= horizon || !ended(entry));
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
                (_, Ok(i)) => self.jobs[i].cancel(),
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
            tasks: vec![task; job.tasks as usize],
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
