//! State of the shard as replayed from its log. Replay is deterministic: daemons that have read the
//! same entries have the same state.

pub mod backlog;
#[cfg(test)]
mod tests;

use super::state::{JobState, Occurrence};
use super::{End, Entry, Incarnation, Run};
use crate::clock::Millis;
use crate::contract::work::{Id, Job, Status, StepId, Task};
use backlog::{Backlog, Backlogs};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Retention of the final state of a job: twice the period in which callers may query it.
pub const ENDED_JOB_RETENTION: Millis = Millis::from_secs(240);

/// Retention of the tasks of an ended job, so that late start orders and late reports of ends can
/// still be matched to their runs. After it only the final state is needed.
const ENDED_TASKS_RETENTION: Millis = Millis::from_secs(30);

/// Encoded size of a job without its payload, on average of the jobs on large sites.
const JOB_BYTES: usize = 200;

/// An ended job of which only the final state is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Ended {
    id: Id,
    status: Status,
    at: Millis,
}

/// The current claim of the shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Epoch of the owner, 0 before the first claim.
    pub epoch: u64,
    /// Name of the owner; empty before the first claim and after a release.
    pub owner: Box<str>,
    /// Address of the owner for peers, as IP address and port.
    pub address: Box<str>,
    /// Random number that the owner drew at start-up.
    pub nonce: u64,
    /// Whether no previous owner can still grant leases: the last one released the shard or was an
    /// earlier process of the same instance, and all leases of the owners before it have expired.
    #[serde(rename = "is_alone")]
    pub no_earlier_owner: bool,
}

/// Effect of an entry on the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// A job was accepted.
    Accepted(Id),
    /// A job has ended and its remaining runs must be stopped.
    Over(Id),
    /// The shard was claimed or released.
    Claimed,
    /// A snapshot was saved.
    Saved,
    /// The state of runs or of a schedule may have changed.
    Progress,
    /// Nothing that a reader must react to.
    Nothing,
}

/// State of the shard after all entries that were applied.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Replica {
    /// Sorted by id.
    jobs: Vec<JobState>,
    /// Jobs whose tasks were dropped after `ENDED_TASKS_RETENTION`, sorted by id.
    ended: Vec<Ended>,
    /// Steps that are not done and whose predecessors are, sorted.
    open: Vec<StepId>,
    /// Scheduled jobs, sorted. Those that ended are removed by [`Self::expire`].
    scheduled: Vec<Id>,
    /// Highest number of a recorded end for each incarnation of a worker, sorted.
    #[serde(rename = "noted")]
    recorded_ends: Vec<(Incarnation, u64)>,
    claim: Claim,
    /// Highest epoch such that all leases granted by owners of earlier epochs have expired.
    settled: u64,
    /// Number of the last snapshot, 0 before the first.
    #[serde(rename = "saves")]
    snapshot_number: u64,
    /// Counted anew when a snapshot is restored.
    #[serde(skip)]
    backlogs: Backlogs,
}

impl Replica {
    /// Returns the current claim.
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Returns whether the log shows that all leases of previous owners have expired.
    pub const fn old_leases_expired(&self) -> bool {
        self.settled >= self.claim.epoch
    }

    /// Returns whether, of all previous owners, only the last one may still grant leases.
    pub const fn only_last_owner_unsettled(&self) -> bool {
        self.settled + 1 >= self.claim.epoch
    }

    /// Returns the number of the last snapshot, 0 before the first.
    pub const fn snapshot_number(&self) -> u64 {
        self.snapshot_number
    }

    /// Estimates the size of the encoded replica in bytes.
    pub fn size_estimate(&self) -> usize {
        self.jobs.iter().map(|j| JOB_BYTES + j.job.payload.len()).sum()
    }

    /// Returns a job whose tasks are still kept.
    pub fn job(&self, id: Id) -> Option<&JobState> {
        self.find(id).ok().map(|i| &self.jobs[i])
    }

