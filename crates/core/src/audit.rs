//! The audit: checks from the ledger and the time line whether each promise was kept.
//!
//! The ledger is replayed with the same code as in the daemons; the time line adds events that the
//! ledger does not record. There is one check per promise. A promise counts as unprovable, and never
//! as kept, if records or events are missing, or if two events of different processes are closer
//! than the clock skew bound.

mod capacity;
mod configuration;
mod graceful_stop;
mod input;
mod leaving;
mod not_run;
mod nothing_lost;
mod one_place;
mod replay;
mod request;
mod runs;
#[cfg(test)]
mod tests;

pub use input::Input;

use crate::contract::configuration::Version;
use crate::contract::{job, request as work};
use crate::ledger::record::Record;
use crate::ledger::{Offset, Stream, Verdict};
use crate::machine::lease;
use crate::name::Name;
use crate::timeline::{Event, Point};
use serde::{Deserialize, Serialize};

/// A record of the log with its position.
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

/// The part of the system that an audit covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// Everything.
    All,
    /// A single job.
    Job(job::Id),
    /// A single request.
    Request(work::Id),
    /// A single version of the configuration.
    Version(Version),
}

/// A promise that the system gives its users.
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
    /// A leaving worker or runner receives no new work after a few seconds.
    Leaving,
    /// A planned stop leaves no request without an outcome.
    GracefulStop,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    Configuration,
}

/// Whether a promise was kept, ordered from best to worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// It was kept.
    Kept,
    /// The records and events do not suffice to decide.
    Unprovable,
    /// It was broken.
    Broken,
}

/// An object that evidence refers to.
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

/// A reason why a promise is broken or unprovable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Whether it breaks the promise or makes it unprovable; never [`Standing::Kept`].
    pub standing: Standing,
    /// Description for operators.
    pub message: String,
    /// The objects that it refers to, by which it is assigned to scopes.
    pub about: Vec<Subject>,
    /// Positions of the records that show it.
    pub records: Vec<(Stream, Offset)>,
    /// Identities of the events that show it.
    pub events: Vec<Point>,
}

/// Result of the check of one promise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The promise.
    pub promise: Promise,
    /// Whether it was kept.
    pub standing: Standing,
    /// Number of objects that were checked: attempts, requests, versions or stops.
    pub checked: usize,
    /// Reasons for a standing other than kept; empty if kept.
    pub evidence: Vec<Evidence>,
}

/// A record with its verdict in replay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The record with its position.
    pub row: Row,
    /// Its verdict in replay.
    pub verdict: Verdict,
}

/// Results of the checks of all promises that apply to the scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The scope of the audit.
    pub scope: Scope,
    /// One result for each promise that applies to the scope.
    pub claims: Vec<Claim>,
    /// The records of the scope, in the order of the log; empty for [`Scope::All`].
    pub steps: Vec<Step>,
}

impl Report {
    /// Returns whether every promise that applies to the scope was kept.
    pub fn is_kept(&self) -> bool {
        self.claims.iter().all(|claim| claim.standing == Standing::Kept)
    }

    /// Returns the number of promises that were broken.
    pub fn broken(&self) -> usize {
        self.claims.iter().filter(|claim| claim.standing == Standing::Broken).count()
    }

    /// Returns the result for a promise; `None` if the promise does not apply to the scope.
    pub fn claim(&self, promise: Promise) -> Option<&Claim> {
        self.claims.iter().find(|claim| claim.promise == promise)
    }
}

/// The check of one promise.
trait Check {
    /// Returns the promise that is checked.
    fn promise(&self) -> Promise;

    /// Checks everything in the input that the promise applies to.
    fn check(&self, input: &Input<'_>, findings: &mut Findings);
}

/// The evidence that a check found, and what it covered.
#[derive(Debug, Default)]
struct Findings {
    /// Subjects of each object that was checked.
    checked: Vec<Vec<Subject>>,
    evidence: Vec<Evidence>,
}

impl Findings {
    /// Counts an object with these subjects as checked.
    fn count_checked(&mut self, about: Vec<Subject>) {
        self.checked.push(about);
    }

    /// Adds evidence that the promise was broken.
    fn broken(&mut self, message: impl Into<String>, about: Vec<Subject>) -> &mut Evidence {
        self.add(Standing::Broken, message.into(), about)
    }

    /// Adds evidence that the promise is unprovable.
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
    /// Returns whether an object with these subjects belongs to the scope. One that refers only to
    /// streams or processes belongs to every scope.
    fn includes(&self, about: &[Subject]) -> bool {
        let own = match self {
            Self::All => return true,
            Self::Job(id) => Subject::Job(id.clone()),
            Self::Request(id) => Subject::Request(id.clone()),
            Self::Version(version) => Subject::Version(*version),
        };
        let is_in_every_scope = |s: &Subject| matches!(s, Subject::Stream(_) | Subject::Process(_));
        about.contains(&own) || (!about.is_empty() && about.iter().all(is_in_every_scope))
    }

    /// Returns whether a promise applies to the scope.
    const fn loss_covering(&self, promise: Promise) -> bool {
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

/// Checks every promise that applies to the scope.
///
/// `rows` are records of the log and `events` the time lines of all processes, both in any order;
/// `bounds` are those that the instances run with.
pub fn audit(rows: &[Row], events: &[Event], bounds: &lease::Bounds, scope: &Scope) -> Report {
    let input = Input::new(rows, events, *bounds);
    let checks: [&dyn Check; 9] = [
        &capacity::Capacity,
        &one_place::OnePlace,
        &nothing_lost::NothingLost,
        &request::WholeAnswer,
        &not_run::NotRun,
        &request::AtMostOnce,
        &leaving::Leaving,
        &graceful_stop::GracefulStop,
        &configuration::Configuration,
    ];
    let checks = checks.into_iter().filter(|check| scope.loss_covering(check.promise()));
    let claims = checks.map(|check| claim(check, &input, scope)).collect();
    Report { scope: scope.clone(), claims, steps: input.steps(scope) }
}

fn claim(check: &dyn Check, input: &Input<'_>, scope: &Scope) -> Claim {
    let mut findings = Findings::default();
    check.check(input, &mut findings);
    if *scope != Scope::All && !input.contains_subject(scope) {
        findings.evidence.clear();
        findings.unprovable("neither the ledger nor the time line contains it", Vec::new());
    } else {
        findings.evidence.retain(|evidence| scope.includes(&evidence.about));
    }
    let checked = findings.checked.iter().filter(|about| scope.includes(about)).count();
    let worst = findings.evidence.iter().map(|evidence| evidence.standing).max();
    let standing = worst.unwrap_or(Standing::Kept);
    Claim { promise: check.promise(), standing, checked, evidence: findings.evidence }
}
