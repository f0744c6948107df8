//! Traits for the platform's services, so that another protocol can be substituted.

pub mod http;
pub mod observed;

use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::Offset;
use pimentovalve_core::zone::membership::Instance;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::log::Chunk;
use pimentovalve_wire::runner::{Call, Done, Slots};
use pimentovalve_wire::worker::{Adopt, Adopted, Heartbeat, HeartbeatReply, Orders, Replies};
use std::sync::Arc;

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call certainly had no effect.
    Refused(String),
    /// The call may have had an effect, or may still have one.
    Unknown(String),
    /// The requested offset is no longer retained.
    Gone {
        /// First offset that is retained.
        horizon: Offset,
    },
}

/// The append-only log service.
///
/// Assumptions: the entries of a stream are totally ordered; an append of several entries is
/// atomic; a read that is sent after an append was answered sees its entries.
pub trait Log: Send + Sync {
    /// Appends entries and returns the offset of the first one.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        entries: Vec<Vec<u8>>,
    ) -> Pending<'a, Result<Offset, Failure>>;

    /// Reads up to `max` entries from an offset, waiting up to `wait` for the first one.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        max: u32,
        wait: Millis,
    ) -> Pending<'a, Result<Chunk, Failure>>;
}

/// The platform's list of instances, which lags behind reality by a bounded time.
pub trait List: Send + Sync {
    /// Reads the list. An unchanged list is not transferred again.
    fn instances(&self) -> Pending<'_, Result<Arc<Vec<Instance>>, Failure>>;
}

/// A worker. It is assumed to behave as [`pimentovalve_core::machine::arbiter`].
pub trait Worker: Send + Sync {
    /// Requests control of the worker.
    fn adopt<'a>(&'a self, address: &'a str, adopt: Adopt)
    -> Pending<'a, Result<Adopted, Failure>>;

    /// Sends orders, which are executed one after the other.
    fn order<'a>(
        &'a self,
        address: &'a str,
        orders: Orders,
    ) -> Pending<'a, Result<Replies, Failure>>;

    /// Sends a heartbeat and waits for changes of the worker's inventory.
    fn reply<'a>(
        &'a self,
        address: &'a str,
        heartbeat: Heartbeat,
    ) -> Pending<'a, Result<HeartbeatReply, Failure>>;
}

/// A runner.
///
/// Assumptions: it answers "busy" without running the request when it has no free slot or is
/// leaving, and it abandons a request when the request's budget has passed. It may support querying
/// its slots in use; one that does not is not used after its worker changed controllers until the
/// longest deadline has passed.
pub trait Runner: Send + Sync {
    /// Sends a request, on a new connection if `new_connection` is set, and returns its answer.
    fn serve<'a>(
        &'a self,
        address: &'a str,
        call: Call,
        new_connection: bool,
    ) -> Pending<'a, Result<Done, Failure>>;

    /// Queries the number of slots in use, on a new connection.
    fn slots<'a>(&'a self, _address: &'a str) -> Pending<'a, Result<Slots, Failure>> {
        Box::pin(std::future::ready(Err(Failure::Refused(
            "the runner does not report its slots".into(),
        ))))
    }

    /// Closes the idle connections to a runner, because they may be dead or are no longer needed.
    fn forget(&self, _address: &str) {}
}
