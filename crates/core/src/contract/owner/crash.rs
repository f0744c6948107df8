//! Crashes of workers, and the tasks that may have caused them.
//!
//! A worker's crash counts against every task that it was seen to execute. Its cause can't be told
//! from one crash, so a task under which [`MAX_CRASHES`] workers crashed is given up. One crash before
//! that a task is *suspected*, and does not share a worker with suspected tasks of other jobs: a task
//! that crashes its workers then takes no other job with it.
//!
//! A start order that was refused or got no answer is no evidence: it may never have reached its
//! worker, and a job must not fail by crashes that happened without it.
//!
//! [`MAX_CRASHES`]: crate::ledger::shard::state::MAX_CRASHES

use super::place::{Round, WaitingStep};
use super::{BEFORE_FIRST_POLL, Effect, Owner, Phase, Running, step_of};
use crate::clock::Millis;
use crate::contract::work::{Id, StepId, Task};
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::{Entry, Incarnation, Run};

impl Owner {
    /// Records that a worker crashed after it was seen to execute those of `runs` that can have caused
    /// that.
    pub(super) fn record_crash(&mut self, on: &Incarnation, runs: &[Run], replica: &Replica) {
        let may_be_cause = |run: &Run| {
            let Ok(i) = self.run_index(run) else { return false };
            let running = &self.runs[i];
            let is_lasting = step_of(replica, &run.task.step_id).is_some_and(|s| s.lasting);
            !running.is_accounted
                && running.has_begun
                && running.phase != Phase::Ending
                && !(is_lasting && running.has_worked())
        };
        let runs: Vec<Run> = runs.iter().copied().filter(may_be_cause).collect();
        for run in &runs {
            if let Ok(i) = self.run_index(run) {
                self.runs[i].is_accounted = true;
            }
        }
        if !runs.is_empty() {
            self.effects.push(Effect::Record(Entry::Crashed { on: on.clone(), runs }));
        }
    }

    /// Handles that a crash under `runs` is recorded in the log and applied to `replica`: stops the jobs
    /// that it ended, and notes the tasks that it made suspected.
    pub(super) fn crashes_recorded(&mut self, runs: &[Run], replica: &Replica, now: Millis) {
        for run in runs {
            let task = run.task;
            let job = replica.job(task.step_id.job);
            if job.is_none_or(|j| j.has_ended()) {
                self.notice_unstopped_runs(task.step_id.job);
                self.stop_job(task.step_id.job, now);
            }
            let is_suspect = job.and_then(|j| j.task(&task)).is_some_and(|t| t.is_suspect());
            if let (true, Err(at)) = (is_suspect, self.suspects.binary_search(&task)) {
                self.suspects.insert(at, task);
            }
        }
        let is_open = |task: &Task| {
            replica
                .job(task.step_id.job)
                .is_some_and(|j| !j.has_ended() && j.task(task).is_some_and(|t| t.is_suspect()))
        };
        self.suspects.retain(is_open);
    }

    pub(super) fn is_suspect(&self, task: &Task) -> bool {
        self.suspects.binary_search(task).is_ok()
    }

    /// Returns the workers that execute suspected tasks, each with a job of such a task.
    pub(super) fn suspect_hosts(&self) -> Vec<(usize, Id)> {
        let mut hosts = Vec::new();
        for task in &self.suspects {
            let runs = self.runs.of_step(&task.step_id).iter();
            for (_, running) in runs.filter(|(run, _)| run.task == *task) {
                // Nothing is placed on a worker that is not known.
                if let Ok(i) = self.host_index(&running.on.worker) {
                    hosts.push((i, task.step_id.job));
                }
            }
        }
        hosts
    }

    /// Returns whether a step may run on a worker without bringing suspected tasks of different jobs
    /// together there.
    pub(super) fn keeps_suspects_apart(
        &self,
        waiting: &WaitingStep<'_>,
        host: usize,
        round: &Round,
    ) -> bool {
        let is_other = |(i, job): &(usize, Id)| *i == host && *job != waiting.step_id.job;
        !self.has_suspects(&waiting.step_id) || !round.suspects.iter().any(is_other)
    }

    fn has_suspects(&self, step_id: &StepId) -> bool {
        let at = self.suspects.partition_point(|t| t.step_id < *step_id);
        self.suspects.get(at).is_some_and(|t| t.step_id == *step_id)
    }
}

impl Running {
    /// Returns whether its worker has reported progress, or may have reported it to an earlier owner.
    const fn has_worked(&self) -> bool {
        matches!(self.phase, Phase::Working { since: BEFORE_FIRST_POLL }) || self.progress.0 > 0
    }
}

/// Returns the suspected tasks of all jobs, sorted.
pub(super) fn suspects(replica: &Replica) -> Vec<Task> {
    let mut suspects = Vec::new();
    for state in replica.jobs().iter().filter(|j| !j.has_ended()) {
        for (occurrence, steps) in (0..).zip(&state.occurrences) {
            for (step, tasks) in (0..).zip(&steps.steps) {
                let step_id = StepId { job: state.job.id, occurrence, step };
                let tasks = (0..).zip(&tasks.tasks).filter(|(_, t)| t.is_suspect());
                suspects.extend(tasks.map(|(index, _)| Task { step_id, index }));
            }
        }
    }
    suspects
}
