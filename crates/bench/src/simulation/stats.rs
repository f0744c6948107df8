//! Measurements of one simulation run, and its counts of violated guarantees.

use crate::load::JobSpec;
use hdrhistogram::Histogram;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::name::Name;

const CLASSES: usize = Class::ALL.len();
/// Time without a start on a failing worker after which further starts count as probes of the
/// quarantined worker.
const PROBE_PAUSE: Millis = Millis::from_secs(10);
/// Longest wait that the histograms resolve; longer waits are recorded as this.
const MAX_WAIT_MS: u64 = 100 * 3600 * 1000;

/// Share of the fleet that one team used in one class.
#[derive(Clone, Debug)]
struct TeamUsage {
    team: Name,
    class: Class,
    /// Fraction of the fleet, by dominant resource, times milliseconds within the window.
    share_ms: f64,
}

/// Measurements of one run.
#[derive(Clone, Debug)]
pub struct SimulationStats {
    /// Waits from submission to first start in milliseconds, by class, of tasks submitted within
    /// the window. A task that never started counts with its wait until the end of the run.
    pub waits: [Histogram<u64>; CLASSES],
    /// Number of accepted jobs, by class.
    pub accepted: [u64; CLASSES],
    /// Number of jobs refused with a retry time, by class.
    pub refused: [u64; CLASSES],
    /// Number of jobs refused because no worker could ever run them.
    pub impossible: u64,
    /// Number of tasks that completed or failed for the last time.
    pub completed: u64,
    /// Number of checkpoint orders to preempted tasks.
    pub preempted: u64,
    /// Number of reservations refused because the worker had no room or was lost.
    pub reservations_refused: u64,
    /// Number of starts after which the reservations on a worker exceeded its capacity.
    pub over_capacity: u64,
    /// Number of starts after which the actual usage of a worker exceeded its capacity.
    pub overused: u64,
    /// The part of [`SimulationStats::overused`] that falls within the window.
    pub overused_in_window: u64,
    /// Number of starts of tasks that were already running, done or cancelled.
    pub double_runs: u64,
    /// Number of starts on each worker while it failed every attempt.
    pub wasted: Vec<u64>,
    /// The part of [`SimulationStats::wasted`] before the first pause of ten seconds without a
    /// start; later starts are probes.
    pub wasted_until_pause: Vec<u64>,
    /// Time of the last start counted in `wasted_until_pause`; `Millis::MAX` before the first.
    wasted_at: Vec<Millis>,
    /// Number of starts on each worker after it stopped failing every attempt.
    pub recovered_starts: Vec<u64>,
    /// Actual usage of running work, capped at the capacity of its worker, times milliseconds
    /// within the window, by resource: processors, memory, accelerators.
    pub delivered: [f64; 3],
    /// Waits of the urgent work of watched teams, recorded as in [`SimulationStats::waits`].
    pub watched_waits: Histogram<u64>,
    /// Number of started tasks of refused jobs.
    pub refused_but_ran: u64,
    /// Accepted tasks that are neither done, running nor queued at the policy. Negative when the
    /// policy queues more tasks than are open.
    pub(super) unaccounted_tasks: i64,
    pub(super) watched: Vec<Name>,
    total: Capacity,
    window: (Millis, Millis),
    team_usage: Vec<TeamUsage>,
}

impl SimulationStats {
    /// Creates empty statistics for a fleet of `workers` workers with a capacity of `total`.
    pub fn new(total: Capacity, window: (Millis, Millis), workers: usize) -> Self {
        let histogram = || Histogram::new_with_max(MAX_WAIT_MS, 3).expect("valid bounds");
        Self {
            waits: [histogram(), histogram(), histogram()],
            accepted: [0; CLASSES],
            refused: [0; CLASSES],
            impossible: 0,
            completed: 0,
            preempted: 0,
            reservations_refused: 0,
            over_capacity: 0,
            overused: 0,
            overused_in_window: 0,
            double_runs: 0,
            wasted: vec![0; workers],
            wasted_until_pause: vec![0; workers],
            wasted_at: vec![Millis::MAX; workers],
            recovered_starts: vec![0; workers],
            delivered: [0.0; 3],
            watched_waits: histogram(),
            refused_but_ran: 0,
            unaccounted_tasks: 0,
            watched: Vec::new(),
            total,
            window,
            team_usage: Vec::new(),
        }
    }

    pub(super) fn record_accepted(&mut self, spec: &JobSpec) {
        self.accepted[spec.class().index()] += 1;
    }

    pub(super) fn record_refused(&mut self, spec: &JobSpec, impossible: bool) {
        if impossible {
            self.impossible += 1;
        } else {
            self.refused[spec.class().index()] += 1;
        }
    }

