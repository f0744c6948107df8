//! The fold of the shard's log: every daemon that has read the same entries has the same book.

#[cfg(test)]
mod tests;

use super::state::{JobState, Pass};
use super::{End, Entry, Life, Run};
use crate::clock::Millis;
use crate::contract::work::{Id, Job, Stage, Status, Task};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How long an ended job is remembered; twice as long as callers may ask.
pub const REMEMBER_ENDED: Millis = Millis::from_secs(240);

/// How long an ended job is kept with its tasks: orders that come late and ends that are listed late
/// are still told apart. Later its state is all that anyone asks for.
const KEEP_TASKS: Millis = Millis::from_secs(30);

/// A job of which only the state is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Ended {
    id: Id,
    status: Status,
    at: Millis,
}

/// The claim that is in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Epoch of the owner, 0 before the first claim.
    pub epoch: u64,
    /// Name of the owner, empty when it has released the shard.
    pub owner: Box<str>,
    /// Where its peers reach it, IP number and port.
    pub address: Box<str>,
    /// Number that the owner drew at its start.
    pub nonce: u64,
    /// Whether no earlier owner can still grant leases: the one before released the shard, or was
    /// an earlier process of the same instance, and all owners before that one were settled.
    pub is_alone: bool,
}

/// What an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A job was accepted.
    Accepted(Id),
    /// A job is over; its runs must stop.
    Over(Id),
    /// Another owner has claimed the shard.
    Claimed,
    /// A snapshot was saved.
    Saved,
    /// The entry changed what is known of runs.
    Progress,
    /// The entry changed nothing: a repeat.
    Nothing,
}

/// What the log says.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Book {
    /// Sorted by id.
    jobs: Vec<JobState>,
    /// Jobs that ended a while ago, sorted by id.
    ended: Vec<Ended>,
    /// Steps whose tasks may start or are at work, sorted.
    open: Vec<Stage>,
    /// Jobs with a schedule that are not over, sorted.
    scheduled: Vec<Id>,
    /// The last end that was recorded of each life, sorted.
    noted: Vec<(Life, u64)>,
    claim: Claim,
    /// The last epoch before which no lease can hold any more.
    settled: u64,
    /// Number of the last snapshot.
    saves: u64,
}

impl Book {
    /// Returns the claim that is in force.
    pub const fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Returns whether no owner before the present one can still grant leases, by the log.
    pub const fn is_settled(&self) -> bool {
        self.settled >= self.claim.epoch
    }

    /// Returns the number of the last snapshot, 0 before the first.
    pub const fn saves(&self) -> u64 {
        self.saves
    }

    /// Returns a job.
    pub fn job(&self, id: Id) -> Option<&JobState> {
        self.find(id).ok().map(|i| &self.jobs[i])
    }

    /// Returns the state of a job, `None` when it isn't known.
    pub fn status(&self, id: Id) -> Option<Status> {
        let ended = || self.find_ended(id).ok().map(|i| self.ended[i].status);
        self.job(id).map(JobState::status).or_else(ended)
    }

    /// Returns the jobs that are not over, or ended a short while ago, by id.
    pub fn jobs(&self) -> &[JobState] {
        &self.jobs
    }

    /// Returns the steps whose tasks may start or are at work.
    pub fn open(&self) -> &[Stage] {
        &self.open
    }

    /// Returns the jobs with a schedule that are not over.
    pub fn scheduled(&self) -> impl Iterator<Item = &JobState> {
        self.scheduled.iter().filter_map(|id| self.job(*id))
    }

    /// Returns the number of the last end that was recorded of a worker's life.
    pub fn noted(&self, life: &Life) -> u64 {
        self.noted.binary_search_by(|(l, _)| l.cmp(life)).map_or(0, |i| self.noted[i].1)
    }

