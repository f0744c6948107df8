//! A pooled HTTP client that distinguishes calls that were never sent from calls that may have run.
//!
//! A connection that does not answer within the call's timeout is closed and not reused: a device
//! between the two ends may have dropped its state while new connections work.

#[cfg(test)]
mod tests;

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
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Searches for expired connections during one [`Retention::time`].
const EXPIRIES_PER_RETENTION: u32 = 4;

/// Which connections a client keeps open while no call uses them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// Maximum number of idle connections to one address.
    pub connections: usize,
    /// Time after which an idle connection is closed, whether calls are made or not.
    pub time: Millis,
}

impl Default for Retention {
    fn default() -> Self {
        Self { connections: 8, time: Millis::from_secs(20) }
    }
}

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call was not sent, so it did not run.
    #[snafu(display("nothing was sent to {address}: {message}"))]
    Unsent {
        /// Address of the server.
        address: String,
        /// Whether no process accepts connections there.
        is_refused: bool,
        /// Error of the connection.
        message: String,
    },
    /// The call was sent and may have run.
    #[snafu(display("no response from {address}: {message}"))]
    Unknown {
        /// Address of the server.
        address: String,
        /// Error of the connection, or of decoding the response.
        message: String,
    },
    /// The server responded with another status than 200.
    #[snafu(display("{address} responded with status {status}: {message}"))]
    Status {
        /// Address of the server.
        address: String,
        /// HTTP status code.
        status: u16,
        /// Up to 200 characters from the start of the body.
        message: String,
    },
}

/// A call to be made.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Address of the server, as IP address and port.
    pub address: &'a str,
    /// Method, in capitals.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Encoding of `body`.
    pub content: Content,
    /// Encoded body.
    pub body: &'a [u8],
    /// Key for the `Authorization` header, as `name:secret`.
    pub key: Option<&'a str>,
    /// Entity tag of the content that the caller has, for the `If-None-Match` header. The server
    /// responds with 304 if the content is unchanged.
    pub if_none_match: Option<&'a str>,
    /// Further header fields. `Host` replaces the address in the `Host` header.
    pub headers: &'a [(&'static str, &'a str)],
    /// Time limit of the whole call, including connecting.
    pub timeout: Millis,
    /// Whether to open a new connection even if there is an idle one. An idle one is closed in
    /// exchange, so the number of connections never exceeds the peak number of concurrent calls.
    pub new_connection: bool,
}

impl<'a> Call<'a> {
    fn host(&self) -> &'a str {
        let named = self.headers.iter().find(|(name, _)| *name == "Host");
        named.map_or(self.address, |(_, host)| host)
    }

    /// Returns a `POST` call with a MessagePack body.
    pub const fn post(address: &'a str, path: &'a str, body: &'a [u8], timeout: Millis) -> Self {
        Self {
            address,
            method: "POST",
            path,
            content: Content::Pack,
            body,
            key: None,
            if_none_match: None,
            headers: &[],
            timeout,
            new_connection: false,
        }
    }

    /// Returns a `GET` call without a body.
    pub const fn get(address: &'a str, path: &'a str, timeout: Millis) -> Self {
        Self {
            address,
            method: "GET",
            path,
            content: Content::Json,
            body: &[],
            key: None,
            if_none_match: None,
            headers: &[],
            timeout,
            new_connection: false,
        }
    }
}

/// A completely received response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Entity tag from the `ETag` header.
    pub tag: Option<String>,
    /// Encoded body.
    pub body: Bytes,
}

/// A pooled connection.
#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Idle {
    fn is_usable(&self, time: Duration) -> bool {
        self.since.elapsed() < time && self.connection.0.is_ready()
    }
}

/// The process that a caller has found at the other end of a connection, as a number that the caller
/// chooses. A connection leads to the same process for as long as it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer(pub u64);

/// Stands for whichever process answers at an address.
const ANY: Peer = Peer(0);

/// An open connection that no other call uses. It is closed when it is dropped.
#[derive(Debug)]
pub struct Connection(SendRequest<Full<Bytes>>);

/// The pool of one address and peer.
#[derive(Debug)]
struct Pool {
    address: String,
    peer: Peer,
    idle: Vec<Idle>,
}

impl Pool {
    fn key(&self) -> (&str, Peer) {
        (&self.address, self.peer)
    }
}

/// The pools of a client.
#[derive(Debug, Default)]
struct Pools {
    /// Sorted by address and peer.
    list: Vec<Pool>,
    /// Whether a task closes the connections that expire.
    has_expiry: bool,
}

