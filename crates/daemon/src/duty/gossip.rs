//! The gossip duty: reads the instance list, tells peers that this instance lives, and fetches
//! from them what the log can't give.

use crate::duty::Duty;
use crate::duty::ledger::Command;
use crate::duty::steward;
use crate::platform::{Failure, List};
use crate::ring::{self, Latest, Publisher, Receiver, Sender};
use crate::view::{self, Facts, Figures, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::share::Totals;
use pimentovalve_core::zone::membership::{self, Instance, Membership};
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::peer::{Ping, Pull, Pulled, Tidings};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time after which peers are told totals that did not change.
const TOTALS_EVERY: Millis = Millis::from_secs(6);

/// The gossip duty.
pub struct Gossip {
    /// Counts the bytes of calls to peers.
    pub traffic: Arc<Traffic>,
    /// What is known of the entry instances.
    pub membership: Membership,
    /// The instance list.
    pub list: Arc<dyn List>,
    /// Time between two readings of the list.
    pub list_every: Millis,
    /// Time between two signs of life to each peer.
    pub ping_every: Millis,
    /// Greatest difference between clocks.
    pub skew: Millis,
    /// Key to show to peers, as `name:secret`.
    pub key: Option<String>,
    /// What the ledger duty publishes.
    pub facts: Latest<Facts>,
    /// The ledger duty.
    pub ledger: Sender<Command>,
    /// Where the view goes.
    pub members: Publisher<Arc<Members>>,
    /// Signs of life that peers sent.
    pub pings: Receiver<Ping>,
    /// What the steward duty measures.
    pub figures: Latest<Figures>,
    /// The steward duty.
    pub steward: Sender<steward::Event>,
    /// Cancelled when the instance starts to drain.
    pub drain: CancellationToken,
}

enum Event {
    Listed { asked: Millis, result: Result<Arc<Vec<Instance>>, Failure> },
    Pong { peer: Instance, asked: Millis, pong: Option<Ping> },
    Pulled(Pulled),
}

/// What a peer last said.
struct Word {
    peer: Instance,
    asked: Millis,
    pong: Ping,
}

struct State {
    duty: Gossip,
    client: Arc<Client>,
    events: Sender<Event>,
    listed: Arc<Vec<Instance>>,
    list_read: Millis,
    words: Vec<Word>,
    pinging: Vec<Instance>,
    /// The totals that peers were last told, and when.
    told: (Totals, Millis),
}

impl Duty for Gossip {
    fn name(&self) -> &'static str {
        "gossip"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (events, received) = ring::ring(64);
            let mut list_tick = tokio::time::interval(Duration::from(self.list_every));
            let mut ping_tick = tokio::time::interval(Duration::from(self.ping_every));
            let drain = self.drain.clone();
            let client = Arc::new(Client::counted(Arc::clone(&self.traffic)));
            let mut state = State {
                duty: *self,
                client,
                events,
                listed: Arc::default(),
                list_read: Millis::ZERO,
                words: Vec::new(),
                pinging: Vec::new(),
                told: (Totals::default(), Millis::ZERO),
            };
            let mut draining = false;
            let pings = state.duty.pings.clone();
            let mut facts = state.duty.facts.clone();
            let mut version = 0;
            loop {
                tokio::select! {
                    () = stop.cancelled() => break,
                    () = drain.cancelled(), if !draining => {
                        draining = true;
                        state.duty.membership.drain();
                        state.ping_all();
                    }
                    Some(ping) = pings.next() => state.pinged(ping),
                    Ok(()) = facts.changed() => {
                        // Peers hear of a new version at once, and fetch it if the log is slow.
                        let now = facts.borrow_and_update().history.configuration().version;
                        if now > version {
                            version = now;
                            state.ping_all();
                        }
                    }
                    Some(event) = received.next() => state.event(event),
                    _ = list_tick.tick() => state.list(),
                    _ = ping_tick.tick() => state.ping(),
                }
                state.publish();
            }
        })
    }
}

