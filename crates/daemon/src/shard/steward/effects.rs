//! Executes the owner's effects: records go to the ledger duty, calls to the orders duty, queries
//! to the advice duty. When a ring is full, the owner gets a failed answer at once.

use super::stages::Stage;
use super::{State, notices, owner_of};
use crate::shard::advice::Ask;
use crate::shard::freshness::MAX_LIST_AGE;
use crate::shard::ledger::Append;
use crate::shard::orders::Call;
use crate::shard::view;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::advice::Query;
use pimentovalve_core::contract::owner::order::{Order, Poll, Start, Stop};
use pimentovalve_core::contract::owner::{Effect, PollError, StartAnswer, StopAnswer, Waited};
use pimentovalve_core::ledger::shard::{Entry, Incarnation, Record, Run};
use std::time::Instant;

/// Minimum time between two placement passes; jobs that arrive in between are placed together.
const MIN_PLACEMENT_INTERVAL: Millis = Millis(20);
/// Minimum time between two placement passes, as a multiple of the duration of the last pass. It
/// leaves the thread time to process events.
const PLACEMENT_INTERVAL_FACTOR: u64 = 4;

impl State {
    /// Runs a placement pass when one is due, and executes the owner's effects. Does nothing while
    /// another daemon owns the shard.
    pub(super) fn run_owner(&mut self) {
        let now = view::now();
        let is_configured = self.update_teams(now);
        let Some(tenure) = &mut self.tenure else { return };
        let epoch = tenure.epoch;
        // By an older list, tasks might start on a worker that drains.
        let is_listed = now.since(self.workers_listed_at) <= MAX_LIST_AGE;
        if !is_listed || !is_configured {
            self.load.add_held_pass();
        } else if now >= tenure.next_placement {
            let began = Instant::now();
            tenure.owner.schedule(&self.replica, now, view::wall());
            self.load.add_pass(began);
            let took = view::now().since(now);
            tenure.next_placement =
                now + MIN_PLACEMENT_INTERVAL.max(took.times(PLACEMENT_INTERVAL_FACTOR));
        }
        tenure.owner.waited().iter().for_each(log_wait);
        let effects = tenure.owner.effects();
        let mut entries = Vec::new();
        for effect in effects {
            match effect {
                Effect::Record(entry) => {
                    if let Entry::Started { runs, .. } = &entry {
                        for run in runs {
                            let job = run.task.step_id.job;
                            self.stages.reached(job, Stage::Decided, now, &self.duty.metrics);
                        }
                    }
                    entries.push(entry);
                }
                Effect::QueryAdvisor(query) => self.ask(epoch, query),
                Effect::Moved(run, to) => log_move(&run, &to),
                Effect::Notice(notice) => notices::log(&notice, epoch, &self.replica, now),
                Effect::Order(order) => self.send_order(Call { epoch, decided: now, order }),
            }
        }
        if !entries.is_empty() {
            self.record(entries);
        }
    }

    /// Passes entries to the ledger duty as records of the present epoch.
    pub(super) fn record(&mut self, entries: Vec<Entry>) {
        let Some(tenure) = &mut self.tenure else { return };
        tenure.last_record_at = view::now();
        let mut records = Vec::with_capacity(entries.len());
        for entry in entries {
            tenure.last_sequence += 1;
            records.push(Record { epoch: tenure.epoch, sequence: tenure.last_sequence, entry });
        }
        if self.duty.ledger.offer(Append::Own(records)).is_err() {
            // Later decisions depend on these records, so the tenure can't continue without them.
            tracing::error!("append ring full; ownership given up");
            self.tenure = None;
            self.publish();
        }
    }

    /// Passes a call to the orders duty.
    pub(super) fn send_order(&mut self, call: Call) {
        if let Order::Stop(Stop { on, run, reason, .. }) = &call.order {
            let (task, number, worker, epoch) = (run.task, run.number, &on.worker, call.epoch);
            tracing::info!(job = %task.step_id.job, %task, number, %worker, why = ?reason, epoch, "stop ordered");
        }
        if let Err(Call { epoch, order, .. }) = self.duty.orders.offer_back(call) {
            let now = view::now();
            tracing::warn!("order ring full; call to a worker not sent");
            let Some(owner) = owner_of(&mut self.tenure, epoch) else { return };
            match order {
                Order::Start(start) => {
                    let (refused, Start { on, run, .. }) = (StartAnswer::Refused, &*start);
                    owner.start_answered(on, run, refused, None, &self.replica, now);
                }
                Order::Stop(Stop { on, run, .. }) => {
                    owner.stop_answered(&on, &run, StopAnswer::Unknown, None, &self.replica, now);
                }
                Order::Poll(Poll { on, number, .. }) => {
                    owner.poll_answered(&on, number, Err(PollError::NoAnswer), &self.replica, now);
                }
            }
        }
    }

    /// Passes a query to the advice duty, with the address of the peer that shall ask it.
    pub(super) fn ask(&mut self, epoch: u64, query: Query) {
        let is_own = *query.through == *self.duty.name;
        let peer = self.peers.binary_search_by(|p| p.member.name.cmp(&query.through));
        let peer_address =
            peer.ok().filter(|_| !is_own).map(|i| self.peers[i].member.address.clone());
        let ask = Ask { epoch, query, peer_address };
        if let Err(ask) = self.duty.advice.offer_back(ask) {
            let now = view::now();
            if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                owner.advisor_answered(&ask.query, None, &self.replica, now);
            }
        }
    }
}

/// Logs that a gang became late or started, and how it waited.
fn log_wait(waited: &Waited) {
    let Waited { step_id, tasks, has_started, wait } = waited;
    tracing::info!(
        job = %step_id.job,
        step = step_id.step,
        tasks,
        has_started,
        late_ms = wait.late.get(),
        passed_over_ms = wait.passed_over.get(),
        crowded_ms = wait.crowded.get(),
        gathering_ms = wait.gathering.get(),
        renewing_ms = wait.renewing.get(),
        exploring_ms = wait.exploring.get(),
        runs = wait.runs,
        "gang waited"
    );
}

/// Logs that a run may execute in a later incarnation of its worker than it was meant for.
fn log_move(run: &Run, to: &Incarnation) {
    let Run { task, number } = run;
    let Incarnation { worker, born } = to;
    tracing::info!(job = %task.step_id.job, %task, number, %worker, born,
        "run moved to the worker's new incarnation");
}

/// Logs the answer to a start order unless the worker took it.
pub(super) fn log_start(run: &Run, answer: StartAnswer) {
    if !matches!(answer, StartAnswer::Taken | StartAnswer::TakenOnRepeat) {
        let (task, number) = (run.task, run.number);
        tracing::info!(job = %task.step_id.job, %task, number, ?answer, "start not taken");
    }
}
