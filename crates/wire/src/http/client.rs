//! A pooled HTTP client that tells "never sent" from "may have run".
//!
//! A connection that does not answer within the call's time is dropped and never used again:
//! something between the two ends may have lost track of it while new connections work.

use super::Content;
use super::traffic::{Counted, Traffic};
use crate::codec;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, ETAG, HOST, IF_NONE_MATCH};
use hyper_util::rt::TokioIo;
use pimentovalve_core::clock::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Greatest size of a response's body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Idle connections that are kept for one address.
const MAX_IDLE: usize = 8;
/// A connection that was idle for longer is not used again.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Why there is no response.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Nothing reached the other end; the call did not run.
    #[snafu(display("nothing was sent to {address}: {message}"))]
    Unsent {
        /// The other end.
        address: String,
        /// Why.
        message: String,
    },
    /// The call may have run.
    #[snafu(display("no answer came from {address}: {message}"))]
    Unknown {
        /// The other end.
        address: String,
        /// Why.
        message: String,
    },
    /// The other end answered, but not with what was asked for.
    #[snafu(display("{address} answered {status}: {message}"))]
    Status {
        /// The other end.
        address: String,
        /// The status code.
        status: u16,
        /// The start of the body.
        message: String,
    },
}

/// One call.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Socket address, IP number and port.
    pub address: &'a str,
    /// Method, in capitals.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// How the body is encoded.
    pub content: Content,
    /// Body.
    pub body: &'a [u8],
    /// Name and secret of the key to show, as `name:secret`.
    pub key: Option<&'a str>,
    /// Tag of the content that the caller has; 304 answers that it is still that.
    pub unless: Option<&'a str>,
    /// Further header fields; `Host` takes the place of the address.
    pub headers: &'a [(&'static str, &'a str)],
    /// Longest time for the whole call.
    pub timeout: Millis,
    /// Whether to open a new connection even if there is an idle one. An idle one is closed for
    /// it, so that there are never more connections than there were calls at once.
    pub fresh: bool,
}

impl<'a> Call<'a> {
    fn host(&self) -> &'a str {
        let named = self.headers.iter().find(|(name, _)| *name == "Host");
        named.map_or(self.address, |(_, host)| host)
    }

    /// Returns a `POST` of a MessagePack body.
    pub const fn post(address: &'a str, path: &'a str, body: &'a [u8], timeout: Millis) -> Self {
        Self {
            address,
            method: "POST",
            path,
            content: Content::Pack,
            body,
            key: None,
            unless: None,
            headers: &[],
            timeout,
            fresh: false,
        }
    }

    /// Returns a `GET`.
    pub const fn get(address: &'a str, path: &'a str, timeout: Millis) -> Self {
        Self {
            address,
            method: "GET",
            path,
            content: Content::Json,
            body: &[],
            key: None,
            unless: None,
            headers: &[],
            timeout,
            fresh: false,
        }
    }
}

/// A whole response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Tag of the content.
    pub tag: Option<String>,
    /// Body.
    pub body: Bytes,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

#[derive(Debug)]
struct Host {
    address: String,
    idle: Vec<Idle>,
}

/// The client. Cheap to share within a duty; its connections live on that duty's runtime.
#[derive(Debug, Default)]
pub struct Client {
    /// Sorted by address.
    hosts: Mutex<Vec<Host>>,
    traffic: Arc<Traffic>,
}

impl Client {
    /// Returns a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a client whose bytes are counted.
    pub const fn counted(traffic: Arc<Traffic>) -> Self {
        Self { hosts: Mutex::new(Vec::new()), traffic }
    }

    /// Makes a call and returns whatever status came.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] when the call certainly did not run, [`Error::Unknown`] when it may have.
    pub async fn call(&self, call: Call<'_>) -> Result<Reply, Error> {
        self.call_checked(call, |_| true).await
    }

