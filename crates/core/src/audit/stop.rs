//! A planned stop cuts off no request.

use super::request::outcome;
use super::{Case, Check, Promise, Sheet, Subject};
use crate::timeline::What;

/// Checks that a process which stopped as planned told every caller something before its end.
pub(super) struct GracefulStop;

impl Check for GracefulStop {
    fn promise(&self) -> Promise {
        Promise::GracefulStop
    }

    fn check(&self, case: &Case<'_>, sheet: &mut Sheet) {
        case.need_timeline(sheet);
        let starts = case.lines.iter().enumerate();
        for (i, line) in starts.filter(|(_, l)| matches!(l.event.what, What::DrainStarted)) {
            let process = &line.event.process;
            sheet.look(vec![Subject::Process(process.clone())]);
            let end = case.lines[i..].iter().position(|other| {
                other.event.process == *process && matches!(other.event.what, What::Drained)
            });
            match end {
                Some(after) => check_stop(i + after, case, sheet),
                None => {
                    let message = format!("{process} has not ended its planned stop");
                    let about = vec![Subject::Process(process.clone())];
                    sheet.unprovable(message, about).event(line.event);
                }
            }
        }
    }
}

/// Checks that each arrival before the end of the stop has an outcome before it.
fn check_stop(drained: usize, case: &Case<'_>, sheet: &mut Sheet) {
    let process = &case.lines[drained].event.process;
    let own: Vec<_> = case.lines[..drained]
        .iter()
        .map(|line| line.event)
        .filter(|event| event.process == *process)
        .collect();
    for (i, event) in own.iter().enumerate() {
        let What::RequestReceived { request, .. } = &event.what else { continue };
        sheet.look(vec![Subject::Request(request.clone())]);
        let is_told = own[i + 1..].iter().any(|later| outcome(&later.what) == Some(request));
        if !is_told {
            let message = format!("the planned stop of {process} cut {request} off");
            let about = vec![Subject::Request(request.clone())];
            sheet.broken(message, about).event(event).event(case.lines[drained].event);
        }
    }
}
