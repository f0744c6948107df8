//! Health of workers: quarantine of those that fail everything, and probes that let them back.
//!
//! A failure may be the worker's fault or the job's. A job that failed on two workers and
//! succeeded nowhere is suspect, and its failures don't count against workers. A worker with
//! [`STRIKES`] failures in a row that count is quarantined. Until it has proved itself, a worker
//! has few starts in flight, so that one that fails everything wastes few of them. After a pause
//! that doubles each time one task is placed as a probe: a success lets the worker back.

use crate::clock::Millis;
use crate::machine::placement::Handle;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Failures in a row that quarantine a worker; also its starts in flight that are not proven.
pub const STRIKES: usize = 4;
/// A start that ran this long without failing no longer counts as unproven.
pub const PROOF: Millis = Millis(1000);
/// Pause before the first probe.
const FIRST_PAUSE: Millis = Millis::from_secs(30);
/// Longest pause between probes.
const LONGEST_PAUSE: Millis = Millis::from_secs(600);
/// Time for which a due probe waits for work that suits it, before any work is taken.
pub const PROBE_GRACE: Millis = Millis::from_secs(30);
/// A probe that ran this long without failing has succeeded.
const PROBE_PROOF: Millis = Millis::from_secs(60);
/// Jobs with failures that are remembered.
const JOBS: usize = 1024;

/// Whether a worker may get work, as far as its health goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Gets work.
    #[default]
    Sound,
    /// Gets nothing until the instant, then one probe.
    Quarantined(Millis),
    /// Its probe is running; a probe that still runs at the instant has succeeded.
    Probed(Millis),
}

/// What is known of one worker.
#[derive(Clone, Debug, Default)]
struct Record {
    state: State,
    /// Hashes of the jobs that failed since the last success, oldest first.
    strikes: Vec<u64>,
    /// When each start that is not proven yet will be.
    unproven: Vec<Millis>,
    /// When the last failure was.
    struck_at: Millis,
    /// Length of the last quarantine.
    pause: Millis,
}

/// What is known of a job with failures.
#[derive(Clone, Debug)]
struct Job {
    hash: u64,
    /// The first workers on which it failed, at most two.
    failed_on: Vec<Handle>,
    last: Handle,
    succeeded: bool,
}

/// Health of all workers of a view.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// By handle.
    records: Vec<Record>,
    /// Sorted by hash.
    jobs: Vec<Job>,
    /// Stewards that share the starts in flight on each worker; zero counts as one.
    stewards: usize,
}

/// A failure of a task, which a steward tells the others: each sees only its own teams' tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// The worker on which the task failed.
    pub worker: Name,
    /// Hash of the job's id.
    pub job: u64,
}

impl Record {
    /// Takes a start that was made at `started` out of those that are not proven.
    fn proven(&mut self, started: Millis, now: Millis) {
        if started + PROOF > now {
            self.unproven.pop();
        }
    }
}

impl Health {
    /// Forgets what is known of a handle, whose worker is another now.
    pub fn reset(&mut self, handle: Handle) {
        *self.record_mut(handle) = Record::default();
    }

    /// Returns the state of a worker.
    pub fn state(&self, handle: Handle) -> State {
        self.record(handle).map_or(State::Sound, |r| r.state)
    }

    /// Returns whether a worker may get a further start now.
    pub fn admits(&self, handle: Handle, now: Millis) -> bool {
        self.record(handle).is_none_or(|record| match record.state {
            State::Sound => {
                let unproven = record.unproven.iter().filter(|&&at| at > now).count();
                let strikes = self.count(record);
                let allowed = STRIKES / self.stewards.max(1);
                // With several stewards, what is in flight elsewhere must be heard of first.
                let unheard = self.stewards > 1 && strikes > 0 && now < record.struck_at + PROOF;
                !unheard && unproven < allowed.saturating_sub(strikes).max(1)
            }
            State::Quarantined(until) => now >= until,
            State::Probed(until) => now >= until,
        })
    }

    /// Returns whether ordinary work must not go to a worker now. A worker whose probe is due
    /// stays paused for [`PROBE_GRACE`], in which only work that suits a probe goes there.
    pub fn is_paused(&self, handle: Handle, now: Millis) -> bool {
        match self.state(handle) {
            State::Quarantined(until) => now < until + PROBE_GRACE,
            _ => !self.admits(handle, now),
        }
    }

