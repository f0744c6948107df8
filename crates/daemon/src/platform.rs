//! The platform as trait objects, so that another protocol can take its place.

pub mod http;
pub mod observed;

use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::Offset;
use pimentovalve_core::zone::membership::Instance;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::log::Chunk;
use pimentovalve_wire::runner::{Call, Done, Slots};
use pimentovalve_wire::worker::{Adopt, Adopted, Beat, Heartbeat, Orders, Replies};
use std::sync::Arc;

/// How a call of the platform failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It certainly had no effect.
    Refused(String),
    /// It may have had its effect, now or later.
    Unknown(String),
    /// The wanted offset is no longer kept.
    Gone {
        /// First offset that is still kept.
        horizon: Offset,
    },
}

/// The append-only log service.
///
/// Assumed: a total order for each stream; an append of several entries is taken whole; a read
/// that was sent after an append was answered sees it.
pub trait Log: Send + Sync {
    /// Appends entries and returns the offset of the first.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        entries: Vec<Vec<u8>>,
    ) -> Pending<'a, Result<Offset, Failure>>;

    /// Reads entries from an offset on, waiting up to `wait` for the first.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: Offset,
        max: u32,
        wait: Millis,
    ) -> Pending<'a, Result<Chunk, Failure>>;
}

/// The lagging list of instances.
pub trait List: Send + Sync {
    /// Reads the list. An unchanged list costs only the question.
    fn instances(&self) -> Pending<'_, Result<Arc<Vec<Instance>>, Failure>>;
}

/// A worker. What is assumed of it is [`pimentovalve_core::machine::arbiter`].
pub trait Worker: Send + Sync {
    /// Asks to control the worker.
    fn adopt<'a>(&'a self, address: &'a str, adopt: Adopt)
    -> Pending<'a, Result<Adopted, Failure>>;

    /// Sends orders.
    fn order<'a>(
        &'a self,
        address: &'a str,
        orders: Orders,
    ) -> Pending<'a, Result<Replies, Failure>>;

    /// Sends a sign of life and waits for what changed.
    fn beat<'a>(
        &'a self,
        address: &'a str,
        heartbeat: Heartbeat,
    ) -> Pending<'a, Result<Beat, Failure>>;
}

/// A runner.
///
/// Assumed: it answers "busy" without running the request when it has no slot or is leaving, and
/// it gives a request up when the request's budget has passed. It may be able to say how many of
/// its slots are in use; one that can't is not used after its worker changed hands until the
/// longest deadline has passed.
pub trait Runner: Send + Sync {
    /// Has a request served.
    fn serve<'a>(
        &'a self,
        address: &'a str,
        call: Call,
        fresh: bool,
    ) -> Pending<'a, Result<Done, Failure>>;

    /// Asks how many slots are in use, on a new connection.
    fn slots<'a>(&'a self, _address: &'a str) -> Pending<'a, Result<Slots, Failure>> {
        Box::pin(std::future::ready(Err(Failure::Refused("the runner can't tell".into()))))
    }

    /// Closes the idle connections to a runner, which may be silent, or is no longer used.
    fn forget(&self, _address: &str) {}
}
