//! Faults as messages, so that a person can switch them over the operator port.

use pimentovalve_core::clock::Millis;
use serde::{Deserialize, Serialize};

/// One change of a stand-in's behaviour.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Freezes the process: requests are held until [`Self::Resume`], then handled.
    Pause,
    /// Ends [`Self::Pause`].
    Resume,
    /// Cuts the process off: requests are swallowed.
    Cut,
    /// Ends [`Self::Cut`]; connections that lost a request stay silent.
    Heal,
    /// Makes the open connections silent for good; new ones work.
    Silence,
    /// Delays the handling of each request.
    Slow(Millis),
    /// Log or list: switches an outage, in which every call is answered with 503.
    Outage(bool),
    /// Log or runner: the next answers are lost after the effect.
    LoseAnswers(u32),
    /// Log: loses a share of the answers, drawn by seed.
    LoseShare {
        /// Share in percent.
        percent: u8,
        /// Seed of the draw.
        seed: u64,
    },
    /// Log: the next appends give no answer and land later.
    DelayLanding {
        /// Number of appends.
        count: u32,
        /// Time after which they land.
        by_ms: Millis,
    },
    /// List: sets the lag.
    Lag(Millis),
    /// List: shows no change until it is switched off.
    Freeze(bool),
    /// Worker or runner: takes nothing new.
    Leave,
    /// Worker: every attempt that starts fails at once.
    FailAll(bool),
    /// Worker: percentage of its normal speed.
    Speed(u8),
    /// Worker: its tasks are gone without a report and it is cut off for good.
    Crash,
    /// Runner: the next answers come late.
    LateAnswers {
        /// Number of answers.
        count: u32,
        /// Time by which they are late.
        by_ms: Millis,
    },
    /// Runner: the next pairs of answers are swapped.
    CrossAnswers(u32),
}

/// A stand-in whose faults can be switched.
pub trait Switch: Send + Sync {
    /// Switches a fault. Returns whether the stand-in knows this fault.
    fn switch(&self, fault: Fault) -> bool;
}
