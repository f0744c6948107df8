//! The steward duty: keeps the book and, while this daemon owns the shard, decides.
//!
//! Whether this daemon owns the shard is told by the log alone: it does while the newest claim
//! names it. Its own records are taken into the book when they are acknowledged or read back,
//! whichever is first, each once and in order.

mod act;
mod peers;
mod snapshots;

use super::advice::Ask;
use super::border::Member;
use super::ledger::Append;
use super::metrics::Metrics;
use super::orders::Call;
use super::view::{self, Facts};
use crate::duty::Duty;
use crate::ring::{Publisher, Receiver, Reply, Sender};
use act::{log_entry, log_start};
use peers::Peer;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::advice::{Allowed, Question};
use pimentovalve_core::contract::owner::order::{Look, Start, Stop};
use pimentovalve_core::contract::owner::{Limits, Miss, Owner, Report, StartAnswer, StopAnswer};
use pimentovalve_core::contract::work::{Id, Status};
use pimentovalve_core::ledger::shard::book::{Book, Change};
use pimentovalve_core::ledger::shard::snapshot::Snapshot;
use pimentovalve_core::ledger::shard::{Entry, Record};
use pimentovalve_core::link::pace::Pace;
use pimentovalve_core::machine::host::Listed;
use pimentovalve_wire::http::Pending;
use std::sync::Arc;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Time between two decisions while nothing happens.
const TICK: Duration = Duration::from_millis(20);
/// Time without an own record after which the owner shows that it still works.
const ALIVE_EVERY: Millis = Millis(300);
/// Time without a record of the owner after which another daemon claims the shard.
const SILENCE: Millis = Millis(1400);
/// Reads of the log that the owner's silence must outlast, on top.
const SLOW_READS: u64 = 3;
/// Greatest time by which daemons differ in when they claim, so that one is first.
const STAGGER: u64 = 400;
/// Pause between two claims of this daemon.
const CLAIM_PAUSE: Millis = Millis(500);
/// A gap between two reads of the log after which silence is measured afresh.
const DEAF: Millis = Millis(1200);
/// Time between two clean-ups of the book.
const EXPIRE_EVERY: Millis = Millis::from_secs(10);

/// What the steward takes in.
pub enum Event {
    /// Records of the log.
    Read {
        /// The records, in order.
        records: Vec<Record>,
        /// Offset of the next record.
        next: u64,
        /// Whether the log ended there.
        caught_up: bool,
        /// When the read began.
        began: Millis,
    },
    /// The log no longer has its beginning: a snapshot stands for it.
    Restored(Box<Snapshot>),
    /// Own records are in the log.
    Recorded(Vec<Record>),
    /// An own append was refused, since a later owner has claimed.
    Fenced {
        /// Epoch of the append.
        epoch: u64,
    },
    /// The workers that are listed now.
    Listed(Vec<Listed>),
    /// The members.
    Members(Vec<Member>),
    /// An order to start was answered.
    Started(u64, Box<Start>, StartAnswer, Option<u64>),
    /// An order to stop was answered.
    Stopped(u64, Stop, StopAnswer, Option<u64>),
    /// A look was answered.
    Looked(u64, Look, Result<Report, Miss>),
    /// A question was answered.
    Advised(u64, Question, Option<Vec<Allowed>>),
    /// A caller asks for the state of a job.
    Status(Id, Reply<Option<Status>>),
    /// A caller asks how many jobs of a queue have not started.
    Count(Box<str>, Reply<usize>),
}

/// The duty.
pub struct Steward {
    /// Unique name of this daemon.
    pub name: Box<str>,
    /// Where its peers reach it, IP number and port.
    pub address: Box<str>,
    /// Drawn at the start of the process.
    pub nonce: u64,
    /// Figures for the owner.
    pub limits: Limits,
    /// How long the store keeps a record of the log.
    pub retention: Millis,
    /// A planned stop has begun: the shard is for others.
    pub leave: CancellationToken,
    /// What happens.
    pub events: Receiver<Event>,
    /// Appends.
    pub ledger: Sender<Append>,
    /// Calls to workers.
    pub orders: Sender<Call>,
    /// Questions to the advisor.
    pub advice: Sender<Ask>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// What is published.
    pub facts: Publisher<Facts>,
}

impl Duty for Steward {
    fn name(&self) -> &'static str {
        "steward"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(State::new(*self).run(stop))
    }
}

/// The tenure of this daemon as owner.
struct Tenure {
    epoch: u64,
    owner: Owner,
    /// Sequence of the last own record that was handed over to be appended.
    sent: u64,
    /// When a record was last handed over.
    last_sent: Millis,
    /// When to place next.
    next_schedule: Millis,
}

