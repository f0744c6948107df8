//! The gossip duty: polls the instance list, exchanges pings with peers, and pulls newer state from
//! them when the log is slow or unavailable.

use crate::duty::Duty;
use crate::duty::ledger::Command;
use crate::duty::steward;
use crate::platform::{Failure, List};
use crate::ring::{self, Latest, Publisher, Receiver, Sender};
use crate::view::{self, LedgerView, Members, SchedulerStats};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::share::Totals;
use pimentovalve_core::zone::membership::{self, Instance, Membership};
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::peer::{Ping, PolicyUpdate, Pull, Pulled};
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Interval at which unchanged totals are sent to peers again.
const TOTALS_INTERVAL: Millis = Millis::from_secs(6);

/// The gossip duty.
pub struct Gossip {
    /// Byte counters of calls to peers.
    pub traffic: Arc<Traffic>,
    /// Tracks which entry instances are listed and reachable.
    pub membership: Membership,
    /// Client of the instance list.
    pub list: Arc<dyn List>,
    /// Polling interval of the list.
    pub list_interval: Millis,
    /// Interval of pings to each peer.
    pub ping_interval: Millis,
    /// Maximum difference between the clocks of two instances.
    pub skew: Millis,
    /// Key that authenticates this instance to peers, as `name:secret`.
    pub key: Option<String>,
    /// Replicated state as published by the ledger duty.
    pub ledger_view: Latest<LedgerView>,
    /// Ring of the ledger duty.
    pub ledger: Sender<Command>,
    /// Publishes the membership view.
    pub members: Publisher<Arc<Members>>,
    /// Pings received by the peer front.
    pub pings: Receiver<Ping>,
    /// Scheduler statistics as published by the steward duty.
    pub scheduler_stats: Latest<SchedulerStats>,
    /// Ring of the steward duty.
    pub steward: Sender<steward::Event>,
    /// Cancelled when the instance starts to drain.
    pub drain: CancellationToken,
}

/// The results of calls to the list and to peers.
enum Event {
    Listed { asked: Millis, result: Result<Arc<Vec<Instance>>, Failure> },
    Pong { peer: Instance, asked: Millis, pong: Option<Ping> },
    Pulled(Pulled),
}

/// The last ping that was received from a peer.
struct PeerStatus {
    peer: Instance,
    /// The ping is known to be no older than this.
    asked: Millis,
    pong: Ping,
}

struct State {
    duty: Gossip,
    client: Arc<Client>,
    events: Sender<Event>,
    listed: Arc<Vec<Instance>>,
    /// When the last successful reading of the list was requested.
    list_read: Millis,
    /// Sorted by name of the peer.
    statuses: Vec<PeerStatus>,
    /// Peers with a ping in flight.
    pinging: Vec<Instance>,
    /// The totals that were last sent to peers, and when.
    sent_totals: (Totals, Millis),
}

impl Duty for Gossip {
    fn name(&self) -> &'static str {
        "gossip"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (events, received) = ring::ring(64);
            let mut list_tick = tokio::time::interval(Duration::from(self.list_interval));
            let mut ping_tick = tokio::time::interval(Duration::from(self.ping_interval));
            let drain = self.drain.clone();
            let client = Arc::new(Client::counted(Arc::clone(&self.traffic)));
            let mut state = State {
                duty: *self,
                client,
                events,
                listed: Arc::default(),
                list_read: Millis::ZERO,
                statuses: Vec::new(),
                pinging: Vec::new(),
                sent_totals: (Totals::default(), Millis::ZERO),
            };
            let mut draining = false;
            let pings = state.duty.pings.clone();
            let mut ledger_view = state.duty.ledger_view.clone();
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
                    Ok(()) = ledger_view.changed() => {
                        // Announce a new version at once: peers pull it if the log is slow.
                        let now = ledger_view.borrow_and_update().history.configuration().version;
                        if now > version {
                            version = now;
                            state.ping_all();
                        }
                    }
                    Some(event) = received.next() => state.event(event),
                    _ = list_tick.tick() => state.poll_list(),
                    _ = ping_tick.tick() => state.ping(),
                }
                state.publish();
            }
        })
    }
}

impl State {
    fn poll_list(&self) {
        let (list, events) = (Arc::clone(&self.duty.list), self.events.clone());
        let asked = view::now();
        tokio::spawn(async move {
            let result = list.instances().await;
            if events.push(Event::Listed { asked, result }).await.is_err() {
                tracing::debug!("gossip duty has ended; call result discarded");
            }
        });
    }

    /// Pings the peers with a greater name, since one exchange informs both ends, and the other
    /// peers whose own ping is overdue.
    fn ping(&mut self) {
        let now = view::now();
        let with_totals = self.totals_are_due(now);
        let overdue = self.duty.ping_interval.times(2);
        let own = &self.duty.membership.own().name;
        let must_ping = |peer: &Instance| {
            let found = self.statuses.binary_search_by(|s| s.peer.name.cmp(&peer.name));
            let fresh = found.is_ok_and(|i| now.since(self.statuses[i].asked) <= overdue);
            *own < peer.name || !fresh
        };
        let peers: Vec<Instance> =
            self.duty.membership.peers().filter(|p| must_ping(p)).cloned().collect();
        for peer in peers {
            self.ping_one(peer, with_totals);
        }
    }