    /// Returns the status of a job; `None` if the job is unknown or was forgotten.
    pub fn status(&self, id: Id) -> Option<Status> {
        let ended = || self.find_ended(id).ok().map(|i| self.ended[i].status);
        self.job(id).map(JobState::status).or_else(ended)
    }

    /// Returns whether none of a job's tasks may run any more: it has ended, or it is unknown.
    pub fn has_ended(&self, id: Id) -> bool {
        self.job(id).is_none_or(JobState::has_ended)
    }

    /// Returns the jobs whose tasks are still kept, sorted by id.
    pub fn jobs(&self) -> &[JobState] {
        &self.jobs
    }

    /// Returns the steps that are not done and whose predecessors are, sorted.
    pub fn open(&self) -> &[StepId] {
        &self.open
    }

    /// Returns the scheduled jobs; jobs that ended since the last [`Self::expire`] are included.
    pub fn scheduled(&self) -> impl Iterator<Item = &JobState> {
        self.scheduled.iter().filter_map(|id| self.job(*id))
    }

    /// Returns the highest number of a recorded end of a worker's incarnation, 0 if there is none.
    pub fn recorded_end(&self, incarnation: &Incarnation) -> u64 {
        self.recorded_ends
            .binary_search_by(|(l, _)| l.cmp(incarnation))
            .map_or(0, |i| self.recorded_ends[i].1)
    }

    /// Returns the backlog of a queue.
    pub fn backlog(&self, queue: &str) -> Backlog {
        self.backlogs.of(queue)
    }

    /// Returns the runs that may be active, each with the worker incarnation it was started on.
    pub fn placed(&self) -> Vec<(Run, Arc<Incarnation>)> {
        let mut runs = Vec::new();
        for state in &self.jobs {
            for (number, occurrence) in (0..).zip(&state.occurrences) {
                for (step, tasks) in (0..).zip(&occurrence.steps) {
                    let step_id = StepId { job: state.job.id, occurrence: number, step };
                    for (index, task) in (0..).zip(&tasks.tasks) {
                        if let Some(placed) = &task.placed {
                            let run = Run { task: Task { step_id, index }, number: placed.number };
                            runs.push((run, Arc::clone(&placed.on)));
                        }
                    }
                }
            }
        }
        runs
    }

    /// Applies the next entry of the log; `now` is the time at which this process read it.
    pub fn apply(&mut self, entry: Entry, now: Millis) -> Applied {
        match entry {
            Entry::Submitted(job) => self.submit(*job, now),
            Entry::Cancelled(id) => self.cancel(id, now),
            Entry::Claimed { epoch, owner, address, nonce } if epoch > self.claim.epoch => {
                let before = &self.claim;
                let has_stopped = before.owner.is_empty() || before.owner == owner;
                let no_earlier_owner = has_stopped && self.settled >= before.epoch;
                if no_earlier_owner {
                    self.settled = epoch;
                }
                self.claim = Claim { epoch, owner, address, nonce, no_earlier_owner };
                Applied::Claimed
            }
            Entry::Settled { epoch } if epoch == self.claim.epoch => {
                self.settled = epoch;
                Applied::Nothing
            }
            Entry::Released { epoch } if epoch == self.claim.epoch => {
                self.claim = Claim { epoch, ..Claim::default() };
                Applied::Claimed
            }
            Entry::Saved { number } if number > self.snapshot_number => {
                self.snapshot_number = number;
                Applied::Saved
            }
            Entry::Saved { .. }
            | Entry::Claimed { .. }
            | Entry::Released { .. }
            | Entry::Alive { .. }
            | Entry::Settled { .. } => Applied::Nothing,
            Entry::Due { job, occurrence } => self.due(job, occurrence),
            Entry::Started { on, runs } => {
                let on = Arc::new(on);
                runs.iter().for_each(|run| self.start(*run, &on));
                Applied::Progress
            }
            Entry::Ended { on, ends } => self.end(&on, &ends, now),
            Entry::Lost(runs) => {
                for run in runs {
                    if let Some(step) =
                        self.job_mut(run.task.step_id.job).and_then(|j| j.step_mut(&run.task))
                    {
                        step.clear_run(run);
                    }
                    self.update_backlog(run.task.step_id.job);
                }
                Applied::Progress
            }
            Entry::Crashed { runs, .. } => self.crash(&runs, now),
            Entry::Unanswered(runs) => {
                for run in runs {
                    let id = run.task.step_id.job;
                    if let Some(step) = self.job_mut(id).and_then(|j| j.step_mut(&run.task)) {
                        step.doubt(run);
                    }
                    self.update_backlog(id);
                }
                Applied::Nothing
            }
        }
    }

