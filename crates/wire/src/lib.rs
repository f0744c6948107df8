//! Message encodings and HTTP at the borders of the system.
//!
//! Callers and operators speak JSON; the platform's log, workers and the daemons among themselves
//! speak MessagePack. Nothing here decides anything: messages carry the domain types of
//! [`pimentovalve_core`], and handlers are trait objects.

pub mod caller;
pub mod codec;
pub mod http;
pub mod log;
pub mod peer;
pub mod runner;
pub mod worker;
