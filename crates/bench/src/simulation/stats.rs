//! What is counted while a world runs.

use crate::load::JobSpec;
use hdrhistogram::Histogram;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::name::Name;

const CLASSES: usize = Class::ALL.len();
/// Pause after which a further start on a bad worker is a probe.
const PROBE_PAUSE: Millis = Millis::from_secs(10);
/// Longest wait that is told apart, in milliseconds.
const MAX_WAIT_MS: u64 = 100 * 3600 * 1000;

/// Use of the fleet by one team in one class.
#[derive(Clone, Debug)]
struct TeamUsage {
    team: Name,
    class: Class,
    /// Part of the fleet times milliseconds.
    share_ms: f64,
}

/// Measures of one run.
#[derive(Clone, Debug)]
pub struct SimulationStats {
    /// Waits from submission to start in milliseconds, by class, of work submitted within the
    /// window. Work that never started counts with its wait until the end.
    pub waits: [Histogram<u64>; CLASSES],
    /// Jobs that were accepted, by class.
    pub accepted: [u64; CLASSES],
    /// Jobs that were refused with a time to come back, by class.
    pub refused: [u64; CLASSES],
    /// Jobs that were refused since nothing could run them.
    pub impossible: u64,
    /// Tasks that ran to their end.
    pub completed: u64,
    /// Tasks that were ordered to checkpoint.
    pub preempted: u64,
    /// Claims on workers that had no room.
    pub reservations_refused: u64,
    /// Starts after which more was reserved on a worker than it has.
    pub over_capacity: u64,
    /// Starts after which more was really used on a worker than it has.
    pub overused: u64,
    /// Of these, the ones within the window.
    pub overused_in_window: u64,
    /// Starts of tasks that ran already, or were over.
    pub double_runs: u64,
    /// Starts on each worker while it failed everything.
    pub wasted: Vec<u64>,
    /// Of these, the ones until no start came for ten seconds.
    pub wasted_until_pause: Vec<u64>,
    /// When the last of these was made.
    wasted_at: Vec<Millis>,
    /// Starts on each worker after it was healed.
    pub recovered_starts: Vec<u64>,
    /// Real size of running work, at most what its worker has, times milliseconds within the
    /// window, by resource.
    pub delivered: [f64; 3],
    /// Waits of urgent work of the watched teams, counted like the others.
    pub watched_waits: Histogram<u64>,
    /// Tasks of refused jobs that ran all the same.
    pub refused_but_ran: u64,
    /// Accepted tasks, less those that are done, run, or wait at the contender.
    pub(super) unaccounted_tasks: i64,
    pub(super) watched: Vec<Name>,
    total: Capacity,
    window: (Millis, Millis),
    team_usage: Vec<TeamUsage>,
}

impl SimulationStats {
    /// Returns a tally for a fleet of `workers` workers with `total` capacity.
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

    /// Counts what a worker delivered from one instant to another.
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

    /// Returns the mean part of the fleet that a class used within the window.
    pub fn class_share(&self, class: Class) -> f64 {
        let of_class = self.team_usage.iter().filter(|u| u.class == class);
        of_class.map(|u| u.share_ms).sum::<f64>() / self.window_ms()
    }

    /// Returns the mean part of the fleet that a team used in a class within the window.
    pub fn team_share(&self, team: &Name, class: Class) -> f64 {
        let found = self.team_usage.iter().find(|u| u.team == *team && u.class == class);
        found.map_or(0.0, |u| u.share_ms) / self.window_ms()
    }

    /// Returns the mean part of the fleet's scarcest resource that the sums make.
    pub fn bottleneck_utilization(&self, sums: &[f64; 3]) -> f64 {
        let total = [self.total.cpu_milli, self.total.memory_mib, self.total.accelerators];
        let share = |(sum, total): (&f64, u64)| match total {
            0 => 0.0,
            _ => sum / self.window_ms() / total as f64,
        };
        sums.iter().zip(total).map(share).fold(0.0, f64::max)
    }

    /// Returns the wait in milliseconds that a part of a class's work stayed below.
    pub fn wait(&self, class: Class, quantile: f64) -> f64 {
        self.waits[class.index()].value_at_quantile(quantile) as f64
    }

    /// Returns the number of accepted tasks that are neither done nor running nor waiting.
    pub const fn unaccounted(&self) -> u64 {
        self.unaccounted_tasks.unsigned_abs()
    }

    /// Returns what the broken promises are.
    pub fn violation_summary(&self) -> String {
        let Self {
            over_capacity, double_runs, refused_but_ran, unaccounted_tasks: missing, ..
        } = self;
        format!(
            "{over_capacity} over capacity, {double_runs} double runs, {refused_but_ran} refused \
             and run, {missing} missing"
        )
    }

    /// Returns the number of broken promises.
    pub const fn violations(&self) -> u64 {
        self.over_capacity + self.double_runs + self.refused_but_ran + self.unaccounted()
    }
}
