//! The front for monitors: liveness, readiness and metrics.

use crate::metrics::Metrics;
use crate::ring::Latest;
use crate::view::{self, Facts, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use std::sync::Arc;

/// Answers monitors and the platform's balancer.
pub struct Monitor {
    /// Longest age of the proof that the configuration is current.
    pub term: Millis,
    /// The instances.
    pub members: Latest<Arc<Members>>,
    /// What the ledger duty publishes.
    pub facts: Latest<Facts>,
    /// The metrics.
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
                _ => Response::findings(404, &List::one("path", "there is nothing here")),
            }
        })
    }
}

impl Monitor {
    fn ready(&self) -> Response {
        let members = Arc::clone(&self.members.borrow());
        match self.facts.borrow().open(&members, self.term, view::now()) {
            Ok(()) => Response::text(200, "ready\n"),
            Err(reason) => Response::json(503, &reason),
        }
    }
}
