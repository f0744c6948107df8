//! Placement of gangs: all members start together, each with a valid ticket if the step needs one.
//!
//! A gang for which its allowed workers have room holds these workers while the advisor renews
//! their tickets, so that the room is still there when the answer arrives. The workers that it
//! holds and those that it names are the same. A gang for which they have no room reserves the
//! ones on which it can fit soonest.

use super::Owner;
use super::advice::{MAX_NAMED, Permission};
use super::place::{
    Assignment, MIN_NAMED, NAMED_ROOM_TENTHS, Round, WaitingStep, counted, select_workers,
};
use crate::clock::Millis;
use crate::contract::work::{AdvisorTiming, StepId};
use crate::ledger::shard::Run;
use crate::machine::capacity::Capacity;

/// Maximum number of gangs that reserve workers without room for them.
const MAX_RESERVING: usize = 2;

/// Whether the members of a gang may start on a worker.
enum Access {
    /// They may, with this ticket if the step needs one.
    Open(Option<(Box<str>, Millis)>),
    /// They may, with a new ticket.
    Expired,
    /// The advisor has not been asked.
    Unknown,
}

/// A worker on which members of a gang might start.
struct Candidate {
    /// Index in `Owner::hosts`.
    host: usize,
    access: Access,
    /// Whether the query in flight about the step names it.
    is_named: bool,
    /// Number of members that fit now.
    free: usize,
    /// Number of members that fit while nothing else runs there.
    whole: usize,
}

impl Candidate {
    const fn is_allowed(&self) -> bool {
        !matches!(self.access, Access::Unknown)
    }
}

impl Owner {
    pub(super) fn place_gang(&mut self, waiting: &WaitingStep<'_>, round: &mut Round, now: Millis) {
        let tasks = self.startable_tasks(waiting);
        let count = tasks.len();
        if count != waiting.state.tasks.len() {
            return;
        }
        let candidates = self.candidates(waiting, round, now);
        if let Some(assignments) = assignments(&candidates, count) {
            let number = 1 + waiting.state.tasks.iter().map(|t| t.last_run).max().unwrap_or(0);
            for (task, assignment) in tasks.iter().zip(assignments) {
                self.add_run(waiting, Run { task: *task, number }, assignment, round, now);
            }
            return;
        }
        let timing = waiting.job.policy.advisor_timing;
        if let Some(held) = roomy(&candidates, count) {
            let is_asked = timing.is_some_and(|t| self.renew(waiting, t, &held, round, now));
            if is_asked || round.reserving < MAX_RESERVING {
                hold(&held, count, &counted(waiting.step), round);
            }
            if !is_asked {
                round.reserving += 1;
            }
            return;
        }
        if round.reserving < MAX_RESERVING
            && let Some(reserved) = self.soonest(&candidates, count, round)
        {
            reserved.iter().for_each(|i| round.reserve(*i, &self.hosts[*i].entry.capacity));
            round.reserving += 1;
        }
        if let Some(timing) = timing {
            self.explore(waiting, timing, &candidates, count, round, now);
        }
    }

    /// Returns the eligible workers that the advisor has not denied.
    fn candidates(&self, waiting: &WaitingStep<'_>, round: &Round, now: Millis) -> Vec<Candidate> {
        let needs = counted(waiting.step);
        let is_advised = waiting.job.policy.advisor_timing.is_some();
        let mut candidates = Vec::new();
        for (host, state) in self.hosts.iter().enumerate() {
            if !state.entry.capacity.holds(&needs) || !self.is_eligible(waiting, host, now) {
                continue;
            }
            let (step_id, worker) = (&waiting.step_id, &*state.incarnation.worker);
            let permission = || self.queries.permission(step_id, worker, self.record_delay, now);
            let access = match is_advised.then(permission) {
                None => Access::Open(None),
                Some(Permission::Allowed(ticket, until)) => Access::Open(Some((ticket, until))),
                Some(Permission::Expired) => Access::Expired,
                Some(Permission::Unknown) => Access::Unknown,
                Some(Permission::Denied) => continue,
            };
            candidates.push(Candidate {
                host,
                access,
                is_named: is_advised && self.queries.is_named(step_id, worker),
                free: Self::fits(waiting.step, &round.room(host, state)),
                whole: Self::fits(waiting.step, &state.entry.capacity),
            });
        }
        candidates
    }

    /// Returns enough allowed workers for a gang, those with the least processor time in use
    /// first, or `None` if all that are not reserved are too small together.
    fn soonest(&self, candidates: &[Candidate], count: usize, round: &Round) -> Option<Vec<usize>> {
        let mut able: Vec<&Candidate> =
            candidates.iter().filter(|c| c.is_allowed() && !round.is_reserved(c.host)).collect();
        able.sort_by_key(|c| (self.hosts[c.host].used.cpu_milli, c.host));
        let selected = take_room(&able, count, |c| c.whole)?;
        Some(selected.iter().map(|c| c.host).collect())
    }

