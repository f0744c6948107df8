//! The control of one worker, with the instant as of which it was last proven.

use crate::clock::Millis;
use crate::machine::worker::Epoch;
use crate::name::Name;

/// A controlled worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// The worker.
    pub worker: Name,
    /// Epoch under which it is controlled.
    pub epoch: Epoch,
    /// When the last call was sent to which the worker answered under this epoch. Nobody else
    /// controlled it at this instant.
    pub proven: Millis,
}
