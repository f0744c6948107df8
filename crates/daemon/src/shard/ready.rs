//! Tells the balancer whether this daemon can serve callers.

use super::view::{self, ShardStatus};
use crate::ring::Latest;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::Catalog;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// A daemon that has not read the log for so long lets others serve.
const MAX_LOG_AGE: Millis = Millis(2500);

/// Answers the balancer.
pub struct Ready {
    /// What the steward publishes.
    pub shard_status: Latest<ShardStatus>,
    /// The configuration in force.
    pub catalog: Latest<Option<Arc<Catalog>>>,
    /// A planned stop has begun.
    pub draining: CancellationToken,
}

impl Ready {
    /// Returns why callers should go elsewhere, if they should.
    fn reason(&self) -> Option<&'static str> {
        let shard_status = self.shard_status.borrow().clone();
        if self.draining.is_cancelled() {
            Some("the daemon drains")
        } else if self.catalog.borrow().is_none() {
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
            match self.reason() {
                None => Response::text(200, "ready"),
                Some(reason) => Response::text(503, reason),
            }
        })
    }
}
