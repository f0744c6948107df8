//! The scheduler of the core crate in several instances, each of which schedules the work of some
//! teams on the whole fleet, as the stewards of the daemons do.

use super::{ReservationReply, SchedulingPolicy};
use crate::load::{JobSpec, name};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::admission::Refusal;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::contract::configuration::Configuration;
use pimentovalve_core::contract::scheduler::{Decision, Scheduler};
use pimentovalve_core::contract::task;
use pimentovalve_core::ledger::Stream;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::health::Failure;
use pimentovalve_core::machine::view::Report;
use pimentovalve_core::machine::worker::{Ending, Worker};
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::stewardship;

/// Most decisions that each scheduler makes in one call.
const DECISION_LIMIT: usize = 64;

/// Several schedulers that share the fleet. Teams are partitioned among them, and each has its own
/// view of all workers, so that their placements can conflict.
#[derive(Debug)]
pub struct PartitionedScheduler {
    schedulers: Vec<Scheduler>,
    configuration: Configuration,
    /// Whether needs are estimated from measured usage; if unset, the declared needs are used.
    learns_usage: bool,
    /// Index of the scheduler that decides first; advanced at the start of each call, so that no
    /// scheduler always has the first choice of free capacity.
    first_to_decide: usize,
    /// Failures that each scheduler, by index, has yet to send to the others.
    pending_failures: Vec<(usize, Vec<Failure>)>,
}

impl PartitionedScheduler {
    /// Creates `count` schedulers. If `learns_usage` is unset, they place by declared needs.
    pub fn new(count: usize, configuration: &Configuration, learns_usage: bool) -> Self {
        let mut schedulers = vec![Scheduler::new(None, configuration); count];
        if count > 1 {
            for (i, scheduler) in (1..).zip(&mut schedulers) {
                scheduler.salt(stewardship::hash(&[&format!("steward-{i}")]));
            }
        }
        Self {
            schedulers,
            configuration: configuration.clone(),
            learns_usage,
            first_to_decide: 0,
            pending_failures: Vec::new(),
        }
    }

    /// Returns the schedulers, in the order of the partitions that they own.
    pub fn schedulers(&self) -> &[Scheduler] {
        &self.schedulers
    }

    fn scheduler_of(&mut self, team: &Name) -> &mut Scheduler {
        let count = u16::try_from(self.schedulers.len()).unwrap_or(u16::MAX);
        let Stream::Partition(partition) = Stream::of_team(team, count) else {
            unreachable!("the work of a team is in a partition")
        };
        &mut self.schedulers[usize::from(partition)]
    }
}

fn task_id(spec: &JobSpec, index: u32) -> task::Id {
    task::Id { job: spec.job.id.clone(), index }
}

impl SchedulingPolicy for PartitionedScheduler {
    fn worker_reported(&mut self, worker: &Worker, free: &Capacity, at: Millis) {
        for scheduler in &mut self.schedulers {
            scheduler.worker(&Report { worker, free, leaving: false, at });
        }
    }

    fn worker_lost(&mut self, worker: &Worker) {
        for scheduler in &mut self.schedulers {
            scheduler.forget_worker(worker.name.as_str());
        }
    }

    fn submit(&mut self, spec: &JobSpec, now: Millis) -> Result<(), Refusal> {
        let configuration = std::mem::take(&mut self.configuration);
        let scheduler = self.scheduler_of(&spec.job.team);
        let answer = scheduler.admit(&spec.job, &configuration, now);
        if answer.is_ok() {
            let tasks: Vec<u32> = (0..spec.job.tasks).collect();
            scheduler.enqueue(&spec.job, &spec.kind, &tasks, now);
        }
        self.configuration = configuration;
        answer
    }

    fn requeue(&mut self, spec: &JobSpec, tasks: &[u32], _now: Millis) {
        self.scheduler_of(&spec.job.team).enqueue(&spec.job, &spec.kind, tasks, spec.submitted_at);
    }

    fn cancel(&mut self, spec: &JobSpec) {
        self.scheduler_of(&spec.job.team).cancel(spec.job.id.as_str());
    }

    fn reservation_answered(
        &mut self,
        spec: &JobSpec,
        task: u32,
        reply: &ReservationReply<'_>,
        now: Millis,
    ) {
        let id = task_id(spec, task);
        let scheduler = self.scheduler_of(&spec.job.team);
        if reply.granted {
            scheduler.reserved(&id, now);
        } else {
            scheduler.reservation_refused(&id, now);
        }
        let (worker, free) = (reply.worker, reply.free);
        scheduler.worker(&Report { worker, free, leaving: false, at: now });
    }

    fn usage_observed(&mut self, spec: &JobSpec, task: u32, usage: &Capacity) {
        if self.learns_usage {
            self.scheduler_of(&spec.job.team).usage_seen(&task_id(spec, task), usage);
        }
    }

    fn attempt_ended(
        &mut self,
        spec: &JobSpec,
        task: u32,
        ending: &Ending,
        ran: Millis,
        now: Millis,
    ) {
        let peak = if self.learns_usage { spec.actual_needs } else { Capacity::ZERO };
        self.scheduler_of(&spec.job.team).ended(&task_id(spec, task), ending, &peak, ran, now);
    }

    fn exchange_totals(&mut self, now: Millis) {
        let totals: Vec<_> = self.schedulers.iter().map(|s| *s.totals()).collect();
        for (i, scheduler) in self.schedulers.iter_mut().enumerate() {
            for (j, totals) in totals.iter().enumerate().filter(|(j, _)| *j != i) {
                scheduler.update_peer_totals(&name(&format!("steward-{j}")), totals, now);
            }
        }
    }

    fn waiting_tasks(&self) -> u64 {
        let waiting = |s: &Scheduler| Class::ALL.iter().map(|&c| s.waiting(c)).sum::<u64>();
        self.schedulers.iter().map(waiting).sum()
    }

    fn decide(&mut self, now: Millis) -> Vec<Decision> {
        let count = self.schedulers.len();
        // A failure reaches the other schedulers with the call after the one that collected it.
        for (from, failures) in std::mem::take(&mut self.pending_failures) {
            let others = self.schedulers.iter_mut().enumerate().filter(|(i, _)| *i != from);
            for (_, scheduler) in others {
                failures.iter().for_each(|failure| scheduler.record_peer_failure(failure, now));
            }
        }
        for (i, scheduler) in self.schedulers.iter_mut().enumerate() {
            self.pending_failures.push((i, scheduler.drain_failures()));
        }
        self.first_to_decide = (self.first_to_decide + 1) % count;
        let order = (0..count).map(|i| (self.first_to_decide + i) % count);
        order.flat_map(|i| self.schedulers[i].decide(now, DECISION_LIMIT)).collect()
    }
}
