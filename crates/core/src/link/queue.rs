//! The queue in which attempts wait for a slot, prioritized by class.
//!
//! The most urgent class is served first. Each other class earns a share of the grants while it
//! waits, so that a burst of more urgent attempts can't starve it.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Number of classes.
const CLASSES: usize = Class::ALL.len();
/// Credit that each class earns per grant to another class while it waits, in thousandths of a
/// grant.
const SHARES: [u64; CLASSES] = [0, 200, 100];
/// Credit that entitles a class to the next grant.
const GRANT: u64 = 1000;
/// Limit on the waiting attempts per class that are examined for one that can be granted.
const LOOK_AHEAD: usize = 16;

/// A waiting attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Number that identifies it to its owner.
    pub ticket: u64,
    /// Priority class of the request.
    pub class: Class,
    /// Name of the attempt.
    pub attempt: Name,
    /// Runners that already got the request; used only if there is no other.
    pub tried: Vec<Name>,
    /// Runner chosen by another instance, if that instance forwarded the attempt.
    pub forwarded: Option<Name>,
    /// Instant by which the caller expects a response.
    pub deadline: Millis,
    /// Instant at which it stops waiting.
    pub until: Millis,
}

/// The queue of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// By class in the order of [`Class::ALL`], then in order of arrival.
    waiting: [Vec<Waiter>; CLASSES],
    /// Credit of each class, in thousandths of a grant.
    credit: [u64; CLASSES],
}

impl Queue {
    /// Appends an attempt to the queue of its class.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiting[waiter.class.index()].push(waiter);
    }

    /// Returns the number of waiting attempts of a class.
    pub const fn depth(&self, class: Class) -> usize {
        self.waiting[class.index()].len()
    }

    /// Returns how many waiting attempts would be served before a new one of the class, assuming
    /// that no more urgent one arrives later.
    pub fn ahead(&self, class: Class) -> usize {
        let own = self.depth(class);
        let others = Class::ALL.into_iter().filter(|c| *c != class);
        let from_others: usize = others
            .map(|other| {
                let waiting = self.depth(other);
                if other < class { waiting } else { waiting.min(own / 4) }
            })
            .sum();
        let share = SHARES[class.index()];
        match u64::try_from(own).unwrap_or(u64::MAX).saturating_mul(GRANT).checked_div(share) {
            // The class's share of the grants limits how many others are served before it.
            Some(bound) => from_others.min(usize::try_from(bound).unwrap_or(usize::MAX)) + own,
            None => from_others + own,
        }
    }

    /// Moves attempts whose waiting time has ended to `expired`.
    pub fn expire(&mut self, now: Millis, expired: &mut Vec<Waiter>) {
        for waiting in &mut self.waiting {
            expired.extend(waiting.extract_if(.., |w| w.until <= now));
        }
    }

    /// Removes the attempt with this ticket, if it is waiting.
    pub fn remove(&mut self, ticket: u64) {
        for waiting in &mut self.waiting {
            waiting.retain(|w| w.ticket != ticket);
        }
    }

    /// Removes and returns the next attempt for which `choose` finds a runner, with the choice.
    pub fn grant<T>(
        &mut self,
        mut choose: impl FnMut(&Waiter) -> Option<T>,
    ) -> Option<(Waiter, T)> {
        let mut order: Vec<usize> = (0..CLASSES).filter(|i| !self.waiting[*i].is_empty()).collect();
        // Classes with enough credit first, then by urgency, because the sort is stable.
        order.sort_by_key(|i| self.credit[*i] < GRANT);
        for i in order {
            let found = self.waiting[i]
                .iter()
                .take(LOOK_AHEAD)
                .enumerate()
                .find_map(|(j, waiter)| Some((j, choose(waiter)?)));
            if let Some((j, choice)) = found {
                let waiter = self.waiting[i].remove(j);
                self.update_credit(i);
                return Some((waiter, choice));
            }
        }
        None
    }

    /// Returns whether no attempt of any class is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(Vec::is_empty)
    }

    /// Updates the credits after a grant: the granted class pays for it, the other waiting classes
    /// earn their share, and classes without waiting attempts lose their credit.
    fn update_credit(&mut self, granted: usize) {
        self.credit[granted] = self.credit[granted].saturating_sub(GRANT);
        for (i, share) in SHARES.into_iter().enumerate() {
            if self.waiting[i].is_empty() {
                self.credit[i] = 0;
            } else if i != granted {
                self.credit[i] = (self.credit[i] + share).min(GRANT);
            }
        }
    }
}
