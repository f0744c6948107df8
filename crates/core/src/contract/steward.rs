//! The steward of partitions: accepts jobs, places their tasks, claims keys.
//!
//! Every step rests on a record that came first in the partition's stream, so that two instances
//! that both believe to be the steward do no harm. What must be done next is derived from the
//! book at each tick ([`Steward::tick`]), so that a steward which starts in the middle of anything
//! goes on with it. Model: `specs/attempt.tla`, `specs/claim.tla`.

mod ask;
mod place;
#[cfg(test)]
mod tests;

use crate::clock::Millis;
use crate::contract::configuration::Configuration;
use crate::contract::job::{self, Job};
use crate::contract::planner::Planner;
use crate::contract::request::{self, Answer, Request};
use crate::contract::status::{self, Refusal};
use crate::contract::task;
use crate::ledger::attempt::Sightings;
use crate::ledger::book::Book;
use crate::ledger::fleet::Fleet;
use crate::ledger::record::{self, Change, Record, Register};
use crate::ledger::{Offset, Stream, Verdict};
use crate::machine::controller::{Ending, Grant, Standing, Wish};
use crate::machine::lease::Bounds;
use crate::name::Name;
use serde::{Deserialize, Serialize};

pub use place::Flight;

/// Number of a question whose asker waits.
pub type Ticket = u64;

/// What an entry instance asks of the steward of a team's partition.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ask {
    /// Accept a job.
    Submit(Job),
    /// Tell the state of a job.
    Status {
        /// Its team.
        team: Name,
        /// The job.
        job: job::Id,
    },
    /// Cancel a job.
    Cancel {
        /// Its team.
        team: Name,
        /// The job.
        job: job::Id,
    },
    /// Tell the answer to a non-idempotent request.
    Answered {
        /// Its team.
        team: Name,
        /// The request.
        request: request::Id,
    },
    /// Claim the key of a non-idempotent request, for the sender to send it once.
    Claim {
        /// The request.
        request: Request,
        /// Number of the submission, unique over all instances and starts. Asked again with the
        /// same number, the steward knows whose claim it is.
        sender: u64,
    },
    /// Record the answer to a claimed request.
    Settle {
        /// Its team.
        team: Name,
        /// The request.
        request: request::Id,
        /// The answer.
        answer: Answer,
    },
    /// Release a held task.
    Release {
        /// Its team.
        team: Name,
        /// The task.
        task: task::Id,
        /// The attempt that the operator knows to be over.
        attempt: task::Attempt,
        /// Name of the operator's key.
        operator: Name,
    },
}

impl Ask {
    /// Returns the team whose partition the question is about.
    pub const fn team(&self) -> &Name {
        match self {
            Self::Submit(job) => &job.team,
            Self::Claim { request, .. } => &request.team,
            Self::Status { team, .. }
            | Self::Cancel { team, .. }
            | Self::Answered { team, .. }
            | Self::Settle { team, .. }
            | Self::Release { team, .. } => team,
        }
    }
}

/// Answer to [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    /// The job as it is now.
    Job(status::Job),
    /// The answer as it is known now.
    Answer(Answer),
    /// The key is claimed: send the request, once.
    Claimed,
    /// The answer or the release is recorded.
    Settled,
    /// There is no such job or request.
    Nothing,
    /// Refused.
    Refused(Refusal),
    /// The sender must ask another instance: this one isn't the steward.
    Elsewhere,
}

/// What the steward wants to be carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Append a record to a stream.
    Append {
        /// The stream.
        stream: Stream,
        /// The record.
        record: Record,
    },
    /// Tell the worker's controller.
    Wish(Wish),
    /// Answer a question.
    Tell {
        /// The question.
        ticket: Ticket,
        /// The answer.
        told: Told,
    },
    /// Note in the time line that a record of this instance was judged.
    Note {
        /// Its stream.
        stream: Stream,
        /// Its position.
        offset: Offset,
        /// The record.
        record: Record,
        /// What replay made of it.
        verdict: Verdict,
    },
}

/// How an append ended, as far as its writer can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Landing {
    /// It landed; its verdict comes with the stream's rows.
    Landed,
    /// It did not land and never will.
    Refused,
    /// It may have landed or may land later; the stream's rows up to now don't have it.
    Unknown,
}

/// A record of this instance whose verdict isn't known yet.
#[derive(Clone, Debug)]
struct Pending {
    id: record::Id,
    partition: u16,
    register: Register,
    ticket: Option<Ticket>,
}

/// One partition.
#[derive(Clone, Debug)]
struct Partition {
    index: u16,
    book: Book,
    /// Whether the book was read to the end of the stream at least once.
    complete: bool,
}

