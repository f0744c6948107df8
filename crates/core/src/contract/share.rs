//! Guaranteed shares of the urgency classes, and lending of unused shares.
//!
//! The share of a class is divided among the teams that are active in it, in proportion to their
//! weights; the result is a team's part. A team within its part has precedence over teams beyond
//! theirs. Beyond its part, a team may use capacity that others leave free, except the capacity
//! that other teams are likely to need soon: their recent usage, up to their parts, is held back.
//! Work that can't be checkpointed must not use the shares of other classes.
//!
//! A steward knows the exact usage of its own teams only. Stewards gossip their [`Totals`], so that
//! shares and parts are computed over the whole fleet.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::configuration::{Shares, Weights};
use crate::machine::capacity::Capacity;
use crate::name::Name;
use serde::{Deserialize, Serialize};

const CLASSES: usize = Class::ALL.len();
/// Interval after which the recorded peak of a team is halved.
const PEAK_HALF_LIFE: Millis = Millis::from_secs(120);
/// Margin above the recent peak of a team that is held back as well, in percent of the peak.
const PEAK_MARGIN_PERCENT: u64 = 20;
/// Number of half-lives without demand after which a team is no longer active.
const MAX_IDLE_HALF_LIVES: u8 = 2;
/// Time after which the totals of a silent peer are discarded.
const GOSSIP_TTL: Millis = Millis::from_secs(15);

/// Usage and demand of one steward's teams, by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Capacity of claimed and running tasks.
    pub used: [Capacity; CLASSES],
    /// Part of `used` that is not preemptible.
    pub firm: [Capacity; CLASSES],
    /// Declared needs of waiting tasks, for each team up to the unused rest of its part.
    pub needy: [Capacity; CLASSES],
    /// Capacity that teams used recently but don't use now, for each team up to its part.
    pub likely: [Capacity; CLASSES],
    /// Sum of the weights of the teams that are active in the class.
    pub weights: [u32; CLASSES],
}

/// Usage and demand of one team in one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Expected work of the waiting tasks, in millionths of the fleet times milliseconds.
    pub work: u64,
    /// Declared needs of the waiting tasks.
    waiting: Capacity,
    /// Capacity of claimed and running tasks.
    used: Capacity,
    /// Decaying peak of `used` plus `waiting`.
    peak: Capacity,
    /// Number of consecutive half-lives at whose end there was no demand.
    idle_half_lives: u8,
}

impl Account {
    fn demand(&self) -> Capacity {
        self.used.plus(&self.waiting)
    }

    fn raise_peak(&mut self) {
        self.peak = self.peak.greatest(&self.demand());
        self.idle_half_lives = 0;
    }

    fn decay(&mut self) {
        let demand = self.demand();
        self.peak = self.peak.percent(50).greatest(&demand);
        self.idle_half_lives =
            if demand == Capacity::ZERO { self.idle_half_lives.saturating_add(1) } else { 0 };
        if self.idle_half_lives > MAX_IDLE_HALF_LIVES {
            self.peak = Capacity::ZERO;
        }
    }

    /// Returns the capacity that the team used recently but doesn't use now, up to its part.
    fn likely(&self, part: &Capacity) -> Capacity {
        let peak = self.peak.percent(100 + PEAK_MARGIN_PERCENT);
        peak.least(part).saturating_sub(&self.used)
    }

    fn is_active(&self) -> bool {
        self.peak != Capacity::ZERO
    }
}

/// Capacity of the fleet and the configuration by which it is shared.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Guaranteed shares of the classes.
    pub shares: Shares,
    /// Weights of the placement objectives.
    pub weights: Weights,
    /// Total capacity of all workers that are not leaving.
    pub total: Capacity,
    /// Capacity that can be claimed now, on all workers together.
    pub free: Capacity,
}

/// The last totals received from a peer.
#[derive(Clone, Debug)]
struct Peer {
    name: Name,
    totals: Totals,
    at: Millis,
}

/// Usage of the fleet by class, and for this steward's teams also by team.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: Totals,
    /// Weight and accounts, indexed by team number.
    teams: Vec<(u32, [Account; CLASSES])>,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Sum of the weights of active teams by class, including those of peers.
    weights: [u64; CLASSES],
    /// Capacity held back for teams within their parts, including those of peers.
    held_back: Capacity,
    decayed_at: Millis,
}

