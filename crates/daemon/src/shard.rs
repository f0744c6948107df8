//! Daemon for a platform whose store provides one ordered, fenced log.
//!
//! Every daemon replays the shard's log into its replicated state (the replica) and answers callers
//! from it. The daemon with the newest claim in the log owns the shard and sends orders to the
//! workers. The duties:
//!
//! - `ledger` reads and appends the log, and reads the configuration and the lists of workers and
//!   members;
//! - `steward` maintains the replica and, while this daemon owns the shard, schedules its jobs;
//! - `orders` sends calls to workers;
//! - `advice` sends questions to the advisor, directly or through a peer.
//!
//! HTTP fronts serve callers (`callers`), health checks of the load balancer (`ready`), and peers
//! and metrics (`peers`).

pub mod advice;
pub mod border;
pub mod freshness;
pub mod front;
pub mod inquiry;
pub mod ledger;
pub mod metrics;
pub mod node;
pub mod orders;
pub mod peer;
pub mod ready;
pub mod relay;
pub mod steward;
pub mod view;
