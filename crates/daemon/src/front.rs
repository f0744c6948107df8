//! The HTTP front ends for callers, operators, peers and monitors.
//!
//! Each front is a duty of its own. Handlers only translate: they check and decode a request, ask
//! the duty that decides, and encode its answer.

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
use snafu::{ResultExt, Snafu};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Why a front cannot be started.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The address cannot be bound.
    #[snafu(display("{front}: cannot listen on {address}: {source}"))]
    Bind {
        /// Name of the front.
        front: &'static str,
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The listener cannot be made non-blocking.
    #[snafu(display("{front}: cannot make the listener non-blocking: {source}"))]
    Listener {
        /// Name of the front.
        front: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Binds the address of a front.
///
/// # Errors
///
/// Returns [`Error::Bind`] when the address cannot be bound.
pub fn bind(front: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).context(BindSnafu { front, address })
}

/// A listener with the handler of its requests.
pub struct Front {
    name: &'static str,
    listener: TcpListener,
    limits: Limits,
    traffic: Arc<Traffic>,
    handler: Arc<dyn Handler>,
}

impl Front {
    /// Returns a front on a bound listener. Its bytes are counted in `traffic`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Listener`] when the listener cannot be made non-blocking.
    pub fn new(
        name: &'static str,
        listener: TcpListener,
        limits: Limits,
        traffic: Arc<Traffic>,
        handler: Arc<dyn Handler>,
    ) -> Result<Self, Error> {
        listener.set_nonblocking(true).context(ListenerSnafu { front: name })?;
        Ok(Self { name, listener, limits, traffic, handler })
    }

    /// Returns the address on which the front listens.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
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
                Err(error) => tracing::error!(%error, "cannot register listener with the runtime"),
            }
        })
    }
}

/// Returns the response to a refusal: 400 for invalid input, 409 for other content under the same
/// id, 410 for an expired id, 429 in overload, 503 for anything else that may be retried, and 504
/// when the outcome is unknown.
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