impl State {
    fn list(&self) {
        let (list, events) = (Arc::clone(&self.duty.list), self.events.clone());
        let asked = view::now();
        tokio::spawn(async move {
            let result = list.instances().await;
            if events.push(Event::Listed { asked, result }).await.is_err() {
                tracing::debug!("the gossip duty has ended");
            }
        });
    }

    /// Pings the peers whose name is greater, since one exchange tells both ends; and those that
    /// should have pinged and did not.
    fn ping(&mut self) {
        let now = view::now();
        let with_totals = self.totals_are_due(now);
        let overdue = self.duty.ping_every.times(2);
        let own = &self.duty.membership.own().name;
        let is_mine = |peer: &Instance| {
            let word = self.words.binary_search_by(|w| w.peer.name.cmp(&peer.name));
            let fresh = word.is_ok_and(|i| now.since(self.words[i].asked) <= overdue);
            *own < peer.name || !fresh
        };
        let peers: Vec<Instance> =
            self.duty.membership.peers().filter(|p| is_mine(p)).cloned().collect();
        for peer in peers {
            self.ping_one(peer, with_totals);
        }
    }

    /// Returns whether peers are told the totals now: they changed, or are about to be forgotten.
    fn totals_are_due(&mut self, now: Millis) -> bool {
        let totals = self.duty.figures.borrow().totals;
        let due = totals != self.told.0 || now.since(self.told.1) >= TOTALS_EVERY;
        if due {
            self.told = (totals, now);
        }
        due
    }

    fn ping_all(&mut self) {
        let peers: Vec<Instance> = self.duty.membership.peers().cloned().collect();
        for peer in peers {
            self.ping_one(peer, false);
        }
    }

    /// Takes in a sign of life that a peer sent. What it says was true by the peer's clock then.
    fn pinged(&mut self, ping: Ping) {
        let peer = self.duty.membership.peers().find(|p| p.name == ping.from).cloned();
        if let Some(peer) = peer {
            let asked = ping.at - self.duty.skew;
            self.pong(peer, asked, ping);
        }
    }

    fn ping_one(&mut self, peer: Instance, with_totals: bool) {
        if self.pinging.iter().any(|p| p.name == peer.name) {
            return;
        }
        self.pinging.push(peer.clone());
        let ping = self.word(with_totals);
        let (client, events) = (Arc::clone(&self.client), self.events.clone());
        let (timeout, key) = (self.duty.ping_every.times(2), self.duty.key.clone());
        let asked = view::now();
        tokio::spawn(async move {
            let call = client.exchange_with_key(
                &peer.address,
                "/peer/ping",
                &ping,
                timeout,
                key.as_deref(),
            );
            let pong = call.await.ok();
            if events.push(Event::Pong { peer, asked, pong }).await.is_err() {
                tracing::debug!("the gossip duty has ended");
            }
        });
    }