/// Settings of a steward.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Partitions of the ledger.
    pub partitions: u16,
    /// Fencing bounds.
    pub bounds: Bounds,
    /// Time for which a reservation holds.
    pub reservation: Millis,
    /// Time after which an unanswered wish is repeated.
    pub repeat: Millis,
    /// Time for which ended jobs and claimed keys are kept; the same at all instances.
    pub window: Millis,
    /// Most placements in one decision round.
    pub round: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            partitions: 16,
            bounds: Bounds::default(),
            reservation: Millis::from_secs(5),
            repeat: Millis::from_secs(2),
            window: Millis::from_secs(3600),
            round: 256,
        }
    }
}

/// The steward of some partitions.
pub struct Steward {
    own: Name,
    config: Config,
    configuration: Configuration,
    /// Whether new work may be taken: the configuration is current and the daemon isn't draining.
    open: Result<(), request::Reason>,
    fleet: Fleet,
    /// When this instance first saw each loss in force.
    sightings: Sightings,
    /// Since when every controller must ask this instance, if that can be shown.
    asked_since: Option<Millis>,
    planner: Box<dyn Planner>,
    /// Sorted by index.
    partitions: Vec<Partition>,
    /// Sorted by id.
    pending: Vec<Pending>,
    /// Tasks on their way to a worker or on one. Sorted by task.
    flights: Vec<Flight>,
    /// When all flights were last looked at.
    followed: Millis,
    /// Whether a flight must be looked at without delay.
    urgent: bool,
    /// Workers' latest standings. Sorted by worker.
    standings: Vec<Standing>,
    numbers: u64,
    effects: Vec<Effect>,
}

impl Steward {
    /// Returns a steward of no partition. `own` is the writer's name in its records.
    pub fn new(own: Name, config: Config, planner: Box<dyn Planner>) -> Self {
        Self {
            own,
            config,
            configuration: Configuration::default(),
            open: Err(request::Reason::Configuration),
            fleet: Fleet::default(),
            sightings: Sightings::default(),
            asked_since: None,
            planner,
            partitions: Vec::new(),
            pending: Vec::new(),
            flights: Vec::new(),
            followed: Millis::ZERO,
            urgent: false,
            standings: Vec::new(),
            numbers: 0,
            effects: Vec::new(),
        }
    }

    /// Takes the effects that have come up since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes in the configuration in force, if it is newer.
    pub fn configure(&mut self, configuration: &Configuration) {
        if configuration.version > self.configuration.version {
            self.configuration = configuration.clone();
            self.planner.configure(configuration);
        }
    }

    /// Takes in whether new work may be taken, or why not.
    pub fn open(&mut self, open: Result<(), request::Reason>) {
        self.open = open;
    }

    /// Takes in the losses in force, if they are newer.
    pub fn fleet(&mut self, fleet: &Fleet, now: Millis) {
        if fleet.next <= self.fleet.next {
            return;
        }
        self.fleet = fleet.clone();
        self.sightings.note(fleet, now);
    }

    /// Takes in since when every controller must ask this instance before it renews on the word
    /// of its peers; without it, this instance may not rest on a loss.
    pub fn asked_since(&mut self, since: Option<Millis>) {
        self.asked_since = since;
    }

    /// Forgets a worker that has left the fleet.
    pub fn forget(&mut self, worker: &Name) {
        self.planner.forget(worker);
        self.standings.retain(|s| s.worker.name != *worker);
    }

    /// Returns the policy, for its measures.
    pub fn planner(&self) -> &dyn Planner {
        &*self.planner
    }

    /// Returns the policy, for what peers tell it and it tells them.
    pub fn planner_mut(&mut self) -> &mut (dyn Planner + 'static) {
        &mut *self.planner
    }

