//! Placement of gangs: all members start together, each with a valid ticket if the step needs one.
//!
//! A gang for which its allowed workers have room holds these workers while the advisor renews
//! their tickets, so that the room is still there when the answer arrives. The workers that it
//! holds and those that it names are the same. A gang for which they have no room reserves the
//! ones on which it can fit soonest.

use super::Owner;
use super::advice::Permission;
use super::place::{Round, WaitingStep, counted, select_workers};
use crate::clock::Millis;
use crate::contract::work::{AdvisorTiming, StepId, Task};
use crate::ledger::shard::Run;
use crate::ledger::shard::replica::Replica;
use crate::machine::capacity::Capacity;

/// Maximum number of gangs that reserve workers without room for them.
pub(super) const MAX_RESERVING: usize = 2;

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
    /// Number of members that fit now.
    free: usize,
    /// Number of members that fit while nothing else runs there.
    whole: usize,
}

impl Site {
    fn is_allowed(&self) -> bool {
        self.access != Access::Unknown
    }
}

impl Owner {
    pub(super) fn place_gang(
        &mut self,
        waiting: &WaitingStep<'_>,
        replica: &Replica,
        round: &mut Round,
        now: Millis,
    ) {
        let count = waiting.state.tasks.len();
        let sites = self.sites(waiting, round, now);
        if let Some(hosts) = assignments(&sites, count) {
            let tasks: Vec<Task> = self.startable(replica, &waiting.step_id).collect();
            let number = 1 + waiting.state.tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
            for (task, host) in tasks.into_iter().zip(hosts) {
                self.add_run(waiting, Run { task, number }, host, round, now);
            }
            return;
        }
        let timing = waiting.job.policy.advisor_timing;
        if let Some(held) = roomy(&sites, count) {
            let is_asked =
                timing.is_some_and(|t| self.renew_tickets(waiting, t, &held, round, now));
            if is_asked || round.reserving < MAX_RESERVING {
                self.hold(&held, count, &counted(waiting.step), round);
            }
            if !is_asked {
                round.reserving += 1;
            }
            return;
        }
        if round.reserving < MAX_RESERVING
            && let Some(reserved) = self.soonest(&sites, count, round)
        {
            for i in reserved {
                let host = &self.hosts[i];
                round.reserve(i, host, &host.entry.capacity);
            }
            round.reserving += 1;
        }
        if let Some(timing) = timing {
            self.explore(waiting, timing, &sites, count, round, now);
        }
    }

    /// Returns the eligible workers that the advisor has not denied.
    fn sites(&mut self, waiting: &WaitingStep<'_>, round: &mut Round, now: Millis) -> Vec<Site> {
        let needs = counted(waiting.step);
        let is_advised = waiting.job.policy.advisor_timing.is_some();
        let eligible = self.eligible(waiting, round, now);
        self.examine(&eligible.hosts);
        let step_id = &waiting.step_id;
        let said = self.queries.permissions(step_id, &eligible.hosts, self.record_delay, now);
        let mut sites = Vec::new();
        for (host, permission) in said {
            let state = &self.hosts[host];
            if !state.entry.capacity.holds(&needs) {
                continue;
            }
            let access = match permission {
                _ if !is_advised => Access::Open,
                Permission::Allowed(..) => Access::Open,
                Permission::Expired => Access::Expired,
                Permission::Unknown => Access::Unknown,
                Permission::Denied => continue,
            };
            sites.push(Site {
                host,
                access,
                is_named: is_advised && self.queries.is_named(step_id, &state.incarnation.worker),
                free: Self::fits(waiting.step, &round.room(host, state)),
                whole: Self::fits(waiting.step, &state.entry.capacity),
            });
        }
        sites
    }

    /// Returns enough allowed workers for a gang, those with the least processor time in use
    /// first, or `None` if all that are not reserved are too small together.
    fn soonest(&self, sites: &[Site], count: usize, round: &Round) -> Option<Vec<usize>> {
        let mut able: Vec<&Site> =
            sites.iter().filter(|c| c.is_allowed() && !round.is_reserved(c.host)).collect();
        able.sort_by_key(|c| (self.hosts[c.host].used.cpu_milli, c.host));
        let selected = take_room(&able, count, |c| c.whole)?;
        Some(selected.iter().map(|c| c.host).collect())
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
        round.take_query_budget(waiting.step, waiting.state.tasks.len());
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
        sites: &[Site],
        count: usize,
        round: &mut Round,
        now: Millis,
    ) {
        if !round.take_query_budget(waiting.step, count)
            || !self.queries.may_ask(&waiting.step_id, now)
        {
            return;
        }
        let allowed: usize = sites.iter().filter(|c| c.is_allowed()).map(|c| c.whole).sum();
        let unasked = sites.iter().filter(|c| !c.is_allowed());
        let free: usize = unasked.clone().map(|c| c.free).sum();
        if allowed >= count && free < count * 2 {
            return;
        }
        // Without room for the gang it will wait for whole workers.
        let fits = |c: &Site| if free < count { c.whole } else { c.free };
        let entry = |c: &Site| {
            (fits(c).min(count), scatter(&waiting.step_id, c.host), self.worker_name(c.host))
        };
        let plan = self.queries.plan(&waiting.job.policy.queue, timing, now);
        let workers =
            select_workers(unasked.map(entry).collect(), count, |needed| plan.named(needed));
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
    // each other.
    open.sort_by_key(|s| (std::cmp::Reverse(s.free), s.host));
    let selected = take_room(&open, count, |s| s.free)?;
    let members = selected.iter().flat_map(|s| std::iter::repeat_n(s.host, s.free));
    Some(members.take(count).collect())
}

/// Returns allowed workers that have room for a gang now, or `None` if they have not. The workers
/// that the queries in flight name come first, so that the selection outlasts them.
fn roomy(sites: &[Site], count: usize) -> Option<Vec<&Site>> {
    let mut allowed: Vec<&Site> = sites.iter().filter(|c| c.is_allowed()).collect();
    allowed.sort_by_key(|c| (std::cmp::Reverse((c.is_named, c.free)), c.host));
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
