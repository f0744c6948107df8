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
use snafu::{ResultExt, Snafu};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Why a front can't be had.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Its address can't be bound.
    #[snafu(display("{front}: {address} can't be listened on: {source}"))]
    Bind {
        /// The front.
        front: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// Its listener can't be used.
    #[snafu(display("{front}: the listener can't be used: {source}"))]
    Listener {
        /// The front.
        front: &'static str,
        /// Why.
        source: std::io::Error,
    },
}

/// Binds the address of a front.
///
/// # Errors
///
/// Returns an error that names the front when the address can't be listened on.
pub fn bind(front: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    TcpListener::bind(address).context(BindSnafu { front, address })
}

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
    /// Returns an error that names the front when the listener can't be made non-blocking.
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
