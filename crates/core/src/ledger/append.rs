//! Appends: records on their way into one stream of the log, in groups.
//!
//! At most one group is on its way. Each record has exactly one outcome: it was seen in the stream
//! with the verdict of replay, or the log refused it and it never landed. A group whose answer was
//! lost may have landed and may yet land: before anything else is sent, the stream is read back to
//! its end, and a record that wasn't found there stays in doubt until it is seen. It is never sent
//! again by itself. Model: `specs/claim.tla`.

use crate::clock::Millis;
use crate::ledger::record::{Id, Record};
use crate::ledger::{Offset, Stream, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Bounds of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Records in one group at most.
    pub group: usize,
    /// Records that may wait, be on their way or be in doubt, all together.
    pub records: usize,
    /// An append that was not answered for this long counts as unanswered for good.
    pub timeout_ms: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self { group: 256, records: 4096, timeout_ms: Millis::from_secs(2) }
    }
}

/// What the writer asks for, or reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append these records to the stream as one group, once.
    Append {
        /// Number of the group, which its answer must name.
        group: u64,
        /// Its records.
        records: Vec<Record>,
    },
    /// Read the stream back from this offset to its end, feed what is found to
    /// [`Writer::seen`], then call [`Writer::read_back`].
    ReadBack(Offset),
    /// The record is in the stream.
    Settled {
        /// The record.
        id: Id,
        /// Where it is.
        offset: Offset,
        /// What replay made of it.
        verdict: Verdict,
    },
    /// The record did not land and never will.
    Refused(Id),
    /// Whether the record landed can't be told yet. [`Self::Settled`] may follow, much later.
    Doubtful(Id),
}

/// The writer is full; the record was not taken and will not land.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// State of the group that was sent last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flight {
    /// None is on its way.
    Idle,
    /// Sent at this instant, not answered yet.
    Sent(Millis),
    /// Not answered in time; the stream is being read back.
    Lost,
}

/// The writer of one stream.
#[derive(Clone, Debug)]
pub struct Writer {
    stream: Stream,
    limits: Limits,
    /// Records that were not sent yet.
    queue: VecDeque<Record>,
    flight: Flight,
    /// Number of the group that was sent last.
    number: u64,
    /// Ids of the group that is on its way, sorted.
    group: Vec<Id>,
    /// Ids that landed by the log's answer and were not seen yet, sorted.
    landed: Vec<Id>,
    /// Ids that may have landed or may land, sorted.
    doubtful: Vec<Id>,
    /// Everything of the stream before this offset was seen.
    next: Offset,
}

impl Writer {
    /// Returns a writer of a stream that was read up to `next`.
    pub const fn new(stream: Stream, limits: Limits, next: Offset) -> Self {
        Self {
            stream,
            limits,
            queue: VecDeque::new(),
            flight: Flight::Idle,
            number: 0,
            group: Vec::new(),
            landed: Vec::new(),
            doubtful: Vec::new(),
            next,
        }
    }

    /// Returns the stream.
    pub const fn stream(&self) -> Stream {
        self.stream
    }

    /// Returns how many records have no outcome yet.
    pub fn pending(&self) -> usize {
        self.queue.len() + self.group.len() + self.landed.len() + self.doubtful.len()
    }

    /// Returns the records that may have landed or may land, sorted.
    pub fn doubtful(&self) -> &[Id] {
        &self.doubtful
    }

    /// Takes a record to be appended. Its id must never have been used before.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] when as many records as the limits allow have no outcome yet.
    pub fn submit(&mut self, record: Record) -> Result<(), Full> {
        if self.pending() >= self.limits.records {
            return Err(Full);
        }
        self.queue.push_back(record);
        Ok(())
    }

    /// Takes back a record that was not sent yet. Returns whether there was such a one: it did not
    /// land and never will.
    pub fn withdraw(&mut self, id: &Id) -> bool {
        let before = self.queue.len();
        self.queue.retain(|record| record.id != *id);
        self.queue.len() < before
    }

    /// Sends the next group if none is on its way, and notices an answer that is overdue.
    pub fn tick(&mut self, now: Millis) -> Vec<Effect> {
        match self.flight {
            Flight::Idle if !self.queue.is_empty() => {
                let size = self.queue.len().min(self.limits.group.max(1));
                let records: Vec<Record> = self.queue.drain(..size).collect();
                self.group = records.iter().map(|record| record.id.clone()).collect();
                self.group.sort();
                self.flight = Flight::Sent(now);
                self.number += 1;
                vec![Effect::Append { group: self.number, records }]
            }
            Flight::Sent(at) if now.since(at) > self.limits.timeout_ms => {
                self.timed_out(self.number)
            }
            _ => Vec::new(),
        }
    }

    /// The log answered that the group landed. Its records settle once they are seen.
    /// The answer to a group that was given up before is ignored.
    pub fn answered(&mut self, group: u64) {
        if self.is_sent(group) {
            self.flight = Flight::Idle;
            self.landed.append(&mut self.group);
            self.landed.sort();
        }
    }

    /// The log answered that the group did not land and will not.
    /// A refusal of a group that was given up before is ignored: its records stay in doubt.
    pub fn refused(&mut self, group: u64) -> Vec<Effect> {
        if !self.is_sent(group) {
            return Vec::new();
        }
        self.flight = Flight::Idle;
        std::mem::take(&mut self.group).into_iter().map(Effect::Refused).collect()
    }

    /// The answer did not come in time, or the connection broke before it.
    pub fn timed_out(&mut self, group: u64) -> Vec<Effect> {
        if !self.is_sent(group) {
            return Vec::new();
        }
        self.flight = Flight::Lost;
        let mut effects = vec![Effect::ReadBack(self.next)];
        effects.extend(self.group.iter().cloned().map(Effect::Doubtful));
        self.doubtful.append(&mut self.group);
        self.doubtful.sort();
        effects
    }

    const fn is_sent(&self, group: u64) -> bool {
        matches!(self.flight, Flight::Sent(_)) && self.number == group
    }

    /// Takes in the record at `offset`, in the order of the stream, with the verdict of replay.
    ///
    /// If a copy of a record is in the stream twice, the first one counts.
    pub fn seen(&mut self, offset: Offset, record: &Record, verdict: Verdict) -> Option<Effect> {
        if offset < self.next {
            return None;
        }
        self.next = offset + 1;
        let id = &record.id;
        let found = [&mut self.landed, &mut self.doubtful, &mut self.group]
            .into_iter()
            .any(|ids| ids.binary_search(id).map(|i| ids.remove(i)).is_ok());
        found.then(|| Effect::Settled { id: id.clone(), offset, verdict })
    }

    /// The stream was read to its end, by a reading that was asked for after the answer was lost.
    /// What was not found stays in doubt; the next group may be sent.
    pub fn read_back(&mut self) {
        if self.flight == Flight::Lost {
            self.flight = Flight::Idle;
        }
    }

    /// The view was restored from a snapshot or a peer at `next`, beyond what was seen. Records
    /// that lie before it settle only by what the restored state shows; they stay in doubt here.
    pub fn restored(&mut self, next: Offset) {
        if next > self.next {
            self.next = next;
            self.doubtful.append(&mut self.landed);
            self.doubtful.sort();
        }
    }

    /// Gives up on a record in doubt, whose outcome the caller has learned otherwise or which is
    /// older than the window in which the ledger would still accept it. Returns whether it was in
    /// doubt.
    pub fn forget(&mut self, id: &Id) -> bool {
        self.doubtful.binary_search(id).map(|i| self.doubtful.remove(i)).is_ok()
    }
}

#[cfg(test)]
mod tests;
