//! Checks: every caller receives the whole answer to its own request, and a non-idempotent request
//! is executed at most once.

use super::{Check, Findings, Input, Promise, Subject};
use crate::clock::Millis;
use crate::contract::request::{self, Answer, MAX_WAIT};
use crate::ledger::Stream;
use crate::name::Name;
use crate::timeline::{Event, What};

/// Margin after the maximum wait of a caller within which a request must have an outcome.
const ANSWER_MARGIN: Millis = Millis::from_secs(15);

/// Checks that each arrival has an outcome and that no answer belongs to another request.
pub(super) struct WholeAnswer;

impl Check for WholeAnswer {
    fn promise(&self) -> Promise {
        Promise::WholeAnswer
    }

    fn check(&self, input: &Input<'_>, findings: &mut Findings) {
        input.check_timeline_complete(findings);
        let attempts = attempts(input);
        for (i, line) in input.lines.iter().enumerate() {
            if let What::RequestReceived { request, .. } = &line.event.what {
                findings.count_checked(vec![Subject::Request(request.clone())]);
                check_outcome(request, i, input, findings);
            }
            if let What::RequestAnswered { request, attempt: Some(attempt) } = &line.event.what {
                check_owner(request, attempt, line.event, &attempts, findings);
            }
        }
        for key in &input.replay.keys {
            if let Some((answer, row)) = key.answer
                && id_of(answer) != key.request
            {
                let message =
                    format!("{} is recorded with the answer to another request", key.request);
                let about = vec![Subject::Request(key.request.clone())];
                findings.broken(message, about).record(row.stream, row.offset);
            }
        }
    }
}

/// Checks that the process that received a request gave its caller an outcome.
fn check_outcome(request: &request::Id, i: usize, input: &Input<'_>, findings: &mut Findings) {
    let received = input.lines[i].event;
    let process = &received.process;
    let has_outcome = input
        .of_request(request, i + 1)
        .any(|(_, event)| event.process == *process && outcome(&event.what).is_some());
    if has_outcome {
        return;
    }
    let about = vec![Subject::Request(request.clone())];
    let due = received.at + MAX_WAIT + ANSWER_MARGIN;
    let last = input.last_seen(process).unwrap_or_default();
    let has_drained = input.lines[i + 1..]
        .iter()
        .any(|line| line.event.process == *process && matches!(line.event.what, What::Drained));
    if has_drained || last > due {
        let message = format!("{process} gave the caller of {request} no outcome");
        findings.broken(message, about).event(received);
    } else if input.lines.iter().any(|line| line.at > due + input.bounds.skew_ms) {
        let message = format!(
            "the events of {process} end before the caller of {request} was given an outcome"
        );
        findings.unprovable(message, about).event(received);
    }
}

/// Returns the request whose caller was given an outcome by the event.
pub(super) const fn outcome(what: &What) -> Option<&request::Id> {
    match what {
        What::RequestAnswered { request, .. }
        | What::RequestRefused { request, .. }
        | What::RequestUnknown { request } => Some(request),
        _ => None,
    }
}

/// Returns the attempts that were sent, each with its request, sorted by attempt.
fn attempts<'a>(input: &Input<'a>) -> Vec<(&'a Name, &'a request::Id)> {
    let sent = input.lines.iter().filter_map(|line| match &line.event.what {
        What::RequestSent { request, attempt, .. } => Some((attempt, request)),
        _ => None,
    });
    let mut attempts: Vec<_> = sent.collect();
    attempts.sort_unstable();
    attempts
}

/// Checks that the answer given to a request is that of one of its own attempts.
fn check_owner(
    request: &request::Id,
    attempt: &Name,
    answered: &Event,
    attempts: &[(&Name, &request::Id)],
    findings: &mut Findings,
) {
    let Ok(i) = attempts.binary_search_by(|(other, _)| (*other).cmp(attempt)) else { return };
    let other = attempts[i].1;
    if other != request {
        let message = format!("the caller of {request} was given the answer to {other}");
        let about = vec![Subject::Request(request.clone()), Subject::Request(other.clone())];
        findings.broken(message, about).event(answered);
    }
}

const fn id_of(answer: &Answer) -> &request::Id {
    match answer {
        Answer::Whole { request, .. }
        | Answer::NotRun { request, .. }
        | Answer::Unknown { request } => request,
    }
}

/// Checks claims and attempts of non-idempotent requests.
pub(super) struct AtMostOnce;

/// The attempts of one non-idempotent request.
#[derive(Default)]
struct Attempts<'a> {
    /// Attempts that were sent and not refused by the runner.
    sent: Vec<(&'a Name, &'a Event)>,
    refused: Vec<&'a Name>,
    served: Vec<(&'a Name, &'a Event)>,
}

impl Check for AtMostOnce {
    fn promise(&self) -> Promise {
        Promise::AtMostOnce
    }

    fn check(&self, input: &Input<'_>, findings: &mut Findings) {
        input.check_ledger_complete(|stream| matches!(stream, Stream::Partition(_)), findings);
        input.check_timeline_complete(findings);
        for request in non_idempotent(input) {
            findings.count_checked(vec![Subject::Request(request.clone())]);
            check_attempts(request, &Attempts::of(request, input), input, findings);
        }
    }
}

/// Returns the requests that were claimed or received as non-idempotent, sorted.
fn non_idempotent<'a>(input: &Input<'a>) -> Vec<&'a request::Id> {
    let received = input.lines.iter().filter_map(|line| match &line.event.what {
        What::RequestReceived { request, idempotent: false, .. } => Some(request),
        _ => None,
    });
    let mut found: Vec<&request::Id> =
        received.chain(input.replay.keys.iter().map(|key| key.request)).collect();
    found.sort_unstable();
    found.dedup();
    found
}

impl<'a> Attempts<'a> {
    fn of(request: &request::Id, input: &Input<'a>) -> Self {
        let mut attempts = Self::default();
        for (_, event) in input.of_request(request, 0) {
            match &event.what {
                What::RequestSent { attempt, .. } => attempts.sent.push((attempt, event)),
                What::TryRefused { attempt, .. } => attempts.refused.push(attempt),
                What::RequestServed { attempt, .. } => attempts.served.push((attempt, event)),
                _ => {}
            }
        }
        attempts.served.sort_by_key(|(attempt, _)| *attempt);
        attempts.served.dedup_by_key(|(attempt, _)| *attempt);
        let Self { sent, refused, .. } = &mut attempts;
        sent.sort_by_key(|(attempt, _)| *attempt);
        sent.dedup_by_key(|(attempt, _)| *attempt);
        sent.retain(|(attempt, _)| !refused.contains(attempt));
        attempts
    }
}

fn check_attempts(
    request: &request::Id,
    attempts: &Attempts<'_>,
    input: &Input<'_>,
    findings: &mut Findings,
) {
    let key = input.replay.key(request.as_str());
    let (served, sent) = (attempts.served.as_slice(), attempts.sent.as_slice());
    let (message, events) = if served.len() > 1 {
        (format!("{request} ran {} times", served.len()), served)
    } else if sent.len() > 1 {
        (format!("{request} was sent again although it may have run"), sent)
    } else if key.is_none() && (!sent.is_empty() || !served.is_empty()) {
        let events = if sent.is_empty() { served } else { sent };
        (format!("{request} was sent without a claim in the ledger"), events)
    } else {
        return;
    };
    let evidence = findings.broken(message, vec![Subject::Request(request.clone())]);
    for (_, event) in events {
        evidence.event(event);
    }
    if let Some(key) = key {
        evidence.record(key.row.stream, key.row.offset);
    }
}
