//! State of one job as replayed from the shard log: its occurrences, steps and tasks.

use super::replica::backlog::Stage;
use super::{End, Incarnation, Run};
use crate::clock::Millis;
use crate::contract::work::{Job, Outcome, Status, Step, Task};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Number of workers that crash under a task until its job fails (source: the users' rules allow that
/// from the second on, and forbid three more starts after the third).
pub const MAX_CRASHES: u32 = 3;

/// A run that may be active.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// Number of the run.
    pub number: u32,
    /// Incarnation of the worker on which it was started.
    pub on: Arc<Incarnation>,
    /// Whether its start order got no answer. Left out of snapshots while it is not set, for earlier
    /// builds.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unanswered: bool,
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Number of the last run, 0 before the first.
    pub last_run: u32,
    /// Runs that ended `failed`.
    pub failures: u32,
    /// The run that may be active.
    pub placed: Option<Placed>,
    /// Whether a run ended `done`.
    pub done: bool,
    /// Last checkpoint; empty if there is none.
    pub saved: Box<str>,
    /// Workers that crashed under a run. Left out of snapshots while it is zero, for earlier builds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub crashes: u32,
    /// Number of the last run in [`Self::crashes`].
    #[serde(default, skip_serializing_if = "is_zero")]
    crashed_run: u32,
}

impl TaskState {
    /// Returns whether one more crash of a worker under the task makes its job fail.
    pub const fn is_suspect(&self) -> bool {
        !self.done && self.crashes + 1 == MAX_CRASHES
    }

    /// Returns whether the task is neither done nor placed.
    pub const fn is_waiting(&self) -> bool {
        !self.done && self.placed.is_none()
    }
}

/// State of a step within one occurrence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// The tasks, by index.
    pub tasks: Vec<TaskState>,
    /// Number of tasks that are done.
    pub done: usize,
    /// Number of tasks with a run that may be active.
    pub placed: usize,
    /// Number of failed runs of the gang.
    pub gang_failures: u32,
    /// Number of the last run in [`Self::gang_failures`]. Several members may report the failure
    /// of one run, which counts once.
    pub gang_failed_run: u32,
    /// Number of tasks in [`Self::placed`] whose start order got no answer. Left out of snapshots
    /// while it is zero, for earlier builds.
    #[serde(default, skip_serializing_if = "is_none")]
    pub unanswered: usize,
}

impl StepState {
    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Returns the number of tasks that are neither done nor placed.
    pub fn waiting(&self) -> usize {
        self.tasks.len().saturating_sub(self.done + self.placed)
    }

    fn clear_placement(&mut self, index: usize) {
        if let Some(placed) = self.tasks[index].placed.take() {
            self.placed -= 1;
            self.unanswered -= usize::from(placed.is_unanswered);
        }
    }

    fn mark_done(&mut self, index: usize) {
        self.clear_placement(index);
        if !self.tasks[index].done {
            self.tasks[index].done = true;
            self.done += 1;
        }
    }

    /// Applies the end of a run. Returns whether the task, or the gang, has exhausted its attempts.
    pub(super) fn end(&mut self, step: &Step, attempts: u32, end: &End) -> bool {
        let Ok(index) = usize::try_from(end.run.task.index) else { return false };
        let Some(task) = self.tasks.get(index) else { return false };
        let is_current = task.placed.as_ref().is_some_and(|p| p.number == end.run.number);
        if !end.saved.is_empty() {
            self.store_checkpoint(step, index, &end.saved);
        }
        if end.outcome == Outcome::Done && !step.lasting {
            if step.gang {
                (0..self.tasks.len()).for_each(|i| self.mark_done(i));
            } else {
                self.mark_done(index);
            }
            return false;
        }
        if is_current {
            self.clear_placement(index);
        }
        if end.outcome != Outcome::Failed || step.lasting {
            return false;
        }
        if step.gang {
            if self.gang_failed_run < end.run.number {
                self.gang_failed_run = end.run.number;
                self.gang_failures += 1;
            }
            return self.gang_failures >= attempts;
        }
        self.tasks[index].failures += 1;
        self.tasks[index].failures >= attempts
    }

    /// Counts the crash of a worker under a run, once for each run. Returns whether the task has
    /// crashed as many workers as it may.
    pub(super) fn crash(&mut self, run: Run) -> bool {
        let Ok(index) = usize::try_from(run.task.index) else { return false };
        let Some(task) = self.tasks.get_mut(index) else { return false };
        if task.done || run.number <= task.crashed_run {
            return false;
        }
        task.crashed_run = run.number;
        task.crashes += 1;
        task.crashes >= MAX_CRASHES
    }

    /// Stores a checkpoint. A checkpoint of one task of a gang applies to the whole gang.
    fn store_checkpoint(&mut self, step: &Step, index: usize, saved: &str) {
        if step.gang {
            self.tasks.iter_mut().for_each(|t| t.saved = saved.into());
        } else {
            self.tasks[index].saved = saved.into();
        }
    }

    pub(super) fn start(&mut self, run: Run, on: &Arc<Incarnation>) {
        let Ok(index) = usize::try_from(run.task.index) else { return };
        let Some(task) = self.tasks.get_mut(index) else { return };
        let placed = Placed { number: run.number, on: Arc::clone(on), is_unanswered: false };
        task.last_run = task.last_run.max(run.number);
        match task.placed.replace(placed) {
            Some(before) => self.unanswered -= usize::from(before.is_unanswered),
            None => self.placed += 1,
        }
    }

