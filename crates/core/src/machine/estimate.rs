//! Estimates of what a task really takes, from what earlier tasks of its kind took.
//!
//! Declared sizes and run times are far off, but the tasks of one kind and team tend to be off by
//! the same factor. [`Estimates`] keeps, for each kind and team, the latest ratios of peak usage to declared size,
//! and reserves the declared size times a high quantile of them, with a safety margin.

use crate::clock::Millis;
use crate::machine::capacity::Capacity;
use crate::name::Name;

/// Latest tasks of a kind that are taken into account.
const SAMPLES: usize = 128;
/// Tasks of a kind that must have been seen before its declared sizes are corrected.
const ENOUGH: usize = 8;
/// Quantile of the ratios that is reserved, in percent.
const SIZE_QUANTILE: usize = 98;
/// Added to the quantile for safety, in percent.
const MARGIN_PERCENT: u64 = 10;
/// Quantile of the run times that is expected, in percent.
const RUN_QUANTILE: usize = 50;
/// A ratio of one, in thousandths.
const ONE: u64 = 1000;

/// The latest samples of one quantity.
#[derive(Clone, Debug, Default)]
struct Window {
    /// In the order of arrival, the oldest at `next` once the window is full.
    ring: Vec<u64>,
    sorted: Vec<u64>,
    next: usize,
}

impl Window {
    fn add(&mut self, sample: u64) {
        if self.ring.len() < SAMPLES {
            self.ring.push(sample);
        } else {
            let oldest = std::mem::replace(&mut self.ring[self.next], sample);
            self.next = (self.next + 1) % SAMPLES;
            if let Ok(i) = self.sorted.binary_search(&oldest) {
                self.sorted.remove(i);
            }
        }
        let i = self.sorted.partition_point(|&s| s < sample);
        self.sorted.insert(i, sample);
    }

    /// Returns a quantile in percent, `None` before enough samples.
    fn quantile(&self, percent: usize) -> Option<u64> {
        let last = self.sorted.len().checked_sub(1)?;
        (self.sorted.len() >= ENOUGH).then(|| self.sorted[(last * percent).div_ceil(100)])
    }
}

/// What is known of one kind of work of one team.
#[derive(Clone, Debug)]
struct Kind {
    name: Name,
    /// Number of the team.
    team: u16,
    /// Peak processor time to declared, in thousandths.
    cpu: Window,
    /// Peak memory to declared, in thousandths.
    memory: Window,
    /// Run time to declared, in thousandths.
    run_ratio: Window,
    /// Run time of tasks that declared none, in milliseconds.
    run: Window,
}

/// What a task took, as far as it is known.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Declared need.
    pub declared: Capacity,
    /// Greatest usage that was seen.
    pub peak: Capacity,
    /// Declared run time, zero when unknown.
    pub declared_run: Millis,
    /// How long it ran.
    pub ran: Millis,
}

/// Estimates by kind and team.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    /// Sorted by name and team.
    kinds: Vec<Kind>,
}

impl Estimates {
    /// Takes in a task that ran to its end. A task without any usage report teaches nothing.
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

    /// Takes in the usage of a running task, or of one that didn't run to its end: it counts only
    /// when it is above the present estimate, since the peak may still come.
    pub fn seen(&mut self, kind: &Name, team: u16, declared: &Capacity, usage: &Capacity) {
        if !self.needs(kind.as_str(), team, declared).holds(usage) {
            self.kind_mut(kind, team).add_size(declared, usage);
        }
    }

    /// Returns the size to expect of a task that declares `declared`.
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

    /// Returns the run time to expect of a task that declares `declared`, `None` while unknown.
    pub fn run(&self, kind: &str, team: u16, declared: Millis) -> Option<Millis> {
        let kind = self.kind(kind, team)?;
        if declared == Millis::ZERO {
            return kind.run.quantile(RUN_QUANTILE).map(Millis);
        }
        let ratio = kind.run_ratio.quantile(RUN_QUANTILE)?;
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

fn scaled(declared: u64, ratios: &Window) -> u64 {
    ratios.quantile(SIZE_QUANTILE).map_or(declared, |ratio| {
        let estimate = declared.saturating_mul(ratio).saturating_mul(100 + MARGIN_PERCENT);
        let estimate = estimate.div_ceil(100 * ONE).max(1);
        // A declared size that no task exceeded needs no margin above it.
        if ratio <= ONE { estimate.min(declared) } else { estimate }
    })
}

#[cfg(test)]
mod tests;
