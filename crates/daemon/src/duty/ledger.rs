//! The ledger duty: tails the streams, groups appends, replays what everybody reads, and writes
//! snapshots of the streams that this instance is the steward of.

mod snapshots;
mod tail;

use crate::duty::Duty;
use crate::duty::steward;
use crate::platform::{Failure, Log};
use crate::ring::{self, Latest, Publisher, Receiver, Reply, Sender};
use crate::view::{self, Facts, Members};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::steward::Landing;
use pimentovalve_core::ledger::book::Book;
use pimentovalve_core::ledger::fleet::Fleet;
use pimentovalve_core::ledger::history::History;
use pimentovalve_core::ledger::record::{self, Change, Record, Register};
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
use tail::{Tail, decode, rows};
use tokio_util::sync::CancellationToken;

/// Most entries that one read returns.
const READ_MAX: u32 = 1024;
/// Most entries of one append.
const APPEND_MAX: usize = 256;
/// Most records that wait for an append of one stream; more are refused.
const QUEUE_MAX: usize = 4096;
/// Time after which an append whose answer was lost is given up as unknown.
const READ_BACK: Millis = Millis::from_secs(5);
/// Time between two looks at what waits for its read-back.
const TICK: Duration = Duration::from_millis(250);

/// What became of a record that was published in a stream that everybody reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Published {
    /// It was read back with this verdict.
    Judged(Verdict),
    /// It did not land and never will.
    Refused,
    /// It may have landed or may land later.
    Unknown,
}

/// A command to the ledger duty.
#[derive(Debug)]
pub enum Command {
    /// Append a steward's record to a partition.
    Append {
        /// The stream.
        stream: Stream,
        /// The record.
        record: Record,
    },
    /// Append a snapshot of a partition.
    Save {
        /// The partition.
        index: u16,
        /// Its book.
        book: Book,
    },
    /// Append a record to a stream that everybody reads, and judge it.
    Publish {
        /// The register, which tells the stream.
        register: Register,
        /// The version on which the record rests.
        expect: u64,
        /// The change.
        change: Change,
        /// Where the verdict goes.
        reply: Reply<Published>,
    },
    /// Take over what a peer has, if it is newer. Instants are by the peer's clock, less the
    /// greatest skew.
    Merge(Pulled),
    /// Every peer that could record a loss said that it has not, as of this instant.
    Witness {
        /// Next offset of the fleet stream at all of them at most.
        fleet_next: Offset,
        /// Next offset of the configuration stream at all of them at most.
        history_next: Offset,
        /// When the oldest answer was asked for.
        as_of: Millis,
    },
    /// Read rows of a stream for an operator.
    Rows {
        /// The stream.
        stream: Stream,
        /// First offset.
        from: Offset,
        /// Where the rows go; the reason when there are none.
        reply: Reply<Result<Vec<(Offset, Record)>, String>>,
    },
}

