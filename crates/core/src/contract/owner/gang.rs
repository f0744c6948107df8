//! Placement of gangs: all members start together, each with a valid ticket if the step needs one.
//!
//! A gang for which its allowed workers have room holds these workers while the advisor renews
//! their tickets, so that the room is still there when the answer arrives. The workers that it
//! holds and those that it names are the same. A gang for which they have no room gathers it: it
//! keeps the room that its allowed workers have, and that of one more member on each, until all
//! members fit. Its tickets are renewed meanwhile.

use super::Owner;
use super::advice::{Permission, Plan, TICKET_TRANSIT};
use super::haste::SHUNNED;
use super::place::{Round, WaitingStep, select_workers};
use super::wait::Turn;
use crate::clock::Millis;
use crate::contract::work::{AdvisorTiming, StepId, Task};
use crate::ledger::shard::Run;
use crate::ledger::shard::replica::Replica;
use crate::machine::capacity::Capacity;
use std::cmp::Reverse;

/// Number of gangs that may gather room whatever they need.
pub(super) const MIN_GATHERING: usize = 2;
/// Maximum number of times that a pass examines each worker, on average, before no further gang may
/// gather room.
pub(super) const EXAMINED_PER_WORKER: usize = 16;
/// Share of the workers' processor time that the members of further gangs may need, in percent.
pub(super) const GATHERED_PERCENT: u64 = 30;

/// Number of members for which a gang gathers room, for each of its members.
const GATHERED_PER_MEMBER: usize = 2;

/// Whether the members of a gang may start on a worker.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Access {
    /// They may.
    Open,
    /// They may, with a new ticket.
    Expired,
    /// The advisor has not been asked.
    Unknown,
}

/// A worker on which members of a gang might start.
struct Site {
    /// Index in `Owner::hosts`.
    host: usize,
    access: Access,
    /// Whether a query in flight about the step names it.
    is_named: bool,
    /// When the ticket for it expires, [`Millis::MAX`] if none is needed.
    until: Millis,
    /// See [`Owner::grade`].
    grade: u64,
    /// Number of members that fit now.
    free: usize,
    /// Number of members that fit while nothing else runs there.
    whole: usize,
}

impl Owner {
    /// Starts a gang if its workers have room and tickets, and otherwise does what brings it closer
    /// to its start.
    pub(super) fn place_gang(
        &mut self,
        waiting: &WaitingStep<'_>,
        replica: &Replica,
        round: &mut Round,
        now: Millis,
    ) -> Turn {
        let count = waiting.state.tasks.len();
        let sites = self.allowed_sites(waiting, round, now);
        round.examined += sites.len();
        if let Some(hosts) = assignments(&sites, count) {
            let tasks: Vec<Task> = self.startable(replica, &waiting.step_id).collect();
            let number = 1 + waiting.state.tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
            for (task, host) in tasks.into_iter().zip(hosts) {
                self.add_run(waiting, Run { task, number }, host, round, now);
            }
            return Turn::Started;
        }
        let timing = waiting.job.policy.advisor_timing;
        if let Some(held) = roomy(&sites, count) {
            let is_asked =
                timing.is_some_and(|t| self.renew_tickets(waiting, t, &held, round, now));
            let needs = waiting.step.counted_needs();
            if is_asked || round.may_gather() {
                self.hold(&held, count, &needs, round);
            }
            if !is_asked {
                round.gather(&needs, count);
            }
            return Turn::Renewing;
        }
        let mut turn = round.without_turn();
        if round.may_gather() && sites.iter().map(|s| s.whole).sum::<usize>() >= count {
            let needs = waiting.step.counted_needs();
            // Also if it can't: gangs of higher rank keep too many workers for more to gather.
            round.gather(&needs, count);
            let gathered = gather(&sites, count, |host| round.is_reserved(host));
            let gathered = gathered.unwrap_or_default();
            for (site, members) in &gathered {
                let members = u64::try_from(*members).unwrap_or(u64::MAX);
                round.reserve(site.host, &self.hosts[site.host], &needs.times(members));
            }
            if !gathered.is_empty() {
                turn = Turn::Gathering;
            }
            if let Some(timing) = timing
                && self.keep_tickets(waiting, timing, &gathered, round, now)
            {
                return turn;
            }
        }
        if let Some(timing) = timing {
            self.explore(waiting, timing, &sites, count, round, now);
            if turn != Turn::Gathering && self.queries.is_asked(&waiting.step_id) {
                return Turn::Exploring;
            }
        }
        turn
    }

