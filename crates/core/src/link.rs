//! Links: dispatch of requests to runners and peers, with queues, retries and budgets.
//!
//! These modules make all decisions about a request, without sockets or threads: allocation of
//! runner slots ([`dispatcher`], [`slot`]), admission and queueing ([`permit`], [`queue`]), and
//! retries and hedging ([`tries`], [`budget`], [`latency`]). [`response_time`] adapts time-outs to
//! the latency of a dependency, [`read_size`] reads to what a link carries, and [`round_trip`]
//! estimates how far away a callee is.

pub mod budget;
pub mod dispatcher;
pub mod latency;
pub mod permit;
pub mod queue;
pub mod read_size;
pub mod response_time;
pub mod round_trip;
pub mod slot;
pub mod tries;
