//! The ledger duty: tails the streams, batches appends, replays the configuration and fleet
//! streams, and writes snapshots of the streams of which this instance is the steward.
//!
//! Every instance reads the configuration and fleet streams. A partition is read only by the
//! instance that believes to be its steward.

mod snapshots;
mod tail;

use crate::duty::Duty;
use crate::duty::steward;
use crate::platform::{Failure, Log};
use crate::ring::{self, Latest, Publisher, Receiver, Reply, Sender};
use crate::view::{self, LedgerView, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::steward::AppendOutcome;
use pimentovalve_core::ledger::fleet::Fleet;
use pimentovalve_core::ledger::history::History;
use pimentovalve_core::ledger::record::{self, Change, Record, Register};
use pimentovalve_core::ledger::replica::Replica;
use pimentovalve_core::ledger::snapshot::{self, Schedule};
use pimentovalve_core::ledger::{Offset, Stream, Verdict};
use pimentovalve_core::name::Name;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::log::Chunk;
use pimentovalve_wire::peer::Pulled;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tail::{Tail, decode, read_records};
use tokio_util::sync::CancellationToken;

/// Maximum number of entries that one read returns.
const READ_MAX: u32 = 1024;
/// Maximum number of entries in one append.
const APPEND_MAX: usize = 256;
/// Maximum number of records that wait for an append to one stream; further ones are refused.
const QUEUE_MAX: usize = 4096;
/// Time after which an append that was not answered and not read back has an unknown outcome.
const READ_BACK_TIMEOUT: Millis = Millis::from_secs(5);
/// Interval at which time-outs and due snapshots are checked.
const TICK: Duration = Duration::from_millis(250);

/// The outcome of publishing a record in the configuration or fleet stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Published {
    /// It was read back from the stream, and the replay gave this verdict.
    Judged(Verdict),
    /// It was not appended and never will be.
    Refused,
    /// It may have been appended, or may still be.
    Unknown,
}

/// A command to the ledger duty.
#[derive(Debug)]
pub enum Command {
    /// Append a steward's record to a partition. The outcome goes to the steward duty.
    Append {
        /// Stream of the partition.
        stream: Stream,
        /// The record, whose id identifies the outcome.
        record: Record,
    },
    /// Append a snapshot of a partition.
    Save {
        /// Index of the partition.
        index: u16,
        /// The replayed state of the partition.
        replica: Replica,
    },
    /// Append a record to the configuration or fleet stream, and wait until it is read back.
    Publish {
        /// The register to change. A worker's register is in the fleet stream.
        register: Register,
        /// The version of the register that the compare-and-set expects.
        expect: u64,
        /// The new content.
        change: Change,
        /// Receives the outcome.
        reply: Reply<Published>,
    },
    /// Merge the state of a peer if it is newer. Instants are by the peer's clock, less the maximum
    /// clock skew.
    Merge(Pulled),
    /// Every peer that could publish a loss stated that none is pending, as of this instant. State
    /// that reaches the given offsets is complete as of then.
    ConfirmCurrent {
        /// Greatest next offset of the fleet stream among the peers.
        fleet_next: Offset,
        /// Greatest next offset of the configuration stream among the peers.
        history_next: Offset,
        /// When the oldest of the statements was requested.
        as_of: Millis,
    },
    /// Read records of a stream for an operator.
    Rows {
        /// Any stream, also a partition that this instance does not tail.
        stream: Stream,
        /// Offset of the first record; the first retained record if it is no longer retained.
        from: Offset,
        /// Receives the records, or the reason why they cannot be read.
        reply: Reply<Result<Vec<(Offset, Record)>, String>>,
    },
}

