//! What the owner would do with a job that was submitted now, without submitting it: a placement pass on
//! a copy of its state, so that the answer comes from the code that decides.

use super::{Effect, Owner};
use crate::clock::Millis;
use crate::contract::work::{Job, Step, StepId};
use crate::ledger::shard::Entry;
use crate::ledger::shard::replica::{Applied, Replica};
use crate::machine::capacity::Capacity;
use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

#[cfg(test)]
mod tests;

/// What would become of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Preview {
    /// Whether a job of this id was accepted already: a submission would have no effect.
    pub is_known: bool,
    /// What would become of each step, by index.
    pub steps: Vec<Forecast>,
}

/// What the next placement pass would do for a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forecast {
    /// Number of its tasks.
    pub tasks: usize,
    /// Number of waiting steps that have their turn before it.
    pub ahead: usize,
    /// Workers on which tasks start, with their numbers.
    pub starts: Vec<(Box<str>, usize)>,
    /// Workers about which the advisor is asked.
    pub asked: Vec<Box<str>>,
    /// Why the other tasks wait; `None` if all start.
    pub reason: Option<Reason>,
}

/// Why tasks wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// These steps must be done first.
    Steps(Vec<u16>),
    /// The owner has to wait for the configuration, or the quota of the team is used up.
    Quota(Name),
    /// No worker of the pool with the label that the step requires accepts work and could hold a task.
    Workers,
    /// None of so many workers that could hold a task has room.
    Room(usize),
    /// The advisor has to allow workers.
    Advice,
    /// The room is kept for steps that have their turn first.
    Turn,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Steps(steps) => write!(f, "steps {steps:?} must be done first"),
            Self::Quota(team) => write!(f, "the quota of team {team} leaves no room"),
            Self::Workers => f.write_str("no worker that accepts work could hold a task"),
            Self::Room(workers) => write!(f, "none of {workers} suitable workers has room"),
            Self::Advice => f.write_str("the advisor has to allow workers"),
            Self::Turn => f.write_str("the room is kept for steps that have their turn first"),
        }
    }
}

impl Owner {
    /// Returns what would become of a job that was submitted at `now`.
    pub fn preview(&self, replica: &Replica, job: &Job, now: Millis) -> Preview {
        let (mut owner, mut replica) = (self.clone(), replica.clone());
        let submitted = replica.apply(Entry::Submitted(Box::new(job.clone())), now);
        owner.effects.clear();
        owner.place(&replica, now);
        let forecast = |(index, step): (u16, &Step)| owner.forecast(job, index, step, now);
        let steps = (0..).zip(&job.steps).map(forecast).collect();
        Preview { is_known: submitted == Applied::Nothing, steps }
    }

    /// Returns what the last placement pass did for a step.
    fn forecast(&self, job: &Job, index: u16, step: &Step, now: Millis) -> Forecast {
        let step_id = StepId { job: job.id, occurrence: 0, step: index };
        let tasks = usize::try_from(step.count).unwrap_or(usize::MAX);
        let (starts, asked) = (self.starts_of(&step_id), self.asked_for(&step_id));
        let started: usize = starts.iter().map(|(_, count)| count).sum();
        let ranks = self.ranks(now);
        let ahead = ranks.iter().position(|rank| rank.step_id == step_id);
        let reason = (started < tasks).then(|| self.reason(job, step, !asked.is_empty(), now));
        Forecast { tasks, ahead: ahead.unwrap_or(ranks.len()), starts, asked, reason }
    }

    fn starts_of(&self, step_id: &StepId) -> Vec<(Box<str>, usize)> {
        let mut starts = Vec::new();
        for effect in &self.effects {
            if let Effect::Record(Entry::Started { on, runs }) = effect {
                match runs.iter().filter(|run| run.task.step_id == *step_id).count() {
                    0 => {}
                    count => starts.push((on.worker.clone(), count)),
                }
            }
        }
        starts
    }

    fn asked_for(&self, step_id: &StepId) -> Vec<Box<str>> {
        let queries = self.effects.iter().filter_map(|effect| match effect {
            Effect::QueryAdvisor(query) if query.step_id == *step_id => Some(&query.workers),
            _ => None,
        });
        queries.flatten().cloned().collect()
    }

    fn reason(&self, job: &Job, step: &Step, is_asked: bool, now: Millis) -> Reason {
        let needs = step.counted_needs();
        if !step.after.is_empty() {
            return Reason::Steps(step.after.clone());
        }
        let together =
            if step.gang { usize::try_from(step.count).unwrap_or(usize::MAX) } else { 1 };
        if let Some(team) = &job.policy.team
            && self.accounts.headroom(Some(team), &needs) < together
        {
            return Reason::Quota(team.clone());
        }
        let is_suitable = |capacity: &Capacity| Self::fits(step, capacity) > 0;
        let hosts = self.hosts.iter().filter(|host| host.accepts(job, step, now));
        let suitable: Vec<_> = hosts.filter(|host| is_suitable(&host.entry.capacity)).collect();
        if suitable.is_empty() {
            Reason::Workers
        } else if !suitable.iter().any(|host| is_suitable(&host.free())) {
            Reason::Room(suitable.len())
        } else if is_asked {
            Reason::Advice
        } else {
            Reason::Turn
        }
    }
}
