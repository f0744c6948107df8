//! What an owner tells its caller for the log: the ends of jobs with the runs that are open then, and
//! runs that workers list although they should not.

use super::{Effect, Owner, Phase, Running};
use crate::clock::Millis;
use crate::contract::work::Id;
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::{Incarnation, Run};
use std::sync::Arc;

/// Open runs of a job, by phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// The append of their starts is in flight.
    pub recording: usize,
    /// Their start orders are in flight.
    pub ordered: usize,
    /// They execute, as far as the owner knows.
    pub working: usize,
    /// Their stops are not acknowledged.
    pub stopping: usize,
    /// Their stops are acknowledged.
    pub stopped: usize,
    /// The append of their ends or losses is in flight.
    pub ending: usize,
    /// Those of all phases whose stop was neither ordered nor requested before.
    pub unstopped: usize,
}

/// Runs of ended jobs that may still execute.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Leftover {
    /// Number of runs.
    pub runs: usize,
    /// Longest time since the end of such a run's job.
    pub oldest: Millis,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A job has ended.
    Over {
        /// The job.
        job: Id,
        /// Its open runs, before they are stopped.
        open: Tally,
        /// Whether it had ended before this daemon owned the shard.
        is_recovered: bool,
    },
    /// A worker lists a run whose stop it acknowledged this long before.
    Unstopped(Run, Arc<Incarnation>, Millis),
    /// A worker lists a run that the owner doesn't know.
    Unknown(Run, Arc<Incarnation>),
    /// A worker that accepted a run lists neither it nor its end. The run counts as lost.
    Missing {
        /// The run.
        run: Run,
        /// The worker.
        on: Arc<Incarnation>,
        /// Whether this incarnation has certainly begun the run, so that it must have had an end.
        has_begun: bool,
        /// Number of ends that the worker lists.
        ends: usize,
        /// Number of the last end that this owner has seen.
        last_end: u64,
    },
}

impl Tally {
    /// Returns the number of open runs.
    pub const fn total(&self) -> usize {
        self.recording + self.ordered + self.working + self.stopping + self.stopped + self.ending
    }

    fn of(runs: &[(Run, Box<Running>)]) -> Self {
        let mut tally = Self::default();
        for (_, running) in runs {
            let (count, can_be_stopped) = match running.phase {
                Phase::Recording => (&mut tally.recording, true),
                Phase::Ordered => (&mut tally.ordered, true),
                Phase::Working { .. } => (&mut tally.working, true),
                Phase::Stopping { .. } => (&mut tally.stopping, false),
                Phase::Stopped { .. } => (&mut tally.stopped, false),
                Phase::Ending => (&mut tally.ending, false),
            };
            *count += 1;
            tally.unstopped += usize::from(can_be_stopped && !running.stop_requested);
        }
        tally
    }
}

impl Owner {
    /// Returns the runs of ended jobs that may still execute.
    pub fn leftover(&self, replica: &Replica, now: Millis) -> Leftover {
        let mut leftover = Leftover::default();
        for runs in self.runs.by_job() {
            let id = runs[0].0.task.step_id.job;
            if !replica.has_ended(id) {
                continue;
            }
            let job = replica.job(id);
            let count = runs.iter().filter(|(_, r)| r.phase != Phase::Ending).count();
            if count > 0 {
                let age = job.and_then(|j| j.ended).map_or(Millis::ZERO, |at| now.since(at));
                leftover.runs += count;
                leftover.oldest = leftover.oldest.max(age);
            }
        }
        leftover
    }

    /// Notes that an entry has ended a job.
    pub(super) fn notice_over(&mut self, job: Id) {
        let open = Tally::of(self.runs.of_job(job));
        self.notice(Notice::Over { job, open, is_recovered: false });
    }

    /// Notes that a job has ended while runs of it are not being stopped. A later end of one of its runs
    /// finds them all being stopped.
    pub(super) fn notice_unstopped_runs(&mut self, job: Id) {
        if Tally::of(self.runs.of_job(job)).unstopped > 0 {
            self.notice_over(job);
        }
    }

    /// Notes the ended jobs whose runs this owner has recovered.
    pub(super) fn notice_recovered_runs(&mut self, replica: &Replica) {
        for runs in self.runs.by_job() {
            let job = runs[0].0.task.step_id.job;
            if replica.has_ended(job) {
                let notice = Notice::Over { job, open: Tally::of(runs), is_recovered: true };
                self.effects.push(Effect::Notice(notice));
            }
        }
    }

    pub(super) fn notice(&mut self, notice: Notice) {
        self.effects.push(Effect::Notice(notice));
    }
}
