//! Readiness check for the load balancer.

#[cfg(test)]
mod tests;

use super::freshness::MAX_STATUS_AGE;
use super::view::{self, Configuration, ShardStatus};
use crate::ring::Latest;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use tokio_util::sync::CancellationToken;

/// HTTP handler for readiness checks.
pub struct Ready {
    /// Ownership and log progress, published by the steward.
    pub shard_status: Latest<ShardStatus>,
    /// Configuration in force.
    pub configuration: Latest<Configuration>,
    /// Cancelled when a planned stop begins.
    pub draining: CancellationToken,
}

impl Ready {
    /// Returns why the daemon is not ready, `None` when it is.
    fn not_ready_reason(&self) -> Option<&'static str> {
        let shard_status = self.shard_status.borrow().clone();
        if self.draining.is_cancelled() {
            Some("the daemon drains")
        } else if self.configuration.borrow().catalog.is_none() {
            Some("no configuration was read yet")
        } else if !shard_status.caught_up {
            Some("the log was not read to its end yet")
        } else if view::now().since(shard_status.covered_until) > MAX_STATUS_AGE {
            Some("the log can't be read, or only with a delay")
        } else {
            None
        }
    }
}

impl Handler for Ready {
    fn handle<'a>(&'a self, _: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            match self.not_ready_reason() {
                None => Response::text(200, "ready"),
                Some(reason) => Response::text(503, reason),
            }
        })
    }
}
