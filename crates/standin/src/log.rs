//! Stand-in of the append-only log service: streams of opaque entries addressed by offset, atomic
//! group appends, long-polling reads, limited retention and injected faults.

use crate::fault::{Fault, FaultInjection};
use crate::link::{Outcome, Service};
use crate::server::{Port, Server};
use crate::{clock, lock};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_core::ledger::Offset;
use pimentovalve_core::name::Name;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Pending, Request, Response};
use pimentovalve_wire::log::{Append, Appended, Chunk, Gone, Read};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use serde_bytes::ByteBuf;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// Most concurrent connections of one listener.
const MAX_CONNECTIONS: usize = 1024;
/// Most bytes of entries in one answer; a single larger entry is still returned.
const MAX_CHUNK_BYTES: usize = 4 * 1024 * 1024;
/// Upper bound on the time for which a read waits for entries.
const MAX_READ_WAIT: Millis = Millis::from_secs(60);

/// Retention of a stream; an entry is deleted when either bound is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Retention {
    /// Most entries that a stream keeps.
    pub entries: usize,
    /// Age beyond which an entry is deleted.
    pub age_ms: Millis,
}

impl Default for Retention {
    fn default() -> Self {
        Self { entries: 100_000, age_ms: Millis::from_secs(24 * 60 * 60) }
    }
}

/// Operation counters since the start of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Appends that took effect, each a group of entries.
    pub appends: u64,
    /// Entries that were appended.
    pub entries: u64,
    /// Reads that were answered with a chunk, also with an empty one.
    pub reads: u64,
    /// Bytes of the entries that were appended.
    pub bytes_in: u64,
    /// Bytes of the entries that were returned to readers.
    pub bytes_out: u64,
}

struct Stream {
    name: Name,
    /// Offset of the first retained entry.
    horizon: Offset,
    /// Entries with the time of their append.
    entries: VecDeque<(Millis, ByteBuf)>,
    appended: Arc<Notify>,
}

impl Stream {
    fn end(&self) -> Offset {
        self.horizon + self.entries.len() as u64
    }

    /// Deletes the entries that exceed the retention.
    fn expire(&mut self, retention: Retention, now: Millis) {
        while self.entries.len() > retention.entries
            || self.entries.front().is_some_and(|(at, _)| now.since(*at) > retention.age_ms)
        {
            self.entries.pop_front();
            self.horizon += 1;
        }
    }

    fn chunk(&self, read: Read) -> Chunk {
        let skip = usize::try_from(read.from.saturating_sub(self.horizon)).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let entries = self
            .entries
            .iter()
            .skip(skip)
            .take(read.max as usize)
            .take_while(|(_, entry)| {
                let first = bytes == 0;
                bytes += entry.len();
                first || bytes <= MAX_CHUNK_BYTES
            })
            .map(|(_, entry)| entry.clone())
            .collect();
        Chunk { entries, end: self.end(), horizon: self.horizon }
    }
}

struct State {
    /// Sorted by name.
    streams: Vec<Stream>,
    counters: Counters,
    retention: Retention,
    outage: bool,
    /// Appends that are still to take effect without an answer.
    answers_to_lose: u32,
    /// Share of the other appends that take effect without an answer, in percent.
    loss_percent: u8,
    loss_rng: ChaCha8Rng,
    /// Appends that are still to be delayed by `append_delay`.
    appends_to_delay: u32,
    append_delay: Millis,
}

impl State {
    /// Returns the named stream, created if it is new, with its expired entries deleted.
    fn stream(&mut self, name: &Name, now: Millis) -> &mut Stream {
        let i = match self.streams.binary_search_by(|s| s.name.cmp(name)) {
            Ok(i) => i,
            Err(i) => {
                let (entries, appended) = (VecDeque::new(), Arc::default());
                let stream = Stream { name: name.clone(), horizon: 0, entries, appended };
                self.streams.insert(i, stream);
                i
            }
        };
        let stream = &mut self.streams[i];
        stream.expire(self.retention, now);
        stream
    }

