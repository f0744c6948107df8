//! The shard owner's view of one worker.
//!
//! Only the shard owner sends orders to a worker, so the usage counted here is exact. A worker is
//! eligible for placement only after it has answered under the owner's epoch: until then it may
//! hold runs whose start was never confirmed to a previous owner.

#[cfg(test)]
mod tests;

use crate::clock::Millis;
use crate::contract::work::{Job, Step};
use crate::ledger::shard::{Incarnation, Run};
use crate::machine::capacity::Capacity;
use crate::machine::speed::Speed;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Consecutive failed runs after which a worker is excluded from placement for a while.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// First exclusion period; it doubles up to [`MAX_EXCLUSION`].
const MIN_EXCLUSION: Millis = Millis::from_secs(3);
/// Longest exclusion period.
const MAX_EXCLUSION: Millis = Millis::from_secs(12);
/// Upper bound on how far a worker's clock may run slow, in thousandths; the platform allows up
/// to 20.
const CLOCK_DRIFT_PER_MILLE: u64 = 30;
/// Allowance for order delivery and timer delay, in addition to the clock drift.
const EXPIRY_MARGIN: Millis = Millis(400);
/// Usual upper bound of the time from a reading of a worker's clock to its arrival: a round trip
/// between regions, and a margin.
const READING_DELAY: Millis = Millis(300);
/// Largest such time with which a reading still shows the incarnation: the time-outs of an order and
/// of its repetition, and a margin for a busy process.
const MAX_READING_DELAY: Millis = Millis(1500);

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// The worker and its current incarnation.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
    /// Socket address to which orders are sent, as IP address and port.
    pub address: Box<str>,
    /// Name of the worker pool that it belongs to; a job's policy selects a pool.
    pub pool: Box<str>,
    /// Whether it is shutting down and accepts no new runs.
    pub draining: bool,
    /// Total capacity, whether in use or free.
    pub capacity: Capacity,
    /// Labels that steps can require, such as the machine type and the rack.
    pub labels: Vec<Box<str>>,
}

/// Returns the time after granting a lease by which it has expired on the worker, even if the
/// worker's clock runs slow by the assumed maximum.
pub const fn max_lease_lifetime(lease: Millis) -> Millis {
    let drift = lease.get() * CLOCK_DRIFT_PER_MILLE / 1000;
    Millis(lease.get() + drift + EXPIRY_MARGIN.get())
}

/// A reading of a worker's clock, paired with the monotonic clock of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockReference {
    /// Worker's clock when it sent a response.
    worker: u64,
    /// Local time at which the response arrived.
    local: Millis,
}

/// State of one worker: its list entry, usage, leases and recent failures.
#[derive(Clone, Debug)]
pub struct Host {
    /// The worker and the incarnation to which this state belongs.
    pub incarnation: Arc<Incarnation>,
    /// Last known list entry; kept when the worker disappears from the list.
    pub entry: WorkerEntry,
    /// Whether the most recent reading of the list contains it.
    pub is_listed: bool,
    /// Whether it has answered in this incarnation, under this epoch, and since the last failed
    /// call.
    pub is_responsive: bool,
    /// Capacity used by its runs, including those being stopped.
    pub used: Capacity,
    /// Number of releases of capacity on all workers up to the last one on this worker.
    pub last_release: u64,
    /// Its runs, including those being stopped; sorted.
    pub runs: Vec<Run>,
    /// Number of the status poll in flight, if any.
    pub poll_in_flight: Option<u64>,
    /// Time of the next status poll.
    pub next_poll: Millis,
    /// Consecutive status polls without a response.
    pub failed_polls: u32,
    /// Sequence number of the last ended run that is recorded in the log.
    pub recorded_end: u64,
    /// Sequence number of the last ended run that has been submitted to the log.
    pub submitted_end: u64,
    /// Whether the last report came from another incarnation, which is not listed yet.
    pub is_replaced: bool,
    /// Until when an order that got no answer may begin a run here, also after the worker has started
    /// anew. Until then the worker is polled even if no run is known there.
    pub watched_until: Millis,
    /// How fast it is, and how much of its runs fails.
    pub speed: Speed,
    clock: Option<ClockReference>,
    /// Time by which every lease granted so far has expired on the worker.
    leases_expire_at: Millis,
    /// Time by which every lease has expired that was granted to an earlier incarnation and that this
    /// one may have taken for its own.
    inherited_leases_expire_at: Millis,
    /// Failed runs since the last success or exclusion.
    consecutive_failures: u32,
    /// Exclusions since the last success.
    exclusions: u32,
    excluded_until: Millis,
}

impl Host {
    /// Returns the state of a worker that has not answered yet. `leases_expire_at` is the time by
    /// which leases granted by previous owners have expired.
    pub fn new(
        entry: WorkerEntry,
        recorded_end: u64,
        now: Millis,
        leases_expire_at: Millis,
    ) -> Self {
        Self {
            incarnation: Arc::new(entry.incarnation.clone()),
            entry,
            is_listed: true,
            is_responsive: false,
            used: Capacity::ZERO,
            last_release: 0,
            runs: Vec::new(),
            poll_in_flight: None,
            next_poll: now,
            failed_polls: 0,
            recorded_end,
            submitted_end: recorded_end,
            is_replaced: false,
            watched_until: Millis::ZERO,
            speed: Speed::default(),
            clock: None,
            leases_expire_at,
            inherited_leases_expire_at: Millis::ZERO,
            consecutive_failures: 0,
            exclusions: 0,
            excluded_until: Millis::ZERO,
        }
    }

