//! Urgency classes, each with a guaranteed share of the fleet.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};

/// How urgent a job or a request is. The most urgent sorts first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Somebody waits, such as an inspector at a post.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Can wait, and is preempted first.
    Deferrable,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Deferrable];

    /// Returns how long work of the class may wait for its start, as far as admission can tell.
    pub const fn deadline(self) -> Millis {
        match self {
            Self::Urgent => Millis(1400),
            Self::Normal => Millis::from_secs(10 * 60),
            Self::Deferrable => Millis::from_secs(24 * 3600),
        }
    }

    /// Returns the position in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}
