//! A worker as the owner of its shard sees it.
//!
//! The owner alone gives a worker orders, so what it counts as used is exact. A worker takes part
//! in placement only after it answered under the owner's epoch: until then it may hold runs of
//! which an older owner was not told.

use crate::clock::Millis;
use crate::ledger::shard::Life;
use crate::machine::capacity::Capacity;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Failed runs in a row after which a worker is avoided.
const STRIKES: u32 = 3;
/// How long a worker is avoided the first time; doubles up to [`MAX_AVOID`].
const AVOID: Millis = Millis::from_secs(3);
/// Longest time for which a worker is avoided.
const MAX_AVOID: Millis = Millis::from_secs(12);
/// How much slower than its nominal rate a worker's clock may be, in thousandths; the platform
/// allows 20.
const DRIFT_MILLI: u64 = 30;
/// Allowance for the delivery of an order and for timers, on top of the drift.
const LAPSE_MARGIN: Millis = Millis(400);

/// What the list says of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The worker, in its present life.
    pub life: Life,
    /// Where it takes orders, IP number and port.
    pub address: Box<str>,
    /// The pool that it belongs to.
    pub pool: Box<str>,
    /// Whether it is about to leave and takes no new work.
    pub draining: bool,
    /// What it has in all.
    pub capacity: Capacity,
    /// Its kind and its rack, among others.
    pub labels: Vec<Box<str>>,
}

/// Returns how long after it was granted a lease has surely run out on its worker.
pub const fn lapse(lease: Millis) -> Millis {
    let slow = lease.get() * DRIFT_MILLI / 1000;
    Millis(lease.get() + slow + LAPSE_MARGIN.get())
}

/// A worker's clock, anchored to the steady clock of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Anchor {
    /// Reading of the worker's clock when it sent an answer.
    worker: u64,
    /// Time at which the answer arrived.
    here: Millis,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Host {
    /// The worker in the life that is known.
    pub life: Arc<Life>,
    /// What the list says; the last word is kept when the worker vanishes from the list.
    pub listed: Listed,
    /// Whether the list has it now.
    pub is_listed: bool,
    /// Whether it answered in this life, under this epoch, and since the last failure.
    pub answers: bool,
    /// What its runs use, with those that are being stopped.
    pub used: Capacity,
    /// Number of its runs, with those that are being stopped.
    pub runs: usize,
    /// Number of the call in flight that looks at it, if any.
    pub looking: Option<u64>,
    /// When to look next.
    pub next_look: Millis,
    /// Looks in a row that got no answer.
    pub misses: u32,
    /// The last end that is recorded.
    pub noted: u64,
    /// The last end that is being recorded.
    pub noting: u64,
    anchor: Option<Anchor>,
    /// When every lease that was granted has surely run out.
    lapse_at: Millis,
    strikes: u32,
    avoids: u32,
    avoid_until: Millis,
}

impl Host {
    /// Returns a worker that has not answered yet. `lapse_at` is when leases that earlier owners
    /// granted have surely run out.
    pub fn new(listed: Listed, noted: u64, now: Millis, lapse_at: Millis) -> Self {
        Self {
            life: Arc::new(listed.life.clone()),
            listed,
            is_listed: true,
            answers: false,
            used: Capacity::ZERO,
            runs: 0,
            looking: None,
            next_look: now,
            misses: 0,
            noted,
            noting: noted,
            anchor: None,
            lapse_at,
            strikes: 0,
            avoids: 0,
            avoid_until: Millis::ZERO,
        }
    }

    /// Returns what is free.
    pub const fn free(&self) -> Capacity {
        self.listed.capacity.saturating_sub(&self.used)
    }

    /// Returns whether new work may go there.
    pub fn takes_work(&self, now: Millis) -> bool {
        self.is_listed && self.answers && !self.listed.draining && now >= self.avoid_until
    }

    /// Returns whether it has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.listed.labels.iter().any(|l| &**l == label)
    }

    /// Counts a run in.
    pub const fn add(&mut self, needs: &Capacity) {
        self.used = self.used.plus(needs);
        self.runs += 1;
    }

    /// Counts a run out.
    pub const fn remove(&mut self, needs: &Capacity) {
        self.used = self.used.saturating_sub(needs);
        self.runs = self.runs.saturating_sub(1);
    }

    /// Takes in the reading of its clock that came with an answer.
    pub fn anchor(&mut self, clock: u64, now: Millis) {
        if self.anchor.is_none_or(|a| clock > a.worker) {
            self.anchor = Some(Anchor { worker: clock, here: now });
        }
    }

    /// Grants a lease of `lease` from `now`; returns when it ends on the worker's clock, `None`
    /// while that clock is unknown.
    pub fn grant(&mut self, lease: Millis, now: Millis) -> Option<u64> {
        let anchor = self.anchor?;
        let elapsed = now.since(anchor.here);
        let ends = anchor.worker + elapsed.get() + lease.get();
        self.lapse_at = self.lapse_at.max(anchor.here + lapse(elapsed + lease));
        Some(ends)
    }

    /// Takes in that the worker obeys this epoch: earlier owners can't extend leases any more, so
    /// none lasts longer than one granted now.
    pub fn confirm(&mut self, lease: Millis, now: Millis) {
        self.lapse_at = self.lapse_at.min(now + lapse(lease));
    }

    /// Returns whether every lease that was granted has run out.
    pub fn has_lapsed(&self, now: Millis) -> bool {
        now >= self.lapse_at
    }

    /// Notes that a run failed there.
    pub fn strike(&mut self, now: Millis) {
        self.strikes += 1;
        if self.strikes >= STRIKES {
            self.strikes = 0;
            self.avoid_until = now + MAX_AVOID.min(AVOID.times(1 << self.avoids.min(4)));
            self.avoids += 1;
        }
    }

    /// Notes that it is not worth trying for a moment.
    pub fn avoid(&mut self, until: Millis) {
        self.avoid_until = self.avoid_until.max(until);
    }

    /// Notes that a run was done there.
    pub const fn clear_strikes(&mut self) {
        self.strikes = 0;
        self.avoids = 0;
    }
}
