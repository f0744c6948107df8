//! Estimates of the resource usage and run time of tasks, from earlier tasks of the same kind.
//!
//! Declared sizes and run times are inaccurate, but the tasks of one kind and team tend to deviate
//! by the same factor. [`Estimates`] keeps, for each kind and team, the latest ratios of peak usage
//! to declared size. The estimate is the declared size times a high quantile of these ratios, with
//! a safety margin.

use crate::clock::Millis;
use crate::machine::capacity::Capacity;
use crate::name::Name;

/// Number of recent samples kept per quantity.
const WINDOW_SAMPLES: usize = 128;
/// Number of samples required before declared values are corrected.
const MIN_SAMPLES: usize = 8;
/// Quantile of the usage ratios used for size estimates, in percent.
const SIZE_PERCENTILE: usize = 98;
/// Safety margin on top of the size quantile, in percent.
const MARGIN_PERCENT: u64 = 10;
/// Quantile used for run-time estimates, in percent.
const RUN_PERCENTILE: usize = 50;
/// A ratio of 1, in thousandths.
const ONE: u64 = 1000;

/// Sliding window over the samples of one quantity.
#[derive(Clone, Debug, Default)]
struct Window {
    /// Ring buffer in order of arrival; the oldest sample is at `next` once it is full.
    ring: Vec<u64>,
    /// The same samples, sorted.
    sorted: Vec<u64>,
    next: usize,
}

impl Window {
    fn add(&mut self, sample: u64) {
        if self.ring.len() < WINDOW_SAMPLES {
            self.ring.push(sample);
        } else {
            let oldest = std::mem::replace(&mut self.ring[self.next], sample);
            self.next = (self.next + 1) % WINDOW_SAMPLES;
            if let Ok(i) = self.sorted.binary_search(&oldest) {
                self.sorted.remove(i);
            }
        }
        let i = self.sorted.partition_point(|&s| s < sample);
        self.sorted.insert(i, sample);
    }

    /// Returns the given percentile, or `None` with fewer than [`MIN_SAMPLES`] samples.
    fn quantile(&self, percent: usize) -> Option<u64> {
        let last = self.sorted.len().checked_sub(1)?;
        (self.sorted.len() >= MIN_SAMPLES).then(|| self.sorted[(last * percent).div_ceil(100)])
    }
}

/// Samples of one kind of work of one team.
#[derive(Clone, Debug)]
struct Kind {
    name: Name,
    /// Index of the team.
    team: u16,
    /// Ratios of peak to declared processor time, in thousandths.
    cpu: Window,
    /// Ratios of peak to declared memory, in thousandths.
    memory: Window,
    /// Ratios of actual to declared run time, in thousandths.
    run_ratio: Window,
    /// Run times of tasks that declared none, in milliseconds.
    run: Window,
}

/// Declared and measured values of one task.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Declared need.
    pub declared: Capacity,
    /// Peak usage; zero if no usage was reported.
    pub peak: Capacity,
    /// Declared run time; zero if none was declared.
    pub declared_run: Millis,
    /// Actual run time.
    pub ran: Millis,
}

/// Estimates per kind and team.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    /// Sorted by name and team.
    kinds: Vec<Kind>,
}

impl Estimates {
    /// Adds the sample of a task that ran to completion. Ignored if no usage was reported.
    pub fn completed(&mut self, kind: &Name, team: u16, sample: &Sample) {
        if sample.peak == Capacity::ZERO {
            return;
        }
        let kind = self.kind_mut(kind, team);
        kind.add_size(&sample.declared, &sample.peak);
        if sample.declared_run > Millis::ZERO {
            kind.run_ratio.add(sample.ran.get() * ONE / sample.declared_run.get());
        } else {
            kind.run.add(sample.ran.get());
        }
    }

    /// Adds the usage of a task that is still running or didn't complete. Used only if it exceeds
    /// the current estimate, because the task may not have reached its peak.
    pub fn seen(&mut self, kind: &Name, team: u16, declared: &Capacity, usage: &Capacity) {
        if !self.needs(kind.as_str(), team, declared).holds(usage) {
            self.kind_mut(kind, team).add_size(declared, usage);
        }
    }

    /// Returns the estimated size of a task that declares `declared`.
    pub fn needs(&self, kind: &str, team: u16, declared: &Capacity) -> Capacity {
        let Some(kind) = self.kind(kind, team) else {
            return *declared;
        };
        Capacity {
            cpu_milli: scaled(declared.cpu_milli, &kind.cpu),
            memory_mib: scaled(declared.memory_mib, &kind.memory),
            accelerators: declared.accelerators,
        }
    }

    /// Returns the estimated run time of a task that declares `declared` (zero for none), or `None`
    /// with too few samples.
    pub fn run(&self, kind: &str, team: u16, declared: Millis) -> Option<Millis> {
        let kind = self.kind(kind, team)?;
        if declared == Millis::ZERO {
            return kind.run.quantile(RUN_PERCENTILE).map(Millis);
        }
        let ratio = kind.run_ratio.quantile(RUN_PERCENTILE)?;
        Some(Millis(declared.times(ratio).get() / ONE))
    }

    fn position(&self, name: &str, team: u16) -> Result<usize, usize> {
        self.kinds.binary_search_by(|k| (k.name.as_str(), k.team).cmp(&(name, team)))
    }

    fn kind(&self, name: &str, team: u16) -> Option<&Kind> {
        self.position(name, team).ok().map(|i| &self.kinds[i])
    }

    fn kind_mut(&mut self, name: &Name, team: u16) -> &mut Kind {
        let i = self.position(name.as_str(), team).unwrap_or_else(|i| {
            self.kinds.insert(i, Kind::new(name.clone(), team));
            i
        });
        &mut self.kinds[i]
    }
}

impl Kind {
    fn new(name: Name, team: u16) -> Self {
        Self {
            name,
            team,
            cpu: Window::default(),
            memory: Window::default(),
            run_ratio: Window::default(),
            run: Window::default(),
        }
    }

    fn add_size(&mut self, declared: &Capacity, peak: &Capacity) {
        self.cpu.add(peak.cpu_milli * ONE / declared.cpu_milli.max(1));
        self.memory.add(peak.memory_mib * ONE / declared.memory_mib.max(1));
    }
}

/// Returns a declared amount scaled by the size quantile of `ratios` and the safety margin.
fn scaled(declared: u64, ratios: &Window) -> u64 {
    ratios.quantile(SIZE_PERCENTILE).map_or(declared, |ratio| {
        let estimate = declared.saturating_mul(ratio).saturating_mul(100 + MARGIN_PERCENT);
        let estimate = estimate.div_ceil(100 * ONE).max(1);
        // Without usage above the declared size, the margin must not exceed it.
        if ratio <= ONE { estimate.min(declared) } else { estimate }
    })
}

#[cfg(test)]
mod tests;
