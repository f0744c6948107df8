//! The attempts of one request, and the single answer derived from them.
//!
//! The answer is "not run" only if every attempt is known not to have run. One attempt of unknown
//! outcome makes the answer "unknown", unless another attempt returns a whole response. Only
//! idempotent requests are hedged, or retried after an attempt of unknown outcome.

use crate::clock::Millis;
use crate::contract::request::{Answer, Id, Reason};
use crate::link::budget::Budget;
use crate::name::Name;

#[cfg(test)]
mod tests;

/// Limit on the attempts of one request, including hedges.
pub const MAX_TRIES: usize = 8;
/// Upper bound of the pause before the second attempt; it doubles with each further one.
const BASE_BACKOFF: Millis = Millis(10);
/// Upper bound of the pause before any attempt.
const MAX_BACKOFF: Millis = Millis(320);

/// Outcome of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The runner returned a whole response.
    Whole(String),
    /// The attempt certainly did not run; it may be worth retrying after this time.
    NotRun(Reason, Millis),
    /// The attempt may have run.
    Unknown,
}

/// The next step for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Answer the caller.
    Answer(Answer),
    /// Wait for the attempts in flight.
    Wait,
    /// Start another attempt after this time.
    Retry(Millis),
}

/// State of the attempts of one request.
#[derive(Clone, Debug)]
pub struct Tries {
    request: Id,
    idempotent: bool,
    deadline: Millis,
    /// Runners on which the request is in flight or may have run.
    tried: Vec<Name>,
    /// Number of attempts started.
    started: usize,
    /// Number of attempts in flight.
    in_flight: usize,
    /// Whether the outcome of any attempt is unknown.
    unknown: bool,
    /// Reason and retry delay of the last attempt that did not run.
    last: Option<(Reason, Millis)>,
}

impl Tries {
    /// Returns the state of a request without attempts, which the caller abandons at `deadline`.
    pub const fn new(request: Id, idempotent: bool, deadline: Millis) -> Self {
        Self {
            request,
            idempotent,
            deadline,
            tried: Vec::new(),
            started: 0,
            in_flight: 0,
            unknown: false,
            last: None,
        }
    }

    /// Counts a new attempt.
    pub const fn start(&mut self) {
        self.started += 1;
        self.in_flight += 1;
    }

    /// Records the runner to which an attempt is sent.
    pub fn sent(&mut self, runner: &Name) {
        self.tried.push(runner.clone());
    }

    /// Records that the request certainly did not run on a runner.
    pub fn not_run_at(&mut self, runner: &Name) {
        self.tried.retain(|tried| tried != runner);
    }

    /// Returns the runners on which the request is in flight or may have run.
    pub fn tried(&self) -> &[Name] {
        &self.tried
    }

    /// Returns whether the request may be hedged now, and if so takes a token from `budget`. Only
    /// an idempotent request with exactly one attempt in flight is hedged.
    pub fn may_hedge(&self, now: Millis, budget: &mut Budget) -> bool {
        self.idempotent
            && self.in_flight == 1
            && self.started < MAX_TRIES
            && now < self.deadline
            && budget.spend(now)
    }

    /// Records the outcome of an attempt and returns the next step. `random` is a random number for
    /// the jitter of the pause.
    pub fn end(&mut self, outcome: Outcome, now: Millis, random: u64, budget: &mut Budget) -> Next {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Whole(body) => {
                return Next::Answer(Answer::Whole { request: self.request.clone(), body });
            }
            Outcome::NotRun(reason, after) => self.last = Some((reason, after)),
            Outcome::Unknown => self.unknown = true,
        }
        if self.in_flight > 0 {
            return Next::Wait;
        }
        let pause = backoff(self.started, random);
        let retry = (self.idempotent || !self.unknown)
            && self.started < MAX_TRIES
            && now + pause < self.deadline
            && !matches!(self.last, Some((Reason::Overload | Reason::Draining, _)))
            && budget.spend(now);
        if retry { Next::Retry(pause) } else { Next::Answer(self.conclude()) }
    }

    /// Returns the answer if no attempt returned a whole response.
    pub fn conclude(&self) -> Answer {
        let request = self.request.clone();
        if self.unknown || self.in_flight > 0 {
            return Answer::Unknown { request };
        }
        let (reason, retry_after_ms) =
            self.last.clone().unwrap_or((Reason::Unavailable, Millis::from_secs(1)));
        Answer::NotRun { request, reason, retry_after_ms }
    }
}

/// Returns the pause before the next attempt after `attempts` previous ones: exponential back-off
/// with full jitter.
fn backoff(attempts: usize, random: u64) -> Millis {
    let doublings = u32::try_from(attempts.saturating_sub(1)).unwrap_or(u32::MAX).min(16);
    let bound = BASE_BACKOFF.times(1 << doublings).min(MAX_BACKOFF);
    Millis(random % (bound.get() + 1))
}
