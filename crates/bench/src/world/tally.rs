//! What is counted while a world runs.

use crate::load::Spec;
use hdrhistogram::Histogram;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::name::Name;

const CLASSES: usize = Class::ALL.len();
/// Pause after which a further start on a bad worker is a probe.
const WASTE_PAUSE: Millis = Millis::from_secs(10);
/// Longest wait that is told apart, in milliseconds.
const LONGEST_MS: u64 = 100 * 3600 * 1000;

/// Use of the fleet by one team in one class.
#[derive(Clone, Debug)]
struct Use {
    team: Name,
    class: Class,
    /// Part of the fleet times milliseconds.
    part_ms: f64,
}

/// Measures of one run.
#[derive(Clone, Debug)]
pub struct Tally {
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
    pub wasted_in_row: Vec<u64>,
    /// When the last of these was made.
    wasted_at: Vec<Millis>,
    /// Starts on each worker after it was healed.
    pub healed_starts: Vec<u64>,
    /// Real size of running work, at most what its worker has, times milliseconds within the
    /// window, by resource.
    pub delivered_ms: [f64; 3],
    /// Waits of urgent work of the watched teams, counted like the others.
    pub steady_waits: Histogram<u64>,
    /// Tasks of refused jobs that ran all the same.
    pub refused_but_ran: u64,
    /// Accepted tasks, less those that are done, run, or wait at the contender.
    pub(super) missing: i64,
    pub(super) watched: Vec<Name>,
    total: Capacity,
    window: (Millis, Millis),
    uses: Vec<Use>,
}

impl Tally {
    /// Returns a tally for a fleet of `workers` workers with `total` capacity.
    pub fn new(total: Capacity, window: (Millis, Millis), workers: usize) -> Self {
        let histogram = || Histogram::new_with_max(LONGEST_MS, 3).expect("valid bounds");
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
            wasted_in_row: vec![0; workers],
            wasted_at: vec![Millis::MAX; workers],
            healed_starts: vec![0; workers],
            delivered_ms: [0.0; 3],
            steady_waits: histogram(),
            refused_but_ran: 0,
            missing: 0,
            watched: Vec::new(),
            total,
            window,
            uses: Vec::new(),
        }
    }

    pub(super) fn accepted(&mut self, spec: &Spec) {
        self.accepted[spec.class().index()] += 1;
    }

    pub(super) fn refused(&mut self, spec: &Spec, impossible: bool) {
        if impossible {
            self.impossible += 1;
        } else {
            self.refused[spec.class().index()] += 1;
        }
    }

    pub(super) fn started(&mut self, spec: &Spec, at: Millis) {
        if self.window.0 <= spec.at && spec.at < self.window.1 {
            let wait = at.since(spec.at).get();
            self.waits[spec.class().index()].saturating_record(wait);
            if spec.class() == Class::Urgent && self.watched.contains(&spec.job.team) {
                self.steady_waits.saturating_record(wait);
            }
        }
    }

    pub(super) fn wasted_start(&mut self, worker: usize, at: Millis) {
        self.wasted[worker] += 1;
        let last = self.wasted_at[worker];
        if last == Millis::MAX || at.since(last) < WASTE_PAUSE {
            self.wasted_in_row[worker] += 1;
            self.wasted_at[worker] = at;
        }
    }

    pub(super) fn overuse(&mut self, at: Millis) {
        self.overused += 1;
        self.overused_in_window += u64::from(self.window.0 <= at && at < self.window.1);
    }

    pub(super) fn unstarted(&mut self, spec: &Spec, now: Millis) {
        self.started(spec, now);
    }

    /// Counts what a worker delivered from one instant to another.
    pub(super) fn delivered(&mut self, amount: &Capacity, from: Millis, to: Millis) {
        let ms = to.min(self.window.1).since(from.max(self.window.0)).get() as f64;
        let amounts = [amount.cpu_milli, amount.memory_mib, amount.accelerators];
        for (sum, amount) in self.delivered_ms.iter_mut().zip(amounts) {
            *sum += amount as f64 * ms;
        }
    }

    pub(super) fn ran(&mut self, spec: &Spec, needs: &Capacity, from: Millis, to: Millis) {
        let ms = to.min(self.window.1).since(from.max(self.window.0)).get() as f64;
        let part = spec.real.least(needs).dominant(&self.total) as f64 / 1e6;
        let (team, class) = (&spec.job.team, spec.class());
        match self.uses.iter_mut().find(|u| u.team == *team && u.class == class) {
            Some(entry) => entry.part_ms += part * ms,
            None => self.uses.push(Use { team: team.clone(), class, part_ms: part * ms }),
        }
    }

    fn length(&self) -> f64 {
        self.window.1.since(self.window.0).get() as f64
    }

    /// Returns the mean part of the fleet that a class used within the window.
    pub fn class_part(&self, class: Class) -> f64 {
        let of_class = self.uses.iter().filter(|u| u.class == class);
        of_class.map(|u| u.part_ms).sum::<f64>() / self.length()
    }

    /// Returns the mean part of the fleet that a team used in a class within the window.
    pub fn team_part(&self, team: &Name, class: Class) -> f64 {
        let found = self.uses.iter().find(|u| u.team == *team && u.class == class);
        found.map_or(0.0, |u| u.part_ms) / self.length()
    }

    /// Returns the mean part of the fleet's scarcest resource that the sums make.
    pub fn packed(&self, sums: &[f64; 3]) -> f64 {
        let total = [self.total.cpu_milli, self.total.memory_mib, self.total.accelerators];
        let part = |(sum, total): (&f64, u64)| match total {
            0 => 0.0,
            _ => sum / self.length() / total as f64,
        };
        sums.iter().zip(total).map(part).fold(0.0, f64::max)
    }

    /// Returns the wait in milliseconds that a part of a class's work stayed below.
    pub fn wait(&self, class: Class, quantile: f64) -> f64 {
        self.waits[class.index()].value_at_quantile(quantile) as f64
    }

    /// Returns the number of accepted tasks that are neither done nor running nor waiting.
    pub const fn lost(&self) -> u64 {
        self.missing.unsigned_abs()
    }

    /// Returns what the broken promises are.
    pub fn broken(&self) -> String {
        let Self { over_capacity, double_runs, refused_but_ran, missing, .. } = self;
        format!(
            "{over_capacity} over capacity, {double_runs} double runs, {refused_but_ran} refused \
             and run, {missing} missing"
        )
    }

    /// Returns the number of broken promises.
    pub const fn violations(&self) -> u64 {
        self.over_capacity + self.double_runs + self.refused_but_ran + self.lost()
    }
}
