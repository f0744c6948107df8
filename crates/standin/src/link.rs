//! Connections to a stand-in, with fault injection: paused process, network partition, silent
//! connections, slow handling and lost answers.
//!
//! Each request is handled in its own async task, which continues when the caller disconnects: a
//! request that arrives during a pause takes effect once the pause ends, as in a frozen process.

use crate::fault::{Fault, FaultInjection};
use hyper::HeaderMap;
use pimentovalve_core::clock::Millis;
use pimentovalve_wire::http::server::{self, Limits};
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use tokio::net::TcpListener;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio_util::sync::CancellationToken;

#[cfg(test)]
mod tests;

/// Most requests that one listener queues or handles at once; the connection of a request beyond
/// that is closed.
const MAX_PENDING: usize = 1024;
/// Header and request timeout; long, so that the server doesn't close a connection that a fault
/// keeps silent.
const IDLE_TIMEOUT: Millis = Millis::from_secs(24 * 60 * 60);
/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// The result of handling a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response is sent.
    Answer(Response),
    /// The connection is closed without a response.
    Lost,
}

/// Handles the requests that arrive on a listener.
pub trait Service: Send + Sync {
    /// Handles a request; it runs to completion even when the caller disconnects.
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome>;

    /// Runs the service's background work, such as timers, for as long as its server runs.
    fn run(&self) -> Pending<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Open,
    Paused,
    Cut,
    Killed,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    /// Connections with a lower number get no answers.
    silent_below: u64,
    delay: Millis,
}

/// The connections of one listener and the faults injected into them.
#[derive(Debug)]
pub struct Link {
    state: watch::Sender<State>,
    limit: usize,
    pending: Arc<Semaphore>,
    next_number: AtomicU64,
    open: AtomicUsize,
    max_open: AtomicUsize,
    refused: AtomicUsize,
}

impl Link {
    /// Returns a link without faults that allows at most `limit` concurrent connections.
    pub fn new(limit: usize) -> Self {
        let state = State { mode: Mode::Open, silent_below: 0, delay: Millis::ZERO };
        Self {
            state: watch::Sender::new(state),
            limit,
            pending: Arc::new(Semaphore::new(MAX_PENDING)),
            next_number: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            max_open: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        }
    }

    /// Freezes the process: requests queue until [`Self::resume`] and are then handled.
    pub fn pause(&self) {
        self.set_mode(Mode::Paused);
    }

    /// Ends a pause.
    pub fn resume(&self) {
        self.set_mode(Mode::Open);
    }

    /// Partitions the process from the network: requests and answers in flight are discarded.
    pub fn cut(&self) {
        self.set_mode(Mode::Cut);
    }

    /// Ends a cut. Connections that lost a request or an answer stay silent.
    pub fn heal(&self) {
        self.set_mode(Mode::Open);
    }

    /// Kills the process: it is unreachable from now on, also after [`Self::heal`].
    pub fn kill(&self) {
        self.set_mode(Mode::Killed);
    }

    fn set_mode(&self, mode: Mode) {
        self.state.send_modify(|s| {
            if s.mode != Mode::Killed {
                s.mode = mode;
            }
        });
    }

    /// Silences the connections that are open now: no request on them is ever answered. New
    /// connections work.
    pub fn silence(&self) {
        let next = self.next_number.load(Ordering::SeqCst);
        self.state.send_modify(|s| s.silent_below = next);
    }

    /// Delays the handling of each request; zero clears the fault.
    pub fn slow(&self, delay: Millis) {
        self.state.send_modify(|s| s.delay = delay);
    }

    /// Returns the number of requests that are queued or in progress.
    pub fn pending(&self) -> usize {
        MAX_PENDING - self.pending.available_permits()
    }

    /// Returns the current number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the highest number of concurrent connections so far.
    pub fn peak_connections(&self) -> usize {
        self.max_open.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that were closed on arrival because of the limit.
    pub fn refused_connections(&self) -> usize {
        self.refused.load(Ordering::SeqCst)
    }

    /// Accepts connections until `stop` is cancelled.
    pub(crate) async fn serve(
        self: Arc<Self>,
        listener: TcpListener,
        service: Arc<dyn Service>,
        stop: CancellationToken,
    ) {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    tracing::warn!(%error, "could not accept a connection to a stand-in");
                    // Without a pause the loop spins while file descriptors are exhausted.
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                }
            };
            let Some(connection) = Connection::open(&self, &service) else { continue };
            let dropped = connection.dropped.clone();
            let limits = Limits {
                request_ms: IDLE_TIMEOUT,
                header_ms: IDLE_TIMEOUT,
                body_bytes: MAX_BODY_BYTES,
                ..Limits::default()
            };
            let stop = stop.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = server::connection(stream, limits, Arc::new(connection), stop) => {}
                    () = dropped.cancelled() => {}
                }
            });
        }
    }

    /// Waits until the process is not paused. Returns whether the network reaches it.
    async fn reachable(&self) -> bool {
        let mut state = self.state.subscribe();
        let state = state.wait_for(|s| s.mode != Mode::Paused).await;
        state.is_ok_and(|s| s.mode == Mode::Open)
    }
}

