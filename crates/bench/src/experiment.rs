//! The experiments, one module each.

pub mod config;
pub mod control;
pub mod faults;
pub mod flood;
pub mod live;
pub mod packing;
pub mod placement;

use crate::report::Report;

/// Names of the experiments, as given on the command line.
pub const NAMES: [&str; 7] =
    ["placement", "packing", "flood", "faults", "control", "config", "live"];

/// Returns the function that runs the experiment with the given name for a seed.
pub fn find(name: &str) -> Option<fn(u64) -> Report> {
    match name {
        "placement" => Some(placement::run),
        "packing" => Some(packing::run),
        "flood" => Some(flood::run),
        "faults" => Some(faults::run),
        "control" => Some(control::run),
        "config" => Some(config::run),
        "live" => Some(live::run),
        _ => None,
    }
}
