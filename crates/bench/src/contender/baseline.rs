//! Plain baselines: one queue, first in first out, with first fit or random fit by declared size.
//! They see the exact free capacity of all workers at once.

use super::{Answer, Contender};
use crate::load::Spec;
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

/// Which fitting worker is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The first one.
    First,
    /// Any one.
    Random,
}

/// A worker with its free capacity.
#[derive(Debug)]
struct Slot {
    name: Name,
    capacity: Capacity,
    free: Capacity,
    present: bool,
}

/// A task, or all tasks of a gang, that waits.
#[derive(Debug)]
struct Unit {
    job: Name,
    tasks: Vec<u32>,
    needs: Capacity,
}

/// A plain baseline.
#[derive(Debug)]
pub struct Baseline {
    fit: Fit,
    rng: ChaCha8Rng,
    /// Sorted by name.
    slots: Vec<Slot>,
    queue: VecDeque<Unit>,
    /// Placed tasks with their slot, sorted.
    placed: Vec<(task::Id, usize)>,
}

impl Baseline {
    /// Returns a baseline without workers and work.
    pub fn new(fit: Fit, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Self { fit, rng, slots: Vec::new(), queue: VecDeque::new(), placed: Vec::new() }
    }

    /// Places the first of the queue; `None` when it doesn't fit or the queue is empty.
    fn place_first(&mut self) -> Option<Vec<Decision>> {
        let unit = self.queue.pop_front()?;
        let mut found = Vec::new();
        for _ in &unit.tasks {
            let Some(i) = self.find(&unit.needs) else { break };
            self.slots[i].free = self.slots[i].free.saturating_sub(&unit.needs);
            found.push(i);
        }
        if found.len() < unit.tasks.len() {
            for i in found {
                self.slots[i].free = self.slots[i].free.plus(&unit.needs);
            }
            self.queue.push_front(unit);
            return None;
        }
        let decisions = unit.tasks.iter().zip(found).map(|(&index, i)| {
            let task = task::Id { job: unit.job.clone(), index };
            let at = self.placed.partition_point(|(id, _)| *id < task);
            self.placed.insert(at, (task.clone(), i));
            let worker = self.slots[i].name.clone();
            Decision::Place { task, worker, needs: unit.needs, gang: None }
        });
        Some(decisions.collect())
    }

    fn find(&mut self, needs: &Capacity) -> Option<usize> {
        let fits = |slot: &Slot| slot.present && slot.free.holds(needs);
        match self.fit {
            Fit::First => self.slots.iter().position(fits),
            Fit::Random => {
                let all: Vec<usize> =
                    (0..self.slots.len()).filter(|&i| fits(&self.slots[i])).collect();
                (!all.is_empty()).then(|| all[self.rng.random_range(0..all.len())])
            }
        }
    }

    fn push(&mut self, spec: &Spec, tasks: &[u32]) {
        let unit = |tasks: &[u32]| Unit {
            job: spec.job.id.clone(),
            tasks: tasks.to_vec(),
            needs: spec.job.needs,
        };
        if spec.kind.shape == Shape::Gang {
            self.queue.push_back(unit(tasks));
        } else {
            self.queue.extend(tasks.chunks(1).map(unit));
        }
    }
}

impl Contender for Baseline {
    fn report(&mut self, worker: &Worker, _free: &Capacity, _at: Millis) {
        match self.slots.binary_search_by(|s| s.name.cmp(&worker.name)) {
            Ok(i) => self.slots[i].present = true,
            Err(i) => {
                let (name, capacity) = (worker.name.clone(), worker.capacity);
                self.slots.insert(i, Slot { name, capacity, free: capacity, present: true });
            }
        }
    }

    fn forget(&mut self, worker: &Worker) {
        if let Ok(i) = self.slots.binary_search_by(|s| s.name.cmp(&worker.name)) {
            self.slots[i].present = false;
        }
    }

    fn submit(&mut self, spec: &Spec, _now: Millis) -> Result<(), Refusal> {
        let tasks: Vec<u32> = (0..spec.job.tasks).collect();
        self.push(spec, &tasks);
        Ok(())
    }

    fn requeue(&mut self, spec: &Spec, tasks: &[u32], _now: Millis) {
        self.push(spec, tasks);
    }

    fn cancel(&mut self, spec: &Spec) {
        self.queue.retain(|unit| unit.job != spec.job.id);
    }

    fn answered(&mut self, spec: &Spec, task: u32, answer: &Answer<'_>, now: Millis) {
        if !answer.granted {
            self.ended(spec, task, &Ending::Stopped, Millis::ZERO, now);
            self.push(spec, &[task]);
        }
    }

    fn ended(&mut self, spec: &Spec, task: u32, _ending: &Ending, _ran: Millis, _now: Millis) {
        let id = task::Id { job: spec.job.id.clone(), index: task };
        if let Ok(at) = self.placed.binary_search_by(|(other, _)| other.cmp(&id)) {
            let (_, i) = self.placed.remove(at);
            let slot = &mut self.slots[i];
            slot.free = slot.free.plus(&spec.job.needs).least(&slot.capacity);
        }
    }

    fn waiting(&self) -> u64 {
        self.queue.iter().map(|unit| unit.tasks.len() as u64).sum()
    }

    fn decide(&mut self, _now: Millis) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(placed) = self.place_first() {
            decisions.extend(placed);
        }
        decisions
    }
}