/// The results of calls to the log.
enum Event {
    Read {
        stream: Stream,
        asked: Millis,
        from: Offset,
        result: Result<Chunk, Failure>,
    },
    /// The snapshot after which reading continues; `None` when the stream is read from its start.
    Restored {
        stream: Stream,
        state: Option<snapshot::State>,
    },
    /// The log could not be read.
    Unavailable,
    /// A snapshot that was started at `at` was appended.
    Saved {
        stream: Stream,
        next: Offset,
        at: Millis,
    },
    Appended {
        stream: Stream,
        ids: Vec<record::Id>,
        result: Result<Offset, Failure>,
    },
}

/// A record whose append was not answered.
struct Unanswered {
    stream: Stream,
    id: record::Id,
    since: Millis,
}

/// A [`Command::Publish`] that waits for its outcome.
struct Waiter {
    id: record::Id,
    since: Millis,
    reply: Reply<Published>,
}

/// A loss that this instance published and that may still take effect.
struct PendingLoss {
    id: record::Id,
    worker: Name,
    expect: u64,
}

/// One stream that is tailed.
struct OpenStream {
    stream: Stream,
    stop: CancellationToken,
    queue: Vec<Record>,
    appending: bool,
    /// Next offset of the state that this instance has.
    known: Arc<AtomicU64>,
    snapshots: Schedule,
}

/// The ledger duty.
pub struct Ledger {
    /// Writer in the ids of the records of this duty, unique for each start of the instance.
    pub writer: Name,
    /// Client of the log service.
    pub log: Arc<dyn Log>,
    /// Number of partitions of the ledger.
    pub partitions: u16,
    /// Time for which the log retains records; it sets the schedule of snapshots.
    pub retention: Millis,
    /// How long a read at the end of a stream waits for the next entry. The state is as old as the
    /// last read, so this must be well below the currency bound that lease renewals depend on.
    pub read_wait: Millis,
    /// Commands from the other duties and the fronts.
    pub commands: Receiver<Command>,
    /// Ring of the steward duty.
    pub steward: Sender<steward::Event>,
    /// Membership as published by the gossip duty.
    pub members: Latest<Arc<Members>>,
    /// Publishes the replicated state.
    pub ledger_view: Publisher<LedgerView>,
}

struct State {
    duty: Ledger,
    events: Sender<Event>,
    stop: CancellationToken,
    history: History,
    fleet: Fleet,
    ledger_view: LedgerView,
    streams: Vec<OpenStream>,
    waiters: Vec<Waiter>,
    unanswered: Vec<Unanswered>,
    pending_losses: Vec<PendingLoss>,
    /// Number in the id of the last published record.
    last_number: u64,
}

impl Duty for Ledger {
    fn name(&self) -> &'static str {
        "ledger"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            let (events, received) = ring::ring(64);
            let mut members = self.members.clone();
            let commands = self.commands.clone();
            let duty = *self;
            let mut state = State {
                duty,
                events,
                stop: stop.clone(),
                history: History::default(),
                fleet: Fleet::default(),
                ledger_view: LedgerView::default(),
                streams: Vec::new(),
                waiters: Vec::new(),
                unanswered: Vec::new(),
                pending_losses: Vec::new(),
                last_number: 0,
            };
            state.open(Stream::Configuration);
            state.open(Stream::Fleet);
            let mut tick = tokio::time::interval(TICK);
            loop {
                tokio::select! {
                    () = stop.cancelled() => break,
                    Some(event) = received.next() => state.event(event).await,
                    Some(command) = commands.next() => state.command(command).await,
                    Ok(()) = members.changed() => {
                        let seen = Arc::clone(&members.borrow_and_update());
                        state.members(&seen).await;
                    }
                    _ = tick.tick() => {
                        state.expire().await;
                        state.start_due_snapshots().await;
                    }
                }
            }
        })
    }
}

