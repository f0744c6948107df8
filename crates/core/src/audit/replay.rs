//! Replay of the ledger, indexed for the checks.

use super::Row;
use crate::clock::Millis;
use crate::contract::configuration::Version;
use crate::contract::job::Job;
use crate::contract::request::{self, Answer};
use crate::contract::task;
use crate::ledger::fleet::Fleet;
use crate::ledger::history::History;
use crate::ledger::record::{Change, Register};
use crate::ledger::replica::Replica;
use crate::ledger::{Offset, Stream, Verdict};
use crate::machine::capacity::Capacity;
use crate::machine::worker::Epoch;
use crate::name::Name;

/// A record with its verdict in replay.
#[derive(Clone, Copy, Debug)]
pub(super) struct Judged<'a> {
    pub(super) row: &'a Row,
    pub(super) verdict: Verdict,
}

/// A gap or a duplicate offset in a stream.
#[derive(Debug)]
pub(super) struct Defect {
    pub(super) stream: Stream,
    pub(super) at: Offset,
    pub(super) message: String,
}

/// An attempt whose record was accepted.
#[derive(Debug)]
pub(super) struct Attempt<'a> {
    pub(super) task: &'a task::Id,
    pub(super) number: task::Attempt,
    pub(super) worker: &'a Name,
    pub(super) epoch: Epoch,
    pub(super) needs: Capacity,
    pub(super) fence: Option<Offset>,
    pub(super) row: &'a Row,
    /// The record that ended or released it.
    pub(super) over: Option<&'a Row>,
}

/// A loss whose record was accepted; it may have been replaced by a later one.
#[derive(Debug)]
pub(super) struct Loss<'a> {
    pub(super) worker: &'a Name,
    pub(super) epoch: Epoch,
    pub(super) at: Millis,
    pub(super) offset: Offset,
}

/// A job whose submission was accepted.
#[derive(Debug)]
pub(super) struct Submitted<'a> {
    pub(super) job: &'a Job,
    pub(super) row: &'a Row,
}

/// A key whose claim was accepted.
#[derive(Debug)]
pub(super) struct Claimed<'a> {
    pub(super) request: &'a request::Id,
    pub(super) row: &'a Row,
    pub(super) answer: Option<(&'a Answer, &'a Row)>,
}

/// A patch that was accepted, with the version that it produced.
#[derive(Debug)]
pub(super) struct Patched<'a> {
    pub(super) version: Version,
    pub(super) row: &'a Row,
}

/// The replayed ledger.
#[derive(Debug, Default)]
pub(super) struct Replay<'a> {
    /// Sorted by stream and offset.
    pub(super) judged: Vec<Judged<'a>>,
    pub(super) defects: Vec<Defect>,
    /// Sorted by task and number.
    pub(super) attempts: Vec<Attempt<'a>>,
    /// Sorted by offset.
    pub(super) losses: Vec<Loss<'a>>,
    /// Sorted by id.
    pub(super) jobs: Vec<Submitted<'a>>,
    /// Sorted by request.
    pub(super) keys: Vec<Claimed<'a>>,
    /// Sorted by version.
    pub(super) patches: Vec<Patched<'a>>,
    /// Sorted by partition.
    replicas: Vec<(u16, Replica)>,
}

impl<'a> Replay<'a> {
    pub(super) fn new(rows: &'a [Row]) -> Self {
        let mut sorted: Vec<&Row> = rows.iter().collect();
        sorted.sort_by_key(|row| (row.stream, row.offset));
        sorted.dedup();
        let mut replay = Self::default();
        replay.find_defects(&sorted);
        let (mut history, mut fleet) = (History::default(), Fleet::default());
        for row in sorted {
            let (offset, record) = (row.offset, &row.record);
            let verdict = match row.stream {
                Stream::Configuration => history.apply(offset, record),
                Stream::Fleet => fleet.apply(offset, record),
                Stream::Partition(partition) => replay.replica(partition).apply(offset, record),
            };
            replay.judged.push(Judged { row, verdict });
            if verdict == Verdict::Accepted {
                replay.accept(row);
            }
        }
        replay.index();
        replay
    }

