//! The time type of all decision objects: milliseconds, for instants and durations.
//!
//! Decision objects never read a clock. The caller passes the current time, so that tests and
//! measurements can run on virtual time.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};

/// An instant (milliseconds since the Unix epoch) or a duration (milliseconds).
///
/// Addition and subtraction saturate, so that an incorrect clock can't cause a panic.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero duration, or the Unix epoch.
    pub const ZERO: Self = Self(0);
    /// The latest representable instant, or the longest duration.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns a duration of `seconds` seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1000)
    }

    /// Returns the number of milliseconds.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Returns the duration multiplied by `factor`, saturating.
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

impl From<std::time::Duration> for Millis {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<Millis> for std::time::Duration {
    fn from(millis: Millis) -> Self {
        Self::from_millis(millis.0)
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
