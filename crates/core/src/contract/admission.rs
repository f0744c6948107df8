//! Admission: the early and honest answer whether work is taken.
//!
//! Work that nothing could ever hold is refused with all findings. Work whose team has more
//! waiting than can start within the class's deadline is refused with a time to come back. What
//! is admitted is never dropped.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::configuration::Configuration;
use crate::contract::job::Job;
use crate::contract::kind::Shape;
use crate::contract::policy;
use crate::contract::request::Reason;
use crate::finding::List;
use crate::machine::capacity::Capacity;
use crate::machine::view::View;

/// Tasks of a team that wait in one class at most.
pub const MAX_WAITING: u32 = 100_000;
/// Shortest time to come back.
const SHORTEST_RETRY: Millis = Millis(500);
/// Longest time to come back.
const LONGEST_RETRY: Millis = Millis::from_secs(3600);
/// Time to come back when no worker is known.
const NO_WORKER_RETRY: Millis = Millis::from_secs(5);
/// Part of the deadline that may be spent on the expected wait, in percent; the rest is for
/// errors of the expectation and for the start itself.
const WAIT_PERCENT: u64 = 50;

/// Why a job was refused. In every case it did not run, and will not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It could never run; all findings.
    Impossible(List),
    /// It could run later.
    Later {
        /// Why not now.
        reason: Reason,
        /// When to come back, from now.
        retry_after: Millis,
    },
}

impl Refusal {
    /// Returns the refusal with up to a quarter more time to come back, drawn from `seed` and the
    /// time of the refusal.
    #[must_use]
    pub fn jittered(self, seed: u64, now: Millis) -> Self {
        match self {
            Self::Later { reason, retry_after } => {
                let most = retry_after.get() / 4 + 1;
                let drawn = seed.wrapping_add(now.get()).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
                Self::Later { reason, retry_after: retry_after + Millis(drawn % most) }
            }
            other @ Self::Impossible(_) => other,
        }
    }
}

/// What waits in a team's flow of one class, and how fast it is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Waiting tasks.
    pub tasks: u32,
    /// Waiting work, in millionths of the fleet times milliseconds.
    pub work: u64,
    /// The team's part of what the class may use, in millionths of the fleet.
    pub rate: u64,
    /// Whether the job would start at once, since there is room for all that waits.
    pub idle: bool,
}

impl Backlog {
    /// Returns how long work that is added now is expected to wait.
    pub fn wait(&self) -> Millis {
        if self.idle { Millis::ZERO } else { Millis(self.work / self.rate.max(1)) }
    }

    /// Checks that work of the class would start within its deadline.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time to come back.
    pub fn verdict(&self, class: Class) -> Result<(), Refusal> {
        let allowed = Millis(class.deadline().get() * WAIT_PERCENT / 100);
        let wait = self.wait();
        if wait <= allowed && self.tasks < MAX_WAITING {
            return Ok(());
        }
        let retry_after = wait.since(allowed).max(SHORTEST_RETRY).min(LONGEST_RETRY);
        Err(Refusal::Later { reason: Reason::Overload, retry_after })
    }
}

/// Checks that a job could run at all: its team and kind exist, and the fleet and the team's quota
/// could hold it.
///
/// # Errors
///
/// Returns all findings together, or a time to come back when no worker is known.
pub fn check(job: &Job, configuration: &Configuration, view: &View) -> Result<(), Refusal> {
    let mut findings = List::new();
    let kind = configuration.kind(job.kind.as_str());
    if kind.is_none() {
        findings.note("kind", format!("{} is not configured", job.kind));
    }
    let together = kind.is_some_and(|k| k.shape == Shape::Gang);
    let tasks = if together { u64::from(job.tasks) } else { 1 };
    match configuration.team(job.team.as_str()) {
        None => findings.note("team", format!("{} is not configured", job.team)),
        Some(team) if !team.quota.holds(&job.needs.times(tasks)) => {
            findings.note("needs", format!("exceed the quota of {}: {}", team.name, team.quota));
        }
        Some(_) => {}
    }
    let unknown = view.workers().next().is_none();
    if !unknown && !view.could_hold(&job.needs) {
        findings.note("needs", "exceed every worker");
    } else if !unknown && together && room(view, &job.needs, tasks) < tasks {
        findings.note("tasks", "exceed what all workers together can run at once");
    }
    if let Some(kind) = kind.filter(|k| !unknown && !policy::of(k.shape).is_preemptible()) {
        let class = job.class.unwrap_or(kind.class);
        let all = job.needs.times(u64::from(job.tasks));
        let firm = configuration.shares.firm(class);
        if !view.total().percent(u64::from(firm)).holds(&all) {
            let limit = format!("exceed the {firm} percent of the fleet that services may hold");
            findings.note("tasks", limit);
        }
    }
    findings.into_result().map_err(Refusal::Impossible)?;
    if unknown {
        let retry_after = NO_WORKER_RETRY;
        return Err(Refusal::Later { reason: Reason::Unavailable, retry_after });
    }
    Ok(())
}

/// Returns how many tasks the empty fleet could run at once, counted up to `enough`.
fn room(view: &View, needs: &Capacity, enough: u64) -> u64 {
    let mut room = 0;
    for (_, worker) in view.workers() {
        room = worker.capacity.times_held(needs).saturating_add(room);
        if room >= enough {
            break;
        }
    }
    room
}

#[cfg(test)]
mod tests;
