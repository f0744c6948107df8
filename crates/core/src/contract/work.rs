//! Jobs of several steps, as submitted on platforms whose queues accept whole workflows.
//!
//! A [`Job`] is a list of [`Step`]s. Each step runs a number of identical tasks once the steps that
//! it depends on are done. The [`Policy`] of the queue is copied into the job on acceptance, so
//! that a later configuration that changes or removes the queue does not affect accepted jobs.

mod policy;
#[cfg(test)]
pub(crate) mod tests;

use crate::clock::Millis;
use crate::finding::List;
use crate::machine::capacity::Capacity;
use serde::{Deserialize, Serialize};
use std::fmt;

pub use policy::{AdvisorTiming, Policy};

/// Maximum number of tasks in a step.
pub const MAX_TASKS: u32 = 10_000;
/// Maximum number of steps in a job.
pub const MAX_STEPS: usize = 64;
/// Maximum size of a job's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Id of a job, chosen by the caller. A second submission under the same id is the same job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Id(pub u64);

impl TryFrom<&str> for Id {
    type Error = List;

    fn try_from(text: &str) -> Result<Self, List> {
        let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        match u64::from_str_radix(text, 16) {
            Ok(id) if text.len() == 16 && text.bytes().all(is_hex) => Ok(Self(id)),
            _ => Err(List::one("id", "must be 16 lower-case hexadecimal digits")),
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A step in one occurrence of a job. Jobs without a schedule have only occurrence 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// Id of the job.
    pub job: Id,
    /// Index of the occurrence of a scheduled job, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Id of a task, written as `JOB.OCCURRENCE.STEP.INDEX`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// The step and occurrence that the task belongs to.
    #[serde(rename = "stage")]
    pub step_id: StepId,
    /// Index of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step_id, self.index)
    }
}

impl TryFrom<&str> for Task {
    type Error = List;

    fn try_from(text: &str) -> Result<Self, List> {
        let wrong = || List::one("task", format!("\"{text}\" is not JOB.OCCURRENCE.STEP.INDEX"));
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(wrong);
        let job = Id::try_from(next()?)?;
        let occurrence = next()?.parse().map_err(|_| wrong())?;
        let step = next()?.parse().map_err(|_| wrong())?;
        let index = next()?.parse().map_err(|_| wrong())?;
        match parts.next() {
            None => Ok(Self { step_id: StepId { job, occurrence, step }, index }),
            Some(_) => Err(wrong()),
        }
    }
}

/// A group of identical tasks of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub count: u32,
    /// Capacity that each task requires.
    pub needs: Capacity,
    /// Rough estimate of a task's run time.
    pub estimate_ms: Millis,
    /// Indices of the steps that must be done before this one starts.
    pub after: Vec<u16>,
    /// Whether the tasks are gang-scheduled: all run together under one run number, or none runs.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over more than one rack.
    pub one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Box<str>>,
    /// Label of the rack that holds the input data; tasks run slower on other racks.
    pub data_rack: Option<Box<str>>,
    /// Maximum number of the step's tasks on one worker; 0 means no limit.
    pub spread: u32,
    /// Whether several runs of a task may execute at the same time.
    pub speculative: bool,
    /// Whether the tasks are long-running services: they run until the job is cancelled and are
    /// restarted however they end.
    pub lasting: bool,
    /// Whether the tasks write checkpoints.
    pub saves: bool,
    /// Whether the tasks use processor time that other tasks leave idle. Their processor needs do
    /// not count against the worker's capacity.
    pub fills: bool,
    /// Name of the program that the tasks run; tasks of the same image behave alike.
    pub image: Option<Box<str>>,
    /// Limit of the tail response time of a lasting task; zero if it has none.
    pub target_ms: Millis,
    /// Maximum number of lasting tasks that the scheduler itself may keep stopped at the same time.
    pub misses: u32,
}

impl Step {
    /// Returns the estimated processor time of all tasks, in thousandths of a core times milliseconds.
    pub const fn effort(&self) -> u64 {
        let each = self.needs.cpu_milli.saturating_mul(self.estimate_ms.get());
        each.saturating_mul(self.count as u64)
    }

    /// Returns the part of a task's needs that counts against its worker and its team.
    pub const fn counted_needs(&self) -> Capacity {
        if self.fills { Capacity { cpu_milli: 0, ..self.needs } } else { self.needs }
    }
}

