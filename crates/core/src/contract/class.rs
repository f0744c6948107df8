//! Urgency classes, each with a guaranteed share of the fleet.

use crate::clock::Millis;
use serde::{Deserialize, Serialize};

/// Urgency class of a job or a request. The most urgent class sorts first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Interactive work: a person waits for the result, such as an inspector at a post.
    Urgent,
    /// Ordinary work.
    #[default]
    Normal,
    /// Background work, which is preempted first.
    Deferrable,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Deferrable];

    /// Returns the time within which work of the class should start. Admission refuses work that is
    /// expected to use up too much of it by waiting.
    pub const fn deadline(self) -> Millis {
        match self {
            Self::Urgent => Millis(1400),
            Self::Normal => Millis::from_secs(10 * 60),
            Self::Deferrable => Millis::from_secs(24 * 3600),
        }
    }

    /// Returns the index in [`Self::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}
