//! HTTP client of the command line, with failover over a list of daemons and retries.

use super::Error;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::request::{Answer, Reason};
use pimentovalve_core::finding::List;
use pimentovalve_wire::caller::Refusal;
use pimentovalve_wire::http::Content;
use pimentovalve_wire::http::client::{self, Call, Reply};
use pimentovalve_wire::http::keys::Keys;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::{Builder, Runtime};

/// Time-out of a call, on top of the time that the call asks the daemon to wait.
pub const CALL_TIMEOUT: Millis = Millis::from_secs(10);

/// Least delay before a refused call is retried.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// When a call that failed at one daemon may be sent to the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failover {
    /// After any failure; for calls that may safely run twice.
    OnAnyFailure,
    /// Only if the call certainly did not run.
    OnlyIfNotRun,
}

/// Client of a list of daemons, which are tried in the order given.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<String>,
    bearer: Option<String>,
    runtime: Runtime,
    http: client::Client,
}

/// Body of an error response to a malformed call.
#[derive(Debug, Deserialize)]
struct Findings {
    findings: List,
}

impl Client {
    /// Returns a client of the daemons at `addresses`, each `IP:PORT`. It authenticates with the
    /// key in the file `key`, if given.
    ///
    /// # Errors
    ///
    /// Returns an error if `addresses` is empty or holds an invalid address, or if the file
    /// doesn't hold exactly one key.
    pub fn new(addresses: &[String], key: Option<&str>) -> Result<Self, Error> {
        if addresses.is_empty() {
            return Err(Error::usage("--daemon ADDR must be given at least once"));
        }
        let mut findings = List::new();
        for address in addresses {
            if address.parse::<SocketAddr>().is_err() {
                let message = format!("must be an IP address and a port, not {address:?}");
                findings.note("--daemon", message);
            }
        }
        if !findings.is_empty() {
            return Err(Error::input("arguments", findings));
        }
        let bearer = key.map(read_key).transpose()?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Error::failed(format!("async runtime can't be started: {e}")))?;
        Ok(Self { addresses: addresses.to_vec(), bearer, runtime, http: client::Client::new() })
    }

    /// Sends a `GET` for `path` and decodes the JSON response.
    ///
    /// # Errors
    ///
    /// As [`Self::call`] and [`decode`].
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let reply = self.call(&Call::get("", path, CALL_TIMEOUT), Failover::OnAnyFailure)?;
        decode(&reply)
    }

    /// Makes a call as [`Self::call`] does. While it is refused as "not run" for a transient
    /// reason, retries it for at most `retry_for`, after the delay that the refusal asks for.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub fn call_with_retries(
        &self,
        call: &Call<'_>,
        failover: Failover,
        retry_for: Duration,
    ) -> Result<Reply, Error> {
        let deadline = Instant::now() + retry_for;
        loop {
            let reply = self.call(call, failover)?;
            let Some((reason, retry_after)) = not_run(&reply) else { return Ok(reply) };
            let delay = Duration::from(retry_after).max(MIN_RETRY_DELAY);
            if !is_transient(&reason) || Instant::now() + delay > deadline {
                return Ok(reply);
            }
            thread::sleep(delay);
        }
    }

    /// Makes a call at one daemon after the other until one responds. A refusal for a reason that
    /// is local to a daemon leads to the next one, and is returned if it is the last. The call's
    /// address is replaced.
    ///
    /// # Errors
    ///
    /// Returns the error of the last daemon tried. With [`Failover::OnlyIfNotRun`], the first
    /// error after which the call may have run is returned and no further daemon is tried.
    pub fn call(&self, call: &Call<'_>, failover: Failover) -> Result<Reply, Error> {
        let mut last = Err(Error::failed("no daemon was tried"));
        for address in &self.addresses {
            let call = Call { address, key: self.bearer.as_deref(), ..*call };
            match self.runtime.block_on(self.http.call(call)) {
                Ok(reply) if is_refused_locally(&reply) => last = Ok(reply),
                Ok(reply) => return Ok(reply),
                Err(error @ client::Error::Unsent { .. }) => {
                    last = Err(Error::failed(error.to_string()));
                }
                Err(error) => {
                    last = Err(Error::failed(format!("{error}; it may have run: query by id")));
                    if failover == Failover::OnlyIfNotRun {
                        break;
                    }
                }
            }
        }
        last
    }

    /// Returns a `POST` without an address, which [`Self::call`] fills in.
    pub const fn post<'a>(
        path: &'a str,
        content: Content,
        body: &'a [u8],
        timeout: Millis,
    ) -> Call<'a> {
        Call { content, ..Call::post("", path, body, timeout) }
    }
}

/// Decodes the JSON body of a response with a 2xx status.
///
/// # Errors
///
/// Returns [`refusal`] for another status, or an error if the body isn't a `T`.
pub fn decode<T: DeserializeOwned>(reply: &Reply) -> Result<T, Error> {
    if !(200..300).contains(&reply.status) {
        return Err(refusal(reply));
    }
    serde_json::from_slice(&reply.body)
        .map_err(|e| Error::failed(format!("daemon's response can't be decoded: {e}")))
}

/// Converts a response with an error status to an error.
pub fn refusal(reply: &Reply) -> Error {
    if let Ok(refusal) = serde_json::from_slice::<Refusal>(&reply.body) {
        return Error::Refused { refusal: Box::new(refusal) };
    }
    match (reply.status, serde_json::from_slice::<Findings>(&reply.body)) {
        (401, _) => Error::failed("operator key missing or wrong; nothing was changed"),
        (404, _) => Error::failed("not found"),
        (400 | 413 | 422, Ok(Findings { findings })) => Error::input("input", findings),
        (status, Ok(Findings { findings })) => {
            Error::failed(format!("status {status}: {findings}"))
        }
        (status, Err(_)) => {
            let text = String::from_utf8_lossy(&reply.body);
            Error::failed(format!("status {status}: {text}"))
        }
    }
}

/// Returns the reason and the retry delay of a response that refuses its call as "not run".
fn not_run(reply: &Reply) -> Option<(Reason, Millis)> {
    if let Ok(Answer::NotRun { reason, retry_after_ms, .. }) = serde_json::from_slice(&reply.body) {
        return Some((reason, retry_after_ms));
    }
    let refusal: Refusal = serde_json::from_slice(&reply.body).ok()?;
    let reason = refusal.reason.filter(|_| refusal.not_run)?;
    Some((reason, refusal.retry_after_ms.unwrap_or_default()))
}

/// Returns whether the call was not run for a reason that is local to this daemon, so that another
/// one may accept it right away.
fn is_refused_locally(reply: &Reply) -> bool {
    let reason = not_run(reply).map(|(reason, _)| reason);
    matches!(reason, Some(Reason::Draining | Reason::Configuration | Reason::Unavailable))
}

/// Returns whether a call that was refused for this reason may succeed later.
const fn is_transient(reason: &Reason) -> bool {
    match reason {
        Reason::Overload
        | Reason::Draining
        | Reason::Ledger
        | Reason::Configuration
        | Reason::Unavailable => true,
        Reason::Mismatch | Reason::Expired | Reason::Deadline => false,
    }
}

fn read_key(path: &str) -> Result<String, Error> {
    let keys = Keys::read(Path::new(path)).map_err(|findings| Error::input(path, findings))?;
    match keys.only() {
        Some(key) => Ok(key.bearer()),
        None => Err(Error::input(path, List::one("file", "must hold exactly one key"))),
    }
}
