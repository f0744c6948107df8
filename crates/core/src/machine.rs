//! Machines: workers, which run tasks under leases, and runners, which serve requests.
//!
//! [`worker`], [`runner`], [`capacity`] and [`lease`] define the data. [`arbiter`] is the worker's
//! side of ownership, [`controller`] and [`adoption`] that of the instance that controls it.
//! [`view`], [`placement`], [`health`] and [`estimate`] serve placement, and [`host`] and [`speed`] the
//! owner of a shard. [`allotment`] is the share of a machine that a daemon may use.

pub mod adoption;
pub mod allotment;
pub mod arbiter;
pub mod capacity;
pub mod controller;
pub mod estimate;
pub mod health;
pub mod host;
pub mod lease;
pub mod placement;
pub mod runner;
pub mod speed;
pub mod view;
pub mod worker;
