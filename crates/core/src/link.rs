//! Links: connections to peers and to runners, with their budgets.
//!
//! All decisions about a request are here, apart from sockets and threads: who may spend a slot
//! ([`dispatcher`], [`slot`]), who waits for one ([`queue`], [`permit`]), and what follows from
//! the end of a try ([`tries`], [`budget`], [`latency`]). How long a dependency is waited for is in
//! [`pace`].

pub mod budget;
pub mod dispatcher;
pub mod latency;
pub mod pace;
pub mod permit;
pub mod queue;
pub mod slot;
pub mod tries;
