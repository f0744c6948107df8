//! Small stand-ins of the platform, for tests, the demo and measurements.
//!
//! Each speaks the messages of [`pimentovalve_wire`] over loopback: [`log::Log`] the append-only
//! log service, [`list::List`] the lagging list of instances, [`worker::Worker`] a worker and
//! [`runner::Runner`] a runner. [`fleet::Fleet`] starts all of them. Their faults are switched by
//! calls, or by [`fault::Fault`] messages at the operator port of `pimentovalve-standin`. What
//! really happened, independently of the daemons, is in the [`observer::Observer`].

pub mod clock;
pub mod fault;
pub mod fleet;
pub mod host;
pub mod link;
pub mod list;
pub mod log;
pub mod observer;
pub mod operator;
pub mod runner;
pub mod settings;
#[cfg(test)]
mod testing;
pub mod worker;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex whose data stay valid when a holder panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
