//! Accepted work is not lost.

use super::{Case, Check, Promise, Sheet, Subject};
use crate::contract::job;
use crate::ledger::Stream;
use crate::timeline::{Event, What};

/// Checks that whatever was accepted, or reported as ended, is so in the ledger.
pub(super) struct NothingLost;

impl Check for NothingLost {
    fn promise(&self) -> Promise {
        Promise::NothingLost
    }

    fn check(&self, case: &Case<'_>, sheet: &mut Sheet) {
        case.need_ledger(|stream| matches!(stream, Stream::Partition(_)), sheet);
        case.need_timeline(sheet);
        for submitted in &case.replay.jobs {
            sheet.look(vec![Subject::Job(submitted.job.id.clone())]);
        }
        for line in &case.lines {
            match &line.event.what {
                What::JobAccepted { job, .. } if case.replay.job(job.as_str()).is_none() => {
                    missing(job, "was accepted but is not in the ledger", line.event, case, sheet);
                }
                What::JobEnded { job } if !case.replay.has_ended(job.as_str()) => {
                    missing(job, "was reported as ended but is not", line.event, case, sheet);
                }
                _ => {}
            }
        }
    }
}

fn missing(job: &job::Id, what: &str, event: &Event, case: &Case<'_>, sheet: &mut Sheet) {
    let about = vec![Subject::Job(job.clone())];
    let message = format!("{job} {what}");
    let is_whole =
        !case.replay.holes.iter().any(|hole| matches!(hole.stream, Stream::Partition(_)));
    if is_whole {
        sheet.broken(message, about).event(event);
    } else {
        sheet.unprovable(message, about).event(event);
    }
}
