//! Settings of one daemon, from a TOML file, checked as a whole.
//!
//! A process learns its addresses and its place from its settings; everything else that may
//! change while it runs is configuration, which comes through the log.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::machine::lease;
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::Place;
use pimentovalve_wire::http::server;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Checked settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Unique name of the instance. The daemon adds a random suffix for each start, because a
    /// restarted instance is a new writer of the ledger.
    pub name: Name,
    /// Where the instance stands.
    pub place: Place,
    /// Listeners.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Fencing bounds; the same on all instances.
    pub bounds: lease::Bounds,
    /// Other time limits.
    pub timing: Timing,
    /// Partitions of the ledger; the same on all instances, fixed for the life of the log.
    pub partitions: u16,
    /// Bounds of every listener.
    pub limits: server::Limits,
    /// Places in each ring between duties.
    pub ring: usize,
    /// Least level of the log: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// File to which the time line is written as JSON lines; standard output when absent.
    pub timeline: Option<PathBuf>,
    /// File with the keys of operators, one `name:secret` a line; no operator is let in without.
    pub operator_keys: Option<PathBuf>,
    /// File with the one key of the daemons among themselves, as `name:secret`.
    pub peer_key: Option<PathBuf>,
}

/// Addresses on which a daemon listens, each an IP number and a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons; its address is also in the platform's list.
    pub peers: SocketAddr,
    /// For metrics and health checks.
    pub metrics: SocketAddr,
}

/// The platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Platform {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Longest time by which the list lags.
    pub list_lag_ms: Millis,
    /// Time for which the log keeps records.
    pub retention_ms: Millis,
}

/// Time limits that are not fencing bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Time between two readings of the instance list.
    pub list_ms: Millis,
    /// Time between two signs of life to each peer.
    pub ping_ms: Millis,
    /// A peer that was not heard for this long owns nothing.
    pub suspicion_ms: Millis,
    /// Time between two heartbeats to each worker.
    pub heartbeat_ms: Millis,
    /// A worker that was not heard for this long is recorded as lost.
    pub loss_ms: Millis,
    /// Longest time for one call of the log.
    pub log_ms: Millis,
    /// Longest age of the proof that the configuration is current; older, no new work is taken.
    pub term_ms: Millis,
    /// Time between the first sign of draining and the close of the callers' listener.
    pub drain_ms: Millis,
}