    /// Drops the tasks of jobs that ended at least `ENDED_TASKS_RETENTION` ago, and jobs that ended at least
    /// [`ENDED_JOB_RETENTION`] ago. A job with a run that may be active keeps its tasks.
    pub fn expire(&mut self, now: Millis) {
        let jobs = &self.jobs;
        let has_ended = |id: &Id| {
            jobs.binary_search_by_key(id, |j| j.job.id).is_ok_and(|i| jobs[i].has_ended())
        };
        self.scheduled.retain(|id| !has_ended(id));
        let ended = &mut self.ended;
        self.jobs.retain(|job| {
            let Some(at) = job.ended.filter(|at| now.since(*at) >= ENDED_TASKS_RETENTION) else {
                return true;
            };
            let keeps = job.has_placed();
            if !keeps {
                ended.push(Ended { id: job.job.id, status: job.status(), at });
            }
            keeps
        });
        ended.retain(|e| now.since(e.at) < ENDED_JOB_RETENTION);
        ended.sort_unstable_by_key(|e| e.id);
    }

    /// Completes a replica that was read from a snapshot: converts all times from a clock that reads
    /// `there` to one that reads `here`, and counts the backlogs.
    pub(super) fn rebase(&mut self, there: Millis, here: Millis) {
        let moved = |at: Millis| here.since(there.since(at));
        for job in &mut self.jobs {
            job.seen = moved(job.seen);
            job.ended = job.ended.map(moved);
        }
        for ended in &mut self.ended {
            ended.at = moved(ended.at);
        }
        self.backlogs = Backlogs::count(&mut self.jobs);
    }

    /// Adjusts the backlog of a job's queue after the job has changed.
    fn update_backlog(&mut self, id: Id) {
        if let Ok(i) = self.find(id) {
            self.backlogs.update(&mut self.jobs[i]);
        }
    }

    fn find(&self, id: Id) -> Result<usize, usize> {
        self.jobs.binary_search_by_key(&id, |j| j.job.id)
    }

    fn find_ended(&self, id: Id) -> Result<usize, usize> {
        self.ended.binary_search_by_key(&id, |e| e.id)
    }

    fn job_mut(&mut self, id: Id) -> Option<&mut JobState> {
        self.find(id).ok().map(|i| &mut self.jobs[i])
    }

    fn submit(&mut self, job: Job, now: Millis) -> Applied {
        let id = job.id;
        let Err(i) = self.find(id) else { return Applied::Nothing };
        if self.find_ended(id).is_ok() {
            return Applied::Nothing;
        }
        if job.schedule.is_some()
            && let Err(at) = self.scheduled.binary_search(&id)
        {
            self.scheduled.insert(at, id);
        }
        self.jobs.insert(i, JobState::new(job, now));
        self.update_open_steps(id, now);
        self.update_backlog(id);
        Applied::Accepted(id)
    }

    fn cancel(&mut self, id: Id, now: Millis) -> Applied {
        match self.job_mut(id) {
            Some(job) if !job.has_ended() => {
                job.cancelled = true;
                job.end(now);
                self.remove_open_steps(id);
                self.update_backlog(id);
                Applied::Over(id)
            }
            _ => Applied::Nothing,
        }
    }

