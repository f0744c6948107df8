//! The wall clock of the stand-ins.

use pimentovalve_core::clock::Millis;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the present instant; the epoch itself if the machine's clock is before it.
pub fn now() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
}