    fn append(&mut self, name: &Name, entries: Vec<ByteBuf>, now: Millis) -> Offset {
        self.counters.appends += 1;
        self.counters.entries += entries.len() as u64;
        self.counters.bytes_in += entries.iter().map(|e| e.len() as u64).sum::<u64>();
        let retention = self.retention;
        let stream = self.stream(name, now);
        let first = stream.end();
        stream.entries.extend(entries.into_iter().map(|entry| (now, entry)));
        stream.expire(retention, now);
        stream.appended.notify_waiters();
        first
    }

    fn loses_answer(&mut self) -> bool {
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return true;
        }
        self.loss_percent > 0 && self.loss_rng.random_range(0..100) < self.loss_percent
    }
}

/// The log service. It runs until its server stops; clones share one service.
#[derive(Clone)]
pub struct Log {
    state: Arc<Mutex<State>>,
    listener: Listener,
}

impl Log {
    /// Starts the service on `address`.
    ///
    /// # Errors
    ///
    /// As [`Server::listen`].
    pub fn start(server: &Server, address: SocketAddr, retention: Retention) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            streams: Vec::new(),
            counters: Counters::default(),
            retention,
            outage: false,
            answers_to_lose: 0,
            loss_percent: 0,
            loss_rng: ChaCha8Rng::seed_from_u64(0),
            appends_to_delay: 0,
            append_delay: Millis::ZERO,
        }));
        let listener = Listener::open(server, address, &state)?;
        Ok(Self { state, listener })
    }

    /// Returns the address of the main listener.
    pub fn address(&self) -> SocketAddr {
        self.listener.port.address
    }

    /// Opens another listener with its own outages and link faults, for example to isolate the
    /// clients of one region.
    ///
    /// # Errors
    ///
    /// As [`Server::listen`].
    pub fn listener(&self, server: &Server, address: SocketAddr) -> io::Result<Listener> {
        Listener::open(server, address, &self.state)
    }

    /// Starts or ends an outage for all clients; waiting reads fail immediately.
    pub fn set_outage(&self, on: bool) {
        let mut state = lock(&self.state);
        state.outage = on;
        wake_readers(&state);
    }

    /// Makes the next `count` appends take effect without an answer.
    pub fn lose_answers(&self, count: u32) {
        lock(&self.state).answers_to_lose = count;
    }

    /// Makes a random share of the appends, in percent, take effect without an answer. The same
    /// `seed` selects the same appends.
    pub fn lose_share(&self, percent: u8, seed: u64) {
        let mut state = lock(&self.state);
        state.loss_percent = percent;
        state.loss_rng = ChaCha8Rng::seed_from_u64(seed);
    }

    /// Makes the next `count` appends get no answer and take effect after the delay `by`.
    pub fn delay_landing(&self, count: u32, by: Millis) {
        let mut state = lock(&self.state);
        state.appends_to_delay = count;
        state.append_delay = by;
    }

    /// Changes the retention; it is applied to a stream on its next access.
    pub fn set_retention(&self, retention: Retention) {
        lock(&self.state).retention = retention;
    }

    /// Returns the operation counters.
    pub fn counters(&self) -> Counters {
        lock(&self.state).counters
    }

    /// Appends one entry directly, without faults, as a client other than the daemons under test.
    pub fn append(&self, stream: &Name, entry: &[u8]) -> Offset {
        lock(&self.state).append(stream, vec![ByteBuf::from(entry)], clock::now())
    }

    /// Returns the offset of the first retained entry of a stream and all retained entries.
    pub fn entries(&self, stream: &Name) -> (Offset, Vec<ByteBuf>) {
        let mut state = lock(&self.state);
        let stream = state.stream(stream, clock::now());
        (stream.horizon, stream.entries.iter().map(|(_, entry)| entry.clone()).collect())
    }
}

impl FaultInjection for Log {
    fn inject(&self, fault: Fault) -> bool {
        match fault {
            Fault::Outage(on) => self.set_outage(on),
            Fault::LoseAnswers(count) => self.lose_answers(count),
            Fault::LoseShare { percent, seed } => self.lose_share(percent, seed),
            Fault::DelayLanding { count, by_ms } => self.delay_landing(count, by_ms),
            _ => return self.listener.port.link.inject(fault),
        }
        true
    }
}

fn wake_readers(state: &State) {
    for stream in &state.streams {
        stream.appended.notify_waiters();
    }
}

