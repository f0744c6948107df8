//! Check: no worker is given more than its capacity.

use super::runs::Run;
use super::{Check, Findings, Input, Promise, Subject};
use crate::clock::Millis;
use crate::ledger::Stream;
use crate::machine::capacity;
use crate::name::Name;
use crate::timeline::What;

/// Checks the capacity used by the runs on each worker, and that reserved for attempts without a
/// known run.
pub(super) struct Capacity;

impl Check for Capacity {
    fn promise(&self) -> Promise {
        Promise::Capacity
    }

    fn check(&self, input: &Input<'_>, findings: &mut Findings) {
        input.check_ledger_complete(|stream| matches!(stream, Stream::Partition(_)), findings);
        input.check_timeline_complete(findings);
        let capacities = capacities(input);
        for worker in workers(input) {
            let found = capacities.binary_search_by(|(name, _)| (*name).cmp(worker));
            match found.map(|i| capacities[i].1) {
                Ok(size) => check_worker(worker, &size, input, findings),
                Err(_) => {
                    let message = format!("the capacity of {worker} is not in the time line");
                    findings.unprovable(message, about(worker, input, Millis::ZERO, Millis::MAX));
                }
            }
        }
    }
}

/// Returns the capacity of each worker at its last adoption, sorted by worker.
fn capacities<'a>(input: &Input<'a>) -> Vec<(&'a Name, capacity::Capacity)> {
    let mut found: Vec<(&Name, capacity::Capacity)> = Vec::new();
    for line in &input.lines {
        if let What::WorkerAdopted { worker, capacity, .. } = &line.event.what {
            match found.binary_search_by(|(name, _)| (*name).cmp(worker)) {
                Ok(i) => found[i].1 = *capacity,
                Err(i) => found.insert(i, (worker, *capacity)),
            }
        }
    }
    found
}

/// Returns all workers with recorded attempts or known runs, sorted.
fn workers<'a>(input: &Input<'a>) -> Vec<&'a Name> {
    let recorded = input.replay.attempts.iter().map(|attempt| attempt.worker);
    let mut workers: Vec<&Name> = recorded.chain(input.runs.iter().map(|run| run.worker)).collect();
    workers.sort_unstable();
    workers.dedup();
    workers
}

fn check_worker(
    worker: &Name,
    size: &capacity::Capacity,
    input: &Input<'_>,
    findings: &mut Findings,
) {
    let runs: Vec<&Run<'_>> = input.runs.iter().filter(|run| run.worker == worker).collect();
    for run in &runs {
        findings.count_checked(vec![
            Subject::Job(run.task.job.clone()),
            Subject::Machine(worker.clone()),
        ]);
        let is_concurrent = |other: &&&Run<'_>| {
            let is_same = std::ptr::eq(**other, *run);
            let before = (other.start, other.started.sequence) <= (run.start, run.started.sequence);
            is_same || (before && other.overlaps_start_of(run, input.bounds.skew_ms))
        };
        let taken = sum(runs.iter().filter(is_concurrent));
        if size.holds(&taken) {
            continue;
        }
        let certain =
            sum(runs.iter().filter(is_concurrent).filter(|other| !has_unknown_end(other, input)));
        let message = format!("{worker} has a capacity of {size} but ran {taken} at {}", run.start);
        let about = about(worker, input, run.start, run.start);
        if size.holds(&certain) {
            findings.unprovable(message, about).event(run.started);
        } else {
            findings.broken(message, about).event(run.started);
        }
    }
    check_reserved(worker, size, &runs, input, findings);
}

fn sum<'a, 'b: 'a>(runs: impl Iterator<Item = &'a &'a Run<'b>>) -> capacity::Capacity {
    runs.fold(capacity::Capacity::ZERO, |sum, run| sum.plus(&run.needs))
}

/// Returns whether the end of a run was not reported although the ledger shows that it is over, so
/// that it may have ended at any time.
fn has_unknown_end(run: &Run<'_>, input: &Input<'_>) -> bool {
    let recorded = input.replay.attempt(run.task, run.attempt);
    let is_over = recorded.is_some_and(|attempt| attempt.over.is_some());
    let is_followed = input.replay.attempt(run.task, run.attempt + 1).is_some();
    run.end.is_none() && (is_over || is_followed)
}

/// Checks the capacity reserved for attempts without a run in the time line. A reservation lasts
/// longer than the run, so that an excess makes the promise unprovable and not broken.
fn check_reserved(
    worker: &Name,
    size: &capacity::Capacity,
    runs: &[&Run<'_>],
    input: &Input<'_>,
    findings: &mut Findings,
) {
    let own = input.replay.attempts.iter().filter(|attempt| attempt.worker == worker);
    let own: Vec<_> = own.collect();
    for attempt in &own {
        let is_run = runs.iter().any(|r| r.task == attempt.task && r.attempt == attempt.number);
        if is_run {
            continue;
        }
        findings.count_checked(vec![
            Subject::Job(attempt.task.job.clone()),
            Subject::Machine(worker.clone()),
        ]);
        let at = attempt.row.record.at;
        let held = own.iter().filter(|other| {
            let over = other.over.is_none_or(|over| over.record.at > at);
            other.row.record.at <= at && over
        });
        let taken = held.fold(capacity::Capacity::ZERO, |sum, other| sum.plus(&other.needs));
        if !size.holds(&taken) {
            let message = format!(
                "{taken} were reserved on {worker}, whose capacity is {size}, and not all runs are known"
            );
            let about = about(worker, input, at, at);
            findings.unprovable(message, about).record(attempt.row.stream, attempt.row.offset);
        }
    }
}

/// Returns as subjects the worker and the jobs that had attempts or runs on it between two times.
fn about(worker: &Name, input: &Input<'_>, from: Millis, to: Millis) -> Vec<Subject> {
    let mut about = vec![Subject::Machine(worker.clone())];
    let runs = input
        .runs
        .iter()
        .filter(|r| r.worker == worker && r.start <= to && r.end.is_none_or(|end| end >= from));
    about.extend(runs.map(|run| Subject::Job(run.task.job.clone())));
    let attempts = input.replay.attempts.iter().filter(|a| {
        let over = a.over.is_none_or(|over| over.record.at >= from);
        a.worker == worker && a.row.record.at <= to && over
    });
    about.extend(attempts.map(|attempt| Subject::Job(attempt.task.job.clone())));
    about.sort();
    about.dedup();
    about
}
