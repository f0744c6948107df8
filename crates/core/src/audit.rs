//! The audit: states of each promise whether it was kept, from the ledger and the time line.
//!
//! The ledger is replayed by the same rule as in the daemons; the time line adds what happened
//! outside of it. Each promise is one check. What can't be shown either way is unprovable, and
//! never counts as kept: records or events are missing, or clocks differ by less than their bound.

mod capacity;
mod case;
mod configuration;
mod leaving;
mod loss;
mod place;
mod replay;
mod request;
mod runs;
mod stop;
#[cfg(test)]
mod tests;
mod truth;

pub use case::Case;

use crate::contract::configuration::Version;
use crate::contract::{job, request as work};
use crate::ledger::record::Record;
use crate::ledger::{Offset, Stream, Verdict};
use crate::machine::lease;
use crate::name::Name;
use crate::timeline::{Event, Point};
use serde::{Deserialize, Serialize};

/// One record of the log with its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The stream.
    pub stream: Stream,
    /// Position in the stream.
    pub offset: Offset,
    /// The record.
    pub record: Record,
}

/// What to look at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Everything.
    All,
    /// One job.
    Job(job::Id),
    /// One request.
    Request(work::Id),
    /// One version of the configuration.
    Version(Version),
}

/// A promise to the users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// No worker is given more than its capacity.
    Capacity,
    /// No task runs in two places at once.
    OnePlace,
    /// Accepted work is not lost.
    NothingLost,
    /// Every caller receives the whole answer to its own request.
    WholeAnswer,
    /// What was refused as "not run" did not run.
    NotRun,
    /// A non-idempotent request is executed at most once.
    AtMostOnce,
    /// A leaving worker or runner gets nothing new after a few seconds.
    Leaving,
    /// A planned stop cuts off no request.
    GracefulStop,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Configuration,
}

/// Whether a promise was kept. The worst sorts last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It was kept.
    Kept,
    /// It can't be shown either way.
    Unprovable,
    /// It was broken.
    Broken,
}

/// What evidence is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A job.
    Job(job::Id),
    /// A request.
    Request(work::Id),
    /// A version of the configuration.
    Version(Version),
    /// A worker or a runner.
    Machine(Name),
    /// A process.
    Process(Name),
    /// A stream of the log.
    Stream(Stream),
}

/// Why a promise isn't kept, or can't be shown to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Whether it breaks the promise or only leaves it unprovable.
    pub standing: Standing,
    /// What is wrong, for people.
    pub message: String,
    /// What it is about.
    pub about: Vec<Subject>,
    /// Records that show it.
    pub records: Vec<(Stream, Offset)>,
    /// Events that show it.
    pub events: Vec<Point>,
}

/// The verdict on one promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The promise.
    pub promise: Promise,
    /// Whether it was kept.
    pub standing: Standing,
    /// How many things were looked at: attempts, requests, versions, stops.
    pub checked: usize,
    /// Why it isn't kept.
    pub evidence: Vec<Evidence>,
}

/// A record with what replay made of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The record in its place.
    pub row: Row,
    /// What replay made of it.
    pub verdict: Verdict,
}

/// The verdicts on all promises that concern the scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What was looked at.
    pub scope: Scope,
    /// One claim for each promise.
    pub claims: Vec<Claim>,
    /// The records of the scope, in the order of the log; empty for [`Scope::All`].
    pub steps: Vec<Step>,
}

impl Report {
    /// Returns whether every promise was kept.
    pub fn is_kept(&self) -> bool {
        self.claims.iter().all(|claim| claim.standing == Standing::Kept)
    }

    /// Returns how many promises were broken.
    pub fn broken(&self) -> usize {
        self.claims.iter().filter(|claim| claim.standing == Standing::Broken).count()
    }

    /// Returns the claim on a promise, `None` when the promise doesn't concern the scope.
    pub fn claim(&self, promise: Promise) -> Option<&Claim> {
        self.claims.iter().find(|claim| claim.promise == promise)
    }
}

/// Looks for breaches of one promise.
trait Check {
    /// Returns the promise.
    fn promise(&self) -> Promise;

