//! Membership: the instances that exist, from the platform's lagging list joined with what this
//! instance sees of its peers.
//!
//! The list lags, and is read at intervals. A view of it that is relied on trails the list by at
//! most twice its longest lag: one lag for the list itself, one for the age of the reading. Two
//! rules follow, without which an outage of the log could hide a loss from a controller: an
//! instance rests on a loss only once every controller must have it on its list, and an instance
//! that left the list is still asked until it must have noticed. Assumed of the list: an entry
//! doesn't come and go faster than it lags. Model: `specs/attempt.tla`.

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
    /// Since when the list doesn't show the peer; `None` while it does.
    missing_since: Option<Millis>,
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
    /// Longest lag of the list, and greatest age of a reading that is relied on.
    lag: Millis,
    /// When the list was last read.
    read_at: Option<Millis>,
    /// Since when the list shows this instance without a gap.
    own_since: Option<Millis>,
    /// A peer that was not heard for this long counts as dead.
    suspicion: Millis,
}

impl Membership {
    /// Returns a membership that knows only this instance. `lag` is the longest lag of the list,
    /// the time-out of a reading included.
    pub const fn new(own: Instance, lag: Millis, suspicion: Millis) -> Self {
        Self { own, peers: Vec::new(), lag, read_at: None, own_since: None, suspicion }
    }

    /// Returns this instance's own row.
    pub const fn own(&self) -> &Instance {
        &self.own
    }

    /// Takes in a reading of the platform's list that was asked for at `now`.
    pub fn listed(&mut self, instances: &[Instance], now: Millis) {
        self.note_own(instances.iter().any(|i| i.name == self.own.name), now);
        self.read_at = Some(now);
        for peer in &mut self.peers {
            if !instances.iter().any(|i| i.name == peer.instance.name) {
                peer.missing_since = peer.missing_since.or(Some(now));
            }
        }
        for instance in instances {
            if instance.role == Role::Entry && instance.name != self.own.name {
                self.note_peer(instance, now);
            }
        }
        let trail = self.trail();
        self.peers.retain(|p| p.missing_since.is_none_or(|since| now.since(since) <= trail));
    }

    /// Returns the longest time by which a view that is relied on may trail the list.
    fn trail(&self) -> Millis {
        self.lag.times(2)
    }

    fn note_own(&mut self, shown: bool, now: Millis) {
        // Between two readings that lie too far apart the instance may have been off the list.
        let seamless = self.is_current(now);
        self.own_since = match self.own_since {
            Some(since) if shown && seamless => Some(since),
            _ => shown.then_some(now),
        };
    }

    fn note_peer(&mut self, instance: &Instance, now: Millis) {
        match self.peers.binary_search_by(|p| p.instance.name.cmp(&instance.name)) {
            Ok(i) => {
                self.peers[i].instance = instance.clone();
                self.peers[i].missing_since = None;
            }
            Err(i) => {
                let peer = Peer {
                    instance: instance.clone(),
                    missing_since: None,
                    heard: now,
                    draining: false,
                };
                self.peers.insert(i, peer);
            }
        }
    }

    /// Returns whether the last reading of the list is recent enough to be relied on.
    pub fn is_current(&self, now: Millis) -> bool {
        self.read_at.is_some_and(|read| read <= now && now.since(read) <= self.lag)
    }

    /// Returns since when every instance that relies on its view of the list has this one on it,
    /// and so would ask it; `None` if that can't be shown.
    pub fn asked_since(&self, now: Millis) -> Option<Millis> {
        let since = self.own_since.filter(|_| self.is_current(now))? + self.trail();
        (since <= now).then_some(since)
    }

    /// Notes that a peer answered, and whether it said that it is draining.
    pub fn heard(&mut self, name: &str, draining: bool, now: Millis) {
        if let Ok(i) = self.peers.binary_search_by(|p| p.instance.name.as_str().cmp(name)) {
            self.peers[i].heard = now;
            self.peers[i].draining = draining;
        }
    }

    /// Returns the peers that must be asked: those listed, and those that left the list so lately
    /// that they may not know it yet. Sorted by name.
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

#[cfg(test)]
mod tests;
