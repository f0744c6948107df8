//! The owner of a shard: places the tasks of all its jobs on all its workers.
//!
//! One daemon owns a shard at a time, under an epoch that the log fences. The owner takes in what
//! it read and what its calls were answered, and returns [`Effect`]s. Invariants:
//!
//! - A run is ordered only after its start is recorded.
//! - A start without an answer is not over until the worker took a stop for it: then it is either
//!   listed as ended or can't begin any more.
//! - A worker is told to forget an end only after that end is recorded.
//! - What a run needs counts as used until its end is listed, its worker has a new life, or the
//!   last lease that could reach it has run out.

pub mod advice;
mod answer;
mod life;
mod look;
pub mod order;
mod place;
mod stop;
#[cfg(test)]
mod tests;

use crate::clock::Millis;
use crate::contract::work::{Outcome, Stage};
use crate::ledger::shard::book::{Book, Change};
use crate::ledger::shard::{Entry, Life, Run};
use crate::machine::capacity::Capacity;
use crate::machine::host::{self, Host, Listed};
use advice::Desk;
use order::{Order, Start, Why};
use std::sync::Arc;

pub use answer::{StartAnswer, StopAnswer};
pub use look::{Miss, Report, Working};

/// Greatest time that a start is expected to wait for its record. It stays below what tickets are
/// valid for, or no ticket would be used again after an outage of the store.
const MAX_LEAD: Millis = Millis(500);

/// Figures that the owner's decisions rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Lease of what runs.
    pub lease: Millis,
    /// Longest time for which an owner renews leases without word from the store. A later owner
    /// waits for so long, and for a lease, before it gives up a worker that never answers.
    pub alone: Millis,
    /// Longest time a look waits for an end.
    pub look_wait: Millis,
    /// Pause between a look that found ends and the next one, so that ends are taken in groups.
    pub look_pause: Millis,
    /// Time between two tries of an order without answer.
    pub retry: Millis,
}

/// Number of the look before a run that an earlier owner recorded; own looks begin at 1.
const ADOPTED: u64 = 0;

/// Where a run is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Its start is being recorded.
    Recording,
    /// It was ordered and not answered yet.
    Ordered,
    /// Its worker took it, or an earlier owner recorded it. Looks that begin after `since` must
    /// list it.
    Working {
        /// Number of the last look before.
        since: u64,
    },
    /// It must stop: the next try is due at a time, `None` while one is in flight.
    Stopping {
        /// When to try (again).
        next: Option<Millis>,
    },
    /// The worker took the stop.
    Stopped {
        /// Number of the last look before.
        since: u64,
    },
    /// Its end or loss is being recorded.
    Ending,
}

/// A run that is not over.
#[derive(Clone, Debug)]
struct Running {
    run: Run,
    on: Arc<Life>,
    needs: Capacity,
    phase: Phase,
    ticket: Option<Box<str>>,
    /// When the ticket is no longer valid.
    valid_until: Millis,
    /// Whether it must stop as soon as it can be.
    doomed: bool,
    /// Why it stops, once it does.
    why: Why,
    /// Share of the work that is done, in hundredths, and when it last rose.
    progress: (u64, Millis),
}

/// What the caller of the owner must do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Append entries, in order; then call [`Owner::recorded`].
    Record(Entry),
    /// Call a worker.
    Order(Order),
    /// Ask the advisor through one of the daemons; then call [`Owner::advised`].
    Ask(advice::Question),
}

/// The owner.
#[derive(Debug)]
pub struct Owner {
    limits: Limits,
    /// Sorted by the worker's name.
    hosts: Vec<Host>,
    /// Sorted by run.
    runs: Vec<Running>,
    desk: Desk,
    /// Number of the last look.
    looks: u64,
    /// How long a start waits for its record, smoothed.
    lead: Millis,
    /// When every lease that an earlier owner granted has surely run out.
    clear_at: Millis,
    effects: Vec<Effect>,
    /// Whether something changed since the last placement.
    is_dirty: bool,
}

impl Owner {
    /// Returns the owner whose claim is the last entry of the log that `book` has.
    pub fn new(limits: Limits, book: &Book, now: Millis) -> Self {
        // An earlier owner grants leases until it has not heard from the store for too long.
        let granting = if book.claim().is_alone { Millis::ZERO } else { limits.alone };
        let mut owner = Self {
            limits,
            hosts: Vec::new(),
            runs: Vec::new(),
            desk: Desk::default(),
            looks: 0,
            lead: Millis::ZERO,
            clear_at: now + granting + host::lapse(limits.lease),
            effects: Vec::new(),
            is_dirty: true,
        };
        for (run, on) in book.placed() {
            let needs = needs_of(book, &run);
            owner.insert(Running::adopted(run, on, needs, now));
        }
        owner
    }