    fn word(&self, with_totals: bool) -> Ping {
        let tidings = self.duty.figures.borrow().tidings(with_totals);
        Ping { tidings, ..self.duty.facts.borrow().word(self.duty.membership.own()) }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Listed { asked, result: Ok(instances) } => self.listed(instances, asked),
            Event::Listed { result: Err(failure), .. } => {
                tracing::debug!(?failure, "the instance list could not be read");
            }
            Event::Pong { peer, asked, pong } => {
                self.pinging.retain(|p| p.name != peer.name);
                if let Some(pong) = pong {
                    self.pong(peer, asked, pong);
                }
            }
            Event::Pulled(mut pulled) => {
                pulled.fleet_as_of = pulled.fleet_as_of - self.duty.skew;
                pulled.history_as_of = pulled.history_as_of - self.duty.skew;
                self.command(Command::Merge(pulled));
            }
        }
    }

    /// Takes in a reading of the list, which is as old as its question.
    fn listed(&mut self, instances: Arc<Vec<Instance>>, asked: Millis) {
        self.list_read = asked;
        self.duty.membership.listed(&instances, asked);
        self.listed = instances;
    }

    fn pong(&mut self, peer: Instance, asked: Millis, pong: Ping) {
        self.duty.membership.heard(peer.name.as_str(), pong.draining, view::now());
        let (peer_name, tidings) = (peer.name.clone(), pong.tidings.clone());
        let hear = steward::Event::Hear { peer: peer_name, tidings };
        if pong.tidings != Tidings::default() && self.duty.steward.offer(hear).is_err() {
            tracing::debug!("the steward duty is behind; a peer's totals are dropped");
        }
        let newer = {
            let facts = self.duty.facts.borrow();
            pong.history_next > facts.history.next
                || pong.fleet_next > facts.fleet.next
                || (facts.log_out
                    && (pong.fleet_as_of > facts.fleet_as_of + self.duty.skew
                        || pong.history_as_of > facts.history_as_of + self.duty.skew))
        };
        if newer {
            self.pull(peer.clone());
        }
        match self.words.binary_search_by(|w| w.peer.name.cmp(&peer.name)) {
            Ok(i) => self.words[i] = Word { peer, asked, pong },
            Err(i) => self.words.insert(i, Word { peer, asked, pong }),
        }
        self.witness();
    }

    fn pull(&self, peer: Instance) {
        let pull = {
            let facts = self.duty.facts.borrow();
            Pull { history_next: facts.history.next, fleet_next: facts.fleet.next }
        };
        let (client, events) = (Arc::clone(&self.client), self.events.clone());
        let (timeout, key) = (self.duty.ping_every.times(4), self.duty.key.clone());
        tokio::spawn(async move {
            let call = client.exchange_with_key(
                &peer.address,
                "/peer/pull",
                &pull,
                timeout,
                key.as_deref(),
            );
            if let Ok(pulled) = call.await
                && events.push(Event::Pulled(pulled)).await.is_err()
            {
                tracing::debug!("the gossip duty has ended");
            }
        });
    }

    /// In an outage of the log: when every peer that could record a loss says that it has none
    /// under way, the losses that are known are all there are. Model: `specs/attempt.tla`.
    fn witness(&mut self) {
        let membership = &self.duty.membership;
        let peers: Vec<&Instance> = membership.peers().collect();
        self.words.retain(|w| peers.iter().any(|p| p.name == w.peer.name));
        let facts = self.duty.facts.borrow().clone();
        let list_current = membership.is_current(view::now());
        let quiet = self.words.iter().all(|w| !w.pong.loss_pending);
        if !facts.log_out || !list_current || !quiet || peers.len() != self.words.len() {
            return;
        }
        // Instances that have all just started know nothing, however well they agree.
        let read = |w: &Word| w.pong.fleet_as_of.min(w.pong.history_as_of) > Millis::ZERO;
        let own = facts.fleet_as_of.min(facts.history_as_of) > Millis::ZERO;
        if !own && !self.words.iter().any(read) {
            return;
        }
        let asked = self.words.iter().map(|w| w.asked).min().unwrap_or(self.list_read);
        let as_of = asked.min(self.list_read);
        let fleet_next = self.words.iter().map(|w| w.pong.fleet_next).max().unwrap_or(0);
        let history_next = self.words.iter().map(|w| w.pong.history_next).max().unwrap_or(0);
        if !facts.loss_pending {
            self.command(Command::Witness { fleet_next, history_next, as_of });
        }
    }

    fn command(&self, command: Command) {
        if self.duty.ledger.offer(command).is_err() {
            tracing::warn!("the ledger duty is behind; a peer's word is dropped");
        }
    }

    fn publish(&self) {
        let now = view::now();
        let membership = &self.duty.membership;
        let own = membership.own().clone();
        let draining = own.state == membership::State::Leaving;
        let members = Members {
            own,
            listed: Arc::clone(&self.listed),
            candidates: membership.candidates(now).into_iter().cloned().collect(),
            peers: membership.peers().cloned().collect(),
            asked_since: membership.asked_since(now),
            draining,
            informed: self.words.iter().map(|w| w.pong.version).max().unwrap_or(0),
        };
        self.duty.members.send_if_modified(|old| {
            let changed = **old != members;
            if changed {
                *old = Arc::new(members);
            }
            changed
        });
    }
}
