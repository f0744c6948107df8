//! Everything that an audit rests on, sorted.

use super::replay::Replay;
use super::runs::{self, Run};
use super::{Row, Scope, Sheet, Step, Subject};
use crate::clock::Millis;
use crate::contract::request;
use crate::ledger::Stream;
use crate::ledger::record::{Change, Register};
use crate::machine::lease;
use crate::name::Name;
use crate::timeline::{Event, Line, merge};

/// The replayed ledger and the merged time line.
pub struct Case<'a> {
    pub(super) replay: Replay<'a>,
    pub(super) lines: Vec<Line<'a>>,
    /// Runs of attempts as the time line has them.
    pub(super) runs: Vec<Run<'a>>,
    pub(super) bounds: lease::Bounds,
    /// Positions in `lines` of the events about each request, sorted by request and position.
    requests: Vec<(&'a request::Id, usize)>,
}

impl<'a> Case<'a> {
    /// Replays the ledger and merges the time lines.
    pub fn new(rows: &'a [Row], events: &'a [Event], bounds: lease::Bounds) -> Self {
        let lines = merge(events);
        let runs = runs::collect(&lines);
        let about = |(i, line): (usize, &Line<'a>)| Some((line.event.what.request()?, i));
        let mut requests: Vec<_> = lines.iter().enumerate().filter_map(about).collect();
        requests.sort_unstable();
        Self { replay: Replay::new(rows), lines, runs, bounds, requests }
    }

    /// Returns the events about a request after the first `from` ones of the merged time line, in
    /// order, each with its position there.
    pub(super) fn of_request(
        &self,
        request: &request::Id,
        from: usize,
    ) -> impl Iterator<Item = (usize, &'a Event)> {
        let start = self.requests.partition_point(|(id, i)| (*id, *i) < (request, from));
        let rest = &self.requests[start..];
        let own = rest.iter().take_while(move |(id, _)| *id == request);
        own.map(|(_, i)| (*i, self.lines[*i].event))
    }

    /// Notes what is missing of the time line, for checks that rest on it.
    pub(super) fn need_timeline(&self, sheet: &mut Sheet) {
        if self.lines.is_empty() {
            sheet.unprovable("there is no time line", wide());
        }
        for line in &self.lines {
            let process = &line.event.process;
            let about = vec![Subject::Process(process.clone())];
            if let Some(gap) = line.gap {
                let message = format!("events {} to {} of {process} are missing", gap.from, gap.to);
                sheet.unprovable(message, about).event(line.event);
            } else if line.repeated {
                let message = format!("two processes are named {process}");
                sheet.unprovable(message, about).event(line.event);
            }
        }
    }

    /// Notes what is missing of the streams that `wanted` chooses.
    pub(super) fn need_ledger(&self, wanted: impl Fn(Stream) -> bool, sheet: &mut Sheet) {
        if self.replay.judged.is_empty() {
            sheet.unprovable("there is no ledger", wide());
        }
        for hole in self.replay.holes.iter().filter(|hole| wanted(hole.stream)) {
            let about = vec![Subject::Stream(hole.stream)];
            sheet.unprovable(hole.message.clone(), about).record(hole.stream, hole.at);
        }
    }

    /// Returns the time of the last event of a process.
    pub(super) fn last_seen(&self, process: &Name) -> Option<Millis> {
        self.lines.iter().filter(|l| l.event.process == *process).map(|l| l.event.at).max()
    }

    /// Returns whether the scope's subject is there at all.
    pub(super) fn knows(&self, scope: &Scope) -> bool {
        let told = |line: &Line<'_>| match scope {
            Scope::All => true,
            Scope::Job(id) => line.event.what.job() == Some(id),
            Scope::Request(id) => line.event.what.request() == Some(id),
            Scope::Version(_) => false,
        };
        self.lines.iter().any(told) || self.replay.judged.iter().any(|j| belongs(scope, j.row))
    }

    /// Returns the records of the scope with what replay made of them.
    pub(super) fn steps(&self, scope: &Scope) -> Vec<Step> {
        if *scope == Scope::All {
            return Vec::new();
        }
        let own = self.replay.judged.iter().filter(|judged| belongs(scope, judged.row));
        own.map(|judged| Step { row: judged.row.clone(), verdict: judged.verdict }).collect()
    }
}

/// Subjects of what concerns every scope.
fn wide() -> Vec<Subject> {
    vec![Subject::Stream(Stream::Configuration)]
}

fn belongs(scope: &Scope, row: &Row) -> bool {
    match (scope, &row.record.register) {
        (Scope::Job(id), Register::Job(job)) => job == id,
        (Scope::Job(id), Register::Task(task)) => task.job == *id,
        (Scope::Request(id), Register::Key(key)) => key == id,
        (Scope::Version(version), Register::Configuration) => {
            matches!(row.record.change, Change::Patch { .. }) && row.record.expect + 1 == *version
        }
        _ => false,
    }
}
