//! The runs of an owner whose end or loss is not recorded yet, with an index by the time of the
//! next stop order. The runs of one worker are listed in its [`Host`](crate::machine::host::Host).

use super::Running;
use crate::clock::Millis;
use crate::contract::work::{Id, StepId, Task};
use crate::ledger::shard::Run;
use std::ops::{Index, IndexMut, Range};

/// Open runs, addressed by their position in the order of [`Run`].
#[derive(Clone, Debug, Default)]
pub(super) struct Runs {
    /// Sorted by run. The state of a run is boxed, so that an insertion moves little memory.
    list: Vec<(Run, Box<Running>)>,
    /// Runs to which a stop order is due, with its time; sorted. A run whose stop order has another
    /// time by now is skipped.
    stops: Vec<(Millis, Run)>,
}

impl Runs {
    pub(super) const fn len(&self) -> usize {
        self.list.len()
    }

    pub(super) fn position(&self, run: &Run) -> Result<usize, usize> {
        self.list.binary_search_by(|(r, _)| r.cmp(run))
    }

    pub(super) fn insert(&mut self, at: usize, running: Running) {
        self.list.insert(at, (running.run, Box::new(running)));
    }

    pub(super) fn remove(&mut self, at: usize) -> Running {
        *self.list.remove(at).1
    }

    pub(super) fn of_job(&self, id: Id) -> &[(Run, Box<Running>)] {
        let from = self.list.partition_point(|(r, _)| r.task.step_id.job < id);
        let count = self.list[from..].partition_point(|(r, _)| r.task.step_id.job == id);
        &self.list[from..from + count]
    }

    /// Returns the runs of each job that has any.
    pub(super) fn by_job(&self) -> impl Iterator<Item = &[(Run, Box<Running>)]> {
        self.list.chunk_by(|(a, _), (b, _)| a.task.step_id.job == b.task.step_id.job)
    }

    pub(super) fn of_step(&self, step_id: &StepId) -> &[(Run, Box<Running>)] {
        &self.list[self.range(step_id)]
    }

    fn range(&self, step_id: &StepId) -> Range<usize> {
        let from = self.list.partition_point(|(r, _)| r.task.step_id < *step_id);
        let count = self.list[from..].partition_point(|(r, _)| r.task.step_id == *step_id);
        from..from + count
    }

    pub(super) fn has(&self, task: &Task) -> bool {
        let i = self.list.partition_point(|(r, _)| r.task < *task);
        self.list.get(i).is_some_and(|(r, _)| r.task == *task)
    }

    /// Notes that a stop order to a run is due at `at`.
    pub(super) fn add_stop(&mut self, at: Millis, run: Run) {
        let i = self.stops.partition_point(|due| *due <= (at, run));
        self.stops.insert(i, (at, run));
    }

    /// Removes and returns the runs to which a stop order may be due.
    pub(super) fn due_stops(&mut self, now: Millis) -> Vec<Run> {
        let count = self.stops.partition_point(|(at, _)| *at <= now);
        self.stops.drain(..count).map(|(_, run)| run).collect()
    }
}

impl Index<usize> for Runs {
    type Output = Running;

    fn index(&self, i: usize) -> &Running {
        &self.list[i].1
    }
}

impl IndexMut<usize> for Runs {
    fn index_mut(&mut self, i: usize) -> &mut Running {
        &mut self.list[i].1
    }
}
