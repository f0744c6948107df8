//! How long the stages between a job's acceptance and the start of its first task take on the owner.
//!
//! Each stage is measured once for a job, from the end of the one before. Jobs that were accepted under
//! an earlier owner are not measured: part of their time passed elsewhere.

use crate::shard::metrics::Metrics;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::work::Id;

#[cfg(test)]
mod tests;

/// Maximum number of jobs that are measured at a time.
const MAX_JOBS: usize = 4096;
/// Number of stages.
const STAGES: usize = 4;

/// A stage of a job on the owner, named after the event that ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Stage {
    /// The advisor has answered for the first time, if it was asked.
    Advised,
    /// The owner has chosen workers for the first tasks.
    Decided,
    /// The store has the record of the first start.
    Recorded,
    /// A worker has taken the first start.
    Begun,
}

impl Stage {
    /// Returns the metric label.
    const fn label(self) -> &'static str {
        match self {
            Self::Advised => "advised",
            Self::Decided => "decided",
            Self::Recorded => "recorded",
            Self::Begun => "begun",
        }
    }
}

/// A job whose first task has not begun.
#[derive(Clone, Copy, Debug)]
struct Open {
    id: Id,
    /// Last stage that has ended, `None` after the acceptance.
    stage: Option<Stage>,
    /// When it ended.
    since: Millis,
}

/// Stages of the jobs that have not begun, and the durations since the last log line.
#[derive(Debug, Default)]
pub(super) struct Stages {
    /// Sorted by id.
    open: Vec<Open>,
    durations: [Vec<Millis>; STAGES],
}

impl Stages {
    /// Begins to measure a job.
    pub(super) fn accepted(&mut self, id: Id, now: Millis) {
        if let Err(i) = self.open.binary_search_by_key(&id, |o| o.id)
            && self.open.len() < MAX_JOBS
        {
            self.open.insert(i, Open { id, stage: None, since: now });
        }
    }

    /// Notes that a stage of a job has ended, unless it or a later one had before.
    pub(super) fn reached(&mut self, id: Id, stage: Stage, now: Millis, metrics: &Metrics) {
        if let Some(took) = self.advance(id, stage, now) {
            metrics.stage(stage.label(), took);
        }
    }

    fn advance(&mut self, id: Id, stage: Stage, now: Millis) -> Option<Millis> {
        let i = self.open.binary_search_by_key(&id, |o| o.id).ok()?;
        let open = &mut self.open[i];
        if open.stage >= Some(stage) {
            return None;
        }
        let took = now.since(open.since);
        (open.stage, open.since) = (Some(stage), now);
        if stage == Stage::Begun {
            self.open.remove(i);
        }
        self.durations[stage as usize].push(took);
        Some(took)
    }

    /// Ends the measurement of a job that won't begin.
    pub(super) fn ended(&mut self, id: Id) {
        if let Ok(i) = self.open.binary_search_by_key(&id, |o| o.id) {
            self.open.remove(i);
        }
    }

    /// Returns the number of jobs that have not begun, and for each stage the median duration in
    /// milliseconds since the last call, zero without one.
    pub(super) fn take_medians(&mut self) -> (usize, [u64; STAGES]) {
        let medians = self.durations.each_mut().map(|durations| {
            durations.sort_unstable();
            let median = durations.get(durations.len() / 2).copied().unwrap_or_default();
            durations.clear();
            median.get()
        });
        (self.open.len(), medians)
    }

    /// Forgets all jobs: the tenure has ended.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}
