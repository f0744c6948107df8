//! The bounded queue in which tries wait for a slot, ordered by class.
//!
//! The most urgent class goes first. Each other class that waits earns a share of the grants, so
//! that a flood of the most urgent can't starve it.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Number of classes.
const CLASSES: usize = Class::ALL.len();
/// Thousandths of the grants to which each class has a right while it waits.
const SHARES: [u64; CLASSES] = [0, 200, 100];
/// Credit that entitles a class to the next grant.
const GRANT: u64 = 1000;
/// Waiting tries of a class among which one that can go now is looked for.
const LOOK_AHEAD: usize = 16;

/// A try that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiter {
    /// Number by which its owner knows it.
    pub ticket: u64,
    /// Class of the request.
    pub class: Class,
    /// Name of the try.
    pub attempt: Name,
    /// Runners that are used only when there is no other.
    pub tried: Vec<Name>,
    /// Runner that another instance chose, for a try that was forwarded here.
    pub forwarded: Option<Name>,
    /// Instant by which the caller must have its answer.
    pub deadline: Millis,
    /// Instant after which it no longer waits.
    pub until: Millis,
}

/// The queue of one service.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// In the order of [`Class::ALL`], each in the order of arrival.
    waiting: [Vec<Waiter>; CLASSES],
    credit: [u64; CLASSES],
}

impl Queue {
    /// Adds a try.
    pub fn join(&mut self, waiter: Waiter) {
        self.waiting[waiter.class.index()].push(waiter);
    }

    /// Returns how many tries of a class wait.
    pub const fn depth(&self, class: Class) -> usize {
        self.waiting[class.index()].len()
    }

    /// Returns how many tries are served before a new one of the class, if none of a more urgent
    /// class comes later.
    pub fn ahead(&self, class: Class) -> usize {
        let own = self.depth(class);
        let others = Class::ALL.into_iter().filter(|c| *c != class);
        let before: usize = others
            .map(|other| {
                let waiting = self.depth(other);
                if other < class { waiting } else { waiting.min(own / 4) }
            })
            .sum();
        let share = SHARES[class.index()];
        match u64::try_from(own).unwrap_or(u64::MAX).saturating_mul(GRANT).checked_div(share) {
            // The class's own share bounds its wait.
            Some(bound) => before.min(usize::try_from(bound).unwrap_or(usize::MAX)) + own,
            None => before + own,
        }
    }

    /// Takes out the tries that no longer wait, or whose owner has gone.
    pub fn expire(&mut self, now: Millis, expired: &mut Vec<Waiter>) {
        for waiting in &mut self.waiting {
            expired.extend(waiting.extract_if(.., |w| w.until <= now));
        }
    }

    /// Takes out a try, because its owner has gone.
    pub fn leave(&mut self, ticket: u64) {
        for waiting in &mut self.waiting {
            waiting.retain(|w| w.ticket != ticket);
        }
    }

    /// Takes out the next try for which `choose` finds a runner.
    pub fn grant<T>(
        &mut self,
        mut choose: impl FnMut(&Waiter) -> Option<T>,
    ) -> Option<(Waiter, T)> {
        let mut order: Vec<usize> = (0..CLASSES).filter(|i| !self.waiting[*i].is_empty()).collect();
        // Classes with enough credit first, then by urgency; the sort is stable.
        order.sort_by_key(|i| self.credit[*i] < GRANT);
        for i in order {
            let found = self.waiting[i]
                .iter()
                .take(LOOK_AHEAD)
                .enumerate()
                .find_map(|(j, waiter)| Some((j, choose(waiter)?)));
            if let Some((j, choice)) = found {
                let waiter = self.waiting[i].remove(j);
                self.credited(i);
                return Some((waiter, choice));
            }
        }
        None
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(Vec::is_empty)
    }

    /// Gives each waiting class its share of a grant, and takes the grant from the class that got
    /// it. A class that doesn't wait has no credit.
    fn credited(&mut self, granted: usize) {
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
