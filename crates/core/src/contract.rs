//! Contracts: what callers and operators are promised.

pub mod class;
pub mod configuration;
pub mod job;
pub mod kind;
pub mod planner;
pub mod request;
pub mod status;
pub mod steward;
pub mod task;
pub mod team;