    pub(super) fn record_started(&mut self, spec: &JobSpec, at: Millis) {
        if self.window.0 <= spec.submitted_at && spec.submitted_at < self.window.1 {
            let wait = at.since(spec.submitted_at).get();
            self.waits[spec.class().index()].saturating_record(wait);
            if spec.class() == Class::Urgent && self.watched.contains(&spec.job.team) {
                self.watched_waits.saturating_record(wait);
            }
        }
    }

    pub(super) fn record_wasted_start(&mut self, worker: usize, at: Millis) {
        self.wasted[worker] += 1;
        let last = self.wasted_at[worker];
        if last == Millis::MAX || at.since(last) < PROBE_PAUSE {
            self.wasted_until_pause[worker] += 1;
            self.wasted_at[worker] = at;
        }
    }

    pub(super) fn record_overuse(&mut self, at: Millis) {
        self.overused += 1;
        self.overused_in_window += u64::from(self.window.0 <= at && at < self.window.1);
    }

    pub(super) fn record_unstarted(&mut self, spec: &JobSpec, now: Millis) {
        self.record_started(spec, now);
    }

    /// Adds the `amount` that a worker delivered between two instants.
    pub(super) fn record_delivered(&mut self, amount: &Capacity, from: Millis, to: Millis) {
        let ms = to.min(self.window.1).since(from.max(self.window.0)).get() as f64;
        let amounts = [amount.cpu_milli, amount.memory_mib, amount.accelerators];
        for (sum, amount) in self.delivered.iter_mut().zip(amounts) {
            *sum += amount as f64 * ms;
        }
    }

    pub(super) fn record_attempt_ran(
        &mut self,
        spec: &JobSpec,
        needs: &Capacity,
        from: Millis,
        to: Millis,
    ) {
        let ms = to.min(self.window.1).since(from.max(self.window.0)).get() as f64;
        let share = spec.actual_needs.least(needs).dominant(&self.total) as f64 / 1e6;
        let (team, class) = (&spec.job.team, spec.class());
        match self.team_usage.iter_mut().find(|u| u.team == *team && u.class == class) {
            Some(entry) => entry.share_ms += share * ms,
            None => {
                self.team_usage.push(TeamUsage { team: team.clone(), class, share_ms: share * ms })
            }
        }
    }

    fn window_ms(&self) -> f64 {
        self.window.1.since(self.window.0).get() as f64
    }

    /// Returns the mean fraction of the fleet that a class used within the window.
    pub fn class_share(&self, class: Class) -> f64 {
        let of_class = self.team_usage.iter().filter(|u| u.class == class);
        of_class.map(|u| u.share_ms).sum::<f64>() / self.window_ms()
    }

    /// Returns the mean fraction of the fleet that a team used in a class within the window.
    pub fn team_share(&self, team: &Name, class: Class) -> f64 {
        let found = self.team_usage.iter().find(|u| u.team == *team && u.class == class);
        found.map_or(0.0, |u| u.share_ms) / self.window_ms()
    }

    /// Returns the mean utilization of the most used resource, from sums in the unit of
    /// [`SimulationStats::delivered`].
    pub fn bottleneck_utilization(&self, sums: &[f64; 3]) -> f64 {
        let total = [self.total.cpu_milli, self.total.memory_mib, self.total.accelerators];
        let share = |(sum, total): (&f64, u64)| match total {
            0 => 0.0,
            _ => sum / self.window_ms() / total as f64,
        };
        sums.iter().zip(total).map(share).fold(0.0, f64::max)
    }

    /// Returns a quantile, from 0 to 1, of the waits of a class, in milliseconds.
    pub fn wait(&self, class: Class, quantile: f64) -> f64 {
        self.waits[class.index()].value_at_quantile(quantile) as f64
    }

    /// Returns the number of accepted tasks that were lost or are queued in excess.
    pub const fn unaccounted(&self) -> u64 {
        self.unaccounted_tasks.unsigned_abs()
    }

    /// Returns the violations by kind, as text.
    pub fn violation_summary(&self) -> String {
        let Self {
            over_capacity, double_runs, refused_but_ran, unaccounted_tasks: missing, ..
        } = self;
        format!(
            "{over_capacity} over capacity, {double_runs} double runs, {refused_but_ran} refused \
             and run, {missing} missing"
        )
    }

    /// Returns the total number of violated guarantees.
    pub const fn violations(&self) -> u64 {
        self.over_capacity + self.double_runs + self.refused_but_ran + self.unaccounted()
    }
}
