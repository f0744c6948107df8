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
use crate::zone::stewardship;
use serde::{Deserialize, Serialize};

/// Sweeps in one window, each of which forgets what is older than the window.
const SWEEPS_PER_WINDOW: u64 = 16;
/// Windows for which the hash of a forgotten id is kept.
const EXPIRED_WINDOWS: u64 = 24;

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
    /// When it last changed, by its writer's clock.
    pub touched: Millis,
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
    /// Number of the submission that may send it.
    pub sender: u64,
    /// When it was claimed.
    pub at: Millis,
    /// The answer, once it is known.
    pub answer: Option<Answer>,
}

/// An id that was used and whose content is forgotten.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Expired {
    /// Hash of the id and of what it named.
    id: u64,
    /// When it was forgotten, by the time of the stream.
    at: Millis,
}

/// The state of one partition.
///
/// It is a function of the records alone: what is forgotten, and when, goes by the time in the
/// records, so that all readers and all snapshots agree on every verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Book {
    /// Offset of the next record to be read.
    pub next: Offset,
    /// Time for which ended jobs and keys are kept.
    window: Millis,
    /// Latest time in any record.
    time: Millis,
    /// When something was last forgotten, by [`Self::time`].
    swept: Millis,
    /// Sorted by id.
    jobs: Vec<Entry>,
    /// Sorted by request.
    keys: Vec<Key>,
    /// Sorted by id.
    expired: Vec<Expired>,
}

impl Default for Book {
    /// Returns an empty book that forgets nothing.
    fn default() -> Self {
        Self::new(Millis::MAX)
    }
}

impl Book {
    /// Returns an empty book that keeps ended jobs and keys for `window`, which must be the same
    /// for all readers of a stream.
    pub const fn new(window: Millis) -> Self {
        Self {
            next: 0,
            window,
            time: Millis::ZERO,
            swept: Millis::ZERO,
            jobs: Vec::new(),
            keys: Vec::new(),
            expired: Vec::new(),
        }
    }

    /// Takes in the record at `offset`.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        self.next = offset + 1;
        self.time = self.time.max(record.at);
        self.sweep();
        match &record.register {
            Register::Job(id) => self.apply_job(id, record),
            Register::Task(id) => self.apply_task(id, record),
            Register::Key(id) => self.apply_key(id, record),
            Register::Configuration | Register::Worker(_) => Verdict::Illegal,
        }
    }

    /// Returns whether a job or key with this id was there and is forgotten.
    pub fn is_expired(&self, register: &Register) -> bool {
        let id = identity(register);
        self.expired.binary_search_by_key(&id, |e| e.id).is_ok()
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

    /// Forgets what is older than the window, now and then. Of what it forgets it keeps a hash of
    /// the id for some windows more, so that the id isn't taken for a new one.
    fn sweep(&mut self) {
        let pause = Millis(self.window.get() / SWEEPS_PER_WINDOW);
        if self.time.since(self.swept) < pause.max(Millis(1)) {
            return;
        }
        self.swept = self.time;
        let horizon = self.time.since(self.window);
        let jobs = self.jobs.extract_if(.., |e| e.touched < horizon && e.has_ended());
        let jobs: Vec<u64> = jobs.map(|e| identity(&Register::Job(e.job.id))).collect();
        let keys = self.keys.extract_if(.., |k| k.at < horizon);
        let keys: Vec<u64> = keys.map(|k| identity(&Register::Key(k.request))).collect();
        for id in jobs.into_iter().chain(keys) {
            if let Err(i) = self.expired.binary_search_by_key(&id, |e| e.id) {
                self.expired.insert(i, Expired { id, at: self.time });
            }
        }
        let oldest = self.time.since(self.window.times(EXPIRED_WINDOWS));
        self.expired.retain(|e| e.at >= oldest);
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
            Change::Submit { job, .. } => {
                job.id == *id && found.is_err() && !self.is_expired(&record.register)
            }
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
                    self.jobs[i].touched = record.at;
                    self.jobs[i].cancel();
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
        let Entry { kind, cancelled, tasks, touched, .. } = &mut self.jobs[i];
        let Some(task) = tasks.get_mut(id.index as usize) else {
            return judge(record.expect, 0, false);
        };
        let verdict = judge(record.expect, task.version, task.permits(&record.change));
        if verdict == Verdict::Accepted {
            task.version += 1;
            *touched = record.at;
            task.apply(&record.change, record.at, kind.attempts, *cancelled);
        }
        verdict
    }

    fn apply_key(&mut self, id: &request::Id, record: &Record) -> Verdict {
        let found = self.key_position(id.as_str());
        let version = found.map_or(0, |i| self.keys[i].version);
        let legal = match &record.change {
            Change::Claim { .. } => found.is_err() && !self.is_expired(&record.register),
            Change::Answer(_) => found.is_ok_and(|i| self.keys[i].answer.is_none()),
            _ => false,
        };
        let verdict = judge(record.expect, version, legal);
        if verdict == Verdict::Accepted {
            match (&record.change, found) {
                (Change::Claim { digest, sender }, Err(i)) => {
                    let key = Key {
                        version: 1,
                        request: id.clone(),
                        claimant: record.id.writer.clone(),
                        digest: *digest,
                        sender: *sender,
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
            touched: at,
            cancelled: false,
            tasks: vec![task; job.tasks as usize],
        }
    }

    /// Returns whether all tasks have ended for good.
    pub fn has_ended(&self) -> bool {
        self.tasks.iter().all(|t| t.state.is_final())
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

/// Returns a hash of a job's or key's id.
fn identity(register: &Register) -> u64 {
    match register {
        Register::Job(id) => stewardship::hash(&["job", id.as_str()]),
        Register::Key(id) => stewardship::hash(&["key", id.as_str()]),
        Register::Task(id) => stewardship::hash(&["job", id.job.as_str()]),
        Register::Configuration => stewardship::hash(&["configuration"]),
        Register::Worker(name) => stewardship::hash(&["worker", name.as_str()]),
    }
}

#[cfg(test)]
mod tests;
