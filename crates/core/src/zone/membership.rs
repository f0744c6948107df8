//! Membership: the instances that exist, from the platform's lagging list joined with what this
//! instance sees of its peers.

use crate::clock::Millis;
use crate::name::Name;
use crate::zone::Place;
use serde::{Deserialize, Serialize};

/// What an instance does.
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

/// Whether an instance may receive new work, as the platform's list says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Serves and may receive new work.
    Live,
    /// Finishes what it has and receives nothing new.
    Leaving,
}

/// One row of the platform's instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name. A replacement has another name.
    pub name: Name,
    /// What the instance does.
    pub role: Role,
    /// Where it stands.
    pub place: Place,
    /// Socket address, IP number and port, of the instance's control port.
    pub address: String,
    /// Whether it may receive new work.
    pub state: State,
    /// Worker on which a runner runs; absent for the other roles.
    pub worker: Option<Name>,
    /// Service that a runner serves; absent for the other roles.
    pub service: Option<Name>,
}

/// What this instance knows of one entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Peer {
    instance: Instance,
    /// When the list first showed the peer.
    listed_since: Millis,
    /// When the list last showed the peer.
    listed_last: Millis,
    /// When the peer last answered; the first listing counts as an answer.
    heard: Millis,
    /// Whether the peer itself said that it is draining.
    draining: bool,
}

/// The entry instances, as far as this instance can tell.
#[derive(Clone, Debug)]
pub struct Membership {
    own: Instance,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Longest lag of the list; a peer that left the list is still asked for this long.
    lag: Millis,
    /// A peer that was not heard for this long counts as dead.
    suspicion: Millis,
}

impl Membership {
    /// Returns a membership that knows only this instance.
    pub const fn new(own: Instance, lag: Millis, suspicion: Millis) -> Self {
        Self { own, peers: Vec::new(), lag, suspicion }
    }

    /// Returns this instance's own row.
    pub const fn own(&self) -> &Instance {
        &self.own
    }

    /// Takes in a reading of the platform's list.
    pub fn listed(&mut self, instances: &[Instance], now: Millis) {
        let own = self.own.name.clone();
        for instance in instances.iter().filter(|i| i.role == Role::Entry && i.name != own) {
            match self.peers.binary_search_by(|p| p.instance.name.cmp(&instance.name)) {
                Ok(i) => {
                    self.peers[i].instance = instance.clone();
                    self.peers[i].listed_last = now;
                }
                Err(i) => {
                    let peer = Peer {
                        instance: instance.clone(),
                        listed_since: now,
                        listed_last: now,
                        heard: now,
                        draining: false,
                    };
                    self.peers.insert(i, peer);
                }
            }
        }
        let lag = self.lag;
        self.peers.retain(|p| now.since(p.listed_last) <= lag);
    }

    /// Notes that a peer answered, and whether it said that it is draining.
    pub fn heard(&mut self, name: &str, draining: bool, now: Millis) {
        if let Ok(i) = self.peers.binary_search_by(|p| p.instance.name.as_str().cmp(name)) {
            self.peers[i].heard = now;
            self.peers[i].draining = draining;
        }
    }

    /// Returns the peers that must be asked: all listed now or within the list's lag.
    pub fn peers(&self) -> impl Iterator<Item = &Instance> {
        self.peers.iter().map(|p| &p.instance)
    }

    /// Returns whether the peer was heard within the suspicion time.
    pub fn is_heard(&self, name: &str, now: Millis) -> bool {
        self.peers
            .binary_search_by(|p| p.instance.name.as_str().cmp(name))
            .is_ok_and(|i| now.since(self.peers[i].heard) <= self.suspicion)
    }

    /// Returns the instances that may own something: heard, live and not draining, this one
    /// included unless it is leaving. Sorted by name.
    pub fn candidates(&self, now: Millis) -> Vec<&Instance> {
        let mut found: Vec<&Instance> = self
            .peers
            .iter()
            .filter(|p| now.since(p.heard) <= self.suspicion && !p.draining)
            .map(|p| &p.instance)
            .filter(|i| i.state == State::Live)
            .collect();
        if self.own.state == State::Live {
            found.push(&self.own);
        }
        found.sort_by(|a, b| a.name.cmp(&b.name));
        found
    }

    /// Marks this instance as leaving: it owns nothing new.
    pub fn drain(&mut self) {
        self.own.state = State::Leaving;
    }
}
