//! Messages between a worker and its controller, as MessagePack.
//!
//! `POST /adopt` with [`Adopt`] gives [`Adopted`]; `POST /orders` with [`Orders`] gives
//! [`Replies`]; `POST /heartbeat` with [`Heartbeat`] gives [`HeartbeatReply`].

use pimentovalve_core::clock::Millis;
use pimentovalve_core::machine::worker::{Ended, Epoch, Inventory, Order, Reply};
use pimentovalve_core::name::Name;
use serde::{Deserialize, Serialize};

/// A request to become the controller of the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adopt {
    /// Name of the requesting instance.
    pub controller: Name,
    /// The epoch that the compare-and-set expects at the worker.
    pub expected: Epoch,
}

/// Answer to [`Adopt`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adopted {
    /// The sender now controls the worker, under the epoch in the inventory.
    Yes(Inventory),
    /// The worker has another epoch than the expected one.
    No {
        /// The worker's current epoch.
        epoch: Epoch,
        /// The worker's current controller, if it has one.
        controller: Option<Name>,
    },
}

/// Orders of a controller to the worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The controller's epoch, which fences orders of earlier controllers.
    pub epoch: Epoch,
    /// The orders, which are executed one after the other.
    pub orders: Vec<Order>,
}

/// Answer to [`Orders`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replies {
    /// One answer for each order, in the same order.
    pub replies: Vec<Reply>,
}

/// A controller's heartbeat, which renews leases and requests changes of the inventory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The controller's epoch.
    pub epoch: Epoch,
    /// Revision of the inventory that the controller has, or 0 if it has none.
    pub seen: u64,
    /// Sequence of the last ended attempt that is recorded in the ledger.
    pub acknowledged: u64,
    /// New end of the leases of all running attempts; `None` if they may not be renewed.
    pub renew_all: Option<Millis>,
    /// Longest time for which the worker waits for a change before it answers.
    pub wait_ms: Millis,
}

/// Answer to [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The worker's current epoch. If it differs from the sender's, another instance has adopted
    /// the worker.
    pub epoch: Epoch,
    /// Revision of the inventory. A change of measured usage alone does not increase it.
    pub revision: u64,
    /// The inventory, if its revision differs from the one that the controller has.
    pub inventory: Option<Inventory>,
    /// Ended attempts that follow the acknowledged one.
    pub ended: Vec<Ended>,
}
