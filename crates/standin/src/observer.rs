//! Record of what the workers and runners executed, kept independently of the daemons.
//!
//! Tests and the demo look here for violated guarantees: tasks that ran in two places at once,
//! workers beyond their capacity, tasks that never completed, and requests that were executed more
//! than once.

use crate::{clock, lock};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::{request, task};
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::Ending;
use pimentovalve_core::name::Name;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;

#[cfg(test)]
mod tests;

/// The execution of one attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// Task that ran.
    pub task: task::Id,
    /// Number of the attempt, as in its start order.
    pub attempt: task::Attempt,
    /// Worker on which it ran.
    pub worker: Name,
    /// Resources that it reserved.
    pub needs: Capacity,
    /// When it started.
    pub start: Millis,
    /// When it ended; `None` while it runs.
    pub end: Option<Millis>,
    /// Outcome; `None` while it runs, or if its worker crashed.
    pub ending: Option<Ending>,
}

impl Span {
    fn overlaps(&self, other: &Self) -> bool {
        let ends_after = |end: Option<Millis>, start| end.is_none_or(|end| end > start);
        ends_after(self.end, other.start) && ends_after(other.end, self.start)
    }
}

/// One execution of a request on a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Request that was executed.
    pub request: request::Id,
    /// Identifier of the attempt, as in the call.
    pub attempt: Name,
    /// Runner on which it ran.
    pub runner: Name,
    /// When it started.
    pub start: Millis,
    /// When it ended; `None` while it runs.
    pub end: Option<Millis>,
}

/// Slot usage of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Runner whose slots are counted.
    pub runner: Name,
    /// Slots currently in use.
    pub slots: u32,
    /// Highest number of slots in use at the same time.
    pub most_slots: u32,
    /// Requests refused because all slots were in use.
    pub refused: u64,
}

/// A moment at which the attempts on a worker exceeded its capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excess {
    /// Overcommitted worker.
    pub worker: Name,
    /// Time at which the start of an attempt exceeded the capacity.
    pub at: Millis,
    /// Sum of the resources reserved by its running attempts.
    pub taken: Capacity,
}

/// Totals of everything that was recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Attempts that started.
    pub starts: usize,
    /// Attempts that are running.
    pub running: usize,
    /// Tasks that completed.
    pub completed: usize,
    /// Pairs of overlapping runs of the same task.
    pub double_runs: usize,
    /// Starts of attempts that exceeded the capacity of their worker.
    pub over_capacity: usize,
    /// Executions of requests, repeated ones included.
    pub executions: usize,
    /// Requests that were executed more than once.
    pub repeated_requests: usize,
}

#[derive(Debug, Default)]
struct Data {
    /// Sorted by task, then in the order of their starts.
    spans: Vec<Span>,
    /// Sorted by request, then in the order of their starts.
    executions: Vec<Execution>,
    /// Sorted by runner.
    usages: Vec<Usage>,
    excesses: Vec<Excess>,
}

/// The record, shared by all workers and runners of a fleet.
#[derive(Debug, Default)]
pub struct Observer {
    data: Mutex<Data>,
}

impl Observer {
    /// Records the start of an attempt, and an excess if the worker's running attempts now exceed
    /// its `capacity`.
    pub fn attempt_started(
        &self,
        (task, attempt): (&task::Id, task::Attempt),
        needs: &Capacity,
        worker: &Name,
        capacity: &Capacity,
    ) {
        let start = clock::now();
        let mut data = lock(&self.data);
        let i = data.spans.partition_point(|s| s.task <= *task);
        let span = Span {
            task: task.clone(),
            attempt,
            worker: worker.clone(),
            needs: *needs,
            start,
            end: None,
            ending: None,
        };
        data.spans.insert(i, span);
        let running = data.spans.iter().filter(|s| s.end.is_none() && s.worker == *worker);
        let taken = running.fold(Capacity::ZERO, |sum, s| sum.plus(&s.needs));
        if !capacity.holds(&taken) {
            data.excesses.push(Excess { worker: worker.clone(), at: start, taken });
        }
    }

    /// Records the end of an attempt; `ending` is `None` if its worker crashed.
    pub fn attempt_ended(
        &self,
        (task, attempt): (&task::Id, task::Attempt),
        worker: &Name,
        ending: Option<&Ending>,
    ) {
        let mut data = lock(&self.data);
        let range = equal_range(&data.spans, |s| s.task.cmp(task));
        let span = data.spans[range]
            .iter_mut()
            .find(|s| s.attempt == attempt && s.worker == *worker && s.end.is_none());
        if let Some(span) = span {
            span.end = Some(clock::now());
            span.ending = ending.cloned();
        }
    }

