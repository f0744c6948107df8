//! Incarnations of workers ([`Incarnation`]): resolves the runs of incarnations that have ended.

use super::order::StopReason;
use super::{Effect, Owner, Phase, Running};
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
        let mut host = self.new_host(entry, replica, now);
        host.inherit_leases(self.limits.max_lease, now);
        host.watched_until = self.hosts[i].watched_until;
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
    /// owner's epoch: it then rejects the orders of earlier owners. Runs that ended with their
    /// incarnation are lost. The others may execute in the new one, or start there later if an order
    /// got no answer, so they are treated as runs of the new one from now on. Its report tells which
    /// of them it executes; those whose order is open are stopped.
    pub(super) fn resolve_previous_incarnations(
        &mut self,
        incarnation: &Arc<Incarnation>,
        now: Millis,
    ) {
        let mut lost = Vec::new();
        for run in self.strays.clone() {
            let Ok(i) = self.run_index(&run) else { continue };
            let running = &self.runs[i];
            if running.on.worker != incarnation.worker || running.on.born >= incarnation.born {
                continue;
            }
            if running.phase == Phase::Recording || running.is_bound() {
                lost.push(run);
            } else if running.phase != Phase::Ending {
                self.move_run(i, incarnation, now);
            }
        }
        self.record_lost(&lost);
    }

    /// Moves a run to a later incarnation of its worker, and stops it there unless its order was
    /// answered once and for all.
    fn move_run(&mut self, i: usize, to: &Arc<Incarnation>, now: Millis) {
        let running = &mut self.runs[i];
        running.on = Arc::clone(to);
        running.has_begun = false;
        running.is_accounted = false;
        running.timed = None;
        let (run, needs) = (running.run, running.needs);
        let is_answered = matches!(running.phase, Phase::Working { .. }) && !running.has_open_order;
        if let Some(host) = self.host_mut(to) {
            host.add(run, &needs);
        }
        self.remove_stray(&run);
        self.effects.push(Effect::Moved(run, Arc::clone(to)));
        if !is_answered {
            self.runs[i].reason = StopReason::Unanswered;
            self.stop_at(i, now);
            self.try_stop(i);
            self.watch(to, now);
        }
    }

    /// Records runs as lost that can't be executing any more:
    ///
    /// - runs on workers that are not known, once every lease of earlier owners has expired;
    /// - runs that ended with an earlier incarnation of their worker;
    /// - runs that the new incarnation could still execute, once every lease under which it can has
    ///   expired. An order of an earlier owner can be executed until that owner's leases have expired.
    pub(super) fn record_lost_orphans(&mut self, now: Millis) {
        self.effort.runs += u64::try_from(self.strays.len()).unwrap_or(u64::MAX);
        let earlier_leases_expired = self.earlier_leases_expired(now);
        let is_orphan = |r: &Running| match self.host_index(&r.on.worker) {
            Err(_) => earlier_leases_expired,
            Ok(i) if self.hosts[i].incarnation.born > r.on.born => match r.phase {
                Phase::Recording => true,
                Phase::Ending => false,
                _ => r.is_bound() || self.hosts[i].leases_expired(now),
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
