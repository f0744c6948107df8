//! The configuration by way of a peer.
//!
//! A daemon that the store turns away would have to refuse its callers soon: keys may have been
//! withdrawn since it last read the configuration. Its peers may still read it. Which peer is asked, and
//! what an answer is worth, is decided here without I/O.

#[cfg(test)]
mod tests;

use super::view::Configuration;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use serde::{Deserialize, Serialize};

/// Path on which a daemon offers its configuration.
pub const CONFIGURATION_PATH: &str = "/configuration";
/// Age from which a daemon asks its peers although none of its reads has failed: they may hang. A read
/// waits for a change for up to 1 s, so a daemon that the store serves has a configuration of up to two
/// reads. What is left of [`MAX_CONFIGURATION_AGE`](super::freshness::MAX_CONFIGURATION_AGE) is enough for
/// a question.
const ASK_AGE: Millis = Millis(2300);
/// Time-out of a question. A version may be large, and the links of some machines are narrow.
pub const TIMEOUT: Millis = Millis(500);
/// Interval between two questions.
const INTERVAL: Millis = Millis(200);
/// The same after several peers did not help, as when the store serves nobody.
const LONG_INTERVAL: Millis = Millis(600);
/// Questions without use after which the interval is long, and after which the owner is asked again.
const PATIENCE: usize = 4;

/// What a daemon says about its configuration to a peer that has another version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer<C = Catalog> {
    /// Age of the daemon's configuration.
    pub age: Millis,
    /// The version in force, if it is newer than the peer's.
    pub catalog: Option<C>,
}

impl<'a> Offer<&'a Catalog> {
    /// Returns what a daemon offers to a peer that has `version`; zero if it has none.
    pub fn new(configuration: &'a Configuration, version: u64, now: Millis) -> Self {
        let Configuration { catalog, covered_until } = configuration;
        let newer = catalog.as_deref().filter(|catalog| catalog.version > version);
        Self { age: now.since(*covered_until), catalog: newer }
    }
}

impl Offer {
    /// Returns until when the configuration is covered by the offer, the question for which was sent at
    /// `asked`.
    pub const fn covered_until(&self, asked: Millis) -> Millis {
        asked.since(self.age)
    }
}

/// The search for a peer whose configuration is recent.
#[derive(Debug, Default)]
pub struct Search {
    /// The peer that helped last.
    source: Option<Box<str>>,
    /// Questions since then that did not help.
    failures: usize,
}

impl Search {
    /// Returns the peer to ask now; `None` if the configuration is recent and the last read of it
    /// succeeded, or if there is no peer. The peer that helped last is asked first, then the owner, then
    /// one of `peers` by the number `random`. `owner` is empty if there is none but this daemon.
    pub fn peer(
        &self,
        has_failed: bool,
        configuration: &Configuration,
        owner: &str,
        peers: &[Box<str>],
        random: usize,
        now: Millis,
    ) -> Option<Box<str>> {
        if !has_failed && now.since(configuration.covered_until) < ASK_AGE {
            return None;
        }
        if let Some(source) = &self.source {
            return Some(source.clone());
        }
        if self.failures.is_multiple_of(PATIENCE) && !owner.is_empty() {
            return Some(owner.into());
        }
        peers.get(random.checked_rem(peers.len())?).cloned()
    }

    /// Notes what became of a question to a peer: until when its answer covers the configuration, `None`
    /// without an answer. A peer whose own configuration is not recent is not asked again next. Returns whether the peer's is recent.
    pub fn note(&mut self, peer: &str, covered_until: Option<Millis>, now: Millis) -> bool {
        let is_recent = covered_until.is_some_and(|until| now.since(until) < ASK_AGE);
        if is_recent {
            self.failures = 0;
            self.source = Some(peer.into());
        } else {
            self.failures += 1;
            self.source = None;
        }
        is_recent
    }

    /// Returns the time to wait before the next question.
    pub const fn pause(&self) -> Millis {
        if self.failures < PATIENCE { INTERVAL } else { LONG_INTERVAL }
    }
}
