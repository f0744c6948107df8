//! Messages of the platform's append-only log, and the list of instances.
//!
//! `POST /streams/{stream}` with [`Append`] gives [`Appended`]; `POST /streams/{stream}/read` with
//! [`Read`] gives [`Chunk`]; both are MessagePack. `GET /instances` gives the list as JSON.
//! Status 503 says that the service is out and nothing was appended; 410 that the wanted offset is
//! no longer kept, with [`Gone`].

use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::Offset;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;

/// Entries to be appended to one stream, together and in this order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// Opaque entries.
    pub entries: Vec<ByteBuf>,
}

/// Where entries were appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the first entry.
    pub first: Offset,
}

/// A wish to read a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Read {
    /// First offset wanted.
    pub from: Offset,
    /// Most entries wanted.
    pub max: u32,
    /// How long to wait for an entry when there is none yet.
    pub wait_ms: Millis,
}

/// A part of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Entries from the wanted offset on.
    pub entries: Vec<ByteBuf>,
    /// Offset that the next entry to be appended will have.
    pub end: Offset,
    /// First offset that is still kept.
    pub horizon: Offset,
}

/// Says that the wanted offset is no longer kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// First offset that is still kept.
    pub horizon: Offset,
}
