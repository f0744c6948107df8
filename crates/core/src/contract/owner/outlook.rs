//! What a job that arrives now may expect: the work ahead of it, and how much of the workers is left
//! for it.
//!
//! The owner computes the summary from its backlog, in the order of
//! `Rank`, and the daemons that take callers' jobs judge each job by it. A job
//! is refused only if it can't even end within `WORTHLESS_OBJECTIVES` objectives, by a margin. Every
//! estimate errs towards acceptance: the workers are assumed to do nothing but work, and at least a
//! part of them to be left over by what arrives later.

use super::Owner;
use super::backlog::WORTHLESS_OBJECTIVES;
use super::turnover::Turnover;
use crate::clock::Millis;
use crate::contract::work::{Id, Job};
use crate::ledger::shard::replica::Replica;
use crate::name::Name;
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Longest latest turns, counted from the summary, by which work is summed up. Later ones count in a
/// last sum.
const TURNS: [Millis; 8] = [
    Millis(250),
    Millis(500),
    Millis(1000),
    Millis(2000),
    Millis(4000),
    Millis(8000),
    Millis(16_000),
    Millis(32_000),
];
/// Share of the workers' processor time in use, in percent, below which there is room for all.
const BUSY_PERCENT: u64 = 80;
/// Least share of the workers, in percent, that is taken to be left over by work that arrives later and
/// goes first: a flood may end at any time.
const MIN_LEFT_PERCENT: u64 = 25;
/// Share of the expected start, in percent, that counts for a refusal.
const MARGIN_PERCENT: u64 = 80;
/// Time that an owner needs to know the arrivals and the workers' runs.
const MIN_KNOWN: Millis = Millis::from_secs(3);
/// Bounds of the time until the first refused callers return. The callers of each priority return over an
/// interval of half that time, which follows that of the next more urgent priority.
const MIN_RETURN: Millis = Millis::from_secs(1);
const MAX_RETURN: Millis = Millis::from_secs(10);

/// Work waiting in one priority, in core milliseconds, thousandths.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Level {
    priority: u32,
    /// Work that can still be in time, by latest turn: [`TURNS`], and later ones.
    in_time: Vec<u64>,
    /// Work that arrives in a second.
    inflow: u64,
}

/// Summary of the backlog for jobs that arrive now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outlook {
    /// Work that the workers do in a second, in core milliseconds, thousandths; zero while there is room for all.
    drain: u64,
    /// Sorted by priority, the most urgent first.
    levels: Vec<Level>,
    /// Work of jobs beyond the rates of their teams.
    beyond: u64,
    /// Teams that send jobs beyond their rates, sorted, each with the share of its jobs that are, in percent.
    beyond_shares: Vec<(Name, u32)>,
}

/// A job that can't end before its result loses its value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Expected time until its first start.
    pub start: Millis,
    /// Time after which there is probably room for one like it.
    pub retry: Millis,
}

/// What arrives, by priority.
#[derive(Clone, Debug)]
pub(super) struct Inflow {
    /// When the owner began to count.
    since: Millis,
    /// Sorted by priority.
    levels: Vec<(u32, Turnover)>,
}

impl Inflow {
    pub(super) const fn new(now: Millis) -> Self {
        Self { since: now, levels: Vec::new() }
    }

    /// Adds a job that was first seen at `seen`. Those that an earlier owner has seen don't count.
    pub(super) fn add(&mut self, job: &Job, seen: Millis) {
        if seen < self.since {
            return;
        }
        let priority = job.policy.priority;
        let i = match self.levels.binary_search_by_key(&priority, |(p, _)| *p) {
            Ok(i) => i,
            Err(i) => {
                self.levels.insert(i, (priority, Turnover::starting(seen)));
                i
            }
        };
        self.levels[i].1.release(job.effort());
    }
}

impl Outlook {
    /// Returns the expected waits of work that arrives now and can still be in time, by priority; none while
    /// there is room for all.
    pub fn waits(&self) -> Vec<(u32, Millis)> {
        let wait = |(i, level): (usize, &Level)| {
            let urgent = &self.levels[..i];
            let work = self.levels[..=i].iter().flat_map(|l| &l.in_time).sum();
            (level.priority, self.time_for(work, urgent.iter().map(|l| l.inflow).sum()))
        };
        self.levels.iter().enumerate().map(wait).collect()
    }