struct State {
    duty: Steward,
    book: Book,
    tenure: Option<Tenure>,
    /// When the owner last gave a sign, or silence began to be measured.
    sign: Millis,
    heard: Millis,
    /// When the last read to the log's end began: the book has all that was appended before.
    covers: Millis,
    /// How fast the log is read.
    pace: Pace,
    caught_up: bool,
    claimed_at: Millis,
    workers: Vec<Listed>,
    /// Sorted by name.
    peers: Vec<Peer>,
    expired_at: Millis,
    is_leaving: bool,
    /// Epoch and sequence of the last owner's record that the book has.
    taken: (u64, u64),
    /// Offset of the next record to read.
    next: u64,
    /// When a snapshot was last saved or tried, or this daemon began.
    saved_at: Millis,
}

impl State {
    fn new(duty: Steward) -> Self {
        let now = view::now();
        Self {
            duty,
            book: Book::default(),
            tenure: None,
            sign: now,
            heard: Millis::ZERO,
            covers: Millis::ZERO,
            pace: Pace::default(),
            caught_up: false,
            claimed_at: Millis::ZERO,
            workers: Vec::new(),
            peers: Vec::new(),
            expired_at: now,
            is_leaving: false,
            taken: (0, 0),
            next: 0,
            saved_at: now,
        }
    }

