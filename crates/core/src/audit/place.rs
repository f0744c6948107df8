//! No task runs in two places at once.

use super::replay::Attempt;
use super::runs::Run;
use super::{Case, Check, Promise, Sheet, Subject};
use crate::ledger::Stream;

/// Checks that an attempt follows another only when that was over or fenced, and that whatever
/// ran was recorded and didn't overlap.
pub(super) struct OnePlace;

impl Check for OnePlace {
    fn promise(&self) -> Promise {
        Promise::OnePlace
    }

    fn check(&self, case: &Case<'_>, sheet: &mut Sheet) {
        case.need_ledger(|stream| stream != Stream::Configuration, sheet);
        case.need_timeline(sheet);
        for attempt in &case.replay.attempts {
            sheet.look(vec![Subject::Job(attempt.task.job.clone())]);
        }
        for pair in case.replay.attempts.windows(2) {
            if let [before, after] = pair
                && before.task == after.task
            {
                check_order(before, after, case, sheet);
            }
        }
        for run in &case.runs {
            check_recorded(run, case, sheet);
        }
        check_overlaps(case, sheet);
    }
}

/// Checks that the attempt before was over, or that its fence had passed.
fn check_order(before: &Attempt<'_>, after: &Attempt<'_>, case: &Case<'_>, sheet: &mut Sheet) {
    if before.over.is_some_and(|over| over.offset < after.row.offset) {
        return;
    }
    let about = vec![Subject::Job(after.task.job.clone())];
    let message = match fault_of_fence(before, after, case) {
        None => return,
        Some(message) => format!("attempt {} of {}: {message}", after.number, after.task),
    };
    let (stream, first, second) = (after.row.stream, before.row.offset, after.row.offset);
    sheet.broken(message, about).record(stream, first).record(stream, second);
}

/// Returns what is wrong with the fence between two attempts.
fn fault_of_fence(before: &Attempt<'_>, after: &Attempt<'_>, case: &Case<'_>) -> Option<String> {
    let Some(offset) = after.fence else {
        return Some("the attempt before was not over and no loss is named".into());
    };
    let Some(loss) = case.replay.losses.iter().find(|loss| loss.offset == offset) else {
        return Some(format!("the loss at offset {offset} of the fleet stream is not in force"));
    };
    if loss.worker != before.worker || loss.epoch < before.epoch {
        return Some(format!("the loss at offset {offset} doesn't cover the attempt before"));
    }
    let earliest = loss.at + case.bounds.fence();
    let at = after.row.record.at;
    (at < earliest)
        .then(|| format!("recorded {} before the fence of the loss had passed", earliest.since(at)))
}

/// Checks that a run is that of an attempt in the ledger.
fn check_recorded(run: &Run<'_>, case: &Case<'_>, sheet: &mut Sheet) {
    let recorded = case.replay.attempt(run.task, run.attempt);
    if recorded.is_some_and(|attempt| attempt.worker == run.worker) {
        return;
    }
    let about = vec![Subject::Job(run.task.job.clone()), Subject::Machine(run.worker.clone())];
    let message =
        format!("attempt {} of {} ran on {} without a record", run.attempt, run.task, run.worker);
    if case.replay.holes.iter().any(|hole| matches!(hole.stream, Stream::Partition(_))) {
        sheet.unprovable(message, about).event(run.started);
    } else {
        sheet.broken(message, about).event(run.started);
    }
}

/// Checks that no two runs of a task went on at the same time.
fn check_overlaps(case: &Case<'_>, sheet: &mut Sheet) {
    for (i, one) in case.runs.iter().enumerate() {
        let others = case.runs[i + 1..].iter().take_while(|other| other.task == one.task);
        for other in others {
            let (first, second) =
                if one.start <= other.start { (one, other) } else { (other, one) };
            let is_over = !first.goes_on_at(second, case.bounds.skew_ms);
            if is_over || is_fenced(first, second, case) {
                continue;
            }
            let message = format!(
                "{} ran on {} (attempt {}) and on {} (attempt {}) at once",
                first.task, first.worker, first.attempt, second.worker, second.attempt
            );
            let about = vec![
                Subject::Job(first.task.job.clone()),
                Subject::Machine(first.worker.clone()),
                Subject::Machine(second.worker.clone()),
            ];
            sheet.broken(message, about).event(first.started).event(second.started);
        }
    }
}

/// Returns whether nobody saw the first run end, but its lease had lapsed before the second.
fn is_fenced(first: &Run<'_>, second: &Run<'_>, case: &Case<'_>) -> bool {
    let after = (first.attempt + 1..=second.attempt)
        .filter_map(|number| case.replay.attempt(first.task, number))
        .any(|attempt| attempt.fence.is_some());
    let released = case
        .replay
        .attempt(first.task, first.attempt)
        .and_then(|attempt| attempt.over)
        .is_some_and(|over| over.record.at <= second.start + case.bounds.skew_ms);
    first.end.is_none() && (after || released)
}
