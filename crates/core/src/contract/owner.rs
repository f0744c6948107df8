//! The owner of a shard: schedules the tasks of the shard's jobs on the shard's workers.
//!
//! One daemon owns a shard at a time, under an epoch that the log fences. The owner is a state
//! machine without I/O: its inputs are log entries and the answers to its calls, its outputs are
//! [`Effect`]s. Invariants:
//!
//! - A start order is sent only after the start is recorded in the log.
//! - A start order that got no answer stays open until the worker acknowledges a stop for the run.
//!   From then on the run is either reported as ended or can no longer begin in that incarnation; a
//!   later one is watched for it.
//! - Which runs must stop follows from the state of the log and of the workers' reports, not only from
//!   the event that changed it: another owner may have seen that event.
//! - A worker is told to discard an end only after that end is recorded in the log.
//! - The capacity of a run counts as used until the worker reports its end, the worker restarts
//!   (a new incarnation, [`Incarnation`]), or the last lease under which the run can execute has expired.

mod account;
pub mod advice;
mod answer;
mod backlog;
mod crash;
mod gang;
mod haste;
mod incarnation;
mod lead;
mod notice;
pub mod order;
pub mod outlook;
mod overrun;
mod place;
mod poll;
pub mod preview;
mod runs;
mod stop;
#[cfg(test)]
mod tests;
mod turnover;
mod wait;

use crate::clock::Millis;
use crate::contract::roster::Roster;
use crate::contract::work::{Outcome, Step, StepId, Task};
use crate::ledger::shard::replica::{Applied, Replica};
use crate::ledger::shard::{Entry, Incarnation, Run};
use crate::machine::capacity::Capacity;
use crate::machine::host::{self, Host, WorkerEntry};
use crate::machine::speed::Timed;
use crate::name::Name;
use account::Accounts;
use advice::Queries;
use backlog::Backlog;
use haste::Paces;
use order::{Order, Start, StopReason};
use outlook::Inflow;
use overrun::Overruns;
use runs::Runs;
use std::sync::Arc;
use turnover::Turnover;

pub use answer::{StartAnswer, StopAnswer};
pub use haste::Speeds;
pub use notice::{Leftover, Notice, Tally};
pub use poll::{PollError, Progress, Report};
pub use wait::{Wait, Waited};

/// Upper bound of the estimated time to record a start. It must stay below the validity of
/// tickets: otherwise every ticket would count as expired after an outage of the store.
const MAX_RECORD_DELAY: Millis = Millis(500);

/// Time limits of an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Duration of the lease that a worker holds for its runs.
    pub lease: Millis,
    /// Longest lease that a worker grants. It shortens a longer one to this.
    pub max_lease: Millis,
    /// Longest time for which an owner renews leases while the store does not answer. A later
    /// owner waits for this time plus one lease before it gives up a worker that never answers.
    pub max_store_silence: Millis,
    /// Longest time for which a worker holds a status poll open until a run ends.
    pub poll_wait: Millis,
    /// Pause between the answer to a poll and the next poll, so that ends are collected in batches.
    pub poll_pause: Millis,
    /// Time between two attempts of a stop order that got no answer.
    pub retry: Millis,
    /// Longest time that a worker takes to stop a run.
    pub max_stop: Millis,
}

/// Poll number that stands for "before this owner's first poll"; own polls are numbered from 1.
/// Runs that an earlier owner recorded carry it.
const BEFORE_FIRST_POLL: u64 = 0;

/// State of a run from its recorded start to its recorded end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The append of its start to the log is in flight.
    Recording,
    /// The start order is in flight.
    Ordered,
    /// The worker accepted the start, or an earlier owner recorded it. The answer to every poll
    /// with a number above `since` must list the run.
    Working {
        /// Number of the last poll that was sent before this state began.
        since: u64,
    },
    /// The run must stop.
    Stopping {
        /// When to send the next stop order; `None` while one is in flight.
        next: Option<Millis>,
    },
    /// The worker acknowledged the stop order.
    Stopped {
        /// Number of the last poll that was sent before this state began.
        since: u64,
        /// When the worker acknowledged the stop.
        at: Millis,
    },
    /// The append of its end or loss to the log is in flight.
    Ending,
}