    async fn run(mut self, stop: CancellationToken) {
        let leave = self.duty.leave.clone();
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stop.cancelled() => break,
                () = leave.cancelled(), if !self.is_leaving => self.release(),
                _ = tick.tick() => self.decide(),
                event = self.duty.events.next() => {
                    let Some(event) = event else { break };
                    self.take(event);
                    while let Some(event) = self.duty.events.try_next() {
                        self.take(event);
                    }
                    self.carry_out();
                }
            }
        }
    }

    /// Lets another daemon claim at once.
    fn release(&mut self) {
        self.is_leaving = true;
        if let Some(epoch) = self.tenure.as_ref().map(|t| t.epoch) {
            self.record(vec![Entry::Released { epoch }]);
            tracing::info!(epoch, "ownership released");
            self.tenure = None;
            self.publish();
        }
    }

    fn take(&mut self, event: Event) {
        let now = view::now();
        match event {
            Event::Read { records, next, caught_up, began } => {
                self.pace.note(now.since(began));
                self.read(records, next, caught_up.then_some(began), now);
            }
            Event::Restored(snapshot) => self.restore(*snapshot, now),
            Event::Recorded(records) => {
                for record in records {
                    self.apply(record, now);
                }
            }
            Event::Fenced { epoch } => self.fenced(epoch),
            Event::Listed(list) => {
                self.workers = list;
                if let Some(tenure) = &mut self.tenure {
                    tenure.owner.listed(&self.workers, &self.book, now);
                }
            }
            Event::Members(members) => self.meet(members, now),
            Event::Status(id, reply) => {
                // A caller that has left wants no answer.
                let _ = reply.send(self.book.status(id));
            }
            Event::Count(queue, reply) => {
                let _ = reply.send(self.book.pending(&queue));
            }
            Event::Started(epoch, start, answer, clock) => {
                let Start { on, run, .. } = *start;
                log_start(&run, answer);
                if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                    owner.start_answered(&on, &run, answer, clock, &self.book, now);
                }
            }
            Event::Stopped(epoch, Stop { on, run, .. }, answer, clock) => {
                if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                    owner.stop_answered(&on, &run, answer, clock, &self.book, now);
                }
            }
            Event::Looked(epoch, Look { on, number, .. }, report) => {
                if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                    let report = report.as_ref().map_err(|miss| *miss);
                    owner.looked(&on, number, report, &self.book, now);
                }
            }
            Event::Advised(epoch, question, answer) => {
                let (step, named) = (question.stage, question.workers.len());
                let allowed = answer.as_ref().map(Vec::len);
                tracing::info!(job = %step.job, %step, through = %question.through, named, ?allowed,
                    "advice");
                if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                    owner.advised(&question, answer.as_deref(), &self.book, now);
                }
            }
        }
    }

    /// Takes a read in; one that met the log's end says when it `began`.
    fn read(&mut self, records: Vec<Record>, next: u64, began: Option<Millis>, now: Millis) {
        if now.since(self.heard) > DEAF {
            self.sign = now;
        }
        self.next = next;
        for record in records {
            if record.epoch != 0 {
                self.sign = now;
            }
            self.apply(record, now);
        }
        if let Some(began) = began {
            (self.heard, self.covers) = (now, began);
            if !self.caught_up {
                self.caught_up = true;
                self.sign = now;
                let jobs = self.book.jobs().len();
                tracing::info!(next, jobs, epoch = self.book.claim().epoch, "log read to its end");
            }
            self.publish();
        }
    }

    /// Takes a record into the book, once.
    fn apply(&mut self, record: Record, now: Millis) {
        let Record { epoch, sequence, entry } = record;
        if epoch != 0 {
            if (epoch, sequence) <= self.taken {
                return;
            }
            self.taken = (epoch, sequence);
        }
        let change = self.book.apply(entry.clone(), now);
        if let Some(tenure) = &mut self.tenure {
            if epoch == tenure.epoch {
                log_entry(&entry, epoch, &self.duty.metrics);
                tenure.owner.recorded(&entry, &self.book, now);
            }
            tenure.owner.changed(change, now);
        }
        if change == Change::Saved {
            self.saved_at = now;
        }
        if change == Change::Claimed {
            self.sign = now;
            self.claimed(now);
        }
    }

    /// Another claim stands: this daemon's, another's, or none.
    fn claimed(&mut self, now: Millis) {
        let claim = self.book.claim();
        let (epoch, owner) = (claim.epoch, claim.owner.clone());
        let is_own = owner == self.duty.name && claim.nonce == self.duty.nonce;
        if let Some(tenure) = self.tenure.take() {
            tracing::info!(epoch = tenure.epoch, by = %owner, next_epoch = epoch, "ownership lost");
        }
        if is_own && !self.is_leaving {
            let mut owner = Owner::new(self.duty.limits, &self.book, now);
            owner.listed(&self.workers, &self.book, now);
            let runs = owner.run_count();
            tracing::info!(epoch, jobs = self.book.jobs().len(), runs, "ownership taken");
            self.tenure =
                Some(Tenure { epoch, owner, sent: 0, last_sent: now, next_schedule: now });
            self.set_askers(now);
        }
        self.publish();
    }

    fn fenced(&mut self, epoch: u64) {
        if self.tenure.as_ref().is_some_and(|t| t.epoch == epoch) {
            // The claim that fenced this daemon is in the log and will be read.
            tracing::info!(epoch, "ownership lost: an append was fenced");
            self.tenure = None;
            self.publish();
        }
    }

    fn decide(&mut self) {
        let now = view::now();
        if now.since(self.expired_at) > EXPIRE_EVERY {
            self.expired_at = now;
            self.book.expire(now);
        }
        self.consider_snapshot(now);
        if self.tenure.is_none() {
            self.consider_claim(now);
            return;
        }
        self.carry_out();
        let Some(tenure) = &self.tenure else { return };
        if tenure.owner.is_clear(now) && !self.book.is_settled() {
            let epoch = tenure.epoch;
            self.record(vec![Entry::Settled { epoch }]);
        } else if now.since(tenure.last_sent) >= ALIVE_EVERY {
            let epoch = tenure.epoch;
            self.record(vec![Entry::Alive { epoch }]);
        }
    }

    /// Claims the shard when its owner has been silent for too long.
    fn consider_claim(&mut self, now: Millis) {
        let is_current = self.caught_up && now.since(self.heard) < DEAF;
        if !is_current || self.is_leaving || now.since(self.claimed_at) < CLAIM_PAUSE {
            return;
        }
        let claim = self.book.claim();
        // A slow store delays the owner's signs, and this daemon's view of them.
        let silence = SILENCE + self.pace.typical().times(SLOW_READS);
        // A claim of this instance that is not this process's is one of a process that has ended.
        let is_vacant = claim.owner.is_empty() || claim.owner == self.duty.name;
        let patience = if is_vacant { Millis::ZERO } else { silence };
        let stagger = Millis(self.duty.nonce % STAGGER);
        if self.heard.since(self.sign) < patience + stagger {
            return;
        }
        self.claimed_at = now;
        let epoch = claim.epoch + 1;
        let (owner, address) = (self.duty.name.clone(), self.duty.address.clone());
        let entry = Entry::Claimed { epoch, owner, address, nonce: self.duty.nonce };
        let append = Append::Claim { entry, epoch };
        if self.duty.ledger.offer(append).is_err() {
            tracing::warn!(epoch, "the ring of appends is full; no claim");
        }
    }

    fn publish(&self) {
        let epoch = self.tenure.as_ref().map(|t| t.epoch);
        let owner = self.book.claim().address.clone();
        let Self { caught_up, heard, covers, pace, .. } = *self;
        let facts = Facts { epoch, owner, caught_up, heard, covers, pace };
        self.duty.facts.send_replace(facts);
    }
}

fn owner_of(tenure: &mut Option<Tenure>, epoch: u64) -> Option<&mut Owner> {
    tenure.as_mut().filter(|t| t.epoch == epoch).map(|t| &mut t.owner)
}