/// Repetition of a job's steps at fixed times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences, at least 1.
    pub count: u32,
    /// Due time of the first occurrence, since the Unix epoch.
    pub first: Millis,
    /// Time between the due times of consecutive occurrences.
    pub interval: Millis,
}

/// A job as decoded by a front end, before validation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Raw {
    /// See [`Job::id`].
    pub id: Id,
    /// See [`Job::policy`].
    pub policy: Policy,
    /// See [`Job::payload`].
    pub payload: String,
    /// See [`Job::steps`].
    pub steps: Vec<Step>,
    /// See [`Job::schedule`].
    pub schedule: Option<Schedule>,
}

/// A validated job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: Id,
    /// Policy of its queue at the time of acceptance.
    pub policy: Policy,
    /// Input, at most [`MAX_PAYLOAD_BYTES`], passed unchanged to each task.
    pub payload: Box<str>,
    /// The steps in topological order: each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// When the job runs; without a schedule it runs once, immediately.
    pub schedule: Option<Schedule>,
}

impl TryFrom<Raw> for Job {
    type Error = List;

    fn try_from(raw: Raw) -> Result<Self, List> {
        let mut findings = List::new();
        if raw.payload.len() > MAX_PAYLOAD_BYTES {
            findings.note("payload", format!("must be at most {MAX_PAYLOAD_BYTES} bytes"));
        }
        if raw.steps.is_empty() || raw.steps.len() > MAX_STEPS {
            findings.note("steps", format!("must be 1 to {MAX_STEPS}, not {}", raw.steps.len()));
        }
        for (i, step) in raw.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_TASKS {
                let message = format!("must be 1 to {MAX_TASKS}, not {}", step.count);
                findings.note(format!("steps[{i}].count"), message);
            }
            for before in step.after.iter().filter(|b| usize::from(**b) >= i) {
                let message = format!("step {before} is not an earlier one");
                findings.note(format!("steps[{i}].after"), message);
            }
        }
        findings.into_result()?;
        let Raw { id, policy, payload, steps, schedule } = raw;
        Ok(Self { id, policy, payload: payload.into(), steps, schedule })
    }
}

impl Job {
    /// Returns for each step the estimated length of the critical path from the start of the step
    /// to the end of the job.
    pub fn chains(&self) -> Vec<Millis> {
        let mut longest = vec![Millis::ZERO; self.steps.len()];
        for (i, current) in self.steps.iter().enumerate().rev() {
            let after = self.steps.iter().enumerate().skip(i + 1);
            let next = after
                .filter(|(_, s)| s.after.iter().any(|b| usize::from(*b) == i))
                .map(|(j, _)| longest[j])
                .max();
            longest[i] = current.estimate_ms + next.unwrap_or_default();
        }
        longest
    }

    /// Returns the number of steps that follow each other from a step to the end of the job, this one
    /// included: zero if there is no such step.
    pub fn depth(&self, step: usize) -> u64 {
        let mut depths = vec![0; self.steps.len()];
        for i in (step..self.steps.len()).rev() {
            let follows = |j: &usize| self.steps[*j].after.iter().any(|b| usize::from(*b) == i);
            let next = (i + 1..self.steps.len()).filter(follows).map(|j| depths[j]).max();
            depths[i] = 1 + next.unwrap_or(0);
        }
        depths.get(step).copied().unwrap_or_default()
    }

    /// Returns the number of tasks of all steps.
    pub fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }

    /// Returns the estimated processor time of all tasks, in thousandths of a core times
    /// milliseconds.
    pub fn effort(&self) -> u64 {
        self.steps.iter().map(Step::effort).fold(0, u64::saturating_add)
    }

    /// Returns the completion objective of the job, as a duration from its acceptance.
    pub fn objective(&self) -> Millis {
        Millis(
            self.chains()
                .into_iter()
                .max()
                .unwrap_or_default()
                .get()
                .saturating_mul(self.policy.stretch_milli)
                / 1000,
        ) + self.policy.slack_ms
    }
}

/// How a run of a task ended, as reported by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The run succeeded.
    Done,
    /// The run failed, through its own fault or the worker's. Counts as an attempt.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// The run ended because another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// State of a job, as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has used up the attempts of its policy.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl Status {
    /// Returns whether the job has ended. Its status does not change any more.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}
