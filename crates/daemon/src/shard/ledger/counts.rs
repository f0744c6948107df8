//! Counts of callers' entries that wait for the store, for the metrics.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Counts of one daemon, written by its ledger duty.
#[derive(Debug, Default)]
pub struct Counts {
    held: AtomicUsize,
    waiting: AtomicUsize,
    is_open: AtomicBool,
    let_go: AtomicU64,
    flushed: AtomicU64,
}

impl Counts {
    /// Returns each count with its name: entries held as the owner, entries that wait for an owner, 1
    /// while the breaker is open, and totals of entries that were let go and that were stored after an
    /// outage.
    pub fn values(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("held", self.held.load(Ordering::Relaxed) as u64),
            ("waiting", self.waiting.load(Ordering::Relaxed) as u64),
            ("open", u64::from(self.is_open.load(Ordering::Relaxed))),
            ("let go", self.let_go.load(Ordering::Relaxed)),
            ("flushed", self.flushed.load(Ordering::Relaxed)),
        ]
    }

    /// Sets the number of entries held as the owner, and whether the breaker is open.
    pub(super) fn show(&self, held: usize, is_open: bool) {
        self.held.store(held, Ordering::Relaxed);
        self.is_open.store(is_open, Ordering::Relaxed);
    }

    /// Counts entries that were refused because they could not be stored in time.
    pub(super) fn let_go(&self, count: u64) {
        self.let_go.fetch_add(count, Ordering::Relaxed);
    }

    /// Counts entries that were stored after an outage.
    pub(super) fn flushed(&self, count: usize) {
        self.flushed.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Reserves places for entries that wait for an owner. Returns `false` when `most` are waiting.
    pub(super) fn reserve(&self, count: usize, most: usize) -> bool {
        let before = self.waiting.fetch_add(count, Ordering::Relaxed);
        let fits = before + count <= most;
        if !fits {
            self.release(count);
        }
        fits
    }

    /// Frees places of [`Self::reserve`].
    pub(super) fn release(&self, count: usize) {
        self.waiting.fetch_sub(count, Ordering::Relaxed);
    }
}
