//! Worker health: quarantines workers on which tasks keep failing, and probes them for recovery.
//!
//! A failure may be caused by the worker or by the job. A job that failed on two workers and
//! succeeded on none is suspect, and its failures don't count against workers. A worker with
//! [`MAX_FAILURES`] consecutive counted failures is quarantined. The number of unconfirmed starts
//! per worker is limited, so that a worker on which every task fails wastes few of them. After a
//! pause that doubles each time, one task is placed as a probe; its success ends the quarantine.

use crate::clock::Millis;
use crate::machine::placement::Handle;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Consecutive counted failures that quarantine a worker. Also the limit on its unconfirmed starts,
/// which all stewards share.
pub const MAX_FAILURES: usize = 4;
/// Time that a task must run without failing for its start to be confirmed.
pub const PROOF: Millis = Millis(1000);
/// Length of a worker's first quarantine, after which it is probed.
const MIN_QUARANTINE: Millis = Millis::from_secs(30);
/// Longest quarantine.
const MAX_QUARANTINE: Millis = Millis::from_secs(600);
/// Time after a quarantine during which the probe must be a suitable task; afterwards any task is
/// placed.
pub const PROBE_GRACE: Millis = Millis::from_secs(30);
/// Time that a probe must run without failing to count as successful.
const PROBE_CONFIRMATION: Millis = Millis::from_secs(60);
/// Limit on remembered jobs with failures.
const MAX_FAILED_JOBS: usize = 1024;

/// Health of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Tasks may be placed on it.
    #[default]
    Healthy,
    /// Gets no task until the instant, then one probe.
    Quarantined(Millis),
    /// A probe is running, which succeeds if it still runs at the instant.
    Probed(Millis),
}

/// Health record of one worker.
#[derive(Clone, Debug, Default)]
struct Record {
    state: State,
    /// Job hashes of the failures since the last success, oldest first; at most [`MAX_FAILURES`].
    failures: Vec<u64>,
    /// For each unconfirmed start, when it will be confirmed.
    unconfirmed: Vec<Millis>,
    /// Time of the last failure.
    last_failure: Millis,
    /// Length of the last quarantine; zero after a success.
    quarantine: Millis,
}

/// Record of a job with failures.
#[derive(Clone, Debug)]
struct Job {
    hash: u64,
    /// The first two workers on which it failed.
    failed_on: Vec<Handle>,
    /// The worker on which it last failed.
    last: Handle,
    /// Whether a task of it has succeeded on any worker.
    succeeded: bool,
}

/// Health of all workers of a view.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Indexed by handle.
    records: Vec<Record>,
    /// Sorted by hash.
    jobs: Vec<Job>,
    /// Number of stewards that share the limit on unconfirmed starts; 0 is treated as 1.
    stewards: usize,
}

/// A failed task, as reported to the other stewards, which see only the tasks of their own teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The worker on which the task failed.
    pub worker: Name,
    /// Hash of the job's id.
    pub job: u64,
}

impl Record {
    /// Removes a start made at `started` from the unconfirmed ones.
    fn remove_start(&mut self, started: Millis, now: Millis) {
        if started + PROOF > now {
            self.unconfirmed.pop();
        }
    }
}

impl Health {
    /// Clears the record of a handle that now refers to a different worker.
    pub fn reset(&mut self, handle: Handle) {
        *self.record_mut(handle) = Record::default();
    }

    /// Returns the state of a worker; healthy if it has no record.
    pub fn state(&self, handle: Handle) -> State {
        self.record(handle).map_or(State::Healthy, |r| r.state)
    }

    /// Returns whether another task, possibly a probe, may be started on a worker now.
    pub fn admits(&self, handle: Handle, now: Millis) -> bool {
        self.record(handle).is_none_or(|record| match record.state {
            State::Healthy => {
                let unconfirmed = record.unconfirmed.iter().filter(|&&at| at > now).count();
                let failures = self.counted_failures(record);
                let allowed = MAX_FAILURES / self.stewards.max(1);
                // After a failure, wait for the outcome of starts that other stewards have in
                // flight.
                let wait = self.stewards > 1 && failures > 0 && now < record.last_failure + PROOF;
                !wait && unconfirmed < allowed.saturating_sub(failures).max(1)
            }
            State::Quarantined(until) => now >= until,
            State::Probed(until) => now >= until,
        })
    }

    /// Returns whether ordinary tasks must not be placed on a worker now. After its quarantine a
    /// worker stays paused for [`PROBE_GRACE`], during which only a task suitable as a probe is
    /// placed there.
    pub fn is_paused(&self, handle: Handle, now: Millis) -> bool {
        match self.state(handle) {
            State::Quarantined(until) => now < until + PROBE_GRACE,
            _ => !self.admits(handle, now),
        }
    }