impl State {
    async fn command(&mut self, command: Command) {
        match command {
            Command::Append { stream, record } => self.append(stream, record).await,
            Command::Save { index, replica } => {
                self.save(Stream::Partition(index), &snapshot::State::Replica(replica));
            }
            Command::Publish { register, expect, change, reply } => {
                self.publish(register, expect, change, reply).await;
            }
            Command::Merge(pulled) => self.merge(pulled),
            Command::ConfirmCurrent { fleet_next, history_next, as_of } => {
                if fleet_next <= self.fleet.next {
                    self.ledger_view.fleet_as_of = self.ledger_view.fleet_as_of.max(as_of);
                }
                if history_next <= self.history.next {
                    self.ledger_view.history_as_of = self.ledger_view.history_as_of.max(as_of);
                }
                self.publish_view();
            }
            Command::Rows { stream, from, reply } => {
                let log = Arc::clone(&self.duty.log);
                tokio::spawn(async move {
                    let rows =
                        read_records(&*log, stream, from).await.map_err(|e| format!("{e:?}"));
                    if reply.send(rows).is_err() {
                        tracing::debug!("operator stopped waiting for ledger records");
                    }
                });
            }
        }
    }

    async fn publish(
        &mut self,
        register: Register,
        expect: u64,
        change: Change,
        reply: Reply<Published>,
    ) {
        self.last_number += 1;
        let id = record::Id { writer: self.duty.writer.clone(), number: self.last_number };
        let stream = match &register {
            Register::Worker(worker) => {
                let worker = worker.clone();
                self.pending_losses.push(PendingLoss { id: id.clone(), worker, expect });
                Stream::Fleet
            }
            _ => Stream::Configuration,
        };
        self.publish_view();
        let since = view::now();
        self.waiters.push(Waiter { id: id.clone(), since, reply });
        self.append(stream, Record { id, at: view::now(), register, expect, change }).await;
    }

    fn merge(&mut self, pulled: Pulled) {
        if let Some(history) = pulled.history {
            self.history.merge(&history);
        }
        if let Some(fleet) = pulled.fleet {
            self.fleet.merge(&fleet);
        }
        for (stream, next) in
            [(Stream::Configuration, self.history.next), (Stream::Fleet, self.fleet.next)]
        {
            if let Some(i) = self.position(stream) {
                self.streams[i].known.fetch_max(next, Ordering::Relaxed);
            }
        }
        if pulled.history_next <= self.history.next {
            self.ledger_view.history_as_of =
                self.ledger_view.history_as_of.max(pulled.history_as_of);
        }
        if pulled.fleet_next <= self.fleet.next {
            self.ledger_view.fleet_as_of = self.ledger_view.fleet_as_of.max(pulled.fleet_as_of);
        }
        self.publish_view();
    }

    /// Starts and stops tailing partitions when their steward changes.
    async fn members(&mut self, members: &Members) {
        for index in 0..self.duty.partitions {
            let stream = Stream::Partition(index);
            let is_own = members.steward(stream).is_some_and(|s| s.name == members.own.name);
            match (is_own, self.position(stream)) {
                (true, None) => self.open(stream),
                (false, Some(i)) => {
                    let tail = self.streams.remove(i);
                    tail.stop.cancel();
                    for record in tail.queue {
                        self.append_done(stream, record.id, AppendOutcome::Refused).await;
                    }
                    self.notify_steward(steward::Event::GiveUp { index }).await;
                }
                _ => {}
            }
        }
    }

    fn position(&self, stream: Stream) -> Option<usize> {
        self.streams.iter().position(|t| t.stream == stream)
    }

