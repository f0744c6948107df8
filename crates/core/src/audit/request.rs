//! Every caller receives the whole answer to its own request, and a non-idempotent request is
//! executed at most once.

use super::{Case, Check, Promise, Sheet, Subject};
use crate::clock::Millis;
use crate::contract::request::{self, Answer, MAX_WAIT};
use crate::ledger::Stream;
use crate::name::Name;
use crate::timeline::{Event, What};

/// A request is answered at the latest this long after its caller's longest wait.
const ANSWER_MARGIN: Millis = Millis::from_secs(15);

/// Checks that each arrival has one outcome, and that no answer belongs to another request.
pub(super) struct WholeAnswer;

impl Check for WholeAnswer {
    fn promise(&self) -> Promise {
        Promise::WholeAnswer
    }

    fn check(&self, case: &Case<'_>, sheet: &mut Sheet) {
        case.need_timeline(sheet);
        let tries = tries(case);
        for (i, line) in case.lines.iter().enumerate() {
            if let What::RequestReceived { request, .. } = &line.event.what {
                sheet.look(vec![Subject::Request(request.clone())]);
                check_outcome(request, i, case, sheet);
            }
            if let What::RequestAnswered { request, attempt: Some(attempt) } = &line.event.what {
                check_owner(request, attempt, line.event, &tries, sheet);
            }
        }
        for key in &case.replay.keys {
            if let Some((answer, row)) = key.answer
                && id_of(answer) != key.request
            {
                let message = format!("{} is recorded with the answer to another", key.request);
                let about = vec![Subject::Request(key.request.clone())];
                sheet.broken(message, about).record(row.stream, row.offset);
            }
        }
    }
}

/// Checks that the process told the caller something about the request that came to it.
fn check_outcome(request: &request::Id, i: usize, case: &Case<'_>, sheet: &mut Sheet) {
    let received = case.lines[i].event;
    let process = &received.process;
    let is_told = case
        .of_request(request, i + 1)
        .any(|(_, event)| event.process == *process && outcome(&event.what).is_some());
    if is_told {
        return;
    }
    let about = vec![Subject::Request(request.clone())];
    let due = received.at + MAX_WAIT + ANSWER_MARGIN;
    let last = case.last_seen(process).unwrap_or_default();
    let has_drained = case.lines[i + 1..]
        .iter()
        .any(|line| line.event.process == *process && matches!(line.event.what, What::Drained));
    if has_drained || last > due {
        let message = format!("{process} told the caller of {request} nothing");
        sheet.broken(message, about).event(received);
    } else if case.lines.iter().any(|line| line.at > due + case.bounds.skew_ms) {
        let message = format!("{process} died before it told the caller of {request} anything");
        sheet.unprovable(message, about).event(received);
    }
}

/// Returns the request of which the event tells what its caller was told.
pub(super) const fn outcome(what: &What) -> Option<&request::Id> {
    match what {
        What::RequestAnswered { request, .. }
        | What::RequestRefused { request, .. }
        | What::RequestUnknown { request } => Some(request),
        _ => None,
    }
}

/// Returns the tries that were sent, each with its request, sorted by try.
fn tries<'a>(case: &Case<'a>) -> Vec<(&'a Name, &'a request::Id)> {
    let sent = case.lines.iter().filter_map(|line| match &line.event.what {
        What::RequestSent { request, attempt, .. } => Some((attempt, request)),
        _ => None,
    });
    let mut tries: Vec<_> = sent.collect();
    tries.sort_unstable();
    tries
}

/// Checks that the try whose answer was given was one of this request.
fn check_owner(
    request: &request::Id,
    attempt: &Name,
    answered: &Event,
    tries: &[(&Name, &request::Id)],
    sheet: &mut Sheet,
) {
    let Ok(i) = tries.binary_search_by(|(other, _)| (*other).cmp(attempt)) else { return };
    let other = tries[i].1;
    if other != request {
        let message = format!("{request} was given the answer to {other}");
        let about = vec![Subject::Request(request.clone()), Subject::Request(other.clone())];
        sheet.broken(message, about).event(answered);
    }
}

const fn id_of(answer: &Answer) -> &request::Id {
    match answer {
        Answer::Whole { request, .. }
        | Answer::NotRun { request, .. }
        | Answer::Unknown { request } => request,
    }
}

/// Checks claims and tries of non-idempotent requests.
pub(super) struct AtMostOnce;

/// The tries of one non-idempotent request.
#[derive(Default)]
struct Tries<'a> {
    sent: Vec<(&'a Name, &'a Event)>,
    refused: Vec<&'a Name>,
    served: Vec<(&'a Name, &'a Event)>,
}

impl Check for AtMostOnce {
    fn promise(&self) -> Promise {
        Promise::AtMostOnce
    }

    fn check(&self, case: &Case<'_>, sheet: &mut Sheet) {
        case.need_ledger(|stream| matches!(stream, Stream::Partition(_)), sheet);
        case.need_timeline(sheet);
        for request in non_idempotent(case) {
            sheet.look(vec![Subject::Request(request.clone())]);
            check_tries(request, &Tries::of(request, case), case, sheet);
        }
    }
}

/// Returns the non-idempotent requests: claimed, or received as such. Sorted.
fn non_idempotent<'a>(case: &Case<'a>) -> Vec<&'a request::Id> {
    let received = case.lines.iter().filter_map(|line| match &line.event.what {
        What::RequestReceived { request, idempotent: false, .. } => Some(request),
        _ => None,
    });
    let mut found: Vec<&request::Id> =
        received.chain(case.replay.keys.iter().map(|key| key.request)).collect();
    found.sort_unstable();
    found.dedup();
    found
}

impl<'a> Tries<'a> {
    fn of(request: &request::Id, case: &Case<'a>) -> Self {
        let mut tries = Self::default();
        for (_, event) in case.of_request(request, 0) {
            match &event.what {
                What::RequestSent { attempt, .. } => tries.sent.push((attempt, event)),
                What::TryRefused { attempt, .. } => tries.refused.push(attempt),
                What::RequestServed { attempt, .. } => tries.served.push((attempt, event)),
                _ => {}
            }
        }
        tries.served.sort_by_key(|(attempt, _)| *attempt);
        tries.served.dedup_by_key(|(attempt, _)| *attempt);
        let Self { sent, refused, .. } = &mut tries;
        sent.sort_by_key(|(attempt, _)| *attempt);
        sent.dedup_by_key(|(attempt, _)| *attempt);
        sent.retain(|(attempt, _)| !refused.contains(attempt));
        tries
    }
}

fn check_tries(request: &request::Id, tries: &Tries<'_>, case: &Case<'_>, sheet: &mut Sheet) {
    let key = case.replay.key(request.as_str());
    let (served, sent) = (tries.served.as_slice(), tries.sent.as_slice());
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
    let evidence = sheet.broken(message, vec![Subject::Request(request.clone())]);
    for (_, event) in events {
        evidence.event(event);
    }
    if let Some(key) = key {
        evidence.record(key.row.stream, key.row.offset);
    }
}
