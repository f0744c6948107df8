//! Appending of records to one stream of the log, in groups.
//!
//! At most one group is in flight. Each record has exactly one outcome: it was read from the stream
//! with a verdict of replay, or the log refused it and it will never be in the stream. A group whose
//! answer was lost may be in the stream already or may still be written. Before the next group is
//! sent, the stream is read back to its end. A record that is not found there remains undetermined
//! until it is read from the stream; it is never sent again. Model: `specs/claim.tla`.

use crate::clock::Millis;
use crate::ledger::record::{Id, Record};
use crate::ledger::{Offset, Stream, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Limits of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of records in a group.
    pub group: usize,
    /// Maximum number of records without an outcome: queued, in flight or undetermined.
    pub records: usize,
    /// Time after which an append without an answer counts as timed out.
    pub timeout_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self { group: 256, records: 4096, timeout_ms: Millis::from_secs(2) }
    }
}

/// A request of the writer to its caller, or the outcome of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append these records to the stream as one group, without a retry.
    Append {
        /// Number of the group, to be passed back with the answer.
        group: u64,
        /// Records of the group.
        records: Vec<Record>,
    },
    /// Read the stream from this offset to its end, pass every record to [`Writer::seen`], then
    /// call [`Writer::read_back`].
    ReadBack(Offset),
    /// The record was read from the stream.
    Settled {
        /// Id of the record.
        id: Id,
        /// Its position in the stream.
        offset: Offset,
        /// Its verdict in replay.
        verdict: Verdict,
    },
    /// The record is not in the stream and never will be.
    Refused(Id),
    /// Whether the record is in the stream is unknown. [`Self::Settled`] may follow at any later
    /// time.
    Undetermined(Id),
}

/// Error of [`Writer::submit`]: the limit of records is reached and the record was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// State of the last group that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GroupState {
    /// No group is in flight.
    Idle,
    /// Sent at this instant and not answered yet.
    Sent(Millis),
    /// The answer timed out; the stream is being read back.
    ReadingBack,
}

/// The writer of one stream.
#[derive(Clone, Debug)]
pub struct Writer {
    stream: Stream,
    limits: Limits,
    /// Records that have not been sent.
    queue: VecDeque<Record>,
    group_state: GroupState,
    /// Number of the last group that was sent, 0 before the first.
    group_number: u64,
    /// Ids of the group in flight, sorted.
    group: Vec<Id>,
    /// Ids that the log acknowledged and that have not been read from the stream yet, sorted.
    acknowledged: Vec<Id>,
    /// Ids of records that may be in the stream or may still be written to it, sorted.
    undetermined: Vec<Id>,
    /// All records before this offset were read.
    next: Offset,
}

impl Writer {
    /// Returns a writer of a stream whose records before `next` were read.
    pub const fn new(stream: Stream, limits: Limits, next: Offset) -> Self {
        Self {
            stream,
            limits,
            queue: VecDeque::new(),
            group_state: GroupState::Idle,
            group_number: 0,
            group: Vec::new(),
            acknowledged: Vec::new(),
            undetermined: Vec::new(),
            next,
        }
    }

    /// Returns the stream that it appends to.
    pub const fn stream(&self) -> Stream {
        self.stream
    }

    /// Returns the number of records without an outcome.
    pub fn pending(&self) -> usize {
        self.queue.len() + self.group.len() + self.acknowledged.len() + self.undetermined.len()
    }

    /// Returns the records that may be in the stream or may still be written to it, sorted.
    pub fn undetermined(&self) -> &[Id] {
        &self.undetermined
    }

    /// Queues a record to be appended. Its id must never have been used before.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if [`Limits::records`] records have no outcome yet.
    pub fn submit(&mut self, record: Record) -> Result<(), Full> {
        if self.pending() >= self.limits.records {
            return Err(Full);
        }
        self.queue.push_back(record);
        Ok(())
    }