/// What calls of the log come back with.
enum Event {
    Read {
        stream: Stream,
        asked: Millis,
        from: Offset,
        result: Result<Chunk, Failure>,
    },
    /// The state from which the reading of a stream goes on; none at the start of the stream.
    Restored {
        stream: Stream,
        state: Option<snapshot::State>,
    },
    /// The log could not be read.
    Out,
    /// A snapshot that was begun at `at` was appended.
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

/// An append whose answer was lost.
struct Lost {
    stream: Stream,
    id: record::Id,
    since: Millis,
}

struct Waiter {
    id: record::Id,
    since: Millis,
    reply: Reply<Published>,
}

/// A loss that this instance recorded and that may still come into force.
struct Unsettled {
    id: record::Id,
    worker: Name,
    expect: u64,
}

/// One stream that is tailed.
struct Open {
    stream: Stream,
    stop: CancellationToken,
    queue: Vec<Record>,
    appending: bool,
    /// What this instance has of it.
    known: Arc<AtomicU64>,
    snapshots: Schedule,
}

/// The ledger duty.
pub struct Ledger {
    /// Writer's name in the records of this duty.
    pub writer: Name,
    /// The log.
    pub log: Arc<dyn Log>,
    /// Partitions of the ledger.
    pub partitions: u16,
    /// Time for which the log keeps records.
    pub retention: Millis,
    /// How long a read at the end of a stream waits for the next entry. What is known is as old
    /// as the last read, so it must be well below the currency that renewals rest on.
    pub read_wait: Millis,
    /// Commands.
    pub commands: Receiver<Command>,
    /// The steward duty.
    pub steward: Sender<steward::Event>,
    /// The instances.
    pub members: Latest<Arc<Members>>,
    /// Where the facts go.
    pub facts: Publisher<Facts>,
}

struct State {
    duty: Ledger,
    events: Sender<Event>,
    stop: CancellationToken,
    history: History,
    fleet: Fleet,
    facts: Facts,
    tails: Vec<Open>,
    waiters: Vec<Waiter>,
    lost: Vec<Lost>,
    unsettled: Vec<Unsettled>,
    numbers: u64,
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
                facts: Facts::default(),
                tails: Vec::new(),
                waiters: Vec::new(),
                lost: Vec::new(),
                unsettled: Vec::new(),
                numbers: 0,
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
                        state.snapshots().await;
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
            Command::Save { index, book } => {
                self.save(Stream::Partition(index), &snapshot::State::Book(book));
            }
            Command::Publish { register, expect, change, reply } => {
                self.publish(register, expect, change, reply).await;
            }
            Command::Merge(pulled) => self.merge(pulled),
            Command::Witness { fleet_next, history_next, as_of } => {
                if fleet_next <= self.fleet.next {
                    self.facts.fleet_as_of = self.facts.fleet_as_of.max(as_of);
                }
                if history_next <= self.history.next {
                    self.facts.history_as_of = self.facts.history_as_of.max(as_of);
                }
                self.publish_facts();
            }
            Command::Rows { stream, from, reply } => {
                let log = Arc::clone(&self.duty.log);
                tokio::spawn(async move {
                    let rows = rows(&*log, stream, from).await.map_err(|e| format!("{e:?}"));
                    if reply.send(rows).is_err() {
                        tracing::debug!("an operator no longer waits for rows");
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
        self.numbers += 1;
        let id = record::Id { writer: self.duty.writer.clone(), number: self.numbers };
        let stream = match &register {
            Register::Worker(worker) => {
                let worker = worker.clone();
                self.unsettled.push(Unsettled { id: id.clone(), worker, expect });
                Stream::Fleet
            }
            _ => Stream::Configuration,
        };
        self.publish_facts();
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
                self.tails[i].known.fetch_max(next, Ordering::Relaxed);
            }
        }
        if pulled.history_next <= self.history.next {
            self.facts.history_as_of = self.facts.history_as_of.max(pulled.history_as_of);
        }
        if pulled.fleet_next <= self.fleet.next {
            self.facts.fleet_as_of = self.facts.fleet_as_of.max(pulled.fleet_as_of);
        }
        self.publish_facts();
    }

    /// Opens and closes partitions as their stewardship moves.
    async fn members(&mut self, members: &Members) {
        for index in 0..self.duty.partitions {
            let stream = Stream::Partition(index);
            let mine = members.steward(stream).is_some_and(|s| s.name == members.own.name);
            match (mine, self.position(stream)) {
                (true, None) => self.open(stream),
                (false, Some(i)) => {
                    let tail = self.tails.remove(i);
                    tail.stop.cancel();
                    for record in tail.queue {
                        self.landed(stream, record.id, Landing::Refused).await;
                    }
                    self.tell(steward::Event::GiveUp { index }).await;
                }
                _ => {}
            }
        }
    }

    fn position(&self, stream: Stream) -> Option<usize> {
        self.tails.iter().position(|t| t.stream == stream)
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
        self.tails.push(Open {
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
        let Some(i) = self.position(stream).filter(|&i| self.tails[i].queue.len() < QUEUE_MAX)
        else {
            self.landed(stream, record.id, Landing::Refused).await;
            return;
        };
        self.tails[i].queue.push(record);
        self.send(i);
    }

    /// Sends what is queued for a stream, one append at a time.
    fn send(&mut self, i: usize) {
        let tail = &mut self.tails[i];
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
                tracing::debug!("the ledger duty has ended");
            }
        });
    }

    async fn event(&mut self, event: Event) {
        match event {
            Event::Appended { stream, ids, result } => self.appended(stream, ids, result).await,
            Event::Restored { stream, state } => self.restored(stream, state).await,
            Event::Out => {
                self.facts.log_out = true;
                self.publish_facts();
            }
            Event::Saved { stream, next, at } => {
                if let Some(i) = self.position(stream) {
                    self.tails[i].snapshots.written(next, at);
                }
            }
            Event::Read { stream, asked, from, result } => match result {
                Ok(chunk) => {
                    self.facts.log_out = false;
                    self.read(stream, asked, from, &chunk).await;
                }
                Err(failure) => {
                    tracing::debug!(%stream, ?failure, "a stream could not be read");
                    self.facts.log_out = true;
                    self.publish_facts();
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
                    self.landed(stream, id, Landing::Landed).await;
                }
            }
            Err(Failure::Refused(message)) => {
                tracing::warn!(%stream, message, "an append was refused");
                for id in ids {
                    self.landed(stream, id, Landing::Refused).await;
                }
            }
            Err(failure) => {
                tracing::warn!(%stream, ?failure, "an append was not answered");
                let since = view::now();
                self.lost.extend(ids.into_iter().map(|id| Lost { stream, id, since }));
            }
        }
        if let Some(i) = self.position(stream) {
            self.tails[i].appending = false;
            self.send(i);
        }
    }

