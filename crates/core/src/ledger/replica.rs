//! State of one partition: its jobs, tasks and keys, as replayed from its stream.

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

/// Sweeps per window, each of which removes what is older than the window.
const SWEEPS_PER_WINDOW: u64 = 16;
/// Number of windows for which the hash of a removed id is kept.
const EXPIRED_WINDOWS: u64 = 24;

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Version of its register.
    pub version: u64,
    /// Stage of its life cycle.
    pub state: State,
    /// Number of the last attempt, 0 before the first.
    pub attempt: Attempt,
    /// Number of attempts that ran and failed.
    pub failures: u32,
    /// Result of the attempt that completed, or the reason of the last failure.
    pub result: String,
    /// When the last attempt was recorded, by its writer's clock; zero before the first.
    pub placed_at: Millis,
    /// Capacity that the last attempt reserves; the declared need before the first.
    pub needs: Capacity,
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Version of its register.
    pub version: u64,
    /// The job as submitted.
    pub job: Job,
    /// Its kind of work as it was at acceptance.
    pub kind: Kind,
    /// When it was accepted, by its writer's clock.
    pub at: Millis,
    /// When the job or one of its tasks last changed, by the clock of the change's writer.
    pub touched: Millis,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// State of its tasks, by index.
    pub tasks: Vec<Task>,
}

/// State of the key of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Version of its register.
    pub version: u64,
    /// Id of the request.
    pub request: request::Id,
    /// The instance that may send it.
    pub claimant: Name,
    /// Hash of the request's content.
    pub digest: u64,
    /// Number of the submission that may send it.
    pub sender: u64,
    /// When it was claimed, by the clock of the claimant.
    pub at: Millis,
    /// The answer, once it is known.
    pub answer: Option<Answer>,
}

/// An id that was used and whose job or key was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Expired {
    /// Hash of the id and of whether it named a job or a key.
    id: u64,
    /// When it was removed, by [`Replica::time`].
    at: Millis,
}

/// The state of one partition.
///
/// It is a function of the records alone. Expiry is driven by the times in the records and not by a
/// local clock, so that all readers and all snapshots agree on every verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Offset of the next record to be read.
    pub next: Offset,
    /// Retention of ended jobs, since their last change, and of keys, since they were claimed.
    window: Millis,
    /// Latest time in any record that was applied.
    time: Millis,
    /// Time of the last sweep, by [`Self::time`].
    swept: Millis,
    /// Sorted by id.
    jobs: Vec<Entry>,
    /// Sorted by request.
    keys: Vec<Key>,
    /// Sorted by id.
    expired: Vec<Expired>,
}

impl Default for Replica {
    /// Returns an empty replica without expiry.
    fn default() -> Self {
        Self::new(Millis::MAX)
    }
}

impl Replica {
    /// Returns an empty replica that keeps ended jobs and keys for `window`. The window must be the same
    /// for all readers of a stream, or their verdicts would differ.
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

    /// Applies the record at `offset` and returns its verdict.
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

    /// Returns whether a job or key with this id existed and was removed.
    pub fn is_expired(&self, register: &Register) -> bool {
        let id = id_hash(register);
        self.expired.binary_search_by_key(&id, |e| e.id).is_ok()
    }

    /// Returns a job, unless it is unknown or was removed.
    pub fn job(&self, id: &str) -> Option<&Entry> {
        self.job_position(id).ok().map(|i| &self.jobs[i])
    }

    /// Returns a task of a job that is kept.
    pub fn task(&self, id: &task::Id) -> Option<&Task> {
        self.job(id.job.as_str()).and_then(|entry| entry.tasks.get(id.index as usize))
    }

    /// Returns the key of a request, unless it is unknown or was removed.
    pub fn key(&self, id: &str) -> Option<&Key> {
        self.key_position(id).ok().map(|i| &self.keys[i])
    }

    /// Returns all jobs that are kept, sorted by id.
    pub fn jobs(&self) -> &[Entry] {
        &self.jobs
    }

    /// Returns all keys that are kept, sorted by request.
    pub fn keys(&self) -> &[Key] {
        &self.keys
    }

    /// Removes ended jobs and keys that are older than the window, [`SWEEPS_PER_WINDOW`] times per
    /// window. The hash of each removed id is kept for [`EXPIRED_WINDOWS`] windows, so that a
    /// resubmission is not accepted as a new job or key.
    fn sweep(&mut self) {
        let interval = Millis(self.window.get() / SWEEPS_PER_WINDOW);
        if self.time.since(self.swept) < interval.max(Millis(1)) {
            return;
        }
        self.swept = self.time;
        let horizon = self.time.since(self.window);
        let jobs = self.jobs.extract_if(.., |e| e.touched < horizon && e.has_ended());
        let jobs: Vec<u64> = jobs.map(|e| id_hash(&Register::Job(e.job.id))).collect();
        let keys = self.keys.extract_if(.., |k| k.at < horizon);
        let keys: Vec<u64> = keys.map(|k| id_hash(&Register::Key(k.request))).collect();
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

    /// Returns whether all tasks have ended.
    pub fn has_ended(&self) -> bool {
        self.tasks.iter().all(|t| t.state.is_final())
    }

    /// Cancels the job. A placed task remains placed until its worker reports that it is over.
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
    /// Returns the worker and the epoch of the current attempt; `None` if the task is not placed.
    pub const fn placement(&self) -> Option<(&Name, Epoch)> {
        match &self.state {
            State::Placed { worker, epoch } => Some((worker, *epoch)),
            _ => None,
        }
    }

    fn permits(&self, change: &Change) -> bool {
        match change {
            Change::Attempt { attempt, fence, .. } => {
                let is_next = *attempt == self.attempt + 1;
                let is_waiting = self.state == State::Waiting;
                let is_fenced = self.placement().is_some() && fence.is_some();
                is_next && (is_waiting || is_fenced)
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

/// Returns a hash of an id and of the kind of register that it names.
fn id_hash(register: &Register) -> u64 {
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