    /// Looks at everything in the case that the promise is about.
    fn check(&self, case: &Case<'_>, sheet: &mut Sheet);
}

/// What a check found.
#[derive(Debug, Default)]
struct Sheet {
    /// What each thing that was looked at is about.
    checked: Vec<Vec<Subject>>,
    evidence: Vec<Evidence>,
}

impl Sheet {
    /// Notes that a thing was looked at.
    fn look(&mut self, about: Vec<Subject>) {
        self.checked.push(about);
    }

    /// Notes a breach.
    fn broken(&mut self, message: impl Into<String>, about: Vec<Subject>) -> &mut Evidence {
        self.add(Standing::Broken, message.into(), about)
    }

    /// Notes what can't be shown.
    fn unprovable(&mut self, message: impl Into<String>, about: Vec<Subject>) -> &mut Evidence {
        self.add(Standing::Unprovable, message.into(), about)
    }

    fn add(&mut self, standing: Standing, message: String, about: Vec<Subject>) -> &mut Evidence {
        let (records, events) = (Vec::new(), Vec::new());
        self.evidence.push(Evidence { standing, message, about, records, events });
        let last = self.evidence.len() - 1;
        &mut self.evidence[last]
    }
}

impl Evidence {
    fn record(&mut self, stream: Stream, offset: Offset) -> &mut Self {
        self.records.push((stream, offset));
        self
    }

    fn event(&mut self, event: &Event) -> &mut Self {
        let (process, sequence) = (event.process.clone(), event.sequence);
        self.events.push(Point { process, sequence });
        self
    }
}

impl Scope {
    /// Returns whether something about these subjects belongs to the scope. What is about a
    /// stream or a process concerns whatever they hold.
    fn takes(&self, about: &[Subject]) -> bool {
        let own = match self {
            Self::All => return true,
            Self::Job(id) => Subject::Job(id.clone()),
            Self::Request(id) => Subject::Request(id.clone()),
            Self::Version(version) => Subject::Version(*version),
        };
        let is_wide = |s: &Subject| matches!(s, Subject::Stream(_) | Subject::Process(_));
        about.contains(&own) || (!about.is_empty() && about.iter().all(is_wide))
    }

    /// Returns whether a promise says anything about the scope.
    const fn concerns(&self, promise: Promise) -> bool {
        match self {
            Self::All => true,
            Self::Job(_) => matches!(
                promise,
                Promise::Capacity
                    | Promise::OnePlace
                    | Promise::NothingLost
                    | Promise::NotRun
                    | Promise::Leaving
            ),
            Self::Request(_) => matches!(
                promise,
                Promise::WholeAnswer
                    | Promise::NotRun
                    | Promise::AtMostOnce
                    | Promise::Leaving
                    | Promise::GracefulStop
            ),
            Self::Version(_) => matches!(promise, Promise::Configuration),
        }
    }
}

/// States of each promise that concerns the scope whether it was kept.
///
/// `rows` are records of the log in any order, `events` the time lines of all processes in any
/// order, `bounds` those that the instances run with.
pub fn audit(rows: &[Row], events: &[Event], bounds: &lease::Bounds, scope: &Scope) -> Report {
    let case = Case::new(rows, events, *bounds);
    let checks: [&dyn Check; 9] = [
        &capacity::Capacity,
        &place::OnePlace,
        &loss::NothingLost,
        &request::WholeAnswer,
        &truth::NotRun,
        &request::AtMostOnce,
        &leaving::Leaving,
        &stop::GracefulStop,
        &configuration::Configuration,
    ];
    let checks = checks.into_iter().filter(|check| scope.concerns(check.promise()));
    let claims = checks.map(|check| claim(check, &case, scope)).collect();
    Report { scope: scope.clone(), claims, steps: case.steps(scope) }
}

fn claim(check: &dyn Check, case: &Case<'_>, scope: &Scope) -> Claim {
    let mut sheet = Sheet::default();
    check.check(case, &mut sheet);
    if *scope != Scope::All && !case.knows(scope) {
        sheet.evidence.clear();
        sheet.unprovable("neither the ledger nor the time line knows it", Vec::new());
    } else {
        sheet.evidence.retain(|evidence| scope.takes(&evidence.about));
    }
    let checked = sheet.checked.iter().filter(|about| scope.takes(about)).count();
    let worst = sheet.evidence.iter().map(|evidence| evidence.standing).max();
    let standing = worst.unwrap_or(Standing::Kept);
    Claim { promise: check.promise(), standing, checked, evidence: sheet.evidence }
}
