//! What the log says of one job: its passes, steps and tasks.

use super::{End, Life, Run};
use crate::clock::Millis;
use crate::contract::work::{Job, Outcome, Status, Step, Task};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A run that may be at work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// Number of the run.
    pub number: u32,
    /// Where it was started.
    pub on: Arc<Life>,
}

/// A task as the log has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Number of the last run, 0 before the first.
    pub last_run: u32,
    /// Runs that ended `failed`.
    pub failures: u32,
    /// The run that may be at work.
    pub placed: Option<Placed>,
    /// Whether a run ended `done`.
    pub done: bool,
    /// The progress that was saved last, empty when there is none.
    pub saved: Box<str>,
}

impl TaskState {
    /// Returns whether the task could be started.
    pub const fn is_waiting(&self) -> bool {
        !self.done && self.placed.is_none()
    }
}

/// A step of one pass as the log has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// The tasks, by index.
    pub tasks: Vec<TaskState>,
    /// Tasks that are done.
    pub done: usize,
    /// Tasks whose run may be at work.
    pub placed: usize,
    /// Runs of the gang that failed.
    pub gang_failures: u32,
    /// The last run of the gang that was counted as failed.
    pub gang_failed_run: u32,
}

impl StepState {
    /// Returns whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.done == self.tasks.len()
    }

    /// Returns the number of tasks that could be started.
    pub fn waiting(&self) -> usize {
        self.tasks.len().saturating_sub(self.done + self.placed)
    }

    fn clear(&mut self, index: usize) {
        if self.tasks[index].placed.take().is_some() {
            self.placed -= 1;
        }
    }

    fn finish(&mut self, index: usize) {
        self.clear(index);
        if !self.tasks[index].done {
            self.tasks[index].done = true;
            self.done += 1;
        }
    }

    /// Takes the end of a run in; returns whether the step used up its attempts.
    pub(super) fn end(&mut self, step: &Step, attempts: u32, end: &End) -> bool {
        let Ok(index) = usize::try_from(end.run.task.index) else { return false };
        let Some(task) = self.tasks.get(index) else { return false };
        let is_current = task.placed.as_ref().is_some_and(|p| p.number == end.run.number);
        if !end.saved.is_empty() {
            self.save(step, index, &end.saved);
        }
        if end.outcome == Outcome::Done && !step.lasting {
            if step.gang {
                (0..self.tasks.len()).for_each(|i| self.finish(i));
            } else {
                self.finish(index);
            }
            return false;
        }
        if is_current {
            self.clear(index);
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

    /// Keeps saved progress; that of one member of a gang is valid for all.
    fn save(&mut self, step: &Step, index: usize, saved: &str) {
        if step.gang {
            self.tasks.iter_mut().for_each(|t| t.saved = saved.into());
        } else {
            self.tasks[index].saved = saved.into();
        }
    }

    pub(super) fn start(&mut self, run: Run, on: &Arc<Life>) {
        let Ok(index) = usize::try_from(run.task.index) else { return };
        let Some(task) = self.tasks.get_mut(index) else { return };
        if task.placed.is_none() {
            self.placed += 1;
        }
        task.last_run = task.last_run.max(run.number);
        task.placed = Some(Placed { number: run.number, on: Arc::clone(on) });
    }

    pub(super) fn lose(&mut self, run: Run) {
        let Ok(index) = usize::try_from(run.task.index) else { return };
        let current = self.tasks.get(index).and_then(|t| t.placed.as_ref());
        if current.is_some_and(|p| p.number == run.number) {
            self.clear(index);
        }
    }
}

/// One pass through the steps of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pass {
    /// The steps; empty until the pass is due.
    pub steps: Vec<StepState>,
}

impl Pass {
    /// Returns a pass that is due.
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

    /// Returns whether the tasks of a step may start: every step before it is done.
    pub fn is_open(&self, job: &Job, step: usize) -> bool {
        let Some(state) = self.steps.get(step) else { return false };
        let before = job.steps[step].after.iter();
        !state.is_done()
            && before
                .map(|b| usize::from(*b))
                .all(|b| self.steps.get(b).is_some_and(StepState::is_done))
    }
}

/// A job as the log has it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// What was handed in.
    pub job: Arc<Job>,
    /// When this process read of it, on its steady clock.
    pub seen: Millis,
    /// Time from `seen` within which it should be completed.
    pub objective: Millis,
    /// Estimated time of the longest chain from each step to the end, by step.
    pub chains: Vec<Millis>,
    /// Whether a run has ended that its worker had begun.
    pub begun: bool,
    /// Whether the caller cancelled it before it ended.
    pub cancelled: bool,
    /// Whether a task used up its attempts.
    pub failed: bool,
    /// When it ended, on the steady clock of this process.
    pub ended: Option<Millis>,
    /// The passes, by occurrence; those that are not due yet are missing.
    pub passes: Vec<Pass>,
}

impl JobState {
    pub(super) fn new(job: Job, seen: Millis) -> Self {
        let passes = if job.schedule.is_none() { vec![Pass::new(&job)] } else { Vec::new() };
        Self {
            objective: job.objective(),
            chains: job.chains(),
            job: Arc::new(job),
            seen,
            begun: false,
            cancelled: false,
            failed: false,
            ended: None,
            passes,
        }
    }

    /// Returns whether nothing of it may start any more.
    pub const fn is_over(&self) -> bool {
        self.ended.is_some()
    }

    /// Returns whether every occurrence is done.
    pub fn is_done(&self) -> bool {
        let due = self.job.schedule.map_or(1, |s| usize::try_from(s.count).unwrap_or(usize::MAX));
        self.passes.len() >= due && self.passes.iter().all(Pass::is_done)
    }

    /// Returns the state that callers are shown.
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

    /// Returns whether a task has started: a run ended, or may be at work. One that was recorded
    /// and then refused does not count.
    fn has_started(&self) -> bool {
        self.begun || self.has_placed()
    }

    /// Returns whether a run may be at work.
    pub(super) fn has_placed(&self) -> bool {
        self.passes.iter().flat_map(|p| &p.steps).any(|s| s.placed > 0)
    }

    /// Returns the state of the step of a task.
    pub fn step(&self, task: &Task) -> Option<&StepState> {
        let pass = self.passes.get(usize::try_from(task.stage.occurrence).ok()?)?;
        pass.steps.get(usize::from(task.stage.step))
    }

    /// Returns the state of a task.
    pub fn task(&self, task: &Task) -> Option<&TaskState> {
        self.step(task)?.tasks.get(usize::try_from(task.index).ok()?)
    }

    pub(super) fn step_mut(&mut self, task: &Task) -> Option<&mut StepState> {
        let pass = self.passes.get_mut(usize::try_from(task.stage.occurrence).ok()?)?;
        pass.steps.get_mut(usize::from(task.stage.step))
    }
}
