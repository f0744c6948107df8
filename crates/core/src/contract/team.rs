//! Teams, among which the fleet is shared.

use crate::machine::capacity::Capacity;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// A team with its weight and quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: Name,
    /// Weight in fair queueing, at least 1. On the users' platform it is also the number of jobs a second
    /// that the team is owed; zero if it is owed none.
    pub weight: u32,
    /// Maximum total capacity of the team's running tasks.
    pub quota: Capacity,
}
