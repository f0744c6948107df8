//! Check: accepted work is not lost.

use super::{Check, Findings, Input, Promise, Subject};
use crate::contract::job;
use crate::ledger::Stream;
use crate::timeline::{Event, What};

/// Checks that every job that was reported as accepted or ended is accepted or ended in the ledger.
pub(super) struct NothingLost;

impl Check for NothingLost {
    fn promise(&self) -> Promise {
        Promise::NothingLost
    }

    fn check(&self, input: &Input<'_>, findings: &mut Findings) {
        input.check_ledger_complete(|stream| matches!(stream, Stream::Partition(_)), findings);
        input.check_timeline_complete(findings);
        for submitted in &input.replay.jobs {
            findings.count_checked(vec![Subject::Job(submitted.job.id.clone())]);
        }
        for line in &input.lines {
            match &line.event.what {
                What::JobAccepted { job, .. } if input.replay.job(job.as_str()).is_none() => {
                    report_missing(
                        job,
                        "was accepted but is not in the ledger",
                        line.event,
                        input,
                        findings,
                    );
                }
                What::JobEnded { job } if !input.replay.has_ended(job.as_str()) => {
                    report_missing(
                        job,
                        "was reported as ended but has not ended in the ledger",
                        line.event,
                        input,
                        findings,
                    );
                }
                _ => {}
            }
        }
    }
}

fn report_missing(
    job: &job::Id,
    what: &str,
    event: &Event,
    input: &Input<'_>,
    findings: &mut Findings,
) {
    let about = vec![Subject::Job(job.clone())];
    let message = format!("{job} {what}");
    let is_ledger_complete =
        !input.replay.defects.iter().any(|defect| matches!(defect.stream, Stream::Partition(_)));
    if is_ledger_complete {
        findings.broken(message, about).event(event);
    } else {
        findings.unprovable(message, about).event(event);
    }
}
