//! Orders that the owner sends to workers.

use crate::clock::Millis;
use crate::contract::work::Job;
use crate::ledger::shard::{Incarnation, Run};
use std::sync::Arc;

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct Start {
    /// The incarnation of the worker that must execute the order.
    pub on: Arc<Incarnation>,
    /// Network address of the worker, IP number and port.
    pub address: Box<str>,
    /// The run to start.
    pub run: Run,
    /// The job of the run.
    pub job: Arc<Job>,
    /// Time on the worker's clock at which the lease expires; `None` while that clock is unknown.
    pub lease_end: Option<u64>,
    /// The task's last checkpoint, empty when there is none.
    pub saved: Box<str>,
    /// The advisor's ticket, for steps that need one.
    pub ticket: Option<Box<str>>,
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job is completed, failed or cancelled.
    Over,
    /// Another member of its gang has ended or can't run.
    Gang,
    /// It makes no progress.
    Hung,
    /// The owner doesn't expect it on this worker, for example because its start order arrived
    /// after the run was given up.
    Stray,
    /// Its start order got no answer, so the worker may have started it.
    Unanswered,
}

/// An order to stop a run.
#[derive(Clone, Debug)]
pub struct Stop {
    /// The incarnation of the worker that must execute the order.
    pub on: Arc<Incarnation>,
    /// Network address of the worker, IP number and port.
    pub address: Box<str>,
    /// The run to stop.
    pub run: Run,
    /// The reason, for the log.
    pub reason: StopReason,
    /// When a stop of the run was first ordered, for the log.
    pub since: Millis,
}

/// A status poll of a worker, which also renews its lease.
#[derive(Clone, Debug)]
pub struct Poll {
    /// The incarnation of the worker that is polled.
    pub on: Arc<Incarnation>,
    /// Network address of the worker, IP number and port.
    pub address: Box<str>,
    /// Number of the poll, unique and rising within the owner.
    pub number: u64,
    /// Number of the last end that is recorded: the worker may discard the ends up to it.
    pub recorded_end: u64,
    /// Time on the worker's clock at which the renewed lease expires; `None` when the poll renews
    /// nothing.
    pub lease_end: Option<u64>,
    /// Longest time for which the worker may hold the poll open until a run ends.
    pub wait: Millis,
}

/// An order to a worker.
#[derive(Clone, Debug)]
pub enum Order {
    /// Start a run; then call [`super::Owner::start_answered`].
    Start(Box<Start>),
    /// Stop a run; then call [`super::Owner::stop_answered`].
    Stop(Stop),
    /// Poll the worker; then call [`super::Owner::poll_answered`].
    Poll(Poll),
}
