//! Runs of attempts, as reported in the time line.

use crate::clock::Millis;
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::name::Name;
use crate::timeline::{Event, Line, What};

/// One run of an attempt on a worker.
#[derive(Debug)]
pub(super) struct Run<'a> {
    pub(super) task: &'a task::Id,
    pub(super) attempt: task::Attempt,
    pub(super) worker: &'a Name,
    pub(super) needs: Capacity,
    pub(super) start: Millis,
    pub(super) started: &'a Event,
    /// Upper bound of its end; `None` if no end was reported.
    pub(super) end: Option<Millis>,
    /// The event that gave the end, or the start if no end was reported.
    reported_by: &'a Event,
}

impl<'a> Run<'a> {
    const fn key(&self) -> (&'a task::Id, task::Attempt, &'a Name) {
        (self.task, self.attempt, self.worker)
    }

    /// Returns whether the run was still active when another one started. Times of two processes
    /// that differ by at most `skew` count as equal.
    pub(super) fn overlaps_start_of(&self, other: &Run<'_>, skew: Millis) -> bool {
        let is_one_clock = self.reported_by.process == other.started.process;
        let margin = if is_one_clock { Millis::ZERO } else { skew };
        self.end.is_none_or(|end| end > other.start + margin)
    }
}

/// Collects the runs in the merged time line, sorted by task, attempt and worker. Reports of one run
/// by several controllers are merged.
pub(super) fn collect<'a>(lines: &[Line<'a>]) -> Vec<Run<'a>> {
    let mut runs: Vec<Run<'a>> = lines.iter().filter_map(started).collect();
    // A stable sort keeps the first report of a run first.
    runs.sort_by(|a, b| a.key().cmp(&b.key()));
    runs.dedup_by(|later, first| later.key() == first.key());
    for line in lines {
        if let What::AttemptEnded { task, attempt, worker, ran_ms, .. } = &line.event.what
            && let Ok(i) = position(&runs, (task, *attempt, worker))
        {
            // Both are upper bounds: the end is reported after it happened, and the run had started
            // before its start was reported.
            let end = line.event.at.min(runs[i].start + *ran_ms);
            if runs[i].end.is_none_or(|other| end < other) {
                runs[i].end = Some(end);
                runs[i].reported_by = line.event;
            }
        }
    }
    runs
}

fn started<'a>(line: &Line<'a>) -> Option<Run<'a>> {
    let What::AttemptStarted { task, attempt, worker, needs } = &line.event.what else {
        return None;
    };
    Some(Run {
        task,
        attempt: *attempt,
        worker,
        needs: *needs,
        start: line.event.at,
        started: line.event,
        end: None,
        reported_by: line.event,
    })
}

fn position(runs: &[Run<'_>], key: (&task::Id, task::Attempt, &Name)) -> Result<usize, usize> {
    runs.binary_search_by(|run| run.key().cmp(&key))
}