impl FaultInjection for Link {
    fn inject(&self, fault: Fault) -> bool {
        match fault {
            Fault::Pause => self.pause(),
            Fault::Resume => self.resume(),
            Fault::Cut => self.cut(),
            Fault::Heal => self.heal(),
            Fault::Silence => self.silence(),
            Fault::Slow(delay) => self.slow(delay),
            _ => return false,
        }
        true
    }
}

/// One connection. Its [`Handler`] applies the faults of the link around the service.
struct Connection {
    number: u64,
    link: Arc<Link>,
    service: Arc<dyn Service>,
    dropped: CancellationToken,
    /// Whether a partition discarded a request or an answer; no answer follows on the connection.
    lost_message: Arc<AtomicBool>,
}

impl Connection {
    fn open(link: &Arc<Link>, service: &Arc<dyn Service>) -> Option<Self> {
        let open = link.open.fetch_add(1, Ordering::SeqCst) + 1;
        if open > link.limit {
            link.open.fetch_sub(1, Ordering::SeqCst);
            link.refused.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        link.max_open.fetch_max(open, Ordering::SeqCst);
        Some(Self {
            number: link.next_number.fetch_add(1, Ordering::SeqCst),
            link: Arc::clone(link),
            service: Arc::clone(service),
            dropped: CancellationToken::new(),
            lost_message: Arc::default(),
        })
    }

    fn is_silent(&self) -> bool {
        self.lost_message.load(Ordering::SeqCst)
            || self.number < self.link.state.borrow().silent_below
    }

    /// Handles a request in its own async task, which yields `None` when a partition discards the
    /// request or its answer.
    fn spawn(&self, request: OwnedRequest, permit: OwnedSemaphorePermit) -> RequestTask {
        let link = Arc::clone(&self.link);
        let service = Arc::clone(&self.service);
        let lost_message = Arc::clone(&self.lost_message);
        tokio::spawn(async move {
            let _permit = permit;
            if !link.reachable().await {
                lost_message.store(true, Ordering::SeqCst);
                return None;
            }
            let delay = link.state.borrow().delay;
            if delay > Millis::ZERO {
                tokio::time::sleep(delay.into()).await;
            }
            let outcome = service.serve(request.view()).await;
            if !link.reachable().await {
                lost_message.store(true, Ordering::SeqCst);
                return None;
            }
            Some(outcome)
        })
    }
}

type RequestTask = tokio::task::JoinHandle<Option<Outcome>>;

impl Drop for Connection {
    fn drop(&mut self) {
        self.link.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Connection {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        let request = OwnedRequest::from(request);
        Box::pin(async move {
            if self.is_silent() {
                return std::future::pending().await;
            }
            let Ok(permit) = Arc::clone(&self.link.pending).try_acquire_owned() else {
                self.dropped.cancel();
                return std::future::pending().await;
            };
            let outcome = self.spawn(request, permit).await;
            match outcome {
                Ok(Some(Outcome::Answer(response))) if !self.is_silent() => response,
                Ok(Some(Outcome::Lost)) | Err(_) => {
                    self.dropped.cancel();
                    std::future::pending().await
                }
                Ok(_) => std::future::pending().await,
            }
        })
    }
}

/// An owned copy of a request, so that its handling can outlive the connection.
struct OwnedRequest {
    method: String,
    path: String,
    query: String,
    if_none_match: Option<String>,
    headers: HeaderMap,
    body: Vec<u8>,
}

impl From<Request<'_>> for OwnedRequest {
    fn from(request: Request<'_>) -> Self {
        Self {
            method: request.method.into(),
            path: request.path.into(),
            query: request.query.into(),
            if_none_match: request.if_none_match.map(Into::into),
            headers: request.headers.clone(),
            body: request.body.into(),
        }
    }
}

impl OwnedRequest {
    fn view(&self) -> Request<'_> {
        Request {
            method: &self.method,
            path: &self.path,
            query: &self.query,
            key: None,
            if_none_match: self.if_none_match.as_deref(),
            headers: &self.headers,
            body: &self.body,
        }
    }
}
