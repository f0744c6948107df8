//! Incarnations of workers ([`Incarnation`]): resolves the runs of incarnations that have ended.

use super::order::StopReason;
use super::{BEFORE_FIRST_POLL, Owner, Phase, Running};
use crate::clock::Millis;
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::{Incarnation, Run};
use crate::machine::host::{Host, WorkerEntry};
use std::sync::Arc;

impl Owner {
    pub(super) fn new_host(&mut self, entry: WorkerEntry, replica: &Replica, now: Millis) -> Host {
        let mut host = Host::new(entry, 0, now, self.earlier_leases_expire_at);
        host.recorded_end = replica.recorded_end(&host.incarnation);
        host.submitted_end = host.recorded_end;
        let incarnation = Arc::clone(&host.incarnation);
        for run in self.runs_on(&incarnation) {
            if let Ok(i) = self.run_index(&run) {
                host.add(run, &self.runs[i].needs);
                self.remove_stray(&run);
            }
        }
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
        self.expire_tickets(i);
        self.account_for_end(i, replica);
        let host = self.new_host(entry, replica, now);
        let old = std::mem::replace(&mut self.hosts[i], host);
        old.runs.into_iter().for_each(|run| self.add_stray(run));
        self.is_dirty = true;
    }

    /// Accounts for the end of a host's incarnation: it has left if it was draining, and otherwise
    /// crashed.
    fn account_for_end(&mut self, i: usize, replica: &Replica) {
        let host = &self.hosts[i];
        let (on, runs) = (Arc::clone(&host.incarnation), host.runs.clone());
        if !host.entry.draining {
            return self.record_crash(&on, &runs, replica);
        }
        for run in runs {
            if let Ok(i) = self.run_index(&run) {
                self.runs[i].is_accounted = true;
            }
        }
    }

    /// Returns the runs that were started on an incarnation, sorted.
    fn runs_on(&self, on: &Incarnation) -> Vec<Run> {
        if let Some(host) = self.host(on) {
            return host.runs.clone();
        }
        let is_there = |run: &&Run| self.run_index(run).is_ok_and(|i| *self.runs[i].on == *on);
        self.strays.iter().filter(is_there).copied().collect()
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
        for run in self.strays.clone() {
            let Ok(i) = self.run_index(&run) else { continue };
            let running = &mut self.runs[i];
            if !is_old(running) {
                continue;
            }
            if !matches!(running.phase, Phase::Ordered | Phase::Stopping { .. }) {
                lost.push(running.run);
                continue;
            }
            running.on = Arc::clone(incarnation);
            running.reason = StopReason::Unanswered;
            let needs = running.needs;
            if let Some(host) = self.host_mut(incarnation) {
                host.add(run, &needs);
            }
            self.remove_stray(&run);
            self.stop_at(i, now);
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
        self.effort.runs += u64::try_from(self.strays.len()).unwrap_or(u64::MAX);
        let earlier_leases_expired = self.earlier_leases_expired(now);
        let is_orphan = |r: &Running| match self.host_index(&r.on.worker) {
            Err(_) => earlier_leases_expired,
            Ok(i) if self.hosts[i].incarnation.born > r.on.born => match r.phase {
                Phase::Working { since } => since > BEFORE_FIRST_POLL || earlier_leases_expired,
                Phase::Recording | Phase::Stopped { .. } => true,
                Phase::Ordered | Phase::Stopping { .. } | Phase::Ending => false,
            },
            Ok(_) => false,
        };
        let strays = self.strays.iter().copied();
        let is_lost = |run: &Run| self.run_index(run).is_ok_and(|i| is_orphan(&self.runs[i]));
        let lost: Vec<Run> = strays.filter(is_lost).collect();
        self.record_lost(&lost);
    }

    /// Handles the end of a worker's incarnation: none of its runs executes, and orders addressed
    /// to it have no effect.
    pub(super) fn end_incarnation(&mut self, on: &Incarnation, replica: &Replica, now: Millis) {
        if let Ok(i) = self.host_index(&on.worker)
            && *self.hosts[i].incarnation == *on
        {
            self.account_for_end(i, replica);
        }
        let lost = self.record_lost_of(self.runs_on(on));
        for run in &lost {
            self.break_gang(run, replica, now);
        }
    }

    /// Records the runs of a silent worker as lost. All its leases must have expired, so that
    /// nothing executes there.
    pub(super) fn record_lost_on(&mut self, i: usize) {
        self.record_lost_of(self.hosts[i].runs.clone());
    }

    /// Records those of `runs` as lost whose start is recorded, and returns them.
    fn record_lost_of(&mut self, mut runs: Vec<Run>) -> Vec<Run> {
        let phase = |run: &Run| self.run_index(run).map(|i| self.runs[i].phase);
        runs.retain(|run| phase(run).is_ok_and(|p| p != Phase::Recording));
        self.record_lost(&runs);
        runs
    }
}