    /// Takes the present list of workers in.
    pub fn listed(&mut self, list: &[Listed], book: &Book, now: Millis) {
        for host in &mut self.hosts {
            host.is_listed = false;
        }
        for listed in list {
            match self.host_index(&listed.life.worker) {
                Ok(i) if self.hosts[i].life.born == listed.life.born => {
                    let host = &mut self.hosts[i];
                    host.is_listed = true;
                    self.is_dirty |= host.listed.draining != listed.draining;
                    host.listed = listed.clone();
                }
                Ok(i) if self.hosts[i].life.born < listed.life.born => {
                    self.renew_host(i, listed.clone(), book, now);
                }
                Ok(_) => {}
                Err(i) => {
                    let host = self.host_of(listed.clone(), book, now);
                    self.hosts.insert(i, host);
                    self.is_dirty = true;
                }
            }
        }
        self.hosts.retain(|h| h.is_listed || h.runs > 0);
    }

    /// Takes in that an own entry is recorded and that `book` has it.
    pub fn recorded(&mut self, entry: &Entry, book: &Book, now: Millis) {
        match entry {
            Entry::Started { runs, .. } => runs.iter().for_each(|run| self.order(*run, book, now)),
            Entry::Ended { on, ends } => {
                for end in ends {
                    self.remove(&end.run, on);
                    self.react(&end.run, end.outcome, on, book, now);
                }
                self.noted(on, ends.last().map_or(0, |e| e.number), now);
            }
            Entry::Lost(runs) => {
                for run in runs {
                    if let Ok(i) = self.run_index(run) {
                        self.drop_run(i);
                    }
                }
            }
            _ => {}
        }
        self.is_dirty = true;
    }

    /// Takes in what an entry changed, of whoever appended it.
    pub fn changed(&mut self, change: Change, now: Millis) {
        match change {
            Change::Over(id) => self.stop_job(id, now),
            Change::Accepted(_) | Change::Progress => self.is_dirty = true,
            Change::Claimed | Change::Saved | Change::Nothing => {}
        }
    }

    /// Decides what is to be done at `now` but for placement. `heard` is when the store last
    /// answered.
    pub fn tick(&mut self, book: &Book, now: Millis, heard: Millis) {
        if now.since(heard) < self.limits.alone {
            self.retry_stops(now);
            self.look(book, now);
        }
        self.settle_orphans(now);
    }

    /// Places what can be placed, if something has changed. `wall` is the time of day. This is what
    /// costs most: the caller says how often.
    pub fn schedule(&mut self, book: &Book, now: Millis, wall: Millis) {
        self.record_due(book, wall);
        self.desk.forget_closed(book.open());
        if self.is_dirty || self.desk.is_due(now) {
            self.is_dirty = false;
            self.place(book, now);
        }
    }

    /// Returns the effects of what was taken in since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the advisors' desk.
    pub const fn desk_mut(&mut self) -> &mut Desk {
        &mut self.desk
    }

    /// Returns the workers, by name.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// Returns whether no lease of an earlier owner can hold any more.
    pub fn is_clear(&self, now: Millis) -> bool {
        now >= self.clear_at
    }

    /// Returns how many runs are not over.
    pub const fn run_count(&self) -> usize {
        self.runs.len()
    }

    fn record_due(&mut self, book: &Book, wall: Millis) {
        for state in book.scheduled() {
            let Some(schedule) = state.job.schedule else { continue };
            let next = u32::try_from(state.passes.len()).unwrap_or(u32::MAX);
            let due = schedule.first + schedule.interval.times(next.into());
            if !state.is_over() && next < schedule.count && wall >= due {
                let entry = Entry::Due { job: state.job.id, occurrence: next };
                self.effects.push(Effect::Record(entry));
            }
        }
    }

    /// Records runs as lost; their room is free at once.
    fn lose(&mut self, lost: &[Run]) {
        let mut recorded = Vec::new();
        for run in lost {
            let Ok(i) = self.run_index(run) else { continue };
            if self.runs[i].phase == Phase::Ending {
                continue;
            }
            self.free(i);
            self.runs[i].phase = Phase::Ending;
            recorded.push(*run);
        }
        if !recorded.is_empty() {
            self.effects.push(Effect::Record(Entry::Lost(recorded)));
        }
    }