    /// Judges a job that arrives now.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the job can't end before its result loses its value.
    pub fn judge(&self, job: &Job) -> Result<(), Refusal> {
        let is_lasting = job.steps.iter().any(|step| step.lasting);
        if self.drain == 0 || is_lasting || job.schedule.is_some() {
            return Ok(());
        }
        let chain = job.chains().into_iter().max().unwrap_or_default();
        let slack = job.objective().since(chain);
        let most = job.objective().times(WORTHLESS_OBJECTIVES).since(chain);
        let start = self.expected_start(job, slack);
        let certain = Millis(start.get().saturating_mul(MARGIN_PERCENT) / 100);
        if certain <= most {
            return Ok(());
        }
        let rank = self.levels.partition_point(|l| l.priority < job.policy.priority);
        let rank = u64::try_from(rank).unwrap_or(u64::MAX);
        let room = certain.since(most).clamp(MIN_RETURN, MAX_RETURN);
        let interval = Millis(room.get() / 2).max(MIN_RETURN);
        let spread = Millis(scatter(job.id) % interval.get());
        Err(Refusal { start, retry: room + interval.times(rank) + spread })
    }

    /// Returns the time until the first start of a job whose latest turn is `slack` from now.
    fn expected_start(&self, job: &Job, slack: Millis) -> Millis {
        let priority = job.policy.priority;
        let is_beyond = self.is_beyond(job);
        let all: u64 = self.levels.iter().flat_map(|l| &l.in_time).sum();
        let arriving: u64 = self.levels.iter().map(|l| l.inflow).sum();
        if is_beyond {
            return self.time_for(all + self.beyond, arriving);
        }
        let urgent = self.levels.iter().filter(|l| l.priority < priority);
        let arriving_first = urgent.clone().map(|l| l.inflow).sum();
        let own = self.levels.iter().find(|l| l.priority == priority);
        let earlier = TURNS.iter().filter(|turn| **turn <= slack).count();
        let own = own.map_or(0, |l| l.in_time.iter().take(earlier).sum());
        let first: u64 = urgent.flat_map(|l| &l.in_time).sum::<u64>() + own;
        let start = self.time_for(first, arriving_first);
        // A late job has its turn after all work that can be in time.
        if start <= slack { start } else { start.max(self.time_for(all, arriving)) }
    }

    /// Returns whether a job counts as beyond the rate of its team: the share of the team's jobs that were
    /// beyond it lately, by id, so that as many are judged as within the rate as are.
    fn is_beyond(&self, job: &Job) -> bool {
        let Some(team) = &job.policy.team else { return false };
        let Ok(i) = self.beyond_shares.binary_search_by(|(t, _)| t.cmp(team)) else {
            return false;
        };
        scatter(job.id) % 100 < u64::from(self.beyond_shares[i].1)
    }

    /// Returns the time until work is done while other work arrives that goes first.
    fn time_for(&self, work: u64, arriving: u64) -> Millis {
        let least = self.drain * MIN_LEFT_PERCENT / 100;
        let left = self.drain.saturating_sub(arriving).max(least).max(1);
        Millis(work.saturating_mul(1000) / left)
    }
}

/// Spreads the callers' returns.
const fn scatter(id: Id) -> u64 {
    id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32
}

impl Owner {
    /// Returns what a job that arrives now may expect; `None` while this owner knows too little.
    pub fn outlook(&mut self, replica: &Replica, now: Millis) -> Option<Outlook> {
        if now.since(self.inflow.since) < MIN_KNOWN {
            return None;
        }
        let beyond_shares = self.accounts.beyond_shares();
        let usage = self.usage;
        if usage.total == 0 || usage.used * 100 < usage.total * BUSY_PERCENT {
            return Some(Outlook::default());
        }
        let second = Millis::from_secs(1);
        let drain = usage.used.saturating_mul(second.get());
        let mut levels: Vec<Level> = Vec::new();
        for (priority, inflow) in &mut self.inflow.levels {
            let inflow = inflow.expected(second, now);
            let in_time = vec![0; TURNS.len() + 1];
            levels.push(Level { priority: *priority, in_time, inflow });
        }
        let mut beyond = 0_u64;
        for waiting in self.backlog.waiting(replica, &self.accounts, &self.overruns, now) {
            if waiting.is_beyond {
                beyond = beyond.saturating_add(waiting.work);
                continue;
            }
            let i = match levels.binary_search_by_key(&waiting.priority, |l| l.priority) {
                Ok(i) => i,
                Err(i) => {
                    let in_time = vec![0; TURNS.len() + 1];
                    levels.insert(i, Level { priority: waiting.priority, in_time, inflow: 0 });
                    i
                }
            };
            let turn = TURNS.partition_point(|turn| *turn < waiting.turn_in);
            let sum = &mut levels[i].in_time[turn];
            *sum = sum.saturating_add(waiting.work);
        }
        Some(Outlook { drain, levels, beyond, beyond_shares })
    }
}
