//! Queries to the external advisor, which decides which workers may run a step and issues a
//! ticket with a limited validity for each of them.
//!
//! The advisor serves one query at a time per daemon, and its response time grows with the number
//! of workers named. Queries are therefore balanced over the daemons by the time for which each is
//! busy, slow queries are kept off one daemon, and a query names only as many workers as the step
//! is likely to need. The set of allowed workers never changes for a step; only tickets expire.

use crate::clock::Millis;
use crate::contract::work::{AdvisorTiming, StepId};
use crate::machine::host::Host;
use serde::{Deserialize, Serialize};

/// Maximum number of workers in one query, a limit of the advisor.
pub const MAX_NAMED: usize = 100;
/// Expected response time above which a query counts as slow and is kept off the first daemon.
const SLOW_QUERY: Millis = Millis(150);
/// Time-out of a query, in addition to its expected response time.
const ANSWER_TIMEOUT: Millis = Millis(700);
/// Delay before the next query about a step after one that failed.
const RETRY_DELAY: Millis = Millis(60);
/// Time between the issue of a ticket and the arrival of the start order that carries it: three
/// network crossings between regions, and a margin.
const TICKET_TRANSIT: Millis = Millis(150);
/// Maximum expected time for which quick queries queue at one daemon. A query sent later can name
/// the workers that have room by then.
const MAX_QUEUED: Millis = Millis(200);
/// Time for which no query is sent through a daemon after one that got no answer.
const UNANSWERED_BACKOFF: Millis = Millis(800);
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
    /// The query in flight, if any; there is at most one per step.
    in_flight: Option<InFlight>,
    /// Earliest time of the next query.
    not_before: Millis,
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
#[derive(Clone, Copy, Debug)]
struct InFlight {
    number: u64,
    /// When it times out.
    until: Millis,
}

/// A daemon through which queries can be sent.
#[derive(Clone, Debug)]
struct Relay {
    name: Box<str>,
    /// When its queries in flight are expected to be answered.
    busy_until: Millis,
    /// Number of its queries in flight.
    in_flight: usize,
}

/// Queries to the advisor in flight, and the answers for all open steps.
#[derive(Debug, Default)]
pub struct Queries {
    /// Sorted by step.
    steps: Vec<(StepId, StepAdvice)>,
    /// The daemons, the own one first.
    relays: Vec<Relay>,
    /// Smoothed share of allowed workers by queue, in thousandths; sorted.
    shares: Vec<(Box<str>, u64)>,
    /// Number of the last query.
    last_number: u64,
    /// Whether a query could not be sent because all daemons are busy.
    is_saturated: bool,
    /// Earliest time-out of the queries in flight.
    next_timeout: Option<Millis>,
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
        let old = std::mem::take(&mut self.relays);
        let known = |name: &str| old.iter().find(|r| &*r.name == name).cloned();
        let fresh =
            |name: &str| Relay { name: name.into(), busy_until: Millis::ZERO, in_flight: 0 };
        self.relays = names.iter().map(|n| known(n).unwrap_or_else(|| fresh(n))).collect();
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
            && self.step(step_id).is_none_or(|s| s.in_flight.is_none() && now >= s.not_before)
    }

    /// Returns the smoothed share of checked workers that the advisor allows for the steps of a
    /// queue, in thousandths: 400 before the first answer, and at least 50.
    pub fn share(&self, queue: &str) -> u64 {
        let i = self.shares.binary_search_by(|(q, _)| (**q).cmp(queue));
        i.map_or(400, |i| self.shares[i].1.max(50))
    }

    /// Returns the query to send about `workers`, or `None` if all daemons are busy.
    pub fn ask(
        &mut self,
        step_id: StepId,
        timing: AdvisorTiming,
        workers: Vec<Box<str>>,
        now: Millis,
    ) -> Option<Query> {
        let named = u64::try_from(workers.len()).unwrap_or(u64::MAX);
        let takes = Millis((timing.answer_us + timing.worker_us.saturating_mul(named)) / 1000 + 1);
        let is_slow = takes > SLOW_QUERY;
        let first = usize::from(is_slow && self.relays.len() > 1);
        let free = |r: &&mut Relay| {
            let ahead = r.busy_until.since(now);
            if is_slow { ahead == Millis::ZERO } else { ahead <= MAX_QUEUED }
        };
        let relays = self.relays.iter_mut().skip(first).filter(free);
        let Some(relay) = relays.min_by_key(|r| r.busy_until.max(now)) else {
            self.is_saturated = true;
            return None;
        };
        relay.busy_until = relay.busy_until.max(now) + takes;
        relay.in_flight += 1;
        let timeout = relay.busy_until.since(now) + ANSWER_TIMEOUT;
        let through = relay.name.clone();
        self.last_number += 1;
        let number = self.last_number;
        let until = now + timeout;
        self.next_timeout = Some(self.next_timeout.map_or(until, |t| t.min(until)));
        self.step_mut(step_id).in_flight = Some(InFlight { number, until });
        Some(Query { number, through, step_id, workers, timeout })
    }

    /// Handles the answer to a query, or `None` if the query failed. Tickets in it expire after
    /// `valid`. The answer to a query that has timed out changes no permission.
    pub(super) fn answered(
        &mut self,
        query: &Query,
        queue: &str,
        valid: Millis,
        answer: Option<&[Allowed]>,
        hosts: &[Host],
        now: Millis,
    ) {
        if let Some(relay) = self.relays.iter_mut().find(|r| r.name == query.through) {
            relay.in_flight = relay.in_flight.saturating_sub(1);
            if answer.is_none() {
                relay.busy_until = relay.busy_until.max(now + UNANSWERED_BACKOFF);
            } else if relay.in_flight == 0 {
                relay.busy_until = now;
            }
        }
        let is_open = |s: &StepAdvice| s.in_flight.is_some_and(|q| q.number == query.number);
        let Ok(i) = self.steps.binary_search_by(|(s, _)| s.cmp(&query.step_id)) else { return };
        let step = &mut self.steps[i].1;
        if !is_open(step) {
            return;
        }
        step.in_flight = None;
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

    /// Returns whether a query has timed out or could not be sent because all daemons were busy.
    pub fn is_due(&self, now: Millis) -> bool {
        self.is_saturated || self.next_timeout.is_some_and(|t| now >= t)
    }

    /// Abandons queries that have timed out.
    pub fn expire(&mut self, now: Millis) {
        self.is_saturated = false;
        if self.next_timeout.is_none_or(|t| now < t) {
            return;
        }
        for (_, step) in &mut self.steps {
            if step.in_flight.is_some_and(|q| now >= q.until) {
                step.in_flight = None;
            }
        }
        self.next_timeout =
            self.steps.iter().filter_map(|(_, s)| s.in_flight.map(|q| q.until)).min();
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
