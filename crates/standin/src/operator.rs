//! The operator port of the stand-ins, as JSON.
//!
//! `POST /faults` with [`Order`] switches a fault; `GET /report` gives the observer's
//! [`Summary`](crate::observer::Summary); `GET /addresses` gives the
//! [`Addresses`](crate::fleet::Addresses).

use crate::fault::Fault;
use crate::fleet::Fleet;
use crate::link::{Outcome, Service};
use pimentovalve_core::finding::List;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Pending, Request, Response};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Connections of the port.
pub const MAX_CONNECTIONS: usize = 16;

/// Asks to switch a fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// `log`, `list`, or the name of a worker or runner.
    pub target: String,
    /// The fault.
    pub fault: Fault,
}

/// The port's service.
pub struct Desk {
    fleet: Arc<Fleet>,
}

impl Desk {
    /// Returns the service for a fleet.
    pub const fn new(fleet: Arc<Fleet>) -> Self {
        Self { fleet }
    }

    fn answer(&self, request: Request<'_>) -> Response {
        match (request.method, request.path) {
            ("GET", "/report") => Response::json(200, &self.fleet.observer.summary()),
            ("GET", "/addresses") => Response::json(200, &self.fleet.addresses()),
            ("POST", "/faults") => match codec::from_json::<Order>(request.body) {
                Ok(order) if self.fleet.switch(&order.target, order.fault) => {
                    Response::json(200, &order)
                }
                Ok(order) => {
                    let message = "there is no such stand-in, or it doesn't know the fault";
                    Response::findings(404, &List::one(order.target, message))
                }
                Err(findings) => Response::findings(400, &findings),
            },
            _ => Response::findings(404, &List::one("path", "is not known")),
        }
    }
}

impl Service for Desk {
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome> {
        Box::pin(std::future::ready(Outcome::Answer(self.answer(request))))
    }
}
