//! Messages between a controller and a runner, as JSON.
//!
//! `POST /serve` with [`Call`] gives [`Done`]. Status 503 with [`Busy`] means that the runner has
//! no free slot or is leaving, and that the request did not run. Status 504 means that the runner
//! abandoned the request when its budget had passed; a part of it may have run.
//! `GET /slots` gives [`Slots`].

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request;
use pimentovalve_core::name::Name;
use serde::{Deserialize, Serialize};

/// A request that a runner is to serve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Id of the request, which the answer repeats.
    pub request: request::Id,
    /// Globally unique name of this try, which the answer repeats.
    pub attempt: Name,
    /// Time after which the runner abandons the request.
    pub budget_ms: Millis,
    /// Body of the caller's request.
    pub body: String,
}

/// The complete answer of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// Id of the answered request. One that differs from the call's shows a misdelivered answer.
    pub request: request::Id,
    /// Name of the answered try.
    pub attempt: Name,
    /// Body of the answer.
    pub body: String,
}

/// Answer of a runner that did not run the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Busy {
    /// The reason, as text for operators.
    pub message: String,
}

/// The utilization of a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slots {
    /// Slots in use now, by all controllers together.
    pub in_use: u32,
}
