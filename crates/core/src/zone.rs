//! Zones: locations of machines, membership of instances, and preferred owners.

pub mod membership;
pub mod stewardship;

use crate::name::Name;
use serde::{Deserialize, Serialize};

/// The location of a machine. A region contains failure domains, which contain racks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Region. Links between regions are slow and billed by volume.
    pub region: Name,
    /// Failure domain within the region.
    pub domain: Name,
    /// Rack within the failure domain.
    pub rack: Name,
}

impl Place {
    /// Returns whether both places are in one region.
    pub fn same_region(&self, other: &Self) -> bool {
        self.region == other.region
    }

    /// Returns whether both places are in one failure domain.
    pub fn same_domain(&self, other: &Self) -> bool {
        self.same_region(other) && self.domain == other.domain
    }

    /// Returns whether both places are in one rack.
    pub fn same_rack(&self, other: &Self) -> bool {
        self.same_domain(other) && self.rack == other.rack
    }
}
