//! Connections to a stand-in and what goes wrong on them: pauses, cuts, silence, slowness and
//! answers that never arrive.
//!
//! Each request is handled in a task of its own, which goes on when its caller has gone: a
//! request that was held by a pause takes effect after it, as it would in a frozen process.

use crate::fault::{Fault, Switch};
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

/// Requests that one listener holds at once; further ones lose their connection.
const MAX_PENDING: usize = 1024;
/// Longest time for which a silent connection is kept.
const SILENCE: Millis = Millis::from_secs(24 * 60 * 60);
/// Greatest body of a request, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is answered.
    Answer(Response),
    /// The connection is dropped without an answer.
    Lost,
}

/// What serves a listener.
pub trait Service: Send + Sync {
    /// Handles a request.
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome>;

    /// Does the service's own work, which no request causes.
    fn run(&self) -> Pending<'_, ()> {
        Box::pin(std::future::ready(()))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    Open,
    Paused,
    Cut,
    Dead,
}

#[derive(Clone, Copy, Debug)]
struct State {
    mode: Mode,
    /// Connections with a lower number are silent.
    silent_below: u64,
    delay: Millis,
}

/// The connections of one listener, with their faults.
#[derive(Debug)]
pub struct Link {
    state: watch::Sender<State>,
    limit: usize,
    pending: Arc<Semaphore>,
    next: AtomicU64,
    open: AtomicUsize,
    most: AtomicUsize,
    refused: AtomicUsize,
}

impl Link {
    /// Returns a link without faults that keeps at most `limit` connections open.
    pub fn new(limit: usize) -> Self {
        let state = State { mode: Mode::Open, silent_below: 0, delay: Millis::ZERO };
        Self {
            state: watch::Sender::new(state),
            limit,
            pending: Arc::new(Semaphore::new(MAX_PENDING)),
            next: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            most: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        }
    }

    /// Freezes the process: requests are held until [`Self::resume`], then handled.
    pub fn pause(&self) {
        self.set(Mode::Paused);
    }

    /// Ends a pause.
    pub fn resume(&self) {
        self.set(Mode::Open);
    }

    /// Cuts the process off: requests are swallowed and answers in flight get lost.
    pub fn cut(&self) {
        self.set(Mode::Cut);
    }

    /// Ends a cut. Connections that lost a request or an answer stay silent.
    pub fn heal(&self) {
        self.set(Mode::Open);
    }

    /// Kills the process: it is cut off for good.
    pub fn kill(&self) {
        self.set(Mode::Dead);
    }

    fn set(&self, mode: Mode) {
        self.state.send_modify(|s| {
            if s.mode != Mode::Dead {
                s.mode = mode;
            }
        });
    }

    /// Makes the open connections silent for good; new ones work.
    pub fn silence(&self) {
        let next = self.next.load(Ordering::SeqCst);
        self.state.send_modify(|s| s.silent_below = next);
    }

    /// Delays the handling of each request.
    pub fn slow(&self, delay: Millis) {
        self.state.send_modify(|s| s.delay = delay);
    }

    /// Returns the number of requests that are held or handled now.
    pub fn pending(&self) -> usize {
        MAX_PENDING - self.pending.available_permits()
    }

    /// Returns the number of connections open now.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the greatest number of connections that were open at once.
    pub fn most(&self) -> usize {
        self.most.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that were closed at once because of the limit.
    pub fn refused(&self) -> usize {
        self.refused.load(Ordering::SeqCst)
    }

    /// Accepts connections until `stop`.
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
                    tracing::warn!(%error, "a stand-in could not accept a connection");
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                }
            };
            let Some(connection) = Connection::open(&self, &service) else { continue };
            let dropped = connection.dropped.clone();
            let limits = Limits {
                request_ms: SILENCE,
                header_ms: SILENCE,
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

    /// Waits while the process is paused. Returns whether it can be reached.
    async fn ready(&self) -> bool {
        let mut state = self.state.subscribe();
        let state = state.wait_for(|s| s.mode != Mode::Paused).await;
        state.is_ok_and(|s| s.mode == Mode::Open)
    }
}

impl Switch for Link {
    fn switch(&self, fault: Fault) -> bool {
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

/// One connection; as a handler it applies the link's faults to the service.
struct Connection {
    number: u64,
    link: Arc<Link>,
    service: Arc<dyn Service>,
    dropped: CancellationToken,
    /// Whether a request or an answer got lost on it.
    muted: Arc<AtomicBool>,
}

impl Connection {
    fn open(link: &Arc<Link>, service: &Arc<dyn Service>) -> Option<Self> {
        let open = link.open.fetch_add(1, Ordering::SeqCst) + 1;
        if open > link.limit {
            link.open.fetch_sub(1, Ordering::SeqCst);
            link.refused.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        link.most.fetch_max(open, Ordering::SeqCst);
        Some(Self {
            number: link.next.fetch_add(1, Ordering::SeqCst),
            link: Arc::clone(link),
            service: Arc::clone(service),
            dropped: CancellationToken::new(),
            muted: Arc::default(),
        })
    }

    fn is_silent(&self) -> bool {
        self.muted.load(Ordering::SeqCst) || self.number < self.link.state.borrow().silent_below
    }

    /// Handles a request apart from its caller. Returns `None` when its answer can't arrive.
    fn start(&self, request: Owned, permit: OwnedSemaphorePermit) -> Work {
        let link = Arc::clone(&self.link);
        let service = Arc::clone(&self.service);
        let muted = Arc::clone(&self.muted);
        tokio::spawn(async move {
            let _permit = permit;
            if !link.ready().await {
                muted.store(true, Ordering::SeqCst);
                return None;
            }
            let delay = link.state.borrow().delay;
            if delay > Millis::ZERO {
                tokio::time::sleep(delay.into()).await;
            }
            let outcome = service.serve(request.view()).await;
            if !link.ready().await {
                muted.store(true, Ordering::SeqCst);
                return None;
            }
            Some(outcome)
        })
    }
}

type Work = tokio::task::JoinHandle<Option<Outcome>>;

impl Drop for Connection {
    fn drop(&mut self) {
        self.link.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Handler for Connection {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        let request = Owned::from(request);
        Box::pin(async move {
            if self.is_silent() {
                return std::future::pending().await;
            }
            let Ok(permit) = Arc::clone(&self.link.pending).try_acquire_owned() else {
                self.dropped.cancel();
                return std::future::pending().await;
            };
            let outcome = self.start(request, permit).await;
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

/// A request that outlives its connection.
struct Owned {
    method: String,
    path: String,
    query: String,
    unless: Option<String>,
    headers: HeaderMap,
    body: Vec<u8>,
}

impl From<Request<'_>> for Owned {
    fn from(request: Request<'_>) -> Self {
        Self {
            method: request.method.into(),
            path: request.path.into(),
            query: request.query.into(),
            unless: request.unless.map(Into::into),
            headers: request.headers.clone(),
            body: request.body.into(),
        }
    }
}

impl Owned {
    fn view(&self) -> Request<'_> {
        Request {
            method: &self.method,
            path: &self.path,
            query: &self.query,
            key: None,
            unless: self.unless.as_deref(),
            headers: &self.headers,
            body: &self.body,
        }
    }
}
