//! Status polls of workers. A poll renews the worker's lease, and its answer lists the runs that
//! execute and those that have ended.

use super::notice::Notice;
use super::order::{Order, Poll, StopReason};
use super::{Effect, Owner, Phase, Running};
use crate::clock::Millis;
use crate::contract::work::Outcome;
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::{End, Entry, Incarnation, Run};
use std::sync::Arc;

/// Time without progress after which a run counts as hung, as a multiple of its estimated run time.
const HUNG_ESTIMATES: u64 = 3;
/// Lower bound of the time without progress after which a run counts as hung.
const MIN_HUNG: Millis = Millis::from_secs(3);
/// Consecutive failed polls that a worker may have and still get its lease renewed.
const MAX_FAILED_POLLS: u32 = 1;
/// Delay after the first of several failed polls; grows linearly with their number.
const RETRY_DELAY: Millis = Millis(250);
/// Maximum delay after a failed poll, as a multiple of [`RETRY_DELAY`].
const MAX_RETRY_DELAYS: u32 = 4;
/// Time from the placement of a run within which it is not expected to have been ordered and to have
/// ended. To hold ends back for every order in flight would make busy workers answer polls at once.
const MAX_QUICK_RUN: Millis = Millis(200);
/// Time that the answer to a poll may take to arrive.
const ANSWER_MARGIN: Millis = Millis(300);
/// Polls in the time of one lease while the append of ends is in flight. They only renew the lease.
const POLLS_PER_LEASE: u64 = 4;

/// A run that executes, as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// The run, under the number that the start order gave.
    pub run: Run,
    /// Completed share of its work, in percent.
    pub percent: u64,
}

/// Why a poll failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollError {
    /// Another incarnation of the worker, or another worker, answered at the address.
    OtherLife,
    /// No answer, or no usable one.
    NoAnswer,
}

/// Answer of a worker to a poll.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Start time of the answering incarnation, if the worker reports it.
    pub born: Option<u64>,
    /// Reading of the worker's clock.
    pub clock: u64,
    /// The runs that execute.
    pub running: Vec<Progress>,
    /// Ends that the worker was not told to discard, by rising number.
    pub ends: Vec<End>,
    /// Whether the worker may have further ends, which it lists once it was told to discard these.
    pub has_more_ends: bool,
}

impl Owner {
    /// Sends the polls that are due.
    pub(super) fn poll(&mut self, replica: &Replica, now: Millis) {
        for i in 0..self.hosts.len() {
            let host = &self.hosts[i];
            let is_watched = host.is_listed && now < host.watched_until;
            let is_awaited = host.is_listed && !host.is_responsive;
            let is_needed = !host.runs.is_empty() || is_awaited || is_watched;
            if !is_needed || host.poll_in_flight.is_some() || now < host.next_poll {
                continue;
            }
            if host.leases_expired(now) && host.failed_polls > MAX_FAILED_POLLS {
                self.record_lost_on(i);
                if self.hosts[i].runs.is_empty() && !self.hosts[i].is_listed {
                    continue;
                }
            }
            self.last_poll += 1;
            let (number, lease) = (self.last_poll, self.limits.lease);
            let host = &mut self.hosts[i];
            host.poll_in_flight = Some(number);
            let is_recording = host.submitted_end > host.recorded_end;
            let is_idle = host.runs.is_empty() && !is_watched;
            let wait = if is_idle || is_recording { Millis::ZERO } else { self.limits.poll_wait };
            // Renewing the lease of a silent worker would keep its runs from ever being given up.
            let lease_end =
                if host.failed_polls > MAX_FAILED_POLLS { None } else { host.grant(lease, now) };
            let (on, address) = (Arc::clone(&host.incarnation), host.entry.address.clone());
            let recorded_end = self.acknowledgeable_end(i, replica, now);
            let poll = Poll { on, address, number, recorded_end, lease_end, wait };
            self.effects.push(Effect::Order(Order::Poll(poll)));
        }
    }

