//! Number of waiting jobs of each queue, kept up to date as jobs change.

#[cfg(test)]
mod tests;

use crate::contract::work::Status;
use crate::ledger::shard::state::JobState;
use serde::{Deserialize, Serialize};

/// Jobs of a queue that have not ended and of which no run has ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backlog {
    /// Jobs without a run that may be active, other than runs whose start order got no answer.
    pub queued: usize,
    /// Jobs with a recorded start. Their workers may not have answered the order yet.
    pub starting: usize,
}

/// Whether a job is part of the backlog of its queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// It is not: it has ended, or a run has ended.
    #[default]
    Past,
    /// It has no run that is thought to be active.
    Queued,
    /// It has a recorded start.
    Starting,
}

impl From<&JobState> for Stage {
    fn from(job: &JobState) -> Self {
        match job.status() {
            Status::Queued => Self::Queued,
            Status::Running if !job.begun => Self::Starting,
            _ => Self::Past,
        }
    }
}

impl Backlog {
    /// Returns the counter of a stage, `None` for a stage that is not counted.
    const fn counter(&mut self, stage: Stage) -> Option<&mut usize> {
        match stage {
            Stage::Past => None,
            Stage::Queued => Some(&mut self.queued),
            Stage::Starting => Some(&mut self.starting),
        }
    }
}

/// The backlogs that are not empty, sorted by queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlogs(Vec<(Box<str>, Backlog)>);

impl Backlogs {
    /// Counts all jobs anew.
    pub(super) fn count(jobs: &mut [JobState]) -> Self {
        let mut backlogs = Self::default();
        for job in jobs {
            job.counted_as = Stage::Past;
            backlogs.update(job);
        }
        backlogs
    }

    /// Returns the backlog of a queue.
    pub(super) fn of(&self, queue: &str) -> Backlog {
        self.find(queue).map_or_else(|_| Backlog::default(), |i| self.0[i].1)
    }

    /// Counts a job at its present stage, and no longer at the one before.
    pub(super) fn update(&mut self, job: &mut JobState) {
        let stage = Stage::from(&*job);
        let before = std::mem::replace(&mut job.counted_as, stage);
        if before == stage {
            return;
        }
        let queue = &job.job.policy.queue;
        let i = self.find(queue).unwrap_or_else(|i| {
            self.0.insert(i, (queue.clone(), Backlog::default()));
            i
        });
        let backlog = &mut self.0[i].1;
        if let Some(count) = backlog.counter(before) {
            *count -= 1;
        }
        if let Some(count) = backlog.counter(stage) {
            *count += 1;
        }
        if *backlog == Backlog::default() {
            self.0.remove(i);
        }
    }

    fn find(&self, queue: &str) -> Result<usize, usize> {
        self.0.binary_search_by(|(of, _)| (**of).cmp(queue))
    }
}
