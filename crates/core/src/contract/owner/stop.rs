//! Stop orders, repeated until the worker acknowledges them, and again if it goes on listing the run.

use super::order::{Order, Stop, StopReason};
use super::{Effect, Owner, Phase, step_of};
use crate::clock::Millis;
use crate::contract::work::{Id, StepId};
use crate::ledger::shard::Run;
use crate::ledger::shard::replica::Replica;
use std::sync::Arc;

impl Owner {
    /// Stops all open runs of a gang after one member has ended or can't run.
    pub(super) fn break_gang(&mut self, run: &Run, replica: &Replica, now: Millis) {
        if step_of(replica, &run.task.step_id).is_none_or(|s| !s.gang) {
            return;
        }
        let runs = self.runs.of_step(&run.task.step_id).iter().map(|(r, _)| *r);
        let members: Vec<Run> = runs.filter(|r| r.number == run.number).collect();
        members.iter().for_each(|m| self.stop(m, StopReason::Gang, now));
    }

    /// Stops all open runs of a gang some of whose members have none. They ended with their worker or
    /// under an earlier owner, or that owner did not record their start.
    pub(super) fn stop_gang(&mut self, step_id: &StepId, now: Millis) {
        let runs: Vec<Run> = self.runs.of_step(step_id).iter().map(|(r, _)| *r).collect();
        runs.iter().for_each(|r| self.stop(r, StopReason::Gang, now));
    }

    pub(super) fn stop_job(&mut self, id: Id, now: Millis) {
        let runs: Vec<Run> = self.runs.of_job(id).iter().map(|(r, _)| *r).collect();
        runs.iter().for_each(|r| self.stop(r, StopReason::Over, now));
    }

    /// Stops the open runs of all jobs that have ended. An earlier owner may have been gone when they
    /// ended.
    pub(super) fn stop_runs_of_ended_jobs(&mut self, replica: &Replica, now: Millis) {
        let jobs = self.runs.by_job().map(|runs| runs[0].0.task.step_id.job);
        let ended: Vec<Id> = jobs.filter(|id| replica.has_ended(*id)).collect();
        ended.into_iter().for_each(|id| self.stop_job(id, now));
    }

    /// Stops a run, now if its worker has accepted it, else once its start order is answered.
    pub(super) fn stop(&mut self, run: &Run, reason: StopReason, now: Millis) {
        let Ok(i) = self.run_index(run) else { return };
        let running = &mut self.runs[i];
        if matches!(running.phase, Phase::Stopping { .. } | Phase::Stopped { .. } | Phase::Ending) {
            return;
        }
        if !running.stop_requested {
            running.reason = reason;
        }
        if matches!(running.phase, Phase::Working { .. }) {
            self.stop_at(i, now);
            self.try_stop(i);
        } else {
            running.stop_requested = true;
        }
    }

    /// Repeats a stop order that the worker acknowledged and did not carry out.
    pub(super) fn stop_again(&mut self, run: &Run, now: Millis) {
        let Ok(i) = self.run_index(run) else { return };
        self.stop_at(i, now);
        self.try_stop(i);
    }

    pub(super) fn retry_stops(&mut self, now: Millis) {
        for run in self.runs.due_stops(now) {
            self.effort.runs += 1;
            let Ok(i) = self.run_index(&run) else { continue };
            if !matches!(self.runs[i].phase, Phase::Stopping { next: Some(at) } if now >= at) {
                continue;
            }
            // Without a host the order has no address. The worker may be listed again.
            if self.host(&self.runs[i].on).is_some() {
                self.try_stop(i);
            } else {
                self.stop_at(i, now + self.limits.retry);
            }
        }
    }

    /// Puts a run into the phase in which its next stop order is due at `at`.
    pub(super) fn stop_at(&mut self, i: usize, at: Millis) {
        self.runs[i].phase = Phase::Stopping { next: Some(at) };
        self.runs[i].stopping_since.get_or_insert(at);
        self.runs.add_stop(at, self.runs[i].run);
    }

    pub(super) fn try_stop(&mut self, i: usize) {
        let running = &self.runs[i];
        let (on, run, reason) = (Arc::clone(&running.on), running.run, running.reason);
        let Some(host) = self.host(&on) else { return };
        let address = host.entry.address.clone();
        self.runs[i].phase = Phase::Stopping { next: None };
        let since = self.runs[i].stopping_since.unwrap_or_default();
        self.effects.push(Effect::Order(Order::Stop(Stop { on, address, run, reason, since })));
    }
}