    /// Returns the eligible workers that the advisor allows: all of them if the step needs no advice.
    fn allowed_sites(
        &mut self,
        waiting: &WaitingStep<'_>,
        round: &mut Round,
        now: Millis,
    ) -> Vec<Site> {
        let eligible = self.eligible(waiting, round, now);
        if waiting.job.policy.advisor_timing.is_none() {
            self.examine(&eligible.hosts);
            let sites = eligible.hosts.iter();
            let site = |i: &usize| self.site(waiting, *i, Access::Open, Millis::MAX, round, now);
            return sites.filter_map(site).collect();
        }
        let tickets = self.queries.tickets(&waiting.step_id).iter();
        let open = tickets.filter(|t| eligible.includes[t.host]);
        let allowed: Vec<(usize, Access, Millis)> = open
            .map(|t| match t.permission(self.record_delay, now) {
                Permission::Allowed(..) => (t.host, Access::Open, t.until),
                _ => (t.host, Access::Expired, t.until),
            })
            .collect();
        self.effort.hosts += u64::try_from(allowed.len()).unwrap_or(u64::MAX);
        let sites = allowed.into_iter();
        let site = |(i, access, until)| self.site(waiting, i, access, until, round, now);
        sites.filter_map(site).collect()
    }

    /// Returns the eligible workers that the advisor was not asked about.
    fn unasked_sites(
        &mut self,
        waiting: &WaitingStep<'_>,
        round: &mut Round,
        now: Millis,
    ) -> Vec<Site> {
        let eligible = self.eligible(waiting, round, now);
        self.examine(&eligible.hosts);
        let (step_id, record_delay) = (&waiting.step_id, self.record_delay);
        let said = self.queries.permissions(step_id, &eligible.hosts, record_delay, now);
        let unasked = said.filter(|(_, permission)| *permission == Permission::Unknown);
        let site = |i| self.site(waiting, i, Access::Unknown, Millis::ZERO, round, now);
        unasked.filter_map(|(i, _)| site(i)).collect()
    }

    /// Returns what a worker can hold of a gang, or `None` if it is too small for any member.
    fn site(
        &self,
        waiting: &WaitingStep<'_>,
        host: usize,
        access: Access,
        until: Millis,
        round: &Round,
        now: Millis,
    ) -> Option<Site> {
        let state = &self.hosts[host];
        let whole = Self::fits(waiting.step, &state.entry.capacity);
        let worker = &state.incarnation.worker;
        let is_apart = self.keeps_suspects_apart(waiting, host, round);
        (whole > 0).then(|| Site {
            host,
            access,
            until,
            grade: self.grade(waiting.haste, host, now),
            is_named: self.queries.is_named(&waiting.step_id, worker),
            free: if is_apart { Self::fits(waiting.step, &round.room(host, state)) } else { 0 },
            whole,
        })
    }

    /// Renews the tickets of the workers on which a gang gathers room, in time for the new ones to
    /// arrive before the first of the old ones expires. Returns whether queries are in flight then.
    fn keep_tickets(
        &mut self,
        waiting: &WaitingStep<'_>,
        timing: AdvisorTiming,
        gathered: &[(&Site, usize)],
        round: &mut Round,
        now: Millis,
    ) -> bool {
        if self.queries.is_asked(&waiting.step_id) {
            return true;
        }
        let workers: Vec<Box<str>> =
            gathered.iter().map(|(site, _)| self.worker_name(site.host).into()).collect();
        let plan = self.queries.plan(&waiting.job.policy.queue, timing, now);
        let expires = gathered.iter().map(|(site, _)| site.until).min().unwrap_or(Millis::MAX);
        let renewal = plan.response_time(workers.len()) + self.record_delay + TICKET_TRANSIT;
        if !round.expects_room || expires == Millis::MAX {
            return false;
        }
        if now + renewal < expires {
            self.queries.renew_at(expires.since(renewal));
            return false;
        }
        if !self.queries.may_ask(&waiting.step_id, now) {
            return false;
        }
        round.take_query_budget(waiting.step.needs.cpu_milli, waiting.state.tasks.len());
        self.send_queries(waiting.step_id, &plan, &workers, now)
    }

    /// Renews the tickets of a gang's workers all at once. Returns whether the queries in flight will
    /// make all of them valid.
    fn renew_tickets(
        &mut self,
        waiting: &WaitingStep<'_>,
        timing: AdvisorTiming,
        held: &[&Site],
        round: &mut Round,
        now: Millis,
    ) -> bool {
        round.take_query_budget(waiting.step.needs.cpu_milli, waiting.state.tasks.len());
        if !self.queries.may_ask(&waiting.step_id, now) {
            return held.iter().all(|c| c.is_named);
        }
        let workers: Vec<Box<str>> = held.iter().map(|s| self.worker_name(s.host).into()).collect();
        let plan = self.queries.plan(&waiting.job.policy.queue, timing, now);
        self.send_queries(waiting.step_id, &plan, &workers, now)
    }

