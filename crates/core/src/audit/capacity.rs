//! No worker is given more than its capacity.

use super::runs::Run;
use super::{Case, Check, Promise, Sheet, Subject};
use crate::clock::Millis;
use crate::ledger::Stream;
use crate::machine::capacity;
use crate::name::Name;
use crate::timeline::What;

/// Checks what runs on each worker, or what is reserved there where runs aren't known.
pub(super) struct Capacity;

impl Check for Capacity {
    fn promise(&self) -> Promise {
        Promise::Capacity
    }

    fn check(&self, case: &Case<'_>, sheet: &mut Sheet) {
        case.need_ledger(|stream| matches!(stream, Stream::Partition(_)), sheet);
        case.need_timeline(sheet);
        let capacities = capacities(case);
        for worker in workers(case) {
            let found = capacities.binary_search_by(|(name, _)| (*name).cmp(worker));
            match found.map(|i| capacities[i].1) {
                Ok(size) => check_worker(worker, &size, case, sheet),
                Err(_) => {
                    let message = format!("the capacity of {worker} is not in the time line");
                    sheet.unprovable(message, about(worker, case, Millis::ZERO, Millis::MAX));
                }
            }
        }
    }
}

/// Returns the capacity of each worker at its last adoption, sorted by worker.
fn capacities<'a>(case: &Case<'a>) -> Vec<(&'a Name, capacity::Capacity)> {
    let mut found: Vec<(&Name, capacity::Capacity)> = Vec::new();
    for line in &case.lines {
        if let What::WorkerAdopted { worker, capacity, .. } = &line.event.what {
            match found.binary_search_by(|(name, _)| (*name).cmp(worker)) {
                Ok(i) => found[i].1 = *capacity,
                Err(i) => found.insert(i, (worker, *capacity)),
            }
        }
    }
    found
}

/// Returns all workers that got work, sorted.
fn workers<'a>(case: &Case<'a>) -> Vec<&'a Name> {
    let recorded = case.replay.attempts.iter().map(|attempt| attempt.worker);
    let mut workers: Vec<&Name> = recorded.chain(case.runs.iter().map(|run| run.worker)).collect();
    workers.sort_unstable();
    workers.dedup();
    workers
}

fn check_worker(worker: &Name, size: &capacity::Capacity, case: &Case<'_>, sheet: &mut Sheet) {
    let runs: Vec<&Run<'_>> = case.runs.iter().filter(|run| run.worker == worker).collect();
    for run in &runs {
        sheet.look(vec![Subject::Job(run.task.job.clone()), Subject::Machine(worker.clone())]);
        let at_once = |other: &&&Run<'_>| {
            let is_same = std::ptr::eq(**other, *run);
            let before = (other.start, other.started.sequence) <= (run.start, run.started.sequence);
            is_same || (before && other.goes_on_at(run, case.bounds.skew_ms))
        };
        let taken = sum(runs.iter().filter(at_once));
        if size.holds(&taken) {
            continue;
        }
        let sure = sum(runs.iter().filter(at_once).filter(|other| !is_replaced(other, case)));
        let message = format!("{worker} holds {size} but ran {taken} at {}", run.start);
        let about = about(worker, case, run.start, run.start);
        if size.holds(&sure) {
            sheet.unprovable(message, about).event(run.started);
        } else {
            sheet.broken(message, about).event(run.started);
        }
    }
    check_reserved(worker, size, &runs, case, sheet);
}

fn sum<'a, 'b: 'a>(runs: impl Iterator<Item = &'a &'a Run<'b>>) -> capacity::Capacity {
    runs.fold(capacity::Capacity::ZERO, |sum, run| sum.plus(&run.needs))
}

/// Returns whether nobody told when a run ended, but the ledger says that it is over, so that it
/// may have ended at any time.
fn is_replaced(run: &Run<'_>, case: &Case<'_>) -> bool {
    let recorded = case.replay.attempt(run.task, run.attempt);
    let is_over = recorded.is_some_and(|attempt| attempt.over.is_some());
    let is_followed = case.replay.attempt(run.task, run.attempt + 1).is_some();
    run.end.is_none() && (is_over || is_followed)
}

/// Checks what is reserved for attempts whose runs the time line doesn't have. A reservation
/// lasts longer than the run, so that too much of it proves nothing.
fn check_reserved(
    worker: &Name,
    size: &capacity::Capacity,
    runs: &[&Run<'_>],
    case: &Case<'_>,
    sheet: &mut Sheet,
) {
    let own = case.replay.attempts.iter().filter(|attempt| attempt.worker == worker);
    let own: Vec<_> = own.collect();
    for attempt in &own {
        let is_run = runs.iter().any(|r| r.task == attempt.task && r.attempt == attempt.number);
        if is_run {
            continue;
        }
        sheet.look(vec![Subject::Job(attempt.task.job.clone()), Subject::Machine(worker.clone())]);
        let at = attempt.row.record.at;
        let held = own.iter().filter(|other| {
            let over = other.over.is_none_or(|over| over.record.at > at);
            other.row.record.at <= at && over
        });
        let taken = held.fold(capacity::Capacity::ZERO, |sum, other| sum.plus(&other.needs));
        if !size.holds(&taken) {
            let message = format!(
                "{taken} are reserved on {worker}, which holds {size}, and not all runs are known"
            );
            let about = about(worker, case, at, at);
            sheet.unprovable(message, about).record(attempt.row.stream, attempt.row.offset);
        }
    }
}

/// Returns the worker and the jobs that had attempts there within a time.
fn about(worker: &Name, case: &Case<'_>, from: Millis, to: Millis) -> Vec<Subject> {
    let mut about = vec![Subject::Machine(worker.clone())];
    let runs = case
        .runs
        .iter()
        .filter(|r| r.worker == worker && r.start <= to && r.end.is_none_or(|end| end >= from));
    about.extend(runs.map(|run| Subject::Job(run.task.job.clone())));
    let attempts = case.replay.attempts.iter().filter(|a| {
        let over = a.over.is_none_or(|over| over.record.at >= from);
        a.worker == worker && a.row.record.at <= to && over
    });
    about.extend(attempts.map(|attempt| Subject::Job(attempt.task.job.clone())));
    about.sort();
    about.dedup();
    about
}