    /// Returns the capacity not used by any run.
    pub const fn free(&self) -> Capacity {
        self.entry.capacity.saturating_sub(&self.used)
    }

    /// Returns whether new runs may be placed on the worker.
    pub fn takes_work(&self, now: Millis) -> bool {
        self.is_listed && self.is_responsive && !self.entry.draining && now >= self.excluded_until
    }

    /// Returns whether new runs of a step may be placed on the worker: it takes work, and has the pool
    /// and the label that the step requires.
    pub fn accepts(&self, job: &Job, step: &Step, now: Millis) -> bool {
        self.takes_work(now)
            && self.entry.pool == job.policy.pool
            && step.label.as_deref().is_none_or(|label| self.has_label(label))
    }

    /// Returns whether the worker's list entry carries `label`.
    pub fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|l| &**l == label)
    }

    /// Adds a run to the worker's usage.
    pub fn add(&mut self, run: Run, needs: &Capacity) {
        self.used = self.used.plus(needs);
        if let Err(at) = self.runs.binary_search(&run) {
            self.runs.insert(at, run);
        }
    }

    /// Subtracts a run from the worker's usage.
    pub fn remove(&mut self, run: &Run, needs: &Capacity) {
        self.used = self.used.saturating_sub(needs);
        if let Ok(at) = self.runs.binary_search(run) {
            self.runs.remove(at);
        }
    }

    /// Updates the clock reference from the worker's clock reading in a response. Readings older
    /// than the current reference are ignored.
    pub fn update_clock(&mut self, clock: u64, now: Millis) {
        if self.clock.is_none_or(|reference| clock > reference.worker) {
            self.clock = Some(ClockReference { worker: clock, local: now });
        }
    }

    /// Returns whether a clock reading that has just arrived certainly comes from this incarnation. It
    /// fits the reference, and is more than a later incarnation can show, whose clock has started anew
    /// after the worker gave that reference.
    pub fn is_own_clock(&self, clock: u64, now: Millis) -> bool {
        let Some(reference) = self.clock else { return false };
        let elapsed = now.since(reference.local).get();
        let tolerance = READING_DELAY.get() + elapsed * CLOCK_DRIFT_PER_MILLE / 1000;
        let expected = reference.worker + elapsed;
        let is_expected = clock <= expected + tolerance
            && clock + tolerance + MAX_READING_DELAY.get() >= expected;
        is_expected && clock > elapsed + tolerance
    }

    /// Extends the leases to those of orders for an earlier incarnation that this one may have accepted
    /// until `now`. It shortens them to `max_lease`, whatever end they name.
    pub fn inherit_leases(&mut self, max_lease: Millis, now: Millis) {
        let expire_at = now + max_lease_lifetime(max_lease);
        self.inherited_leases_expire_at = self.inherited_leases_expire_at.max(expire_at);
        self.leases_expire_at = self.leases_expire_at.max(expire_at);
    }

    /// Grants a lease of `lease` from `now`. Returns its end on the worker's clock, or `None` while
    /// that clock is unknown.
    pub fn grant(&mut self, lease: Millis, now: Millis) -> Option<u64> {
        let reference = self.clock?;
        let elapsed = now.since(reference.local);
        let ends = reference.worker + elapsed.get() + lease.get();
        self.leases_expire_at =
            self.leases_expire_at.max(reference.local + max_lease_lifetime(elapsed + lease));
        Some(ends)
    }

    /// Records that the worker has accepted this owner's epoch. Previous owners can no longer
    /// extend leases, so no existing lease outlasts one granted now, except for inherited ones.
    pub fn confirm(&mut self, lease: Millis, now: Millis) {
        let expire_at = self.leases_expire_at.min(now + max_lease_lifetime(lease));
        self.leases_expire_at = expire_at.max(self.inherited_leases_expire_at);
    }

    /// Handles that all leases of previous owners expire by `at`. Those of a worker that has answered
    /// this owner have expired before.
    pub fn limit_earlier_leases(&mut self, at: Millis) {
        if self.clock.is_none() {
            self.leases_expire_at =
                self.leases_expire_at.min(at).max(self.inherited_leases_expire_at);
        }
    }

    /// Returns whether every lease granted so far has expired on the worker.
    pub fn leases_expired(&self, now: Millis) -> bool {
        now >= self.leases_expire_at
    }

    /// Records a failed run. After `MAX_CONSECUTIVE_FAILURES` the worker is excluded from
    /// placement.
    pub fn record_failure(&mut self, now: Millis) {
        self.speed.record_failure(now);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
            self.consecutive_failures = 0;
            self.excluded_until =
                now + MAX_EXCLUSION.min(MIN_EXCLUSION.times(1 << self.exclusions.min(4)));
            self.exclusions += 1;
        }
    }

    /// Excludes the worker from placement at least until `until`.
    pub fn exclude_until(&mut self, until: Millis) {
        self.excluded_until = self.excluded_until.max(until);
    }

    /// Resets the failure count and the exclusion back-off after a successful run.
    pub const fn record_success(&mut self) {
        self.speed.record_success();
        self.consecutive_failures = 0;
        self.exclusions = 0;
    }
}
