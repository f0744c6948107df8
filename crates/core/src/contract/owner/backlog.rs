//! Open steps with tasks that can start, with what decides their order and whether they can fit.
//!
//! The list is compact and is brought up to date before each placement pass, so that a pass looks
//! up a step in the replica only if it may place some of its tasks.

use super::account::{Accounts, Arrival};
use super::lead::Leads;
use super::wait::{Turn, Wait, Waited};
use super::{Owner, place};
use crate::clock::Millis;
use crate::contract::work::{Job, StepId, Task};
use crate::ledger::shard::replica::Replica;
use crate::machine::capacity::Capacity;
use crate::name::Name;
use std::sync::Arc;

/// Multiple of its objective after which a job's result has no value.
const WORTHLESS_OBJECTIVES: u64 = 3;
/// Share of the workers' processor time that late steps ranked as if they were in time may need, in
/// percent. They take room from work that can still meet its objective.
const LAST_CHANCES_PERCENT: u64 = 1;

/// Order in which waiting steps are placed, the smallest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    /// Whether the job can't finish before its result loses its value.
    is_worthless: bool,
    /// Whether the job is beyond the rate of its team.
    is_beyond: bool,
    /// Whether the job can't meet its objective and has no last chance; see
    /// [`Backlog::give_last_chances`].
    is_late: bool,
    priority: u32,
    /// Whether the job's team uses more than its share of the workers.
    is_over_share: bool,
    /// Latest first turn with which the job will probably meet its objective.
    latest_turn: Millis,
    pub(super) step_id: StepId,
    /// Position in the backlog.
    pub(super) at: usize,
}

impl Rank {
    /// Returns whether the step can meet its objective and is of a higher priority than another.
    pub(super) const fn is_more_urgent(&self, other: &Self) -> bool {
        !self.is_worthless && !self.is_beyond && !self.is_late && self.priority < other.priority
    }
}

/// An open step.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) step_id: StepId,
    /// Number of its tasks that can start.
    pub(super) startable: usize,
    /// Number of its tasks.
    pub(super) tasks: usize,
    /// What one of its tasks counts against a worker.
    pub(super) needs: Capacity,
    pub(super) is_gang: bool,
    pub(super) is_advised: bool,
    job: Arc<Job>,
    /// When the job was first seen.
    seen: Millis,
    /// Latest start with which the job meets its objective; `None` for a lasting step.
    late_after: Option<Millis>,
    /// One objective before [`Self::worthless_after`].
    last_chance_after: Option<Millis>,
    /// Latest start with which the job's result has value; `None` for a lasting step.
    worthless_after: Option<Millis>,
    latest_start: Millis,
    /// How it has waited, if it is a gang.
    wait: Wait,
}

/// The open steps of the shard.
#[derive(Clone, Debug, Default)]
pub(super) struct Backlog {
    /// Sorted by step.
    steps: Vec<Candidate>,
    /// Steps of which a run was added or removed since the last update.
    changed: Vec<StepId>,
    /// What gangs needed from their first turn to their start.
    leads: Leads,
}

impl Backlog {
    /// Notes that a run of a step was added or removed.
    pub(super) fn mark_changed(&mut self, step_id: StepId) {
        self.changed.push(step_id);
    }

    pub(super) fn candidate(&self, at: usize) -> &Candidate {
        &self.steps[at]
    }

    /// Notes what a pass did for a waiting gang. Returns its wait if it became late or starts.
    pub(super) fn note_turn(&mut self, at: usize, turn: Turn, now: Millis) -> Option<Waited> {
        let candidate = &mut self.steps[at];
        let Candidate { step_id, tasks, wait, .. } = candidate;
        let (step_id, tasks) = (*step_id, *tasks);
        let was_late = wait.late > Millis::ZERO;
        wait.late = candidate.late_after.map_or(Millis::ZERO, |limit| now.since(limit));
        wait.add(turn, now);
        let (wait, has_started) = (*wait, turn == Turn::Started);
        if has_started {
            self.leads.record(&candidate.job.policy.queue, tasks, wait.since_first_turn());
            candidate.wait = wait.after_start();
        }
        let is_news = has_started || !was_late && wait.late > Millis::ZERO;
        is_news.then_some(Waited { step_id, tasks, has_started, wait })
    }

    /// Returns the teams of the steps with tasks that can start, once for each step.
    pub(super) fn waiting_teams(&self) -> impl Iterator<Item = &Name> {
        self.steps.iter().filter(|c| c.startable > 0).filter_map(Candidate::team)
    }

    /// Returns the steps with tasks that can start, in the order of placement. `cpu_milli` is the
    /// processor time of all workers, in thousandths of a core.
    pub(super) fn ranks(&self, cpu_milli: u64, accounts: &Accounts, now: Millis) -> Vec<Rank> {
        let startable = self.steps.iter().enumerate().filter(|(_, c)| c.startable > 0);
        let rank = |(at, c): (usize, &Candidate)| c.rank(at, &self.leads, accounts, now);
        let mut ranks: Vec<Rank> = startable.map(rank).collect();
        self.give_last_chances(&mut ranks, cpu_milli * LAST_CHANCES_PERCENT / 100, now);
        ranks.sort_unstable();
        ranks
    }

