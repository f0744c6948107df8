//! A cluster scheduler for services, batches and all-at-once jobs that can prove its promises.
//!
//! This package holds the two programs, `pimentovalved` (the daemon) and `pimentovalve` (the
//! command line), and re-exports the library that they are made of: [`core`] decides, [`wire`]
//! encodes, [`daemon`] runs the duties, [`standin`] takes the platform's place in trials.

pub mod cell;
pub mod commands;

pub use pimentovalve_core as core;
pub use pimentovalve_daemon as daemon;
pub use pimentovalve_standin as standin;
pub use pimentovalve_wire as wire;
