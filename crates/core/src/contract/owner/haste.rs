//! Choice of workers by their speed.
//!
//! A step that would probably miss its objective on a slow worker of its pool goes to a fast one with
//! room; any other keeps the best fit, on whichever worker. Workers that have turned slow, or that
//! fail much of what they start, come last for steps that can't bear it. Steps that can, and those
//! that find no other worker, show whether they have recovered.

use super::place::WaitingStep;
use super::{Owner, Running};
use crate::clock::Millis;
use crate::contract::work::Step;
use crate::ledger::shard::Incarnation;
use crate::ledger::shard::replica::Replica;
use crate::machine::host::Host;
use crate::machine::speed::{Pace, Speed, TYPICAL, Timed};

/// Time between two comparisons of the workers.
const COMPARE_INTERVAL: Millis = Millis(500);
/// Width of a grade, as a ratio of a worker to a typical one. Within a grade the best fit decides.
const GRADE_WIDTH: u64 = 100;
/// Grade of a typical worker. A faster one has a smaller grade.
const TYPICAL_GRADE: u64 = TYPICAL / GRADE_WIDTH;
/// Grade of a worker that a step shuns.
pub(super) const SHUNNED: u64 = u64::MAX;

/// The speeds of the pools' workers.
#[derive(Clone, Debug, Default)]
pub(super) struct Paces {
    /// Sorted by pool.
    pools: Vec<(Box<str>, Pace)>,
    compared_at: Millis,
}

impl Paces {
    fn pool(&self, name: &str) -> Option<&Pace> {
        let i = self.pools.binary_search_by(|(pool, _)| (**pool).cmp(name)).ok()?;
        Some(&self.pools[i].1)
    }

    fn pool_mut(&mut self, name: &str) -> &mut Pace {
        let i = match self.pools.binary_search_by(|(pool, _)| (**pool).cmp(name)) {
            Ok(i) => i,
            Err(i) => {
                self.pools.insert(i, (name.into(), Pace::default()));
                i
            }
        };
        &mut self.pools[i].1
    }
}

/// What a step can't bear of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Haste {
    /// It would probably be late on a slow worker.
    wants_fast: bool,
    /// It would be late on a worker that has turned slow, or after a run that fails.
    shuns_troubled: bool,
}

/// How much the workers differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Speeds {
    /// Expected run time on the fastest and the slowest worker, in percent of that on a typical one.
    pub fastest_percent: u64,
    /// See [`Self::fastest_percent`].
    pub slowest_percent: u64,
    /// Number of workers that have turned slow.
    pub slowed: usize,
    /// Number of workers that fail much of what they start.
    pub failing: usize,
}

impl Owner {
    /// Returns how much the workers differ, as of the last comparison.
    pub fn speeds(&self, now: Millis) -> Speeds {
        let count = |has: fn(&Speed, Millis) -> bool| {
            self.hosts.iter().filter(|h| has(&h.speed, now)).count()
        };
        let ratios = || self.hosts.iter().map(|h| h.speed.ratio());
        Speeds {
            fastest_percent: ratios().min().unwrap_or(TYPICAL) * 100 / TYPICAL,
            slowest_percent: ratios().max().unwrap_or(TYPICAL) * 100 / TYPICAL,
            slowed: count(Speed::is_slowed),
            failing: count(Speed::is_failing),
        }
    }

    /// Compares the workers with each other, if it is time.
    pub(super) fn compare_speeds(&mut self, now: Millis) {
        if now.since(self.paces.compared_at) < COMPARE_INTERVAL {
            return;
        }
        self.paces.compared_at = now;
        for (pool, pace) in &mut self.paces.pools {
            let of_pool = |host: &&Host| host.entry.pool == *pool;
            pace.compare(self.hosts.iter().filter(of_pool).map(|h| &h.speed), now);
            let of_pool = self.hosts.iter_mut().filter(|h| h.entry.pool == *pool);
            of_pool.for_each(|h| pace.settle(&mut h.speed));
        }
    }

    /// Returns what a step can't bear, by the time left until its latest start.
    pub(super) fn haste(&self, waiting: &WaitingStep<'_>, replica: &Replica, now: Millis) -> Haste {
        let (step, job) = (waiting.step, replica.job(waiting.step_id.job));
        let pace = self.paces.pool(&waiting.job.policy.pool);
        let (Some(job), Some(pace)) = (job, pace) else { return Haste::default() };
        if step.lasting || step.fills {
            return Haste::default();
        }
        let chain = job.chains.get(usize::from(waiting.step_id.step)).copied();
        let rest = chain.unwrap_or_default().since(step.estimate_ms);
        let left = (job.seen + job.objective).since(now + rest);
        Haste {
            wants_fast: left < pace.slow(step.estimate_ms),
            shuns_troubled: left < pace.slowed(step.estimate_ms),
        }
    }

    /// Returns a key that orders workers for a step, the best first: [`SHUNNED`] for those that it
    /// can't bear, and the same for all others while speed is of no use to it.
    pub(super) fn grade(&self, haste: Haste, i: usize, now: Millis) -> u64 {
        let speed = &self.hosts[i].speed;
        if haste.shuns_troubled && (speed.is_slowed(now) || speed.is_failing(now)) {
            return SHUNNED;
        }
        if haste.wants_fast {
            (speed.ratio() + GRADE_WIDTH / 2) / GRADE_WIDTH
        } else {
            TYPICAL_GRADE
        }
    }

    /// Measures the speed of a worker by a run that ended `done`.
    pub(super) fn measure_end(&mut self, on: &Incarnation, run: &Timed, now: Millis) {
        let Ok(i) = self.host_index(&on.worker) else { return };
        let host = &mut self.hosts[i];
        if host.incarnation.born == on.born {
            self.paces.pool_mut(&host.entry.pool).record(&mut host.speed, run, now);
        }
    }

    /// Handles that a worker was out of reach: the times of its runs show nothing.
    pub(super) fn forget_times(&mut self, on: &Incarnation) {
        let Some(host) = self.host(on) else { return };
        for run in host.runs.clone() {
            if let Ok(i) = self.run_index(&run) {
                self.runs[i].timed = None;
            }
        }
    }

    /// Notes the progress of a run that executes.
    pub(super) fn measure_progress(&mut self, i: usize, percent: u64, now: Millis) {
        let running = &mut self.runs[i];
        let Some(run) = &mut running.timed else { return };
        let found = self.hosts.binary_search_by(|h| h.incarnation.worker.cmp(&running.on.worker));
        let Ok(host) = found.map(|i| &mut self.hosts[i]) else { return };
        if let Some(pace) =
            self.paces.pool(&host.entry.pool).filter(|_| host.incarnation == running.on)
        {
            pace.note_progress(&mut host.speed, run, percent, now);
        }
    }

    /// Returns the timing of a run that is ordered now, if its time shows the speed of its worker. It
    /// does not if the run starts from a checkpoint, is far from its data, waits for others or uses
    /// spare time.
    pub(super) fn timed(
        &self,
        running: &Running,
        step: &Step,
        is_resumed: bool,
        now: Millis,
    ) -> Option<Timed> {
        let host = self.host(&running.on)?;
        let is_near = step.data_rack.as_deref().is_none_or(|rack| host.has_label(rack));
        let is_alone = !step.one_rack && (!step.gang || step.count == 1);
        let shows_speed = is_near && is_alone && !step.fills && !step.lasting && !is_resumed;
        let (step_id, estimate) = (running.run.task.step_id, step.estimate_ms);
        shows_speed.then_some(Timed { ordered: now, step_id, estimate, is_overdue: false })
    }
}