    /// Notes a start on a worker. Returns when it will be proven.
    pub fn started(&mut self, handle: Handle, now: Millis) -> Millis {
        let record = self.record_mut(handle);
        record.unproven.retain(|&at| at > now);
        record.unproven.push(now + PROOF);
        match record.state {
            State::Quarantined(_) => record.state = State::Probed(now + PROBE_PROOF),
            State::Probed(until) if now >= until => {
                record.state = State::Sound;
                record.strikes.clear();
            }
            _ => {}
        }
        now + PROOF
    }

    /// Notes that a start made at `started` ended, or was taken back, without telling anything of
    /// the worker.
    pub fn withdrawn(&mut self, handle: Handle, started: Millis, now: Millis) {
        let record = self.record_mut(handle);
        record.proven(started, now);
        if matches!(record.state, State::Probed(_)) {
            record.state = State::Quarantined(now);
        }
    }

    /// Notes that a task of a job completed on a worker, on which it was started at `started`. A
    /// task that was started before the last failure tells nothing of the worker's present state.
    pub fn succeeded(&mut self, handle: Handle, job: u64, started: Millis, now: Millis) {
        let record = self.record_mut(handle);
        record.proven(started, now);
        if record.strikes.is_empty() || started >= record.struck_at {
            record.strikes.clear();
            record.pause = Millis::ZERO;
            record.state = State::Sound;
        }
        if let Ok(i) = self.jobs.binary_search_by_key(&job, |j| j.hash) {
            self.jobs[i].succeeded = true;
        }
    }

    /// Notes that a task of a job, which was started at `started`, failed on a worker. Returns
    /// whether the worker is quarantined now.
    pub fn failed(&mut self, handle: Handle, job: u64, started: Millis, now: Millis) -> bool {
        self.record_mut(handle).proven(started, now);
        self.strike(handle, job, now)
    }

    /// Counts a failure that this steward or another one saw. Returns whether the worker is
    /// quarantined now.
    pub fn strike(&mut self, handle: Handle, job: u64, now: Millis) -> bool {
        self.note_job(job, handle);
        let record = self.record_mut(handle);
        if record.strikes.len() == STRIKES {
            record.strikes.remove(0);
        }
        record.strikes.push(job);
        record.struck_at = now;
        let waits = matches!(record.state, State::Quarantined(until) if now < until);
        let probed = matches!(record.state, State::Probed(_));
        if !waits && (probed || self.count(&self.records[handle as usize]) >= STRIKES) {
            let record = self.record_mut(handle);
            let pause = record.pause.times(2).max(FIRST_PAUSE).min(LONGEST_PAUSE);
            record.pause = pause;
            record.state = State::Quarantined(now + pause);
        }
        matches!(self.state(handle), State::Quarantined(_))
    }

    /// Sets the number of stewards that share the starts in flight on each worker.
    pub fn share(&mut self, stewards: usize) {
        self.stewards = stewards;
    }

    /// Returns the worker on which a job failed last, which its next attempt should avoid.
    pub fn avoid(&self, job: u64) -> Option<Handle> {
        let found = self.jobs.binary_search_by_key(&job, |j| j.hash);
        found.ok().map(|i| self.jobs[i].last)
    }

    /// Returns whether a job failed on two workers and succeeded nowhere.
    pub fn is_suspect(&self, job: u64) -> bool {
        let found = self.jobs.binary_search_by_key(&job, |j| j.hash);
        found.is_ok_and(|i| !self.jobs[i].succeeded && self.jobs[i].failed_on.len() > 1)
    }

    /// Returns the number of workers that are quarantined or probed.
    pub fn quarantined(&self) -> usize {
        self.records.iter().filter(|record| record.state != State::Sound).count()
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

    /// Returns the failures in a row that count against the worker.
    fn count(&self, record: &Record) -> usize {
        record.strikes.iter().filter(|&&job| !self.is_suspect(job)).count()
    }

    fn note_job(&mut self, hash: u64, handle: Handle) {
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
                if self.jobs.len() > JOBS {
                    // Which job is forgotten hardly matters: it is told again by its next failure.
                    let other = if i == 0 { self.jobs.len() - 1 } else { 0 };
                    self.jobs.remove(other);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