    /// Queries the advisor about workers not asked about before, if the allowed ones can't hold
    /// the gang even when empty or if the others have at least twice the room needed.
    fn explore(
        &mut self,
        waiting: &WaitingStep<'_>,
        timing: AdvisorTiming,
        allowed: &[Site],
        count: usize,
        round: &mut Round,
        now: Millis,
    ) {
        if self.queries.is_asked(&waiting.step_id) {
            round.take_query_budget(waiting.step.needs.cpu_milli, count);
            return;
        }
        if !round.has_query_budget() || !self.queries.may_explore(&waiting.step_id, now) {
            return;
        }
        let unasked = self.unasked_sites(waiting, round, now);
        let allowed: usize = allowed.iter().map(|c| c.whole).sum();
        let free: usize = unasked.iter().map(|c| c.free).sum();
        if allowed >= count && free < count * 2 {
            return self.queries.explored(&waiting.step_id, now);
        }
        // Without room the gang will wait for whole workers, and its queries need not be quick.
        let has_room = free >= count;
        // Other steps take most of the room before the answer arrives.
        let fits = |c: &Site| if has_room { c.free.min(1) } else { c.whole };
        let entry = |c: &Site| self.nominee(waiting, c.host, fits(c).min(count), now);
        let plan = self.queries.plan(&waiting.job.policy.queue, timing, now);
        let plan = if has_room { plan } else { Plan { idle: 0, ..plan } };
        let workers =
            select_workers(unasked.iter().map(entry).collect(), count, |needed| plan.named(needed));
        round.take_query_budget(waiting.step.needs.cpu_milli, count);
        self.send_queries(waiting.step_id, &plan, &workers, now);
    }

    /// Keeps the room for `count` members free.
    fn hold(&self, held: &[&Site], count: usize, needs: &Capacity, round: &mut Round) {
        let mut left = count;
        for site in held {
            let members = site.free.min(left);
            left -= members;
            let capacity = needs.times(u64::try_from(members).unwrap_or(u64::MAX));
            round.reserve(site.host, &self.hosts[site.host], &capacity);
        }
    }

    fn worker_name(&self, host: usize) -> &str {
        &self.hosts[host].incarnation.worker
    }
}

/// Returns a worker for each member of a gang, or `None` if not all of them can start now.
fn assignments(sites: &[Site], count: usize) -> Option<Vec<usize>> {
    let mut open: Vec<&Site> = sites.iter().filter(|s| s.access == Access::Open).collect();
    // Workers that hold the most members come first: a gang on few workers has its members near
    // each other. Its slowest member decides when it ends.
    open.sort_by_key(|s| (s.grade == SHUNNED, Reverse(s.free), s.grade, s.host));
    let selected = take_room(&open, count, |s| s.free)?;
    let members = selected.iter().flat_map(|s| std::iter::repeat_n(s.host, s.free));
    Some(members.take(count).collect())
}

/// Returns workers that will soon have room for a gang, each with the number of members for which
/// it keeps room, or `None` if all of them are too small together.
///
/// A worker keeps its room and that of one more member. Those with the most room come first. More
/// workers than needed keep room, since the gang starts when the first of them have enough. Workers that
/// a gang of higher rank keeps, as `is_reserved` says, only give what they have left.
fn gather(
    sites: &[Site],
    count: usize,
    is_reserved: impl Fn(usize) -> bool,
) -> Option<Vec<(&Site, usize)>> {
    let mut order: Vec<(&Site, bool)> = sites.iter().map(|s| (s, is_reserved(s.host))).collect();
    order.sort_by_key(|(s, is_reserved)| (Reverse(s.free), *is_reserved, s.host));
    let mut total = 0;
    let mut gathered: Vec<(&Site, usize)> = Vec::new();
    for (site, is_reserved) in &order {
        if total >= count * GATHERED_PER_MEMBER {
            break;
        }
        let members = if *is_reserved { site.free } else { site.whole.min(site.free + 1) };
        if members > 0 {
            gathered.push((site, members));
            total += members;
        }
    }
    let mut left = count.saturating_sub(total);
    // Too few workers for that: some have to become empty.
    for (site, members) in &mut gathered {
        let more = (site.whole - *members).min(left);
        if !is_reserved(site.host) {
            *members += more;
            left -= more;
        }
    }
    (left == 0).then_some(gathered)
}

/// Returns allowed workers that have room for a gang now, or `None` if they have not. The workers
/// that the queries in flight name come first, so that the selection outlasts them.
fn roomy(sites: &[Site], count: usize) -> Option<Vec<&Site>> {
    let mut allowed: Vec<&Site> = sites.iter().collect();
    let is_shunned = |c: &Site| !c.is_named && c.grade == SHUNNED;
    allowed.sort_by_key(|c| (is_shunned(c), Reverse((c.is_named, c.free)), c.grade, c.host));
    take_room(&allowed, count, |c| c.free)
}

/// Returns the first sites that together have room for `count` members, or `None` if all of
/// them have not.
fn take_room<'a>(
    sites: &[&'a Site],
    count: usize,
    room: impl Fn(&Site) -> usize,
) -> Option<Vec<&'a Site>> {
    let mut left = count;
    let mut taken = Vec::new();
    for site in sites.iter().filter(|c| room(c) > 0) {
        if left == 0 {
            break;
        }
        left = left.saturating_sub(room(site));
        taken.push(*site);
    }
    (left == 0).then_some(taken)
}

/// Returns a sort key that orders workers differently for each step. Steps that are asked about at
/// the same time then name different workers.
pub(super) const fn scatter(step_id: &StepId, host: usize) -> u64 {
    let seed = step_id.job.0 ^ ((step_id.occurrence as u64) << 32) ^ ((step_id.step as u64) << 16);
    (seed ^ host as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
