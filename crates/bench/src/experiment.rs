//! The experiments, one module each.

pub mod live;
pub mod packing;
pub mod placement;

use crate::report::Report;

/// Names of the experiments.
pub const NAMES: [&str; 3] = ["placement", "packing", "live"];

/// Returns the experiment with the given name: a function from the seed to the report.
pub fn find(name: &str) -> Option<fn(u64) -> Report> {
    match name {
        "placement" => Some(placement::run),
        "packing" => Some(packing::run),
        "live" => Some(live::run),
        _ => None,
    }
}
