//! Admission control on submission.
//!
//! A job that no worker, fleet or quota could ever hold is refused with all findings. A job whose
//! team has more work waiting than can start within the deadline of the class is refused with a
//! retry time. Admitted work is never dropped.

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

/// Maximum number of waiting tasks of a team in one class.
pub const MAX_WAITING: u32 = 100_000;
/// Lower bound of the retry time.
const MIN_RETRY: Millis = Millis(500);
/// Upper bound of the retry time.
const MAX_RETRY: Millis = Millis::from_secs(3600);
/// Retry time while no worker is known.
const NO_WORKER_RETRY: Millis = Millis::from_secs(5);
/// Maximum expected wait in percent of the deadline. The rest allows for errors of the expectation
/// and for the start itself.
const MAX_WAIT_PERCENT: u64 = 50;

/// Why a job was refused. In every case it has not run and will not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The job could never run, for all of these reasons.
    Impossible(List),
    /// The job may be admitted later.
    Later {
        /// Reason of the refusal.
        reason: Reason,
        /// Time after which to retry.
        retry_after: Millis,
    },
}

impl Refusal {
    /// Returns the refusal with its retry time increased by up to a quarter. The increase is
    /// derived from `seed` and the time of the refusal, so that refused callers do not all retry
    /// at once.
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

/// Waiting work of a team in one class, and the rate at which it is served.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// Number of waiting tasks.
    pub tasks: u32,
    /// Expected work of the waiting tasks, in millionths of the fleet times milliseconds.
    pub work: u64,
    /// The team's part of the class's share, in millionths of the fleet.
    pub rate: u64,
    /// Whether the team has no waiting task and the job could start at once.
    pub idle: bool,
}

impl Backlog {
    /// Returns the expected wait of work that is added now.
    pub fn wait(&self) -> Millis {
        if self.idle { Millis::ZERO } else { Millis(self.work / self.rate.max(1)) }
    }

    /// Checks that work of the class is expected to start within its deadline.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Later`] if it is not, or if too many tasks wait.
    pub fn verdict(&self, class: Class) -> Result<(), Refusal> {
        let allowed = Millis(class.deadline().get() * MAX_WAIT_PERCENT / 100);
        let wait = self.wait();
        if wait <= allowed && self.tasks < MAX_WAITING {
            return Ok(());
        }
        let retry_after = wait.since(allowed).max(MIN_RETRY).min(MAX_RETRY);
        Err(Refusal::Later { reason: Reason::Overload, retry_after })
    }
}

/// Checks that a job could run on an idle fleet: its team and kind are configured, and the fleet
/// and the team's quota are large enough.
///
/// # Errors
///
/// Returns all findings together, or a retry time if no worker is known.
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
        let firm = configuration.shares.max_non_preemptible(class);
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

/// Returns how many tasks an idle fleet could run at the same time. Stops counting at `enough`.
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
