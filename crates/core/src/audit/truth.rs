//! What was refused as "not run" did not run.

use super::{Case, Check, Promise, Sheet, Subject};
use crate::contract::request::{Answer, Reason};
use crate::contract::{job, request};
use crate::ledger::Stream;
use crate::name::Name;
use crate::timeline::{Event, What};

/// Checks refusals of jobs against the ledger, and those of requests against the runners.
pub(super) struct NotRun;

impl Check for NotRun {
    fn promise(&self) -> Promise {
        Promise::NotRun
    }

    fn check(&self, case: &Case<'_>, sheet: &mut Sheet) {
        case.need_ledger(|stream| matches!(stream, Stream::Partition(_)), sheet);
        case.need_timeline(sheet);
        for (i, line) in case.lines.iter().enumerate() {
            match &line.event.what {
                What::JobRefused { job, reason: Some(reason) } if *reason != Reason::Mismatch => {
                    sheet.look(vec![Subject::Job(job.clone())]);
                    check_job(job, line.event, case, sheet);
                }
                What::RequestRefused { request, reason } if *reason != Reason::Mismatch => {
                    sheet.look(vec![Subject::Request(request.clone())]);
                    check_request(request, i, case, sheet);
                }
                _ => {}
            }
        }
        check_recorded(case, sheet);
    }
}

/// Checks that no acceptance of a refused job was written before it was refused. One that was
/// written later is another submission.
fn check_job(job: &job::Id, refused: &Event, case: &Case<'_>, sheet: &mut Sheet) {
    let Some(submitted) = case.replay.job(job.as_str()) else { return };
    let record = &submitted.row.record;
    if record.at > refused.at {
        return;
    }
    let about = vec![Subject::Job(job.clone())];
    let message = format!("{job} was refused as not run, but was accepted");
    let is_one_clock = is_writer(&refused.process, &record.id.writer);
    let is_sure = is_one_clock || record.at + case.bounds.skew_ms < refused.at;
    let evidence =
        if is_sure { sheet.broken(message, about) } else { sheet.unprovable(message, about) };
    evidence.event(refused).record(submitted.row.stream, submitted.row.offset);
}

/// Returns whether a writer of records is a duty of the same instance as a process. Both names
/// are the instance's with a suffix for the start.
fn is_writer(process: &Name, writer: &Name) -> bool {
    let instance = process.as_str().rsplit_once('.').map_or(process.as_str(), |(name, _)| name);
    writer.as_str().strip_prefix(instance).is_some_and(|rest| rest.starts_with('.'))
}

/// Checks that nothing of a refused request ran from its arrival on until it comes again.
fn check_request(request: &request::Id, refused: usize, case: &Case<'_>, sheet: &mut Sheet) {
    let refusal = case.lines[refused].event;
    let is_arrival = |what: &What| matches!(what, What::RequestReceived { .. });
    let start = case
        .of_request(request, 0)
        .take_while(|(i, _)| *i < refused)
        .filter(|(_, event)| event.process == refusal.process && is_arrival(&event.what))
        .last()
        .map_or(refused, |(i, _)| i);
    let again = case.of_request(request, refused + 1).find(|(_, e)| is_arrival(&e.what));
    let end = again.map_or(case.lines.len(), |(i, _)| i);
    for (_, event) in case.of_request(request, start).take_while(|(i, _)| *i < end) {
        let about = vec![Subject::Request(request.clone())];
        match &event.what {
            What::RequestServed { attempt, .. } => {
                let message = format!("{request} was refused as not run, but ran as try {attempt}");
                sheet.broken(message, about).event(refusal).event(event);
            }
            What::SlotHeld { runner, .. } => {
                let message = format!(
                    "{request} was refused as not run, although a try on {runner} went silent"
                );
                sheet.unprovable(message, about).event(refusal).event(event);
            }
            _ => {}
        }
    }
}

/// Checks the refusals in the ledger: whoever claimed the key knew that nothing ran.
fn check_recorded(case: &Case<'_>, sheet: &mut Sheet) {
    for key in &case.replay.keys {
        let Some((Answer::NotRun { .. }, row)) = key.answer else { continue };
        let about = vec![Subject::Request(key.request.clone())];
        sheet.look(about.clone());
        let served = case
            .of_request(key.request, 0)
            .find(|(_, event)| matches!(event.what, What::RequestServed { .. }));
        if let Some((_, event)) = served {
            let message = format!("{} is recorded as not run, but ran", key.request);
            sheet.broken(message, about).record(row.stream, row.offset).event(event);
        }
    }
}
