//! Incarnations of workers ([`Incarnation`]): resolves the runs of incarnations that have ended.

use super::order::StopReason;
use super::{BEFORE_FIRST_POLL, Owner, Phase, Running};
use crate::clock::Millis;
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::{Incarnation, Run};
use crate::machine::host::{Host, WorkerEntry};
use std::sync::Arc;

impl Owner {
    pub(super) fn new_host(&self, entry: WorkerEntry, replica: &Replica, now: Millis) -> Host {
        let mut host = Host::new(entry, 0, now, self.earlier_leases_expire_at);
        host.recorded_end = replica.recorded_end(&host.incarnation);
        host.submitted_end = host.recorded_end;
        let incarnation = Arc::clone(&host.incarnation);
        self.runs.iter().filter(|r| r.on == incarnation).for_each(|r| host.add(&r.needs));
        host
    }

    /// Replaces a host by its new incarnation. The runs of the old one are resolved when the new
    /// one answers ([`Self::resolve_previous_incarnations`]).
    pub(super) fn replace_host(
        &mut self,
        i: usize,
        entry: WorkerEntry,
        replica: &Replica,
        now: Millis,
    ) {
        let incarnation = entry.incarnation.clone();
        self.expire_tickets(&incarnation);
        self.hosts[i] = self.new_host(entry, replica, now);
        self.is_dirty = true;
    }

    /// Resolves the runs of a worker's earlier incarnations once the new one has accepted this
    /// owner's epoch: it then rejects the orders of earlier owners. An unanswered order of this
    /// owner can still arrive there, so its run is stopped in the new incarnation; a run whose stop
    /// was acknowledged can't begin any more.
    pub(super) fn resolve_previous_incarnations(
        &mut self,
        incarnation: &Arc<Incarnation>,
        now: Millis,
    ) {
        let is_old =
            |r: &Running| r.on.worker == incarnation.worker && r.on.born < incarnation.born;
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
            running.on = Arc::clone(incarnation);
            running.phase = Phase::Stopping { next: Some(now) };
            running.reason = StopReason::Unanswered;
            let needs = running.needs;
            if let Some(host) = self.host_mut(incarnation) {
                host.add(&needs);
            }
            self.try_stop(i);
        }
        self.record_lost(&lost);
    }

    /// Records runs as lost that can't be executing any more:
    ///
    /// - runs on workers that are not known, once every lease of earlier owners has expired;
    /// - runs in an earlier incarnation of a worker, unless the new incarnation could still execute
    ///   their start order. That holds for an unanswered order of this owner, and for an order of
    ///   an earlier owner until that owner's leases have expired.
    pub(super) fn record_lost_orphans(&mut self, now: Millis) {
        let earlier_leases_expired = self.earlier_leases_expired(now);
        let is_orphan = |r: &&Running| match self.host_index(&r.on.worker) {
            Err(_) => earlier_leases_expired,
            Ok(i) if self.hosts[i].incarnation.born > r.on.born => match r.phase {
                Phase::Working { since } => since > BEFORE_FIRST_POLL || earlier_leases_expired,
                Phase::Recording | Phase::Stopped { .. } => true,
                Phase::Ordered | Phase::Stopping { .. } | Phase::Ending => false,
            },
            Ok(_) => false,
        };
        let lost: Vec<Run> = self.runs.iter().filter(is_orphan).map(|r| r.run).collect();
        self.record_lost(&lost);
    }

    /// Handles the end of a worker's incarnation: none of its runs executes, and orders addressed
    /// to it have no effect.
    pub(super) fn end_incarnation(&mut self, on: &Incarnation, replica: &Replica, now: Millis) {
        let runs = self.runs.iter().filter(|r| *r.on == *on && r.phase != Phase::Recording);
        let lost: Vec<Run> = runs.map(|r| r.run).collect();
        self.record_lost(&lost);
        for run in &lost {
            self.break_gang(run, replica, now);
        }
    }

    /// Records the runs of a silent worker as lost. All its leases must have expired, so that
    /// nothing executes there.
    pub(super) fn record_lost_on(&mut self, i: usize) {
        let incarnation = Arc::clone(&self.hosts[i].incarnation);
        let runs = self.runs.iter().filter(|r| *r.on == *incarnation);
        let lost: Vec<Run> = runs.filter(|r| r.phase != Phase::Recording).map(|r| r.run).collect();
        self.record_lost(&lost);
    }
}
