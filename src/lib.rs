//! A cluster scheduler for services, batches and gangs, with promises that can be audited.
//!
//! This package holds the daemon `pimentovalved` and the command line `pimentovalve`, and
//! re-exports the libraries that they are built from: [`core`] makes the scheduling decisions,
//! [`wire`] encodes messages, [`daemon`] runs the duties and their threads, and [`standin`]
//! simulates the platform (log, instance list, workers and runners) for tests and trials.

pub mod cell;
pub mod commands;

pub use pimentovalve_core as core;
pub use pimentovalve_daemon as daemon;
pub use pimentovalve_standin as standin;
pub use pimentovalve_wire as wire;
