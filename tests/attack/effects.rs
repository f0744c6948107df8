//! Executes the effects that a daemon's steward and controller return.

use super::{Answer, CALL_TIMEOUT, Call, LIST_INTERVAL_MS, Message, Simulation, name};
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::steward::{self, AppendOutcome, StewardReply};
use pimentovalve::core::ledger::Stream;
use pimentovalve::core::ledger::record::{self, Change, Record, Register};
use pimentovalve::core::machine::controller::{self, Operation, Outcome};
use pimentovalve::core::machine::worker::Epoch;
use pimentovalve::core::name::Name;

impl Simulation {
    pub(super) fn apply_steward_effects(&mut self, d: usize) {
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

    /// Sends a record to the log, subject to the faults in force.
    fn append(&mut self, d: usize, stream: Stream, record: Record) {
        let id = record.id.clone();
        let landing = if self.log_outage_until > self.now {
            AppendOutcome::Refused
        } else if self.delayed_appends_until > self.now && self.random.below(2) == 0 {
            let late = Millis(self.random.below(5000));
            self.send_after(late, Message::Append { stream, record });
            AppendOutcome::Unknown
        } else {
            let lost = self.lost_answers_until > self.now && self.random.below(2) == 0;
            self.send(Message::Append { stream, record });
            if lost { AppendOutcome::Unknown } else { AppendOutcome::Landed }
        };
        self.send_after(Millis(400), Message::Landed { to: d, id, landing });
    }

    pub(super) fn apply_controller_effects(&mut self, d: usize) {
        for effect in self.daemons[d].controller.effects() {
            self.last_number += 1;
            let (from, call) = (d, self.last_number);
            let machine = |name: &Name| self.machines.iter().position(|m| m.name == *name);
            let (about, message) = match effect {
                controller::Effect::Adopt { worker, expected, .. } => {
                    let Some(w) = machine(&worker) else { continue };
                    (Call::Adopt(worker), Message::Adopt { from, call, worker: w, expected })
                }
                controller::Effect::Heartbeat { worker, request: pulse, .. } => {
                    let Some(w) = machine(&worker) else { continue };
                    (Call::Heartbeat(worker), Message::Heartbeat { from, call, worker: w, pulse })
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
                    self.append_loss(d, worker, epoch, expect);
                    continue;
                }
            };
            self.daemons[d].calls.push((call, about));
            self.send(message);
            self.send_after(CALL_TIMEOUT, Message::TimedOut { to: d, call });
        }
    }

    /// Appends the loss of a worker, at most once in two seconds.
    fn append_loss(&mut self, d: usize, worker: Name, epoch: Epoch, expect: u64) {
        let now = self.now;
        let daemon = &mut self.daemons[d];
        daemon.losses.retain(|(_, at)| now.since(*at) < Millis(2000));
        if daemon.losses.iter().any(|(w, _)| *w == worker) {
            return;
        }
        daemon.losses.push((worker.clone(), now));
        daemon.last_loss += 1;
        let writer = name(&format!("{}.ledger", daemon.name));
        let id = record::Id { writer, number: daemon.last_loss };
        let at = now + Millis(daemon.skew);
        let (register, change) = (Register::Worker(worker), Change::Lost { epoch });
        self.append(d, Stream::Fleet, Record { id, at, register, expect, change });
    }

    /// Sends this daemon's standings and endings to all daemons.
    pub(super) fn send_reports(&mut self, d: usize) {
        if !self.now.get().is_multiple_of(LIST_INTERVAL_MS) {
            return;
        }
        let daemon = &mut self.daemons[d];
        // Always the full state, so that a peer that was dead or paused gets it too.
        let (standings, _) = daemon.controller.statuses(0);
        let (endings, from) = (daemon.controller.endings(), daemon.name.clone());
        for to in 0..self.daemons.len() {
            let (standings, endings) = (standings.clone(), endings.clone());
            self.send(Message::Report { to, from: from.clone(), standings, endings });
        }
    }

    /// Handles the answer to a call, `None` after a time-out.
    pub(super) fn handle_answer(&mut self, d: usize, call: u64, answer: Option<Answer>) {
        let now = self.time_at(d);
        let daemon = &mut self.daemons[d];
        let Some(i) = daemon.calls.iter().position(|(number, _)| *number == call) else { return };
        let controller = &mut daemon.controller;
        match (daemon.calls.remove(i).1, answer) {
            (Call::Adopt(worker), Some(Answer::Adopted(inventory))) => {
                controller.adopted(worker.as_str(), Outcome::Answered(inventory), now);
            }
            (Call::Adopt(worker), _) => controller.adopted(worker.as_str(), Outcome::NoAnswer, now),
            (Call::Heartbeat(worker), Some(Answer::Heartbeat(heard))) => {
                controller.heartbeat_answered(worker.as_str(), Outcome::Answered(heard), now);
            }
            (Call::Heartbeat(worker), _) => {
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
