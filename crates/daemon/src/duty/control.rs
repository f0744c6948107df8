//! The control duty: executes the decisions of the [`Controller`] about the workers that this
//! instance controls.

use crate::duty::Duty;
use crate::duty::ledger::{Command, Published};
use crate::duty::steward;
use crate::platform::{Failure, Worker};
use crate::ring::{self, Latest, Publisher, Receiver, Reply, Sender};
use crate::view::{self, ControlledWorkers, LedgerView, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::Stream;
use pimentovalve_core::ledger::record::{Change, Register};
use pimentovalve_core::machine::controller::{
    Controller, Effect, Ending, Grant, HeartbeatRequest, HeartbeatResponse, Operation, Outcome,
    WorkerControl, WorkerStatus,
};
use pimentovalve_core::machine::worker::{Epoch, Inventory, Order, Reply as Answer};
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::membership::{Instance, Role};
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::peer::{Recorded, WorkerStatuses};
use pimentovalve_wire::worker::{Adopt, Adopted, Heartbeat, Orders};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Period of the timer that runs the controller's time-based decisions.
const TICK: Duration = Duration::from_millis(100);
/// Minimum interval between reports of ended attempts, and between any two reports to the steward
/// duty of this instance.
const REPORT_INTERVAL: Millis = Millis(100);
/// Minimum interval between reports of changed workers to another instance. It may be long: a
/// stale view at the steward costs only a refused reservation.
const REMOTE_REPORT_INTERVAL: Millis = Millis(500);
/// Timeout of one report.
const REPORT_TIMEOUT: Millis = Millis::from_secs(2);

/// A command to the control duty.
#[derive(Debug)]
pub enum Event {
    /// A steward asks for reservations, starts and stops on workers of this controller.
    Operations {
        /// The requested operations.
        operations: Vec<Operation>,
        /// Receives one answer for each operation, in the same order.
        reply: Reply<Vec<Grant>>,
    },
    /// Another controller reported the state of its workers.
    WorkerStatuses(Vec<WorkerStatus>),
}

/// The result of an asynchronous call of this duty.
enum Completion {
    Adopted(Name, Outcome<Result<Inventory, Epoch>>),
    Heartbeat(Name, Outcome<HeartbeatResponse>),
    Ordered(Name, Epoch, Vec<Order>, Outcome<Vec<Answer>>),
    LossHandled(Name),
    Reported { peer: Name, change: u64, recorded: Option<Vec<(Name, u64)>> },
}

/// The control duty.
pub struct Control {
    /// Byte counters of calls to peers.
    pub traffic: Arc<Traffic>,
    /// Makes the decisions that this duty executes.
    pub controller: Controller,
    /// Client of workers.
    pub worker: Arc<dyn Worker>,
    /// Longest time for which a worker may hold a heartbeat open before it answers.
    pub heartbeat: Millis,
    /// Number of partitions of the ledger.
    pub partitions: u16,
    /// Key that authenticates this instance to peers, as `name:secret`.
    pub key: Option<String>,
    /// Commands from the steward duty and the peer front.
    pub events: Receiver<Event>,
    /// Ring of the steward duty of this instance.
    pub steward: Sender<steward::Event>,
    /// Ring of the ledger duty.
    pub ledger: Sender<Command>,
    /// Membership as published by the gossip duty.
    pub members: Latest<Arc<Members>>,
    /// Replicated state as published by the ledger duty.
    pub ledger_view: Latest<LedgerView>,
    /// Publishes the workers that this instance controls.
    pub controlled: Publisher<ControlledWorkers>,
}

/// Progress of the reports to one peer.
struct PeerReport {
    peer: Name,
    /// The last change of the controller's workers that the peer acknowledged.
    change: u64,
    /// When the last report was sent.
    at: Millis,
    /// Whether a report is in flight.
    in_flight: bool,
}

struct State {
    duty: Control,
    client: Arc<Client>,
    completions: Sender<Completion>,
    /// Workers whose loss is being published.
    publishing_loss: Vec<Name>,
    /// Sorted by peer.
    reports: Vec<PeerReport>,
}

impl Duty for Control {
    fn name(&self) -> &'static str {
        "control"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (completions, received) = ring::ring(256);
            let (mut members, mut ledger_view) = (self.members.clone(), self.ledger_view.clone());
            let events = self.events.clone();
            let duty = *self;
            let client = Arc::new(Client::counted(Arc::clone(&duty.traffic)));
            let mut state = State {
                duty,
                client,
                completions,
                publishing_loss: Vec::new(),
                reports: Vec::new(),
            };
            let mut tick = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    () = stop.cancelled() => break,
                    Some(completion) = received.next() => state.completed(completion),
                    Some(event) = events.next() => state.event(event),
                    Ok(()) = members.changed() => {
                        let seen = Arc::clone(&members.borrow_and_update());
                        state.members(&seen);
                    }
                    Ok(()) = ledger_view.changed() => {
                        let seen = ledger_view.borrow_and_update().clone();
                        state.ledger_view(&seen);
                    }
                    _ = tick.tick() => state.tick(),
                }
                state.execute();
            }
        })
    }
}

