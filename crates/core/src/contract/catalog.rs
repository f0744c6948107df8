//! The queues that are open to callers in one version of the platform's configuration.

use crate::clock::Millis;
use crate::contract::roster::Roster;
use crate::contract::work::Policy;
use serde::{Deserialize, Serialize};

/// A queue and the host and path prefix under which callers address it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Value of the `Host` header that selects the queue.
    pub host: Box<str>,
    /// Path prefix that selects the queue; the longest matching prefix wins.
    pub prefix: Box<str>,
    /// Policy that is copied into each job on acceptance, with the queue's name and pool.
    pub policy: Policy,
    /// Time within which a caller's request must be answered.
    pub timeout_ms: Millis,
    /// Whether callers need no key although there are teams.
    pub is_public: bool,
}

/// Limits on the connections and requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Maximum size of a request's header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time-out for receiving a request's header section.
    pub header_ms: Millis,
    /// Time after which an idle connection is closed.
    pub idle_ms: Millis,
}

/// The queues and limits of one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version of the configuration; a newer one has a higher number.
    pub version: u64,
    /// Sorted by host, then by prefix.
    queues: Vec<Queue>,
    /// Limits on the connections and requests of callers.
    pub bounds: Bounds,
    /// The teams among which the workers are shared, and their callers' keys.
    pub roster: Roster,
}

impl Catalog {
    /// Returns a catalog of `queues`, which may be in any order.
    pub fn new(version: u64, mut queues: Vec<Queue>, bounds: Bounds, roster: Roster) -> Self {
        queues.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        Self { version, queues, bounds, roster }
    }

    /// Returns the queue of `host` with the longest prefix of `path`, and the rest of the path
    /// after that prefix.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let from = self.queues.partition_point(|q| *q.host < *host);
        let of_host = self.queues[from..].iter().take_while(|q| *q.host == *host);
        let longest =
            of_host.filter(|q| path.starts_with(&*q.prefix)).max_by_key(|q| q.prefix.len());
        longest.map(|q| (q, &path[q.prefix.len()..]))
    }

    /// Returns all queues, sorted by host and prefix.
    pub fn queues(&self) -> &[Queue] {
        &self.queues
    }
}
