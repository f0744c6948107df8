//! Carries out what the owner decides: records go to the ledger, calls to the workers, questions to
//! the advisor. Where a ring is full, the owner is told at once as if there had been no answer.

use super::{State, owner_of};
use crate::shard::advice::Ask;
use crate::shard::ledger::Append;
use crate::shard::metrics::Metrics;
use crate::shard::orders::Call;
use crate::shard::view;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::advice::Question;
use pimentovalve_core::contract::owner::order::{Look, Order, Start, Stop};
use pimentovalve_core::contract::owner::{Effect, Miss, StartAnswer, StopAnswer};
use pimentovalve_core::ledger::shard::{Entry, Record, Run};

/// Shortest time between two placements: what arrives meanwhile is placed together.
const SCHEDULE_EVERY: Millis = Millis(20);
/// Time between two placements as a multiple of what one takes, so that answers are taken in too.
const SCHEDULE_REST: u64 = 4;

impl State {
    pub(super) fn carry_out(&mut self) {
        let now = view::now();
        let Some(tenure) = &mut self.tenure else { return };
        let epoch = tenure.epoch;
        tenure.owner.tick(&self.book, now, self.covers);
        if now >= tenure.next_schedule {
            tenure.owner.schedule(&self.book, now, view::wall());
            let took = view::now().since(now);
            tenure.next_schedule = now + SCHEDULE_EVERY.max(took.times(SCHEDULE_REST));
        }
        let effects = tenure.owner.effects();
        let mut entries = Vec::new();
        for effect in effects {
            match effect {
                Effect::Record(entry) => entries.push(entry),
                Effect::Ask(question) => self.ask(epoch, question),
                Effect::Order(order) => self.send(Call { epoch, order }),
            }
        }
        if !entries.is_empty() {
            self.record(entries);
        }
    }

    pub(super) fn record(&mut self, entries: Vec<Entry>) {
        let Some(tenure) = &mut self.tenure else { return };
        tenure.last_sent = view::now();
        let mut records = Vec::with_capacity(entries.len());
        for entry in entries {
            tenure.sent += 1;
            records.push(Record { epoch: tenure.epoch, sequence: tenure.sent, entry });
        }
        if self.duty.ledger.offer(Append::Own(records)).is_err() {
            // The decisions rest on these records: without them this daemon can't go on as owner.
            tracing::error!("the ring of appends is full; ownership is given up");
            self.tenure = None;
            self.publish();
        }
    }

    pub(super) fn send(&mut self, call: Call) {
        if let Order::Stop(Stop { on, run, why, .. }) = &call.order {
            let (task, number, worker, epoch) = (run.task, run.number, &on.worker, call.epoch);
            tracing::info!(job = %task.stage.job, %task, number, %worker, ?why, epoch, "stop ordered");
        }
        if let Err(Call { epoch, order }) = self.duty.orders.offer_back(call) {
            let now = view::now();
            tracing::warn!("the ring of orders is full");
            let Some(owner) = owner_of(&mut self.tenure, epoch) else { return };
            match order {
                Order::Start(start) => {
                    let (refused, Start { on, run, .. }) = (StartAnswer::Refused, &*start);
                    owner.start_answered(on, run, refused, None, &self.book, now);
                }
                Order::Stop(Stop { on, run, .. }) => {
                    owner.stop_answered(&on, &run, StopAnswer::Unknown, None, &self.book, now);
                }
                Order::Look(Look { on, number, .. }) => {
                    owner.looked(&on, number, Err(Miss::Silent), &self.book, now);
                }
            }
        }
    }

    pub(super) fn ask(&mut self, epoch: u64, question: Question) {
        let own = *question.through == *self.duty.name;
        let peer = self.peers.binary_search_by(|p| p.member.name.cmp(&question.through));
        let through = peer.ok().filter(|_| !own).map(|i| self.peers[i].member.address.clone());
        let ask = Ask { epoch, question, through };
        if let Err(ask) = self.duty.advice.offer_back(ask) {
            let now = view::now();
            if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                owner.advised(&ask.question, None, &self.book, now);
            }
        }
    }
}

pub(super) fn log_start(run: &Run, answer: StartAnswer) {
    if answer != StartAnswer::Taken {
        let (task, number) = (run.task, run.number);
        tracing::info!(job = %task.stage.job, %task, number, ?answer, "start not taken");
    }
}

/// Logs and counts what was decided of runs, once it is recorded.
pub(super) fn log_entry(entry: &Entry, epoch: u64, metrics: &Metrics) {
    match entry {
        Entry::Started { on, runs } => {
            metrics.recorded("start", runs.len());
            for run in runs {
                let (task, number, worker) = (run.task, run.number, &on.worker);
                tracing::info!(job = %task.stage.job, %task, number, %worker, epoch, "start recorded");
            }
        }
        Entry::Ended { on, ends } => {
            metrics.recorded("end", ends.len());
            for end in ends {
                let (task, number, outcome) = (end.run.task, end.run.number, end.outcome);
                let worker = &on.worker;
                tracing::info!(
                    job = %task.stage.job, %task, number, %worker, ?outcome, epoch, "end recorded"
                );
            }
        }
        Entry::Lost(runs) => {
            metrics.recorded("loss", runs.len());
            for run in runs {
                let (task, number) = (run.task, run.number);
                tracing::info!(job = %task.stage.job, %task, number, epoch, "loss recorded");
            }
        }
        _ => {}
    }
}