impl Pools {
    /// Closes the connections that have been idle for longer than `time`. Returns whether any are left.
    fn expire(&mut self, time: Duration) -> bool {
        for pool in &mut self.list {
            pool.idle.retain(|idle| idle.is_usable(time));
        }
        self.list.retain(|pool| !pool.idle.is_empty());
        self.has_expiry = !self.list.is_empty();
        self.has_expiry
    }
}

/// An HTTP client with a connection pool. Its connections are driven by the runtime on which they
/// were opened, so a client is meant for one duty, within which it is cheap to share.
#[derive(Debug, Default)]
pub struct Client {
    pools: Arc<Mutex<Pools>>,
    retention: Retention,
    traffic: Arc<Traffic>,
}

impl Client {
    /// Returns a client with an empty pool and its own byte counters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a client whose bytes are added to `traffic`.
    pub fn counted(traffic: Arc<Traffic>) -> Self {
        Self { traffic, ..Self::default() }
    }

    /// Returns a client that keeps idle connections as `retention` says.
    pub fn retaining(retention: Retention) -> Self {
        Self { retention, ..Self::default() }
    }

    /// Returns the counters of this client's connections and bytes.
    pub const fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Makes a call and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] when the call certainly did not run, [`Error::Unknown`] when it may have
    /// run.
    pub async fn call(&self, call: Call<'_>) -> Result<Reply, Error> {
        self.call_checked(call, |_| true).await
    }

    /// As [`Self::call`], but reuses the connection only if `is_expected` accepts the response. A
    /// connection that delivered the response to another call is closed.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub async fn call_checked(
        &self,
        call: Call<'_>,
        is_expected: impl Fn(&Reply) -> bool + Send + Sync,
    ) -> Result<Reply, Error> {
        let deadline = tokio::time::Instant::now() + Duration::from(call.timeout);
        let idle = self.take(call.address, ANY).filter(|_| !call.new_connection);
        let mut connection = match idle {
            Some(connection) => connection,
            None => self.open(call.address, call.timeout).await?,
        };
        let left = Millis::from(deadline.saturating_duration_since(tokio::time::Instant::now()));
        match self.call_on(&mut connection, Call { timeout: left, ..call }).await {
            Ok(reply) => {
                if is_expected(&reply) {
                    self.keep(call.address, ANY, connection);
                }
                Ok(reply)
            }
            Err(Error::Unsent { .. }) if !call.new_connection => {
                let left = deadline.saturating_duration_since(tokio::time::Instant::now());
                let again = Call { new_connection: true, timeout: Millis::from(left), ..call };
                Box::pin(self.call_checked(again, is_expected)).await
            }
            Err(error) => Err(error),
        }
    }

    /// Takes an idle connection to a peer at an address out of the pool.
    pub fn take(&self, address: &str, peer: Peer) -> Option<Connection> {
        let time = self.retention.time.into();
        let mut pools = lock(&self.pools);
        let i = pools.list.binary_search_by(|p| p.key().cmp(&(address, peer))).ok()?;
        let idle = &mut pools.list[i].idle;
        idle.retain(|idle| idle.is_usable(time));
        idle.pop().map(|idle| idle.connection)
    }

    /// Opens a connection to the server at `address` within `timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] when no process accepts the connection in time.
    pub async fn open(&self, address: &str, timeout: Millis) -> Result<Connection, Error> {
        tokio::time::timeout(timeout.into(), self.connect(address))
            .await
            .unwrap_or_else(|_| Err(unsent(address, "timed out while connecting")))
    }

    /// Makes a call on a connection and returns the response, whatever its status.
    ///
    /// # Errors
    ///
    /// As [`Self::call`]. The connection is of no use after an error.
    pub async fn call_on(
        &self,
        connection: &mut Connection,
        call: Call<'_>,
    ) -> Result<Reply, Error> {
        match tokio::time::timeout(call.timeout.into(), exchange(&mut connection.0, call)).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(ExchangeError::Unsent)) => {
                Err(unsent(call.address, "connection closed before the call was sent"))
            }
            Ok(Err(ExchangeError::Unknown(message))) => Err(unknown(call, message)),
            Err(_) => {
                // A device that dropped the state of this connection may have dropped others too.
                self.forget(call.address);
                Err(unknown(call, "timed out while waiting for the response".into()))
            }
        }
    }

    /// Puts a connection to a peer at an address into the pool, unless enough are there.
    pub fn keep(&self, address: &str, peer: Peer, connection: Connection) {
        if connection.0.is_closed() {
            return;
        }
        let mut pools = lock(&self.pools);
        let list = &mut pools.list;
        let i = match list.binary_search_by(|p| p.key().cmp(&(address, peer))) {
            Ok(i) => i,
            Err(i) => {
                list.insert(i, Pool { address: address.into(), peer, idle: Vec::new() });
                i
            }
        };
        if list[i].idle.len() < self.retention.connections {
            list[i].idle.push(Idle { connection, since: Instant::now() });
        }
        if !std::mem::replace(&mut pools.has_expiry, true) {
            tokio::spawn(expire(Arc::downgrade(&self.pools), self.retention.time.into()));
        }
    }

    /// Posts a message and returns the decoded response, both as MessagePack.
    ///
    /// # Errors
    ///
    /// As [`Self::call`], and [`Error::Status`] for a status other than 200. A response that cannot
    /// be decoded is reported as [`Error::Unknown`].
    pub async fn exchange<T: Serialize, R: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
        message: &T,
        timeout: Millis,
    ) -> Result<R, Error> {
        self.exchange_with_key(address, path, message, timeout, None).await
    }

    /// As [`Self::exchange`], authenticated by a key.
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
        let body = codec::pack(message).map_err(|e| unsent(call.address, &e.to_string()))?;
        let reply = self.call(Call { body: &body, key, ..call }).await?;
        if reply.status != 200 {
            let message = String::from_utf8_lossy(&reply.body).chars().take(200).collect();
            let address = address.into();
            return Err(Error::Status { address, status: reply.status, message });
        }
        codec::unpack(&reply.body).map_err(|e| unknown(call, e.to_string()))
    }

    /// Closes the pooled connections to an address.
    pub fn forget(&self, address: &str) {
        lock(&self.pools).list.retain(|pool| pool.address != address);
    }

    async fn connect(&self, address: &str) -> Result<Connection, Error> {
        let stream = TcpStream::connect(address).await.map_err(|e| not_connected(address, &e))?;
        stream.set_nodelay(true).map_err(|e| unsent(address, &e.to_string()))?;
        let stream = Counted::new(stream, Arc::clone(&self.traffic));
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| unsent(address, &e.to_string()))?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%error, "client connection closed with an error");
            }
        });
        Ok(Connection(sender))
    }
}

