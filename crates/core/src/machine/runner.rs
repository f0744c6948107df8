//! The runner: a process on a worker that serves the requests of one service.

use crate::finding::List;
use crate::name::Name;
use crate::zone::Place;
use serde::{Deserialize, Serialize};

/// Concurrency limits of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests served concurrently.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { slots: 8, connections: 64 }
    }
}

impl Limits {
    /// Checks that there is at least one slot and a connection for each slot.
    ///
    /// # Errors
    ///
    /// Returns a finding for each violated condition.
    pub fn check(&self) -> Result<(), List> {
        let mut findings = List::new();
        if self.slots == 0 {
            findings.note("slots", "must be at least 1");
        }
        if self.connections < self.slots {
            findings.note("connections", "must be at least the number of slots");
        }
        findings.into_result()
    }
}

/// A runner, with its location and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Unique name.
    pub name: Name,
    /// Service whose requests it serves.
    pub service: Name,
    /// Worker on which it runs, whose controller allocates the runner's slots.
    pub worker: Name,
    /// Region, failure domain and rack.
    pub place: Place,
    /// Concurrency limits.
    pub limits: Limits,
}
