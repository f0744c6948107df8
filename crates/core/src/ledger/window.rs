//! The window: how old work may be when it is asked for.
//!
//! Jobs and keys are forgotten some time after they ended, so an id that is used again later
//! would count as new and run twice. A caller that repeats a request says when it was issued
//! first; what was issued before the window is refused, because whether it ran can't be told any
//! more. Model: `specs/claim.tla`.

use crate::clock::Millis;
use crate::contract::request::Reason;
use serde::{Deserialize, Serialize};

/// How long ids are remembered, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Window(pub Millis);

impl Window {
    /// Returns the window of a log that keeps records for `retention`. Snapshots carry what is
    /// remembered, so the two need not agree; half leaves room for what lands late.
    pub const fn of_retention(retention: Millis) -> Self {
        Self(Millis(retention.0 / 2))
    }

    /// Checks that work issued at `issued`, by the caller's clock, may still be taken. `margin` is
    /// the greatest difference of the clocks and the longest time that a claim or a submission may
    /// be on its way.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Expired`] when the work was issued before the window.
    pub fn admit(&self, issued: Millis, margin: Millis, now: Millis) -> Result<(), Reason> {
        let age = now.since(issued) + margin;
        if age < self.0 { Ok(()) } else { Err(Reason::Expired) }
    }
}
