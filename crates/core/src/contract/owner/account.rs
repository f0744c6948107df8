//! What each team runs and is owed: its quota, its rate of jobs, and its share of the workers.
//!
//! What a team runs is derived from the owner's runs, so that a later owner counts the same after its
//! claim: also runs without an answer, and runs on workers that it can't reach.
//!
//! The load that this answers: some teams send many times their usual at once. Their jobs beyond the
//! rate of their team come after all that is owed to others, and inside a priority a team that uses
//! more than its share of the workers comes after those that don't. What others leave free is lent.

use crate::clock::Millis;
use crate::contract::roster::Roster;
use crate::contract::work::Id;
use crate::ledger::shard::replica::Replica;
use crate::machine::capacity::Capacity;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Time for which a team may save up jobs that it did not send.
const RATE_INTERVAL: Millis = Millis::from_secs(1);
/// Time for which a step that waits for its team's quota keeps what is left of it from the team's other
/// work, while that leaves the team with under half of its quota in use; the others then have as long.
/// Work that could run must not wait for 3 s at such a time.
const KEEP: Millis = Millis(2500);
/// The same while more of the quota is in use: the time of the longest usual runs.
const LONG_KEEP: Millis = Millis::from_secs(10);
/// Half of the whole, in the unit of [`Capacity::dominant`].
const HALF: u64 = 500_000;
/// One job, in the unit of [`Account::saved`].
const JOB: u64 = 1000;

/// The account of one team.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Account {
    team: Name,
    /// Jobs a second that the team is owed, and its weight among the teams.
    weight: u32,
    /// Limit of `used`; `None` for a team that the configuration did not name yet.
    quota: Option<Capacity>,
    /// Capacity of its runs whose end or loss is not recorded.
    used: Capacity,
    /// Jobs that it may send now within its rate, in thousandths.
    saved: u64,
    /// When `saved` was last computed.
    saved_at: Millis,
    /// Jobs that arrived since their shares were last asked for, and those of them beyond the rate.
    judged: (u32, u32),
    /// Whether it has runs or waiting tasks.
    is_active: bool,
    /// Whether it uses more than its share of the workers.
    is_over_share: bool,
    /// Since when one of its steps waits for more of the quota than is left, pass after pass.
    waits_since: Option<Millis>,
    /// Whether one does in this pass.
    waits: bool,
}

/// A job that was accepted for a team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Arrival {
    pub(super) at: Millis,
    pub(super) job: Id,
    pub(super) team: Name,
}

/// The accounts of all teams.
#[derive(Clone, Debug, Default)]
pub(super) struct Accounts {
    /// Sorted by team. A team that the configuration no longer names keeps its last quota.
    list: Vec<Account>,
    /// Whether a configuration was read.
    is_known: bool,
    /// When the last job of any team arrived, and the time before it without one.
    arrived: Millis,
    silence: Millis,
    /// Jobs beyond the rate of their team, sorted.
    beyond: Vec<Id>,
    /// When the quota of a team is next kept for a step, or no longer is; see [`Self::keeps_quota`].
    next_turn: Option<Millis>,
}

impl Accounts {
    /// Sets weights and quotas. A lower quota stops no run; nothing starts until the rest fits.
    pub(super) fn update(&mut self, roster: &Roster) {
        self.is_known = true;
        for team in roster.teams() {
            let account = self.account_mut(&team.name);
            (account.weight, account.quota) = (team.weight, Some(team.quota));
        }
    }

    /// Adds the capacity of a run.
    pub(super) fn add(&mut self, team: &Name, needs: &Capacity) {
        let account = self.account_mut(team);
        account.used = account.used.plus(needs);
    }

    /// Subtracts the capacity of a run.
    pub(super) fn remove(&mut self, team: &Name, needs: &Capacity) {
        let account = self.account_mut(team);
        account.used = account.used.saturating_sub(needs);
    }

    /// Returns how many tasks of a team may start now, each with the given needs. None may before a
    /// configuration was read.
    pub(super) fn headroom(&self, team: Option<&Name>, needs: &Capacity) -> usize {
        let Some(team) = team else { return usize::MAX };
        if !self.is_known {
            return 0;
        }
        let Some(Account { quota: Some(quota), used, .. }) = self.account(team) else {
            return usize::MAX;
        };
        let left = quota.saturating_sub(used);
        if !left.holds(needs) {
            return 0;
        }
        usize::try_from(left.times_held(needs)).unwrap_or(usize::MAX)
    }

    /// Returns whether a team's quota can hold `needs` while nothing else of the team runs.
    pub(super) fn may_ever_run(&self, team: Option<&Name>, needs: &Capacity) -> bool {
        let account = team.and_then(|team| self.account(team));
        account.and_then(|account| account.quota).is_none_or(|quota| quota.holds(needs))
    }

