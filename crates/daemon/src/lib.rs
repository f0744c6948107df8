//! The daemon as a library: duties, rings, settings, logs, metrics and the time line.

pub mod duty;
pub mod platform;
pub mod ring;
pub mod settings;
