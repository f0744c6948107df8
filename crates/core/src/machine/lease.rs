//! Leases: the time until which a worker may run a task without hearing from its controller.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};

/// The time bounds on which fencing rests. Model: `specs/attempt.tla`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest lease that a controller gives or renews, from its own clock.
    pub lease_ms: Millis,
    /// Longest age of the proof, that no loss is in force, on which a renewal may rest.
    pub currency_ms: Millis,
    /// Greatest difference between the clocks of any two processes.
    pub skew_ms: Millis,
}

impl Bounds {
    /// Returns for how long a loss must have been in force before another attempt may start; the
    /// time counts from when the steward read the loss ([`crate::ledger::attempt`]).
    ///
    /// A controller that asked just before the loss was read may renew for `currency` more, and
    /// that renewal lasts for `lease`. The controller's clock may be ahead of the steward's when
    /// it asks, and the worker's behind the steward's when the lease ends, by `skew` each: clocks
    /// that are corrected in between do both. One millisecond less is violated in the model.
    pub fn fence(&self) -> Millis {
        self.lease_ms + self.currency_ms + self.skew_ms.times(2)
    }

    /// Returns the instant after which a worker refuses to start an attempt recorded at
    /// `placed_at`, by the clock of the record's writer.
    ///
    /// Without it, an attempt that never started would have no lease that could lapse, and could
    /// start long after another took its place.
    pub fn start_by(&self, placed_at: Millis) -> Millis {
        placed_at + self.lease_ms
    }

    /// Returns the end of a lease that is given or renewed now.
    pub fn until(&self, now: Millis) -> Millis {
        now + self.lease_ms
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease_ms: Millis::from_secs(30),
            currency_ms: Millis::from_secs(10),
            skew_ms: Millis(500),
        }
    }
}
