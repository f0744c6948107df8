//! The steward duty: executes the decisions of the [`Steward`] about its partitions.

use crate::duty::ledger::Command;
use crate::duty::{Duty, control};
use crate::ring::{self, Latest, Publisher, Receiver, Reply, Sender};
use crate::telemetry::Telemetry;
use crate::view::{self, LedgerView, Members, SchedulerStats};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request::Reason;
use pimentovalve_core::contract::status::Refusal;
use pimentovalve_core::contract::steward::{
    AppendOutcome, Effect, Query, Steward, StewardReply, Ticket,
};
use pimentovalve_core::ledger::record::{self, Record};
use pimentovalve_core::ledger::replica::Replica;
use pimentovalve_core::ledger::{Offset, Verdict};
use pimentovalve_core::machine::controller::{Grant, Operation};
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::membership::Role;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::peer::{Grants, NumberedFailure, Operations, PolicyUpdate, WorkerStatuses};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Period of the timer that runs the steward's time-based decisions.
const TICK: Duration = Duration::from_millis(20);
/// Timeout of one call to a controller.
const WISH_TIMEOUT: Millis = Millis::from_secs(2);
/// Time for which a failure is sent to peers; it must span at least two pings.
const FAILURE_GOSSIP_TIME: Millis = Millis::from_secs(5);
/// Maximum number of failures in one ping.
const MAX_GOSSIPED_FAILURES: usize = 16;
/// Maximum number of pending queries; further ones are refused.
const MAX_TICKETS: usize = 4096;
/// Retry interval given to callers when too many queries are pending.
const RETRY_AFTER: Millis = Millis::from_secs(1);

/// An event for the steward duty.
#[derive(Debug)]
pub enum Event {
    /// This instance becomes the steward of a partition.
    Take {
        /// Index of the partition.
        index: u16,
        /// State from its newest snapshot; `None` when the stream is replayed from its start.
        replica: Option<Replica>,
    },
    /// Write a snapshot of a partition.
    Save {
        /// Index of the partition.
        index: u16,
    },
    /// This instance is no longer the steward of a partition.
    GiveUp {
        /// Index of the partition.
        index: u16,
    },
    /// Records read from the stream of a partition.
    Rows {
        /// Index of the partition.
        index: u16,
        /// The records with their offsets, in order.
        rows: Vec<(Offset, Record)>,
        /// Whether they reach the end of the stream.
        at_end: bool,
    },
    /// The outcome of an append.
    AppendDone {
        /// Id of the record.
        id: record::Id,
        /// Whether the record was appended.
        outcome: AppendOutcome,
    },
    /// A query or command from an entry instance.
    Ask {
        /// The query or command.
        ask: Query,
        /// Receives the answer.
        reply: Reply<StewardReply>,
    },
    /// Policy data from a peer's ping.
    PeerUpdate {
        /// Name of the peer.
        peer: Name,
        /// Its totals and recent failures.
        policy: PolicyUpdate,
    },
    /// A controller reported changed workers and ended attempts.
    Report {
        /// The changes since its last report.
        report: WorkerStatuses,
        /// Receives worker and sequence of the ended attempts that are recorded in the ledger.
        reply: Reply<Vec<(Name, u64)>>,
    },
}

/// The answers of a controller. All are [`Grant::Elsewhere`] if it could not be reached.
struct Granted {
    operations: Vec<Operation>,
    grants: Vec<Grant>,
}

/// The steward duty.
pub struct Stewardship {
    /// Byte counters of calls to peers.
    pub traffic: Arc<Traffic>,
    /// Makes the decisions that this duty executes.
    pub steward: Steward,
    /// New work is refused when the configuration was last known to be current longer ago than
    /// this.
    pub term: Millis,
    /// Key that authenticates this instance to peers, as `name:secret`.
    pub key: Option<String>,
    /// Events from the other duties and the fronts.
    pub events: Receiver<Event>,
    /// Ring of the control duty of this instance.
    pub control: Sender<control::Event>,
    /// Ring of the ledger duty.
    pub ledger: Sender<Command>,
    /// Membership as published by the gossip duty.
    pub members: Latest<Arc<Members>>,
    /// Replicated state as published by the ledger duty.
    pub ledger_view: Latest<LedgerView>,
    /// Records timeline events.
    pub telemetry: Telemetry,
    /// Publishes the scheduler statistics.
    pub scheduler_stats: Publisher<SchedulerStats>,
}

struct State {
    duty: Stewardship,
    client: Arc<Client>,
    granted: Sender<Granted>,
    tickets: Vec<(Ticket, Reply<StewardReply>)>,
    next_ticket: Ticket,
    /// Pairs of a worker and the instance that last reported it, sorted by worker.
    reporters: Vec<(Name, Name)>,
    /// Failures that this instance saw within [`FAILURE_GOSSIP_TIME`], with when it saw them.
    own_failures: Vec<(Millis, NumberedFailure)>,
    /// Number of the last own failure. It starts at the current time, so that it grows over
    /// restarts.
    last_failure: u64,
    /// Pairs of a peer and the number of the last failure received from it, sorted by peer.
    received_failures: Vec<(Name, u64)>,
}

