//! Guaranteed shares of the urgency classes, and what of them is lent while it is unused.
//!
//! The share of a class is split among the teams that are active in it, by weight. A team within
//! its part goes before all others. Beyond it, it may use what others leave, but not the room
//! that other teams are likely to need soon: what they used lately, up to their parts, is kept
//! free for them. Work that can't be checkpointed stays out of the shares of other classes.
//!
//! A steward knows its own teams exactly. Stewards gossip their [`Totals`], so that shares and
//! parts are weighed over the whole fleet.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::configuration::{Shares, Weights};
use crate::machine::capacity::Capacity;
use crate::name::Name;
use serde::{Deserialize, Serialize};

const CLASSES: usize = Class::ALL.len();
/// Time after which the peak of a team counts half.
const PEAK_HALF_LIFE: Millis = Millis::from_secs(120);
/// Room that is kept above the recent peak of a team, in percent of the peak.
const PEAK_MARGIN_PERCENT: u64 = 20;
/// Half-lives without demand after which a team is no longer active.
const IDLE: u8 = 2;
/// Totals of a peer that were not renewed for this long are left out.
const GOSSIP_LIFE: Millis = Millis::from_secs(15);

/// What one steward's teams use and need, by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Claimed and running.
    pub used: [Capacity; CLASSES],
    /// Of that, what can't be checkpointed to make room.
    pub firm: [Capacity; CLASSES],
    /// Declared needs of waiting work, as far as its teams are within their parts.
    pub needy: [Capacity; CLASSES],
    /// What teams used lately and don't use now, up to their parts.
    pub likely: [Capacity; CLASSES],
    /// Sum of the weights of the teams that are active in the class.
    pub weights: [u32; CLASSES],
}

/// What one team uses and waits for in one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct Account {
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Expected work of these, in millionths of the fleet times milliseconds.
    pub work: u64,
    /// Declared needs of these.
    waiting: Capacity,
    /// What is claimed and running.
    used: Capacity,
    /// Recent peak of what waits and is used.
    peak: Capacity,
    /// Half-lives without any demand, so far.
    idle: u8,
}

impl Account {
    fn demand(&self) -> Capacity {
        self.used.plus(&self.waiting)
    }

    fn raise(&mut self) {
        self.peak = self.peak.greatest(&self.demand());
        self.idle = 0;
    }

    fn decay(&mut self) {
        let demand = self.demand();
        self.peak = self.peak.percent(50).greatest(&demand);
        self.idle = if demand == Capacity::ZERO { self.idle.saturating_add(1) } else { 0 };
        if self.idle > IDLE {
            self.peak = Capacity::ZERO;
        }
    }

    /// Returns what the team used lately and doesn't use now, up to its part.
    fn likely(&self, part: &Capacity) -> Capacity {
        let peak = self.peak.percent(100 + PEAK_MARGIN_PERCENT);
        peak.least(part).saturating_sub(&self.used)
    }

    fn is_active(&self) -> bool {
        self.peak != Capacity::ZERO
    }
}

/// What the shares are parts of.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Guaranteed shares.
    pub shares: Shares,
    /// Weights of placement.
    pub weights: Weights,
    /// Capacity of all workers that may get work.
    pub total: Capacity,
    /// Free capacity of these workers.
    pub free: Capacity,
}

/// The totals of a peer.
#[derive(Clone, Debug)]
struct Peer {
    name: Name,
    totals: Totals,
    at: Millis,
}

/// Usage of the fleet by class and, of this steward's teams, by team.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: Totals,
    /// Weight and accounts by number of the team.
    teams: Vec<(u32, [Account; CLASSES])>,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Sum of the weights of active teams, peers' included, by class.
    weights: [u64; CLASSES],
    /// What is kept free for teams within their parts, peers' included.
    kept: Capacity,
    decayed_at: Millis,
}

impl Usage {
    /// Returns this steward's totals, to be sent to its peers.
    pub const fn totals(&self) -> &Totals {
        &self.own
    }

    /// Takes in the totals of a peer.
    pub fn gossip(&mut self, name: &Name, totals: &Totals, now: Millis) {
        match self.peers.binary_search_by(|p| p.name.cmp(name)) {
            Ok(i) => (self.peers[i].totals, self.peers[i].at) = (*totals, now),
            Err(i) => {
                self.peers.insert(i, Peer { name: name.clone(), totals: *totals, at: now });
            }
        }
    }

