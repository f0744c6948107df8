//! Measurements of the decision objects, on virtual time and against plain baselines.
//!
//! [`load`] draws both customers' work from a seed, [`world`] is a table of workers on virtual
//! time that carries decisions out and counts broken promises, [`contender`] holds what is
//! compared: the scheduler of the core crate behind several stewards, and plain baselines.
//! [`experiment`] holds one module per experiment and [`report`] what they print.

pub mod daemon;
pub mod experiment;
pub mod load;
pub mod plot;
pub mod policy;
pub mod report;
pub mod simulation;