    /// Returns the number of the last end that a worker may discard. The numbers start anew with each
    /// incarnation, so while a run may be in the next one, that one must not discard any end.
    fn acknowledgeable_end(&self, i: usize, replica: &Replica, now: Millis) -> u64 {
        let host = &self.hosts[i];
        let may_have_ended_elsewhere = |run: &Run| {
            let Ok(i) = self.run_index(run) else { return false };
            let running = &self.runs[i];
            let has_time = match running.phase {
                Phase::Recording | Phase::Ending => false,
                Phase::Ordered => now.since(running.progress.1) > MAX_QUICK_RUN,
                Phase::Working { .. } | Phase::Stopping { .. } | Phase::Stopped { .. } => true,
            };
            has_time && !running.has_begun
        };
        if host.is_replaced || host.runs.iter().any(may_have_ended_elsewhere) {
            return 0;
        }
        host.recorded_end.max(replica.recorded_end(&host.incarnation))
    }

    /// Handles the result of a poll.
    pub fn poll_answered(
        &mut self,
        on: &Incarnation,
        number: u64,
        report: Result<&Report, PollError>,
        replica: &Replica,
        now: Millis,
    ) {
        let (pause, lease) = (self.limits.poll_pause, self.limits.lease);
        let Some(host) = self.host_mut(on) else { return };
        if host.poll_in_flight != Some(number) {
            return;
        }
        host.poll_in_flight = None;
        let report = match report {
            Ok(report) => report,
            Err(error) => {
                host.failed_polls += 1;
                host.next_poll =
                    now + RETRY_DELAY.times(host.failed_polls.min(MAX_RETRY_DELAYS).into());
                host.is_responsive = false;
                if error == PollError::OtherLife {
                    // The address belongs to another incarnation or worker: this one has ended.
                    self.end_incarnation(on, replica, now);
                }
                return;
            }
        };
        host.is_replaced = report.born.is_some_and(|b| b != on.born);
        if host.is_replaced {
            // The worker has restarted. Its new incarnation will appear in the worker list.
            host.next_poll = now + RETRY_DELAY;
            host.is_responsive = false;
            return;
        }
        host.failed_polls = 0;
        let was_silent = !std::mem::replace(&mut host.is_responsive, true);
        host.confirm(lease, now);
        host.update_clock(report.clock, now);
        let is_recording = host.submitted_end > host.recorded_end;
        let renew = Millis(lease.get() / POLLS_PER_LEASE);
        host.next_poll = now + if is_recording { renew } else { pause };
        let incarnation = Arc::clone(&host.incarnation);
        if was_silent {
            self.is_dirty = true;
            self.leave_unmeasured(on);
            self.resolve_previous_incarnations(&incarnation, now);
        }
        if was_silent {
            // What was reported late shows the way to the worker, not its speed.
            self.forget_times(on);
        }
        self.record_ends(on, report, now);
        self.reconcile(on, number, report, replica, now);
    }

    /// Leaves the runs of a worker out of what runs take: it did not answer while they were there.
    fn leave_unmeasured(&mut self, on: &Incarnation) {
        let Some(host) = self.host(on) else { return };
        for run in host.runs.clone() {
            if let Ok(i) = self.run_index(&run) {
                self.runs[i].placed_at = None;
            }
        }
    }

    /// Records the reported ends that are neither recorded nor being recorded, and releases the
    /// capacity of their runs.
    fn record_ends(&mut self, on: &Incarnation, report: &Report, now: Millis) {
        let lease = self.limits.lease;
        let Some(host) = self.host_mut(on) else { return };
        let known = host.submitted_end;
        let ends: Vec<End> = report.ends.iter().filter(|e| e.number > known).cloned().collect();
        let Some(last) = ends.last().map(|e| e.number) else { return };
        host.submitted_end = last;
        host.next_poll = now + Millis(lease.get() / POLLS_PER_LEASE);
        for end in &ends {
            let Ok(i) = self.run_index(&end.run) else { continue };
            if *self.runs[i].on == *on {
                let running = &self.runs[i];
                let is_whole = end.outcome == Outcome::Done && !running.has_open_order;
                if let Some(timed) = running.timed.filter(|_| is_whole) {
                    self.measure_end(on, &timed, now);
                }
                self.release_capacity(i);
                self.runs[i].phase = Phase::Ending;
            }
        }
        self.effects.push(Effect::Record(Entry::Ended { on: on.clone(), ends }));
    }

