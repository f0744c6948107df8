//! Peer daemons, among which the owner distributes the calls to the advisor, and to one of which it
//! hands the shard over when that one can serve it better.

use super::State;
use crate::shard::border::{Member, UNKNOWN_TAKEOVER};
use crate::shard::ledger::ANNOUNCE_INTERVAL;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::shard::succession;
use pimentovalve_core::ledger::shard::succession::field::{Candidate, Field, Incumbent};

/// Time without a new announcement after which a peer gets no more queries.
const MEMBER_TIMEOUT: Millis = Millis::from_secs(10);
/// Minimum duration of a tenure before a handover, so that a larger daemon that can't keep the shard
/// does not get it again at once.
const HANDOVER_AFTER: Millis = Millis::from_secs(5);
/// Maximum age of a peer's last announcement for a handover: one announcement interval and a read.
const HANDOVER_MAX_AGE: Millis = Millis::from_secs(4);
/// Announcements of a daemon when it starts and when it has caught up; then one follows each interval.
const FIRST_BEATS: u64 = 2;
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

    /// Returns what the distance from the store adds to this daemon's takeover time.
    pub(super) fn distance(&self) -> Millis {
        succession::distance(self.least_read.get())
    }

    /// Returns the takeover time that this daemon announces while it can take the shard over.
    pub(super) fn takeover(&self) -> Millis {
        self.duty.takeover + self.distance()
    }

    /// Returns the other daemons. One that may have ended, or can't take the shard over, is there with
    /// the takeover time of such a daemon, since its start still tells of a replacement.
    fn field(&self, now: Millis) -> Field<'_> {
        let others = self.peers.iter().filter(|p| p.member.name != self.duty.name);
        let candidates = others.map(|Peer { member, seen, is_alive }| {
            let can_own = *is_alive && now.since(*seen) < HANDOVER_MAX_AGE;
            let intervals = member.beat.saturating_sub(FIRST_BEATS);
            Candidate {
                name: &member.name,
                address: &member.address,
                takeover: if can_own { member.takeover } else { UNKNOWN_TAKEOVER },
                started: seen.since(Millis::from(ANNOUNCE_INTERVAL).times(intervals)),
            }
        });
        Field::new(candidates.collect())
    }

    /// Chooses the daemon that shall claim the shard after this one has released it.
    pub(super) fn choose_successor(&mut self, now: Millis) {
        let Some(epoch) = self.tenure.as_ref().map(|t| t.epoch) else { return };
        let field = self.field(now);
        let is_changing = field.is_changing(now);
        let successor = field.successor(now);
        let peer = successor.map(|s| s.name);
        tracing::info!(epoch, ?peer, is_changing, "successor chosen");
        self.successor = successor.map(|s| (epoch, s.address.into()));
    }

    /// Releases the shard if a live peer can serve it much better: a daemon with little processor time,
    /// with a slow link or far from the store owns a shard only while no other one can.
    pub(super) fn consider_handover(&mut self, now: Millis) {
        let Some(tenure) = &self.tenure else { return };
        if now.since(tenure.since) < HANDOVER_AFTER {
            return;
        }
        let (size, takeover) = (self.duty.takeover, self.takeover());
        let is_store_slow = self.response_time.is_slow();
        let owner = Incumbent { size, takeover, is_store_slow };
        let epoch = tenure.epoch;
        let field = self.field(now);
        let Some(peer) = field.better(&owner, now) else { return };
        let (own_ms, peer_ms) = (takeover.get(), peer.takeover.get());
        tracing::info!(epoch, peer = %peer.name, own_ms, peer_ms, size_ms = size.get(),
            "handing the shard over to a larger or nearer daemon");
        self.successor = Some((epoch, peer.address.into()));
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