/// A run whose end or loss is not recorded yet.
#[derive(Clone, Debug)]
struct Running {
    run: Run,
    on: Arc<Incarnation>,
    /// The team whose quota it counts against.
    team: Option<Name>,
    needs: Capacity,
    phase: Phase,
    ticket: Option<Box<str>>,
    /// When the ticket expires.
    valid_until: Millis,
    /// Whether a stop was requested before the worker answered the start order. The stop order is
    /// sent once the start is answered.
    stop_requested: bool,
    /// Reason of the stop; meaningful only once the run stops.
    reason: StopReason,
    /// When its stop was first ordered.
    stopping_since: Option<Millis>,
    /// When it was placed; `None` if an earlier owner placed it or its worker did not answer meanwhile.
    placed_at: Option<Millis>,
    /// Completed share of the work in percent, and when it last rose.
    progress: (u64, Millis),
    /// Whether the incarnation `on` has certainly accepted the start order, or listed the run.
    has_begun: bool,
    /// Whether a start order got no answer and may still be carried out.
    has_open_order: bool,
    /// Whether the end of its worker's incarnation is accounted for: the worker left, or its crash is
    /// recorded.
    is_accounted: bool,
    /// When it was ordered, if its time shows the speed of its worker.
    timed: Option<Timed>,
}

/// An action that the caller of [`Owner`] must carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Append the entry, after those of earlier effects; then call [`Owner::entry_recorded`].
    Record(Entry),
    /// Send an order to a worker.
    Order(Order),
    /// Query the advisor through one of the daemons; then call [`Owner::advisor_answered`].
    QueryAdvisor(advice::Query),
    /// Log that a run counts as one of this incarnation of its worker from now on.
    Moved(Run, Arc<Incarnation>),
    /// Log the event.
    Notice(Notice),
}

/// Work of an owner since it was created, in objects that it has examined.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Effort {
    /// Steps with waiting tasks that a placement pass tried to place.
    pub steps: u64,
    /// Workers that a placement pass considered, once for each step.
    pub hosts: u64,
    /// Runs that a poll answer, a retry of stops or a search for lost runs looked at.
    pub runs: u64,
    /// Single tasks that were started while a gang of a higher priority that could still meet its
    /// objective had no turn, because as many gangs as may gathered room.
    pub overtaking: u64,
    /// Steps that had no turn in a placement pass because of their team's quota.
    pub over_quota: u64,
}

/// Processor time of the workers that accept work, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// All of it.
    pub total: u64,
    /// The part that runs use.
    pub used: u64,
    /// The free part that the last placement pass kept for gangs.
    pub held: u64,
}

/// Scheduling state of a shard, held by the daemon that owns the shard.
#[derive(Clone, Debug)]
pub struct Owner {
    limits: Limits,
    /// Sorted by the worker's name.
    hosts: Vec<Host>,
    runs: Runs,
    /// Runs whose worker is not known in the incarnation that they were started on, sorted.
    strays: Vec<Run>,
    backlog: Backlog,
    accounts: Accounts,
    /// Tasks under which one more crash of a worker makes their jobs fail, sorted.
    suspects: Vec<Task>,
    queries: Queries,
    /// Number of the last poll that was sent.
    last_poll: u64,
    /// Estimated time from the placement of a run until its start is recorded, smoothed.
    record_delay: Millis,
    /// When every lease that earlier owners granted has certainly expired.
    earlier_leases_expire_at: Millis,
    effects: Vec<Effect>,
    effort: Effort,
    /// Usage after the last placement pass.
    usage: Usage,
    turnover: Turnover,
    paces: Paces,
    overruns: Overruns,
    inflow: Inflow,
    /// Gangs that became late or started since [`Self::waited`] was last called.
    waited: Vec<Waited>,
    /// Number of releases of capacity so far.
    releases: u64,
    /// Whether an input since the last placement pass may allow new placements.
    is_dirty: bool,
}