    fn order(&mut self, run: Run, book: &Book, now: Millis) {
        let Ok(i) = self.run_index(&run) else { return };
        if self.runs[i].phase != Phase::Recording {
            return;
        }
        // Rises at once and falls slowly, so that a slow store spoils few tickets.
        let waited = now.since(self.runs[i].progress.1);
        self.lead = MAX_LEAD.min(waited.max(Millis(self.lead.get() * 9 / 10)));
        let over = book.job(run.task.stage.job).is_none_or(|j| j.is_over());
        let expired = self.runs[i].ticket.is_some() && now >= self.runs[i].valid_until;
        if over || expired || self.runs[i].doomed {
            return self.refuse(run, book, now);
        }
        let lease = self.limits.lease;
        let Some(host) = self.host_mut(&Arc::clone(&self.runs[i].on)) else {
            return self.refuse(run, book, now);
        };
        let address = host.listed.address.clone();
        let lease_end = host.grant(lease, now);
        host.next_look = host.next_look.min(now + lease);
        let Some(state) = book.job(run.task.stage.job) else { return };
        let saved = state.task(&run.task).map(|t| t.saved.clone()).unwrap_or_default();
        let running = &mut self.runs[i];
        running.phase = Phase::Ordered;
        let (on, ticket) = (Arc::clone(&running.on), running.ticket.clone());
        let job = Arc::clone(&state.job);
        let start = Start { on, address, run, job, lease_end, saved, ticket };
        self.effects.push(Effect::Order(Order::Start(Box::new(start))));
    }

    /// The run has certainly not begun and will not: it is lost, and with it its gang.
    fn refuse(&mut self, run: Run, book: &Book, now: Millis) {
        self.lose(&[run]);
        self.break_gang(&run, book, now);
    }

    fn react(&mut self, run: &Run, outcome: Outcome, on: &Life, book: &Book, now: Millis) {
        if let Some(host) = self.host_mut(on) {
            match outcome {
                Outcome::Failed => host.strike(now),
                Outcome::Done => host.clear_strikes(),
                _ => {}
            }
        }
        if outcome != Outcome::Done {
            self.break_gang(run, book, now);
        }
        if book.job(run.task.stage.job).is_none_or(|j| j.is_over()) {
            self.stop_job(run.task.stage.job, now);
        }
    }

    fn host_index(&self, worker: &str) -> Result<usize, usize> {
        self.hosts.binary_search_by(|h| (*h.life.worker).cmp(worker))
    }

    /// Returns a worker, if it is still in that life.
    fn host(&self, life: &Life) -> Option<&Host> {
        let i = self.host_index(&life.worker).ok()?;
        Some(&self.hosts[i]).filter(|h| h.life.born == life.born)
    }

    fn host_mut(&mut self, life: &Life) -> Option<&mut Host> {
        let i = self.host_index(&life.worker).ok()?;
        Some(&mut self.hosts[i]).filter(|h| h.life.born == life.born)
    }

    fn run_index(&self, run: &Run) -> Result<usize, usize> {
        self.runs.binary_search_by(|r| r.run.cmp(run))
    }

    /// Returns whether a run of the task is not over.
    fn is_running(&self, task: &crate::contract::work::Task) -> bool {
        let i = self.runs.partition_point(|r| r.run.task < *task);
        self.runs.get(i).is_some_and(|r| r.run.task == *task)
    }

    fn insert(&mut self, running: Running) {
        if let Err(i) = self.run_index(&running.run) {
            if let Some(host) = self.host_mut(&running.on) {
                host.add(&running.needs);
            }
            self.runs.insert(i, running);
        }
    }

    /// Gives back what a run uses.
    fn free(&mut self, i: usize) {
        let needs = std::mem::take(&mut self.runs[i].needs);
        let on = Arc::clone(&self.runs[i].on);
        if let Some(host) = self.host_mut(&on) {
            host.used = host.used.saturating_sub(&needs);
        }
        self.is_dirty = true;
    }

    fn drop_run(&mut self, i: usize) {
        self.free(i);
        let running = self.runs.remove(i);
        if let Some(host) = self.host_mut(&running.on) {
            host.remove(&Capacity::ZERO);
        }
    }

    fn remove(&mut self, run: &Run, on: &Life) {
        if let Ok(i) = self.run_index(run)
            && *self.runs[i].on == *on
        {
            self.drop_run(i);
        }
    }
}

impl Running {
    fn adopted(run: Run, on: Arc<Life>, needs: Capacity, now: Millis) -> Self {
        Self {
            run,
            on,
            needs,
            phase: Phase::Working { since: ADOPTED },
            ticket: None,
            valid_until: Millis::MAX,
            doomed: false,
            why: Why::Stray,
            progress: (0, now),
        }
    }
}

fn step_of<'a>(book: &'a Book, stage: &Stage) -> Option<&'a crate::contract::work::Step> {
    book.job(stage.job)?.job.steps.get(usize::from(stage.step))
}

/// Returns what counts as used by a run.
fn needs_of(book: &Book, run: &Run) -> Capacity {
    step_of(book, &run.task.stage).map(place::counted).unwrap_or_default()
}