    /// Sorts the accepted records, then links the records that end an attempt or answer a key to it.
    fn index(&mut self) {
        self.attempts.sort_by(|a, b| (a.task, a.number).cmp(&(b.task, b.number)));
        self.jobs.sort_by(|a, b| a.job.id.cmp(&b.job.id));
        self.keys.sort_by(|a, b| a.request.cmp(b.request));
        for Judged { row, verdict } in &self.judged {
            if *verdict != Verdict::Accepted {
                continue;
            }
            match (&row.record.register, &row.record.change) {
                (
                    Register::Task(task),
                    Change::Over { attempt, .. } | Change::Release { attempt, .. },
                ) => {
                    let key = (task, *attempt);
                    let found = self.attempts.binary_search_by(|a| (a.task, a.number).cmp(&key));
                    if let Ok(i) = found {
                        self.attempts[i].over = Some(row);
                    }
                }
                (Register::Key(request), Change::Answer(answer)) => {
                    if let Ok(i) = self.keys.binary_search_by(|k| k.request.cmp(request)) {
                        self.keys[i].answer = Some((answer, row));
                    }
                }
                _ => {}
            }
        }
    }

    /// Returns an attempt whose record was accepted.
    pub(super) fn attempt(&self, task: &task::Id, number: task::Attempt) -> Option<&Attempt<'a>> {
        let found = self.attempts.binary_search_by(|a| (a.task, a.number).cmp(&(task, number)));
        found.ok().map(|i| &self.attempts[i])
    }

    /// Returns a job whose submission was accepted.
    pub(super) fn job(&self, id: &str) -> Option<&Submitted<'a>> {
        let found = self.jobs.binary_search_by(|j| j.job.id.as_str().cmp(id));
        found.ok().map(|i| &self.jobs[i])
    }

    /// Returns a key whose claim was accepted.
    pub(super) fn key(&self, id: &str) -> Option<&Claimed<'a>> {
        let found = self.keys.binary_search_by(|k| k.request.as_str().cmp(id));
        found.ok().map(|i| &self.keys[i])
    }

    /// Returns whether all tasks of a job have ended.
    pub(super) fn has_ended(&self, id: &str) -> bool {
        let entry = self.replicas.iter().find_map(|(_, replica)| replica.job(id));
        entry.is_some_and(|entry| entry.tasks.iter().all(|task| task.state.is_final()))
    }

    fn replica(&mut self, partition: u16) -> &mut Replica {
        let i = match self.replicas.binary_search_by_key(&partition, |(p, _)| *p) {
            Ok(i) => i,
            Err(i) => {
                self.replicas.insert(i, (partition, Replica::default()));
                i
            }
        };
        &mut self.replicas[i].1
    }

    fn find_defects(&mut self, sorted: &[&Row]) {
        let mut last: Option<&Row> = None;
        for row in sorted {
            let (stream, at) = (row.stream, row.offset);
            let before = last.filter(|last| last.stream == stream).map(|last| last.offset);
            let expected = before.map_or(0, |offset| offset + 1);
            if at < expected {
                let message = format!("{stream} has two records at offset {at}");
                self.defects.push(Defect { stream, at, message });
            } else if at > expected {
                let message = format!("offsets {expected} to {} of {stream} are missing", at - 1);
                self.defects.push(Defect { stream, at, message });
            }
            last = Some(row);
        }
    }

    fn accept(&mut self, row: &'a Row) {
        match (&row.record.register, &row.record.change) {
            (Register::Configuration, Change::Patch { .. }) => {
                self.patches.push(Patched { version: row.record.expect + 1, row });
            }
            (Register::Worker(worker), Change::Lost { epoch }) => {
                let (epoch, at, offset) = (*epoch, row.record.at, row.offset);
                self.losses.push(Loss { worker, epoch, at, offset });
            }
            (Register::Job(_), Change::Submit { job, .. }) => {
                self.jobs.push(Submitted { job, row });
            }
            (Register::Task(task), Change::Attempt { attempt, worker, epoch, needs, fence }) => {
                let (number, epoch, needs, fence) = (*attempt, *epoch, *needs, *fence);
                let over = None;
                self.attempts.push(Attempt {
                    task,
                    number,
                    worker,
                    epoch,
                    needs,
                    fence,
                    row,
                    over,
                });
            }
            (Register::Key(request), Change::Claim { .. }) => {
                self.keys.push(Claimed { request, row, answer: None });
            }
            _ => {}
        }
    }
}
