//! Currency: until when an instance may rest on its view of a stream.
//!
//! A view is shown to be current by the end of the stream that the log itself reports, by a peer
//! that can show its own view to be current, or, while the log is down, by every peer that could
//! act on something newer. A proof is as old as the question and not as the answer: what the
//! answer says may have changed since it was given. Model: `specs/attempt.tla` for the fleet
//! stream, `specs/configuration.tla` for the configuration.

use crate::clock::Millis;
use crate::ledger::Offset;
use crate::name::Name;
use crate::zone::membership::Membership;
use serde::{Deserialize, Serialize};

/// The newest instant at which a view is known to have been complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proof {
    as_of: Option<Millis>,
}

impl Proof {
    /// Returns the proof of nothing.
    pub const fn none() -> Self {
        Self { as_of: None }
    }

    /// Returns when the view is known to have been complete.
    pub const fn as_of(&self) -> Option<Millis> {
        self.as_of
    }

    /// Takes in the log's own answer: asked at `asked`, it said that the stream ends at `end`, and
    /// the view has taken in everything before `next`. Returns whether that is a proof.
    pub fn tail(&mut self, asked: Millis, end: Offset, next: Offset) -> bool {
        let complete = next >= end;
        if complete {
            self.note(asked);
        }
        complete
    }

    /// Takes in the answers of peers, given what the view has taken in. Returns whether they are a
    /// proof. Somebody among this instance and the peers must have been current once: those that
    /// have just started know nothing, however well they agree.
    pub fn peers(&mut self, poll: &Poll, next: Offset) -> bool {
        let known = self.as_of.is_some() || poll.answers.iter().any(|a| a.age.is_some());
        let outcome = poll.outcome(next).filter(|_| known);
        if let Some(as_of) = outcome {
            self.note(as_of);
        }
        outcome.is_some()
    }

    /// Returns the age of the proof in ms; `None` without a proof, and if the clock went back.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.as_of.filter(|as_of| *as_of <= now).map(|as_of| now.since(as_of))
    }

    /// Returns whether the view is shown to have been complete within the last `term` ms.
    pub fn shows(&self, term: Millis, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age <= term)
    }

    /// Takes in that the view was complete at `as_of`.
    pub fn note(&mut self, as_of: Millis) {
        self.as_of = self.as_of.max(Some(as_of));
    }
}

/// What a peer says of its own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Offset of the next record that the peer will read.
    pub next: Offset,
    /// Age of the peer's own proof in ms when it answered, if it has one. An age and not an
    /// instant, so that the clocks of the two need not agree.
    pub age: Option<Millis>,
}

/// One question to all peers and their answers.
#[derive(Clone, Debug)]
pub struct Poll {
    asked: Millis,
    /// Whether the peers asked are all that could act on something newer.
    whole: bool,
    /// Peers that did not answer yet, sorted.
    open: Vec<Name>,
    answers: Vec<Statement>,
}

impl Poll {
    /// Returns a question asked now of all peers of the membership. If the own reading of the
    /// list is too old, only a peer that is current itself can give a proof.
    pub fn new(membership: &Membership, now: Millis) -> Self {
        let open: Vec<Name> = membership.peers().map(|peer| peer.name.clone()).collect();
        Self { asked: now, whole: membership.is_current(now), open, answers: Vec::new() }
    }

    /// Returns the peers that did not answer yet, sorted.
    pub fn open(&self) -> &[Name] {
        &self.open
    }

    /// Returns when the question was asked.
    pub const fn asked(&self) -> Millis {
        self.asked
    }

    /// Takes in the answer of a peer to this question. The caller merges the view that came with
    /// it first. Returns whether the peer was asked and had not answered yet.
    pub fn answer(&mut self, peer: &str, statement: Statement) -> bool {
        match self.open.binary_search_by(|name| name.as_str().cmp(peer)) {
            Ok(i) => {
                self.open.remove(i);
                self.answers.push(statement);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns when a view that has taken in everything before `next` is shown to have been
    /// complete.
    pub fn outcome(&self, next: Offset) -> Option<Millis> {
        let newest = self.answers.iter().map(|a| a.next).max().unwrap_or_default();
        if self.whole && self.open.is_empty() && newest <= next {
            return Some(self.asked);
        }
        let current = self.answers.iter().filter(|a| a.next <= next);
        current.filter_map(|a| a.age).min().map(|age| self.asked - age)
    }
}

#[cfg(test)]
mod tests;
