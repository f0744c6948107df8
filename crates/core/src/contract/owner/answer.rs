//! What workers answer to orders.

use super::order::Why;
use super::{Owner, Phase};
use crate::clock::Millis;
use crate::ledger::shard::book::Book;
use crate::ledger::shard::{Life, Run};

/// How long a worker is avoided that refuses orders although it answers.
const UNHEALTHY: Millis = Millis::from_secs(2);

/// What became of an order to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Taken,
    /// It is not there and will not begin.
    Refused,
    /// The worker is unhealthy; it did nothing.
    Unhealthy,
    /// The worker obeys a later owner.
    Fenced,
    /// Another life answered.
    OtherLife,
    /// It may be there, or begin later.
    Unknown,
}

/// What became of an order to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopAnswer {
    /// The run ends or can't begin any more.
    Taken,
    /// The worker obeys a later owner.
    Fenced,
    /// Another life answered.
    OtherLife,
    /// Nobody knows.
    Unknown,
}

impl Owner {
    /// Takes in the answer to an order to start in that life; `clock` is the reading of the worker's clock.
    pub fn start_answered(
        &mut self,
        on: &Life,
        run: &Run,
        answer: StartAnswer,
        clock: Option<u64>,
        book: &Book,
        now: Millis,
    ) {
        let Ok(i) = self.run_index(run) else { return };
        if self.runs[i].phase != Phase::Ordered || *self.runs[i].on != *on {
            return;
        }
        self.heard(on, clock, now);
        match answer {
            StartAnswer::Taken => {
                self.runs[i].phase = Phase::Working { since: self.looks };
                self.runs[i].progress = (0, now);
                if self.runs[i].doomed {
                    self.stop(run, Why::Over, now);
                }
                self.look_by(on, now + self.limits.look_pause);
            }
            StartAnswer::Refused | StartAnswer::Fenced => self.refuse(*run, book, now),
            StartAnswer::OtherLife => self.end_life(on, book, now),
            StartAnswer::Unhealthy => {
                if let Some(host) = self.host_mut(on) {
                    host.avoid(now + UNHEALTHY);
                }
                self.refuse(*run, book, now);
            }
            StartAnswer::Unknown => {
                // It can still begin: only a stop makes sure that it can't.
                self.runs[i].phase = Phase::Stopping { next: Some(now) };
                self.runs[i].why = Why::Unanswered;
                if let Some(host) = self.host_mut(on) {
                    host.avoid(now + UNHEALTHY);
                }
                self.try_stop(i);
                self.break_gang(run, book, now);
            }
        }
    }

    /// Takes in the answer to an order to stop in that life; `clock` is the reading of the worker's clock.
    pub fn stop_answered(
        &mut self,
        on: &Life,
        run: &Run,
        answer: StopAnswer,
        clock: Option<u64>,
        book: &Book,
        now: Millis,
    ) {
        let Ok(i) = self.run_index(run) else { return };
        if !matches!(self.runs[i].phase, Phase::Stopping { .. }) || *self.runs[i].on != *on {
            return;
        }
        self.heard(on, clock, now);
        match answer {
            StopAnswer::Taken => {
                self.runs[i].phase = Phase::Stopped { since: self.looks };
                self.look_by(on, now);
            }
            StopAnswer::OtherLife => self.end_life(on, book, now),
            StopAnswer::Fenced | StopAnswer::Unknown => {
                let next = now + self.limits.retry;
                self.runs[i].phase = Phase::Stopping { next: Some(next) };
                self.look_by(on, now);
            }
        }
    }

    fn heard(&mut self, on: &Life, clock: Option<u64>, now: Millis) {
        if let (Some(host), Some(clock)) = (self.host_mut(on), clock) {
            host.anchor(clock, now);
        }
    }

    /// Makes sure that a worker is looked at by `at`.
    fn look_by(&mut self, on: &Life, at: Millis) {
        if let Some(host) = self.host_mut(on) {
            host.next_look = host.next_look.min(at);
        }
    }
}
