//! Queries to the external advisor, which decides which workers may run a step and issues a
//! ticket with a limited validity for each of them.
//!
//! The advisor serves one query at a time per daemon, and its response time grows with the number
//! of workers named. A step is asked about in rounds: `plan` says how many workers a round names
//! and over how many queries it is spread, `relay` through which daemons they go. The set of
//! allowed workers never changes for a step; only tickets expire.

mod plan;
mod relay;

use crate::clock::Millis;
use crate::contract::work::{AdvisorTiming, StepId};
use crate::machine::host::Host;
use relay::{Booking, Relays};
use serde::{Deserialize, Serialize};

pub(super) use plan::Plan;

/// Maximum number of workers in one query, a limit of the advisor.
pub const MAX_NAMED: usize = 100;
/// Time-out of a query, in addition to its expected response time.
const ANSWER_TIMEOUT: Millis = Millis(700);
/// Time after the expected one at which a quick query is overdue, and the step is asked about
/// through another daemon.
const QUICK_OVERDUE: Millis = Millis(250);
/// Delay before the next query about a step after one that failed.
const RETRY_DELAY: Millis = Millis(60);
/// Time between the issue of a ticket and the arrival of the start order that carries it: three
/// network crossings between regions, and a margin.
pub(super) const TICKET_TRANSIT: Millis = Millis(150);
/// Time after a search for workers to name that found none, until the next one for the same step.
/// A search examines all workers of the pool.
const EXPLORE_INTERVAL: Millis = Millis(100);
/// Longest time for which a step that could not be placed is not examined again.
const MAX_STUCK: Millis = Millis(100);
/// Weight of the newest answer in the smoothed share of allowed workers, in percent.
const SHARE_WEIGHT: u64 = 20;

/// A query to the advisor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Query {
    /// Number of the query, unique within the owner.
    pub number: u64,
    /// Name of the daemon that sends the query.
    pub through: Box<str>,
    /// The step to be run.
    #[serde(rename = "stage")]
    pub step_id: StepId,
    /// Names of the workers to be checked, at most [`MAX_NAMED`].
    pub workers: Vec<Box<str>>,
    /// Time-out of the query.
    #[serde(rename = "patience")]
    pub timeout: Millis,
}

/// A worker that the advisor allows to run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowed {
    /// Name of the worker.
    pub worker: Box<str>,
    /// Opaque permission, passed to the worker with the start order.
    pub ticket: Box<str>,
}

/// Answers of the advisor about one step.
#[derive(Clone, Debug, Default)]
struct StepAdvice {
    /// Workers that were checked, sorted, as indices of the owner's hosts.
    asked: Vec<usize>,
    /// Allowed workers, sorted by host.
    allowed: Vec<Ticket>,
    /// The queries in flight: the open ones of one round.
    in_flight: Vec<InFlight>,
    /// Earliest time of the next query.
    not_before: Millis,
    /// Earliest time of the next search for workers to name that were not named before.
    explore_after: Millis,
    /// Number of releases of capacity at the last examination, and its time, if it placed nothing.
    stuck: Option<(u64, Millis)>,
}

/// The newest ticket for a worker.
#[derive(Clone, Debug)]
pub(super) struct Ticket {
    /// Index in the owner's hosts.
    pub(super) host: usize,
    /// Opaque permission, passed to the worker with the start order.
    pub(super) ticket: Box<str>,
    /// When it expires.
    pub(super) until: Millis,
}

/// A query in flight.
#[derive(Clone, Debug)]
struct InFlight {
    number: u64,
    /// Names of the workers to be checked, sorted.
    workers: Vec<Box<str>>,
    booking: Booking,
    /// When it is overdue.
    until: Millis,
}

