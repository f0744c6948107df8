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
    /// Returns how long after a loss was recorded another attempt may start at the earliest.
    ///
    /// A controller that read the fleet stream just before the loss may renew for `currency`
    /// more; that renewal lasts for `lease`; the clocks of the writer of the loss and of the
    /// worker differ by at most `skew`. One millisecond less is violated in the model.
    pub fn fence(&self) -> Millis {
        self.lease_ms + self.currency_ms + self.skew_ms
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