impl Usage {
    /// Returns this steward's totals, to be sent to its peers.
    pub const fn totals(&self) -> &Totals {
        &self.own
    }

    /// Stores the totals of a peer.
    pub fn update_peer_totals(&mut self, name: &Name, totals: &Totals, now: Millis) {
        match self.peers.binary_search_by(|p| p.name.cmp(name)) {
            Ok(i) => (self.peers[i].totals, self.peers[i].at) = (*totals, now),
            Err(i) => {
                self.peers.insert(i, Peer { name: name.clone(), totals: *totals, at: now });
            }
        }
    }

    /// Returns the number of peers whose totals are younger than the time after which they are
    /// discarded.
    pub const fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Sets the weight of a team, and adds the team if it is new.
    pub fn set_weight(&mut self, team: u16, weight: u32) {
        let team = usize::from(team);
        if self.teams.len() <= team {
            self.teams.resize(team + 1, (1, [Account::default(); CLASSES]));
        }
        self.teams[team].0 = weight;
    }

    /// Returns the account of a team in a class.
    pub fn account(&self, class: Class, team: u16) -> &Account {
        &self.teams[usize::from(team)].1[class.index()]
    }

    /// Adds `count` waiting tasks, each with the declared needs and the expected work.
    pub fn add_waiting(
        &mut self,
        class: Class,
        team: u16,
        needs: &Capacity,
        work: u64,
        count: u32,
    ) {
        let account = self.account_mut(class, team);
        account.tasks += count;
        account.work = account.work.saturating_add(work.saturating_mul(u64::from(count)));
        account.waiting = account.waiting.plus(&needs.times(u64::from(count)));
        account.raise_peak();
    }

    /// Removes `count` waiting tasks.
    pub fn remove_waiting(
        &mut self,
        class: Class,
        team: u16,
        needs: &Capacity,
        work: u64,
        count: u32,
    ) {
        let account = self.account_mut(class, team);
        account.tasks = account.tasks.saturating_sub(count);
        account.work = account.work.saturating_sub(work.saturating_mul(u64::from(count)));
        account.waiting = account.waiting.saturating_sub(&needs.times(u64::from(count)));
    }

    /// Adds the capacity of a placed task.
    pub fn add_used(&mut self, class: Class, team: u16, needs: &Capacity, preemptible: bool) {
        let account = self.account_mut(class, team);
        account.used = account.used.plus(needs);
        account.raise_peak();
        let (used, firm) = (&mut self.own.used[class.index()], &mut self.own.firm[class.index()]);
        *used = used.plus(needs);
        if !preemptible {
            *firm = firm.plus(needs);
        }
    }

    /// Removes the capacity of a task that has ended.
    pub fn remove_used(&mut self, class: Class, team: u16, needs: &Capacity, preemptible: bool) {
        let account = self.account_mut(class, team);
        account.used = account.used.saturating_sub(needs);
        let (used, firm) = (&mut self.own.used[class.index()], &mut self.own.firm[class.index()]);
        *used = used.saturating_sub(needs);
        if !preemptible {
            *firm = firm.saturating_sub(needs);
        }
    }

    /// Applies the passage of time: peaks decay, and the totals of silent peers are discarded.
    pub fn tick(&mut self, now: Millis) {
        self.peers.retain(|p| now.since(p.at) <= GOSSIP_TTL);
        if now.since(self.decayed_at) >= PEAK_HALF_LIFE {
            self.decayed_at = now;
            self.teams.iter_mut().flat_map(|(_, accounts)| accounts).for_each(Account::decay);
        }
    }

    /// Recomputes the values that depend on all teams: sums of weights, demand within the parts and
    /// the capacity held back.
    pub fn refresh(&mut self, fleet: &Fleet) {
        for class in Class::ALL {
            let i = class.index();
            let active = self.teams.iter().filter(|(_, accounts)| accounts[i].is_active());
            self.own.weights[i] = active.map(|(weight, _)| weight).sum();
            let peers = self.peers.iter().map(|p| u64::from(p.totals.weights[i]));
            self.weights[i] = u64::from(self.own.weights[i]) + peers.sum::<u64>();
            let (mut needy, mut likely) = (Capacity::ZERO, Capacity::ZERO);
            for team in 0..self.teams.len() {
                let (weight, accounts) = &self.teams[team];
                let account = &accounts[i];
                if account.is_active() {
                    let part = self.part(class, *weight, fleet);
                    let left = part.saturating_sub(&account.used);
                    needy = needy.plus(&account.waiting.least(&left));
                    likely = likely.plus(&account.likely(&part));
                }
            }
            (self.own.needy[i], self.own.likely[i]) = (needy, likely);
        }
        let classes = || Class::ALL.iter();
        let likely = classes().map(|&class| self.sum(|totals| &totals.likely[class.index()]));
        let likely = likely.fold(Capacity::ZERO, |sum, c| sum.plus(&c));
        self.held_back = likely.percent(u64::from(fleet.weights.waiting));
    }

