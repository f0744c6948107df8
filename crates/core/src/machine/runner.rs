//! The runner: a process on a worker that serves the requests of one service.

use crate::finding::List;
use crate::name::Name;
use crate::zone::Place;
use serde::{Deserialize, Serialize};

/// How much a runner takes at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests that it serves at once.
    pub slots: u32,
    /// Connections that it keeps open at once.
    pub connections: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { slots: 8, connections: 64 }
    }
}

impl Limits {
    /// Checks that a runner can serve at all.
    ///
    /// # Errors
    ///
    /// Returns a finding for each limit that is zero, or for fewer connections than slots.
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

/// A runner as the fleet knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Unique name.
    pub name: Name,
    /// Service whose requests it serves.
    pub service: Name,
    /// Worker on which it runs; that worker's controller spends its slots.
    pub worker: Name,
    /// Where it stands.
    pub place: Place,
    /// How much it takes at once.
    pub limits: Limits,
}