    /// Notes that the start order of a run got no answer.
    pub(super) fn doubt(&mut self, run: Run) {
        let Ok(index) = usize::try_from(run.task.index) else { return };
        let placed = self.tasks.get_mut(index).and_then(|t| t.placed.as_mut());
        if let Some(placed) = placed.filter(|p| p.number == run.number && !p.is_unanswered) {
            placed.is_unanswered = true;
            self.unanswered += 1;
        }
    }

    /// Clears the placement of a task if it is still that of `run`.
    pub(super) fn clear_run(&mut self, run: Run) {
        let Ok(index) = usize::try_from(run.task.index) else { return };
        let current = self.tasks.get(index).and_then(|t| t.placed.as_ref());
        if current.is_some_and(|p| p.number == run.number) {
            self.clear_placement(index);
        }
    }
}

/// One execution of the steps of a job. A scheduled job has one for each time at which it is due.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Occurrence {
    /// State of the steps, by index in the job.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    /// Returns an occurrence in which no task has started.
    pub fn new(job: &Job) -> Self {
        let step = |s: &Step| StepState {
            tasks: vec![TaskState::default(); usize::try_from(s.count).unwrap_or_default()],
            ..StepState::default()
        };
        Self { steps: job.steps.iter().map(step).collect() }
    }

    /// Returns whether all steps are done.
    pub fn is_done(&self) -> bool {
        !self.steps.is_empty() && self.steps.iter().all(StepState::is_done)
    }

    /// Returns whether a step is not done itself and every step that it depends on is.
    pub fn is_open(&self, job: &Job, step: usize) -> bool {
        let Some(state) = self.steps.get(step) else { return false };
        let predecessors = job.steps[step].after.iter();
        !state.is_done()
            && predecessors
                .map(|p| usize::from(*p))
                .all(|p| self.steps.get(p).is_some_and(StepState::is_done))
    }
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// The job as submitted.
    pub job: Arc<Job>,
    /// When this process read the submission, on its monotonic clock.
    pub seen: Millis,
    /// Target completion time, counted from `seen`.
    pub objective: Millis,
    /// Estimated duration of the critical path from each step to the end of the job, by step.
    pub chains: Vec<Millis>,
    /// Whether a worker has reported the end of a run.
    pub begun: bool,
    /// Whether it was cancelled before it ended.
    pub cancelled: bool,
    /// Whether a task exhausted its attempts.
    pub failed: bool,
    /// When it ended, on the monotonic clock of this process.
    pub ended: Option<Millis>,
    /// The occurrences that are due, by number.
    #[serde(rename = "passes")]
    pub occurrences: Vec<Occurrence>,
    /// Stage as which the backlog of the queue counts it.
    #[serde(skip)]
    pub(super) counted_as: Stage,
}

impl JobState {
    pub(super) fn new(job: Job, seen: Millis) -> Self {
        let occurrences =
            if job.schedule.is_none() { vec![Occurrence::new(&job)] } else { Vec::new() };
        Self {
            objective: job.objective(),
            chains: job.chains(),
            job: Arc::new(job),
            seen,
            begun: false,
            cancelled: false,
            failed: false,
            ended: None,
            occurrences,
            counted_as: Stage::default(),
        }
    }

    /// Ends the job. Its payload is dropped: no task of it starts any more.
    pub(super) fn end(&mut self, now: Millis) {
        self.ended = Some(now);
        Arc::make_mut(&mut self.job).payload = Box::default();
    }

    /// Returns whether the job has ended, so that none of its tasks may start.
    pub const fn has_ended(&self) -> bool {
        self.ended.is_some()
    }

    /// Returns whether all occurrences are due and done.
    pub fn is_done(&self) -> bool {
        let due = self.job.schedule.map_or(1, |s| usize::try_from(s.count).unwrap_or(usize::MAX));
        self.occurrences.len() >= due && self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Returns the status reported to callers.
    pub fn status(&self) -> Status {
        if self.cancelled {
            Status::Cancelled
        } else if self.failed {
            Status::Failed
        } else if self.ended.is_some() {
            Status::Completed
        } else if self.has_started() {
            Status::Running
        } else {
            Status::Queued
        }
    }

    /// Returns whether a worker has reported the end of a run or a run may be active. A run that was
    /// refused by the worker, or whose start order got no answer, does not count.
    fn has_started(&self) -> bool {
        let mut steps = self.occurrences.iter().flat_map(|p| &p.steps);
        self.begun || steps.any(|s| s.placed > s.unanswered)
    }

    /// Returns whether any run may be active.
    pub(super) fn has_placed(&self) -> bool {
        self.occurrences.iter().flat_map(|p| &p.steps).any(|s| s.placed > 0)
    }

    /// Returns the state of the step that a task belongs to.
    pub fn step(&self, task: &Task) -> Option<&StepState> {
        let occurrence = self.occurrences.get(usize::try_from(task.step_id.occurrence).ok()?)?;
        occurrence.steps.get(usize::from(task.step_id.step))
    }

    /// Returns the state of a task.
    pub fn task(&self, task: &Task) -> Option<&TaskState> {
        self.step(task)?.tasks.get(usize::try_from(task.index).ok()?)
    }

    pub(super) fn step_mut(&mut self, task: &Task) -> Option<&mut StepState> {
        let occurrence =
            self.occurrences.get_mut(usize::try_from(task.step_id.occurrence).ok()?)?;
        occurrence.steps.get_mut(usize::from(task.step_id.step))
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde requires")]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde requires")]
const fn is_none(count: &usize) -> bool {
    *count == 0
}
