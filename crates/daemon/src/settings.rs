//! Settings of one daemon, from a TOML file.
//!
//! Settings are fixed for the life of a process, such as its addresses and its place; everything
//! that may change while it runs is configuration, which is replicated through the log. All
//! mistakes in a file are reported together, each with its key and line.

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

/// Validated settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settings {
    /// Unique name of the instance. The daemon adds a suffix for each start, because a restarted
    /// instance is a new writer of the ledger.
    pub name: Name,
    /// Region, failure domain and rack of the instance.
    pub place: Place,
    /// Addresses of the listeners.
    pub listen: Listen,
    /// The platform's services.
    pub platform: Platform,
    /// Fencing bounds, which must be equal on all instances.
    pub bounds: lease::Bounds,
    /// Intervals and time-outs.
    pub timing: Timing,
    /// Number of partitions of the ledger, which must be equal on all instances and never change
    /// for the life of the log.
    pub partitions: u16,
    /// Limits of every listener.
    pub limits: server::Limits,
    /// Number of places in each ring between duties.
    pub ring: usize,
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub log_level: String,
    /// File to which the timeline is appended as JSON lines; standard output when absent.
    pub timeline: Option<PathBuf>,
    /// File with the keys of operators, one `name:secret` per line. Without it all operator
    /// requests are refused.
    pub operator_keys: Option<PathBuf>,
    /// File with the key that all daemons share, as `name:secret`. Without it peers are not
    /// authenticated.
    pub peer_key: Option<PathBuf>,
}

impl Settings {
    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the text, each with its key and line.
    pub fn parse(text: &str) -> Result<Self, List> {
        Self::try_from(Raw::from(text))
    }

    /// Reads and validates a settings file. Relative paths in it are resolved against its
    /// directory.
    ///
    /// # Errors
    ///
    /// Returns all mistakes in the file, each with its key and line, or that it cannot be read.
    pub fn read(path: &Path) -> Result<Self, List> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| List::one("file", format!("cannot be read: {e}")))?;
        let mut settings = Self::parse(&text)?;
        let folder = path.parent().unwrap_or_else(|| Path::new(""));
        for file in [&mut settings.timeline, &mut settings.operator_keys, &mut settings.peer_key] {
            *file = file.as_ref().map(|file| folder.join(file));
        }
        Ok(settings)
    }
}

/// Listening addresses of a daemon. Port 0 lets the operating system choose a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listen {
    /// Jobs and requests of callers.
    pub callers: SocketAddr,
    /// Configuration, ledger records and releases, for operators.
    pub operators: SocketAddr,
    /// Messages of other daemons. The platform's list shows this address, so it must name a
    /// specific IP address and port.
    pub peers: SocketAddr,
    /// Metrics and health checks.
    pub metrics: SocketAddr,
}

/// Addresses and guarantees of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Platform {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Maximum lag of the list, as stated by the platform.
    pub list_lag_ms: Millis,
    /// Time for which the log retains records, as stated by the platform.
    pub retention_ms: Millis,
}

/// Intervals and time-outs that are not fencing bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Polling interval of the instance list.
    pub list_ms: Millis,
    /// Interval of pings to each peer.
    pub ping_ms: Millis,
    /// A peer that was silent for this long is not assigned partitions or workers.
    pub suspicion_ms: Millis,
    /// Interval of heartbeats to each worker.
    pub heartbeat_ms: Millis,
    /// A worker that was silent for this long is recorded as lost.
    pub loss_ms: Millis,
    /// Timeout of one call to the log.
    pub log_ms: Millis,
    /// New work is refused when the configuration was last known to be current longer ago than
    /// this.
    pub term_ms: Millis,
    /// Time between the start of draining, which peers and the load balancer observe, and the close
    /// of the callers' listener.
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
