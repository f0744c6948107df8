//! The steward duty: maintains the shard's replicated state (the replica) and, while this daemon owns
//! the shard, schedules its jobs.
//!
//! Ownership is decided by the log alone: this daemon owns the shard while the newest claim in the
//! log is its own. The daemon's own records are applied to the replica when the store acknowledges
//! them or when they are read back, whichever comes first; each is applied once and in order.

mod effects;
mod load;
mod notices;
mod outlook;
mod peers;
mod recorded;
mod snapshots;
mod stages;
mod teams;

use super::advice::Ask;
use super::border::Member;
use super::ledger::Append;
use super::metrics::Metrics;
use super::orders::Call;
use super::view::{self, Configuration, Peers, Prospect, ShardStatus};
use crate::duty::Duty;
use crate::ring::{Latest, Publisher, Receiver, Reply, Sender};
use effects::log_start;
use load::Load;
use peers::Peer;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::advice::{Allowed, Query};
use pimentovalve_core::contract::owner::order::{Poll, Start, Stop};
use pimentovalve_core::contract::owner::preview::Preview;
use pimentovalve_core::contract::owner::{
    Leftover, Limits, Owner, PollError, Report, StartAnswer, StopAnswer,
};
use pimentovalve_core::contract::work::{Id, Job, Status};
use pimentovalve_core::ledger::shard::replica::backlog::Backlog;
use pimentovalve_core::ledger::shard::replica::{Applied, Replica};
use pimentovalve_core::ledger::shard::snapshot::Snapshot;
use pimentovalve_core::ledger::shard::succession::{self, Standing};
use pimentovalve_core::ledger::shard::{Entry, Record};
use pimentovalve_core::link::response_time::{Least, ResponseTime};
use pimentovalve_core::machine::host::WorkerEntry;
use pimentovalve_wire::http::Pending;
use stages::{Stage, Stages};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Interval of the periodic work, such as polls that are due, and between scheduling passes when no
/// event arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time since its last record after which the owner appends a liveness record.
const ALIVE_INTERVAL: Millis = Millis(300);
/// Maximum number of events between two looks at the periodic work, so that a flood of events does not
/// keep leases from being renewed.
const MAX_BATCH: u64 = 256;
/// Minimum time between two claim attempts of this daemon.
const CLAIM_INTERVAL: Millis = Millis(500);
/// Maximum time since the last read to the end of the log for owner-failure detection. After a
/// longer gap the owner timeout restarts, since the owner may have written during the gap.
const MAX_READ_GAP: Millis = Millis(1200);
/// Interval between removals of expired entries from the replica.
const EXPIRY_INTERVAL: Millis = Millis::from_secs(10);

/// Input of the steward, from the other duties.
pub enum Event {
    /// A batch of records was read from the log.
    Read {
        /// The records, in log order.
        records: Vec<Record>,
        /// Encoded size of the records.
        bytes: usize,
        /// Offset of the record after the batch.
        next: u64,
        /// Whether the batch reached the end of the log.
        caught_up: bool,
        /// When the read was sent, on the steady clock.
        began: Millis,
    },
    /// This snapshot replaces the records before its offset, at the start or because they were
    /// trimmed before they were read.
    Restored(Box<Snapshot>),
    /// Records of this daemon were acknowledged by the store.
    Recorded {
        /// The records, in log order.
        records: Vec<Record>,
        /// When their append was first sent, on the steady clock.
        began: Millis,
    },
    /// An append of this daemon was rejected because a later epoch has claimed the shard. Earlier
    /// tries of the append may have been stored.
    Fenced {
        /// Epoch of the append.
        epoch: u64,
    },
    /// The complete list of workers was read.
    Listed {
        /// The workers.
        workers: Vec<WorkerEntry>,
        /// When the read was sent, on the steady clock.
        began: Millis,
    },
    /// The newest announcement of each daemon.
    Members(Vec<Member>),
    /// Answer to a start order: epoch, order, answer, and the reading of the worker's clock.
    Started(u64, Box<Start>, StartAnswer, Option<u64>),
    /// Answer to a stop order: epoch, order, answer, and the reading of the worker's clock.
    Stopped(u64, Stop, StopAnswer, Option<u64>),
    /// Outcome of a lease renewal and status poll of a worker, with the epoch it was sent under.
    Polled(u64, Poll, Result<Report, PollError>),
    /// Answer of the advisor, `None` when there was none, with the epoch it was requested under.
    AdvisorAnswered(u64, Query, Option<Vec<Allowed>>),
    /// Standing of the owner that the claim with this epoch names.
    OwnerAsked {
        /// Epoch of the claim.
        claim: u64,
        /// Its standing.
        standing: Standing,
    },
    /// A peer has read a newer claim, which names the owner with this address.
    OwnerFound {
        /// Epoch of the claim.
        claim: u64,
        /// Peer address of the owner.
        address: Box<str>,
    },
    /// The owner says that the store accepts its appends.
    OwnerServes {
        /// When it was asked, on the steady clock.
        asked: Millis,
    },
    /// The owner of the claim with this epoch has released the shard and asks this daemon to claim it.
    Invited {
        /// Epoch of the claim.
        claim: u64,
    },
    /// A caller requests the state of a job.
    Status(Id, Reply<Option<Status>>),
    /// A caller requests the number of jobs of a queue that have not started.
    Count(Box<str>, Reply<Backlog>),
    /// An operator requests what would become of a job. `None` if this daemon does not own the shard.
    Preview(Box<Job>, Reply<Option<Preview>>),
}

