//! Messages of the platform's append-only log, and the list of instances.
//!
//! `POST /streams/{stream}` with [`Append`] gives [`Appended`]; `POST /streams/{stream}/read` with
//! [`Read`] gives [`Chunk`]; both are MessagePack. `GET /instances` gives the list as JSON.
//! Status 503 means that the service is unavailable and nothing was appended; 410 with [`Gone`]
//! means that the requested offset is no longer retained.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::Offset;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Entries to be appended to one stream, atomically and in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Entries, which are opaque to the log service.
    pub entries: Vec<ByteBuf>,
}

/// Answer to [`Append`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first appended entry; the others follow it without gaps.
    pub first: Offset,
}

/// A request to read a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// First offset to read.
    pub from: Offset,
    /// Maximum number of entries to return.
    pub max: u32,
    /// How long to wait for an entry if there is none yet.
    pub wait_ms: Millis,
}

/// Answer to [`Read`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Consecutive entries, starting at the requested offset.
    pub entries: Vec<ByteBuf>,
    /// Offset of the next entry to be appended to the stream.
    pub end: Offset,
    /// First offset that is retained.
    pub horizon: Offset,
}

/// Answer to [`Read`] of an offset that is no longer retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// First offset that is retained.
    pub horizon: Offset,
}
