//! Measurements of the scheduler and the daemons against simple baselines.
//!
//! [`load`] generates the fleets and jobs of both customers from a seed. [`simulation`] runs a
//! fleet on virtual time and counts violations of the scheduler's guarantees. [`policy`] holds
//! the policies that are compared: several schedulers of the core crate that share the fleet, and
//! FIFO queues with first fit or random fit. [`daemon`] runs daemons as child processes and reads
//! the resources that they use. [`experiment`] holds one module per experiment, [`report`] the
//! results that they print, and [`plot`] the drawing of a result as a chart.

pub mod daemon;
pub mod experiment;
pub mod load;
pub mod plot;
pub mod policy;
pub mod report;
pub mod simulation;
