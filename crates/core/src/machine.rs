//! Machines: workers with capacity that run tasks under leases, and runners that serve requests.

pub mod adoption;
pub mod arbiter;
pub mod capacity;
pub mod controller;
pub mod estimate;
pub mod health;
pub mod host;
pub mod lease;
pub mod placement;
pub mod runner;
pub mod view;
pub mod worker;
