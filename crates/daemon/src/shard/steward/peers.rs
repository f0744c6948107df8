//! Peer daemons, among which the owner distributes the calls to the advisor.

use super::State;
use crate::shard::border::Member;
use pimentovalve_core::clock::Millis;

/// Time without a new announcement after which a peer gets no more queries.
const MEMBER_TIMEOUT: Millis = Millis::from_secs(10);

/// A peer and the time of its last new announcement.
pub(super) struct Peer {
    pub(super) member: Member,
    seen: Millis,
}

impl State {
    /// Merges the newest announcements into the peers and removes those that have timed out.
    pub(super) fn update_members(&mut self, members: Vec<Member>, now: Millis) {
        for member in members {
            match self.peers.binary_search_by(|p| p.member.name.cmp(&member.name)) {
                Ok(i) if self.peers[i].member == member => {}
                Ok(i) => self.peers[i] = Peer { member, seen: now },
                Err(i) => self.peers.insert(i, Peer { member, seen: now }),
            }
        }
        self.peers.retain(|p| now.since(p.seen) < MEMBER_TIMEOUT);
        self.update_askers(now);
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
