//! Messages, their encodings, and HTTP.
//!
//! Callers, operators, runners and the instance list use JSON; the platform's log, workers and peer
//! daemons use MessagePack. This crate makes no decisions: messages carry the domain types of
//! [`pimentovalve_core`], and handlers are trait objects.

pub mod caller;
pub mod codec;
pub mod http;
pub mod log;
pub mod peer;
pub mod runner;
pub mod worker;
