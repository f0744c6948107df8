//! HTTP interface of the operator port of the stand-ins, in JSON.
//!
//! `POST /faults` with a [`FaultRequest`] injects a fault; `GET /report` returns the observer's
//! [`Summary`](crate::observer::Summary); `GET /addresses` returns the
//! [`Addresses`](crate::fleet::Addresses).

use crate::fault::Fault;
use crate::fleet::Fleet;
use crate::link::{Outcome, Service};
use pimentovalve_core::finding::List;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Pending, Request, Response};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Most concurrent connections of the operator port.
pub const MAX_CONNECTIONS: usize = 16;

/// Body of `POST /faults`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// `log`, `list`, or the name of a worker or runner.
    pub target: String,
    /// Fault to inject; it must be one that the target supports.
    pub fault: Fault,
}

/// Answers requests on the operator port.
pub struct OperatorService {
    fleet: Arc<Fleet>,
}

impl OperatorService {
    /// Returns a service that reports on `fleet` and injects faults into it.
    pub const fn new(fleet: Arc<Fleet>) -> Self {
        Self { fleet }
    }

    fn answer(&self, request: Request<'_>) -> Response {
        match (request.method, request.path) {
            ("GET", "/report") => Response::json(200, &self.fleet.observer.summary()),
            ("GET", "/addresses") => Response::json(200, &self.fleet.addresses()),
            ("POST", "/faults") => match codec::from_json::<FaultRequest>(request.body) {
                Ok(request) if self.fleet.inject(&request.target, request.fault) => {
                    Response::json(200, &request)
                }
                Ok(request) => {
                    let message = "no stand-in of this name supports the fault";
                    Response::findings(404, &List::one(request.target, message))
                }
                Err(findings) => Response::findings(400, &findings),
            },
            _ => Response::findings(404, &List::one("path", "is not known")),
        }
    }
}

impl Service for OperatorService {
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome> {
        Box::pin(std::future::ready(Outcome::Answer(self.answer(request))))
    }
}