    /// Returns how many jobs of a queue have not started.
    pub fn pending(&self, queue: &str) -> usize {
        let waits = |j: &&JobState| j.status() == Status::Queued && &*j.job.policy.queue == queue;
        self.jobs.iter().filter(waits).count()
    }

    /// Returns the runs that may be at work, with the life on which each was started.
    pub fn placed(&self) -> Vec<(Run, Arc<Life>)> {
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

    /// Takes the next entry of the log in.
    pub fn apply(&mut self, entry: Entry, now: Millis) -> Change {
        match entry {
            Entry::Submitted(job) => self.submit(*job, now),
            Entry::Cancelled(id) => self.cancel(id, now),
            Entry::Claimed { epoch, owner, address, nonce } if epoch > self.claim.epoch => {
                let before = &self.claim;
                let has_ended = before.owner.is_empty() || before.owner == owner;
                let is_alone = has_ended && self.settled >= before.epoch;
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
                        step.lose(run);
                    }
                }
                Change::Progress
            }
        }
    }

    /// Forgets the tasks of jobs that ended a while ago, and jobs that ended long ago.
    pub fn expire(&mut self, now: Millis) {
        let jobs = &self.jobs;
        let is_over =
            |id: &Id| jobs.binary_search_by_key(id, |j| j.job.id).is_ok_and(|i| jobs[i].is_over());
        self.scheduled.retain(|id| !is_over(id));
        let ended = &mut self.ended;
        self.jobs.retain(|job| {
            let Some(at) = job.ended.filter(|at| now.since(*at) >= KEEP_TASKS) else { return true };
            let keeps = job.has_placed();
            if !keeps {
                ended.push(Ended { id: job.job.id, status: job.status(), at });
            }
            keeps
        });
        ended.retain(|e| now.since(e.at) < REMEMBER_ENDED);
        ended.sort_unstable_by_key(|e| e.id);
    }

    /// Moves all times from a clock that shows `there` to one that shows `here`.
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
        self.reopen(id, now);
        Change::Accepted(id)
    }

    fn cancel(&mut self, id: Id, now: Millis) -> Change {
        match self.job_mut(id) {
            Some(job) if !job.is_over() => {
                job.cancelled = true;
                job.ended = Some(now);
                self.close(id);
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
        self.reopen(id, Millis::ZERO);
        Change::Progress
    }

    fn start(&mut self, run: Run, on: &Arc<Life>) {
        if let Some(state) = self.job_mut(run.task.stage.job)
            && let Some(step) = state.step_mut(&run.task)
        {
            step.start(run, on);
        }
    }

    fn end(&mut self, on: &Life, ends: &[End], now: Millis) -> Change {
        self.note(on, ends.iter().map(|e| e.number).max().unwrap_or_default());
        let mut change = Change::Progress;
        for end in ends {
            let id = end.run.task.stage.job;
            let Some(state) = self.job_mut(id) else { continue };
            let job = Arc::clone(&state.job);
            let Some(step) = job.steps.get(usize::from(end.run.task.stage.step)) else { continue };
            state.begun = true;
            let Some(of) = state.step_mut(&end.run.task) else { continue };
            let is_spent = of.end(step, job.policy.attempts, end);
            let is_done = of.is_done();
            if is_spent && !state.is_over() {
                state.failed = true;
                state.ended = Some(now);
                self.close(id);
                change = Change::Over(id);
            } else if is_done {
                self.reopen(id, now);
            }
        }
        change
    }

    fn note(&mut self, life: &Life, number: u64) {
        match self.noted.binary_search_by(|(l, _)| l.cmp(life)) {
            Ok(i) => self.noted[i].1 = self.noted[i].1.max(number),
            Err(i) => self.noted.insert(i, (life.clone(), number)),
        }
    }

    fn close(&mut self, id: Id) {
        self.open.retain(|s| s.job != id);
    }

    /// Recomputes which steps of a job are open, and whether it is completed.
    fn reopen(&mut self, id: Id, now: Millis) {
        self.close(id);
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