    /// Records a start on a worker, which is a probe if the worker is quarantined. Returns when the
    /// start will be confirmed.
    pub fn started(&mut self, handle: Handle, now: Millis) -> Millis {
        let record = self.record_mut(handle);
        record.unconfirmed.retain(|&at| at > now);
        record.unconfirmed.push(now + PROOF);
        match record.state {
            State::Quarantined(_) => record.state = State::Probed(now + PROBE_CONFIRMATION),
            State::Probed(until) if now >= until => {
                record.state = State::Healthy;
                record.failures.clear();
            }
            _ => {}
        }
        now + PROOF
    }

    /// Records that a start made at `started` ended or was withdrawn without indicating the
    /// worker's health.
    pub fn withdrawn(&mut self, handle: Handle, started: Millis, now: Millis) {
        let record = self.record_mut(handle);
        record.remove_start(started, now);
        if matches!(record.state, State::Probed(_)) {
            record.state = State::Quarantined(now);
        }
    }

    /// Records that a task of a job, started at `started`, completed on a worker. If it started
    /// before the last failure, its success doesn't indicate the worker's current health.
    pub fn succeeded(&mut self, handle: Handle, job: u64, started: Millis, now: Millis) {
        let record = self.record_mut(handle);
        record.remove_start(started, now);
        if record.failures.is_empty() || started >= record.last_failure {
            record.failures.clear();
            record.quarantine = Millis::ZERO;
            record.state = State::Healthy;
        }
        if let Ok(i) = self.jobs.binary_search_by_key(&job, |j| j.hash) {
            self.jobs[i].succeeded = true;
        }
    }

    /// Records that a task of a job, started at `started`, failed on a worker. Returns whether the
    /// worker is quarantined now.
    pub fn failed(&mut self, handle: Handle, job: u64, started: Millis, now: Millis) -> bool {
        self.record_mut(handle).remove_start(started, now);
        self.strike(handle, job, now)
    }

    /// Records a failure that this steward or another one observed. Returns whether the worker is
    /// quarantined now.
    pub fn strike(&mut self, handle: Handle, job: u64, now: Millis) -> bool {
        self.record_job_failure(job, handle);
        let record = self.record_mut(handle);
        if record.failures.len() == MAX_FAILURES {
            record.failures.remove(0);
        }
        record.failures.push(job);
        record.last_failure = now;
        let quarantined = matches!(record.state, State::Quarantined(until) if now < until);
        let probed = matches!(record.state, State::Probed(_));
        if !quarantined
            && (probed || self.counted_failures(&self.records[handle as usize]) >= MAX_FAILURES)
        {
            let record = self.record_mut(handle);
            let length = record.quarantine.times(2).max(MIN_QUARANTINE).min(MAX_QUARANTINE);
            record.quarantine = length;
            record.state = State::Quarantined(now + length);
        }
        matches!(self.state(handle), State::Quarantined(_))
    }

    /// Sets the number of stewards that share the limit on unconfirmed starts per worker.
    pub fn share(&mut self, stewards: usize) {
        self.stewards = stewards;
    }

    /// Returns the worker on which a job last failed, which its next attempt should avoid.
    pub fn avoid(&self, job: u64) -> Option<Handle> {
        let found = self.jobs.binary_search_by_key(&job, |j| j.hash);
        found.ok().map(|i| self.jobs[i].last)
    }

    /// Returns whether a job failed on two workers and succeeded on none.
    pub fn is_suspect(&self, job: u64) -> bool {
        let found = self.jobs.binary_search_by_key(&job, |j| j.hash);
        found.is_ok_and(|i| !self.jobs[i].succeeded && self.jobs[i].failed_on.len() > 1)
    }

    /// Returns the number of workers that are quarantined or being probed.
    pub fn quarantined(&self) -> usize {
        self.records.iter().filter(|record| record.state != State::Healthy).count()
    }

    fn record(&self, handle: Handle) -> Option<&Record> {
        self.records.get(handle as usize)
    }

    fn record_mut(&mut self, handle: Handle) -> &mut Record {
        let handle = handle as usize;
        if self.records.len() <= handle {
            self.records.resize_with(handle + 1, Record::default);
        }
        &mut self.records[handle]
    }

    /// Returns the number of consecutive failures, without those of suspect jobs.
    fn counted_failures(&self, record: &Record) -> usize {
        record.failures.iter().filter(|&&job| !self.is_suspect(job)).count()
    }

    fn record_job_failure(&mut self, hash: u64, handle: Handle) {
        match self.jobs.binary_search_by_key(&hash, |j| j.hash) {
            Ok(i) => {
                let job = &mut self.jobs[i];
                job.last = handle;
                if job.failed_on.len() < 2 && !job.failed_on.contains(&handle) {
                    job.failed_on.push(handle);
                }
            }
            Err(i) => {
                let failed_on = vec![handle];
                self.jobs.insert(i, Job { hash, failed_on, last: handle, succeeded: false });
                if self.jobs.len() > MAX_FAILED_JOBS {
                    // Evict any other job; its next failure adds it again.
                    let evicted = if i == 0 { self.jobs.len() - 1 } else { 0 };
                    self.jobs.remove(evicted);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
