//! The fronts: what callers, operators, peers and monitors reach over HTTP.
//!
//! Each front is a duty of its own. Handlers only translate: they check and decode, ask the duty
//! that decides, and encode what it says.

pub mod caller;
pub mod monitor;
pub mod operator;
pub mod peer;

use crate::duty::Duty;
use pimentovalve_core::contract::request::Reason;
use pimentovalve_core::contract::status::Refusal;
use pimentovalve_wire::http::server::{self, Limits};
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::http::{Handler, Pending, Response};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// A front: a listener and who answers there.
pub struct Front {
    name: &'static str,
    listener: TcpListener,
    limits: Limits,
    traffic: Arc<Traffic>,
    handler: Arc<dyn Handler>,
}

impl Front {
    /// Returns a front on a bound listener.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error when the listener can't be made non-blocking.
    pub fn new(
        name: &'static str,
        listener: TcpListener,
        limits: Limits,
        traffic: Arc<Traffic>,
        handler: Arc<dyn Handler>,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        Ok(Self { name, listener, limits, traffic, handler })
    }

    /// Returns the address on which the front listens.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl Duty for Front {
    fn name(&self) -> &'static str {
        self.name
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            match tokio::net::TcpListener::from_std(self.listener) {
                Ok(listener) => {
                    let Self { limits, traffic, handler, .. } = *self;
                    server::serve(listener, limits, traffic, handler, stop).await;
                }
                Err(error) => tracing::error!(%error, "a listener could not be used"),
            }
        })
    }
}

/// Returns the response to a refusal: 400 for wrong input, 409 for another content under the same
/// id, 503 for anything that may be tried again, 504 when the outcome isn't known.
fn refused(refusal: &Refusal) -> Response {
    let status = match (&refusal.reason, refusal.not_run) {
        (_, false) => 504,
        (None, true) => 400,
        (Some(Reason::Mismatch), true) => 409,
        (Some(Reason::Expired), true) => 410,
        (Some(Reason::Overload), true) => 429,
        (Some(_), true) => 503,
    };
    Response { retry_after: refusal.retry_after_ms, ..Response::json(status, refusal) }
}
