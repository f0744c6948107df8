//! Runs of attempts as the time line has them.

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
    /// When it ended at the latest, `None` when nobody said that it did.
    pub(super) end: Option<Millis>,
    /// The event that told its end, or its start when nobody told the end.
    told: &'a Event,
}

impl<'a> Run<'a> {
    const fn key(&self) -> (&'a task::Id, task::Attempt, &'a Name) {
        (self.task, self.attempt, self.worker)
    }

    /// Returns whether the run still went on when another one started. Clocks of two processes
    /// count as equal when they differ by at most `skew`.
    pub(super) fn goes_on_at(&self, other: &Run<'_>, skew: Millis) -> bool {
        let is_one_clock = self.told.process == other.started.process;
        let margin = if is_one_clock { Millis::ZERO } else { skew };
        self.end.is_none_or(|end| end > other.start + margin)
    }
}

/// Collects runs out of the merged time line, sorted by task, attempt and worker. Several reports
/// of one run, by several controllers, count once.
pub(super) fn collect<'a>(lines: &[Line<'a>]) -> Vec<Run<'a>> {
    let mut runs: Vec<Run<'a>> = lines.iter().filter_map(started).collect();
    // A stable sort keeps the first report of a run first.
    runs.sort_by(|a, b| a.key().cmp(&b.key()));
    runs.dedup_by(|later, first| later.key() == first.key());
    for line in lines {
        if let What::AttemptEnded { task, attempt, worker, ran_ms, .. } = &line.event.what
            && let Ok(i) = position(&runs, (task, *attempt, worker))
        {
            // The report may come long after the end, but not before it.
            let end = line.event.at.min(runs[i].start + *ran_ms);
            if runs[i].end.is_none_or(|other| end < other) {
                runs[i].end = Some(end);
                runs[i].told = line.event;
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
        told: line.event,
    })
}

fn position(runs: &[Run<'_>], key: (&task::Id, task::Attempt, &Name)) -> Result<usize, usize> {
    runs.binary_search_by(|run| run.key().cmp(&key))
}
