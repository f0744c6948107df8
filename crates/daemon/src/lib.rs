//! The daemon as a library: duties, rings, settings, logs, metrics and the time line.

pub mod settings;
