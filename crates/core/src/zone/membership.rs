//! Membership: the known instances, from the platform's instance list and from the answers of
//! peers.
//!
//! The list is eventually consistent and is polled. A reading that is still used is stale by at
//! most twice the maximum lag of the list: once for the list itself and once for the age of the
//! reading. Without the following two rules, an outage of the log could hide a loss from a
//! controller:
//!
//! - An instance acts on a loss only once every controller must have that instance on its list.
//! - An instance that left the list is still asked until it must have noticed its removal.
//!
//! This assumes that an entry isn't added and removed faster than the list lags. Model:
//! `specs/attempt.tla`.

use crate::clock::Millis;
use crate::name::Name;
use crate::zone::Place;
use serde::{Deserialize, Serialize};

/// The kind of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance that runs the daemon.
    Entry,
    /// A worker that runs tasks.
    Worker,
    /// A runner that serves the requests of one service.
    Runner,
}

/// Whether an instance accepts new work, according to the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Accepts new work.
    Live,
    /// Finishes its current work and accepts no more.
    Leaving,
}

/// One entry of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name, which a replacement instance doesn't reuse.
    pub name: Name,
    /// Entry instance, worker or runner.
    pub role: Role,
    /// Region, failure domain and rack.
    pub place: Place,
    /// Socket address of the instance's control port, as IP address and port.
    pub address: String,
    /// Whether it accepts new work.
    pub state: State,
    /// Worker on which a runner runs; `None` for the other roles.
    pub worker: Option<Name>,
    /// Service that a runner serves; `None` for the other roles.
    pub service: Option<Name>,
}

/// State of another entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    instance: Instance,
    /// Since when readings of the list have lacked the peer; `None` while it is listed.
    missing_since: Option<Millis>,
    /// When the peer last answered; initially, when it was first listed.
    last_heard: Millis,
    /// Whether the peer reported that it is draining.
    draining: bool,
}

/// The known entry instances and their liveness.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Instance,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Maximum lag of the list, and maximum age at which a reading is still used.
    lag: Millis,
    /// When the last reading of the list was requested.
    read_at: Option<Millis>,
    /// Since when the list has contained this instance without interruption.
    own_listed_since: Option<Millis>,
    /// Time without an answer after which a peer is considered dead.
    suspicion: Millis,
}

impl Membership {
    /// Returns a membership with only this instance. `lag` is the maximum lag of the list,
    /// including the time-out of a reading.
    pub const fn new(own: Instance, lag: Millis, suspicion: Millis) -> Self {
        Self { own, peers: Vec::new(), lag, read_at: None, own_listed_since: None, suspicion }
    }

    /// Returns the entry of this instance. Its state changes only by [`Self::drain`].
    pub const fn own(&self) -> &Instance {
        &self.own
    }

    /// Applies a reading of the platform's list that was requested at `now`.
    pub fn listed(&mut self, instances: &[Instance], now: Millis) {
        self.update_own(instances.iter().any(|i| i.name == self.own.name), now);
        self.read_at = Some(now);
        for peer in &mut self.peers {
            if !instances.iter().any(|i| i.name == peer.instance.name) {
                peer.missing_since = peer.missing_since.or(Some(now));
            }
        }
        for instance in instances {
            if instance.role == Role::Entry && instance.name != self.own.name {
                self.update_peer(instance, now);
            }
        }
        let staleness = self.max_staleness();
        self.peers.retain(|p| p.missing_since.is_none_or(|since| now.since(since) <= staleness));
    }

    /// Returns the maximum staleness of a reading that is still used.
    fn max_staleness(&self) -> Millis {
        self.lag.times(2)
    }

    fn update_own(&mut self, listed: bool, now: Millis) {
        // If two readings are too far apart, the instance may have been off the list in between.
        let continuous = self.is_current(now);
        self.own_listed_since = match self.own_listed_since {
            Some(since) if listed && continuous => Some(since),
            _ => listed.then_some(now),
        };
    }

    fn update_peer(&mut self, instance: &Instance, now: Millis) {
        match self.peers.binary_search_by(|p| p.instance.name.cmp(&instance.name)) {
            Ok(i) => {
                self.peers[i].instance = instance.clone();
                self.peers[i].missing_since = None;
            }
            Err(i) => {
                let peer = Peer {
                    instance: instance.clone(),
                    missing_since: None,
                    last_heard: now,
                    draining: false,
                };
                self.peers.insert(i, peer);
            }
        }
    }

    /// Returns whether the last reading of the list is recent enough to be used.
    pub fn is_current(&self, now: Millis) -> bool {
        self.read_at.is_some_and(|read| read <= now && now.since(read) <= self.lag)
    }

    /// Returns since when every instance with a current reading of the list has this instance on
    /// it, and so would ask it; `None` if that isn't certain.
    pub fn consulted_since(&self, now: Millis) -> Option<Millis> {
        let since = self.own_listed_since.filter(|_| self.is_current(now))? + self.max_staleness();
        (since <= now).then_some(since)
    }

    /// Records an answer of a peer, which says whether it is draining.
    pub fn record_answer(&mut self, name: &str, draining: bool, now: Millis) {
        if let Ok(i) = self.peers.binary_search_by(|p| p.instance.name.as_str().cmp(name)) {
            self.peers[i].last_heard = now;
            self.peers[i].draining = draining;
        }
    }

    /// Returns the peers that must be asked, sorted by name: those listed, and those that left the
    /// list so recently that they may not have noticed.
    pub fn peers(&self) -> impl Iterator<Item = &Instance> {
        self.peers.iter().map(|p| &p.instance)
    }

    /// Returns whether the peer has answered within the suspicion time.
    pub fn is_heard(&self, name: &str, now: Millis) -> bool {
        self.peers
            .binary_search_by(|p| p.instance.name.as_str().cmp(name))
            .is_ok_and(|i| now.since(self.peers[i].last_heard) <= self.suspicion)
    }

    /// Returns the instances that may own workers and partitions, sorted by name: the live,
    /// responsive peers that aren't draining, and this instance unless it is leaving.
    pub fn candidates(&self, now: Millis) -> Vec<&Instance> {
        let mut found: Vec<&Instance> = self
            .peers
            .iter()
            .filter(|p| now.since(p.last_heard) <= self.suspicion && !p.draining)
            .map(|p| &p.instance)
            .filter(|i| i.state == State::Live)
            .collect();
        if self.own.state == State::Live {
            found.push(&self.own);
        }
        found.sort_by(|a, b| a.name.cmp(&b.name));
        found
    }

    /// Marks this instance as leaving, which removes it from the candidates.
    pub fn drain(&mut self) {
        self.own.state = State::Leaving;
    }
}

#[cfg(test)]
mod tests;