/// One listener of the service, with its own outage and link faults.
#[derive(Clone)]
pub struct Listener {
    /// Address of the listener and its link.
    pub port: Port,
    service: Arc<LogService>,
}

impl Listener {
    fn open(server: &Server, address: SocketAddr, state: &Arc<Mutex<State>>) -> io::Result<Self> {
        let service =
            Arc::new(LogService { state: Arc::clone(state), outage: AtomicBool::new(false) });
        let dyn_service: Arc<dyn Service> = Arc::<LogService>::clone(&service);
        Ok(Self { port: server.listen(address, MAX_CONNECTIONS, dyn_service)?, service })
    }

    /// Starts or ends an outage for the clients of this listener; their waiting reads fail
    /// immediately.
    pub fn set_outage(&self, on: bool) {
        self.service.outage.store(on, Ordering::SeqCst);
        wake_readers(&lock(&self.service.state));
    }
}

struct LogService {
    state: Arc<Mutex<State>>,
    outage: AtomicBool,
}

impl LogService {
    fn has_outage(&self) -> bool {
        self.outage.load(Ordering::SeqCst) || lock(&self.state).outage
    }

    fn append(&self, stream: &Name, append: Append) -> Outcome {
        let mut state = lock(&self.state);
        if state.appends_to_delay > 0 {
            state.appends_to_delay -= 1;
            let (by, stream) = (state.append_delay, stream.clone());
            let shared = Arc::clone(&self.state);
            tokio::spawn(async move {
                tokio::time::sleep(by.into()).await;
                lock(&shared).append(&stream, append.entries, clock::now());
            });
            return Outcome::Lost;
        }
        let first = state.append(stream, append.entries, clock::now());
        if state.loses_answer() {
            return Outcome::Lost;
        }
        Outcome::Answer(Response::pack(200, &Appended { first }))
    }

    async fn read(&self, stream: &Name, read: Read) -> Response {
        let deadline = Instant::now() + read.wait_ms.min(MAX_READ_WAIT).into();
        loop {
            let appended = Arc::clone(&lock(&self.state).stream(stream, clock::now()).appended);
            let changed = appended.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.has_outage() {
                return outage_response();
            }
            let now = Instant::now();
            if let Some(response) = self.read_now(stream, read, now >= deadline) {
                return response;
            }
            // The next iteration tells an append from a timeout.
            drop(tokio::time::timeout_at(deadline, changed).await);
        }
    }

    /// Returns the answer to a read, or `None` when there is no entry yet and this isn't the
    /// `last` try.
    fn read_now(&self, stream: &Name, read: Read, last: bool) -> Option<Response> {
        let mut state = lock(&self.state);
        let stream = state.stream(stream, clock::now());
        if read.from < stream.horizon {
            return Some(Response::pack(410, &Gone { horizon: stream.horizon }));
        }
        let chunk = stream.chunk(read);
        if chunk.entries.is_empty() && !last {
            return None;
        }
        state.counters.reads += 1;
        state.counters.bytes_out += chunk.entries.iter().map(|e| e.len() as u64).sum::<u64>();
        Some(Response::pack(200, &chunk))
    }

    async fn route(&self, request: Request<'_>) -> Result<Outcome, Response> {
        let segments = request.segments();
        let stream = match segments.as_slice() {
            ["streams", stream, ..] if request.method == "POST" => stream,
            _ => return Err(Response::findings(404, &List::one("path", "is not known"))),
        };
        if self.has_outage() {
            return Err(outage_response());
        }
        let bad = |findings: List| Response::findings(400, &findings);
        let stream = Name::try_from(*stream).map_err(bad)?;
        match segments[2..] {
            [] => Ok(self.append(&stream, codec::unpack(request.body).map_err(bad)?)),
            ["read"] => {
                let read = codec::unpack(request.body).map_err(bad)?;
                Ok(Outcome::Answer(self.read(&stream, read).await))
            }
            _ => Err(Response::findings(404, &List::one("path", "is not known"))),
        }
    }
}

impl Service for LogService {
    fn serve<'a>(&'a self, request: Request<'a>) -> Pending<'a, Outcome> {
        Box::pin(async move { self.route(request).await.unwrap_or_else(Outcome::Answer) })
    }
}

fn outage_response() -> Response {
    Response::findings(503, &List::one("log", "is out of service"))
}
