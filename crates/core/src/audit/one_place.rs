//! Check: no task runs in two places at once.

use super::replay::Attempt;
use super::runs::Run;
use super::{Check, Findings, Input, Promise, Subject};
use crate::ledger::Stream;

/// Checks that an attempt was recorded only after the previous one was over or fenced, that every
/// run has a recorded attempt, and that runs of a task do not overlap.
pub(super) struct OnePlace;

impl Check for OnePlace {
    fn promise(&self) -> Promise {
        Promise::OnePlace
    }

    fn check(&self, input: &Input<'_>, findings: &mut Findings) {
        input.check_ledger_complete(|stream| stream != Stream::Configuration, findings);
        input.check_timeline_complete(findings);
        for attempt in &input.replay.attempts {
            findings.count_checked(vec![Subject::Job(attempt.task.job.clone())]);
        }
        for pair in input.replay.attempts.windows(2) {
            if let [before, after] = pair
                && before.task == after.task
            {
                check_order(before, after, input, findings);
            }
        }
        for run in &input.runs {
            check_recorded(run, input, findings);
        }
        check_overlaps(input, findings);
    }
}

/// Checks that the previous attempt was over or that its fence had expired.
fn check_order(
    before: &Attempt<'_>,
    after: &Attempt<'_>,
    input: &Input<'_>,
    findings: &mut Findings,
) {
    if before.over.is_some_and(|over| over.offset < after.row.offset) {
        return;
    }
    let about = vec![Subject::Job(after.task.job.clone())];
    let message = match fence_violation(before, after, input) {
        None => return,
        Some(message) => format!("attempt {} of {}: {message}", after.number, after.task),
    };
    let (stream, first, second) = (after.row.stream, before.row.offset, after.row.offset);
    findings.broken(message, about).record(stream, first).record(stream, second);
}

/// Returns how the fence between two attempts was violated, if it was.
fn fence_violation(before: &Attempt<'_>, after: &Attempt<'_>, input: &Input<'_>) -> Option<String> {
    let Some(offset) = after.fence else {
        return Some("the previous attempt was not over and the record names no loss".into());
    };
    let Some(loss) = input.replay.losses.iter().find(|loss| loss.offset == offset) else {
        return Some(format!("the loss at offset {offset} of the fleet stream is not in force"));
    };
    if loss.worker != before.worker || loss.epoch < before.epoch {
        return Some(format!("the loss at offset {offset} does not cover the previous attempt"));
    }
    let earliest = loss.at + input.bounds.fence();
    let at = after.row.record.at;
    (at < earliest).then(|| {
        format!("recorded {} before the fence of the loss had expired", earliest.since(at))
    })
}

/// Checks that a run belongs to an attempt in the ledger.
fn check_recorded(run: &Run<'_>, input: &Input<'_>, findings: &mut Findings) {
    let recorded = input.replay.attempt(run.task, run.attempt);
    if recorded.is_some_and(|attempt| attempt.worker == run.worker) {
        return;
    }
    let about = vec![Subject::Job(run.task.job.clone()), Subject::Machine(run.worker.clone())];
    let message =
        format!("attempt {} of {} ran on {} without a record", run.attempt, run.task, run.worker);
    if input.replay.defects.iter().any(|defect| matches!(defect.stream, Stream::Partition(_))) {
        findings.unprovable(message, about).event(run.started);
    } else {
        findings.broken(message, about).event(run.started);
    }
}

/// Checks that no two runs of a task overlapped.
fn check_overlaps(input: &Input<'_>, findings: &mut Findings) {
    for (i, one) in input.runs.iter().enumerate() {
        let others = input.runs[i + 1..].iter().take_while(|other| other.task == one.task);
        for other in others {
            let (first, second) =
                if one.start <= other.start { (one, other) } else { (other, one) };
            let is_over = !first.overlaps_start_of(second, input.bounds.skew_ms);
            if is_over || has_ended_unreported(first, second, input) {
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
            findings.broken(message, about).event(first.started).event(second.started);
        }
    }
}

/// Returns whether the end of the first run was not reported, but the ledger shows that it was fenced
/// or over before the second run started.
fn has_ended_unreported(first: &Run<'_>, second: &Run<'_>, input: &Input<'_>) -> bool {
    let is_fenced = (first.attempt + 1..=second.attempt)
        .filter_map(|number| input.replay.attempt(first.task, number))
        .any(|attempt| attempt.fence.is_some());
    let is_over = input
        .replay
        .attempt(first.task, first.attempt)
        .and_then(|attempt| attempt.over)
        .is_some_and(|over| over.record.at <= second.start + input.bounds.skew_ms);
    first.end.is_none() && (is_fenced || is_over)
}
