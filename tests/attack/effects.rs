//! Carrying out what the decision objects of a daemon want.

use super::{Answer, Call, LIST_EVERY, Message, TIMEOUT, World, name};
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::steward::{self, AppendOutcome, StewardReply};
use pimentovalve::core::ledger::Stream;
use pimentovalve::core::ledger::record::{self, Change, Record, Register};
use pimentovalve::core::machine::controller::{self, Operation, Outcome};
use pimentovalve::core::machine::worker::Epoch;
use pimentovalve::core::name::Name;

impl World {
    pub(super) fn carry_out_steward(&mut self, d: usize) {
        let mut wishes: Vec<(Name, Vec<Operation>)> = Vec::new();
        for effect in self.daemons[d].steward.effects() {
            match effect {
                steward::Effect::Append { stream, record } => self.append(d, stream, record),
                steward::Effect::Operation(wish) => {
                    let reporters = &self.daemons[d].reporters;
                    let found = reporters.binary_search_by(|(w, _)| w.cmp(wish.worker()));
                    let Ok(i) = found else { continue };
                    let controller = reporters[i].1.clone();
                    match wishes.iter_mut().find(|(c, _)| *c == controller) {
                        Some((_, list)) => list.push(wish),
                        None => wishes.push((controller, vec![wish])),
                    }
                }
                steward::Effect::Answer { ticket, told: StewardReply::Job(_) } => {
                    if let Some((_, accepted)) = self.jobs.get_mut(ticket as usize) {
                        *accepted = true;
                    }
                }
                steward::Effect::Answer { .. } | steward::Effect::RecordEvent { .. } => {}
            }
        }
        for (controller, wishes) in wishes {
            if let Some(to) = self.daemons.iter().position(|p| p.name == controller) {
                self.send(Message::Wishes { from: d, to, wishes });
            }
        }
    }

    fn append(&mut self, d: usize, stream: Stream, record: Record) {
        let id = record.id.clone();
        let landing = if self.log_out_until > self.now {
            AppendOutcome::Refused
        } else if self.late_until > self.now && self.draw.below(2) == 0 {
            let late = Millis(self.draw.below(5000));
            self.send_after(late, Message::Append { stream, record });
            AppendOutcome::Unknown
        } else {
            let lost = self.lost_until > self.now && self.draw.below(2) == 0;
            self.send(Message::Append { stream, record });
            if lost { AppendOutcome::Unknown } else { AppendOutcome::Landed }
        };
        self.send_after(Millis(400), Message::Landed { to: d, id, landing });
    }

    pub(super) fn carry_out_controller(&mut self, d: usize) {
        for effect in self.daemons[d].controller.effects() {
            self.number += 1;
            let (from, call) = (d, self.number);
            let machine = |name: &Name| self.machines.iter().position(|m| m.name == *name);
            let (about, message) = match effect {
                controller::Effect::Adopt { worker, expected, .. } => {
                    let Some(w) = machine(&worker) else { continue };
                    (Call::Adopt(worker), Message::Adopt { from, call, worker: w, expected })
                }
                controller::Effect::Heartbeat { worker, request: pulse, .. } => {
                    let Some(w) = machine(&worker) else { continue };
                    (Call::Beat(worker), Message::Beat { from, call, worker: w, pulse })
                }
                controller::Effect::Order { worker, epoch, orders, .. } => {
                    let Some(w) = machine(&worker) else { continue };
                    let sent = orders.clone();
                    (
                        Call::Orders(worker, epoch, orders),
                        Message::Orders { from, call, worker: w, epoch, orders: sent },
                    )
                }
                controller::Effect::RecordLoss { worker, epoch, expect } => {
                    self.lose(d, worker, epoch, expect);
                    continue;
                }
            };
            self.daemons[d].calls.push((call, about));
            self.send(message);
            self.send_after(TIMEOUT, Message::TimedOut { to: d, call });
        }
    }

    fn lose(&mut self, d: usize, worker: Name, epoch: Epoch, expect: u64) {
        let now = self.now;
        let daemon = &mut self.daemons[d];
        daemon.losing.retain(|(_, at)| now.since(*at) < Millis(2000));
        if daemon.losing.iter().any(|(w, _)| *w == worker) {
            return;
        }
        daemon.losing.push((worker.clone(), now));
        daemon.numbers += 1;
        let writer = name(&format!("{}.ledger", daemon.name));
        let id = record::Id { writer, number: daemon.numbers };
        let at = now + Millis(daemon.skew);
        let (register, change) = (Register::Worker(worker), Change::Lost { epoch });
        self.append(d, Stream::Fleet, Record { id, at, register, expect, change });
    }

    pub(super) fn report(&mut self, d: usize) {
        if !self.now.get().is_multiple_of(LIST_EVERY) {
            return;
        }
        let daemon = &mut self.daemons[d];
        // Everything, always: a peer that was dead or frozen must hear it too.
        let (standings, _) = daemon.controller.statuses(0);
        let (endings, from) = (daemon.controller.endings(), daemon.name.clone());
        for to in 0..self.daemons.len() {
            let (standings, endings) = (standings.clone(), endings.clone());
            self.send(Message::Report { to, from: from.clone(), standings, endings });
        }
    }

    /// Takes in the answer to a call, `None` when there is none.
    pub(super) fn answered(&mut self, d: usize, call: u64, answer: Option<Answer>) {
        let now = self.time_at(d);
        let daemon = &mut self.daemons[d];
        let Some(i) = daemon.calls.iter().position(|(number, _)| *number == call) else { return };
        let controller = &mut daemon.controller;
        match (daemon.calls.remove(i).1, answer) {
            (Call::Adopt(worker), Some(Answer::Adopted(inventory))) => {
                controller.adopted(worker.as_str(), Outcome::Answered(inventory), now);
            }
            (Call::Adopt(worker), _) => controller.adopted(worker.as_str(), Outcome::NoAnswer, now),
            (Call::Beat(worker), Some(Answer::Beaten(heard))) => {
                controller.heartbeat_answered(worker.as_str(), Outcome::Answered(heard), now);
            }
            (Call::Beat(worker), _) => {
                controller.heartbeat_answered(worker.as_str(), Outcome::NoAnswer, now)
            }
            (Call::Orders(worker, epoch, orders), Some(Answer::Ordered(replies))) => {
                let outcome = Outcome::Answered(replies);
                controller.ordered(worker.as_str(), epoch, &orders, outcome, now);
            }
            (Call::Orders(worker, epoch, orders), _) => {
                controller.ordered(worker.as_str(), epoch, &orders, Outcome::NoAnswer, now);
            }
        }
    }
}