/// Closes the connections of a client that expire, until none is left or the client is dropped.
async fn expire(pools: Weak<Mutex<Pools>>, time: Duration) {
    loop {
        tokio::time::sleep(time / EXPIRIES_PER_RETENTION).await;
        let Some(pools) = pools.upgrade() else { return };
        if !lock(&pools).expire(time) {
            return;
        }
    }
}

fn lock(pools: &Mutex<Pools>) -> MutexGuard<'_, Pools> {
    pools.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Why an exchange on a connection failed.
enum ExchangeError {
    Unsent,
    Unknown(String),
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    call: Call<'_>,
) -> Result<Reply, ExchangeError> {
    let mut builder = hyper::Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(HOST, call.host())
        .header(CONTENT_TYPE, call.content.media_type());
    if let Some(key) = call.key {
        builder = builder.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    if let Some(tag) = call.if_none_match {
        builder = builder.header(IF_NONE_MATCH, tag);
    }
    for (name, value) in call.headers.iter().filter(|(name, _)| *name != "Host") {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(Full::new(Bytes::copy_from_slice(call.body)))
        .map_err(|e| ExchangeError::Unknown(e.to_string()))?;
    if sender.ready().await.is_err() {
        return Err(ExchangeError::Unsent);
    }
    let response = sender.try_send_request(request).await.map_err(|mut error| {
        // hyper returns the request only if no byte of it was written.
        match error.take_message() {
            Some(_) => ExchangeError::Unsent,
            None => ExchangeError::Unknown(error.into_error().to_string()),
        }
    })?;
    let status = response.status().as_u16();
    let tag = response.headers().get(ETAG).and_then(|v| v.to_str().ok()).map(String::from);
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|e| ExchangeError::Unknown(e.to_string()))?;
    Ok(Reply { status, tag, body: body.to_bytes() })
}

fn unsent(address: &str, message: &str) -> Error {
    Error::Unsent { address: address.into(), is_refused: false, message: message.into() }
}

fn not_connected(address: &str, error: &std::io::Error) -> Error {
    let is_refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
    Error::Unsent { address: address.into(), is_refused, message: error.to_string() }
}

fn unknown(call: Call<'_>, message: String) -> Error {
    Error::Unknown { address: call.address.into(), message }
}