    /// Renews the tickets of a gang's workers all at once. Returns whether a query in flight will
    /// make all of them valid.
    fn renew(
        &mut self,
        waiting: &WaitingStep<'_>,
        timing: AdvisorTiming,
        held: &[&Candidate],
        round: &mut Round,
        now: Millis,
    ) -> bool {
        round.take_query_budget(waiting.step, waiting.state.tasks.len());
        if !self.queries.may_ask(&waiting.step_id, now) {
            return held.iter().all(|c| c.is_named);
        }
        let workers = held.iter().take(MAX_NAMED).map(|c| self.worker_name(c.host)).collect();
        self.send_query(waiting.step_id, timing, workers, now)
    }

    /// Queries the advisor about workers not asked about before, if the allowed ones can't hold
    /// the gang even when empty or if the others have at least twice the room needed.
    fn explore(
        &mut self,
        waiting: &WaitingStep<'_>,
        timing: AdvisorTiming,
        candidates: &[Candidate],
        count: usize,
        round: &mut Round,
        now: Millis,
    ) {
        if !round.take_query_budget(waiting.step, count)
            || !self.queries.may_ask(&waiting.step_id, now)
        {
            return;
        }
        let allowed: usize = candidates.iter().filter(|c| c.is_allowed()).map(|c| c.whole).sum();
        let unasked = candidates.iter().filter(|c| !c.is_allowed());
        let free: usize = unasked.clone().map(|c| c.free).sum();
        if allowed >= count && free < count * 2 {
            return;
        }
        let entry = |c: &Candidate| {
            (c.free.min(count), scatter(&waiting.step_id, c.host), self.worker_name(c.host))
        };
        let share = self.queries.share(&waiting.job.policy.queue);
        let tenths = NAMED_ROOM_TENTHS * 1000 / share;
        let workers = select_workers(unasked.map(entry).collect(), count, tenths, MIN_NAMED);
        self.send_query(waiting.step_id, timing, workers, now);
    }

    fn worker_name(&self, host: usize) -> Box<str> {
        self.hosts[host].incarnation.worker.clone()
    }
}

/// Returns an assignment for each member of a gang, or `None` if not all of them can start now.
fn assignments(candidates: &[Candidate], count: usize) -> Option<Vec<Assignment>> {
    let is_open = |c: &&Candidate| matches!(c.access, Access::Open(_));
    let mut open: Vec<&Candidate> = candidates.iter().filter(is_open).collect();
    // Workers that hold the most members come first: a gang on few workers has its members near
    // each other.
    open.sort_by_key(|c| (std::cmp::Reverse(c.free), c.host));
    let selected = take_room(&open, count, |c| c.free)?;
    let mut assignments = Vec::with_capacity(count);
    for candidate in selected {
        let Access::Open(ticket) = &candidate.access else { continue };
        let members = candidate.free.min(count - assignments.len());
        assignments.extend(std::iter::repeat_n((candidate.host, ticket.clone()), members));
    }
    Some(assignments)
}

/// Returns allowed workers that have room for a gang now, or `None` if they have not. The workers
/// that the query in flight names come first, so that the selection outlasts the query.
fn roomy(candidates: &[Candidate], count: usize) -> Option<Vec<&Candidate>> {
    let mut allowed: Vec<&Candidate> = candidates.iter().filter(|c| c.is_allowed()).collect();
    allowed.sort_by_key(|c| (std::cmp::Reverse((c.is_named, c.free)), c.host));
    take_room(&allowed, count, |c| c.free)
}

/// Keeps the room for `count` members free.
fn hold(held: &[&Candidate], count: usize, needs: &Capacity, round: &mut Round) {
    let mut left = count;
    for candidate in held {
        let members = candidate.free.min(left);
        left -= members;
        round.reserve(candidate.host, &needs.times(u64::try_from(members).unwrap_or(u64::MAX)));
    }
}

/// Returns the first candidates that together have room for `count` members, or `None` if all of
/// them have not.
fn take_room<'a>(
    candidates: &[&'a Candidate],
    count: usize,
    room: impl Fn(&Candidate) -> usize,
) -> Option<Vec<&'a Candidate>> {
    let mut left = count;
    let mut taken = Vec::new();
    for candidate in candidates.iter().filter(|c| room(c) > 0) {
        if left == 0 {
            break;
        }
        left = left.saturating_sub(room(candidate));
        taken.push(*candidate);
    }
    (left == 0).then_some(taken)
}

/// Returns a sort key that orders workers differently for each step. Gangs that ask at the same
/// time then name different workers.
const fn scatter(step_id: &StepId, host: usize) -> u64 {
    let seed = step_id.job.0 ^ ((step_id.occurrence as u64) << 32) ^ ((step_id.step as u64) << 16);
    (seed ^ host as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}
