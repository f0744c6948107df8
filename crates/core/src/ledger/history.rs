//! The configuration stream: numbered versions that never go back.

use crate::clock::Millis;
use crate::contract::configuration::{Configuration, Patch, Version};
use crate::ledger::record::{Change, Record, Register};
use crate::ledger::{Offset, Verdict, judge};
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// How a version came to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The version.
    pub version: Version,
    /// Where it is recorded.
    pub offset: Offset,
    /// When it was recorded, by its writer's clock.
    pub at: Millis,
    /// Name of the operator's key.
    pub operator: Name,
    /// What changed from the predecessor.
    pub patch: Patch,
}

/// The present configuration and how it came to be.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Offset of the next record to be read.
    pub next: Offset,
    configuration: Configuration,
    entries: Vec<Entry>,
}

impl History {
    /// Takes in the record at `offset`.
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

    /// Takes in the record at `offset`, also one that a peer or a snapshot brought before: that one
    /// is in force if it is still to be seen, and else counts as overtaken.
    pub fn take_in(&mut self, offset: Offset, record: &Record) -> Verdict {
        if offset >= self.next {
            self.apply(offset, record)
        } else if self.entries.iter().any(|e| e.offset == offset) {
            Verdict::Accepted
        } else {
            Verdict::Stale { current: self.configuration.version }
        }
    }

    /// Takes over what a peer or a snapshot has, if it is newer. Returns whether it was.
    pub fn merge(&mut self, other: &Self) -> bool {
        let newer = other.next > self.next;
        if newer {
            self.clone_from(other);
        }
        newer
    }

    /// Returns the present configuration.
    pub const fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns how the versions came to be, oldest first.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }
}
