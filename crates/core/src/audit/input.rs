//! Input of an audit: the replayed ledger and the merged time line.

use super::replay::Replay;
use super::runs::{self, Run};
use super::{Findings, Row, Scope, Step, Subject};
use crate::clock::Millis;
use crate::contract::request;
use crate::ledger::Stream;
use crate::ledger::record::{Change, Register};
use crate::machine::lease;
use crate::name::Name;
use crate::timeline::{Event, Line, merge};

/// The replayed ledger and the merged time line.
pub struct Input<'a> {
    pub(super) replay: Replay<'a>,
    pub(super) lines: Vec<Line<'a>>,
    /// Runs of attempts, as reported in the time line.
    pub(super) runs: Vec<Run<'a>>,
    pub(super) bounds: lease::Bounds,
    /// Positions in `lines` of the events about each request, sorted by request and position.
    requests: Vec<(&'a request::Id, usize)>,
}

impl<'a> Input<'a> {
    /// Replays the ledger and merges the time lines.
    pub fn new(rows: &'a [Row], events: &'a [Event], bounds: lease::Bounds) -> Self {
        let lines = merge(events);
        let runs = runs::collect(&lines);
        let about = |(i, line): (usize, &Line<'a>)| Some((line.event.what.request()?, i));
        let mut requests: Vec<_> = lines.iter().enumerate().filter_map(about).collect();
        requests.sort_unstable();
        Self { replay: Replay::new(rows), lines, runs, bounds, requests }
    }

    /// Returns the events about a request from position `from` of the merged time line on, in order,
    /// each with its position.
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

    /// Adds evidence for what is missing or ambiguous in the time line. Every check that uses the
    /// time line calls this.
    pub(super) fn check_timeline_complete(&self, findings: &mut Findings) {
        if self.lines.is_empty() {
            findings.unprovable("no events of the time line were given", every_scope());
        }
        for line in &self.lines {
            let process = &line.event.process;
            let about = vec![Subject::Process(process.clone())];
            if let Some(gap) = line.gap {
                let message = format!("events {} to {} of {process} are missing", gap.from, gap.to);
                findings.unprovable(message, about).event(line.event);
            } else if line.repeated {
                let message = format!("two processes share the name {process}");
                findings.unprovable(message, about).event(line.event);
            }
        }
    }

    /// Adds evidence for what is missing in the streams that `wanted` selects.
    pub(super) fn check_ledger_complete(
        &self,
        wanted: impl Fn(Stream) -> bool,
        findings: &mut Findings,
    ) {
        if self.replay.judged.is_empty() {
            findings.unprovable("no records of the ledger were given", every_scope());
        }
        for defect in self.replay.defects.iter().filter(|defect| wanted(defect.stream)) {
            let about = vec![Subject::Stream(defect.stream)];
            findings.unprovable(defect.message.clone(), about).record(defect.stream, defect.at);
        }
    }

    /// Returns the time of the last event of a process.
    pub(super) fn last_seen(&self, process: &Name) -> Option<Millis> {
        self.lines.iter().filter(|l| l.event.process == *process).map(|l| l.event.at).max()
    }

    /// Returns whether any event or record belongs to the scope.
    pub(super) fn contains_subject(&self, scope: &Scope) -> bool {
        let is_about = |line: &Line<'_>| match scope {
            Scope::All => true,
            Scope::Job(id) => line.event.what.job() == Some(id),
            Scope::Request(id) => line.event.what.request() == Some(id),
            Scope::Version(_) => false,
        };
        self.lines.iter().any(is_about)
            || self.replay.judged.iter().any(|j| is_in_scope(scope, j.row))
    }

    /// Returns the records of the scope with their verdicts, or none for [`Scope::All`].
    pub(super) fn steps(&self, scope: &Scope) -> Vec<Step> {
        if *scope == Scope::All {
            return Vec::new();
        }
        let own = self.replay.judged.iter().filter(|judged| is_in_scope(scope, judged.row));
        own.map(|judged| Step { row: judged.row.clone(), verdict: judged.verdict }).collect()
    }
}

/// Returns subjects that belong to every scope.
fn every_scope() -> Vec<Subject> {
    vec![Subject::Stream(Stream::Configuration)]
}

fn is_in_scope(scope: &Scope, row: &Row) -> bool {
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
