//! Leases: how long a worker may run a task without hearing from its controller.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};

/// The time bounds that fencing relies on. Model: `specs/attempt.tla`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Longest lease that a controller grants or renews, measured on its own clock.
    pub lease_ms: Millis,
    /// Maximum age of the proof that no loss is in force, for a start or a renewal.
    pub currency_ms: Millis,
    /// Maximum difference between the clocks of any two processes.
    pub skew_ms: Millis,
}

impl Bounds {
    /// Returns how long a loss must have been in force before another attempt may start, measured
    /// from when the steward read the loss ([`crate::ledger::attempt`]).
    ///
    /// A controller that obtained its proof just before the loss was read may renew leases for
    /// another `currency_ms`, and the last renewal lasts for `lease_ms`. The controller's clock may
    /// be ahead of the steward's when it obtains the proof, and the worker's clock behind the
    /// steward's when the lease ends, by `skew_ms` each; both happen if clocks are adjusted in
    /// between. The bound is tight: one millisecond less violates the model.
    pub fn fence(&self) -> Millis {
        self.lease_ms + self.currency_ms + self.skew_ms.times(2)
    }

    /// Returns the instant after which a worker refuses to start an attempt recorded at
    /// `placed_at`, on the clock of the record's writer.
    ///
    /// An attempt that has not started has no lease that could expire. Without this bound it could
    /// start long after another attempt has replaced it.
    pub fn start_by(&self, placed_at: Millis) -> Millis {
        placed_at + self.lease_ms
    }

    /// Returns the end of a lease granted or renewed now.
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
