//! The queues that are open to callers, as one version of the configuration has them.

use crate::clock::Millis;
use crate::contract::work::Policy;
use serde::{Deserialize, Serialize};

/// A queue and where callers find it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Queue {
    /// Host that callers name.
    pub host: Box<str>,
    /// Start of the paths that belong to it.
    pub prefix: Box<str>,
    /// What it promises; its name and pool among others.
    pub policy: Policy,
    /// Longest time for an answer to a caller.
    pub timeout_ms: Millis,
}

/// Bounds of the conversation with callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Greatest size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Greatest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub header_ms: Millis,
    /// Longest time for which a connection may be idle.
    pub idle_ms: Millis,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    /// Its version; versions rise.
    pub version: u64,
    /// Sorted by host, then by prefix.
    queues: Vec<Queue>,
    /// Bounds of the conversation with callers.
    pub bounds: Bounds,
}

impl Catalog {
    /// Returns a version with its queues.
    pub fn new(version: u64, mut queues: Vec<Queue>, bounds: Bounds) -> Self {
        queues.sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        Self { version, queues, bounds }
    }

    /// Returns the queue with the longest prefix of a path at a host, and the rest of the path.
    pub fn find<'a>(&self, host: &str, path: &'a str) -> Option<(&Queue, &'a str)> {
        let from = self.queues.partition_point(|q| *q.host < *host);
        let of_host = self.queues[from..].iter().take_while(|q| *q.host == *host);
        let longest =
            of_host.filter(|q| path.starts_with(&*q.prefix)).max_by_key(|q| q.prefix.len());
        longest.map(|q| (q, &path[q.prefix.len()..]))
    }

    /// Returns all queues, by host and prefix.
    pub fn queues(&self) -> &[Queue] {
        &self.queues
    }
}
