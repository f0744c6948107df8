//! Check: a planned stop leaves no request without an outcome.

use super::request::outcome;
use super::{Check, Findings, Input, Promise, Subject};
use crate::timeline::What;

/// Checks that a process that was stopped as planned gave every caller an outcome before it ended.
pub(super) struct GracefulStop;

impl Check for GracefulStop {
    fn promise(&self) -> Promise {
        Promise::GracefulStop
    }

    fn check(&self, input: &Input<'_>, findings: &mut Findings) {
        input.check_timeline_complete(findings);
        let starts = input.lines.iter().enumerate();
        for (i, line) in starts.filter(|(_, l)| matches!(l.event.what, What::DrainStarted)) {
            let process = &line.event.process;
            findings.count_checked(vec![Subject::Process(process.clone())]);
            let end = input.lines[i..].iter().position(|other| {
                other.event.process == *process && matches!(other.event.what, What::Drained)
            });
            match end {
                Some(after) => check_stop(i + after, input, findings),
                None => {
                    let message = format!("the planned stop of {process} has not ended");
                    let about = vec![Subject::Process(process.clone())];
                    findings.unprovable(message, about).event(line.event);
                }
            }
        }
    }
}

/// Checks that each request that arrived before the end of the stop had an outcome before that end.
fn check_stop(drained: usize, input: &Input<'_>, findings: &mut Findings) {
    let process = &input.lines[drained].event.process;
    let own: Vec<_> = input.lines[..drained]
        .iter()
        .map(|line| line.event)
        .filter(|event| event.process == *process)
        .collect();
    for (i, event) in own.iter().enumerate() {
        let What::RequestReceived { request, .. } = &event.what else { continue };
        findings.count_checked(vec![Subject::Request(request.clone())]);
        let has_outcome = own[i + 1..].iter().any(|later| outcome(&later.what) == Some(request));
        if !has_outcome {
            let message =
                format!("the planned stop of {process} ended before {request} had an outcome");
            let about = vec![Subject::Request(request.clone())];
            findings.broken(message, about).event(event).event(input.lines[drained].event);
        }
    }
}