impl Duty for Stewardship {
    fn name(&self) -> &'static str {
        "steward"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (granted, received) = ring::ring(256);
            let (mut members, mut ledger_view) = (self.members.clone(), self.ledger_view.clone());
            let events = self.events.clone();
            let duty = *self;
            let client = Arc::new(Client::counted(Arc::clone(&duty.traffic)));
            let mut state = State {
                duty,
                client,
                granted,
                tickets: Vec::new(),
                next_ticket: 0,
                reporters: Vec::new(),
                own_failures: Vec::new(),
                last_failure: view::now().get(),
                received_failures: Vec::new(),
            };
            let mut tick = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    () = stop.cancelled() => break,
                    Some(Granted { operations, grants }) = received.next() => {
                        for (operation, grant) in operations.iter().zip(grants) {
                            state.duty.steward.granted(operation, grant, view::now());
                        }
                    }
                    Some(event) = events.next() => state.event(event),
                    Ok(()) = ledger_view.changed() => {
                        let seen = ledger_view.borrow_and_update().clone();
                        state.duty.steward.configure(seen.history.configuration());
                        state.duty.steward.update_fleet(&seen.fleet, view::now());
                    }
                    Ok(()) = members.changed() => {
                        let seen = Arc::clone(&members.borrow_and_update());
                        state.members(&seen);
                    }
                    _ = tick.tick() => state.tick(),
                }
                state.execute();
            }
        })
    }
}

impl State {
    fn tick(&mut self) {
        let now = view::now();
        let admission = {
            let members = Arc::clone(&self.duty.members.borrow());
            self.duty.ledger_view.borrow().admits_work(&members, self.duty.term, now)
        };
        self.duty.steward.set_open(admission);
        self.duty.steward.tick(now);
        self.publish(now);
    }

    fn publish(&mut self, now: Millis) {
        let planner = self.duty.steward.planner_mut();
        for failure in planner.drain_failures() {
            self.last_failure += 1;
            self.own_failures.push((now, NumberedFailure { number: self.last_failure, failure }));
        }
        self.own_failures.retain(|(at, _)| now.since(*at) < FAILURE_GOSSIP_TIME);
        let excess = self.own_failures.len().saturating_sub(MAX_GOSSIPED_FAILURES);
        self.own_failures.drain(..excess);
        let (total, free) = planner.packing();
        self.duty.scheduler_stats.send_replace(SchedulerStats {
            counters: planner.counters(),
            total,
            free,
            totals: planner.totals(),
            failures: self.own_failures.iter().map(|(_, failure)| failure.clone()).collect(),
        });
    }

    /// Applies policy data from a peer. Pings repeat failures, so each is applied once, by number.
    fn peer_update(&mut self, peer: &Name, policy: &PolicyUpdate, now: Millis) {
        let i = match self.received_failures.binary_search_by(|(p, _)| p.cmp(peer)) {
            Ok(i) => i,
            Err(i) => {
                self.received_failures.insert(i, (peer.clone(), 0));
                i
            }
        };
        let planner = self.duty.steward.planner_mut();
        if let Some(totals) = &policy.totals {
            planner.update_peer_totals(peer, totals, now);
        }
        for NumberedFailure { number, failure } in &policy.failures {
            if *number > self.received_failures[i].1 {
                self.received_failures[i].1 = *number;
                planner.record_peer_failure(failure, now);
            }
        }
    }

    /// Removes workers that are no longer listed.
    fn members(&mut self, members: &Members) {
        self.duty.steward.consulted_since(members.consulted_since);
        let listed = |name: &Name| members.of_role(Role::Worker).any(|w| w.name == *name);
        let gone = self.reporters.extract_if(.., |(worker, _)| !listed(worker));
        for (worker, _) in gone.collect::<Vec<_>>() {
            self.duty.steward.forget(&worker);
        }
    }

    fn event(&mut self, event: Event) {
        let now = view::now();
        let steward = &mut self.duty.steward;
        match event {
            Event::Take { index, replica } => steward.add_partition(index, replica),
            Event::Save { index } => {
                if let Some(replica) = steward.replica(index).cloned()
                    && self.duty.ledger.offer(Command::Save { index, replica }).is_err()
                {
                    tracing::warn!(
                        index,
                        "ring of the ledger duty is full or closed; snapshot postponed"
                    );
                }
            }
            Event::GiveUp { index } => steward.remove_partition(index),
            Event::Rows { index, rows, at_end } => steward.rows(index, &rows, at_end, now),
            Event::AppendDone { id, outcome } => steward.append_done(&id, outcome),
            Event::Ask { ask, reply } => self.ask(ask, reply, now),
            Event::PeerUpdate { peer, policy } => self.peer_update(&peer, &policy, now),
            Event::Report { report, reply } => {
                for status in &report.statuses {
                    self.note_reporter(&status.worker.name, &report.from);
                }
                let recorded = self.duty.steward.report(&report.statuses, &report.ended, now);
                if reply.send(recorded).is_err() {
                    tracing::debug!("controller stopped waiting for the answer to its report");
                }
            }
        }
    }

