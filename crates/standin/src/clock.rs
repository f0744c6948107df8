//! Wall clock shared by the stand-ins.

use pimentovalve_core::clock::Millis;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time since the Unix epoch, or zero if the machine's clock is set before it.
pub fn now() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().into()
}