    fn open(&mut self, stream: Stream) {
        let stop = self.stop.child_token();
        let known = Arc::<AtomicU64>::default();
        let tail = Tail {
            stream,
            log: Arc::clone(&self.duty.log),
            wait: self.duty.read_wait,
            events: self.events.clone(),
            known: Arc::clone(&known),
        };
        self.streams.push(OpenStream {
            stream,
            stop: stop.clone(),
            queue: Vec::new(),
            appending: false,
            known,
            snapshots: Schedule::new(self.duty.retention),
        });
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = tail.run() => {}
            }
        });
    }

    async fn append(&mut self, stream: Stream, record: Record) {
        let Some(i) = self.position(stream).filter(|&i| self.streams[i].queue.len() < QUEUE_MAX)
        else {
            self.append_done(stream, record.id, AppendOutcome::Refused).await;
            return;
        };
        self.streams[i].queue.push(record);
        self.send(i);
    }

    /// Appends the records that are queued for a stream, one append at a time.
    fn send(&mut self, i: usize) {
        let tail = &mut self.streams[i];
        if tail.appending || tail.queue.is_empty() {
            return;
        }
        tail.appending = true;
        let count = tail.queue.len().min(APPEND_MAX);
        let records: Vec<Record> = tail.queue.drain(..count).collect();
        let ids = records.iter().map(|r| r.id.clone()).collect();
        let entries = records.iter().filter_map(|r| codec::pack(r).ok()).collect();
        let (stream, log, events) = (tail.stream, Arc::clone(&self.duty.log), self.events.clone());
        tokio::spawn(async move {
            let result = log.append(&stream.to_string(), entries).await;
            if events.push(Event::Appended { stream, ids, result }).await.is_err() {
                tracing::debug!("ledger duty has ended; call result discarded");
            }
        });
    }

    async fn event(&mut self, event: Event) {
        match event {
            Event::Appended { stream, ids, result } => self.appended(stream, ids, result).await,
            Event::Restored { stream, state } => self.restored(stream, state).await,
            Event::Unavailable => {
                self.ledger_view.log_unavailable = true;
                self.publish_view();
            }
            Event::Saved { stream, next, at } => {
                if let Some(i) = self.position(stream) {
                    self.streams[i].snapshots.written(next, at);
                }
            }
            Event::Read { stream, asked, from, result } => match result {
                Ok(chunk) => {
                    self.ledger_view.log_unavailable = false;
                    self.read(stream, asked, from, &chunk).await;
                }
                Err(failure) => {
                    tracing::debug!(%stream, ?failure, "cannot read stream");
                    self.ledger_view.log_unavailable = true;
                    self.publish_view();
                }
            },
        }
    }

    async fn appended(
        &mut self,
        stream: Stream,
        ids: Vec<record::Id>,
        result: Result<Offset, Failure>,
    ) {
        match result {
            Ok(_) => {
                for id in ids {
                    self.append_done(stream, id, AppendOutcome::Landed).await;
                }
            }
            Err(Failure::Refused(message)) => {
                tracing::warn!(%stream, message, "append refused");
                for id in ids {
                    self.append_done(stream, id, AppendOutcome::Refused).await;
                }
            }
            Err(failure) => {
                tracing::warn!(%stream, ?failure, "append not answered; awaiting read-back");
                let since = view::now();
                self.unanswered.extend(ids.into_iter().map(|id| Unanswered { stream, id, since }));
            }
        }
        if let Some(i) = self.position(stream) {
            self.streams[i].appending = false;
            self.send(i);
        }
    }

    async fn read(&mut self, stream: Stream, asked: Millis, from: Offset, chunk: &Chunk) {
        let rows = decode(from, chunk);
        let at_end = from + chunk.entries.len() as u64 >= chunk.end;
        let mut judged = Vec::new();
        for (offset, record) in &rows {
            self.unanswered.retain(|u| u.id != record.id);
            match stream {
                Stream::Configuration => {
                    judged.push((record.id.clone(), self.history.apply_if_new(*offset, record)));
                }
                Stream::Fleet => {
                    judged.push((record.id.clone(), self.fleet.apply_if_new(*offset, record)));
                }
                Stream::Partition(_) => {}
            }
        }
        let ledger_view = &mut self.ledger_view;
        match stream {
            Stream::Configuration if at_end => {
                ledger_view.history_as_of = ledger_view.history_as_of.max(asked);
            }
            Stream::Fleet if at_end => ledger_view.fleet_as_of = ledger_view.fleet_as_of.max(asked),
            Stream::Partition(index) => {
                self.notify_steward(steward::Event::Rows { index, rows, at_end }).await;
            }
            _ => {}
        }
        if let Some(i) = self.position(stream) {
            let next = from + chunk.entries.len() as u64;
            self.streams[i].known.fetch_max(next, Ordering::Relaxed);
        }
        // The state that a verdict is based on must be published before the verdict is answered.
        self.publish_view();
        for (id, verdict) in judged {
            self.answer(&id, Published::Judged(verdict));
        }
        if at_end {
            self.read_back(stream, asked).await;
        }
        self.publish_view();
    }

    /// Resolves unanswered appends whose records are missing in a read that was sent later: the
    /// record is not in the stream yet, but may still arrive, so the outcome is unknown.
    async fn read_back(&mut self, stream: Stream, asked: Millis) {
        let missing: Vec<Unanswered> =
            self.unanswered.extract_if(.., |u| u.stream == stream && u.since < asked).collect();
        for Unanswered { id, .. } in missing {
            self.append_done(stream, id, AppendOutcome::Unknown).await;
        }
    }

    /// Answers appends and publications that have timed out.
    async fn expire(&mut self) {
        let now = view::now();
        let late: Vec<Unanswered> =
            self.unanswered.extract_if(.., |u| now.since(u.since) > READ_BACK_TIMEOUT).collect();
        for Unanswered { stream, id, .. } in late {
            self.append_done(stream, id, AppendOutcome::Unknown).await;
        }
        // A record is never read back if a snapshot or a peer's state moved past its offset.
        let late = self.waiters.iter().filter(|w| now.since(w.since) > READ_BACK_TIMEOUT.times(2));
        for id in late.map(|w| w.id.clone()).collect::<Vec<_>>() {
            self.answer(&id, Published::Unknown);
        }
    }

    /// Forwards the outcome of an append to the steward duty or to the waiting publisher.
    async fn append_done(&mut self, stream: Stream, id: record::Id, outcome: AppendOutcome) {
        if let Stream::Partition(_) = stream {
            self.notify_steward(steward::Event::AppendDone { id, outcome }).await;
            return;
        }
        let published = match outcome {
            AppendOutcome::Landed => return,
            AppendOutcome::Refused => Published::Refused,
            AppendOutcome::Unknown => Published::Unknown,
        };
        self.answer(&id, published);
    }

    fn answer(&mut self, id: &record::Id, published: Published) {
        if published != Published::Unknown {
            self.pending_losses.retain(|l| l.id != *id);
        }
        if let Some(i) = self.waiters.iter().position(|w| w.id == *id) {
            let waiter = self.waiters.remove(i);
            if waiter.reply.send(published).is_err() {
                tracing::debug!("publisher stopped waiting for the verdict");
            }
        }
    }

    async fn notify_steward(&self, event: steward::Event) {
        if self.duty.steward.push(event).await.is_err() {
            tracing::debug!("steward duty has ended; event discarded");
        }
    }

    fn publish_view(&mut self) {
        // A record that expects an older version may still be appended, but cannot take effect.
        let fleet = &self.fleet;
        let is_outdated = |pending: &PendingLoss| {
            fleet.loss(pending.worker.as_str()).is_some_and(|loss| loss.version > pending.expect)
        };
        self.pending_losses.retain(|pending| !is_outdated(pending));
        self.ledger_view.loss_pending = !self.pending_losses.is_empty();
        if self.ledger_view.history.next != self.history.next {
            self.ledger_view.history = Arc::new(self.history.clone());
        }
        if self.ledger_view.fleet.next != self.fleet.next {
            self.ledger_view.fleet = Arc::new(self.fleet.clone());
        }
        self.duty.ledger_view.send_replace(self.ledger_view.clone());
    }
}
