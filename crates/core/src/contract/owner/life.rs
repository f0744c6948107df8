//! Lives of workers: what begins with a new one, and what is over with an old one.

use super::order::Why;
use super::{ADOPTED, Owner, Phase, Running};
use crate::clock::Millis;
use crate::ledger::shard::book::Book;
use crate::ledger::shard::{Life, Run};
use crate::machine::host::{Host, Listed};
use std::sync::Arc;

impl Owner {
    pub(super) fn host_of(&self, listed: Listed, book: &Book, now: Millis) -> Host {
        let mut host = Host::new(listed, 0, now, self.clear_at);
        host.noted = book.noted(&host.life);
        host.noting = host.noted;
        let life = Arc::clone(&host.life);
        self.runs.iter().filter(|r| r.on == life).for_each(|r| host.add(&r.needs));
        host
    }

    /// The worker has a new life. What the old one had is settled when the new one answers.
    pub(super) fn renew_host(&mut self, i: usize, listed: Listed, book: &Book, now: Millis) {
        let life = listed.life.clone();
        self.forget_tickets(&life);
        self.hosts[i] = self.host_of(listed, book, now);
        self.is_dirty = true;
    }

    /// Settles what earlier lives of a worker had, once the new life obeys this epoch: then nothing
    /// that an earlier owner ordered begins there. An order of this owner that was not answered
    /// still can: it is stopped in the new life, which bars it for good.
    pub(super) fn settle_lives(&mut self, life: &Arc<Life>, now: Millis) {
        let is_old = |r: &Running| r.on.worker == life.worker && r.on.born < life.born;
        let mut lost = Vec::new();
        for i in 0..self.runs.len() {
            let running = &mut self.runs[i];
            if !is_old(running) {
                continue;
            }
            if !matches!(running.phase, Phase::Ordered | Phase::Stopping { .. }) {
                lost.push(running.run);
                continue;
            }
            running.on = Arc::clone(life);
            running.phase = Phase::Stopping { next: Some(now) };
            running.why = Why::Unanswered;
            let needs = running.needs;
            if let Some(host) = self.host_mut(life) {
                host.add(&needs);
            }
            self.try_stop(i);
        }
        self.lose(&lost);
    }

    /// Records runs as lost that are over for certain: on workers that never came back, once no lease
    /// can hold any more; and in an earlier life of a worker, unless an order may still be on its
    /// way that the new life would obey: one of this owner, or while it may grant leases one of an
    /// earlier owner.
    pub(super) fn settle_orphans(&mut self, now: Millis) {
        let is_clear = self.is_clear(now);
        let is_orphan = |r: &&Running| match self.host_index(&r.on.worker) {
            Err(_) => is_clear,
            Ok(i) if self.hosts[i].life.born > r.on.born => match r.phase {
                Phase::Working { since } => since > ADOPTED || is_clear,
                Phase::Recording | Phase::Stopped { .. } => true,
                Phase::Ordered | Phase::Stopping { .. } | Phase::Ending => false,
            },
            Ok(_) => false,
        };
        let lost: Vec<Run> = self.runs.iter().filter(is_orphan).map(|r| r.run).collect();
        self.lose(&lost);
    }

    /// A life of a worker is over: nothing of it runs, and orders that name it do nothing.
    pub(super) fn end_life(&mut self, on: &Life, book: &Book, now: Millis) {
        let runs = self.runs.iter().filter(|r| *r.on == *on && r.phase != Phase::Recording);
        let lost: Vec<Run> = runs.map(|r| r.run).collect();
        self.lose(&lost);
        for run in &lost {
            self.break_gang(run, book, now);
        }
    }

    /// Every lease of a worker that does not answer has run out: nothing runs there.
    pub(super) fn give_up(&mut self, i: usize) {
        let life = Arc::clone(&self.hosts[i].life);
        let runs = self.runs.iter().filter(|r| *r.on == *life);
        let lost: Vec<Run> = runs.filter(|r| r.phase != Phase::Recording).map(|r| r.run).collect();
        self.lose(&lost);
    }
}