    /// Records the start of an execution, which occupies a slot.
    pub fn execution_started(&self, request: &request::Id, attempt: &Name, runner: &Name) {
        let mut data = lock(&self.data);
        let i = data.executions.partition_point(|e| e.request <= *request);
        let execution = Execution {
            request: request.clone(),
            attempt: attempt.clone(),
            runner: runner.clone(),
            start: clock::now(),
            end: None,
        };
        data.executions.insert(i, execution);
        let usage = data.usage(runner);
        usage.slots += 1;
        usage.most_slots = usage.most_slots.max(usage.slots);
    }

    /// Records the end of an execution, which frees its slot.
    pub fn execution_ended(&self, request: &request::Id, attempt: &Name, runner: &Name) {
        let mut data = lock(&self.data);
        let range = equal_range(&data.executions, |e| e.request.cmp(request));
        let execution = data.executions[range]
            .iter_mut()
            .find(|e| e.attempt == *attempt && e.runner == *runner && e.end.is_none());
        if let Some(execution) = execution {
            execution.end = Some(clock::now());
            data.usage(runner).slots -= 1;
        }
    }

    /// Records that a runner refused a request because all its slots were in use.
    pub fn request_refused(&self, runner: &Name) {
        lock(&self.data).usage(runner).refused += 1;
    }

    /// Returns the runs of a task, in the order of their starts.
    pub fn spans(&self, task: &task::Id) -> Vec<Span> {
        let data = lock(&self.data);
        data.spans[equal_range(&data.spans, |s| s.task.cmp(task))].to_vec()
    }

    /// Returns all runs, sorted by task.
    pub fn all_spans(&self) -> Vec<Span> {
        lock(&self.data).spans.clone()
    }

    /// Returns the executions of a request, in the order of their starts.
    pub fn executions(&self, request: &str) -> Vec<Execution> {
        let data = lock(&self.data);
        data.executions[equal_range(&data.executions, |e| e.request.as_str().cmp(request))].to_vec()
    }

    /// Returns the slot usage of each runner, sorted by runner.
    pub fn slot_usage(&self) -> Vec<Usage> {
        lock(&self.data).usages.clone()
    }

    /// Returns the pairs of overlapping runs of the same task.
    pub fn double_runs(&self) -> Vec<(Span, Span)> {
        let data = lock(&self.data);
        let groups = data.spans.chunk_by(|a, b| a.task == b.task);
        let mut pairs = Vec::new();
        for group in groups {
            for (i, span) in group.iter().enumerate() {
                let later = group[i + 1..].iter().filter(|other| span.overlaps(other));
                pairs.extend(later.map(|other| (span.clone(), other.clone())));
            }
        }
        pairs
    }

    /// Returns the moments at which a worker's capacity was exceeded.
    pub fn over_capacity(&self) -> Vec<Excess> {
        lock(&self.data).excesses.clone()
    }

    /// Returns the tasks among `tasks` of which no attempt completed.
    pub fn incomplete<'a>(&self, tasks: &'a [task::Id]) -> Vec<&'a task::Id> {
        let data = lock(&self.data);
        let completed = |task: &task::Id| {
            let mut spans = data.spans[equal_range(&data.spans, |s| s.task.cmp(task))].iter();
            spans.any(|s| matches!(s.ending, Some(Ending::Completed(_))))
        };
        tasks.iter().filter(|task| !completed(task)).collect()
    }

    /// Returns the totals of the record.
    pub fn summary(&self) -> Summary {
        let double_runs = self.double_runs().len();
        let data = lock(&self.data);
        let completed =
            |group: &&[Span]| group.iter().any(|s| matches!(s.ending, Some(Ending::Completed(_))));
        Summary {
            starts: data.spans.len(),
            running: data.spans.iter().filter(|s| s.end.is_none()).count(),
            completed: data.spans.chunk_by(|a, b| a.task == b.task).filter(completed).count(),
            double_runs,
            over_capacity: data.excesses.len(),
            executions: data.executions.len(),
            repeated_requests: data
                .executions
                .chunk_by(|a, b| a.request == b.request)
                .filter(|group| group.len() > 1)
                .count(),
        }
    }
}

impl Data {
    /// Returns the usage entry of a runner, created if it is new.
    fn usage(&mut self, runner: &Name) -> &mut Usage {
        let i = match self.usages.binary_search_by(|u| u.runner.cmp(runner)) {
            Ok(i) => i,
            Err(i) => {
                let usage = Usage { runner: runner.clone(), slots: 0, most_slots: 0, refused: 0 };
                self.usages.insert(i, usage);
                i
            }
        };
        &mut self.usages[i]
    }
}

/// Returns the range of the items of a sorted slice for which `compare` returns equal.
fn equal_range<T>(
    items: &[T],
    compare: impl Fn(&T) -> std::cmp::Ordering,
) -> std::ops::Range<usize> {
    let start = items.partition_point(|item| compare(item).is_lt());
    let end = items.partition_point(|item| compare(item).is_le());
    start..end
}
