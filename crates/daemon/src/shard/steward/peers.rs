//! Peer daemons, among which the owner distributes the calls to the advisor, and to one of which it
//! hands the shard over when that one can serve it better.

use super::State;
use crate::shard::border::Member;
use pimentovalve_core::clock::Millis;

/// Time without a new announcement after which a peer gets no more queries.
const MEMBER_TIMEOUT: Millis = Millis::from_secs(10);
/// Minimum duration of a tenure before a handover, so that a larger daemon that can't keep the shard
/// does not get it again at once.
const HANDOVER_AFTER: Millis = Millis::from_secs(5);
/// Maximum age of a peer's last announcement for a handover: one announcement interval and a read.
const HANDOVER_MAX_AGE: Millis = Millis::from_secs(4);
/// Minimum ratio between the estimated takeover times of this daemon and of the peer. A smaller gain
/// is not worth the pause that a takeover costs.
const HANDOVER_RATIO: u64 = 2;
/// Time after a handover in which this daemon does not claim the shard.
const HANDOVER_GRACE: Millis = Millis::from_secs(2);

/// A peer and the time of its last new announcement.
pub(super) struct Peer {
    pub(super) member: Member,
    seen: Millis,
    /// Whether a second announcement was seen; the first one may be that of an ended process.
    is_alive: bool,
}

impl State {
    /// Merges the newest announcements into the peers and removes those that have timed out.
    pub(super) fn update_members(&mut self, members: Vec<Member>, now: Millis) {
        for member in members {
            match self.peers.binary_search_by(|p| p.member.name.cmp(&member.name)) {
                Ok(i) if self.peers[i].member == member => {}
                Ok(i) => self.peers[i] = Peer { member, seen: now, is_alive: true },
                Err(i) => self.peers.insert(i, Peer { member, seen: now, is_alive: false }),
            }
        }
        self.peers.retain(|p| now.since(p.seen) < MEMBER_TIMEOUT);
        let others = self.peers.iter().filter(|p| p.member.name != self.duty.name);
        let addresses = others.map(|p| p.member.address.clone()).collect();
        self.duty.peer_addresses.send_replace(addresses);
        self.update_askers(now);
    }

    /// Releases the shard if a live peer can serve it much better: a daemon with little processor time
    /// or a slow link owns a shard only while no larger one can.
    pub(super) fn consider_handover(&mut self, now: Millis) {
        let Some(tenure) = &self.tenure else { return };
        if now.since(tenure.since) < HANDOVER_AFTER {
            return;
        }
        let is_better = |p: &&Peer| {
            p.is_alive
                && now.since(p.seen) < HANDOVER_MAX_AGE
                && p.member.takeover.times(HANDOVER_RATIO) <= self.duty.takeover
        };
        let Some(peer) = self.peers.iter().filter(is_better).min_by_key(|p| p.member.takeover)
        else {
            return;
        };
        let (own_ms, peer_ms) = (self.duty.takeover.get(), peer.member.takeover.get());
        tracing::info!(peer = %peer.member.name, own_ms, peer_ms, "handing the shard over to a larger daemon");
        self.next_claim = now + HANDOVER_GRACE;
        self.release();
    }

    /// Passes the names of this daemon and its live peers to the owner.
    pub(super) fn update_askers(&mut self, now: Millis) {
        let Some(tenure) = &mut self.tenure else { return };
        let mut names = vec![self.duty.name.clone()];
        let live = self.peers.iter().filter(|p| now.since(p.seen) < MEMBER_TIMEOUT);
        names.extend(live.map(|p| p.member.name.clone()).filter(|n| *n != self.duty.name));
        tenure.owner.queries_mut().set_relays(&names);
    }
}