    fn ask(&mut self, ask: Query, reply: Reply<StewardReply>, now: Millis) {
        self.tickets.retain(|(_, reply)| !reply.is_closed());
        if self.tickets.len() >= MAX_TICKETS {
            let refusal = Refusal::not_run(Reason::Overload, RETRY_AFTER);
            if reply.send(StewardReply::Refused(refusal)).is_err() {
                tracing::debug!("caller stopped waiting for its answer");
            }
            return;
        }
        self.next_ticket += 1;
        self.tickets.push((self.next_ticket, reply));
        self.duty.steward.ask(self.next_ticket, ask, now);
    }

    fn note_reporter(&mut self, worker: &Name, from: &Name) {
        match self.reporters.binary_search_by(|(w, _)| w.cmp(worker)) {
            Ok(i) => self.reporters[i].1 = from.clone(),
            Err(i) => self.reporters.insert(i, (worker.clone(), from.clone())),
        }
    }

    /// Executes the effects that the steward has decided on.
    fn execute(&mut self) {
        let mut operations: Vec<(Name, Vec<Operation>)> = Vec::new();
        for effect in self.duty.steward.effects() {
            match effect {
                Effect::Append { stream, record } => {
                    let id = record.id.clone();
                    if self.duty.ledger.offer(Command::Append { stream, record }).is_err() {
                        self.duty.steward.append_done(&id, AppendOutcome::Refused);
                    }
                }
                Effect::Operation(operation) => self.add_to_group(&mut operations, operation),
                Effect::Answer { ticket, told } => self.answer(ticket, told),
                Effect::RecordEvent { stream, offset, record, verdict } => {
                    if verdict == Verdict::Accepted {
                        self.duty.telemetry.recorded(stream, offset, &record);
                    }
                }
            }
        }
        for (controller, operations) in operations {
            self.send(&controller, operations);
        }
    }

    /// Adds an operation to the message for the worker's controller, which is the instance that
    /// last reported the worker.
    fn add_to_group(&self, operations: &mut Vec<(Name, Vec<Operation>)>, operation: Operation) {
        let Ok(i) = self.reporters.binary_search_by(|(w, _)| w.cmp(operation.worker())) else {
            return;
        };
        let controller = &self.reporters[i].1;
        match operations.iter_mut().find(|(c, _)| c == controller) {
            Some((_, list)) => list.push(operation),
            None => operations.push((controller.clone(), vec![operation])),
        }
    }

    /// Sends operations to a controller, through a ring if it is this instance.
    fn send(&self, controller: &Name, operations: Vec<Operation>) {
        let members = Arc::clone(&self.duty.members.borrow());
        let granted = self.granted.clone();
        let from = members.own.name.clone();
        if *controller == from {
            let control = self.duty.control.clone();
            tokio::spawn(async move {
                let sent = operations.clone();
                let asked = ring::ask(&control, |reply| control::Event::Operations {
                    operations: sent,
                    reply,
                });
                let grants = asked.await.unwrap_or_else(|_| elsewhere(&operations));
                send_result(&granted, operations, grants).await;
            });
            return;
        }
        let peer = members.peers.iter().find(|p| p.name == *controller);
        let address = peer.map(|p| p.address.clone());
        let (client, key) = (Arc::clone(&self.client), self.duty.key.clone());
        tokio::spawn(async move {
            let grants = match address {
                Some(address) => {
                    let message = Operations { from, operations: operations.clone() };
                    let call: Result<Grants, _> = client
                        .exchange_with_key(
                            &address,
                            "/peer/wishes",
                            &message,
                            WISH_TIMEOUT,
                            key.as_deref(),
                        )
                        .await;
                    call.map_or_else(|_| elsewhere(&operations), |g| g.grants)
                }
                None => elsewhere(&operations),
            };
            send_result(&granted, operations, grants).await;
        });
    }

    fn answer(&mut self, ticket: Ticket, told: StewardReply) {
        if let Some(i) = self.tickets.iter().position(|(t, _)| *t == ticket) {
            let (_, reply) = self.tickets.swap_remove(i);
            if reply.send(told).is_err() {
                tracing::debug!("caller stopped waiting for its answer");
            }
        }
    }
}

/// Returns the answers that stand for a controller that could not be reached.
fn elsewhere(operations: &[Operation]) -> Vec<Grant> {
    vec![Grant::Elsewhere; operations.len()]
}

async fn send_result(granted: &Sender<Granted>, operations: Vec<Operation>, grants: Vec<Grant>) {
    if granted.push(Granted { operations, grants }).await.is_err() {
        tracing::debug!("steward duty has ended; call result discarded");
    }
}
