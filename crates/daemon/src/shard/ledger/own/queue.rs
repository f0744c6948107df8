//! What the owner has to append: its own records in order, and callers' entries behind a breaker.

use super::Group;
use crate::ring::Receiver;
use crate::shard::ledger::counts::Counts;
use crate::shard::ledger::{Append, Intake, Stored};
use crate::shard::view;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::link::gate::Gate;
use std::collections::VecDeque;
use std::pin::pin;
use std::sync::Arc;
use tokio::time::sleep;

/// Maximum number of callers' entries that are held; a full link of callers brings fewer in the time
/// that callers wait.
const MAX_HELD: usize = 4096;
/// Maximum number of the steward's writes that wait here. Further ones wait in the ring.
const MAX_OWN: usize = 1024;
/// Time between two looks at the queue when nothing is due.
const IDLE: Millis = Millis(1000);

/// Writes of the owner that wait for their append.
pub(super) struct Queue {
    ring: Receiver<Append>,
    is_closed: bool,
    own: VecDeque<Append>,
    pub(super) gate: Gate<Intake>,
    counts: Arc<Counts>,
}

impl Queue {
    pub(super) fn new(ring: Receiver<Append>, counts: Arc<Counts>) -> Self {
        let (own, gate) = (VecDeque::new(), Gate::new(MAX_HELD));
        Self { ring, is_closed: false, own, gate, counts }
    }

    /// Waits until something may be appended. Returns `false` when the ring has closed and nothing is
    /// left.
    pub(super) async fn wait(&mut self) -> bool {
        loop {
            while self.own.len() < MAX_OWN
                && let Some(append) = self.ring.try_next()
            {
                self.put(append);
            }
            let now = view::now();
            self.let_go(now);
            if !self.own.is_empty() || self.gate.allowance(now) > 0 {
                return true;
            }
            if self.is_closed && self.gate.is_empty() {
                return false;
            }
            let probe_at = self.gate.breaker().probe_at().filter(|_| !self.gate.is_empty());
            let until = [probe_at, self.gate.next_release()].into_iter().flatten().min();
            let pause = until.map_or(IDLE, |until| until.since(now));
            tokio::select! {
                append = self.ring.next(), if !self.is_closed => self.received(append),
                () = sleep(pause.into()) => {}
            }
        }
    }

    /// Takes in what arrives while `work` goes on. Held callers that can't be served any more are
    /// refused; those whose entries are part of `work` get an unknown outcome at their deadline.
    pub(super) async fn during<F: Future>(&mut self, sent: &mut Vec<Intake>, work: F) -> F::Output {
        let mut work = pin!(work);
        loop {
            let now = view::now();
            self.let_go(now);
            sent.extract_if(.., |item| now >= item.until)
                .for_each(|item| item.answer(Stored::Unknown));
            let sent_until = sent.iter().map(|item| item.until).min();
            let until = [sent_until, self.gate.next_release()].into_iter().flatten().min();
            let pause = until.map_or(IDLE, |until| until.since(now));
            let has_place = !self.is_closed && self.own.len() < MAX_OWN;
            tokio::select! {
                output = &mut work => return output,
                append = self.ring.next(), if has_place => self.received(append),
                () = sleep(pause.into()) => {}
            }
        }
    }

    /// Takes the next write if it must be appended or carried out on its own.
    pub(super) fn take_single(&mut self) -> Option<Append> {
        let is_single =
            matches!(self.own.front(), Some(Append::Claim { .. } | Append::Snapshot { .. }));
        is_single.then(|| self.own.pop_front()).flatten()
    }

    /// Takes the next batch: the owner's records first, which leave room for callers' entries.
    pub(super) fn take_group(&mut self, now: Millis) -> Group {
        let mut group = Group::default();
        let allowance = self.gate.allowance(now);
        while !group.is_full() && (allowance == 0 || !group.is_mostly_full()) {
            let Some(Append::Own(_)) = self.own.front() else { break };
            let Some(Append::Own(records)) = self.own.pop_front() else { break };
            group.add_own(records);
        }
        for _ in 0..allowance {
            if group.is_full() {
                break;
            }
            let Some(item) = self.gate.take() else { break };
            group.add_entry(item);
        }
        self.publish();
        group
    }

    /// Holds an entry, or refuses it when it can't be served in time or too many are held.
    pub(super) fn hold(&mut self, item: Intake) {
        if let Err(item) = self.gate.put(view::now(), item.until, item) {
            self.counts.let_go(1);
            item.answer(Stored::No);
        }
    }

    /// Publishes the length of the queue and the state of the breaker.
    pub(super) fn publish(&self) {
        self.counts.show(self.gate.len(), self.gate.breaker().is_open());
    }

    fn received(&mut self, append: Option<Append>) {
        match append {
            Some(append) => self.put(append),
            None => self.is_closed = true,
        }
    }

    fn put(&mut self, append: Append) {
        match append {
            Append::Intake(item) => self.hold(item),
            other => self.own.push_back(other),
        }
        self.publish();
    }

    fn let_go(&mut self, now: Millis) {
        let mut count = 0;
        while let Some(item) = self.gate.let_go(now) {
            count += 1;
            item.answer(Stored::No);
        }
        if count > 0 {
            self.counts.let_go(count);
            let held = self.gate.len();
            tracing::debug!(count, held, "held entries let go: they can't be stored in time");
        }
        self.publish();
    }
}
