//! State of the shard as replayed from its log. Replay is deterministic: daemons that have read the
//! same entries have the same state.

#[cfg(test)]
mod tests;

use super::state::{JobState, Pass};
use super::{End, Entry, Incarnation, Run};
use crate::clock::Millis;
use crate::contract::work::{Id, Job, Stage, Status, Task};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Retention of the final state of a job: twice the period in which callers may query it.
pub const ENDED_JOB_RETENTION: Millis = Millis::from_secs(240);

/// Retention of the tasks of an ended job, so that late start orders and late reports of ends can
/// still be matched to their runs. After it only the final state is needed.
const ENDED_TASKS_RETENTION: Millis = Millis::from_secs(30);

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
    pub is_alone: bool,
}

/// Effect of an entry on the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
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
pub struct Book {
    /// Sorted by id.
    jobs: Vec<JobState>,
    /// Jobs whose tasks were dropped after `ENDED_TASKS_RETENTION`, sorted by id.
    ended: Vec<Ended>,
    /// Steps that are not done and whose predecessors are, sorted.
    open: Vec<Stage>,
    /// Scheduled jobs, sorted. Those that ended are removed by [`Self::expire`].
    scheduled: Vec<Id>,
    /// Highest number of a recorded end for each incarnation of a worker, sorted.
    #[serde(rename = "noted")]
    recorded_ends: Vec<(Incarnation, u64)>,
    claim: Claim,
    /// Highest epoch such that all leases granted by owners of earlier epochs have expired.
    settled: u64,
    /// Number of the last snapshot, 0 before the first.
    saves: u64,
}

impl Book {
    /// Returns the current claim.
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Returns whether the log shows that all leases of previous owners have expired.
    pub const fn is_settled(&self) -> bool {
        self.settled >= self.claim.epoch
    }