    async fn read(&mut self, stream: Stream, asked: Millis, from: Offset, chunk: &Chunk) {
        let rows = decode(from, chunk);
        let at_end = from + chunk.entries.len() as u64 >= chunk.end;
        let mut judged = Vec::new();
        for (offset, record) in &rows {
            self.lost.retain(|l| l.id != record.id);
            match stream {
                Stream::Configuration => {
                    judged.push((record.id.clone(), self.history.take_in(*offset, record)));
                }
                Stream::Fleet => {
                    judged.push((record.id.clone(), self.fleet.take_in(*offset, record)));
                }
                Stream::Partition(_) => {}
            }
        }
        let facts = &mut self.facts;
        match stream {
            Stream::Configuration if at_end => {
                facts.history_as_of = facts.history_as_of.max(asked);
            }
            Stream::Fleet if at_end => facts.fleet_as_of = facts.fleet_as_of.max(asked),
            Stream::Partition(index) => {
                self.tell(steward::Event::Rows { index, rows, at_end }).await;
            }
            _ => {}
        }
        if let Some(i) = self.position(stream) {
            let next = from + chunk.entries.len() as u64;
            self.tails[i].known.fetch_max(next, Ordering::Relaxed);
        }
        // Whoever hears a verdict must find what it rests on in the facts.
        self.publish_facts();
        for (id, verdict) in judged {
            self.answer(&id, Published::Judged(verdict));
        }
        if at_end {
            self.read_back(stream, asked).await;
        }
        self.publish_facts();
    }

    /// A read that was sent after an append's answer was lost does not have its record: it did
    /// not land yet, and may land later.
    async fn read_back(&mut self, stream: Stream, asked: Millis) {
        let missing: Vec<Lost> =
            self.lost.extract_if(.., |l| l.stream == stream && l.since < asked).collect();
        for Lost { id, .. } in missing {
            self.landed(stream, id, Landing::Unknown).await;
        }
    }

    async fn expire(&mut self) {
        let now = view::now();
        let late: Vec<Lost> =
            self.lost.extract_if(.., |l| now.since(l.since) > READ_BACK).collect();
        for Lost { stream, id, .. } in late {
            self.landed(stream, id, Landing::Unknown).await;
        }
        // A record whose row was passed over, because a snapshot or a peer came first.
        let late = self.waiters.iter().filter(|w| now.since(w.since) > READ_BACK.times(2));
        for id in late.map(|w| w.id.clone()).collect::<Vec<_>>() {
            self.answer(&id, Published::Unknown);
        }
    }

    async fn landed(&mut self, stream: Stream, id: record::Id, landing: Landing) {
        if let Stream::Partition(_) = stream {
            self.tell(steward::Event::Landed { id, landing }).await;
            return;
        }
        let published = match landing {
            Landing::Landed => return,
            Landing::Refused => Published::Refused,
            Landing::Unknown => Published::Unknown,
        };
        self.answer(&id, published);
    }

    fn answer(&mut self, id: &record::Id, published: Published) {
        if published != Published::Unknown {
            self.unsettled.retain(|u| u.id != *id);
        }
        if let Some(i) = self.waiters.iter().position(|w| w.id == *id) {
            let waiter = self.waiters.remove(i);
            if waiter.reply.send(published).is_err() {
                tracing::debug!("nobody waits for the verdict any more");
            }
        }
    }

    async fn tell(&self, event: steward::Event) {
        if self.duty.steward.push(event).await.is_err() {
            tracing::debug!("the steward duty has ended");
        }
    }

    fn publish_facts(&mut self) {
        // A record that rests on a version that is past can land, but never come into force.
        let fleet = &self.fleet;
        let past =
            |u: &Unsettled| fleet.loss(u.worker.as_str()).is_some_and(|l| l.version > u.expect);
        self.unsettled.retain(|u| !past(u));
        self.facts.loss_pending = !self.unsettled.is_empty();
        if self.facts.history.next != self.history.next {
            self.facts.history = Arc::new(self.history.clone());
        }
        if self.facts.fleet.next != self.fleet.next {
            self.facts.fleet = Arc::new(self.fleet.clone());
        }
        self.duty.facts.send_replace(self.facts.clone());
    }
}
