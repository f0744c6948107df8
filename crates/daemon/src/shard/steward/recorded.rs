//! Log lines and counters of recorded runs. Runs whose entries are applied together share a line,
//! since the owner records thousands of them a second.

use crate::shard::metrics::Metrics;
use pimentovalve_core::ledger::shard::{Entry, Run};
use std::fmt::{Arguments, Write};

/// Maximum number of runs in a line. Writes to a pipe are atomic up to 4 KiB.
const MAX_RUNS: usize = 48;

/// Recorded runs that are not logged yet.
#[derive(Debug, Default)]
pub(super) struct Runs {
    epoch: u64,
    starts: List,
    ends: List,
    losses: List,
    crashes: List,
}

/// Runs as text, separated by spaces: `TASK#NUMBER`, then `@WORKER` and `=OUTCOME` where they apply.
#[derive(Debug, Default)]
struct List {
    text: String,
    count: usize,
}

impl List {
    fn push(&mut self, run: &Run, details: Arguments<'_>) {
        let separator = if self.text.is_empty() { "" } else { " " };
        // Writing to a string can't fail.
        let _ = write!(self.text, "{separator}{}#{}{details}", run.task, run.number);
        self.count += 1;
    }

    fn take(&mut self) -> Option<String> {
        Some(std::mem::take(self).text).filter(|text| !text.is_empty())
    }
}

impl Runs {
    /// Adds the runs of an entry that is in the log, and counts them.
    pub(super) fn add(&mut self, entry: &Entry, epoch: u64, metrics: &Metrics) {
        if epoch != self.epoch {
            self.log();
            self.epoch = epoch;
        }
        match entry {
            Entry::Started { on, runs } => {
                metrics.recorded("start", runs.len());
                for run in runs {
                    self.starts.push(run, format_args!("@{}", on.worker));
                    self.log_if_full();
                }
            }
            Entry::Ended { on, ends } => {
                metrics.recorded("end", ends.len());
                for end in ends {
                    self.ends.push(&end.run, format_args!("@{}={:?}", on.worker, end.outcome));
                    self.log_if_full();
                }
            }
            Entry::Lost(runs) => {
                metrics.recorded("loss", runs.len());
                for run in runs {
                    self.losses.push(run, format_args!(""));
                    self.log_if_full();
                }
            }
            Entry::Crashed { on, runs } => {
                metrics.recorded("crash", runs.len());
                for run in runs {
                    self.crashes.push(run, format_args!("@{}", on.worker));
                    self.log_if_full();
                }
            }
            _ => {}
        }
    }

    /// Logs the runs added since the last call.
    pub(super) fn log(&mut self) {
        let epoch = self.epoch;
        if let Some(runs) = self.starts.take() {
            tracing::info!(epoch, runs, "starts recorded");
        }
        if let Some(runs) = self.ends.take() {
            tracing::info!(epoch, runs, "ends recorded");
        }
        if let Some(runs) = self.losses.take() {
            tracing::info!(epoch, runs, "losses recorded");
        }
        if let Some(runs) = self.crashes.take() {
            tracing::warn!(epoch, runs, "workers crashed under runs");
        }
    }

    fn log_if_full(&mut self) {
        if [&self.starts, &self.ends, &self.losses, &self.crashes]
            .iter()
            .any(|l| l.count == MAX_RUNS)
        {
            self.log();
        }
    }
}