/// The steward duty.
pub struct Steward {
    /// Unique name of this daemon's instance.
    pub name: Box<str>,
    /// Address for peers: IP address and port.
    pub address: Box<str>,
    /// Random number drawn at process start; distinguishes processes of one instance.
    pub nonce: u64,
    /// Timing limits of the owner.
    pub limits: Limits,
    /// Retention time of the store's log.
    pub retention: Millis,
    /// Estimated time that this daemon needs to take over the shard.
    pub takeover: Millis,
    /// Cancelled when a planned stop begins; the steward then releases the shard.
    pub drain: CancellationToken,
    /// Configuration in force.
    pub configuration: Latest<Configuration>,
    /// Events from the other duties.
    pub events: Receiver<Event>,
    /// Ring to the ledger duty, for appends.
    pub ledger: Sender<Append>,
    /// Ring to the orders duty, for calls to workers.
    pub orders: Sender<Call>,
    /// Ring to the advice duty, for queries to the advisor.
    pub advice: Sender<Ask>,
    /// Counters of recorded decisions.
    pub metrics: Arc<Metrics>,
    /// Publishes ownership and log progress to the other duties.
    pub shard_status: Publisher<ShardStatus>,
    /// Publishes what waits, while this daemon owns the shard.
    pub prospect: Publisher<Prospect>,
    /// Publishes the addresses of the other daemons.
    pub peer_addresses: Publisher<Peers>,
}

impl Duty for Steward {
    fn name(&self) -> &'static str {
        "steward"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(State::new(*self).run(stop))
    }
}

/// State of this daemon's ownership of the shard.
struct Tenure {
    epoch: u64,
    owner: Owner,
    /// When it began.
    since: Millis,
    /// Sequence number of the last record passed to the ledger duty.
    last_sequence: u64,
    /// When a record was last passed to the ledger duty.
    last_record_at: Millis,
    /// Earliest time of the next placement pass.
    next_placement: Millis,
    /// Version of the configuration whose teams the owner has; zero before the first.
    teams_version: u64,
}

