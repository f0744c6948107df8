//! Currency: until when an instance may treat its view of a stream as complete.
//!
//! A view is proved current by the end of the stream as reported by the log, by a peer whose own
//! view is proved current, or, while the log is unavailable, by the answers of all peers that could
//! act on newer records. A proof is dated with the time of the question and not of the answer,
//! because the state may have changed after the peer or the log produced its answer. Model:
//! `specs/attempt.tla` for the fleet stream, `specs/configuration.tla` for the configuration.

use crate::clock::Millis;
use crate::ledger::Offset;
use crate::name::Name;
use crate::zone::membership::Membership;
use serde::{Deserialize, Serialize};

/// The latest instant at which a view is proved to have been complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proof {
    as_of: Option<Millis>,
}

impl Proof {
    /// Returns a proof that shows no view to be current.
    pub const fn none() -> Self {
        Self { as_of: None }
    }

    /// Returns the latest instant at which the view is proved to have been complete.
    pub const fn as_of(&self) -> Option<Millis> {
        self.as_of
    }

    /// Processes an answer of the log to a question sent at `asked`: the stream ends at `end`, and the
    /// view contains all records before `next`. Returns whether this proves the view complete.
    pub fn tail(&mut self, asked: Millis, end: Offset, next: Offset) -> bool {
        let complete = next >= end;
        if complete {
            self.note(asked);
        }
        complete
    }

    /// Processes the answers of peers, for a view that contains all records before `next`. Returns
    /// whether they prove the view complete. This instance or one of the peers must have had a proof
    /// before: instances that have all just started may agree on views that are all out of date.
    pub fn peers(&mut self, poll: &Poll, next: Offset) -> bool {
        let had_proof = self.as_of.is_some() || poll.answers.iter().any(|a| a.age.is_some());
        let outcome = poll.outcome(next).filter(|_| had_proof);
        if let Some(as_of) = outcome {
            self.note(as_of);
        }
        outcome.is_some()
    }

    /// Returns the age of the proof; `None` without a proof or if the clock went back.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.as_of.filter(|as_of| *as_of <= now).map(|as_of| now.since(as_of))
    }

    /// Returns whether the view is proved to have been complete within the last `term`.
    pub fn is_current(&self, term: Millis, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age <= term)
    }

    /// Records that the view was complete at `as_of`. An older instant than the known one is ignored.
    pub fn note(&mut self, as_of: Millis) {
        self.as_of = self.as_of.max(Some(as_of));
    }
}

/// A peer's report on its own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Offset of the first record that the peer's view does not contain.
    pub next: Offset,
    /// Age of the peer's proof when it answered, if it has one. An age does not depend on a common
    /// clock, unlike an instant.
    pub age: Option<Millis>,
}

/// One round of questions to all peers, with their answers.
#[derive(Clone, Debug)]
pub struct Poll {
    asked: Millis,
    /// Whether the peers that were asked are all that could act on newer records.
    is_complete: bool,
    /// Peers that have not answered yet, sorted.
    unanswered: Vec<Name>,
    answers: Vec<Statement>,
}

impl Poll {
    /// Returns a poll of all peers of the membership, asked now. If this instance's reading of the
    /// membership list is too old, peers may be missing, and only a peer with a proof of its own can
    /// prove anything.
    pub fn new(membership: &Membership, now: Millis) -> Self {
        let unanswered: Vec<Name> = membership.peers().map(|peer| peer.name.clone()).collect();
        Self {
            asked: now,
            is_complete: membership.is_current(now),
            unanswered,
            answers: Vec::new(),
        }
    }

    /// Returns the peers that have not answered yet, sorted.
    pub fn unanswered(&self) -> &[Name] {
        &self.unanswered
    }

    /// Returns when the peers were asked, by this instance's clock.
    pub const fn asked(&self) -> Millis {
        self.asked
    }

    /// Records the answer of a peer. The caller must first merge the view that came with it. Returns
    /// whether the peer was asked and had not answered yet.
    pub fn answer(&mut self, peer: &str, statement: Statement) -> bool {
        match self.unanswered.binary_search_by(|name| name.as_str().cmp(peer)) {
            Ok(i) => {
                self.unanswered.remove(i);
                self.answers.push(statement);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns the instant at which a view that contains all records before `next` is proved to have
    /// been complete, `None` if the answers do not prove it.
    pub fn outcome(&self, next: Offset) -> Option<Millis> {
        let newest = self.answers.iter().map(|a| a.next).max().unwrap_or_default();
        if self.is_complete && self.unanswered.is_empty() && newest <= next {
            return Some(self.asked);
        }
        let current = self.answers.iter().filter(|a| a.next <= next);
        current.filter_map(|a| a.age).min().map(|age| self.asked - age)
    }
}

#[cfg(test)]
mod tests;
