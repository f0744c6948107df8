//! Answers of workers to start and stop orders.

use super::order::StopReason;
use super::{Effect, Owner, Phase};
use crate::clock::Millis;
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::{Entry, Incarnation, Run};

/// Time for which no work is placed on a worker that reports itself unhealthy or does not answer a
/// start order.
const UNHEALTHY_BACKOFF: Millis = Millis::from_secs(2);

/// Outcome of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker has accepted the run.
    Taken,
    /// The worker has accepted the run from a repeated order. The first order got no answer and may
    /// still be carried out.
    TakenOnRepeat,
    /// The worker has rejected the run, and it will not begin.
    Refused,
    /// The worker is unhealthy and has not executed the order.
    Unhealthy,
    /// The worker has accepted the epoch of a later owner.
    Fenced,
    /// Another incarnation of the worker, or another worker, answered.
    OtherLife,
    /// No usable answer: the run may have begun or may begin later.
    Unknown,
}

/// Outcome of a stop order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// The worker has acknowledged the stop: the run ends or can't begin any more.
    Taken,
    /// The worker has accepted the epoch of a later owner.
    Fenced,
    /// Another incarnation of the worker, or another worker, answered.
    OtherLife,
    /// No usable answer: the order may or may not have been executed.
    Unknown,
}

impl Owner {
    /// Handles the answer to a start order that was sent to the incarnation `on`. `clock` is the
    /// reading of the worker's clock that came with the answer.
    pub fn start_answered(
        &mut self,
        on: &Incarnation,
        run: &Run,
        answer: StartAnswer,
        clock: Option<u64>,
        replica: &Replica,
        now: Millis,
    ) {
        let Ok(i) = self.run_index(run) else { return };
        if self.runs[i].phase != Phase::Ordered || *self.runs[i].on != *on {
            return;
        }
        let is_own_answer = self.update_clock(on, clock, now);
        match answer {
            StartAnswer::Taken | StartAnswer::TakenOnRepeat => {
                self.runs[i].phase = Phase::Working { since: self.last_poll };
                self.runs[i].progress = (0, now);
                self.runs[i].has_begun = is_own_answer;
                self.runs[i].has_open_order = answer == StartAnswer::TakenOnRepeat;
                if answer == StartAnswer::TakenOnRepeat {
                    self.watch(on, now);
                }
                if !is_own_answer {
                    self.inherit_leases(on, now);
                }
                if self.runs[i].stop_requested {
                    self.stop(run, StopReason::Over, now);
                }
                self.poll_by(on, now + self.limits.poll_pause);
            }
            StartAnswer::Refused | StartAnswer::Fenced => self.abandon_start(*run, replica, now),
            StartAnswer::OtherLife => self.end_incarnation(on, replica, now),
            StartAnswer::Unhealthy => {
                if let Some(host) = self.host_mut(on) {
                    host.exclude_until(now + UNHEALTHY_BACKOFF);
                }
                self.abandon_start(*run, replica, now);
            }
            StartAnswer::Unknown => {
                // The order may still arrive. Only an acknowledged stop rules that out.
                self.stop_at(i, now);
                self.runs[i].reason = StopReason::Unanswered;
                self.runs[i].has_open_order = true;
                self.watch(on, now);
                self.effects.push(Effect::Record(Entry::Unanswered(vec![*run])));
                if let Some(host) = self.host_mut(on) {
                    host.exclude_until(now + UNHEALTHY_BACKOFF);
                }
                self.try_stop(i);
                self.break_gang(run, replica, now);
            }
        }
    }

    /// Handles the answer to a stop order that was sent to the incarnation `on`. `clock` is the
    /// reading of the worker's clock that came with the answer.
    pub fn stop_answered(
        &mut self,
        on: &Incarnation,
        run: &Run,
        answer: StopAnswer,
        clock: Option<u64>,
        replica: &Replica,
        now: Millis,
    ) {
        let Ok(i) = self.run_index(run) else { return };
        if !matches!(self.runs[i].phase, Phase::Stopping { .. }) || *self.runs[i].on != *on {
            return;
        }
        self.update_clock(on, clock, now);
        match answer {
            StopAnswer::Taken => {
                self.runs[i].phase = Phase::Stopped { since: self.last_poll, at: now };
                self.poll_by(on, now);
            }
            StopAnswer::OtherLife => self.end_incarnation(on, replica, now),
            StopAnswer::Fenced | StopAnswer::Unknown => {
                let next = now + self.limits.retry;
                self.stop_at(i, next);
                self.poll_by(on, now);
            }
        }
    }

    /// Watches a worker for a run that an order without answer may still begin. A stop rules that out
    /// only in the incarnation that acknowledges it.
    pub(super) fn watch(&mut self, on: &Incarnation, now: Millis) {
        let until = now + self.limits.max_lease;
        if let Ok(i) = self.host_index(&on.worker) {
            self.hosts[i].watched_until = until;
        }
    }

    /// Notes that a later incarnation of a worker may have accepted an order for `on`.
    fn inherit_leases(&mut self, on: &Incarnation, now: Millis) {
        let max_lease = self.limits.max_lease;
        if let Some(host) = self.host_mut(on) {
            host.inherit_leases(max_lease, now);
        }
    }

    /// Updates the clock of a worker by a reading that came with the answer to an order. Returns whether
    /// it certainly comes from the incarnation `on`; otherwise it is ignored.
    fn update_clock(&mut self, on: &Incarnation, clock: Option<u64>, now: Millis) -> bool {
        let (Some(host), Some(clock)) = (self.host_mut(on), clock) else { return false };
        let is_own = host.is_own_clock(clock, now);
        if is_own {
            host.update_clock(clock, now);
        }
        is_own
    }

    /// Schedules the next poll of a worker at `at` or earlier.
    fn poll_by(&mut self, on: &Incarnation, at: Millis) {
        if let Some(host) = self.host_mut(on) {
            host.next_poll = host.next_poll.min(at);
        }
    }
}
