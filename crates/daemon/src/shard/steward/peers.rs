//! The other daemons, through which the owner asks the advisor.

use super::State;
use crate::shard::border::Member;
use pimentovalve_core::clock::Millis;

/// A member that was not announced anew for so long is not asked anything.
const MEMBER_SILENCE: Millis = Millis::from_secs(10);

/// A member and when it was last announced anew.
pub(super) struct Peer {
    pub(super) member: Member,
    seen: Millis,
}

impl State {
    pub(super) fn meet(&mut self, members: Vec<Member>, now: Millis) {
        for member in members {
            match self.peers.binary_search_by(|p| p.member.name.cmp(&member.name)) {
                Ok(i) if self.peers[i].member == member => {}
                Ok(i) => self.peers[i] = Peer { member, seen: now },
                Err(i) => self.peers.insert(i, Peer { member, seen: now }),
            }
        }
        self.peers.retain(|p| now.since(p.seen) < MEMBER_SILENCE);
        self.set_askers(now);
    }

    pub(super) fn set_askers(&mut self, now: Millis) {
        let Some(tenure) = &mut self.tenure else { return };
        let mut names = vec![self.duty.name.clone()];
        let live = self.peers.iter().filter(|p| now.since(p.seen) < MEMBER_SILENCE);
        names.extend(live.map(|p| p.member.name.clone()).filter(|n| *n != self.duty.name));
        tenure.owner.desk_mut().set_askers(&names);
    }
}
