//! Messages between a controller and a runner, as JSON.
//!
//! `POST /serve` with [`Call`] gives [`Done`]. Status 503 with [`Busy`] says that the runner has no
//! free slot, or is leaving, and that the request did not run. Status 504 says that the
//! runner gave the request up after its budget; a part of it may have run.
//! `GET /slots` gives [`Slots`].

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request;
use pimentovalve_core::name::Name;
use serde::{Deserialize, Serialize};

/// A request to be served.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Id of the request; the answer carries it again.
    pub request: request::Id,
    /// Unique name of this try of the request; the answer carries it again.
    pub attempt: Name,
    /// The runner gives the request up after this time.
    pub budget_ms: Millis,
    /// Input.
    pub body: String,
}

/// The whole answer of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The request that it answers.
    pub request: request::Id,
    /// The try that it answers.
    pub attempt: Name,
    /// Content.
    pub body: String,
}

/// Says that the request did not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Busy {
    /// Why, for people.
    pub message: String,
}

/// How far a runner is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    /// Slots in use now, whoever spent them.
    pub in_use: u32,
}
