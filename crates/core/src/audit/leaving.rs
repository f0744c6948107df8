//! Check: a leaving worker or runner receives no new work after a few seconds.

use super::{Check, Findings, Input, Promise, Subject};
use crate::clock::Millis;
use crate::name::Name;
use crate::timeline::{Event, What};

/// Time for which a machine may still receive new work after the list first showed it as leaving.
const GRACE_PERIOD: Millis = Millis::from_secs(3);

/// Checks start orders and requests sent to machines that are leaving.
pub(super) struct Leaving;

impl Check for Leaving {
    fn promise(&self) -> Promise {
        Promise::Leaving
    }

    fn check(&self, input: &Input<'_>, findings: &mut Findings) {
        input.check_timeline_complete(findings);
        let leaving = leaving(input);
        for (machine, _) in &leaving {
            findings.count_checked(vec![Subject::Machine((*machine).clone())]);
        }
        for line in &input.lines {
            let event = line.event;
            let Some((machine, subject)) = assignment(&event.what) else { continue };
            let Ok(i) = leaving.binary_search_by(|(name, _)| (*name).cmp(machine)) else {
                continue;
            };
            findings.count_checked(vec![subject.clone(), Subject::Machine(machine.clone())]);
            let seen = leaving[i].1;
            let late = event.at.since(seen.at);
            if late > GRACE_PERIOD + input.bounds.skew_ms {
                let message = format!("{machine} was given work {late} after it was seen leaving");
                let about = vec![subject, Subject::Machine(machine.clone())];
                findings.broken(message, about).event(seen).event(event);
            }
        }
    }
}

/// Returns the machines that are leaving, each with the first event that shows it, sorted.
fn leaving<'a>(input: &Input<'a>) -> Vec<(&'a Name, &'a Event)> {
    let mut found: Vec<(&Name, &Event)> = Vec::new();
    for line in &input.lines {
        if let What::LeavingSeen { instance } = &line.event.what
            && let Err(i) = found.binary_search_by(|(name, _)| (*name).cmp(instance))
        {
            found.insert(i, (instance, line.event));
        }
    }
    found
}

/// Returns the machine that an event gives new work to, and the subject of that work.
fn assignment(what: &What) -> Option<(&Name, Subject)> {
    match what {
        What::OrderSent { task, worker, .. } => Some((worker, Subject::Job(task.job.clone()))),
        What::RequestSent { request, runner, .. } => {
            Some((runner, Subject::Request(request.clone())))
        }
        _ => None,
    }
}