    /// Returns the number of the last snapshot, 0 before the first.
    pub const fn saves(&self) -> u64 {
        self.saves
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

    /// Returns the jobs whose tasks are still kept, sorted by id.
    pub fn jobs(&self) -> &[JobState] {
        &self.jobs
    }

    /// Returns the steps that are not done and whose predecessors are, sorted.
    pub fn open(&self) -> &[Stage] {
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

    /// Returns the number of jobs of a queue that have not started.
    pub fn pending(&self, queue: &str) -> usize {
        let is_queued =
            |j: &&JobState| j.status() == Status::Queued && &*j.job.policy.queue == queue;
        self.jobs.iter().filter(is_queued).count()
    }

    /// Returns the runs that may be active, each with the worker incarnation it was started on.
    pub fn placed(&self) -> Vec<(Run, Arc<Incarnation>)> {
        let mut runs = Vec::new();
        for state in &self.jobs {
            for (occurrence, pass) in (0..).zip(&state.passes) {
                for (step, tasks) in (0..).zip(&pass.steps) {
                    let stage = Stage { job: state.job.id, occurrence, step };
                    for (index, task) in (0..).zip(&tasks.tasks) {
                        if let Some(placed) = &task.placed {
                            let run = Run { task: Task { stage, index }, number: placed.number };
                            runs.push((run, Arc::clone(&placed.on)));
                        }
                    }
                }
            }
        }
        runs
    }

    /// Applies the next entry of the log; `now` is the time at which this process read it.
    pub fn apply(&mut self, entry: Entry, now: Millis) -> Change {
        match entry {
            Entry::Submitted(job) => self.submit(*job, now),
            Entry::Cancelled(id) => self.cancel(id, now),
            Entry::Claimed { epoch, owner, address, nonce } if epoch > self.claim.epoch => {
                let before = &self.claim;
                let has_stopped = before.owner.is_empty() || before.owner == owner;
                let is_alone = has_stopped && self.settled >= before.epoch;
                if is_alone {
                    self.settled = epoch;
                }
                self.claim = Claim { epoch, owner, address, nonce, is_alone };
                Change::Claimed
            }
            Entry::Settled { epoch } if epoch == self.claim.epoch => {
                self.settled = epoch;
                Change::Nothing
            }
            Entry::Released { epoch } if epoch == self.claim.epoch => {
                self.claim = Claim { epoch, ..Claim::default() };
                Change::Claimed
            }
            Entry::Saved { number } if number > self.saves => {
                self.saves = number;
                Change::Saved
            }
            Entry::Saved { .. }
            | Entry::Claimed { .. }
            | Entry::Released { .. }
            | Entry::Alive { .. }
            | Entry::Settled { .. } => Change::Nothing,
            Entry::Due { job, occurrence } => self.due(job, occurrence),
            Entry::Started { on, runs } => {
                let on = Arc::new(on);
                runs.iter().for_each(|run| self.start(*run, &on));
                Change::Progress
            }
            Entry::Ended { on, ends } => self.end(&on, &ends, now),
            Entry::Lost(runs) => {
                for run in runs {
                    if let Some(step) =
                        self.job_mut(run.task.stage.job).and_then(|j| j.step_mut(&run.task))
                    {
                        step.clear_run(run);
                    }
                }
                Change::Progress
            }
        }
    }

    /// Drops the tasks of jobs that ended at least `ENDED_TASKS_RETENTION` ago, and jobs that ended at least
    /// [`ENDED_JOB_RETENTION`] ago. A job with a run that may be active keeps its tasks.
    pub fn expire(&mut self, now: Millis) {
        let jobs = &self.jobs;
        let is_over =
            |id: &Id| jobs.binary_search_by_key(id, |j| j.job.id).is_ok_and(|i| jobs[i].is_over());
        self.scheduled.retain(|id| !is_over(id));
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

    /// Converts all times from a clock that reads `there` to one that reads `here`.
    pub(super) fn rebase(&mut self, there: Millis, here: Millis) {
        let moved = |at: Millis| here.since(there.since(at));
        for job in &mut self.jobs {
            job.seen = moved(job.seen);
            job.ended = job.ended.map(moved);
        }
        for ended in &mut self.ended {
            ended.at = moved(ended.at);
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

    fn submit(&mut self, job: Job, now: Millis) -> Change {
        let id = job.id;
        let Err(i) = self.find(id) else { return Change::Nothing };
        if self.find_ended(id).is_ok() {
            return Change::Nothing;
        }
        if job.schedule.is_some()
            && let Err(at) = self.scheduled.binary_search(&id)
        {
            self.scheduled.insert(at, id);
        }
        self.jobs.insert(i, JobState::new(job, now));
        self.update_open_steps(id, now);
        Change::Accepted(id)
    }

    fn cancel(&mut self, id: Id, now: Millis) -> Change {
        match self.job_mut(id) {
            Some(job) if !job.is_over() => {
                job.cancelled = true;
                job.ended = Some(now);
                self.remove_open_steps(id);
                Change::Over(id)
            }
            _ => Change::Nothing,
        }
    }

    fn due(&mut self, id: Id, occurrence: u32) -> Change {
        let Some(state) = self.job_mut(id) else { return Change::Nothing };
        if state.is_over() || usize::try_from(occurrence).ok() != Some(state.passes.len()) {
            return Change::Nothing;
        }
        let pass = Pass::new(&state.job);
        state.passes.push(pass);
        self.update_open_steps(id, Millis::ZERO);
        Change::Progress
    }

    fn start(&mut self, run: Run, on: &Arc<Incarnation>) {
        if let Some(state) = self.job_mut(run.task.stage.job)
            && let Some(step) = state.step_mut(&run.task)
        {
            step.start(run, on);
        }
    }

    fn end(&mut self, on: &Incarnation, ends: &[End], now: Millis) -> Change {
        self.record_last_end(on, ends.iter().map(|e| e.number).max().unwrap_or_default());
        let mut change = Change::Progress;
        for end in ends {
            let id = end.run.task.stage.job;
            let Some(state) = self.job_mut(id) else { continue };
            let job = Arc::clone(&state.job);
            let Some(step) = job.steps.get(usize::from(end.run.task.stage.step)) else { continue };
            state.begun = true;
            let Some(step_state) = state.step_mut(&end.run.task) else { continue };
            let is_exhausted = step_state.end(step, job.policy.attempts, end);
            let is_done = step_state.is_done();
            if is_exhausted && !state.is_over() {
                state.failed = true;
                state.ended = Some(now);
                self.remove_open_steps(id);
                change = Change::Over(id);
            } else if is_done {
                self.update_open_steps(id, now);
            }
        }
        change
    }

    fn record_last_end(&mut self, incarnation: &Incarnation, number: u64) {
        match self.recorded_ends.binary_search_by(|(l, _)| l.cmp(incarnation)) {
            Ok(i) => self.recorded_ends[i].1 = self.recorded_ends[i].1.max(number),
            Err(i) => self.recorded_ends.insert(i, (incarnation.clone(), number)),
        }
    }

    fn remove_open_steps(&mut self, id: Id) {
        self.open.retain(|s| s.job != id);
    }

    /// Recomputes the open steps of a job, and marks the job as ended if every occurrence is done.
    fn update_open_steps(&mut self, id: Id, now: Millis) {
        self.remove_open_steps(id);
        let Some(state) = self.job_mut(id) else { return };
        if state.is_over() {
            return;
        }
        if state.is_done() {
            state.ended = Some(now);
            return;
        }
        let mut open = Vec::new();
        for (occurrence, pass) in (0..).zip(&state.passes) {
            for step in 0..pass.steps.len() {
                if let Ok(at) = u16::try_from(step)
                    && pass.is_open(&state.job, step)
                {
                    open.push(Stage { job: id, occurrence, step: at });
                }
            }
        }
        let at = self.open.partition_point(|s| s.job < id);
        self.open.splice(at..at, open);
    }
}
