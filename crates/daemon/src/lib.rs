//! The daemon as a library: duties, rings, settings, logs, metrics and the time line.

pub mod journal;
pub mod log;
pub mod settings;
