//! Calls of the command line to the daemons, one address after the other.

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

/// Longest time for a call that waits for nothing.
pub const CALL_TIMEOUT: Millis = Millis::from_secs(10);

/// Least pause before a refused call is made again.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// What a call may do, which decides when another daemon may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Changes nothing: any failure leads to the next daemon.
    Reads,
    /// Changes something: only what surely did not run leads to the next daemon.
    Changes,
}

/// Calls the first daemon that can be reached.
#[derive(Debug)]
pub struct Client {
    addresses: Vec<String>,
    bearer: Option<String>,
    runtime: Runtime,
    http: client::Client,
}

/// The findings of a daemon on a call that it could not read.
#[derive(Debug, Deserialize)]
struct Findings {
    findings: List,
}

impl Client {
    /// Returns a client of the daemons at `addresses`, each an IP number and a port, that shows
    /// the only key in a file.
    ///
    /// # Errors
    ///
    /// Returns all findings when there is no address, one is wrong, or the file doesn't hold
    /// exactly one key.
    pub fn new(addresses: &[String], key: Option<&str>) -> Result<Self, Error> {
        if addresses.is_empty() {
            return Err(Error::usage("--daemon ADDR must be given at least once"));
        }
        let mut findings = List::new();
        for address in addresses {
            if address.parse::<SocketAddr>().is_err() {
                let message = format!("must be an IP number and a port, not {address:?}");
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
            .map_err(|e| Error::failed(format!("the runtime can't start: {e}")))?;
        Ok(Self { addresses: addresses.to_vec(), bearer, runtime, http: client::Client::new() })
    }

    /// Reads something as JSON.
    ///
    /// # Errors
    ///
    /// Returns why no daemon gave it.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let reply = self.call(&Call::get("", path, CALL_TIMEOUT), Effect::Reads)?;
        decode(&reply)
    }

    /// Makes a call, and makes it again as told while refusals say "not run", at most for
    /// `patience`. The call's address is replaced.
    ///
    /// # Errors
    ///
    /// As [`Self::call`].
    pub fn call_again(
        &self,
        call: &Call<'_>,
        effect: Effect,
        patience: Duration,
    ) -> Result<Reply, Error> {
        let deadline = Instant::now() + patience;
        loop {
            let reply = self.call(call, effect)?;
            let Some((reason, after)) = not_run(&reply) else { return Ok(reply) };
            let pause = Duration::from(after).max(MIN_PAUSE);
            if !passes(&reason) || Instant::now() + pause > deadline {
                return Ok(reply);
            }
            thread::sleep(pause);
        }
    }

    /// Makes a call at one daemon after the other, until one answers with something else than a
    /// refusal that another daemon might not make. The call's address is replaced.
    ///
    /// # Errors
    ///
    /// Returns the last failure; one that may have run ends the tries of [`Effect::Changes`].
    pub fn call(&self, call: &Call<'_>, effect: Effect) -> Result<Reply, Error> {
        let mut last = Err(Error::failed("no daemon was tried"));
        for address in &self.addresses {
            let call = Call { address, key: self.bearer.as_deref(), ..*call };
            match self.runtime.block_on(self.http.call(call)) {
                Ok(reply) if is_elsewhere(&reply) => last = Ok(reply),
                Ok(reply) => return Ok(reply),
                Err(error @ client::Error::Unsent { .. }) => {
                    last = Err(Error::failed(error.to_string()));
                }
                Err(error) => {
                    last = Err(Error::failed(format!("{error}; it may have run: ask by id")));
                    if effect == Effect::Changes {
                        break;
                    }
                }
            }
        }
        last
    }

    /// Returns a `POST` with a body for [`Self::call`].
    pub const fn post<'a>(
        path: &'a str,
        content: Content,
        body: &'a [u8],
        timeout: Millis,
    ) -> Call<'a> {
        Call { content, ..Call::post("", path, body, timeout) }
    }
}

/// Decodes the body of a reply that is not a refusal.
///
/// # Errors
///
/// Returns the refusal, or that the answer isn't what was asked for.
pub fn decode<T: DeserializeOwned>(reply: &Reply) -> Result<T, Error> {
    if !(200..300).contains(&reply.status) {
        return Err(refusal(reply));
    }
    serde_json::from_slice(&reply.body)
        .map_err(|e| Error::failed(format!("the daemon's answer can't be read: {e}")))
}

/// Returns the error that a reply stands for.
pub fn refusal(reply: &Reply) -> Error {
    if let Ok(refusal) = serde_json::from_slice::<Refusal>(&reply.body) {
        return Error::Refused { refusal: Box::new(refusal) };
    }
    match (reply.status, serde_json::from_slice::<Findings>(&reply.body)) {
        (401, _) => Error::failed("the key is missing or wrong; nothing was changed"),
        (404, _) => Error::failed("there is no such thing"),
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

/// Returns why and for how long a job, a patch or a request was refused as "not run", if it was.
fn not_run(reply: &Reply) -> Option<(Reason, Millis)> {
    if let Ok(Answer::NotRun { reason, retry_after_ms, .. }) = serde_json::from_slice(&reply.body) {
        return Some((reason, retry_after_ms));
    }
    let refusal: Refusal = serde_json::from_slice(&reply.body).ok()?;
    let reason = refusal.reason.filter(|_| refusal.not_run)?;
    Some((reason, refusal.retry_after_ms.unwrap_or_default()))
}

/// Returns whether the work did not run for a reason of this daemon, so that another one may take
/// it at once.
fn is_elsewhere(reply: &Reply) -> bool {
    let reason = not_run(reply).map(|(reason, _)| reason);
    matches!(reason, Some(Reason::Draining | Reason::Configuration | Reason::Unavailable))
}

/// Returns whether the reason may have passed when the caller comes back.
const fn passes(reason: &Reason) -> bool {
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
