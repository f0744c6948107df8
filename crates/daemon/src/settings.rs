//! Settings of one daemon, from a TOML file, checked as a whole.
//!
//! A process learns its addresses and its place from its settings; everything else that may
//! change while it runs is configuration, which comes through the log. A file is read section by
//! section, so that all of its mistakes are reported together, each with its place.

mod raw;
mod relations;
mod section;
#[cfg(test)]
mod tests;

pub use raw::Raw;

use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::lease;
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::Place;
use pimentovalve_wire::http::server;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

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

impl Settings {
    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with it, each with its key and its line.
    pub fn parse(text: &str) -> Result<Self, List> {
        Self::try_from(Raw::from(text))
    }

    /// Reads and checks a settings file. Relative paths in it are taken from its folder.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with it, each with its key and its line, or that it can't
    /// be read.
    pub fn read(path: &Path) -> Result<Self, List> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| List::one("file", format!("can't be read: {e}")))?;
        let mut settings = Self::parse(&text)?;
        let folder = path.parent().unwrap_or_else(|| Path::new(""));
        for file in [&mut settings.timeline, &mut settings.operator_keys, &mut settings.peer_key] {
            *file = file.as_ref().map(|file| folder.join(file));
        }
        Ok(settings)
    }
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

impl Default for Timing {
    fn default() -> Self {
        Self {
            list_ms: Millis::from_secs(1),
            ping_ms: Millis(1500),
            suspicion_ms: Millis(4500),
            heartbeat_ms: Millis::from_secs(10),
            loss_ms: Millis::from_secs(30),
            log_ms: Millis::from_secs(2),
            term_ms: Millis::from_secs(10),
            drain_ms: Millis(500),
        }
    }
}
