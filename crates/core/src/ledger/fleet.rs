//! State of the fleet stream: losses of workers, which every instance reads.
//!
//! A controller renews leases on a worker only while it can prove that no loss of its epoch is in
//! force. One record covers all attempts on the worker, so the loss of a rack takes one record per
//! worker.

use crate::clock::Millis;
use crate::ledger::record::{Change, Record, Register};
use crate::ledger::{Offset, Verdict, judge};
use crate::machine::worker::Epoch;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// The loss of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The lost worker.
    pub worker: Name,
    /// Version of the worker's register.
    pub version: u64,
    /// Last epoch that is lost; all earlier ones are lost too.
    pub epoch: Epoch,
    /// Offset of the record in the fleet stream.
    pub offset: Offset,
    /// When it was recorded, by its writer's clock.
    pub at: Millis,
}

/// The last loss of each worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// Offset of the next record to be read.
    pub next: Offset,
    /// Sorted by worker.
    losses: Vec<Loss>,
}

impl Fleet {
    /// Applies the record at `offset` and returns its verdict.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        self.next = offset + 1;
        let (Register::Worker(worker), Change::Lost { epoch }) = (&record.register, &record.change)
        else {
            return Verdict::Illegal;
        };
        let found = self.losses.binary_search_by(|l| l.worker.cmp(worker));
        let (version, last) = found.map_or((0, None), |i| {
            let loss = &self.losses[i];
            (loss.version, Some(loss.epoch))
        });
        let verdict = judge(record.expect, version, last.is_none_or(|last| *epoch > last));
        if verdict == Verdict::Accepted {
            let (worker, epoch, at) = (worker.clone(), *epoch, record.at);
            let loss = Loss { worker, version: version + 1, epoch, offset, at };
            match found {
                Ok(i) => self.losses[i] = loss,
                Err(i) => self.losses.insert(i, loss),
            }
        }
        verdict
    }

    /// Applies the record at `offset`, unless the view already contains it through a merge from a
    /// peer or a snapshot. A record that is contained counts as accepted if it is still the last loss
    /// of its worker, and as stale otherwise, as its own verdict is not kept.
    pub fn apply_if_new(&mut self, offset: Offset, record: &Record) -> Verdict {
        if offset >= self.next {
            self.apply(offset, record)
        } else if self.losses.iter().any(|l| l.offset == offset) {
            Verdict::Accepted
        } else {
            Verdict::Stale { current: record.expect + 1 }
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

    /// Returns the last loss of a worker.
    pub fn loss(&self, worker: &str) -> Option<&Loss> {
        let found = self.losses.binary_search_by(|l| l.worker.as_str().cmp(worker));
        found.ok().map(|i| &self.losses[i])
    }

    /// Returns the loss that covers an attempt on `worker` under `epoch`.
    pub fn loss_covering(&self, worker: &str, epoch: Epoch) -> Option<&Loss> {
        self.loss(worker).filter(|loss| loss.epoch >= epoch)
    }

    /// Returns the last loss of each worker, sorted by worker.
    pub fn losses(&self) -> &[Loss] {
        &self.losses
    }
}
