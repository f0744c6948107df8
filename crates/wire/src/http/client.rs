//! A pooled HTTP client that distinguishes calls that were never sent from calls that may have run.
//!
//! A connection that does not answer within the call's timeout is closed and not reused: a device
//! between the two ends may have dropped its state while new connections work.

mod connection;
#[cfg(test)]
mod tests;

use super::Content;
use super::traffic::Traffic;
use crate::codec;
use bytes::Bytes;
use connection::{Connection, ExchangeError};
use pimentovalve_core::clock::Millis;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of pooled connections per address.
const MAX_IDLE: usize = 8;
/// A connection that was idle for longer is not reused.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The call was not sent, so it did not run.
    #[snafu(display("nothing was sent to {address}: {message}"))]
    Unsent {
        /// Address of the server.
        address: String,
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

/// The pool of one address.
#[derive(Debug)]
struct Pool {
    address: String,
    idle: Vec<Idle>,
}

/// The pools of all addresses.
#[derive(Debug)]
struct Pools {
    /// Sorted by address.
    list: Vec<Pool>,
    /// When connections that are not reused any more were last closed.
    swept_at: Instant,
}

impl Default for Pools {
    fn default() -> Self {
        Self { list: Vec::new(), swept_at: Instant::now() }
    }
}

impl Pools {
    fn index(&self, address: &str) -> Result<usize, usize> {
        self.list.binary_search_by(|p| p.address.as_str().cmp(address))
    }

    /// Closes the connections that were idle for too long or that their server has closed.
    fn sweep(&mut self) {
        if self.swept_at.elapsed() < MAX_IDLE_TIME {
            return;
        }
        self.swept_at = Instant::now();
        for pool in &mut self.list {
            pool.idle.retain(Idle::is_usable);
        }
        self.list.retain(|p| !p.idle.is_empty());
    }
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < MAX_IDLE_TIME && self.connection.is_idle()
    }
}

/// An HTTP client with a connection pool. Its connections are driven by the runtime on which they
/// were opened, so a client is meant for one duty, within which it is cheap to share.
#[derive(Debug, Default)]
pub struct Client {
    pools: Mutex<Pools>,
    traffic: Arc<Traffic>,
}

impl Client {
    /// Returns a client with an empty pool and its own byte counters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a client whose bytes are added to `traffic`.
    pub fn counted(traffic: Arc<Traffic>) -> Self {
        Self { pools: Mutex::default(), traffic }
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
        let connecting = tokio::time::timeout_at(deadline, self.connect(call)).await;
        let mut connection = match connecting {
            Ok(connected) => connected?,
            Err(_) => return Err(unsent(call, "timed out while connecting")),
        };
        match tokio::time::timeout_at(deadline, connection.exchange(call)).await {
            Ok(Ok(reply)) => {
                if is_expected(&reply) {
                    self.return_to_pool(call.address, connection);
                }
                Ok(reply)
            }
            Ok(Err(ExchangeError::Unsent)) if !call.new_connection => {
                let left = deadline.saturating_duration_since(tokio::time::Instant::now());
                let again = Call { new_connection: true, timeout: Millis::from(left), ..call };
                Box::pin(self.call_checked(again, is_expected)).await
            }
            Ok(Err(ExchangeError::Unsent)) => {
                Err(unsent(call, "connection closed before the call was sent"))
            }
            Ok(Err(ExchangeError::Unknown(message))) => Err(unknown(call, message)),
            Err(_) => {
                // A device that dropped the state of this connection may have dropped others too.
                self.forget(call.address);
                Err(unknown(call, "timed out while waiting for the response".into()))
            }
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
        let body = codec::pack(message).map_err(|e| unsent(call, &e.to_string()))?;
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
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(i) = pools.index(address) {
            pools.list.remove(i);
        }
    }

    async fn connect(&self, call: Call<'_>) -> Result<Connection, Error> {
        let idle = self.idle(call.address);
        if let Some(connection) = idle.filter(|_| !call.new_connection) {
            return Ok(connection);
        }
        let opened = Connection::open(call.address, Arc::clone(&self.traffic)).await;
        opened.map_err(|e| unsent(call, &e.to_string()))
    }

    fn idle(&self, address: &str) -> Option<Connection> {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let i = pools.index(address).ok()?;
        let idle = &mut pools.list[i].idle;
        idle.retain(Idle::is_usable);
        idle.pop().map(|c| c.connection)
    }

    fn return_to_pool(&self, address: &str, connection: Connection) {
        if !connection.can_be_reused() {
            return;
        }
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        pools.sweep();
        let i = match pools.index(address) {
            Ok(i) => i,
            Err(i) => {
                pools.list.insert(i, Pool { address: address.into(), idle: Vec::new() });
                i
            }
        };
        let idle = &mut pools.list[i].idle;
        if idle.len() < MAX_IDLE {
            idle.push(Idle { connection, since: Instant::now() });
        }
    }
}

fn unsent(call: Call<'_>, message: &str) -> Error {
    Error::Unsent { address: call.address.into(), message: message.into() }
}

fn unknown(call: Call<'_>, message: String) -> Error {
    Error::Unknown { address: call.address.into(), message }
}