    /// Handles that the ends up to `number` are recorded: the next poll lets the worker discard
    /// them.
    pub(super) fn ends_recorded(&mut self, on: &Incarnation, number: u64, now: Millis) {
        let pause = self.limits.poll_pause;
        if let Some(host) = self.host_mut(on) {
            host.recorded_end = host.recorded_end.max(number);
            host.next_poll = host.next_poll.min(now + pause);
        }
    }

    /// Reconciles the runs that a worker reports with those expected there. Missing runs are lost, unless
    /// their ends may follow; hung and unexpected runs and those of ended jobs are stopped.
    fn reconcile(
        &mut self,
        on: &Incarnation,
        number: u64,
        report: &Report,
        replica: &Replica,
        now: Millis,
    ) {
        let mut listed: Vec<&Progress> = report.running.iter().collect();
        listed.sort_by_key(|w| w.run);
        let max_stop = self.limits.max_stop + ANSWER_MARGIN;
        let (mut lost, mut stops, mut ignored) = (Vec::new(), Vec::new(), Vec::new());
        let mut paced = Vec::new();
        let Some(host) = self.host(on) else { return };
        let last_end = host.submitted_end;
        for run in host.runs.clone() {
            self.effort.runs += 1;
            let Ok(i) = self.run_index(&run) else { continue };
            let running = &mut self.runs[i];
            let found = listed.binary_search_by(|w| w.run.cmp(&running.run));
            running.has_begun |= found.is_ok();
            match (found, running.phase) {
                (Ok(_), Phase::Working { .. }) if replica.has_ended(run.task.step_id.job) => {
                    stops.push((run, StopReason::Over));
                }
                (Ok(at), Phase::Working { .. }) => {
                    paced.push((i, listed[at].percent));
                    if listed[at].percent > running.progress.0 {
                        running.progress = (listed[at].percent, now);
                    } else if is_hung(replica, running, now) {
                        stops.push((run, StopReason::Hung));
                    }
                }
                (Ok(_), Phase::Stopped { since, at })
                    if number > since && now.since(at) > max_stop =>
                {
                    let on = Arc::clone(&running.on);
                    self.effects.push(Effect::Notice(Notice::Unstopped(run, on, now.since(at))));
                    ignored.push(run);
                }
                (Err(_), Phase::Working { since } | Phase::Stopped { since, .. })
                    if number > since && !report.has_more_ends =>
                {
                    lost.push(running.run);
                    if matches!(running.phase, Phase::Working { .. }) {
                        let (on, has_begun) = (Arc::clone(&running.on), running.has_begun);
                        let ends = report.ends.len();
                        let notice = Notice::Missing { run, on, has_begun, ends, last_end };
                        self.effects.push(Effect::Notice(notice));
                    }
                }
                _ => {}
            }
        }
        for (i, percent) in paced {
            self.measure_progress(i, percent, now);
        }
        self.record_lost(&lost);
        for run in &lost {
            self.break_gang(run, replica, now);
        }
        for (run, reason) in stops {
            if let Some(host) = self.host_mut(on).filter(|_| reason == StopReason::Hung) {
                host.record_failure(now);
            }
            self.stop(&run, reason, now);
            self.break_gang(&run, replica, now);
        }
        ignored.iter().for_each(|run| self.stop_again(run, now));
        for progress in listed {
            self.stop_unexpected(on, progress.run, replica, now);
        }
    }

    /// Stops a run that the owner does not know, for example one whose start order arrived after
    /// the run was recorded as lost.
    fn stop_unexpected(&mut self, on: &Incarnation, run: Run, replica: &Replica, now: Millis) {
        if self.run_index(&run).is_ok() {
            return;
        }
        let on = Arc::new(on.clone());
        self.notice(Notice::Unknown(run, Arc::clone(&on)));
        let recovered = Running::recovered(run, on, replica, now);
        self.insert(Running { has_begun: true, ..recovered });
        self.stop(&run, StopReason::Stray, now);
    }
}

fn is_hung(replica: &Replica, running: &Running, now: Millis) -> bool {
    let step_id = &running.run.task.step_id;
    let Some(step) = super::step_of(replica, step_id) else { return false };
    let allowed = MIN_HUNG.max(step.estimate_ms.times(HUNG_ESTIMATES));
    !step.lasting && now.since(running.progress.1) > allowed
}