/// Queries to the advisor in flight, and the answers for all open steps.
#[derive(Clone, Debug, Default)]
pub struct Queries {
    /// Sorted by step.
    steps: Vec<(StepId, StepAdvice)>,
    relays: Relays,
    /// Smoothed share of allowed workers by queue, in thousandths; sorted.
    shares: Vec<(Box<str>, u64)>,
    /// Number of the last query.
    last_number: u64,
    /// Whether a query could not be sent because all daemons are busy.
    is_saturated: bool,
    /// Whether that was a quick query, so that no other one can be sent either.
    is_full: bool,
    /// Earliest time-out of the queries in flight.
    next_timeout: Option<Millis>,
    /// Earliest time at which the last placement pass would have renewed tickets.
    next_renewal: Option<Millis>,
}

/// What the advisor has said about a worker for a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Permission<'a> {
    /// Not asked yet.
    Unknown,
    /// The worker may not run the step.
    Denied,
    /// The worker may run the step with this ticket, which is valid until the given time.
    Allowed(&'a str, Millis),
    /// The worker may run the step, but needs a new ticket.
    Expired,
}

impl StepAdvice {
    fn take_in_flight(&mut self, number: u64) -> Option<InFlight> {
        let at = self.in_flight.iter().position(|q| q.number == number)?;
        Some(self.in_flight.remove(at))
    }
}

impl Ticket {
    /// Returns what the ticket permits; see [`Queries::permission`].
    pub(super) fn permission(&self, record_delay: Millis, now: Millis) -> Permission<'_> {
        if now + record_delay + TICKET_TRANSIT < self.until {
            Permission::Allowed(&self.ticket, self.until)
        } else {
            Permission::Expired
        }
    }
}

impl Queries {
    /// Sets the daemons through which queries can be sent, the own one first.
    pub fn set_relays(&mut self, names: &[Box<str>]) {
        self.relays.set(names);
    }