impl Owner {
    /// Returns an owner whose claim of the shard is the last log entry applied to `replica`.
    pub fn new(limits: Limits, replica: &Replica, now: Millis) -> Self {
        // An earlier owner that lost the store goes on granting leases for `limits.max_store_silence`.
        let granting =
            if replica.claim().no_earlier_owner { Millis::ZERO } else { limits.max_store_silence };
        let mut owner = Self {
            limits,
            hosts: Vec::new(),
            runs: Runs::default(),
            strays: Vec::new(),
            backlog: Backlog::default(),
            accounts: Accounts::default(),
            suspects: crash::suspects(replica),
            queries: Queries::default(),
            last_poll: 0,
            record_delay: Millis::ZERO,
            earlier_leases_expire_at: now + granting + host::max_lease_lifetime(limits.lease),
            effects: Vec::new(),
            effort: Effort::default(),
            usage: Usage::default(),
            turnover: Turnover::default(),
            paces: Paces::default(),
            overruns: Overruns::default(),
            inflow: Inflow::new(now),
            waited: Vec::new(),
            releases: 0,
            is_dirty: true,
        };
        for (run, on) in replica.placed() {
            owner.insert(Running::recovered(run, on, replica, now));
        }
        owner.notice_recovered_runs(replica);
        owner.stop_runs_of_ended_jobs(replica, now);
        owner
    }

    /// Handles that the earlier owners can't grant leases any more, before those could have run out that
    /// they may grant while the store is silent to them.
    pub fn earlier_owners_ended(&mut self, now: Millis) {
        let expire_at = now + host::max_lease_lifetime(self.limits.lease);
        self.earlier_leases_expire_at = self.earlier_leases_expire_at.min(expire_at);
        let expire_at = self.earlier_leases_expire_at;
        self.hosts.iter_mut().for_each(|host| host.limit_earlier_leases(expire_at));
    }

    /// Updates the hosts from the current list of workers. A host that is no longer listed is kept
    /// while it has runs.
    pub fn update_workers(&mut self, list: &[WorkerEntry], replica: &Replica, now: Millis) {
        for host in &mut self.hosts {
            host.is_listed = false;
        }
        for entry in list {
            match self.host_index(&entry.incarnation.worker) {
                Ok(i) if self.hosts[i].incarnation.born == entry.incarnation.born => {
                    let host = &mut self.hosts[i];
                    host.is_listed = true;
                    self.is_dirty |= host.entry.draining != entry.draining
                        || host.entry.capacity != entry.capacity;
                    host.entry = entry.clone();
                }
                Ok(i) if self.hosts[i].incarnation.born < entry.incarnation.born => {
                    self.replace_host(i, entry.clone(), replica, now);
                }
                Ok(_) => {}
                Err(i) => {
                    let host = self.new_host(entry.clone(), replica, now);
                    self.hosts.insert(i, host);
                    self.queries.host_added(i);
                    self.is_dirty = true;
                }
            }
        }
        for i in (0..self.hosts.len()).rev() {
            let host = &self.hosts[i];
            let is_unused = host.runs.is_empty() && now >= host.watched_until;
            if !host.is_listed && is_unused && !self.has_strays(&host.incarnation.worker) {
                self.hosts.remove(i);
                self.queries.host_removed(i);
            }
        }
    }

    /// Sets the teams of the configuration in force. Until the first call no work of a team starts.
    pub fn update_teams(&mut self, roster: &Roster) {
        self.accounts.update(roster);
        self.is_dirty = true;
    }

    /// Returns the number of open jobs beyond the rates of their teams.
    pub const fn beyond_count(&self) -> usize {
        self.accounts.beyond_count()
    }

    /// Handles an entry of this owner that is recorded in the log and applied to `replica`.
    pub fn entry_recorded(&mut self, entry: &Entry, replica: &Replica, now: Millis) {
        match entry {
            Entry::Started { runs, .. } => {
                runs.iter().for_each(|run| self.order(*run, replica, now))
            }
            Entry::Ended { on, ends } => {
                for end in ends {
                    // Also if the run is not open: a late end can complete a waiting task.
                    self.backlog.mark_changed(end.run.task.step_id);
                    if end.outcome == Outcome::Done {
                        self.measure_overrun(&end.run, on, replica, now);
                    }
                    self.remove(&end.run, on);
                    self.handle_end(&end.run, end.outcome, on, replica, now);
                }
                self.ends_recorded(on, ends.last().map_or(0, |e| e.number), now);
            }
            Entry::Lost(runs) => {
                for run in runs {
                    if let Ok(i) = self.run_index(run) {
                        self.drop_run(i);
                    }
                }
            }
            Entry::Crashed { runs, .. } => self.crashes_recorded(runs, replica, now),
            _ => {}
        }
        self.is_dirty = true;
    }

