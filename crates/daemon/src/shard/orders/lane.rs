//! Lanes to workers. Each call in flight needs a connection of its own, and a worker accepts a limited
//! number of connections from all daemons together. Those of a daemon that lost power stay open there, as
//! the worker is not told of their end.

use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum number of calls in flight from one daemon to one worker: a thirteenth of the 64 connections that a
/// worker of the users accepts.
pub const MAX_CALLS_TO_WORKER: usize = 5;
/// Maximum number of start and stop orders among them. One place is for the status poll.
pub(super) const MAX_ORDERS: usize = MAX_CALLS_TO_WORKER - 1;

/// The lane to one worker.
#[derive(Debug)]
struct Lane {
    address: Box<str>,
    orders: Arc<Semaphore>,
}

/// The lanes to all workers to which an order is in flight or waits.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    /// Sorted by address.
    list: Vec<Lane>,
}

impl Lanes {
    /// Returns a place for an order to the worker at `address`, which is free once fewer than
    /// [`MAX_ORDERS`] are in flight there. Places are given in the order in
    /// which they are asked for.
    pub(super) fn place(
        &mut self,
        address: &str,
    ) -> impl Future<Output = Option<OwnedSemaphorePermit>> + use<> {
        let find = |list: &[Lane]| list.binary_search_by(|lane| (*lane.address).cmp(address));
        let i = find(&self.list).unwrap_or_else(|_| {
            self.list.retain(Lane::is_used);
            let at = find(&self.list).unwrap_or_else(|at| at);
            let orders = Arc::new(Semaphore::new(MAX_ORDERS));
            self.list.insert(at, Lane { address: address.into(), orders });
            at
        });
        let orders = Arc::clone(&self.list[i].orders);
        // The semaphore is never closed.
        async move { orders.acquire_owned().await.ok() }
    }
}

impl Lane {
    fn is_used(&self) -> bool {
        Arc::strong_count(&self.orders) > 1
    }
}