    /// Removes a record that has not been sent. Returns whether it was queued; if so, it will never
    /// be in the stream.
    pub fn withdraw(&mut self, id: &Id) -> bool {
        let queued = self.queue.len();
        self.queue.retain(|record| record.id != *id);
        self.queue.len() < queued
    }

    /// Sends the next group if none is in flight, and times out an overdue answer.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        match self.group_state {
            GroupState::Idle if !self.queue.is_empty() => {
                let size = self.queue.len().min(self.limits.group.max(1));
                let records: Vec<Record> = self.queue.drain(..size).collect();
                self.group = records.iter().map(|record| record.id.clone()).collect();
                self.group.sort();
                self.group_state = GroupState::Sent(now);
                self.group_number += 1;
                vec![Effect::Append { group: self.group_number, records }]
            }
            GroupState::Sent(at) if now.since(at) > self.limits.timeout_ms => {
                self.timed_out(self.group_number)
            }
            _ => Vec::new(),
        }
    }

    /// The log acknowledged the group. Its records settle once they are read from the stream.
    /// An answer to a group that has timed out is ignored.
    pub fn answered(&mut self, group: u64) {
        if self.is_in_flight(group) {
            self.group_state = GroupState::Idle;
            self.acknowledged.append(&mut self.group);
            self.acknowledged.sort();
        }
    }

    /// The log answered that the group was not written and will not be.
    /// A refusal of a group that has timed out is ignored: its records remain undetermined.
    pub fn refused(&mut self, group: u64) -> Vec<Effect> {
        if !self.is_in_flight(group) {
            return Vec::new();
        }
        self.group_state = GroupState::Idle;
        std::mem::take(&mut self.group).into_iter().map(Effect::Refused).collect()
    }

    /// The group was not answered in time, or the connection broke before the answer.
    pub fn timed_out(&mut self, group: u64) -> Vec<Effect> {
        if !self.is_in_flight(group) {
            return Vec::new();
        }
        self.group_state = GroupState::ReadingBack;
        let mut effects = vec![Effect::ReadBack(self.next)];
        effects.extend(self.group.iter().cloned().map(Effect::Undetermined));
        self.undetermined.append(&mut self.group);
        self.undetermined.sort();
        effects
    }

    const fn is_in_flight(&self, group: u64) -> bool {
        matches!(self.group_state, GroupState::Sent(_)) && self.group_number == group
    }

    /// Processes the record read at `offset`, with its verdict in replay. Records must be passed in
    /// stream order.
    ///
    /// If a record is in the stream twice, only the first copy counts.
    pub fn seen(&mut self, offset: Offset, record: &Record, verdict: Verdict) -> Option<Effect> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        let id = &record.id;
        let found = [&mut self.acknowledged, &mut self.undetermined, &mut self.group]
            .into_iter()
            .any(|ids| ids.binary_search(id).map(|i| ids.remove(i)).is_ok());
        found.then(|| Effect::Settled { id: id.clone(), offset, verdict })
    }

    /// The read-back requested by [`Effect::ReadBack`] has reached the end of the stream. Records
    /// that were not found remain undetermined; the next group may be sent.
    pub fn read_back(&mut self) {
        if self.group_state == GroupState::ReadingBack {
            self.group_state = GroupState::Idle;
        }
    }

    /// The view was restored at `next` from a snapshot or a peer, which skips records that were not
    /// read. Acknowledged records may be among the skipped ones and become undetermined; the caller
    /// learns their outcome from the restored state.
    pub fn restored(&mut self, next: Offset) {
        if next > self.next {
            self.next = next;
            self.undetermined.append(&mut self.acknowledged);
            self.undetermined.sort();
        }
    }

    /// Drops an undetermined record whose outcome the caller has learned otherwise, or which is
    /// older than the window in which the ledger would still accept it. Returns whether it was
    /// undetermined.
    pub fn forget(&mut self, id: &Id) -> bool {
        self.undetermined.binary_search(id).map(|i| self.undetermined.remove(i)).is_ok()
    }
}

#[cfg(test)]
mod tests;
