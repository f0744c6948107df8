//! A leaving worker or runner gets nothing new after a few seconds.

use super::{Case, Check, Promise, Sheet, Subject};
use crate::clock::Millis;
use crate::name::Name;
use crate::timeline::{Event, What};

/// Time after the list first showed that a machine is leaving, within which it may still get
/// something new.
const GRACE: Millis = Millis::from_secs(3);

/// Checks orders and requests to machines that are leaving.
pub(super) struct Leaving;

impl Check for Leaving {
    fn promise(&self) -> Promise {
        Promise::Leaving
    }

    fn check(&self, case: &Case<'_>, sheet: &mut Sheet) {
        case.need_timeline(sheet);
        let leaving = leaving(case);
        for (machine, _) in &leaving {
            sheet.look(vec![Subject::Machine((*machine).clone())]);
        }
        for line in &case.lines {
            let event = line.event;
            let Some((machine, subject)) = given(&event.what) else { continue };
            let Ok(i) = leaving.binary_search_by(|(name, _)| (*name).cmp(machine)) else {
                continue;
            };
            sheet.look(vec![subject.clone(), Subject::Machine(machine.clone())]);
            let seen = leaving[i].1;
            let late = event.at.since(seen.at);
            if late > GRACE + case.bounds.skew_ms {
                let message = format!("{machine} got work {late} after it was seen leaving");
                let about = vec![subject, Subject::Machine(machine.clone())];
                sheet.broken(message, about).event(seen).event(event);
            }
        }
    }
}

/// Returns the machines that are leaving, each with the first event that shows it, sorted.
fn leaving<'a>(case: &Case<'a>) -> Vec<(&'a Name, &'a Event)> {
    let mut found: Vec<(&Name, &Event)> = Vec::new();
    for line in &case.lines {
        if let What::LeavingSeen { instance } = &line.event.what
            && let Err(i) = found.binary_search_by(|(name, _)| (*name).cmp(instance))
        {
            found.insert(i, (instance, line.event));
        }
    }
    found
}

/// Returns the machine that is given something new, and what.
fn given(what: &What) -> Option<(&Name, Subject)> {
    match what {
        What::OrderSent { task, worker, .. } => Some((worker, Subject::Job(task.job.clone()))),
        What::RequestSent { request, runner, .. } => {
            Some((runner, Subject::Request(request.clone())))
        }
        _ => None,
    }
}