    /// Notes that a step of a team waits for more of its quota than is left. Returns whether the rest is
    /// to be kept for it: a wide step would otherwise starve behind narrow ones. The turns change, as
    /// what the step waits for may be a run without an end, or no worker may suit it.
    pub(super) fn keeps_quota(&mut self, team: &Name, now: Millis) -> bool {
        let account = self.account_mut(team);
        account.waits = true;
        let since = *account.waits_since.get_or_insert(now);
        let used = account.quota.map_or(0, |quota| account.used.dominant(&quota));
        let turn = if used < HALF { KEEP } else { LONG_KEEP };
        let turns = now.since(since).get() / turn.get();
        let next = since + turn.times(turns + 1);
        self.next_turn = Some(self.next_turn.map_or(next, |turn| turn.min(next)));
        turns.is_multiple_of(2)
    }

    /// Returns whether a placement pass is due because a turn of [`Self::keeps_quota`] has ended.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        self.next_turn.is_some_and(|at| now >= at)
    }

    /// Begins a placement pass.
    pub(super) fn begin_pass(&mut self) {
        self.next_turn = None;
        for account in &mut self.list {
            account.waits_since = account.waits_since.filter(|_| account.waits);
            account.waits = false;
        }
    }

    /// Judges jobs that arrived since the last call, in any order, by the rate of their teams. A time
    /// in which no job of any team arrived counts for the rate: the log could not be read, and the jobs
    /// were sent meanwhile.
    pub(super) fn judge(&mut self, mut arrivals: Vec<Arrival>) {
        arrivals.sort_unstable();
        for Arrival { at, job, team } in arrivals {
            if at > self.arrived {
                let is_first = self.arrived == Millis::ZERO;
                self.silence = if is_first { Millis::ZERO } else { at.since(self.arrived) };
                self.arrived = at;
            }
            let silence = self.silence;
            let account = self.account_mut(&team);
            if account.quota.is_none() {
                continue;
            }
            let rate = u64::from(account.weight);
            // The weight is in jobs a second, so in thousandths of a job a millisecond.
            let most = rate.saturating_mul(RATE_INTERVAL.max(silence).get());
            let gained = rate.saturating_mul(at.since(account.saved_at).get());
            account.saved = account.saved.saturating_add(gained).min(most);
            account.saved_at = account.saved_at.max(at);
            account.judged.0 += 1;
            account.judged.1 += u32::from(account.saved < JOB);
            if account.saved >= JOB {
                account.saved -= JOB;
            } else if let Err(i) = self.beyond.binary_search(&job) {
                self.beyond.insert(i, job);
            }
        }
    }

    /// Returns whether a job is beyond the rate of its team.
    pub(super) fn is_beyond(&self, job: Id) -> bool {
        self.beyond.binary_search(&job).is_ok()
    }

    /// Returns the teams that sent jobs beyond their rates since the last call, sorted, each with the
    /// share of its jobs that were, in percent.
    pub(super) fn beyond_shares(&mut self) -> Vec<(Name, u32)> {
        let mut shares = Vec::new();
        for account in &mut self.list {
            let (judged, over) = std::mem::take(&mut account.judged);
            if let Some(share) = (over * 100).checked_div(judged).filter(|share| *share > 0) {
                shares.push((account.team.clone(), share));
            }
        }
        shares
    }

    /// Returns the number of open jobs beyond the rates of their teams.
    pub(super) const fn beyond_count(&self) -> usize {
        self.beyond.len()
    }

    /// Forgets jobs that have ended.
    pub(super) fn forget_ended(&mut self, replica: &Replica) {
        self.beyond.retain(|job| !replica.has_ended(*job));
    }

    /// Computes which teams use more than their shares of `whole`: the weight of a team among those
    /// with runs or waiting tasks, of the resource of which it uses most.
    pub(super) fn update_shares<'a>(
        &mut self,
        whole: &Capacity,
        waiting: impl Iterator<Item = &'a Name>,
    ) {
        for account in &mut self.list {
            account.is_active = account.used != Capacity::ZERO;
        }
        for team in waiting {
            self.account_mut(team).is_active = true;
        }
        let active = self.list.iter().filter(|a| a.is_active);
        let weights: u64 = active.map(|a| u64::from(a.weight)).sum();
        for account in &mut self.list {
            let share = u64::from(account.weight).saturating_mul(1_000_000);
            let used = account.used.dominant(whole).saturating_mul(weights);
            account.is_over_share = account.is_active && used > share;
        }
    }

    /// Returns whether a team uses more than its share.
    pub(super) fn is_over_share(&self, team: Option<&Name>) -> bool {
        team.and_then(|team| self.account(team)).is_some_and(|account| account.is_over_share)
    }

    /// Returns whether no team is known.
    pub(super) const fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    fn account(&self, team: &Name) -> Option<&Account> {
        let i = self.list.binary_search_by(|a| a.team.cmp(team)).ok()?;
        Some(&self.list[i])
    }

    fn account_mut(&mut self, team: &Name) -> &mut Account {
        let i = match self.list.binary_search_by(|a| a.team.cmp(team)) {
            Ok(i) => i,
            Err(i) => {
                self.list.insert(i, Account::new(team));
                i
            }
        };
        &mut self.list[i]
    }
}

impl Account {
    fn new(team: &Name) -> Self {
        Self {
            team: team.clone(),
            weight: 1,
            quota: None,
            used: Capacity::ZERO,
            saved: 0,
            saved_at: Millis::ZERO,
            judged: (0, 0),
            is_active: false,
            is_over_share: false,
            waits_since: None,
            waits: false,
        }
    }
}