struct State {
    duty: Steward,
    replica: Replica,
    tenure: Option<Tenure>,
    /// When a record of the owner was last read, or the owner timeout was restarted.
    owner_seen_at: Millis,
    /// What the owner last said, or what its silence means, with the epoch of its claim.
    standing: (u64, Standing),
    /// Epoch and peer address of the owner before this daemon, while it may still grant leases.
    earlier_owner: Option<(u64, Box<str>)>,
    /// Newest claim that a peer has read, and the address of the owner that it names.
    found_owner: (u64, Box<str>),
    /// When the owner was last asked and said that the store accepts its appends.
    owner_served_at: Millis,
    /// When the log was last read to its end.
    log_read_at: Millis,
    /// When that read was sent: the replica contains everything appended before.
    covered_until: Millis,
    /// When the last append that the store acknowledged was sent: this daemon owned the shard then.
    append_sent_at: Millis,
    /// Latency estimate of log reads.
    response_time: ResponseTime,
    /// Shortest duration of a log read, while the store is not slow.
    least_read: Least,
    /// Epoch of the claim whose owner has asked this daemon to claim the shard next.
    invited: u64,
    /// Epoch that this daemon has released, and address of the daemon that it asks to claim the shard.
    successor: Option<(u64, Box<str>)>,
    caught_up: bool,
    /// Earliest time of this daemon's next claim.
    next_claim: Millis,
    workers: Vec<WorkerEntry>,
    /// When the read of that list was sent.
    workers_listed_at: Millis,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// When expired entries were last removed from the replica.
    replica_expired_at: Millis,
    is_draining: bool,
    /// Epoch and sequence number of the last owner record applied to the replica.
    last_applied: (u64, u64),
    /// Offset of the next record to read.
    next_offset: u64,
    /// When a snapshot was last saved or attempted, or this daemon started.
    snapshot_at: Millis,
    /// Whether the records that are in no snapshot were all appended after `snapshot_at`. Unknown, so false, once
    /// the process has found records at its start, until it sees a snapshot being saved.
    knows_snapshot_age: bool,
    /// Number of the last snapshot that this daemon tried to save.
    snapshot_tried: u64,
    /// Size of the log after the last snapshot, or after the last attempt.
    unsaved_bytes: usize,
    load: Load,
    /// When the waiting work was last summed up.
    outlook_at: Millis,
    /// Runs of ended jobs that may still execute, by the last count as the owner.
    leftover: Leftover,
    recorded: recorded::Runs,
    stages: Stages,
}

impl State {
    fn new(duty: Steward) -> Self {
        let now = view::now();
        Self {
            duty,
            replica: Replica::default(),
            tenure: None,
            owner_seen_at: now,
            standing: (0, Standing::Unknown),
            earlier_owner: None,
            found_owner: (0, "".into()),
            owner_served_at: Millis::ZERO,
            log_read_at: Millis::ZERO,
            covered_until: Millis::ZERO,
            append_sent_at: Millis::ZERO,
            response_time: ResponseTime::default(),
            least_read: Least::default(),
            invited: 0,
            successor: None,
            caught_up: false,
            next_claim: Millis::ZERO,
            workers: Vec::new(),
            workers_listed_at: Millis::ZERO,
            peers: Vec::new(),
            replica_expired_at: now,
            is_draining: false,
            last_applied: (0, 0),
            next_offset: 0,
            snapshot_at: now,
            knows_snapshot_age: true,
            snapshot_tried: 0,
            unsaved_bytes: 0,
            load: Load::default(),
            outlook_at: Millis::ZERO,
            leftover: Leftover::default(),
            recorded: recorded::Runs::default(),
            stages: Stages::default(),
        }
    }

