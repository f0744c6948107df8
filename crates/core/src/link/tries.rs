//! The tries of one request, and the one answer that follows from them.
//!
//! A request is "not run" only when every try of it is known not to have run. One try of unknown
//! outcome makes it unknown, unless another try brings the whole answer. Only an idempotent
//! request is tried again after a try of unknown outcome, or hedged.

use crate::clock::Millis;
use crate::contract::request::{Answer, Id, Reason};
use crate::link::budget::Budget;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Most tries of one request, hedges included.
pub const MAX_TRIES: usize = 8;
/// Greatest pause before the second try; it doubles with each further one.
const BACKOFF: Millis = Millis(10);
/// Greatest pause before any try.
const MAX_BACKOFF: Millis = Millis(320);

/// How a try ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The runner's whole answer.
    Whole(String),
    /// It certainly did not run; there may be room after this time.
    NotRun(Reason, Millis),
    /// It may have run.
    Unknown,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Answer the caller.
    Answer(Answer),
    /// Wait for the tries that are under way.
    Wait,
    /// Try again after this time.
    Retry(Millis),
}

/// The tries of one request.
#[derive(Clone, Debug)]
pub struct Tries {
    request: Id,
    idempotent: bool,
    deadline: Millis,
    /// Runners at which the request is under way, or may have run.
    tried: Vec<Name>,
    started: usize,
    open: usize,
    unknown: bool,
    last: Option<(Reason, Millis)>,
}

impl Tries {
    /// Returns the tries of a request that the caller gives up at `deadline`.
    pub const fn new(request: Id, idempotent: bool, deadline: Millis) -> Self {
        Self {
            request,
            idempotent,
            deadline,
            tried: Vec::new(),
            started: 0,
            open: 0,
            unknown: false,
            last: None,
        }
    }

    /// Notes that a try begins.
    pub const fn start(&mut self) {
        self.started += 1;
        self.open += 1;
    }

    /// Notes the runner to which a try goes.
    pub fn sent(&mut self, runner: &Name) {
        self.tried.push(runner.clone());
    }

    /// Notes that the request certainly did not run at a runner.
    pub fn not_run_at(&mut self, runner: &Name) {
        self.tried.retain(|tried| tried != runner);
    }

    /// Returns the runners at which the request is under way, or may have run.
    pub fn tried(&self) -> &[Name] {
        &self.tried
    }

    /// Returns whether the request may be hedged now: one try is under way.
    pub fn may_hedge(&self, now: Millis, budget: &mut Budget) -> bool {
        self.idempotent
            && self.open == 1
            && self.started < MAX_TRIES
            && now < self.deadline
            && budget.spend(now)
    }

    /// Takes in the end of a try. `random` is any number; it spreads the pauses.
    pub fn end(&mut self, outcome: Outcome, now: Millis, random: u64, budget: &mut Budget) -> Next {
        self.open = self.open.saturating_sub(1);
        match outcome {
            Outcome::Whole(body) => {
                return Next::Answer(Answer::Whole { request: self.request.clone(), body });
            }
            Outcome::NotRun(reason, after) => self.last = Some((reason, after)),
            Outcome::Unknown => self.unknown = true,
        }
        if self.open > 0 {
            return Next::Wait;
        }
        let pause = backoff(self.started, random);
        let again = (self.idempotent || !self.unknown)
            && self.started < MAX_TRIES
            && now + pause < self.deadline
            && !matches!(self.last, Some((Reason::Overload | Reason::Draining, _)))
            && budget.spend(now);
        if again { Next::Retry(pause) } else { Next::Answer(self.conclude()) }
    }

    /// Returns the answer when no try brought one.
    pub fn conclude(&self) -> Answer {
        let request = self.request.clone();
        if self.unknown || self.open > 0 {
            return Answer::Unknown { request };
        }
        let (reason, retry_after_ms) =
            self.last.clone().unwrap_or((Reason::Unavailable, Millis::from_secs(1)));
        Answer::NotRun { request, reason, retry_after_ms }
    }
}

/// Returns the pause before a try, of which `tries` went before: full jitter under a bound that
/// doubles.
fn backoff(tries: usize, random: u64) -> Millis {
    let doublings = u32::try_from(tries.saturating_sub(1)).unwrap_or(u32::MAX).min(16);
    let bound = BACKOFF.times(1 << doublings).min(MAX_BACKOFF);
    Millis(random % (bound.get() + 1))
}