    /// Returns the usage of a class in the whole fleet.
    pub fn used(&self, class: Class) -> Capacity {
        self.sum(|totals| &totals.used[class.index()])
    }

    /// Returns the waiting demand of the peers' teams within their parts of a class.
    pub fn needy_at_peers(&self, class: Class) -> Capacity {
        let needy = self.peers.iter().map(|p| &p.totals.needy[class.index()]);
        needy.fold(Capacity::ZERO, |sum, n| sum.plus(n))
    }

    /// Returns whether a team of this steward has waiting tasks within its part of a class.
    pub fn is_needy(&self, class: Class) -> bool {
        self.own.needy[class.index()] != Capacity::ZERO
    }

    /// Returns whether a team's usage of a class plus `needs` is within its part.
    pub fn is_within(&self, class: Class, team: u16, needs: &Capacity, fleet: &Fleet) -> bool {
        let (weight, accounts) = &self.teams[usize::from(team)];
        self.part(class, *weight, fleet).holds(&accounts[class.index()].used.plus(needs))
    }

    /// Returns a team's part of a class in millionths of the fleet, as if the team were active.
    pub fn rate(&self, class: Class, team: u16, fleet: &Fleet) -> u64 {
        let (weight, accounts) = &self.teams[usize::from(team)];
        let own = if accounts[class.index()].is_active() { 0 } else { *weight };
        let weights = self.weights[class.index()] + u64::from(own);
        let share = u64::from(fleet.shares.of(class)) * 10_000;
        share * u64::from(*weight) / weights.max(1)
    }

    /// Returns whether the guarantees of other teams and classes allow a team to place `needs` now.
    ///
    /// Within its own part a team may always place. Beyond it, preemptible work must leave the
    /// capacity free that is held back for other teams. Work that is not preemptible must not use
    /// the shares of other classes, whether they are in use or not, as it can't be removed when
    /// those classes need them.
    pub fn allows(
        &self,
        class: Class,
        team: u16,
        needs: &Capacity,
        preemptible: bool,
        fleet: &Fleet,
    ) -> bool {
        if self.is_within(class, team, needs, fleet) {
            return true;
        }
        if preemptible {
            let (weight, accounts) = &self.teams[usize::from(team)];
            let left = self.part(class, *weight, fleet);
            let own = accounts[class.index()].likely(&left);
            let own = own.percent(u64::from(fleet.weights.waiting));
            return fleet.free.holds(&needs.plus(&self.held_back.saturating_sub(&own)));
        }
        let share = |class: Class| fleet.total.percent(u64::from(fleet.shares.of(class)));
        let firm = self.firm(class).plus(needs);
        let others = Class::ALL.into_iter().filter(|&other| other != class);
        let taken = others.fold(firm, |sum, c| sum.plus(&share(c).greatest(&self.firm(c))));
        fleet.total.holds(&taken)
    }

    /// Returns the part of a class's share that corresponds to a weight.
    fn part(&self, class: Class, weight: u32, fleet: &Fleet) -> Capacity {
        let weights = self.weights[class.index()].max(u64::from(weight)).max(1);
        let share = u64::from(fleet.shares.of(class)) * u64::from(weight);
        fleet.total.fraction(share, 100 * weights)
    }

    fn account_mut(&mut self, class: Class, team: u16) -> &mut Account {
        &mut self.teams[usize::from(team)].1[class.index()]
    }

    fn firm(&self, class: Class) -> Capacity {
        self.sum(|totals| &totals.firm[class.index()])
    }

    fn sum<'a>(&'a self, part: impl Fn(&'a Totals) -> &'a Capacity) -> Capacity {
        let peers = self.peers.iter().map(|p| part(&p.totals));
        peers.fold(*part(&self.own), |sum, p| sum.plus(p))
    }
}

#[cfg(test)]
mod tests;
