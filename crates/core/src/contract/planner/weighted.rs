//! The planner that daemons use: an adapter from [`Planner`] to [`Scheduler`].

use super::{Decision, Placement, Planner};
use crate::clock::Millis;
use crate::contract::admission;
use crate::contract::configuration::Configuration;
use crate::contract::job::Job;
use crate::contract::kind::Kind;
use crate::contract::metrics::Counters;
use crate::contract::scheduler::{self, Scheduler};
use crate::contract::share::Totals;
use crate::contract::status::Refusal;
use crate::contract::task;
use crate::machine::capacity::Capacity;
use crate::machine::controller::WorkerStatus;
use crate::machine::health::Failure;
use crate::machine::view::Report;
use crate::machine::worker::{Ended, Ending};
use crate::name::Name;
use crate::zone::{Place, stewardship};

/// A recorded placement on a worker that no controller has reported yet.
#[derive(Clone, Debug)]
struct Deferred {
    job: Job,
    kind: Kind,
    placement: Placement,
}

/// A policy with class shares, team weights, best-fit placement and estimates of needs.
#[derive(Clone, Debug)]
pub struct Weighted {
    scheduler: Scheduler,
    deferred: Vec<Deferred>,
}

impl Weighted {
    /// Returns a planner without work and workers for the steward `own`, located at `home`.
    pub fn new(own: &Name, home: Place) -> Self {
        let mut scheduler = Scheduler::new(Some(home), &Configuration::default());
        scheduler.salt(stewardship::hash(&["salt", own.as_str()]));
        Self { scheduler, deferred: Vec::new() }
    }

    /// Registers a recorded placement. Returns false if its worker is not known yet or the task is
    /// not idle.
    fn restore(&mut self, deferred: &Deferred, now: Millis) -> bool {
        let Deferred { job, kind, placement: Placement { task, worker, needs } } = deferred;
        self.scheduler.restore(job, kind, task.index, worker.as_str(), needs, now)
    }
}

impl Planner for Weighted {
    fn configure(&mut self, configuration: &Configuration) {
        self.scheduler.configure(configuration);
    }

    fn update_worker(&mut self, status: &WorkerStatus, now: Millis) {
        let WorkerStatus { worker, free, closed, as_of, .. } = status;
        self.scheduler.worker(&Report { worker, free, leaving: *closed, at: *as_of });
        let reported: Vec<Deferred> =
            self.deferred.extract_if(.., |d| d.placement.worker == worker.name).collect();
        for deferred in reported {
            self.restore(&deferred, now);
        }
    }

    fn forget(&mut self, worker: &Name) {
        self.scheduler.forget_worker(worker.as_str());
    }

    fn admit(
        &self,
        job: &Job,
        _: &Kind,
        configuration: &Configuration,
        now: Millis,
    ) -> Result<(), Refusal> {
        self.scheduler.admit(job, configuration, now).map_err(|refusal| match refusal {
            admission::Refusal::Impossible(findings) => Refusal::invalid(&findings),
            admission::Refusal::Later { reason, retry_after } => {
                Refusal::not_run(reason, retry_after)
            }
        })
    }

    fn enqueue(&mut self, job: &Job, kind: &Kind, task: &task::Id, at: Millis) {
        self.scheduler.enqueue(job, kind, &[task.index], at);
    }

    fn withdraw(&mut self, task: &task::Id, now: Millis) {
        self.deferred.retain(|d| d.placement.task != *task);
        self.scheduler.drop_task(task);
        self.scheduler.ended(task, &Ending::Stopped, &Capacity::ZERO, Millis::ZERO, now);
    }

    fn reserved(&mut self, placement: &Placement, now: Millis) {
        self.scheduler.reserved(&placement.task, now);
    }

    fn placed(&mut self, job: &Job, kind: &Kind, placement: &Placement, now: Millis) {
        let deferred =
            Deferred { job: job.clone(), kind: kind.clone(), placement: placement.clone() };
        self.scheduler.drop_task(&placement.task);
        if !self.restore(&deferred, now) && !self.scheduler.is_placed(&placement.task) {
            self.deferred.push(deferred);
        }
    }

    fn refused(&mut self, placement: &Placement, now: Millis) {
        self.scheduler.reservation_refused(&placement.task, now);
    }

    fn over(&mut self, task: &task::Id, _: &Name, ended: Option<&Ended>, now: Millis) {
        self.deferred.retain(|d| d.placement.task != *task);
        let (ending, peak, ran) = ended
            .map_or((&Ending::Lapsed, Capacity::ZERO, Millis::ZERO), |e| {
                (&e.ending, e.peak, e.ran_ms)
            });
        self.scheduler.ended(task, ending, &peak, ran, now);
    }

    fn decide(&mut self, now: Millis, limit: usize) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let mut open: Option<u64> = None;
        for decision in self.scheduler.decide(now, limit) {
            match decision {
                scheduler::Decision::Preempt { task, worker } => {
                    decisions.push(Decision::Preempt { task, worker });
                }
                scheduler::Decision::Place { task, worker, needs, gang } => {
                    let placement = Placement { task, worker, needs };
                    match decisions.last_mut() {
                        Some(Decision::Place(group)) if gang.is_some() && gang == open => {
                            group.push(placement);
                        }
                        _ => decisions.push(Decision::Place(vec![placement])),
                    }
                    open = gang;
                }
            }
        }
        decisions
    }

    fn totals(&self) -> Totals {
        *self.scheduler.totals()
    }

    fn drain_failures(&mut self) -> Vec<Failure> {
        self.scheduler.drain_failures()
    }

    fn update_peer_totals(&mut self, peer: &Name, totals: &Totals, now: Millis) {
        self.scheduler.update_peer_totals(peer, totals, now);
    }

    fn record_peer_failure(&mut self, failure: &Failure, now: Millis) {
        self.scheduler.record_peer_failure(failure, now);
    }

    fn counters(&self) -> Counters {
        *self.scheduler.counters()
    }

    fn packing(&self) -> (Capacity, Capacity) {
        let view = self.scheduler.view();
        (*view.total(), *view.free())
    }

    fn drop_jobs(&mut self, jobs: &[Name]) {
        for job in jobs {
            self.deferred.retain(|d| d.job.id != *job);
            self.scheduler.forget(job.as_str());
        }
    }
}
