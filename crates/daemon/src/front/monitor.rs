//! The monitoring front: liveness, readiness and metrics.

use crate::metrics::Metrics;
use crate::ring::Latest;
use crate::view::{self, LedgerView, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use std::sync::Arc;

/// Handles requests of monitoring systems and of the platform's load balancer.
pub struct Monitor {
    /// The instance is not ready when the configuration was last known to be current longer ago
    /// than this.
    pub term: Millis,
    /// Membership as published by the gossip duty.
    pub members: Latest<Arc<Members>>,
    /// Replicated state as published by the ledger duty.
    pub ledger_view: Latest<LedgerView>,
    /// Exporter of all metrics of this daemon.
    pub metrics: Metrics,
}

impl Handler for Monitor {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            match (request.method, request.path) {
                ("GET", "/live") => Response::text(200, "live\n"),
                ("GET", "/ready") => self.ready(),
                ("GET", "/metrics") => match self.metrics.text() {
                    Ok(text) => Response::text(200, text),
                    Err(error) => Response::text(500, error.to_string()),
                },
                _ => Response::findings(404, &List::one("path", "is unknown")),
            }
        })
    }
}

impl Monitor {
    fn ready(&self) -> Response {
        let members = Arc::clone(&self.members.borrow());
        match self.ledger_view.borrow().admits_work(&members, self.term, view::now()) {
            Ok(()) => Response::text(200, "ready\n"),
            Err(reason) => Response::json(503, &reason),
        }
    }
}
