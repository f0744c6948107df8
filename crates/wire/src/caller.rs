//! Messages of callers and operators, as JSON.
//!
//! Callers: `POST /v1/jobs` with [`job::Raw`](pimentovalve_core::contract::job::Raw), `GET /v1/jobs/{id}?team=T`,
//! `DELETE /v1/jobs/{id}?team=T` give [`Job`]; `POST /v1/requests` with
//! [`request::Raw`](pimentovalve_core::contract::request::Raw) and
//! `GET /v1/requests/{id}?team=T` give an [`Answer`].
//! Operators: `POST /v1/configuration?base=N` with TOML, `GET /v1/configuration`,
//! `GET /v1/configuration/history`, `GET /v1/ledger/{stream}`, `POST /v1/release`.

use pimentovalve_core::ledger::Offset;
use pimentovalve_core::ledger::record::Record;
use serde::{Deserialize, Serialize};

pub use pimentovalve_core::contract::request::Answer;
pub use pimentovalve_core::contract::status::{Job, Refusal, Task};

/// One ledger record, as returned by `GET /v1/ledger/{stream}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Position of the record in the stream.
    pub offset: Offset,
    /// The record, also when its compare-and-set failed and it had no effect.
    pub record: Record,
}
