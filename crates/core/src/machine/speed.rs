//! Speed of workers, measured from the runs that ended on them.
//!
//! A [`Speed`] belongs to one incarnation of a worker, a [`Pace`] to all workers of a pool. The pace says
//! how long a run of a given estimate usually takes, and how much of what differs between workers
//! is more than the error of the estimates. Only that part counts: while workers can't be told apart,
//! all of them are typical. All ratios are in thousandths of the pool's typical run time.

#[cfg(test)]
mod tests;

use crate::clock::Millis;
use crate::contract::work::StepId;

/// The run time of a typical worker, or as estimated.
pub const TYPICAL: u64 = 1000;
/// Runs before which a worker counts as typical.
const MIN_RUNS: u64 = 3;
/// Runs before which a worker does not count for the difference between workers.
const MIN_COMPARED_RUNS: u64 = 8;
/// Workers with so many runs before which nothing is known about the difference between workers.
const MIN_COMPARED_WORKERS: u64 = 8;
/// Classes of estimates; the last one has all from 2^31 ms, 24 days.
const CLASSES: usize = 32;
/// Runs of a class of estimates before which its usual time is unknown.
const MIN_CLASS_RUNS: u64 = 16;
/// Time before which ends don't count, from the first order, as a multiple of the time that runs take: the
/// first runs to end are the shortest.
const WARM_UP: u64 = 2;
/// Number of steps that a worker remembers, so that each counts once.
const COUNTED: usize = 4;
/// Weight of the newest run in a worker's mean, as a divisor; less while it has had few runs.
const WORKER_RUNS: u64 = 16;
/// Runs of even weight that are worth a mean in which the newest has the weight 1 / [`WORKER_RUNS`].
const EFFECTIVE_RUNS: u64 = 2 * WORKER_RUNS - 1;
/// Weight of the newest run in a pool's values, as a divisor.
const POOL_RUNS: u64 = 128;
/// Greatest and least ratio of a run that counts for a worker's mean. A few runs take many times their
/// estimate wherever they run.
const RATIOS: (u64, u64) = (400, 2000);
/// Smallest difference between workers, as a standard deviation, that counts as one.
const MIN_SPREAD: u64 = 80;
/// Standard deviations by which the difference between workers has to be more than chance. It is
/// looked at again and again. Once they differ, half of the variance is enough.
const CERTAIN: u64 = 4;
/// Greatest ratio of a run that counts for the worker's last runs, and for the usual time. A run that is
/// expected to take so long is overdue.
const MAX_RECENT: u64 = 3000;
/// Mean of the last runs, the newest with half the weight, from which a worker counts as slowed: one run of
/// [`MAX_RECENT`] among usual ones. Such a run is mostly the task's own, so it counts for a short time and
/// until another run ends in time.
const SLOWED: u64 = 1900;
/// Time after the last slow run for which a worker counts as slowed whose last runs took twice their usual
/// time; more for slower ones.
const SLOWED_TIME: Millis = Millis(1500);
/// Standard deviations between runs within which nearly all runs stay; some take many times their estimate.
const SLOW_ERRORS: u64 = 3;
/// Time before which the progress of a run shows nothing; neither does it in the first quarter of its
/// usual time.
const MIN_ELAPSED: Millis = Millis(300);
/// Ratio that a slowed worker is expected to have.
const SLOWED_RATIO: u64 = 5000;
/// Weight of the newest run in the share of failed ones, as a divisor.
const FAILURE_RUNS: u64 = 4;
/// Share of failed runs, in thousandths, from which a worker counts as failing: one of the last run, or two
/// of the last three or four. One failure is mostly the fault of the task, so it counts for a short time
/// and until a run succeeds.
const FAILING: u64 = 250;
/// Time after a failure for which a worker counts as failing if it fails all.
const FAILING_TIME: Millis = Millis::from_secs(4);

/// What the runs of a worker's present incarnation show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Speed {
    /// When the first one of its runs was ordered.
    since: Option<Millis>,
    /// Number of runs that count: one for each step, since the tasks of a step share the error of their
    /// estimate.
    runs: u64,
    /// The steps of the last of them, the newest first.
    counted: [Option<StepId>; COUNTED],
    /// Mean ratio of these runs, the newest with more weight.
    mean: u64,
    /// Mean ratio of the last runs.
    recent: u64,
    slowed_until: Millis,
    /// Smoothed share of failed runs, in thousandths.
    failures: u64,
    failing_until: Millis,
    /// See [`Speed::ratio`]; zero for [`TYPICAL`].
    ratio: u64,
}

/// A run whose time shows the speed of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    /// When it was ordered.
    pub ordered: Millis,
    /// The step of its task.
    pub step_id: StepId,
    /// Estimated run time.
    pub estimate: Millis,
    /// Whether [`Pace::note_progress`] has found it overdue.
    pub is_overdue: bool,
}

