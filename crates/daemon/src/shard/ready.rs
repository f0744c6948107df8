//! Readiness check for the load balancer.

use super::view::{self, Configuration, ShardStatus};
use crate::ring::Latest;
use pimentovalve_core::clock::Millis;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use tokio_util::sync::CancellationToken;

/// Time since the last complete log read after which the daemon reports that it is not ready.
const MAX_LOG_AGE: Millis = Millis(2500);

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
        } else if view::now().since(shard_status.log_read_at) > MAX_LOG_AGE {
            Some("the log can't be read")
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