    /// Ranks late steps as if they were in time once their results lose all value within one objective,
    /// the next to lose it first: one, and further ones while `budget` is left, in thousandths of a core.
    /// While more work arrives than fits, no room is left for a wide step behind all work that can
    /// still be in time.
    fn give_last_chances(&self, ranks: &mut [Rank], mut budget: u64, now: Millis) {
        let has_last_chance = |rank: &Rank| {
            let candidate = &self.steps[rank.at];
            let is_near_end = candidate.last_chance_after.is_some_and(|limit| now > limit);
            is_near_end && !rank.is_worthless && !rank.is_beyond
        };
        let mut late: Vec<&mut Rank> = ranks.iter_mut().filter(|r| has_last_chance(r)).collect();
        late.sort_unstable_by_key(|rank| (self.steps[rank.at].worthless_after, rank.step_id));
        for (i, rank) in late.into_iter().enumerate() {
            if i > 0 && budget == 0 {
                break;
            }
            rank.is_late = false;
            let Candidate { needs, startable, .. } = &self.steps[rank.at];
            let startable = u64::try_from(*startable).unwrap_or(u64::MAX);
            budget = budget.saturating_sub(needs.cpu_milli.saturating_mul(startable));
        }
    }
}

impl Candidate {
    /// Returns the team of the job.
    pub(super) fn team(&self) -> Option<&Name> {
        self.job.policy.team.as_ref()
    }

    /// Returns the arrival of the job, if the job is of a team and this is its first step.
    fn arrival(&self) -> Option<Arrival> {
        let is_first = self.step_id.step == 0 && self.step_id.occurrence == 0;
        let (at, job) = (self.seen, self.job.id);
        self.team().filter(|_| is_first).map(|team| Arrival { at, job, team: team.clone() })
    }

    /// A wide gang needs more time from its first turn to its start, so that its turn has to come
    /// earlier than that of a narrow one with the same latest start.
    fn rank(&self, at: usize, leads: &Leads, accounts: &Accounts, now: Millis) -> Rank {
        let is_after = |limit: Option<Millis>| limit.is_some_and(|limit| now > limit);
        let policy = &self.job.policy;
        let lead =
            if self.is_gang { leads.expected(&policy.queue, self.tasks) } else { Millis::ZERO };
        Rank {
            is_worthless: is_after(self.worthless_after),
            is_beyond: self.team().is_some() && accounts.is_beyond(self.job.id),
            is_late: is_after(self.late_after),
            priority: policy.priority,
            is_over_share: accounts.is_over_share(self.team()),
            latest_turn: self.latest_start.since(lead).max(self.seen),
            step_id: self.step_id,
            at,
        }
    }
}

impl Owner {
    /// Brings the backlog up to date with the open steps of `replica` and with the open runs, and
    /// discards the advisor's answers about steps that are closed.
    pub(super) fn update_backlog(&mut self, replica: &Replica) {
        let old = std::mem::take(&mut self.backlog.steps);
        let mut steps = Vec::with_capacity(replica.open().len());
        let mut arrivals = Vec::new();
        let mut old = old.into_iter().peekable();
        for step_id in replica.open() {
            while let Some(closed) = old.next_if(|c| c.step_id < *step_id) {
                self.queries.forget(&closed.step_id);
            }
            let known = old.next_if(|c| c.step_id == *step_id);
            let added = known.is_none();
            steps.extend(known.or_else(|| self.candidate(replica, *step_id)));
            arrivals.extend(steps.last().filter(|_| added).and_then(Candidate::arrival));
        }
        if !arrivals.is_empty() {
            self.accounts.judge(arrivals);
            self.accounts.forget_ended(replica);
        }
        old.for_each(|closed| self.queries.forget(&closed.step_id));
        let mut changed = std::mem::take(&mut self.backlog.changed);
        changed.sort_unstable();
        changed.dedup();
        for step_id in changed {
            if let Ok(at) = steps.binary_search_by(|c| c.step_id.cmp(&step_id)) {
                steps[at].startable = self.startable(replica, &step_id).count();
            }
        }
        self.backlog.steps = steps;
    }

    fn candidate(&self, replica: &Replica, step_id: StepId) -> Option<Candidate> {
        let state = replica.job(step_id.job)?;
        let waiting = place::waiting(replica, step_id)?;
        let left = state.chains.get(usize::from(step_id.step)).copied().unwrap_or_default();
        let latest_start = |objectives: u64| {
            let limit = (state.seen + state.objective.times(objectives)).since(left);
            (!waiting.step.lasting).then_some(limit)
        };
        Some(Candidate {
            step_id,
            startable: self.startable(replica, &step_id).count(),
            tasks: waiting.state.tasks.len(),
            needs: waiting.step.counted_needs(),
            is_gang: waiting.step.gang,
            is_advised: state.job.policy.advisor_timing.is_some(),
            job: Arc::clone(&state.job),
            seen: state.seen,
            late_after: latest_start(1),
            last_chance_after: latest_start(WORTHLESS_OBJECTIVES - 1),
            worthless_after: latest_start(WORTHLESS_OBJECTIVES),
            latest_start: (state.seen + state.objective).since(left),
            wait: Wait::default(),
        })
    }

    /// Returns the waiting tasks of a step that have no open run.
    pub(super) fn startable<'a>(
        &'a self,
        replica: &'a Replica,
        step_id: &StepId,
    ) -> impl Iterator<Item = Task> + 'a {
        let step_id = *step_id;
        let state = place::waiting(replica, step_id).map(|waiting| waiting.state);
        let tasks = (0..).zip(state.into_iter().flat_map(|s| &s.tasks));
        let waiting = tasks.filter(|(_, t)| t.is_waiting());
        waiting.map(move |(index, _)| Task { step_id, index }).filter(|t| !self.is_running(t))
    }
}
