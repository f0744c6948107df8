//! Check: what was refused as "not run" did not run.

use super::{Check, Findings, Input, Promise, Subject};
use crate::contract::request::{Answer, Reason};
use crate::contract::{job, request};
use crate::ledger::Stream;
use crate::name::Name;
use crate::timeline::{Event, What};

/// Checks refusals of jobs against the ledger, and refusals of requests against the events of
/// runners.
pub(super) struct NotRun;

impl Check for NotRun {
    fn promise(&self) -> Promise {
        Promise::NotRun
    }

    fn check(&self, input: &Input<'_>, findings: &mut Findings) {
        input.check_ledger_complete(|stream| matches!(stream, Stream::Partition(_)), findings);
        input.check_timeline_complete(findings);
        for (i, line) in input.lines.iter().enumerate() {
            match &line.event.what {
                What::JobRefused { job, reason: Some(reason) } if *reason != Reason::Mismatch => {
                    findings.count_checked(vec![Subject::Job(job.clone())]);
                    check_job(job, line.event, input, findings);
                }
                What::RequestRefused { request, reason } if *reason != Reason::Mismatch => {
                    findings.count_checked(vec![Subject::Request(request.clone())]);
                    check_request(request, i, input, findings);
                }
                _ => {}
            }
        }
        check_recorded(input, findings);
    }
}

/// Checks that the acceptance of a refused job was not recorded before the refusal. An acceptance
/// that was recorded later belongs to another submission.
fn check_job(job: &job::Id, refused: &Event, input: &Input<'_>, findings: &mut Findings) {
    let Some(submitted) = input.replay.job(job.as_str()) else { return };
    let record = &submitted.row.record;
    if record.at > refused.at {
        return;
    }
    let about = vec![Subject::Job(job.clone())];
    let message = format!("{job} was refused as not run, but was accepted");
    let is_one_clock = is_writer(&refused.process, &record.id.writer);
    let is_certain = is_one_clock || record.at + input.bounds.skew_ms < refused.at;
    let evidence = if is_certain {
        findings.broken(message, about)
    } else {
        findings.unprovable(message, about)
    };
    evidence.event(refused).record(submitted.row.stream, submitted.row.offset);
}

/// Returns whether a writer of records belongs to the same instance as a process, so that their
/// times are from one clock. Both names are the instance's name with a suffix per process start.
fn is_writer(process: &Name, writer: &Name) -> bool {
    let instance = process.as_str().rsplit_once('.').map_or(process.as_str(), |(name, _)| name);
    writer.as_str().strip_prefix(instance).is_some_and(|rest| rest.starts_with('.'))
}

/// Checks that a refused request did not run between its arrival and its next arrival.
fn check_request(
    request: &request::Id,
    refused: usize,
    input: &Input<'_>,
    findings: &mut Findings,
) {
    let refusal = input.lines[refused].event;
    let is_arrival = |what: &What| matches!(what, What::RequestReceived { .. });
    let start = input
        .of_request(request, 0)
        .take_while(|(i, _)| *i < refused)
        .filter(|(_, event)| event.process == refusal.process && is_arrival(&event.what))
        .last()
        .map_or(refused, |(i, _)| i);
    let again = input.of_request(request, refused + 1).find(|(_, e)| is_arrival(&e.what));
    let end = again.map_or(input.lines.len(), |(i, _)| i);
    for (_, event) in input.of_request(request, start).take_while(|(i, _)| *i < end) {
        let about = vec![Subject::Request(request.clone())];
        match &event.what {
            What::RequestServed { attempt, .. } => {
                let message =
                    format!("{request} was refused as not run, but ran as attempt {attempt}");
                findings.broken(message, about).event(refusal).event(event);
            }
            What::SlotHeld { runner, .. } => {
                let message = format!(
                    "{request} was refused as not run, although an attempt on {runner} was not answered in time"
                );
                findings.unprovable(message, about).event(refusal).event(event);
            }
            _ => {}
        }
    }
}

/// Checks the refusals that are recorded in the ledger. The claimant of a key records one only if it
/// knows that the request did not run, so any execution contradicts it.
fn check_recorded(input: &Input<'_>, findings: &mut Findings) {
    for key in &input.replay.keys {
        let Some((Answer::NotRun { .. }, row)) = key.answer else { continue };
        let about = vec![Subject::Request(key.request.clone())];
        findings.count_checked(about.clone());
        let served = input
            .of_request(key.request, 0)
            .find(|(_, event)| matches!(event.what, What::RequestServed { .. }));
        if let Some((_, event)) = served {
            let message = format!("{} is recorded as not run, but ran", key.request);
            findings.broken(message, about).record(row.stream, row.offset).event(event);
        }
    }
}
