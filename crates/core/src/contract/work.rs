//! Jobs of several steps: what a caller hands in on platforms whose queues carry whole workflows.
//!
//! A [`Job`] is a list of [`Step`]s, each of which runs a number of equal tasks once the steps
//! before it are done. The [`Policy`] of the queue is copied into the job when it is accepted, so
//! that a later configuration that drops the queue does not change what was promised.

#[cfg(test)]
pub(crate) mod tests;

use crate::clock::Millis;
use crate::finding::List;
use crate::machine::capacity::Capacity;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Most tasks of one step.
pub const MAX_TASKS: u32 = 10_000;
/// Most steps of one job.
pub const MAX_STEPS: usize = 64;
/// Greatest input of a job, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Identity of a job, chosen by the caller: the same id is the same job.
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

/// One pass through the steps of a job; jobs without a schedule have only pass 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stage {
    /// The job.
    pub job: Id,
    /// Occurrence of a scheduled job, from 0.
    pub occurrence: u32,
    /// Position of the step in the job, from 0.
    pub step: u16,
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identity of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Task {
    /// The step that it belongs to.
    pub stage: Stage,
    /// Position in the step, from 0.
    pub index: u32,
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.stage, self.index)
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
            None => Ok(Self { stage: Stage { job, occurrence, step }, index }),
            Some(_) => Err(wrong()),
        }
    }
}

/// Which workers may run a step is decided by an outside advisor, which takes its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advised {
    /// Time of one answer, in microseconds.
    pub answer_us: u64,
    /// Further time for each worker that is asked about, in microseconds.
    pub worker_us: u64,
    /// How long a ticket is valid.
    pub valid_ms: Millis,
}

/// What a queue promises its jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Policy {
    /// Name of the queue.
    pub queue: Box<str>,
    /// The pool of workers that runs its tasks.
    pub pool: Box<str>,
    /// Rank among the queues; 0 goes first.
    pub priority: u32,
    /// Runs of a task that may fail before the job fails.
    pub attempts: u32,
    /// The objective of a job, as a multiple of its longest chain of work, in thousandths.
    pub stretch_milli: u64,
    /// Time that the objective allows on top.
    pub slack_ms: Millis,
    /// The advisor that must be asked, if there is one.
    pub advised: Option<Advised>,
}

/// Equal tasks of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub count: u32,
    /// What each task needs.
    pub needs: Capacity,
    /// Rough estimate of a task's run time.
    pub estimate_ms: Millis,
    /// Positions of the steps that must be done before.
    pub after: Vec<u16>,
    /// Whether all tasks run together, under one run number, or none does.
    pub gang: bool,
    /// Whether tasks run slower when they are on more than one rack.
    pub one_rack: bool,
    /// A label that the worker must have.
    pub label: Option<Box<str>>,
    /// The rack on which the data lies; tasks run slower elsewhere.
    pub data_rack: Option<Box<str>>,
    /// Most tasks of the step on one worker; 0 means any number.
    pub spread: u32,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether tasks run until the job is cancelled, however they end.
    pub lasting: bool,
    /// Whether tasks save their progress.
    pub saves: bool,
    /// Whether tasks use the processor time that others leave, beyond the capacity.
    pub fills: bool,
    /// What the tasks run; tasks of the same image behave alike.
    pub image: Option<Box<str>>,
    /// Greatest tail of response times of a lasting task; zero when it has none.
    pub target_ms: Millis,
    /// Lasting tasks that may be away at the same time through the scheduler's own doing.
    pub misses: u32,
}

/// When the steps of a job run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences, at least 1.
    pub count: u32,
    /// Due time of the first, since the Unix epoch.
    pub first: Millis,
    /// Time between the due times of two.
    pub interval: Millis,
}

/// A job as a front end decoded it, not checked yet.
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

/// A checked job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Unique id.
    pub id: Id,
    /// What its queue promised when it was accepted.
    pub policy: Policy,
    /// Input, at most [`MAX_PAYLOAD_BYTES`], handed to each task as it is.
    pub payload: Box<str>,
    /// Its steps; each depends on earlier ones only.
    pub steps: Vec<Step>,
    /// When it runs; at once and one time when absent.
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
    /// Returns the estimated time of the longest chain from each step, with the step itself, to the
    /// end of the job.
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

    /// Returns the time from acceptance within which the job should be completed.
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

/// How a run of a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Successfully.
    Done,
    /// Through its own fault or the worker's; counts as an attempt.
    Failed,
    /// By an order.
    Stopped,
    /// The worker's lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// Where a job is in its life, as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}
