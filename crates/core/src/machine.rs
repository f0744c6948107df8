//! Machines: workers with capacity that run tasks under leases, and runners that serve requests.

pub mod arbiter;
pub mod capacity;
pub mod controller;
pub mod lease;
pub mod runner;
pub mod worker;