    /// Handles the change that an applied entry made, whichever process appended the entry.
    pub fn entry_applied(&mut self, applied: Applied, now: Millis) {
        match applied {
            Applied::Over(id) => {
                self.notice_over(id);
                self.stop_job(id, now);
            }
            Applied::Accepted(_) | Applied::Progress => self.is_dirty = true,
            Applied::Claimed | Applied::Saved | Applied::Nothing => {}
        }
    }

    /// Does all periodic work except placement: polls, retries of stops, and losses of runs.
    /// `heard` is when the store last answered.
    pub fn tick(&mut self, replica: &Replica, now: Millis, heard: Millis) {
        if now.since(heard) < self.limits.max_store_silence {
            self.retry_stops(now);
            self.poll(replica, now);
        }
        self.record_lost_orphans(now);
    }

    /// Records due occurrences of scheduled jobs and, if an input may allow new placements, runs a
    /// placement pass. `wall` is the time since the Unix epoch. The pass is the most expensive
    /// operation of the owner, so the caller controls how often it runs.
    pub fn schedule(&mut self, replica: &Replica, now: Millis, wall: Millis) {
        self.record_due(replica, wall);
        if self.is_dirty || self.queries.is_due(now) || self.accounts.is_due(now) {
            self.is_dirty = false;
            self.place(replica, now);
        }
    }

    /// Returns the waiting steps in the order of placement.
    fn ranks(&self, now: Millis) -> Vec<backlog::Rank> {
        let hosts = self.hosts.iter().filter(|host| host.takes_work(now));
        let cpu_milli = hosts.map(|host| host.entry.capacity.cpu_milli).sum();
        self.backlog.ranks(cpu_milli, &self.accounts, &self.overruns, now)
    }

    /// Drains the effects produced since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Drains the gangs that became late or started since the last call.
    pub fn waited(&mut self) -> Vec<Waited> {
        std::mem::take(&mut self.waited)
    }

    /// Returns the state of the advisor queries.
    pub const fn queries_mut(&mut self) -> &mut Queries {
        &mut self.queries
    }

    /// Returns the workers, sorted by name.
    pub fn hosts(&self) -> &[Host] {
        &self.hosts
    }

    /// Returns whether every lease that earlier owners granted has expired.
    pub fn earlier_leases_expired(&self, now: Millis) -> bool {
        now >= self.earlier_leases_expire_at
    }

    /// Returns the number of runs whose end or loss is not recorded yet.
    pub const fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the work since the owner was created.
    pub const fn effort(&self) -> Effort {
        self.effort
    }

    /// Returns the usage of the workers after the last placement pass.
    pub const fn usage(&self) -> Usage {
        self.usage
    }

    fn record_due(&mut self, replica: &Replica, wall: Millis) {
        for state in replica.scheduled() {
            let Some(schedule) = state.job.schedule else { continue };
            let next = u32::try_from(state.occurrences.len()).unwrap_or(u32::MAX);
            let due = schedule.first + schedule.interval.times(next.into());
            if !state.has_ended() && next < schedule.count && wall >= due {
                let entry = Entry::Due { job: state.job.id, occurrence: next };
                self.effects.push(Effect::Record(entry));
            }
        }
    }

    /// Records runs as lost and releases their capacity immediately.
    fn record_lost(&mut self, lost: &[Run]) {
        let mut recorded = Vec::new();
        for run in lost {
            let Ok(i) = self.run_index(run) else { continue };
            if self.runs[i].phase == Phase::Ending {
                continue;
            }
            self.release_capacity(i);
            self.runs[i].phase = Phase::Ending;
            recorded.push(*run);
        }
        if !recorded.is_empty() {
            self.effects.push(Effect::Record(Entry::Lost(recorded)));
        }
    }