    async fn run(mut self, stop: CancellationToken) {
        let drain = self.duty.drain.clone();
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                () = stop.cancelled() => break,
                () = drain.cancelled(), if !self.is_draining => self.drain(),
                _ = tick.tick() => self.on_tick(),
                event = self.duty.events.next() => {
                    let Some(event) = event else { break };
                    let (began, mut events) = (Instant::now(), 1);
                    self.handle(event);
                    while events < MAX_BATCH
                        && let Some(event) = self.duty.events.try_next()
                    {
                        self.handle(event);
                        events += 1;
                    }
                    self.recorded.log();
                    self.run_owner();
                    self.load.add_work(events, began);
                    self.log_load();
                }
            }
        }
    }

    /// Stops owning the shard for good, because a planned stop has begun.
    fn drain(&mut self) {
        self.is_draining = true;
        self.choose_successor(view::now());
        self.release();
        self.publish();
    }

    /// Releases the shard, so that another daemon can claim it without waiting for the timeout.
    fn release(&mut self) {
        if let Some(epoch) = self.tenure.as_ref().map(|t| t.epoch) {
            self.record(vec![Entry::Released { epoch }]);
            tracing::info!(epoch, "ownership released");
            self.tenure = None;
            self.publish();
        }
    }

    fn handle(&mut self, event: Event) {
        let now = view::now();
        match event {
            Event::Read { records, bytes, next, caught_up, began } => {
                self.unsaved_bytes += bytes;
                // How long a part of a long log takes depends on its size and not on the store.
                if self.caught_up {
                    self.response_time.record(now.since(began));
                    if !self.response_time.is_slow() {
                        self.least_read.record(now.since(began), now);
                    }
                }
                self.apply_read(records, next, caught_up.then_some(began), now);
            }
            Event::Restored(snapshot) => self.restore(*snapshot, now),
            Event::Recorded { records, began } => {
                self.append_sent_at = began;
                for record in records {
                    self.apply(record, now);
                }
                self.publish();
            }
            Event::Fenced { epoch } => self.fenced(epoch),
            Event::Listed { workers, began } => {
                (self.workers, self.workers_listed_at) = (workers, began);
                if let Some(tenure) = &mut self.tenure {
                    tenure.owner.update_workers(&self.workers, &self.replica, now);
                }
            }
            Event::Members(members) => self.update_members(members, now),
            Event::OwnerAsked { claim, standing } => {
                self.standing = (claim, standing);
                self.consider_earlier_owner(now);
            }
            Event::OwnerFound { claim, address } => {
                self.found_owner = (claim, address);
                self.publish();
            }
            Event::OwnerServes { asked } => {
                self.owner_served_at = asked;
                self.publish();
            }
            Event::Invited { claim } => {
                self.invited = self.invited.max(claim);
                self.consider_claim(now);
            }
            Event::Status(id, reply) => {
                // The receiver is gone when the caller has disconnected.
                let _ = reply.send(self.replica.status(id));
            }
            Event::Count(queue, reply) => {
                let _ = reply.send(self.replica.backlog(&queue));
            }
            Event::Preview(job, reply) => {
                let tenure = self.tenure.as_ref();
                let preview = tenure.map(|t| t.owner.preview(&self.replica, &job, now));
                let _ = reply.send(preview);
            }
            Event::Started(epoch, start, answer, clock) => {
                let Start { on, run, .. } = *start;
                log_start(&run, answer);
                if matches!(answer, StartAnswer::Taken | StartAnswer::TakenOnRepeat) {
                    let job = run.task.step_id.job;
                    self.stages.reached(job, Stage::Begun, now, &self.duty.metrics);
                }
                if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                    owner.start_answered(&on, &run, answer, clock, &self.replica, now);
                }
            }
            Event::Stopped(epoch, stop, answer, clock) => {
                notices::log_stop(&stop, answer, epoch, now);
                notices::record_stop(&stop, answer, &self.replica, &self.duty.metrics, now);
                let Stop { on, run, .. } = stop;
                if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                    owner.stop_answered(&on, &run, answer, clock, &self.replica, now);
                }
            }
            Event::Polled(epoch, poll, report) => {
                notices::log_poll(&poll, &report, epoch);
                let Poll { on, number, .. } = poll;
                if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                    let report = report.as_ref().map_err(|error| *error);
                    owner.poll_answered(&on, number, report, &self.replica, now);
                }
            }
            Event::AdvisorAnswered(epoch, query, answer) => {
                let (step, named) = (query.step_id, query.workers.len());
                self.stages.reached(step.job, Stage::Advised, now, &self.duty.metrics);
                let allowed = answer.as_ref().map(Vec::len);
                tracing::info!(job = %step.job, %step, through = %query.through, named, ?allowed,
                    "advisor call finished");
                if let Some(owner) = owner_of(&mut self.tenure, epoch) {
                    owner.advisor_answered(&query, answer.as_deref(), &self.replica, now);
                }
            }
        }
    }

    /// Applies a batch of records. `began` is the start time of a read that reached the end of the
    /// log, `None` for any other read.
    fn apply_read(&mut self, records: Vec<Record>, next: u64, began: Option<Millis>, now: Millis) {
        if now.since(self.log_read_at) > MAX_READ_GAP {
            self.owner_seen_at = now;
        }
        self.next_offset = next;
        for record in records {
            if record.epoch != 0 {
                self.owner_seen_at = now;
                self.standing.1 = Standing::Unknown;
            }
            self.apply(record, now);
        }
        if let Some(began) = began {
            (self.log_read_at, self.covered_until) = (now, began);
            if !self.caught_up {
                self.caught_up = true;
                self.owner_seen_at = now;
                self.knows_snapshot_age &= self.next_offset == 0;
                let jobs = self.replica.jobs().len();
                tracing::info!(
                    next,
                    jobs,
                    epoch = self.replica.claim().epoch,
                    "caught up with the log"
                );
            }
            self.publish();
        }
    }

    /// Applies a record to the replica. An owner record that was applied before is ignored.
    fn apply(&mut self, record: Record, now: Millis) {
        let Record { epoch, sequence, entry } = record;
        if epoch != 0 {
            if (epoch, sequence) <= self.last_applied {
                return;
            }
            self.last_applied = (epoch, sequence);
        }
        let before = (self.replica.claim().epoch, self.replica.claim().address.clone());
        let applied = self.replica.apply(entry.clone(), now);
        if let Some(tenure) = &mut self.tenure {
            if epoch == tenure.epoch {
                self.recorded.add(&entry, epoch, &self.duty.metrics);
                if let (Entry::Crashed { on, .. }, Applied::Over(job)) = (&entry, applied) {
                    let worker = &on.worker;
                    tracing::warn!(%job, %worker, epoch, "job given up: workers crashed under its task");
                }
                if let Entry::Started { runs, .. } = &entry {
                    for run in runs {
                        let job = run.task.step_id.job;
                        self.stages.reached(job, Stage::Recorded, now, &self.duty.metrics);
                    }
                }
                tenure.owner.entry_recorded(&entry, &self.replica, now);
            }
            match applied {
                Applied::Accepted(job) => self.stages.accepted(job, now),
                Applied::Over(job) => self.stages.ended(job),
                _ => {}
            }
            tenure.owner.entry_applied(applied, now);
        }
        if applied == Applied::Saved {
            (self.snapshot_at, self.unsaved_bytes) = (now, 0);
            // A record that was there before this process says nothing of the time.
            self.knows_snapshot_age |= self.caught_up;
        }
        if applied == Applied::Claimed {
            self.owner_seen_at = now;
            self.earlier_owner = Some(before).filter(|(_, address)| !address.is_empty());
            self.claimed(now);
        }
    }

    /// Updates the ownership after the current claim has changed: to this daemon, to another one, or
    /// to none.
    fn claimed(&mut self, now: Millis) {
        let claim = self.replica.claim();
        let (epoch, owner) = (claim.epoch, claim.owner.clone());
        let is_own = owner == self.duty.name && claim.nonce == self.duty.nonce;
        if let Some(tenure) = self.tenure.take() {
            tracing::info!(epoch = tenure.epoch, by = %owner, next_epoch = epoch, "ownership lost");
        }
        self.stages.clear();
        if is_own && !self.is_draining {
            let mut owner = Owner::new(self.duty.limits, &self.replica, now);
            owner.update_workers(&self.workers, &self.replica, now);
            let runs = owner.run_count();
            tracing::info!(epoch, jobs = self.replica.jobs().len(), runs, "ownership taken");
            self.leftover = owner.leftover(&self.replica, now);
            self.tenure = Some(Tenure {
                epoch,
                owner,
                since: now,
                last_sequence: 0,
                last_record_at: now,
                next_placement: now,
                teams_version: 0,
            });
            self.update_askers(now);
            self.consider_earlier_owner(now);
            self.hasten_snapshot(now);
        }
        self.publish();
    }

    /// Shortens the wait for the leases of the owner before this daemon once the process at its address
    /// has said that it does not own the shard. Leases of owners before that one must have expired.
    fn consider_earlier_owner(&mut self, now: Millis) {
        let (asked, standing) = self.standing;
        let is_it = self.earlier_owner.as_ref().is_some_and(|(epoch, _)| *epoch == asked);
        let has_ended = is_it && standing == Standing::Disowned;
        let Some(tenure) = self.tenure.as_mut().filter(|_| has_ended) else { return };
        self.earlier_owner = None;
        if self.replica.only_last_owner_unsettled() {
            tracing::info!(epoch = tenure.epoch, "earlier owner grants no leases any more");
            tenure.owner.earlier_owners_ended(now);
        }
        self.publish();
    }

    /// Ends the tenure of this epoch after one of its appends was fenced.
    fn fenced(&mut self, epoch: u64) {
        if self.tenure.as_ref().is_some_and(|t| t.epoch == epoch) {
            // The claim that fenced this daemon is in the log and will be read later.
            tracing::info!(epoch, "ownership lost: append fenced by a later epoch");
            self.tenure = None;
            self.publish();
        }
    }

    /// Runs periodic work: expiry, snapshots, and either claiming or the owner's scheduling.
    fn on_tick(&mut self) {
        let now = view::now();
        if now.since(self.replica_expired_at) > EXPIRY_INTERVAL {
            self.replica_expired_at = now;
            self.replica.expire(now);
        }
        self.consider_snapshot(now);
        let Some(tenure) = &mut self.tenure else { return self.consider_claim(now) };
        let began = Instant::now();
        let heard = self.covered_until.max(self.append_sent_at);
        tenure.owner.tick(&self.replica, now, heard);
        self.run_owner();
        self.load.add_work(0, began);
        self.log_load();
        self.publish_outlook(now);
        self.consider_handover(now);
        let Some(tenure) = &self.tenure else { return };
        if tenure.owner.earlier_leases_expired(now) && !self.replica.old_leases_expired() {
            let epoch = tenure.epoch;
            self.record(vec![Entry::Settled { epoch }]);
        } else if now.since(tenure.last_record_at) >= ALIVE_INTERVAL {
            let epoch = tenure.epoch;
            self.record(vec![Entry::Alive { epoch }]);
        }
    }

    /// Claims the shard if it has no owner or the owner has timed out. The timeout counts up to the
    /// last complete read of the log, not to the present.
    fn consider_claim(&mut self, now: Millis) {
        let is_current = self.caught_up && now.since(self.log_read_at) < MAX_READ_GAP;
        let owns = self.tenure.is_some();
        if !is_current || owns || self.is_draining || now < self.next_claim {
            return;
        }
        let claim = self.replica.claim();
        let (asked, standing) = self.standing;
        let standing = if asked == claim.epoch { standing } else { Standing::Unknown };
        let timeout = standing.timeout(&self.response_time);
        // Without a tenure, a claim in this instance's name is from an earlier process, which has
        // ended, or from a tenure that this process gave up.
        let is_vacant = claim.owner.is_empty() || claim.owner == self.duty.name;
        let is_released = claim.owner.is_empty() && claim.epoch > 0;
        let timeout = if is_vacant { succession::vacancy_timeout(is_released) } else { timeout };
        let delay = succession::claim_delay(self.takeover(), self.duty.nonce, &self.response_time);
        // The process that says it does not own the shard writes no record that could be unread.
        let until = if standing == Standing::Disowned { now } else { self.log_read_at };
        let is_invited = self.invited > 0 && self.invited == claim.epoch;
        if !is_invited && until.since(self.owner_seen_at) < timeout + delay {
            return;
        }
        self.next_claim = now + CLAIM_INTERVAL;
        let epoch = claim.epoch + 1;
        let (owner, address) = (self.duty.name.clone(), self.duty.address.clone());
        let entry = Entry::Claimed { epoch, owner, address, nonce: self.duty.nonce };
        let append = Append::Claim { entry, epoch };
        if self.duty.ledger.offer(append).is_err() {
            tracing::warn!(epoch, "append ring full; shard not claimed");
        }
    }

    /// Publishes the shard's status to the other duties.
    fn publish(&self) {
        let epoch = self.tenure.as_ref().map(|t| t.epoch);
        let claim = self.replica.claim();
        let (found, address) = &self.found_owner;
        let owner = if *found > claim.epoch { address } else { &claim.address };
        let (claim_epoch, is_vacant) = (claim.epoch, claim.owner.is_empty());
        let (claim, owner) = (claim.epoch, owner.clone());
        let Self { caught_up, owner_seen_at, log_read_at, covered_until, response_time, .. } =
            *self;
        let can_own = caught_up && !self.is_draining;
        let (owned_until, owner_served_at) = (self.append_sent_at, self.owner_served_at);
        let is_waiting = epoch.is_some() && !self.replica.old_leases_expired();
        let earlier_owner = self.earlier_owner.clone().filter(|_| is_waiting);
        let distance = self.distance();
        // The daemon is asked only once the release is in the log: its claim would fence it.
        let is_released = |epoch| claim_epoch == epoch && is_vacant;
        let successor = self.successor.clone().filter(|(epoch, _)| is_released(*epoch));
        let leftover = epoch.map(|_| self.leftover).unwrap_or_default();
        let shard_status = ShardStatus {
            epoch,
            claim,
            owner,
            earlier_owner,
            owner_seen_at,
            owner_served_at,
            caught_up,
            log_read_at,
            covered_until,
            owned_until,
            can_own,
            response_time,
            distance,
            successor,
            leftover,
        };
        self.duty.shard_status.send_replace(shard_status);
    }
}

/// Returns the owner if the present tenure has this epoch; answers to calls of an earlier tenure are
/// ignored.
fn owner_of(tenure: &mut Option<Tenure>, epoch: u64) -> Option<&mut Owner> {
    tenure.as_mut().filter(|t| t.epoch == epoch).map(|t| &mut t.owner)
}