/// Usual time of the runs of a class of estimates.
#[derive(Clone, Copy, Debug, Default)]
struct Usual {
    /// When the first one was ordered.
    since: Option<Millis>,
    runs: u64,
    /// Mean time, in thousandths of the estimate.
    ratio: u64,
}

/// How fast the workers of a pool are.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// By class of estimates: the logarithm to base 2 of their milliseconds. Short runs take longer
    /// than estimated, as the way to the worker and back counts.
    usual: [Usual; CLASSES],
    /// Variance of a run's ratio on one worker, and the number of runs from which it is known.
    noise: u64,
    residuals: u64,
    /// Variance of the ratio between workers beyond what the noise explains; zero if it is not more
    /// than chance.
    spread: u64,
    /// Mean ratio of the workers.
    mean: u64,
}

impl Pace {
    /// Counts a run that ended `done` on a worker with `speed`.
    pub fn record(&mut self, speed: &mut Speed, run: &Timed, now: Millis) {
        if run.estimate == Millis::ZERO {
            return;
        }
        let usual = &mut self.usual[class(run.estimate)];
        let was_known = usual.is_known();
        let of_estimate = now.since(run.ordered).get().saturating_mul(TYPICAL) / run.estimate.get();
        // Most runs of a class may be on fast workers, since they are chosen for them.
        usual.record(run, of_estimate.saturating_mul(TYPICAL) / speed.ratio().max(1), now);
        if !was_known {
            return;
        }
        let ratio = of_estimate.saturating_mul(TYPICAL) / usual.ratio.max(1);
        if !run.is_overdue {
            speed.note_recent(ratio, now);
        }
        let since = *speed.since.get_or_insert(run.ordered);
        let is_early = now.since(since) < self.usual(run.estimate).times(WARM_UP);
        // Runs of a worker that has turned slow say nothing about its usual speed.
        let is_repeated = speed.counted.contains(&Some(run.step_id));
        if is_early || is_repeated || ratio >= SLOWED || speed.is_slowed(now) {
            return;
        }
        let ratio = ratio.clamp(RATIOS.0, RATIOS.1);
        if speed.runs >= MIN_RUNS {
            self.residuals += 1;
            let residual = ratio.abs_diff(speed.mean).pow(2);
            self.noise = smooth(self.noise, residual, self.residuals.min(POOL_RUNS));
        }
        speed.counted.rotate_right(1);
        speed.counted[0] = Some(run.step_id);
        speed.runs += 1;
        speed.mean = smooth(speed.mean, ratio, speed.runs.min(WORKER_RUNS));
    }

    /// Notes that `percent` of a run's work is done. A run that will take many times its usual time
    /// counts as one of the worker's last runs before it ends.
    pub fn note_progress(&self, speed: &mut Speed, run: &mut Timed, percent: u64, now: Millis) {
        let elapsed = now.since(run.ordered);
        let usual = self.usual(run.estimate);
        let is_early = elapsed < MIN_ELAPSED || elapsed.get() < usual.get() / 4;
        if run.is_overdue || is_early {
            return;
        }
        let expected = elapsed.get().saturating_mul(100) / percent.max(1);
        let ratio = expected.saturating_mul(TYPICAL) / usual.get().max(1);
        if ratio >= MAX_RECENT {
            run.is_overdue = true;
            speed.note_recent(ratio, now);
        }
    }

