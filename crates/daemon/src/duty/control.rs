//! The control duty: carries out what the controller decides about its workers.

use crate::duty::Duty;
use crate::duty::ledger::{Command, Published};
use crate::duty::steward;
use crate::platform::{Failure, Worker};
use crate::ring::{self, Latest, Publisher, Receiver, Reply, Sender};
use crate::view::{self, Facts, Held, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::Stream;
use pimentovalve_core::ledger::record::{Change, Register};
use pimentovalve_core::machine::controller::{
    Controller, Effect, Ending, Grant, Heard, Outcome, Pulse, Standing, Tenure, Wish,
};
use pimentovalve_core::machine::worker::{Epoch, Inventory, Order, Reply as Answer};
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::membership::{Instance, Role};
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::peer::{Recorded, Standings};
use pimentovalve_wire::worker::{Adopt, Adopted, Heartbeat, Orders};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Time between two reports of ended attempts, or of anything within this instance.
const REPORT: Millis = Millis(100);
/// Time between two reports of changed workers to another instance. A view that is older only
/// costs a refused reservation.
const REPORT_AFAR: Millis = Millis(500);
/// Longest time for a report to be answered.
const REPORT_TIMEOUT: Millis = Millis::from_secs(2);

/// A command to the control duty.
#[derive(Debug)]
pub enum Event {
    /// Wishes of a steward.
    Wishes {
        /// The wishes.
        wishes: Vec<Wish>,
        /// Where the answers go, in order.
        reply: Reply<Vec<Grant>>,
    },
    /// What another controller says of its workers.
    Stand(Vec<Standing>),
}

/// What calls come back with.
enum Call {
    Adopted(Name, Outcome<Result<Inventory, Epoch>>),
    Beaten(Name, Outcome<Heard>),
    Ordered(Name, Epoch, Vec<Order>, Outcome<Vec<Answer>>),
    Lost(Name),
    Reported { peer: Name, change: u64, recorded: Option<Vec<(Name, u64)>> },
}

/// The control duty.
pub struct Control {
    /// Counts the bytes of calls to peers.
    pub traffic: Arc<Traffic>,
    /// The controller.
    pub controller: Controller,
    /// Access to workers.
    pub worker: Arc<dyn Worker>,
    /// How long a worker may wait before it answers a sign of life.
    pub heartbeat: Millis,
    /// Partitions of the ledger.
    pub partitions: u16,
    /// Key to show to peers, as `name:secret`.
    pub key: Option<String>,
    /// Commands.
    pub events: Receiver<Event>,
    /// The steward duty of this instance.
    pub steward: Sender<steward::Event>,
    /// The ledger duty.
    pub ledger: Sender<Command>,
    /// The instances.
    pub members: Latest<Arc<Members>>,
    /// What the ledger duty publishes.
    pub facts: Latest<Facts>,
    /// Where the controlled workers go.
    pub held: Publisher<Held>,
}

/// What a peer was told.
struct Told {
    peer: Name,
    change: u64,
    at: Millis,
    busy: bool,
}

struct State {
    duty: Control,
    client: Arc<Client>,
    calls: Sender<Call>,
    losing: Vec<Name>,
    /// Sorted by peer.
    told: Vec<Told>,
}

impl Duty for Control {
    fn name(&self) -> &'static str {
        "control"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (calls, received) = ring::ring(256);
            let (mut members, mut facts) = (self.members.clone(), self.facts.clone());
            let events = self.events.clone();
            let duty = *self;
            let client = Arc::new(Client::counted(Arc::clone(&duty.traffic)));
            let mut state = State { duty, client, calls, losing: Vec::new(), told: Vec::new() };
            let mut tick = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    () = stop.cancelled() => break,
                    Some(call) = received.next() => state.call(call),
                    Some(event) = events.next() => state.event(event),
                    Ok(()) = members.changed() => {
                        let seen = Arc::clone(&members.borrow_and_update());
                        state.members(&seen);
                    }
                    Ok(()) = facts.changed() => {
                        let seen = facts.borrow_and_update().clone();
                        state.facts(&seen);
                    }
                    _ = tick.tick() => state.tick(),
                }
                state.carry_out();
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
            members.asked_since.is_some(),
            view::now(),
        );
    }

    fn facts(&mut self, facts: &Facts) {
        self.duty.controller.configure(facts.history.configuration());
        self.duty.controller.fleet(&facts.fleet, facts.fleet_as_of);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Wishes { wishes, reply } => {
                let now = view::now();
                let grants = wishes.iter().map(|w| self.duty.controller.wish(w, now)).collect();
                if reply.send(grants).is_err() {
                    tracing::debug!("a steward no longer waits for its grants");
                }
            }
            Event::Stand(standings) => {
                for standing in &standings {
                    self.duty.controller.stand(standing);
                }
            }
        }
    }

    fn call(&mut self, call: Call) {
        let now = view::now();
        let controller = &mut self.duty.controller;
        match call {
            Call::Adopted(worker, outcome) => controller.adopted(worker.as_str(), outcome, now),
            Call::Beaten(worker, outcome) => controller.beaten(worker.as_str(), outcome, now),
            Call::Ordered(worker, epoch, orders, outcome) => {
                controller.ordered(worker.as_str(), epoch, &orders, outcome, now);
            }
            Call::Lost(worker) => self.losing.retain(|w| *w != worker),
            Call::Reported { peer, change, recorded } => self.reported(&peer, change, recorded),
        }
    }

    fn tick(&mut self) {
        self.duty.controller.tick(view::now());
        let held: Vec<Tenure> = self.duty.controller.held().collect();
        self.duty.held.send_if_modified(|old| old.update(held));
        self.report();
    }

    fn carry_out(&mut self) {
        for effect in self.duty.controller.effects() {
            match effect {
                Effect::Adopt { worker, address, expected } => {
                    self.adopt(worker, address, expected);
                }
                Effect::Beat { worker, address, pulse } => self.beat(worker, address, &pulse),
                Effect::Order { worker, address, epoch, orders } => {
                    self.order(worker, address, epoch, orders);
                }
                Effect::Lose { worker, epoch, expect } => self.lose(worker, epoch, expect),
            }
        }
    }

    fn spawn(&self, call: impl Future<Output = Call> + Send + 'static) {
        let calls = self.calls.clone();
        tokio::spawn(async move {
            if calls.push(call.await).await.is_err() {
                tracing::debug!("the control duty has ended");
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
                Err(failure) => silent(&worker, &failure),
            };
            Call::Adopted(worker, outcome)
        });
    }

    fn beat(&self, worker: Name, address: String, pulse: &Pulse) {
        let access = Arc::clone(&self.duty.worker);
        let Pulse { epoch, seen, acknowledged, renew_all } = *pulse;
        let wait_ms = self.duty.heartbeat;
        let heartbeat = Heartbeat { epoch, seen, acknowledged, renew_all, wait_ms };
        self.spawn(async move {
            let outcome = match access.beat(&address, heartbeat).await {
                Ok(beat) => Outcome::Answered(Heard {
                    epoch: beat.epoch,
                    revision: beat.revision,
                    inventory: beat.inventory,
                    ended: beat.ended,
                }),
                Err(failure) => silent(&worker, &failure),
            };
            Call::Beaten(worker, outcome)
        });
    }

    fn order(&self, worker: Name, address: String, epoch: Epoch, orders: Vec<Order>) {
        let access = Arc::clone(&self.duty.worker);
        self.spawn(async move {
            let sent = Orders { epoch, orders: orders.clone() };
            let outcome = match access.order(&address, sent).await {
                Ok(replies) => Outcome::Answered(replies.replies),
                Err(failure) => silent(&worker, &failure),
            };
            Call::Ordered(worker, epoch, orders, outcome)
        });
    }

    fn lose(&mut self, worker: Name, epoch: Epoch, expect: u64) {
        if self.losing.contains(&worker) {
            return;
        }
        self.losing.push(worker.clone());
        let ledger = self.duty.ledger.clone();
        self.spawn(async move {
            let register = Register::Worker(worker.clone());
            let change = Change::Lost { epoch };
            let published =
                ring::ask(&ledger, |reply| Command::Publish { register, expect, change, reply });
            match published.await {
                Ok(Published::Judged(verdict)) => {
                    tracing::warn!(%worker, epoch, ?verdict, "a worker is lost");
                }
                other => {
                    tracing::warn!(%worker, epoch, ?other, "a loss could not be recorded");
                    tokio::time::sleep(Duration::from(REPORT_TIMEOUT)).await;
                }
            }
            Call::Lost(worker)
        });
    }

    /// Tells every peer, and the own steward, what changed and what ended.
    fn report(&mut self) {
        let now = view::now();
        let members = Arc::clone(&self.duty.members.borrow());
        let endings = self.duty.controller.endings();
        for peer in &members.candidates {
            let i = self.told(&peer.name);
            let Told { change, at, busy, .. } = self.told[i];
            if busy || now.since(at) < REPORT {
                continue;
            }
            let (standings, last) = self.duty.controller.standings(change);
            let partitions = self.duty.partitions;
            let to_peer = |e: &&Ending| {
                let stream = Stream::of_team(&e.ended.team, partitions);
                members.steward(stream).is_some_and(|s| s.name == peer.name)
            };
            let endings: Vec<Ending> = endings.iter().filter(to_peer).cloned().collect();
            let own = peer.name == members.own.name;
            let every = if own { REPORT } else { REPORT_AFAR };
            let changed = !standings.is_empty() && now.since(at) >= every;
            let due = changed || !endings.is_empty();
            if due {
                self.told[i] = Told { peer: peer.name.clone(), change, at: now, busy: true };
                self.report_to(&members, peer, standings, endings, last);
            }
        }
        let known = |told: &Told| members.candidates.iter().any(|c| c.name == told.peer);
        self.told.retain(known);
    }

    fn told(&mut self, peer: &Name) -> usize {
        match self.told.binary_search_by(|t| t.peer.cmp(peer)) {
            Ok(i) => i,
            Err(i) => {
                let told = Told { peer: peer.clone(), change: 0, at: Millis::ZERO, busy: false };
                self.told.insert(i, told);
                i
            }
        }
    }

    fn report_to(
        &self,
        members: &Members,
        peer: &Instance,
        standings: Vec<Standing>,
        endings: Vec<Ending>,
        change: u64,
    ) {
        let name = peer.name.clone();
        let from = members.own.name.clone();
        let report = Standings { from, standings, ended: endings };
        if peer.name == members.own.name {
            let steward = self.duty.steward.clone();
            self.spawn(async move {
                let asked =
                    ring::ask(&steward, |reply| steward::Event::Report { report, reply }).await;
                Call::Reported { peer: name, change, recorded: asked.ok() }
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
            Call::Reported { peer: name, change, recorded: call.ok().map(|r| r.recorded) }
        });
    }

    fn reported(&mut self, peer: &Name, change: u64, recorded: Option<Vec<(Name, u64)>>) {
        if let Ok(i) = self.told.binary_search_by(|t| t.peer.cmp(peer)) {
            self.told[i].busy = false;
            if recorded.is_some() {
                self.told[i].change = change;
            }
        }
        if let Some(recorded) = recorded {
            self.duty.controller.recorded(&recorded);
        }
    }
}

fn silent<T>(worker: &Name, failure: &Failure) -> Outcome<T> {
    tracing::debug!(%worker, ?failure, "a worker did not answer");
    Outcome::Silent
}
