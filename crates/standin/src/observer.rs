//! What really happened on the workers and runners, seen apart from the daemons.
//!
//! Tests and the demo count broken promises here: tasks that ran in two places, workers over
//! their capacity, tasks that never completed, requests that ran twice.

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

/// One run of an attempt on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The task.
    pub task: task::Id,
    /// Its attempt.
    pub attempt: task::Attempt,
    /// Where it ran.
    pub worker: Name,
    /// What it took.
    pub needs: Capacity,
    /// When it started.
    pub start: Millis,
    /// When it ended; `None` while it runs.
    pub end: Option<Millis>,
    /// How it ended; `None` while it runs, or if its worker crashed.
    pub ending: Option<Ending>,
}

impl Span {
    fn overlaps(&self, other: &Self) -> bool {
        let ends_after = |end: Option<Millis>, start| end.is_none_or(|end| end > start);
        ends_after(self.end, other.start) && ends_after(other.end, self.start)
    }
}

/// One execution of a request by a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// The request.
    pub request: request::Id,
    /// Its try.
    pub attempt: Name,
    /// Where it ran.
    pub runner: Name,
    /// When it started.
    pub start: Millis,
    /// When it ended; `None` while it runs.
    pub end: Option<Millis>,
}

/// How far a runner was used.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The runner.
    pub runner: Name,
    /// Slots in use now.
    pub slots: u32,
    /// Most slots in use at once.
    pub most_slots: u32,
    /// Requests refused because all slots were in use.
    pub refused: u64,
}

/// A worker that was given more than its capacity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Excess {
    /// The worker.
    pub worker: Name,
    /// When.
    pub at: Millis,
    /// What its running attempts took together.
    pub taken: Capacity,
}

/// Everything that was seen, in numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Attempts that started.
    pub starts: usize,
    /// Attempts that run now.
    pub running: usize,
    /// Tasks that completed.
    pub completed: usize,
    /// Pairs of runs of one task that overlapped.
    pub double_runs: usize,
    /// Times at which a worker was over its capacity.
    pub over_capacity: usize,
    /// Executions of requests.
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

/// The shared record.
#[derive(Debug, Default)]
pub struct Observer {
    data: Mutex<Data>,
}

impl Observer {
    /// Notes the start of an attempt on a worker with the given capacity.
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

    /// Notes the end of an attempt, or of all attempts of a crashed worker.
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

    /// Notes the start of an execution, which takes a slot.
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

    /// Notes the end of an execution, which frees its slot.
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

    /// Notes that a runner refused a request because all slots were in use.
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

    /// Returns how far each runner was used, sorted by runner.
    pub fn usages(&self) -> Vec<Usage> {
        lock(&self.data).usages.clone()
    }

    /// Returns the pairs of runs of one task that overlapped.
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

    /// Returns the times at which a worker was given more than its capacity.
    pub fn over_capacity(&self) -> Vec<Excess> {
        lock(&self.data).excesses.clone()
    }

    /// Returns those of the tasks that no run completed.
    pub fn incomplete<'a>(&self, tasks: &'a [task::Id]) -> Vec<&'a task::Id> {
        let data = lock(&self.data);
        let completed = |task: &task::Id| {
            let mut spans = data.spans[equal_range(&data.spans, |s| s.task.cmp(task))].iter();
            spans.any(|s| matches!(s.ending, Some(Ending::Completed(_))))
        };
        tasks.iter().filter(|task| !completed(task)).collect()
    }

    /// Returns everything in numbers.
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

/// Returns where the items that compare equal are in a sorted slice.
fn equal_range<T>(
    items: &[T],
    compare: impl Fn(&T) -> std::cmp::Ordering,
) -> std::ops::Range<usize> {
    let start = items.partition_point(|item| compare(item).is_lt());
    let end = items.partition_point(|item| compare(item).is_le());
    start..end
}
