//! The daemon as a library: duties, rings, settings, logs, metrics and the timeline.

mod daemon;
pub mod duty;
pub mod front;
pub mod journal;
pub mod log;
pub mod metrics;
pub mod platform;
pub mod ring;
pub mod route;
pub mod settings;
pub mod shard;
pub mod telemetry;
pub mod view;

pub use daemon::{Addresses, Daemon, Error};
