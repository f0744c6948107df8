//! An instance's control of one worker, with the instant at which the worker last confirmed it.

use crate::clock::Millis;
use crate::machine::worker::Epoch;
use crate::name::Name;

/// A controlled worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerControl {
    /// The worker.
    pub worker: Name,
    /// Epoch under which it is controlled.
    pub epoch: Epoch,
    /// When the last call was sent that the worker answered under this epoch. No other instance
    /// controlled the worker at this instant.
    pub proven: Millis,
}