impl State {
    fn members(&mut self, members: &Members) {
        let workers: Vec<Instance> = members.of_role(Role::Worker).cloned().collect();
        let candidates: Vec<&Instance> = members.candidates.iter().collect();
        self.duty.controller.members(
            &workers,
            &candidates,
            members.consulted_since.is_some(),
            view::now(),
        );
    }

    fn ledger_view(&mut self, ledger_view: &LedgerView) {
        self.duty.controller.configure(ledger_view.history.configuration());
        self.duty.controller.fleet(&ledger_view.fleet, ledger_view.fleet_as_of);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Operations { operations, reply } => {
                let now = view::now();
                let grants =
                    operations.iter().map(|w| self.duty.controller.handle(w, now)).collect();
                if reply.send(grants).is_err() {
                    tracing::debug!("steward stopped waiting for its grants");
                }
            }
            Event::WorkerStatuses(statuses) => {
                for status in &statuses {
                    self.duty.controller.observe_status(status);
                }
            }
        }
    }

    fn completed(&mut self, completion: Completion) {
        let now = view::now();
        let controller = &mut self.duty.controller;
        match completion {
            Completion::Adopted(worker, outcome) => {
                controller.adopted(worker.as_str(), outcome, now)
            }
            Completion::Heartbeat(worker, outcome) => {
                controller.heartbeat_answered(worker.as_str(), outcome, now)
            }
            Completion::Ordered(worker, epoch, orders, outcome) => {
                controller.ordered(worker.as_str(), epoch, &orders, outcome, now);
            }
            Completion::LossHandled(worker) => self.publishing_loss.retain(|w| *w != worker),
            Completion::Reported { peer, change, recorded } => {
                self.reported(&peer, change, recorded)
            }
        }
    }

    fn tick(&mut self) {
        self.duty.controller.tick(view::now());
        let controlled: Vec<WorkerControl> = self.duty.controller.controlled().collect();
        self.duty.controlled.send_if_modified(|old| old.update(controlled));
        self.report();
    }

    /// Executes the effects that the controller has decided on.
    fn execute(&mut self) {
        for effect in self.duty.controller.effects() {
            match effect {
                Effect::Adopt { worker, address, expected } => {
                    self.adopt(worker, address, expected);
                }
                Effect::Heartbeat { worker, address, request } => {
                    self.send_heartbeat(worker, address, &request)
                }
                Effect::Order { worker, address, epoch, orders } => {
                    self.send_orders(worker, address, epoch, orders);
                }
                Effect::RecordLoss { worker, epoch, expect } => {
                    self.publish_loss(worker, epoch, expect)
                }
            }
        }
    }

    fn spawn(&self, call: impl Future<Output = Completion> + Send + 'static) {
        let completions = self.completions.clone();
        tokio::spawn(async move {
            if completions.push(call.await).await.is_err() {
                tracing::debug!("control duty has ended; call result discarded");
            }
        });
    }

    fn adopt(&self, worker: Name, address: String, expected: Epoch) {
        let access = Arc::clone(&self.duty.worker);
        let controller = self.duty.members.borrow().own.name.clone();
        self.spawn(async move {
            let adopted = access.adopt(&address, Adopt { controller, expected }).await;
            let outcome = match adopted {
                Ok(Adopted::Yes(inventory)) => Outcome::Answered(Ok(inventory)),
                Ok(Adopted::No { epoch, .. }) => Outcome::Answered(Err(epoch)),
                Err(failure) => unanswered(&worker, &failure),
            };
            Completion::Adopted(worker, outcome)
        });
    }

    fn send_heartbeat(&self, worker: Name, address: String, request: &HeartbeatRequest) {
        let access = Arc::clone(&self.duty.worker);
        let HeartbeatRequest { epoch, seen, acknowledged, renew_all } = *request;
        let wait_ms = self.duty.heartbeat;
        let heartbeat = Heartbeat { epoch, seen, acknowledged, renew_all, wait_ms };
        self.spawn(async move {
            let outcome = match access.reply(&address, heartbeat).await {
                Ok(reply) => Outcome::Answered(HeartbeatResponse {
                    epoch: reply.epoch,
                    revision: reply.revision,
                    inventory: reply.inventory,
                    ended: reply.ended,
                }),
                Err(failure) => unanswered(&worker, &failure),
            };
            Completion::Heartbeat(worker, outcome)
        });
    }

    fn send_orders(&self, worker: Name, address: String, epoch: Epoch, orders: Vec<Order>) {
        let access = Arc::clone(&self.duty.worker);
        self.spawn(async move {
            let sent = Orders { epoch, orders: orders.clone() };
            let outcome = match access.order(&address, sent).await {
                Ok(replies) => Outcome::Answered(replies.replies),
                Err(failure) => unanswered(&worker, &failure),
            };
            Completion::Ordered(worker, epoch, orders, outcome)
        });
    }

    /// Publishes the loss of a worker in the fleet stream, at most one publication at a time.
    fn publish_loss(&mut self, worker: Name, epoch: Epoch, expect: u64) {
        if self.publishing_loss.contains(&worker) {
            return;
        }
        self.publishing_loss.push(worker.clone());
        let ledger = self.duty.ledger.clone();
        self.spawn(async move {
            let register = Register::Worker(worker.clone());
            let change = Change::Lost { epoch };
            let published =
                ring::ask(&ledger, |reply| Command::Publish { register, expect, change, reply });
            match published.await {
                Ok(Published::Judged(verdict)) => {
                    tracing::warn!(%worker, epoch, ?verdict, "worker loss published");
                }
                other => {
                    tracing::warn!(%worker, epoch, ?other, "worker loss not confirmed");
                    tokio::time::sleep(Duration::from(REPORT_TIMEOUT)).await;
                }
            }
            Completion::LossHandled(worker)
        });
    }

    /// Sends each steward, including the one of this instance, the changed workers and the ended
    /// attempts of its partitions.
    fn report(&mut self) {
        let now = view::now();
        let members = Arc::clone(&self.duty.members.borrow());
        let endings = self.duty.controller.endings();
        for peer in &members.candidates {
            let i = self.report_index(&peer.name);
            let PeerReport { change, at, in_flight, .. } = self.reports[i];
            if in_flight || now.since(at) < REPORT_INTERVAL {
                continue;
            }
            let (statuses, last) = self.duty.controller.statuses(change);
            let partitions = self.duty.partitions;
            let to_peer = |e: &&Ending| {
                let stream = Stream::of_team(&e.ended.team, partitions);
                members.steward(stream).is_some_and(|s| s.name == peer.name)
            };
            let endings: Vec<Ending> = endings.iter().filter(to_peer).cloned().collect();
            let own = peer.name == members.own.name;
            let interval = if own { REPORT_INTERVAL } else { REMOTE_REPORT_INTERVAL };
            let changed = !statuses.is_empty() && now.since(at) >= interval;
            let due = changed || !endings.is_empty();
            if due {
                self.reports[i] =
                    PeerReport { peer: peer.name.clone(), change, at: now, in_flight: true };
                self.report_to(&members, peer, statuses, endings, last);
            }
        }
        let known = |report: &PeerReport| members.candidates.iter().any(|c| c.name == report.peer);
        self.reports.retain(known);
    }

    /// Returns the index of a peer in `reports`, inserting it if it is new.
    fn report_index(&mut self, peer: &Name) -> usize {
        match self.reports.binary_search_by(|r| r.peer.cmp(peer)) {
            Ok(i) => i,
            Err(i) => {
                let report = PeerReport {
                    peer: peer.clone(),
                    change: 0,
                    at: Millis::ZERO,
                    in_flight: false,
                };
                self.reports.insert(i, report);
                i
            }
        }
    }

    fn report_to(
        &self,
        members: &Members,
        peer: &Instance,
        statuses: Vec<WorkerStatus>,
        endings: Vec<Ending>,
        change: u64,
    ) {
        let name = peer.name.clone();
        let from = members.own.name.clone();
        let report = WorkerStatuses { from, statuses, ended: endings };
        if peer.name == members.own.name {
            let steward = self.duty.steward.clone();
            self.spawn(async move {
                let asked =
                    ring::ask(&steward, |reply| steward::Event::Report { report, reply }).await;
                Completion::Reported { peer: name, change, recorded: asked.ok() }
            });
            return;
        }
        let (client, key) = (Arc::clone(&self.client), self.duty.key.clone());
        let address = peer.address.clone();
        self.spawn(async move {
            let path = "/peer/standings";
            let call: Result<Recorded, _> = client
                .exchange_with_key(&address, path, &report, REPORT_TIMEOUT, key.as_deref())
                .await;
            Completion::Reported { peer: name, change, recorded: call.ok().map(|r| r.recorded) }
        });
    }

    fn reported(&mut self, peer: &Name, change: u64, recorded: Option<Vec<(Name, u64)>>) {
        if let Ok(i) = self.reports.binary_search_by(|r| r.peer.cmp(peer)) {
            self.reports[i].in_flight = false;
            if recorded.is_some() {
                self.reports[i].change = change;
            }
        }
        if let Some(recorded) = recorded {
            self.duty.controller.recorded(&recorded);
        }
    }
}

fn unanswered<T>(worker: &Name, failure: &Failure) -> Outcome<T> {
    tracing::debug!(%worker, ?failure, "worker did not answer");
    Outcome::NoAnswer
}
