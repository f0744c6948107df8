//! Faults that can be injected into a stand-in, serialisable for the operator port.

use pimentovalve_core::clock::Millis;
use serde::{Deserialize, Serialize};

/// A fault to inject into a stand-in, or to clear.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Freezes the process: requests queue until [`Self::Resume`] and are then handled.
    Pause,
    /// Ends [`Self::Pause`].
    Resume,
    /// Partitions the process from the network: requests are discarded and get no answer.
    Cut,
    /// Ends [`Self::Cut`]. Connections that lost a request or an answer stay silent.
    Heal,
    /// Silences the connections that are open now: no request on them is ever answered. New
    /// connections work.
    Silence,
    /// Delays the handling of each request by the given time; zero clears the fault.
    Slow(Millis),
    /// Log or list: starts or ends an outage, in which every call is answered with status 503.
    Outage(bool),
    /// Log or runner: the next appends or requests, as many as given, take effect but are not
    /// answered.
    LoseAnswers(u32),
    /// Log: a random share of the appends take effect but are not answered.
    LoseShare {
        /// Share of the appends, in percent; zero clears the fault.
        percent: u8,
        /// Seed of the random number generator.
        seed: u64,
    },
    /// Log: the next appends are not answered and take effect later.
    DelayLanding {
        /// Number of appends that are delayed.
        count: u32,
        /// Delay after which they take effect.
        by_ms: Millis,
    },
    /// List: sets the propagation lag of further changes.
    Lag(Millis),
    /// List: while on, readers see no further change.
    Freeze(bool),
    /// Worker or runner: refuses new work.
    Leave,
    /// Worker: while on, every attempt that starts fails within milliseconds.
    FailAll(bool),
    /// Worker: sets its speed, in percent of full speed.
    Speed(u8),
    /// Worker or runner: kills the process, which is unreachable from then on. The tasks of a
    /// worker end without a report.
    Crash,
    /// Runner: delays the next answers.
    LateAnswers {
        /// Number of answers that are delayed.
        count: u32,
        /// Delay of each.
        by_ms: Millis,
    },
    /// Runner: swaps the answers within each of the given number of pairs of requests.
    CrossAnswers(u32),
}

/// A stand-in into which faults can be injected.
pub trait FaultInjection: Send + Sync {
    /// Injects or clears a fault. Returns whether this kind of stand-in supports it.
    fn inject(&self, fault: Fault) -> bool;
}