    fn due(&mut self, id: Id, occurrence: u32) -> Applied {
        let Some(state) = self.job_mut(id) else { return Applied::Nothing };
        if state.has_ended() || usize::try_from(occurrence).ok() != Some(state.occurrences.len()) {
            return Applied::Nothing;
        }
        let added = Occurrence::new(&state.job);
        state.occurrences.push(added);
        self.update_open_steps(id, Millis::ZERO);
        self.update_backlog(id);
        Applied::Progress
    }

    fn start(&mut self, run: Run, on: &Arc<Incarnation>) {
        if let Some(state) = self.job_mut(run.task.step_id.job)
            && let Some(step) = state.step_mut(&run.task)
        {
            step.start(run, on);
        }
        self.update_backlog(run.task.step_id.job);
    }

    fn end(&mut self, on: &Incarnation, ends: &[End], now: Millis) -> Applied {
        self.record_last_end(on, ends.iter().map(|e| e.number).max().unwrap_or_default());
        let mut applied = Applied::Progress;
        for end in ends {
            let id = end.run.task.step_id.job;
            let Some(state) = self.job_mut(id) else { continue };
            let job = Arc::clone(&state.job);
            let Some(step) = job.steps.get(usize::from(end.run.task.step_id.step)) else {
                continue;
            };
            state.begun = true;
            let Some(step_state) = state.step_mut(&end.run.task) else { continue };
            let is_exhausted = step_state.end(step, job.policy.attempts, end);
            let is_done = step_state.is_done();
            if is_exhausted && !state.has_ended() {
                self.fail(id, now);
                applied = Applied::Over(id);
            } else if is_done {
                self.update_open_steps(id, now);
            }
        }
        ends.iter().for_each(|end| self.update_backlog(end.run.task.step_id.job));
        applied
    }

    fn crash(&mut self, runs: &[Run], now: Millis) -> Applied {
        let mut applied = Applied::Progress;
        for run in runs {
            let id = run.task.step_id.job;
            let Some(state) = self.job_mut(id).filter(|j| !j.has_ended()) else { continue };
            if state.step_mut(&run.task).is_some_and(|step| step.crash(*run)) {
                self.fail(id, now);
                self.update_backlog(id);
                applied = Applied::Over(id);
            }
        }
        applied
    }

    /// Ends a job as failed.
    fn fail(&mut self, id: Id, now: Millis) {
        if let Some(state) = self.job_mut(id) {
            state.failed = true;
            state.end(now);
        }
        self.remove_open_steps(id);
    }

    fn record_last_end(&mut self, incarnation: &Incarnation, number: u64) {
        match self.recorded_ends.binary_search_by(|(l, _)| l.cmp(incarnation)) {
            Ok(i) => self.recorded_ends[i].1 = self.recorded_ends[i].1.max(number),
            Err(i) => self.recorded_ends.insert(i, (incarnation.clone(), number)),
        }
    }

    fn remove_open_steps(&mut self, id: Id) {
        let from = self.open.partition_point(|s| s.job < id);
        let count = self.open[from..].partition_point(|s| s.job == id);
        self.open.drain(from..from + count);
    }

    /// Recomputes the open steps of a job, and marks the job as ended if every occurrence is done.
    fn update_open_steps(&mut self, id: Id, now: Millis) {
        self.remove_open_steps(id);
        let Some(state) = self.job_mut(id) else { return };
        if state.has_ended() {
            return;
        }
        if state.is_done() {
            state.end(now);
            return;
        }
        let mut open = Vec::new();
        for (number, occurrence) in (0..).zip(&state.occurrences) {
            for step in 0..occurrence.steps.len() {
                if let Ok(at) = u16::try_from(step)
                    && occurrence.is_open(&state.job, step)
                {
                    open.push(StepId { job: id, occurrence: number, step: at });
                }
            }
        }
        let at = self.open.partition_point(|s| s.job < id);
        self.open.splice(at..at, open);
    }
}