    fn order(&mut self, run: Run, replica: &Replica, now: Millis) {
        let Ok(i) = self.run_index(&run) else { return };
        if self.runs[i].phase != Phase::Recording {
            return;
        }
        // The estimate rises at once and decays slowly, so that few tickets expire before their
        // start is recorded while the store is slow.
        let waited = now.since(self.runs[i].progress.1);
        self.record_delay =
            MAX_RECORD_DELAY.min(waited.max(Millis(self.record_delay.get() * 9 / 10)));
        let over = replica.has_ended(run.task.step_id.job);
        let expired = self.runs[i].ticket.is_some() && now >= self.runs[i].valid_until;
        if over || expired || self.runs[i].stop_requested {
            return self.abandon_start(run, replica, now);
        }
        let lease = self.limits.lease;
        let Some(host) = self.host_mut(&Arc::clone(&self.runs[i].on)) else {
            return self.abandon_start(run, replica, now);
        };
        // The list may have changed while the start was recorded.
        if host.entry.draining || !host.entry.capacity.holds(&host.used) {
            return self.abandon_start(run, replica, now);
        }
        let address = host.entry.address.clone();
        let lease_end = host.grant(lease, now);
        host.next_poll = host.next_poll.min(now + lease);
        let Some(state) = replica.job(run.task.step_id.job) else { return };
        let saved = state.task(&run.task).map(|t| t.saved.clone()).unwrap_or_default();
        let step = state.job.steps.get(usize::from(run.task.step_id.step));
        let timed = step.and_then(|s| self.timed(&self.runs[i], s, !saved.is_empty(), now));
        let running = &mut self.runs[i];
        running.phase = Phase::Ordered;
        running.timed = timed;
        let (on, ticket) = (Arc::clone(&running.on), running.ticket.clone());
        let job = Arc::clone(&state.job);
        let start = Start { on, address, run, job, lease_end, saved, ticket };
        self.effects.push(Effect::Order(Order::Start(Box::new(start))));
    }

    /// Handles a run that has not begun and can't begin: records it as lost and stops its gang.
    fn abandon_start(&mut self, run: Run, replica: &Replica, now: Millis) {
        self.record_lost(&[run]);
        self.break_gang(&run, replica, now);
    }

    fn handle_end(
        &mut self,
        run: &Run,
        outcome: Outcome,
        on: &Incarnation,
        replica: &Replica,
        now: Millis,
    ) {
        if let Some(host) = self.host_mut(on) {
            match outcome {
                Outcome::Failed => host.record_failure(now),
                Outcome::Done => host.record_success(),
                _ => {}
            }
        }
        if outcome != Outcome::Done {
            self.break_gang(run, replica, now);
        }
        if replica.has_ended(run.task.step_id.job) {
            self.notice_unstopped_runs(run.task.step_id.job);
            self.stop_job(run.task.step_id.job, now);
        }
    }

    /// Records how much longer than estimated a run took that is done.
    fn measure_overrun(&mut self, run: &Run, on: &Incarnation, replica: &Replica, now: Millis) {
        let Ok(i) = self.run_index(run) else { return };
        let Running { on: placed_on, placed_at: Some(placed_at), .. } = &self.runs[i] else {
            return;
        };
        let Some(state) = replica.job(run.task.step_id.job) else { return };
        let step = state.job.steps.get(usize::from(run.task.step_id.step));
        if let Some(step) = step.filter(|step| !step.lasting && **placed_on == *on) {
            let took = now.since(*placed_at);
            self.overruns.record(&state.job.policy.queue, step.estimate_ms, took);
        }
    }

    fn host_index(&self, worker: &str) -> Result<usize, usize> {
        self.hosts.binary_search_by(|h| (*h.incarnation.worker).cmp(worker))
    }

    /// Returns a worker, if its current incarnation is `incarnation`.
    fn host(&self, incarnation: &Incarnation) -> Option<&Host> {
        let i = self.host_index(&incarnation.worker).ok()?;
        Some(&self.hosts[i]).filter(|h| h.incarnation.born == incarnation.born)
    }