    /// Returns the number of peers that were heard lately.
    pub const fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Sets the weight of a team.
    pub fn weigh(&mut self, team: u16, weight: u32) {
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

    /// Adds tasks that wait: each with a declared need and expected work.
    pub fn wait(&mut self, class: Class, team: u16, needs: &Capacity, work: u64, count: u32) {
        let account = self.account_mut(class, team);
        account.tasks += count;
        account.work = account.work.saturating_add(work.saturating_mul(u64::from(count)));
        account.waiting = account.waiting.plus(&needs.times(u64::from(count)));
        account.raise();
    }

    /// Removes tasks that waited.
    pub fn unwait(&mut self, class: Class, team: u16, needs: &Capacity, work: u64, count: u32) {
        let account = self.account_mut(class, team);
        account.tasks = account.tasks.saturating_sub(count);
        account.work = account.work.saturating_sub(work.saturating_mul(u64::from(count)));
        account.waiting = account.waiting.saturating_sub(&needs.times(u64::from(count)));
    }

    /// Adds work that was placed.
    pub fn take(&mut self, class: Class, team: u16, needs: &Capacity, preemptible: bool) {
        let account = self.account_mut(class, team);
        account.used = account.used.plus(needs);
        account.raise();
        let (used, firm) = (&mut self.own.used[class.index()], &mut self.own.firm[class.index()]);
        *used = used.plus(needs);
        if !preemptible {
            *firm = firm.plus(needs);
        }
    }

    /// Removes work that ended.
    pub fn give(&mut self, class: Class, team: u16, needs: &Capacity, preemptible: bool) {
        let account = self.account_mut(class, team);
        account.used = account.used.saturating_sub(needs);
        let (used, firm) = (&mut self.own.used[class.index()], &mut self.own.firm[class.index()]);
        *used = used.saturating_sub(needs);
        if !preemptible {
            *firm = firm.saturating_sub(needs);
        }
    }

    /// Lets time pass: peaks decay and silent peers are forgotten.
    pub fn tick(&mut self, now: Millis) {
        self.peers.retain(|p| now.since(p.at) <= GOSSIP_LIFE);
        if now.since(self.decayed_at) >= PEAK_HALF_LIFE {
            self.decayed_at = now;
            self.teams.iter_mut().flat_map(|(_, accounts)| accounts).for_each(Account::decay);
        }
    }

    /// Brings what depends on all teams up to date: parts, and what is kept for them.
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
        self.kept = likely.percent(u64::from(fleet.weights.waiting));
    }

    /// Returns what a class uses in the whole fleet.
    pub fn used(&self, class: Class) -> Capacity {
        self.sum(|totals| &totals.used[class.index()])
    }

    /// Returns what waits at peers within the parts of its teams.
    pub fn needy_at_peers(&self, class: Class) -> Capacity {
        let needy = self.peers.iter().map(|p| &p.totals.needy[class.index()]);
        needy.fold(Capacity::ZERO, |sum, n| sum.plus(n))
    }

    /// Returns whether a team of this steward waits in a class, within its part.
    pub fn is_needy(&self, class: Class) -> bool {
        self.own.needy[class.index()] != Capacity::ZERO
    }

    /// Returns whether a team stays within its part of a class with `needs` more.
    pub fn is_within(&self, class: Class, team: u16, needs: &Capacity, fleet: &Fleet) -> bool {
        let (weight, accounts) = &self.teams[usize::from(team)];
        self.part(class, *weight, fleet).holds(&accounts[class.index()].used.plus(needs))
    }

    /// Returns a team's part of a class, in millionths of the fleet, its own weight included.
    pub fn rate(&self, class: Class, team: u16, fleet: &Fleet) -> u64 {
        let (weight, accounts) = &self.teams[usize::from(team)];
        let own = if accounts[class.index()].is_active() { 0 } else { *weight };
        let weights = self.weights[class.index()] + u64::from(own);
        let share = u64::from(fleet.shares.of(class)) * 10_000;
        share * u64::from(*weight) / weights.max(1)
    }

    /// Returns whether a team may place `needs` now, as far as the parts of the others go.
    ///
    /// Within its own part it always may. Beyond it, work that can be checkpointed must leave
    /// free what the others are likely to need soon; other work must leave the whole shares of
    /// the other classes, used or not, to work that can give them back.
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
            return fleet.free.holds(&needs.plus(&self.kept.saturating_sub(&own)));
        }
        let share = |class: Class| fleet.total.percent(u64::from(fleet.shares.of(class)));
        let firm = self.firm(class).plus(needs);
        let others = Class::ALL.into_iter().filter(|&other| other != class);
        let taken = others.fold(firm, |sum, c| sum.plus(&share(c).greatest(&self.firm(c))));
        fleet.total.holds(&taken)
    }

    /// Returns the part of a class's share that a weight makes.
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
