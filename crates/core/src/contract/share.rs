//! Guaranteed shares of the urgency classes, and what of them is lent while it is unused.
//!
//! A class below its share goes before all others. A class beyond it may use what others leave,
//! but only with work that can be checkpointed, and not the room that another class is likely to
//! need soon: what it used lately, up to its share, is kept free for it.
//!
//! A steward knows the usage of its own teams exactly. Stewards gossip their [`Totals`], so that
//! shares are weighed over the usage of the whole fleet.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::configuration::{Shares, Weights};
use crate::machine::capacity::Capacity;
use crate::name::Name;
use serde::{Deserialize, Serialize};

const CLASSES: usize = Class::ALL.len();
/// Time after which the peak of a class counts half.
const PEAK_HALF_LIFE: Millis = Millis::from_secs(120);
/// Room that is kept above the recent peak of a class, in percent of the peak.
const PEAK_MARGIN_PERCENT: u64 = 20;
/// Totals of a peer that were not renewed for this long are left out.
const GOSSIP_LIFE: Millis = Millis::from_secs(15);

/// What one steward's teams use and wait for, by class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    /// Claimed and running.
    pub used: [Capacity; CLASSES],
    /// Of that, what can't be checkpointed to make room.
    pub firm: [Capacity; CLASSES],
    /// Declared needs of what waits.
    pub waiting: [Capacity; CLASSES],
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

/// Usage of the fleet by class.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    own: Totals,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Recent peak of usage and waiting work, by class.
    peaks: [Capacity; CLASSES],
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

    /// Adds work that waits.
    pub fn wait(&mut self, class: Class, needs: &Capacity) {
        let waiting = &mut self.own.waiting[class.index()];
        *waiting = waiting.plus(needs);
        self.raise(class);
    }

    /// Removes work that waited.
    pub fn unwait(&mut self, class: Class, needs: &Capacity) {
        let waiting = &mut self.own.waiting[class.index()];
        *waiting = waiting.saturating_sub(needs);
    }

    /// Adds work that was placed.
    pub fn take(&mut self, class: Class, needs: &Capacity, preemptible: bool) {
        let used = &mut self.own.used[class.index()];
        *used = used.plus(needs);
        if !preemptible {
            let firm = &mut self.own.firm[class.index()];
            *firm = firm.plus(needs);
        }
        self.raise(class);
    }

    /// Removes work that ended.
    pub fn give(&mut self, class: Class, needs: &Capacity, preemptible: bool) {
        let used = &mut self.own.used[class.index()];
        *used = used.saturating_sub(needs);
        if !preemptible {
            let firm = &mut self.own.firm[class.index()];
            *firm = firm.saturating_sub(needs);
        }
    }

    /// Lets time pass: peaks decay and silent peers are forgotten.
    pub fn tick(&mut self, now: Millis) {
        self.peers.retain(|p| now.since(p.at) <= GOSSIP_LIFE);
        while now.since(self.decayed_at) >= PEAK_HALF_LIFE {
            let behind = now.since(self.decayed_at) > PEAK_HALF_LIFE.times(64);
            self.decayed_at = if behind { now } else { self.decayed_at + PEAK_HALF_LIFE };
            for class in Class::ALL {
                let half = if behind { 0 } else { 50 };
                self.peaks[class.index()] = self.peaks[class.index()].percent(half);
                self.raise(class);
            }
        }
    }

    /// Returns what a class uses in the whole fleet.
    pub fn used(&self, class: Class) -> Capacity {
        self.sum(|totals| &totals.used[class.index()])
    }

    /// Returns what waits at peers in a class.
    pub fn waiting_at_peers(&self, class: Class) -> Capacity {
        let waiting = self.peers.iter().map(|p| &p.totals.waiting[class.index()]);
        waiting.fold(Capacity::ZERO, |sum, w| sum.plus(w))
    }

    /// Returns whether a class uses less than its share in every resource.
    pub fn is_below(&self, class: Class, fleet: &Fleet) -> bool {
        let share = u64::from(fleet.shares.of(class)) * 10_000;
        self.used(class).dominant(&fleet.total) < share
    }

    /// Returns whether a class may place `needs` now, as far as the shares of the others go.
    ///
    /// Up to its own share it may always. Beyond it, work that can be checkpointed must leave
    /// free what the others are likely to need soon; other work must leave their whole shares,
    /// used or not, to work that can give them back.
    pub fn allows(&self, class: Class, needs: &Capacity, preemptible: bool, fleet: &Fleet) -> bool {
        let share = |class: Class| fleet.total.percent(u64::from(fleet.shares.of(class)));
        if share(class).holds(&self.used(class).plus(needs)) {
            return true;
        }
        let others = || Class::ALL.into_iter().filter(move |&other| other != class);
        if preemptible {
            let kept = others().fold(*needs, |sum, c| sum.plus(&self.kept(c, &share(c), fleet)));
            return fleet.free.holds(&kept);
        }
        let firm = self.firm(class).plus(needs);
        let taken = others().fold(firm, |sum, c| sum.plus(&share(c).greatest(&self.firm(c))));
        fleet.total.holds(&taken)
    }

    /// Returns what is kept free for a class: what it used or waited for lately and doesn't use
    /// now, up to its share, scaled by the weight of waiting time.
    fn kept(&self, class: Class, share: &Capacity, fleet: &Fleet) -> Capacity {
        let unused = share.saturating_sub(&self.used(class));
        let peak = self.peaks[class.index()].percent(100 + PEAK_MARGIN_PERCENT);
        let likely = peak.saturating_sub(&self.own.used[class.index()]);
        likely.least(&unused).percent(u64::from(fleet.weights.waiting))
    }

    fn firm(&self, class: Class) -> Capacity {
        self.sum(|totals| &totals.firm[class.index()])
    }

    fn sum<'a>(&'a self, part: impl Fn(&'a Totals) -> &'a Capacity) -> Capacity {
        let peers = self.peers.iter().map(|p| part(&p.totals));
        peers.fold(*part(&self.own), |sum, p| sum.plus(p))
    }

    fn raise(&mut self, class: Class) {
        let i = class.index();
        let demand = self.own.used[i].plus(&self.own.waiting[i]);
        self.peaks[i] = self.peaks[i].greatest(&demand);
    }
}

#[cfg(test)]
mod tests;
