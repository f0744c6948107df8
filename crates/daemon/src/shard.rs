//! A daemon on a platform whose store gives one ordered, fenced log.
//!
//! Every daemon reads the shard's log and can answer callers from its book; the one whose claim
//! stands last in the log owns the shard and gives the workers their orders. The duties:
//!
//! - `ledger` reads and appends the log, the configuration and the lists;
//! - `steward` keeps the book and, while this daemon owns the shard, decides;
//! - `orders` carries calls to workers;
//! - `advice` carries questions to the advisor, for this daemon and for its peers;
//! - `front` answers callers, `ready` tells the balancer whether to send any.

pub mod advice;
pub mod border;
pub mod front;
pub mod ledger;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peer;
pub mod ready;
pub mod steward;
pub mod view;