    /// Returns whether to send the totals now: they changed, or peers are about to expire them.
    fn totals_are_due(&mut self, now: Millis) -> bool {
        let totals = self.duty.scheduler_stats.borrow().totals;
        let due = totals != self.sent_totals.0 || now.since(self.sent_totals.1) >= TOTALS_INTERVAL;
        if due {
            self.sent_totals = (totals, now);
        }
        due
    }

    fn ping_all(&mut self) {
        let peers: Vec<Instance> = self.duty.membership.peers().cloned().collect();
        for peer in peers {
            self.ping_one(peer, false);
        }
    }

    /// Processes a ping that a peer sent. Its content was true at its time stamp, by the peer's
    /// clock.
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
        let ping = self.own_ping(with_totals);
        let (client, events) = (Arc::clone(&self.client), self.events.clone());
        let (timeout, key) = (self.duty.ping_interval.times(2), self.duty.key.clone());
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
                tracing::debug!("gossip duty has ended; call result discarded");
            }
        });
    }

    fn own_ping(&self, with_totals: bool) -> Ping {
        let policy = self.duty.scheduler_stats.borrow().policy(with_totals);
        Ping { policy, ..self.duty.ledger_view.borrow().ping(self.duty.membership.own()) }
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Listed { asked, result: Ok(instances) } => self.listed(instances, asked),
            Event::Listed { result: Err(failure), .. } => {
                tracing::debug!(?failure, "cannot read instance list");
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

    /// Processes a reading of the list, which may be as old as its request.
    fn listed(&mut self, instances: Arc<Vec<Instance>>, asked: Millis) {
        self.list_read = asked;
        self.duty.membership.listed(&instances, asked);
        self.listed = instances;
    }

    /// Processes a ping or the answer to one: updates the membership, forwards policy data to the
    /// steward duty, and pulls state that is newer at the peer.
    fn pong(&mut self, peer: Instance, asked: Millis, pong: Ping) {
        self.duty.membership.record_answer(peer.name.as_str(), pong.draining, view::now());
        let (peer_name, policy) = (peer.name.clone(), pong.policy.clone());
        let update = steward::Event::PeerUpdate { peer: peer_name, policy };
        if pong.policy != PolicyUpdate::default() && self.duty.steward.offer(update).is_err() {
            tracing::debug!("ring of the steward duty is full or closed; peer's totals discarded");
        }
        let newer = {
            let ledger_view = self.duty.ledger_view.borrow();
            pong.history_next > ledger_view.history.next
                || pong.fleet_next > ledger_view.fleet.next
                || (ledger_view.log_unavailable
                    && (pong.fleet_as_of > ledger_view.fleet_as_of + self.duty.skew
                        || pong.history_as_of > ledger_view.history_as_of + self.duty.skew))
        };
        if newer {
            self.pull(peer.clone());
        }
        match self.statuses.binary_search_by(|s| s.peer.name.cmp(&peer.name)) {
            Ok(i) => self.statuses[i] = PeerStatus { peer, asked, pong },
            Err(i) => self.statuses.insert(i, PeerStatus { peer, asked, pong }),
        }
        self.confirm_current();
    }

    fn pull(&self, peer: Instance) {
        let pull = {
            let ledger_view = self.duty.ledger_view.borrow();
            Pull { history_next: ledger_view.history.next, fleet_next: ledger_view.fleet.next }
        };
        let (client, events) = (Arc::clone(&self.client), self.events.clone());
        let (timeout, key) = (self.duty.ping_interval.times(4), self.duty.key.clone());
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
                tracing::debug!("gossip duty has ended; call result discarded");
            }
        });
    }

    /// Establishes during an outage of the log that the known losses are complete: they are when
    /// every peer that could publish a loss states that none is pending. Model:
    /// `specs/attempt.tla`.
    fn confirm_current(&mut self) {
        let membership = &self.duty.membership;
        let peers: Vec<&Instance> = membership.peers().collect();
        self.statuses.retain(|s| peers.iter().any(|p| p.name == s.peer.name));
        let ledger_view = self.duty.ledger_view.borrow().clone();
        let list_current = membership.is_current(view::now());
        let none_pending = self.statuses.iter().all(|s| !s.pong.loss_pending);
        if !ledger_view.log_unavailable
            || !list_current
            || !none_pending
            || peers.len() != self.statuses.len()
        {
            return;
        }
        // If all instances have just started, none has read the log, and their agreement proves
        // nothing.
        let read = |s: &PeerStatus| s.pong.fleet_as_of.min(s.pong.history_as_of) > Millis::ZERO;
        let own = ledger_view.fleet_as_of.min(ledger_view.history_as_of) > Millis::ZERO;
        if !own && !self.statuses.iter().any(read) {
            return;
        }
        let asked = self.statuses.iter().map(|s| s.asked).min().unwrap_or(self.list_read);
        let as_of = asked.min(self.list_read);
        let fleet_next = self.statuses.iter().map(|s| s.pong.fleet_next).max().unwrap_or(0);
        let history_next = self.statuses.iter().map(|s| s.pong.history_next).max().unwrap_or(0);
        if !ledger_view.loss_pending {
            self.command(Command::ConfirmCurrent { fleet_next, history_next, as_of });
        }
    }

    fn command(&self, command: Command) {
        if self.duty.ledger.offer(command).is_err() {
            tracing::warn!("ring of the ledger duty is full or closed; peer's state discarded");
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
            consulted_since: membership.consulted_since(now),
            draining,
            peer_version: self.statuses.iter().map(|s| s.pong.version).max().unwrap_or(0),
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