    fn host_mut(&mut self, incarnation: &Incarnation) -> Option<&mut Host> {
        let i = self.host_index(&incarnation.worker).ok()?;
        Some(&mut self.hosts[i]).filter(|h| h.incarnation.born == incarnation.born)
    }

    fn run_index(&self, run: &Run) -> Result<usize, usize> {
        self.runs.position(run)
    }

    /// Returns whether the task has a run whose end or loss is not recorded yet.
    fn is_running(&self, task: &Task) -> bool {
        self.runs.has(task)
    }

    fn insert(&mut self, running: Running) {
        if let Err(i) = self.run_index(&running.run) {
            if let Some(team) = &running.team {
                self.accounts.add(team, &running.needs);
            }
            match self.host_mut(&running.on) {
                Some(host) => host.add(running.run, &running.needs),
                None => self.add_stray(running.run),
            }
            self.backlog.mark_changed(running.run.task.step_id);
            self.runs.insert(i, running);
        }
    }

    /// Releases the capacity of a run.
    fn release_capacity(&mut self, i: usize) {
        let needs = std::mem::take(&mut self.runs[i].needs);
        let on = Arc::clone(&self.runs[i].on);
        if let Some(team) = &self.runs[i].team {
            self.accounts.remove(team, &needs);
        }
        self.turnover.release(needs.cpu_milli);
        self.releases += 1;
        let releases = self.releases;
        if let Some(host) = self.host_mut(&on) {
            host.used = host.used.saturating_sub(&needs);
            host.last_release = releases;
        }
        self.is_dirty = true;
    }

    fn drop_run(&mut self, i: usize) {
        self.release_capacity(i);
        let running = self.runs.remove(i);
        self.backlog.mark_changed(running.run.task.step_id);
        match self.host_mut(&running.on) {
            Some(host) => host.remove(&running.run, &Capacity::ZERO),
            None => self.remove_stray(&running.run),
        }
    }

    fn add_stray(&mut self, run: Run) {
        if let Err(at) = self.strays.binary_search(&run) {
            self.strays.insert(at, run);
        }
    }

    /// Returns whether runs of a worker's earlier incarnations are not resolved.
    fn has_strays(&self, worker: &str) -> bool {
        let is_there =
            |run: &Run| self.run_index(run).is_ok_and(|i| &*self.runs[i].on.worker == worker);
        self.strays.iter().any(is_there)
    }

    fn remove_stray(&mut self, run: &Run) {
        if let Ok(at) = self.strays.binary_search(run) {
            self.strays.remove(at);
        }
    }

    fn remove(&mut self, run: &Run, on: &Incarnation) {
        if let Ok(i) = self.run_index(run)
            && *self.runs[i].on == *on
        {
            self.drop_run(i);
        }
    }
}

impl Running {
    /// Returns whether it ended with its incarnation at the latest: it began there, and no order for it
    /// can reach a later one.
    const fn is_bound(&self) -> bool {
        self.has_begun && !self.has_open_order
    }

    /// Returns a run that another owner has recorded, or that a worker lists.
    fn recovered(run: Run, on: Arc<Incarnation>, replica: &Replica, now: Millis) -> Self {
        let job = replica.job(run.task.step_id.job);
        Self {
            run,
            on,
            team: job.and_then(|state| state.job.policy.team.clone()),
            needs: needs_of(replica, &run),
            phase: Phase::Working { since: BEFORE_FIRST_POLL },
            ticket: None,
            valid_until: Millis::MAX,
            stop_requested: false,
            reason: StopReason::Stray,
            stopping_since: None,
            placed_at: None,
            progress: (0, now),
            has_begun: false,
            has_open_order: false,
            is_accounted: false,
            timed: None,
        }
    }
}

fn step_of<'a>(replica: &'a Replica, step_id: &StepId) -> Option<&'a Step> {
    replica.job(step_id.job)?.job.steps.get(usize::from(step_id.step))
}

/// Returns the capacity that a run counts against its worker, zero if its step is unknown.
fn needs_of(replica: &Replica, run: &Run) -> Capacity {
    step_of(replica, &run.task.step_id).map(Step::counted_needs).unwrap_or_default()
}
