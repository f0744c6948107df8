//! State of the configuration stream: the configuration with its version, which only increases.

use crate::clock::Millis;
use crate::contract::configuration::{Configuration, Patch, Version};
use crate::ledger::record::{Change, Record, Register};
use crate::ledger::{Offset, Verdict, judge};
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// The change that produced a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that it produced.
    pub version: Version,
    /// Offset of the record in the configuration stream.
    pub offset: Offset,
    /// When it was recorded, by its writer's clock.
    pub at: Millis,
    /// Name of the operator's key.
    pub operator: Name,
    /// The change from the previous version.
    pub patch: Patch,
}

/// The current configuration and the changes that produced it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Offset of the next record to be read.
    pub next: Offset,
    configuration: Configuration,
    entries: Vec<Entry>,
}

impl History {
    /// Applies the record at `offset` and returns its verdict.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        self.next = offset + 1;
        let (Register::Configuration, Change::Patch { operator, patch }) =
            (&record.register, &record.change)
        else {
            return Verdict::Illegal;
        };
        let next = self.configuration.patched(patch);
        let verdict = judge(record.expect, self.configuration.version, next.is_ok());
        if let (Verdict::Accepted, Ok(next)) = (verdict, next) {
            self.entries.push(Entry {
                version: next.version,
                offset,
                at: record.at,
                operator: operator.clone(),
                patch: patch.clone(),
            });
            self.configuration = next;
        }
        verdict
    }

    /// Applies the record at `offset`, unless the view already contains it through a merge from a
    /// peer or a snapshot. A record that is contained counts as accepted if it produced one of the
    /// versions, and as stale otherwise.
    pub fn apply_if_new(&mut self, offset: Offset, record: &Record) -> Verdict {
        if offset >= self.next {
            self.apply(offset, record)
        } else if self.entries.iter().any(|e| e.offset == offset) {
            Verdict::Accepted
        } else {
            Verdict::Stale { current: self.configuration.version }
        }
    }

    /// Replaces the state by that of a peer or a snapshot if that one is newer. Returns whether it
    /// was.
    pub fn merge(&mut self, other: &Self) -> bool {
        let newer = other.next > self.next;
        if newer {
            self.clone_from(other);
        }
        newer
    }

    /// Returns the current configuration.
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the changes that produced the versions, oldest first.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
