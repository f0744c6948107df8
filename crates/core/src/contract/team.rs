//! Teams that share the fleet.

use crate::machine::capacity::Capacity;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// A team with its part of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: Name,
    /// Weight in fair queueing, at least 1.
    pub weight: u32,
    /// Most that the running tasks of the team may take together.
    pub quota: Capacity,
}
