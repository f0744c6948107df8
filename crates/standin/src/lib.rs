//! Fakes of the platform's services and machines, with fault injection, for tests, the demo and
//! benchmarks.
//!
//! Each stand-in speaks the messages of [`pimentovalve_wire`] over loopback: [`log::Log`] is the
//! append-only log service, [`list::List`] the instance list with a propagation lag,
//! [`worker::Worker`] a worker and [`runner::Runner`] a runner. [`fleet::Fleet`] starts all of
//! them. Faults are injected by method calls, or by [`fault::Fault`] messages sent to the operator
//! port of `pimentovalve-standin`. [`observer::Observer`] records what the workers and runners
//! executed, independently of the daemons under test.

pub mod clock;
pub mod fault;
pub mod fleet;
pub mod link;
pub mod list;
pub mod log;
pub mod observer;
pub mod operator;
pub mod runner;
pub mod server;
pub mod settings;
#[cfg(test)]
mod testing;
pub mod worker;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: the guarded data stay valid when a holder panics.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