    /// As [`Self::call`]. The connection is used again only if `is_own` says that the response
    /// belongs to this call: one that delivers the response to another call is closed.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn call_checked(
        &self,
        call: Call<'_>,
        is_own: impl Fn(&Reply) -> bool + Send + Sync,
    ) -> Result<Reply, Error> {
        let deadline = tokio::time::Instant::now() + Duration::from(call.timeout);
        let connecting = tokio::time::timeout_at(deadline, self.connect(call)).await;
        let mut sender = match connecting {
            Ok(connected) => connected?,
            Err(_) => return Err(unsent(call, "connecting took too long")),
        };
        match tokio::time::timeout_at(deadline, exchange(&mut sender, call)).await {
            Ok(Ok(reply)) => {
                if is_own(&reply) {
                    self.keep(call.address, sender);
                }
                Ok(reply)
            }
            Ok(Err(Failure::Unsent)) if !call.fresh => {
                let left = deadline.saturating_duration_since(tokio::time::Instant::now());
                let again = Call { fresh: true, timeout: Millis::from(left), ..call };
                Box::pin(self.call_checked(again, is_own)).await
            }
            Ok(Err(Failure::Unsent)) => Err(unsent(call, "the connection closed before use")),
            Ok(Err(Failure::Unknown(message))) => Err(unknown(call, message)),
            Err(_) => {
                // What lost track of this connection may have lost track of the others too.
                self.forget(call.address);
                Err(unknown(call, "the answer took too long".into()))
            }
        }
    }

    /// Posts a MessagePack message and decodes the MessagePack answer.
    ///
    /// # Errors
    ///
    /// As [`Self::call`], and [`Error::Status`] for a status other than 200. An answer that can't
    /// be decoded counts as [`Error::Unknown`].
    pub async fn exchange<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &T,
        timeout: Millis,
    ) -> Result<R, Error> {
        self.exchange_with_key(address, path, message, timeout, None).await
    }

    /// As [`Self::exchange`], showing a key.
    ///
    /// # Errors
    ///
    /// As [`Self::exchange`].
    pub async fn exchange_with_key<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &T,
        timeout: Millis,
        key: Option<&str>,
    ) -> Result<R, Error> {
        let call = Call::post(address, path, &[], timeout);
        let body = codec::pack(message).map_err(|e| unsent(call, &e.to_string()))?;
        let reply = self.call(Call { body: &body, key, ..call }).await?;
        if reply.status != 200 {
            let message = String::from_utf8_lossy(&reply.body).chars().take(200).collect();
            let address = address.into();
            return Err(Error::Status { address, status: reply.status, message });
        }
        codec::unpack(&reply.body).map_err(|e| unknown(call, e.to_string()))
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: &str) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = hosts.binary_search_by(|h| h.address.as_str().cmp(address)) {
            hosts.remove(i);
        }
    }

    async fn connect(&self, call: Call<'_>) -> Result<SendRequest<Full<Bytes>>, Error> {
        let idle = self.idle(call.address);
        if let Some(sender) = idle.filter(|_| !call.fresh) {
            return Ok(sender);
        }
        let stream =
            TcpStream::connect(call.address).await.map_err(|e| unsent(call, &e.to_string()))?;
        stream.set_nodelay(true).map_err(|e| unsent(call, &e.to_string()))?;
        let stream = Counted::new(stream, Arc::clone(&self.traffic));
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| unsent(call, &e.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "a client connection ended early");
            }
        });
        Ok(sender)
    }

    fn idle(&self, address: &str) -> Option<SendRequest<Full<Bytes>>> {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let i = hosts.binary_search_by(|h| h.address.as_str().cmp(address)).ok()?;
        let idle = &mut hosts[i].idle;
        idle.retain(|c| c.since.elapsed() < MAX_IDLE_TIME && c.sender.is_ready());
        idle.pop().map(|c| c.sender)
    }

    fn keep(&self, address: &str, sender: SendRequest<Full<Bytes>>) {
        if sender.is_closed() {
            return;
        }
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let i = match hosts.binary_search_by(|h| h.address.as_str().cmp(address)) {
            Ok(i) => i,
            Err(i) => {
                hosts.insert(i, Host { address: address.into(), idle: Vec::new() });
                i
            }
        };
        if hosts[i].idle.len() < MAX_IDLE {
            hosts[i].idle.push(Idle { sender, since: Instant::now() });
        }
    }
}

enum Failure {
    Unsent,
    Unknown(String),
}

async fn exchange(sender: &mut SendRequest<Full<Bytes>>, call: Call<'_>) -> Result<Reply, Failure> {
    let mut builder = hyper::Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(HOST, call.host())
        .header(CONTENT_TYPE, call.content.media_type());
    if let Some(key) = call.key {
        builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    if let Some(tag) = call.unless {
        builder = builder.header(IF_NONE_MATCH, tag);
    }
    for (name, value) in call.headers.iter().filter(|(name, _)| *name != "Host") {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(Full::new(Bytes::copy_from_slice(call.body)))
        .map_err(|e| Failure::Unknown(e.to_string()))?;
    if sender.ready().await.is_err() {
        return Err(Failure::Unsent);
    }
    let response = sender.try_send_request(request).await.map_err(|mut error| {
        // The request comes back only when no byte of it was written.
        match error.take_message() {
            Some(_) => Failure::Unsent,
            None => Failure::Unknown(error.into_error().to_string()),
        }
    })?;
    let status = response.status().as_u16();
    let tag = response.headers().get(ETAG).and_then(|v| v.to_str().ok()).map(String::from);
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|e| Failure::Unknown(e.to_string()))?;
    Ok(Reply { status, tag, body: body.to_bytes() })
}

fn unsent(call: Call<'_>, message: &str) -> Error {
    Error::Unsent { address: call.address.into(), message: message.into() }
}

fn unknown(call: Call<'_>, message: String) -> Error {
    Error::Unknown { address: call.address.into(), message }
}