    /// Returns what the advisor has said about a worker for a step.
    ///
    /// `record_delay` is the expected time until the start is recorded. A ticket that would not
    /// reach the worker in time counts as expired.
    pub(super) fn permission(
        &self,
        step_id: &StepId,
        host: usize,
        record_delay: Millis,
        now: Millis,
    ) -> Permission<'_> {
        let Some(step) = self.step(step_id) else { return Permission::Unknown };
        if let Ok(i) = step.allowed.binary_search_by_key(&host, |t| t.host) {
            return step.allowed[i].permission(record_delay, now);
        }
        match step.asked.binary_search(&host) {
            Ok(_) => Permission::Denied,
            Err(_) => Permission::Unknown,
        }
    }

    /// Returns each of `hosts`, which are sorted, with what the advisor has said about it for a step.
    pub(super) fn permissions<'a>(
        &'a self,
        step_id: &StepId,
        hosts: &'a [usize],
        record_delay: Millis,
        now: Millis,
    ) -> impl Iterator<Item = (usize, Permission<'a>)> {
        let step = self.step(step_id);
        let mut asked = step.map_or(&[][..], |s| &s.asked);
        let mut allowed = step.map_or(&[][..], |s| &s.allowed);
        hosts.iter().map(move |host| {
            while asked.first().is_some_and(|a| a < host) {
                asked = &asked[1..];
            }
            while allowed.first().is_some_and(|t| t.host < *host) {
                allowed = &allowed[1..];
            }
            let permission = match (allowed.first(), asked.first()) {
                (Some(ticket), _) if ticket.host == *host => ticket.permission(record_delay, now),
                (_, Some(other)) if other == host => Permission::Denied,
                _ => Permission::Unknown,
            };
            (*host, permission)
        })
    }

    /// Returns the newest tickets for a step, sorted by host.
    pub(super) fn tickets(&self, step_id: &StepId) -> &[Ticket] {
        self.step(step_id).map_or(&[], |step| &step.allowed)
    }

    /// Renumbers the hosts after one was inserted at `at`.
    pub(super) fn host_added(&mut self, at: usize) {
        for (_, step) in &mut self.steps {
            step.asked.iter_mut().filter(|host| **host >= at).for_each(|host| *host += 1);
            step.allowed.iter_mut().filter(|t| t.host >= at).for_each(|t| t.host += 1);
        }
    }

    /// Discards the answers about a host that was removed, and renumbers the others.
    pub(super) fn host_removed(&mut self, at: usize) {
        for (_, step) in &mut self.steps {
            step.asked.retain(|host| *host != at);
            step.allowed.retain(|t| t.host != at);
            step.asked.iter_mut().filter(|host| **host > at).for_each(|host| *host -= 1);
            step.allowed.iter_mut().filter(|t| t.host > at).for_each(|t| t.host -= 1);
        }
    }

    /// Returns whether a query about a step may be sent now.
    pub fn may_ask(&self, step_id: &StepId, now: Millis) -> bool {
        !self.relays.is_empty()
            && !self.is_full
            && self.step(step_id).is_none_or(|s| s.in_flight.is_empty() && now >= s.not_before)
    }

    /// Returns whether queries about a step are in flight.
    pub(super) fn is_asked(&self, step_id: &StepId) -> bool {
        self.step(step_id).is_some_and(|s| !s.in_flight.is_empty())
    }

    /// Returns whether workers that were not named before may be named now for a step.
    pub(super) fn may_explore(&self, step_id: &StepId, now: Millis) -> bool {
        self.may_ask(step_id, now) && self.step(step_id).is_none_or(|s| now >= s.explore_after)
    }

    /// Notes that no query is needed about workers that were not named before.
    pub(super) fn explored(&mut self, step_id: &StepId, now: Millis) {
        self.step_mut(*step_id).explore_after = now + EXPLORE_INTERVAL;
    }

    /// Notes whether an examination of a step after `releases` releases of capacity placed nothing.
    pub(super) fn examined(
        &mut self,
        step_id: &StepId,
        is_stuck: bool,
        releases: u64,
        now: Millis,
    ) {
        if let Ok(i) = self.steps.binary_search_by(|(s, _)| s.cmp(step_id)) {
            self.steps[i].1.stuck = is_stuck.then_some((releases, now));
        }
    }

    /// Returns whether a step with tickets can't be placed because none of its workers has released
    /// capacity since it was last examined.
    pub(super) fn is_stuck(&self, step_id: &StepId, hosts: &[Host], now: Millis) -> bool {
        let Some(step) = self.step(step_id).filter(|s| !s.allowed.is_empty()) else { return false };
        let Some((releases, at)) = step.stuck else { return false };
        let has_released = |t: &Ticket| hosts[t.host].last_release > releases;
        now.since(at) < MAX_STUCK && !step.allowed.iter().any(has_released)
    }

    /// Returns whether a query in flight about a step names a worker.
    pub fn is_named(&self, step_id: &StepId, worker: &str) -> bool {
        let mut queries = self.step(step_id).into_iter().flat_map(|s| &s.in_flight);
        queries.any(|q| q.workers.binary_search_by(|w| (**w).cmp(worker)).is_ok())
    }

    /// Returns the smoothed share of checked workers that the advisor allows for the steps of a
    /// queue, in thousandths: 400 before the first answer, and at least 50.
    pub fn share(&self, queue: &str) -> u64 {
        let i = self.shares.binary_search_by(|(q, _)| (**q).cmp(queue));
        i.map_or(400, |i| self.shares[i].1.max(50))
    }

    /// Returns what decides on the size of a round of queries about a step of a queue.
    pub(super) fn plan(&self, queue: &str, timing: AdvisorTiming, now: Millis) -> Plan {
        Plan { timing, share: self.share(queue), idle: self.relays.idle(now) }
    }

    /// Returns a round of queries about `workers`. Workers for which no daemon can take a query now
    /// are left out.
    pub(super) fn ask(
        &mut self,
        step_id: StepId,
        plan: &Plan,
        workers: &[Box<str>],
        now: Millis,
    ) -> Vec<Query> {
        let size = workers.len().div_ceil(plan.queries(workers.len())).max(1);
        let parts = workers.chunks(size);
        parts.map_while(|part| self.ask_once(step_id, plan.timing, part, now)).collect()
    }

    /// Returns the query to send about `workers`, or `None` if all daemons are busy.
    fn ask_once(
        &mut self,
        step_id: StepId,
        timing: AdvisorTiming,
        workers: &[Box<str>],
        now: Millis,
    ) -> Option<Query> {
        let named = u64::try_from(workers.len()).unwrap_or(u64::MAX);
        let naming = timing.worker_us.saturating_mul(named);
        let takes = Millis(timing.answer_us.saturating_add(naming) / 1000 + 1);
        let is_slow = relay::is_slow(takes);
        let Some(booking) = self.relays.book(takes, now) else {
            self.is_saturated = true;
            self.is_full |= !is_slow;
            return None;
        };
        self.last_number += 1;
        let number = self.last_number;
        let overdue = if is_slow { ANSWER_TIMEOUT } else { QUICK_OVERDUE };
        let until = booking.expected + overdue;
        self.next_timeout = Some(self.next_timeout.map_or(until, |t| t.min(until)));
        let through = booking.through.clone();
        let timeout = booking.expected.since(now) + ANSWER_TIMEOUT;
        let mut sorted = workers.to_vec();
        sorted.sort_unstable();
        let in_flight = InFlight { number, workers: sorted, booking, until };
        self.step_mut(step_id).in_flight.push(in_flight);
        Some(Query { number, through, step_id, workers: workers.to_vec(), timeout })
    }

    /// Handles the answer to a query, or `None` if the query failed. Tickets in it expire after
    /// `valid`. The answer to a query that was given up changes no permission.
    pub(super) fn answered(
        &mut self,
        query: &Query,
        queue: &str,
        valid: Millis,
        answer: Option<&[Allowed]>,
        hosts: &[Host],
        now: Millis,
    ) {
        let at = self.steps.binary_search_by(|(s, _)| s.cmp(&query.step_id));
        let in_flight = at.ok().and_then(|at| self.steps[at].1.take_in_flight(query.number));
        match answer {
            Some(_) => {
                let booking = in_flight.as_ref().map(|q| &q.booking);
                self.relays.answered(&query.through, booking, now);
            }
            None => self.relays.failed(&query.through, now),
        }
        let (Ok(at), Some(_)) = (at, in_flight) else { return };
        let step = &mut self.steps[at].1;
        step.stuck = None;
        let Some(answer) = answer else {
            step.not_before = now + RETRY_DELAY;
            return;
        };
        let mut fresh = 0;
        let host_of =
            |worker: &str| hosts.binary_search_by(|h| (*h.incarnation.worker).cmp(worker)).ok();
        for host in query.workers.iter().filter_map(|worker| host_of(worker)) {
            if let Err(i) = step.asked.binary_search(&host) {
                step.asked.insert(i, host);
                fresh += 1;
            }
        }
        let mut gained = 0;
        for Allowed { worker, ticket } in answer {
            let Some(host) = host_of(worker) else { continue };
            let entry = Ticket { host, ticket: ticket.clone(), until: now + valid };
            match step.allowed.binary_search_by_key(&host, |t| t.host) {
                Ok(i) => step.allowed[i] = entry,
                Err(i) => {
                    step.allowed.insert(i, entry);
                    gained += 1;
                }
            }
        }
        if let Some(share) = (gained * 1000_u64).checked_div(fresh) {
            self.update_share(queue, share);
        }
    }

    /// Returns whether a query is overdue or could not be sent because all daemons were busy, or
    /// tickets have to be renewed.
    pub fn is_due(&self, now: Millis) -> bool {
        let next = self.next_timeout.into_iter().chain(self.next_renewal).min();
        self.is_saturated || next.is_some_and(|t| now >= t)
    }

    /// Notes that tickets have to be renewed at `at`, until the next placement pass.
    pub(super) fn renew_at(&mut self, at: Millis) {
        self.next_renewal = Some(self.next_renewal.map_or(at, |t| t.min(at)));
    }

    /// Gives up queries that are overdue, so that other daemons can be asked.
    pub fn expire(&mut self, now: Millis) {
        (self.is_saturated, self.is_full, self.next_renewal) = (false, false, None);
        if self.next_timeout.is_none_or(|t| now < t) {
            return;
        }
        let mut next: Option<Millis> = None;
        for (_, step) in &mut self.steps {
            for overdue in step.in_flight.extract_if(.., |q| now >= q.until) {
                self.relays.back_off(&overdue.booking.through, now);
            }
            let until = step.in_flight.iter().map(|q| q.until);
            next = next.into_iter().chain(until).min();
        }
        self.next_timeout = next;
    }

    /// Discards the answers about a step.
    pub(super) fn forget(&mut self, step_id: &StepId) {
        if let Ok(i) = self.steps.binary_search_by(|(s, _)| s.cmp(step_id)) {
            self.steps.remove(i);
        }
    }

    fn update_share(&mut self, queue: &str, share: u64) {
        match self.shares.binary_search_by(|(q, _)| (**q).cmp(queue)) {
            Ok(i) => {
                let old = self.shares[i].1;
                self.shares[i].1 = (old * (100 - SHARE_WEIGHT) + share * SHARE_WEIGHT) / 100;
            }
            Err(i) => self.shares.insert(i, (queue.into(), share)),
        }
    }

    fn step(&self, step_id: &StepId) -> Option<&StepAdvice> {
        let i = self.steps.binary_search_by(|(s, _)| s.cmp(step_id)).ok()?;
        Some(&self.steps[i].1)
    }

    fn step_mut(&mut self, step_id: StepId) -> &mut StepAdvice {
        let i = match self.steps.binary_search_by(|(s, _)| s.cmp(&step_id)) {
            Ok(i) => i,
            Err(i) => {
                self.steps.insert(i, (step_id, StepAdvice::default()));
                i
            }
        };
        &mut self.steps[i].1
    }
}

