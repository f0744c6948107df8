//! Baseline policies: one FIFO queue, with first fit or random fit by declared needs. A baseline
//! tracks the exact free capacity of all workers itself, without the delay of reports, and the
//! head of the queue blocks all other entries.

use super::{ReservationReply, SchedulingPolicy};
use crate::load::JobSpec;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::admission::Refusal;
use pimentovalve_core::contract::kind::Shape;
use pimentovalve_core::contract::scheduler::Decision;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{Ending, Worker};
use pimentovalve_core::name::Name;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// How a worker is chosen among those with enough free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The first by name.
    First,
    /// A random one.
    Random,
}

/// A worker with the capacity that the baseline's own placements leave free.
#[derive(Debug)]
struct WorkerState {
    name: Name,
    capacity: Capacity,
    free: Capacity,
    /// Unset while the worker is lost.
    present: bool,
}

/// A queued task, or the queued tasks of a gang, which are placed together.
#[derive(Debug)]
struct QueueEntry {
    job: Name,
    tasks: Vec<u32>,
    needs: Capacity,
}

/// A FIFO scheduler for the whole fleet, without classes, shares, admission or preemption.
#[derive(Debug)]
pub struct Baseline {
    fit: Fit,
    rng: ChaCha8Rng,
    /// Sorted by name.
    workers: Vec<WorkerState>,
    queue: VecDeque<QueueEntry>,
    /// Placed tasks with the index of their worker, sorted by task.
    placed: Vec<(task::Id, usize)>,
}

impl Baseline {
    /// Creates a baseline without workers or jobs; `seed` is used by [`Fit::Random`].
    pub fn new(fit: Fit, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { fit, rng, workers: Vec::new(), queue: VecDeque::new(), placed: Vec::new() }
    }

    /// Places the entry at the head of the queue. Returns `None` when it doesn't fit or the queue
    /// is empty.
    fn place_head(&mut self) -> Option<Vec<Decision>> {
        let entry = self.queue.pop_front()?;
        let mut found = Vec::new();
        for _ in &entry.tasks {
            let Some(i) = self.find_worker(&entry.needs) else { break };
            self.workers[i].free = self.workers[i].free.saturating_sub(&entry.needs);
            found.push(i);
        }
        if found.len() < entry.tasks.len() {
            for i in found {
                self.workers[i].free = self.workers[i].free.plus(&entry.needs);
            }
            self.queue.push_front(entry);
            return None;
        }
        let decisions = entry.tasks.iter().zip(found).map(|(&index, i)| {
            let task = task::Id { job: entry.job.clone(), index };
            let at = self.placed.partition_point(|(id, _)| *id < task);
            self.placed.insert(at, (task.clone(), i));
            let worker = self.workers[i].name.clone();
            Decision::Place { task, worker, needs: entry.needs, gang: None }
        });
        Some(decisions.collect())
    }

    /// Returns the index of a worker that has room for `needs`.
    fn find_worker(&mut self, needs: &Capacity) -> Option<usize> {
        let fits = |worker: &WorkerState| worker.present && worker.free.holds(needs);
        match self.fit {
            Fit::First => self.workers.iter().position(fits),
            Fit::Random => {
                let all: Vec<usize> =
                    (0..self.workers.len()).filter(|&i| fits(&self.workers[i])).collect();
                (!all.is_empty()).then(|| all[self.rng.random_range(0..all.len())])
            }
        }
    }

    fn enqueue(&mut self, spec: &JobSpec, tasks: &[u32]) {
        let entry = |tasks: &[u32]| QueueEntry {
            job: spec.job.id.clone(),
            tasks: tasks.to_vec(),
            needs: spec.job.needs,
        };
        if spec.kind.shape == Shape::Gang {
            self.queue.push_back(entry(tasks));
        } else {
            self.queue.extend(tasks.chunks(1).map(entry));
        }
    }
}

impl SchedulingPolicy for Baseline {
    fn worker_reported(&mut self, worker: &Worker, _free: &Capacity, _at: Millis) {
        match self.workers.binary_search_by(|s| s.name.cmp(&worker.name)) {
            Ok(i) => self.workers[i].present = true,
            Err(i) => {
                let (name, capacity) = (worker.name.clone(), worker.capacity);
                self.workers
                    .insert(i, WorkerState { name, capacity, free: capacity, present: true });
            }
        }
    }

    fn worker_lost(&mut self, worker: &Worker) {
        if let Ok(i) = self.workers.binary_search_by(|s| s.name.cmp(&worker.name)) {
            self.workers[i].present = false;
        }
    }

    fn submit(&mut self, spec: &JobSpec, _now: Millis) -> Result<(), Refusal> {
        let tasks: Vec<u32> = (0..spec.job.tasks).collect();
        self.enqueue(spec, &tasks);
        Ok(())
    }

    fn requeue(&mut self, spec: &JobSpec, tasks: &[u32], _now: Millis) {
        self.enqueue(spec, tasks);
    }

    fn cancel(&mut self, spec: &JobSpec) {
        self.queue.retain(|entry| entry.job != spec.job.id);
    }

    fn reservation_answered(
        &mut self,
        spec: &JobSpec,
        task: u32,
        reply: &ReservationReply<'_>,
        now: Millis,
    ) {
        if !reply.granted {
            self.attempt_ended(spec, task, &Ending::Stopped, Millis::ZERO, now);
            self.enqueue(spec, &[task]);
        }
    }

    fn attempt_ended(
        &mut self,
        spec: &JobSpec,
        task: u32,
        _ending: &Ending,
        _ran: Millis,
        _now: Millis,
    ) {
        let id = task::Id { job: spec.job.id.clone(), index: task };
        if let Ok(at) = self.placed.binary_search_by(|(other, _)| other.cmp(&id)) {
            let (_, i) = self.placed.remove(at);
            let worker = &mut self.workers[i];
            worker.free = worker.free.plus(&spec.job.needs).least(&worker.capacity);
        }
    }

    fn waiting_tasks(&self) -> u64 {
        self.queue.iter().map(|entry| entry.tasks.len() as u64).sum()
    }

    fn decide(&mut self, _now: Millis) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(placed) = self.place_head() {
            decisions.extend(placed);
        }
        decisions
    }
}