    /// Returns the partitions of which this is the steward.
    pub fn partitions(&self) -> impl Iterator<Item = u16> + '_ {
        self.partitions.iter().map(|p| p.index)
    }

    /// Becomes the steward of a partition, from the book of a snapshot or an empty one.
    pub fn take(&mut self, index: u16, book: Option<Book>) {
        let book = book.unwrap_or_else(|| Book::new(self.config.window));
        if let Err(i) = self.partitions.binary_search_by_key(&index, |p| p.index) {
            self.partitions.insert(i, Partition { index, book, complete: false });
        }
    }

    /// Is no longer the steward of a partition.
    pub fn give_up(&mut self, index: u16) {
        let Ok(i) = self.partitions.binary_search_by_key(&index, |p| p.index) else {
            return;
        };
        let gone = self.partitions.remove(i);
        self.flights.retain(|flight| gone.book.task(&flight.task).is_none());
        let jobs: Vec<Name> = gone.book.jobs().iter().map(|e| e.job.id.clone()).collect();
        self.planner.drop_jobs(&jobs);
        let lost: Vec<Pending> = self.pending.extract_if(.., |p| p.partition == index).collect();
        for ticket in lost.into_iter().filter_map(|p| p.ticket) {
            self.tell(ticket, Told::Refused(Refusal::unknown()));
        }
    }

    /// Returns the book of a partition, if it was read to the end of its stream.
    pub fn book(&self, index: u16) -> Option<&Book> {
        let i = self.partitions.binary_search_by_key(&index, |p| p.index).ok()?;
        Some(&self.partitions[i]).filter(|p| p.complete).map(|p| &p.book)
    }

    /// Takes in rows of a partition's stream, and whether they reach its end.
    pub fn rows(&mut self, index: u16, rows: &[(Offset, Record)], at_end: bool, now: Millis) {
        let Ok(i) = self.partitions.binary_search_by_key(&index, |p| p.index) else {
            return;
        };
        for (offset, record) in rows {
            let partition = &mut self.partitions[i];
            if *offset < partition.book.next {
                continue;
            }
            let verdict = partition.book.apply(*offset, record);
            let complete = partition.complete;
            if record.id.writer == self.own {
                self.effects.push(Effect::Note {
                    stream: Stream::Partition(index),
                    offset: *offset,
                    record: record.clone(),
                    verdict,
                });
            }
            if complete && verdict == Verdict::Accepted {
                self.accepted(i, record, now);
            }
            self.settle_pending(i, record, verdict, now);
        }
        if at_end && !self.partitions[i].complete {
            self.partitions[i].complete = true;
            self.adopt_book(i, now);
        }
    }

    /// Takes in how an append of this instance ended.
    pub fn landed(&mut self, id: &record::Id, landing: Landing) {
        let Ok(i) = self.pending.binary_search_by(|p| p.id.cmp(id)) else {
            return;
        };
        if landing == Landing::Landed {
            return;
        }
        let pending = self.pending.remove(i);
        if let Some(ticket) = pending.ticket {
            let refusal = match landing {
                Landing::Refused => Refusal::not_run(request::Reason::Ledger, Millis::from_secs(2)),
                _ => Refusal::unknown(),
            };
            self.tell(ticket, Told::Refused(refusal));
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        self.follow_up(now);
        self.place(now);
    }

    /// Takes in a controller's report; returns worker and sequence of the ended attempts that are
    /// recorded.
    pub fn report(
        &mut self,
        standings: &[Standing],
        endings: &[Ending],
        now: Millis,
    ) -> Vec<(Name, u64)> {
        for standing in standings {
            self.stand(standing, now);
        }
        endings
            .iter()
            .filter(|ending| self.ended(ending, now))
            .map(|ending| (ending.worker.clone(), ending.ended.sequence))
            .collect()
    }

    /// Takes in a controller's answer to a wish.
    pub fn granted(&mut self, wish: &Wish, grant: Grant, now: Millis) {
        self.grant(wish, grant, now);
    }

    /// Takes in a standing, unless the worker has another controller since. The word of a newer
    /// controller counts as the newer one whatever the clocks say.
    fn stand(&mut self, standing: &Standing, now: Millis) {
        let mut standing = standing.clone();
        match self.standings.binary_search_by(|s| s.worker.name.cmp(&standing.worker.name)) {
            Ok(i) if standing.epoch >= self.standings[i].epoch => {
                if standing.epoch > self.standings[i].epoch {
                    let after = self.standings[i].as_of + Millis(1);
                    standing.as_of = standing.as_of.max(after);
                }
                self.standings[i] = standing.clone();
            }
            Ok(_) => return,
            Err(i) => self.standings.insert(i, standing.clone()),
        }
        self.planner.stand(&standing, now);
    }

    fn tell(&mut self, ticket: Ticket, told: Told) {
        self.effects.push(Effect::Tell { ticket, told });
    }

    fn append(
        &mut self,
        partition: u16,
        register: Register,
        expect: u64,
        change: Change,
        ticket: Option<Ticket>,
        now: Millis,
    ) {
        self.numbers += 1;
        let id = record::Id { writer: self.own.clone(), number: self.numbers };
        let pending = Pending { id: id.clone(), partition, register: register.clone(), ticket };
        let record = Record { id, at: now, register, expect, change };
        if let Err(i) = self.pending.binary_search_by(|p| p.id.cmp(&pending.id)) {
            self.pending.insert(i, pending);
        }
        self.effects.push(Effect::Append { stream: Stream::Partition(partition), record });
    }

    /// Returns whether a record of this instance on the register awaits its verdict.
    fn is_pending(&self, register: &Register) -> bool {
        self.pending.iter().any(|p| p.register == *register)
    }

    fn partition_of(&self, team: &Name) -> Option<usize> {
        let Stream::Partition(index) = Stream::of_team(team, self.config.partitions) else {
            return None;
        };
        self.partitions
            .binary_search_by_key(&index, |p| p.index)
            .ok()
            .filter(|&i| self.partitions[i].complete)
    }
}