impl super::Owner {
    /// Handles the advisor's answer to a query, or `None` if the query failed.
    pub fn advisor_answered(
        &mut self,
        query: &Query,
        answer: Option<&[Allowed]>,
        replica: &crate::ledger::shard::replica::Replica,
        now: Millis,
    ) {
        let Some(state) = replica.job(query.step_id.job) else { return };
        let policy = &state.job.policy;
        let valid = policy.advisor_timing.map_or(Millis::ZERO, |a| a.valid_ms);
        self.queries.answered(query, &policy.queue, valid, answer, &self.hosts, now);
        self.is_dirty = true;
    }

    /// Sends a round of queries about `workers`. Returns whether all of them were sent.
    pub(super) fn send_queries(
        &mut self,
        step_id: StepId,
        plan: &Plan,
        workers: &[Box<str>],
        now: Millis,
    ) -> bool {
        let queries = self.queries.ask(step_id, plan, workers, now);
        let named: usize = queries.iter().map(|q| q.workers.len()).sum();
        self.effects.extend(queries.into_iter().map(super::Effect::QueryAdvisor));
        named == workers.len() && named > 0
    }

    /// Expires the tickets of a host: they are valid for one incarnation only.
    pub(super) fn expire_tickets(&mut self, host: usize) {
        for (_, step) in &mut self.queries.steps {
            if let Ok(i) = step.allowed.binary_search_by_key(&host, |t| t.host) {
                step.allowed[i].until = Millis::ZERO;
            }
        }
    }

    /// Sets the ticket of one worker, as an answer about this worker alone would.
    #[cfg(test)]
    pub(super) fn renew(&mut self, query: &Query, allowed: &Allowed, until: Millis) {
        let Ok(host) = self.host_index(&allowed.worker) else { return };
        let step = self.queries.step_mut(query.step_id);
        step.allowed.retain(|t| t.host != host);
        let at = step.allowed.partition_point(|t| t.host < host);
        step.allowed.insert(at, Ticket { host, ticket: allowed.ticket.clone(), until });
    }
}
