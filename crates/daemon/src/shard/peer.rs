//! What daemons do for each other: ask the advisor, which serves each daemon by itself.

use super::advice::PATH;
use super::border::Advisor;
use pimentovalve_core::contract::owner::advice::Question;
use pimentovalve_core::finding::List;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use std::sync::Arc;

/// Answers peers.
pub struct Peer {
    /// The advisor.
    pub advisor: Arc<dyn Advisor>,
}

impl Handler for Peer {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            if request.path != PATH {
                return Response::findings(404, &List::one("path", "is not known"));
            }
            match codec::unpack::<Question>(request.body) {
                Ok(question) => Response::pack(200, &self.advisor.ask(&question).await),
                Err(findings) => Response::findings(400, &findings),
            }
        })
    }
}
