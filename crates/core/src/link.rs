//! Links: dispatch of requests to runners and peers, with queues, retries and budgets.
//!
//! These modules make all decisions about a request, without sockets or threads: allocation of
//! runner slots ([`dispatcher`], [`slot`]), admission and queueing ([`permit`], [`queue`]), and
//! retries and hedging ([`tries`], [`budget`], [`latency`]). [`response_time`] adapts time-outs to
//! the latency of a dependency, [`read_size`] reads to what a link carries, and [`round_trip`]
//! estimates how far away a callee is. [`gate`] decides which calls
//! are held while a dependency does not answer ([`breaker`], [`held`]), and [`patience`] for how long.

pub mod breaker;
pub mod budget;
pub mod dispatcher;
pub mod gate;
pub mod held;
pub mod latency;
pub mod patience;
pub mod permit;
pub mod queue;
pub mod read_size;
pub mod response_time;
pub mod round_trip;
pub mod slot;
pub mod tries;