    /// Compares the workers with each other.
    pub fn compare<'a>(&mut self, speeds: impl Iterator<Item = &'a Speed> + Clone, now: Millis) {
        let compared = speeds.filter(|s| s.runs >= MIN_COMPARED_RUNS && !s.is_slowed(now));
        let count = u64::try_from(compared.clone().count()).unwrap_or(u64::MAX);
        let was_uneven = std::mem::take(&mut self.spread) > 0;
        self.mean = TYPICAL;
        if count < MIN_COMPARED_WORKERS {
            return;
        }
        let mean = compared.clone().map(|s| s.mean).sum::<u64>() / count;
        let total: u64 =
            compared.clone().map(|s| s.mean.abs_diff(mean).pow(2)).sum::<u64>() / count;
        let chance = compared.map(|s| self.noise / s.effective_runs()).sum::<u64>() / count;
        let spread = total.saturating_sub(chance);
        // The variance of as many random values has a standard deviation of sqrt(2 / count) of itself.
        let by_chance = chance * CERTAIN * (2_000_000 / count).isqrt() / 1000;
        let least = by_chance.max(MIN_SPREAD.pow(2));
        if spread >= if was_uneven { least / 2 } else { least } {
            (self.spread, self.mean) = (spread, mean);
        }
    }

    /// Sets the ratio of a worker after a comparison. Of what it differs from the others, the part
    /// counts that the noise does not explain.
    pub fn settle(&self, speed: &mut Speed) {
        speed.ratio = TYPICAL;
        if self.spread > 0 && speed.runs >= MIN_RUNS {
            let noise = self.noise / speed.effective_runs();
            let difference = speed.mean.abs_diff(self.mean) * self.spread / (self.spread + noise);
            let is_fast = speed.mean < self.mean;
            speed.ratio =
                if is_fast { TYPICAL - difference.min(TYPICAL) } else { TYPICAL + difference };
        }
    }

    /// Returns the usual time of a run, as estimated while no other is known.
    pub fn usual(&self, estimate: Millis) -> Millis {
        let usual = &self.usual[class(estimate)];
        let ratio = if usual.is_known() { usual.ratio } else { TYPICAL };
        Millis(estimate.get().saturating_mul(ratio) / TYPICAL)
    }

    /// Returns the time that a run is expected to take on a worker that has turned slow.
    pub fn slowed(&self, estimate: Millis) -> Millis {
        Millis(self.usual(estimate).get().saturating_mul(SLOWED_RATIO) / TYPICAL)
    }

    /// Returns the time within which nearly all runs end on a slow worker of the pool: that of a worker
    /// that is slower by the standard deviation between workers, with an error of `SLOW_ERRORS` of those
    /// between runs.
    pub fn slow(&self, estimate: Millis) -> Millis {
        let ratio = TYPICAL + self.spread.isqrt() + SLOW_ERRORS * self.noise.isqrt();
        Millis(self.usual(estimate).get().saturating_mul(ratio) / TYPICAL)
    }
}

impl Usual {
    const fn is_known(&self) -> bool {
        self.runs >= MIN_CLASS_RUNS
    }

    /// Counts a run that would have taken `of_estimate`, in thousandths of its estimate, on a typical worker.
    fn record(&mut self, run: &Timed, of_estimate: u64, now: Millis) {
        let since = *self.since.get_or_insert(run.ordered);
        let longest = Millis(2 << class(run.estimate));
        if now.since(since) < longest.times(WARM_UP) {
            return;
        }
        let most = if self.is_known() { self.ratio * MAX_RECENT / TYPICAL } else { u64::MAX };
        self.runs += 1;
        self.ratio = smooth(self.ratio, of_estimate.min(most), self.runs.min(POOL_RUNS));
    }
}

impl Speed {
    /// Returns the time that a run is expected to take, in thousandths of that on a typical worker, as
    /// of the last comparison: [`TYPICAL`] while the worker can't be told from the others.
    pub const fn ratio(&self) -> u64 {
        if self.ratio == 0 { TYPICAL } else { self.ratio }
    }

    /// Returns whether the worker has turned slow and is not to be tried again yet.
    pub fn is_slowed(&self, now: Millis) -> bool {
        now < self.slowed_until
    }

    /// Returns whether the worker fails much of what it starts.
    pub fn is_failing(&self, now: Millis) -> bool {
        now < self.failing_until
    }

    /// Counts a run that failed, through its own fault or the worker's.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures = smooth(self.failures, 1000, FAILURE_RUNS);
        self.failing_until = now + Millis(FAILING_TIME.get() * self.failures / 1000);
    }

    /// Counts a run that ended `done`.
    pub const fn record_success(&mut self) {
        self.failures = smooth(self.failures, 0, FAILURE_RUNS);
        if self.failures < FAILING {
            self.failing_until = Millis::ZERO;
        }
    }

    fn note_recent(&mut self, ratio: u64, now: Millis) {
        let before = if self.recent == 0 { TYPICAL } else { self.recent };
        self.recent = u64::midpoint(before, ratio.min(MAX_RECENT));
        let beyond = self.recent.saturating_sub(TYPICAL);
        let time = if self.recent < SLOWED { 0 } else { SLOWED_TIME.get() * beyond / TYPICAL };
        self.slowed_until = now + Millis(time);
    }

    /// Returns how many runs of even weight its mean is worth.
    fn effective_runs(&self) -> u64 {
        self.runs.clamp(1, EFFECTIVE_RUNS)
    }
}

/// Returns a mean in which `newest` has the weight 1 / `runs`.
const fn smooth(mean: u64, newest: u64, runs: u64) -> u64 {
    (mean * (runs - 1) + newest + runs / 2) / runs
}

fn class(estimate: Millis) -> usize {
    let class = estimate.get().checked_ilog2().unwrap_or_default();
    usize::try_from(class).unwrap_or(CLASSES).min(CLASSES - 1)
}
