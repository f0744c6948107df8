//! Messages between a worker and its controller, as MessagePack.
//!
//! `POST /adopt` with [`Adopt`] gives [`Adopted`]; `POST /orders` with [`Orders`] gives
//! [`Replies`]; `POST /heartbeat` with [`Heartbeat`] gives [`Beat`].

use pimentovalve_core::clock::Millis;
use pimentovalve_core::machine::worker::{Ended, Epoch, Inventory, Order, Reply};
use pimentovalve_core::name::Name;
use serde::{Deserialize, Serialize};

/// A wish to become the controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adopt {
    /// The instance that wants to control.
    pub controller: Name,
    /// The epoch that it believes to be present.
    pub expected: Epoch,
}

/// Answer to [`Adopt`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adopted {
    /// The sender controls the worker under the inventory's epoch.
    Yes(Inventory),
    /// The epoch was another.
    No {
        /// The present epoch.
        epoch: Epoch,
        /// The present controller.
        controller: Option<Name>,
    },
}

/// Orders of a controller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The controller's epoch.
    pub epoch: Epoch,
    /// The orders, carried out one after the other.
    pub orders: Vec<Order>,
}

/// Answers to [`Orders`], in their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replies {
    /// One answer for each order.
    pub replies: Vec<Reply>,
}

/// A controller's sign of life, which renews leases and asks what changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The controller's epoch.
    pub epoch: Epoch,
    /// Revision of the inventory that the controller has, 0 for none.
    pub seen: u64,
    /// Sequence of the last ended attempt that is recorded in the ledger.
    pub acknowledged: u64,
    /// New end of the leases of all running attempts, if they may be renewed.
    pub renew_all: Option<Millis>,
    /// How long the worker may wait for a change before it answers.
    pub wait_ms: Millis,
}

/// Answer to [`Heartbeat`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// The present epoch; another than the sender's says that the sender is deposed.
    pub epoch: Epoch,
    /// Revision of the inventory. Lagging usage alone does not raise it.
    pub revision: u64,
    /// The inventory, when its revision is not the one that the controller has.
    pub inventory: Option<Inventory>,
    /// Ended attempts after the acknowledged one.
    pub ended: Vec<Ended>,
}
