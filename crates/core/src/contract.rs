//! Contracts with callers and operators: jobs, requests and configuration, and the components that
//! fulfil them, such as the schedulers and the stewards of partitions.

pub mod admission;
pub mod catalog;
pub mod class;
pub mod configuration;
pub mod gang;
pub mod job;
pub mod kind;
pub mod metrics;
pub mod owner;
pub mod planner;
pub mod policy;
pub mod queue;
pub mod request;
pub mod roster;
pub mod scheduler;
pub mod share;
pub mod status;
pub mod steward;
pub mod table;
pub mod task;
pub mod team;
pub mod work;
