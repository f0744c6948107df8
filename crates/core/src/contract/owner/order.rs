//! Calls to workers that the owner wants made.

use crate::clock::Millis;
use crate::contract::work::Job;
use crate::ledger::shard::{Life, Run};
use std::sync::Arc;

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct Start {
    /// The worker.
    pub on: Arc<Life>,
    /// Where it takes orders.
    pub address: Box<str>,
    /// The run.
    pub run: Run,
    /// Its job.
    pub job: Arc<Job>,
    /// When the lease ends on the worker's clock.
    pub lease_end: Option<u64>,
    /// Progress to resume from, empty when there is none.
    pub saved: Box<str>,
    /// The advisor's ticket.
    pub ticket: Option<Box<str>>,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its job is over.
    Over,
    /// Another member of its gang has ended or can't run.
    Gang,
    /// It makes no progress.
    Hung,
    /// Nobody asked for it any more.
    Stray,
    /// Its order was not answered: it may be there.
    Unanswered,
}

/// An order to stop a run.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The worker.
    pub on: Arc<Life>,
    /// Where it takes orders.
    pub address: Box<str>,
    /// The run.
    pub run: Run,
    /// Why.
    pub why: Why,
}

/// A look at a worker, which renews its lease.
#[derive(Clone, Debug)]
pub struct Look {
    /// The worker.
    pub on: Arc<Life>,
    /// Where it takes orders.
    pub address: Box<str>,
    /// Number of the look.
    pub number: u64,
    /// The last end that the worker may forget.
    pub noted: u64,
    /// When the lease ends on the worker's clock.
    pub lease_end: Option<u64>,
    /// Longest time to wait for an end.
    pub wait: Millis,
}

/// A call to a worker.
#[derive(Clone, Debug)]
pub enum Order {
    /// Start a run; then call [`super::Owner::start_answered`].
    Start(Box<Start>),
    /// Stop a run; then call [`super::Owner::stop_answered`].
    Stop(Stop),
    /// Look at the worker; then call [`super::Owner::looked`].
    Look(Look),
}
