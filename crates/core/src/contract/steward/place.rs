//! Tasks on their way to a worker or on one.
//!
//! The steps are: the planner decides, the worker's controller reserves, the attempt is recorded,
//! the controller starts it. Each step can be lost; the next tick repeats it.

use super::{Effect, Steward};
use crate::clock::Millis;
use crate::contract::job;
use crate::contract::kind::Shape;
use crate::contract::planner::{Decision, Placement};
use crate::contract::request::Reason;
use crate::contract::task::{self, Attempt, State};
use crate::ledger::Offset;
use crate::ledger::attempt::{self, Ruling};
use crate::ledger::record::{Change, End, Record, Register};
use crate::machine::controller::{Ending, Grant, Wish};
use crate::machine::worker::{Ended, Epoch, Start};
use crate::name::Name;

/// Looks at all flights in the time after which an unanswered wish is repeated.
const LOOKS_PER_REPEAT: u64 = 8;

/// How far a task has come.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// The controller is asked to reserve.
    Reserving,
    /// The controller has reserved; a gang waits here for its other tasks.
    Reserved(Epoch),
    /// The attempt is being recorded.
    Recording,
    /// The attempt is recorded and must be started.
    Starting(Epoch),
    /// The controller has seen it run.
    Running(Epoch),
    /// The attempt is lost and its fence has passed; the task waits for another place.
    Fenced,
}

/// A task on its way to a worker or on one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flight {
    /// The task.
    pub task: task::Id,
    team: Name,
    worker: Name,
    attempt: Attempt,
    stage: Stage,
    placement: Placement,
    /// The loss whose fence has passed, for the next attempt's record.
    fence: Option<Offset>,
    /// Number of the gang decision, 0 for a task by itself.
    group: u64,
    /// When the controller was last asked, or the stage was entered.
    asked: Millis,
    /// What the worker said of its end, until that is recorded.
    ended: Option<Ended>,
}

impl Steward {
    pub(super) fn place(&mut self, now: Millis) {
        if self.open == Err(Reason::Draining) || self.partitions.is_empty() {
            return;
        }
        for decision in self.planner.decide(now, self.config.round) {
            match decision {
                Decision::Place(placements) => self.reserve(placements, now),
                Decision::Preempt { task, worker } => self.preempt(&task, worker),
            }
        }
    }

    /// Asks controllers for the places of a decision. It falls as a whole if one of its tasks is
    /// placed or over by now, as when a record lands that was given up.
    fn reserve(&mut self, placements: Vec<Placement>, now: Millis) {
        if placements.iter().any(|p| self.next_attempt(&p.task).is_none()) {
            for placement in placements {
                if self.next_attempt(&placement.task).is_some() {
                    self.planner.refused(&placement, now);
                } else {
                    self.planner.withdraw(&placement.task, now);
                }
            }
            return;
        }
        self.numbers += 1;
        let group = if placements.len() > 1 { self.numbers } else { 0 };
        for placement in placements {
            let Some((team, attempt)) = self.next_attempt(&placement.task) else { continue };
            let Placement { task, worker, needs } = placement.clone();
            let until = now + self.config.reservation;
            let reserve =
                Wish::Reserve { worker: worker.clone(), task: task.clone(), attempt, needs, until };
            let fence = self.flight(&task).ok().and_then(|f| self.flights[f].fence);
            let stage = Stage::Reserving;
            let flight = Flight {
                task,
                team,
                worker,
                attempt,
                stage,
                placement,
                fence,
                group,
                asked: now,
                ended: None,
            };
            self.put_flight(flight);
            self.effects.push(Effect::Wish(reserve));
        }
    }

    /// Returns the team and the number of the next attempt of a task that may be placed.
    fn next_attempt(&self, id: &task::Id) -> Option<(Name, Attempt)> {
        let entry = self.partitions.iter().find_map(|p| p.book.job(id.job.as_str()))?;
        let task = entry.tasks.get(id.index as usize)?;
        let fenced = || self.flight(id).is_ok_and(|f| self.flights[f].stage == Stage::Fenced);
        let free = task.state == State::Waiting || (task.placement().is_some() && fenced());
        free.then(|| (entry.job.team.clone(), task.attempt + 1))
    }

    fn preempt(&mut self, task: &task::Id, worker: Name) {
        if let Ok(f) = self.flight(task) {
            let attempt = self.flights[f].attempt;
            let stop = Wish::Stop { worker, task: task.clone(), attempt, checkpoint: true };
            self.effects.push(Effect::Wish(stop));
        }
    }

    pub(super) fn grant(&mut self, wish: &Wish, grant: Grant, now: Millis) {
        let Ok(f) = self.flight(wish.task()) else {
            if matches!(wish, Wish::Reserve { .. }) {
                self.unreserve(wish.worker(), wish.task());
            }
            return;
        };
        match wish {
            Wish::Reserve { worker, attempt, .. } => {
                let flight = &self.flights[f];
                let awaited = flight.stage == Stage::Reserving
                    && flight.worker == *worker
                    && flight.attempt == *attempt;
                match grant {
                    Grant::Reserved { epoch } if awaited => {
                        self.flights[f].stage = Stage::Reserved(epoch);
                        self.planner.reserved(&self.flights[f].placement, now);
                        self.record_group(f, now);
                    }
                    Grant::Reserved { .. } => self.unreserve(worker, wish.task()),
                    _ if awaited => self.abort(f, now),
                    _ => {}
                }
            }
            Wish::Start { attempt, .. } | Wish::Stop { attempt, .. }
                if self.flights[f].attempt == *attempt =>
            {
                match (grant, &self.flights[f].stage) {
                    (Grant::Running, Stage::Starting(epoch)) => {
                        self.flights[f].stage = Stage::Running(*epoch);
                    }
                    (Grant::Absent, Stage::Starting(_) | Stage::Running(_)) => {
                        self.record_over(f, End::Evicted, now);
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    /// Records the attempts of a decision once all its tasks are reserved.
    fn record_group(&mut self, f: usize, now: Millis) {
        let group = self.flights[f].group;
        let members: Vec<usize> = if group == 0 {
            vec![f]
        } else {
            (0..self.flights.len()).filter(|&m| self.flights[m].group == group).collect()
        };
        let all = members.iter().all(|&m| matches!(self.flights[m].stage, Stage::Reserved(_)));
        if all {
            for m in members {
                self.record_attempt(m, now);
            }
        }
    }

    fn record_attempt(&mut self, f: usize, now: Millis) {
        let Stage::Reserved(epoch) = self.flights[f].stage else {
            return;
        };
        let Flight { task, team, worker, attempt, placement, fence, .. } = self.flights[f].clone();
        let found = self.partition_of(&team).and_then(|i| {
            let version = self.partitions[i].book.task(&task)?.version;
            Some((self.partitions[i].index, version))
        });
        let Some((partition, expect)) = found else {
            self.abort(f, now);
            return;
        };
        let needs = placement.needs;
        let change = Change::Attempt { attempt, worker, epoch, needs, fence };
        self.flights[f].stage = Stage::Recording;
        self.flights[f].asked = now;
        self.append(partition, Register::Task(task), expect, change, None, now);
    }

    /// Gives up a decision that did not come about, with all tasks of its gang.
    fn abort(&mut self, f: usize, now: Millis) {
        let (group, task) = (self.flights[f].group, self.flights[f].task.clone());
        let member = |flight: &Flight| {
            let early = matches!(flight.stage, Stage::Reserving | Stage::Reserved(_));
            flight.task == task || (group != 0 && flight.group == group && early)
        };
        let members: Vec<Flight> = self.flights.iter().filter(|m| member(m)).cloned().collect();
        for flight in members {
            self.unreserve(&flight.worker, &flight.task);
            self.planner.refused(&flight.placement, now);
            self.back_to_queue(&flight);
        }
    }

    /// Removes the flight of a task that waits again, but keeps the loss that fenced it.
    fn back_to_queue(&mut self, flight: &Flight) {
        let Ok(f) = self.flight(&flight.task) else { return };
        if flight.fence.is_some() {
            self.flights[f].stage = Stage::Fenced;
            self.flights[f].group = 0;
        } else {
            self.flights.remove(f);
        }
    }

    /// An attempt that this instance recorded came second: the task is elsewhere or over.
    pub(super) fn overtaken(&mut self, i: usize, task: &task::Id, now: Millis) {
        let Ok(f) = self.flight(task) else { return };
        if self.flights[f].stage != Stage::Recording {
            return;
        }
        let flight = self.flights.remove(f);
        self.unreserve(&flight.worker, task);
        let state = self.partitions[i].book.task(task).map(|t| t.state.clone());
        match state {
            Some(State::Waiting) => self.planner.refused(&flight.placement, now),
            Some(State::Placed { .. }) => {
                self.planner.withdraw(task, now);
                self.fly(i, task, now);
            }
            _ => self.planner.withdraw(task, now),
        }
    }

    fn unreserve(&mut self, worker: &Name, task: &task::Id) {
        let release = Wish::Release { worker: worker.clone(), task: task.clone() };
        self.effects.push(Effect::Wish(release));
    }

    /// Takes in a record that is in force.
    pub(super) fn accepted(&mut self, i: usize, record: &Record, now: Millis) {
        match (&record.register, &record.change) {
            (Register::Job(id), Change::Submit { job, .. }) => {
                for index in 0..job.tasks {
                    self.enqueue(i, &task::Id { job: id.clone(), index });
                }
            }
            (Register::Job(id), Change::Cancel) => self.withdraw_all(i, id, now),
            (Register::Task(task), Change::Attempt { .. }) => self.fly(i, task, now),
            (Register::Task(task), Change::Over { .. } | Change::Release { .. }) => {
                self.land(i, task, now);
            }
            _ => {}
        }
    }

    /// Takes over a book that was read to its end: what waits is enqueued, what is placed is
    /// followed up.
    pub(super) fn adopt_book(&mut self, i: usize, now: Millis) {
        let tasks: Vec<(task::Id, bool)> = self.partitions[i]
            .book
            .jobs()
            .iter()
            .flat_map(|entry| entry.tasks.iter().zip(0..).map(move |(t, index)| (entry, t, index)))
            .filter(|(_, t, _)| !t.state.is_final())
            .map(|(entry, t, index)| {
                (task::Id { job: entry.job.id.clone(), index }, t.placement().is_some())
            })
            .collect();
        for (task, placed) in tasks {
            if placed {
                self.fly(i, &task, now);
            } else {
                self.enqueue(i, &task);
            }
        }
    }

    fn enqueue(&mut self, i: usize, task: &task::Id) {
        if let Some(entry) = self.partitions[i].book.job(task.job.as_str()) {
            self.planner.enqueue(&entry.job, &entry.kind, task, entry.at);
        }
    }

    fn withdraw_all(&mut self, i: usize, id: &job::Id, now: Millis) {
        let Some(entry) = self.partitions[i].book.job(id.as_str()) else { return };
        for (task, index) in entry.tasks.iter().zip(0..) {
            let task_id = task::Id { job: id.clone(), index };
            if task.state == State::Cancelled {
                self.planner.withdraw(&task_id, now);
            } else if let Ok(f) = self.flights.binary_search_by(|f| f.task.cmp(&task_id)) {
                self.flights[f].asked = Millis::ZERO;
                self.urgent = true;
            }
        }
    }

    /// Follows a recorded attempt.
    fn fly(&mut self, i: usize, id: &task::Id, now: Millis) {
        let Some(entry) = self.partitions[i].book.job(id.job.as_str()) else { return };
        let Some(task) = entry.tasks.get(id.index as usize) else { return };
        let Some((worker, epoch)) = task.placement() else { return };
        let placement = Placement { task: id.clone(), worker: worker.clone(), needs: task.needs };
        let flight = Flight {
            task: id.clone(),
            team: entry.job.team.clone(),
            worker: worker.clone(),
            attempt: task.attempt,
            stage: Stage::Starting(epoch),
            placement: placement.clone(),
            fence: None,
            group: 0,
            asked: Millis::ZERO,
            ended: None,
        };
        self.planner.placed(&entry.job, &entry.kind, &placement, now);
        self.put_flight(flight);
        self.urgent = true;
    }

    /// A recorded attempt is over.
    fn land(&mut self, i: usize, id: &task::Id, now: Millis) {
        let Some(task) = self.partitions[i].book.task(id) else { return };
        let waits = task.state == State::Waiting;
        let Ok(f) = self.flight(id) else {
            if waits {
                self.enqueue(i, id);
            }
            return;
        };
        match self.flights[f].stage {
            // The task was enqueued when its fence passed; its attempt was over after all.
            Stage::Fenced => {
                self.flights.remove(f);
                if !waits {
                    self.planner.withdraw(id, now);
                }
            }
            // The attempt that is being placed rests on a version that is past: it is overtaken.
            Stage::Reserving | Stage::Reserved(_) | Stage::Recording => {
                self.flights[f].fence = None;
            }
            Stage::Starting(_) | Stage::Running(_) => {
                let flight = self.flights.remove(f);
                self.planner.over(id, &flight.worker, flight.ended.as_ref(), now);
                if waits {
                    self.enqueue(i, id);
                }
            }
        }
    }

    /// Takes in a worker's word that an attempt ended. Returns whether that is recorded.
    pub(super) fn ended(&mut self, ending: &Ending, now: Millis) -> bool {
        let Ended { task: id, attempt, team, ending: end, .. } = &ending.ended;
        let Some(i) = self.partition_of(team) else {
            return false;
        };
        let Some(task) = self.partitions[i].book.task(id) else {
            return true;
        };
        if task.attempt != *attempt || task.placement().is_none() {
            return true;
        }
        if let Ok(f) = self.flight(id) {
            self.flights[f].ended = Some(ending.ended.clone());
        }
        self.append_over(i, id, *attempt, attempt::end(end), now);
        false
    }

    fn record_over(&mut self, f: usize, end: End, now: Millis) {
        let Flight { task, team, attempt, .. } = self.flights[f].clone();
        if let Some(i) = self.partition_of(&team) {
            self.append_over(i, &task, attempt, end, now);
        }
    }

    fn append_over(&mut self, i: usize, id: &task::Id, attempt: Attempt, end: End, now: Millis) {
        let register = Register::Task(id.clone());
        let Some(task) = self.partitions[i].book.task(id) else { return };
        if task.attempt == attempt && task.placement().is_some() && !self.is_pending(&register) {
            let (expect, partition) = (task.version, self.partitions[i].index);
            let change = Change::Over { attempt, end };
            self.append(partition, register, expect, change, None, now);
        }
    }

    /// Repeats what was not answered, and passes fences. All flights are looked at several times
    /// in each repetition and not at every tick, so that an idle steward costs little.
    pub(super) fn follow_up(&mut self, now: Millis) {
        let pause = Millis(self.config.repeat.get() / LOOKS_PER_REPEAT);
        if !self.urgent && now.since(self.followed) < pause {
            return;
        }
        (self.urgent, self.followed) = (false, now);
        let due: Vec<task::Id> = self
            .flights
            .iter()
            .filter(|f| f.stage != Stage::Fenced && now.since(f.asked) >= self.config.repeat)
            .map(|f| f.task.clone())
            .collect();
        for task in due {
            if let Ok(f) = self.flight(&task) {
                self.flights[f].asked = now;
                self.follow_up_one(f, now);
            }
        }
    }

    fn follow_up_one(&mut self, f: usize, now: Millis) {
        match self.flights[f].stage {
            Stage::Reserving | Stage::Reserved(_) => self.abort(f, now),
            Stage::Recording => {
                let register = Register::Task(self.flights[f].task.clone());
                if !self.is_pending(&register) {
                    self.abort(f, now);
                }
            }
            Stage::Starting(epoch) | Stage::Running(epoch) => self.follow_attempt(f, epoch, now),
            Stage::Fenced => {}
        }
    }

    fn follow_attempt(&mut self, f: usize, epoch: Epoch, now: Millis) {
        let Flight { task, team, worker, attempt, placement, stage, .. } = self.flights[f].clone();
        let Some(i) = self.partition_of(&team) else { return };
        let Some(entry) = self.partitions[i].book.job(task.job.as_str()) else { return };
        let placed_at = entry.tasks.get(task.index as usize).map_or(Millis::ZERO, |t| t.placed_at);
        if entry.cancelled || self.is_broken_gang(i, &task) {
            let checkpoint = !entry.cancelled;
            let stop =
                Wish::Stop { worker: worker.clone(), task: task.clone(), attempt, checkpoint };
            self.effects.push(Effect::Wish(stop));
        } else if stage == Stage::Starting(epoch) || self.is_newer_epoch(&worker, epoch) {
            let start = Start {
                epoch,
                needs: placement.needs,
                start_by: self.config.bounds.start_by(placed_at),
                until: self.config.bounds.until(now),
                team: team.clone(),
                kind: entry.kind.name.clone(),
                payload: entry.job.payload.clone(),
                resume: attempt > 1,
            };
            let start = Wish::Start { worker: worker.clone(), task: task.clone(), attempt, start };
            self.flights[f].stage = Stage::Starting(epoch);
            self.effects.push(Effect::Wish(start));
        }
        self.pass_fence(f, i, now);
    }

    /// Lets go of an attempt on a lost worker once it can't run any more: the task is placed
    /// again, or is over if its job was cancelled.
    fn pass_fence(&mut self, f: usize, i: usize, now: Millis) {
        let Flight { task, worker, attempt, .. } = self.flights[f].clone();
        let Some(entry) = self.partitions[i].book.job(task.job.as_str()) else { return };
        let Some(placed) = entry.tasks.get(task.index as usize) else { return };
        let view = attempt::View {
            fleet: &self.fleet,
            sightings: &self.sightings,
            asked_since: self.asked_since,
            bounds: &self.config.bounds,
        };
        let Ruling::Fenced(offset) = view.rule(placed, entry.kind.separation, now) else { return };
        if entry.cancelled {
            self.append_over(i, &task, attempt, End::Evicted, now);
        } else {
            self.flights[f].stage = Stage::Fenced;
            self.flights[f].fence = Some(offset);
            self.planner.over(&task, &worker, None, now);
            self.enqueue(i, &task);
        }
    }

    /// Returns whether a task of the gang waits while another is placed: the gang must run as a
    /// whole, so the rest is checkpointed and placed again together.
    fn is_broken_gang(&self, i: usize, task: &task::Id) -> bool {
        let Some(entry) = self.partitions[i].book.job(task.job.as_str()) else {
            return false;
        };
        let waits = |t: &crate::ledger::book::Task| t.state == State::Waiting;
        let recording = |index: u32| {
            let id = task::Id { job: task.job.clone(), index };
            self.is_pending(&Register::Task(id))
        };
        entry.kind.shape == Shape::Gang
            && entry.tasks.iter().zip(0..).any(|(t, index)| waits(t) && !recording(index))
    }

    fn is_newer_epoch(&self, worker: &Name, epoch: Epoch) -> bool {
        self.standings
            .binary_search_by(|s| s.worker.name.cmp(worker))
            .is_ok_and(|i| self.standings[i].epoch > epoch)
    }

    fn flight(&self, task: &task::Id) -> Result<usize, usize> {
        self.flights.binary_search_by(|f| f.task.cmp(task))
    }

    fn put_flight(&mut self, flight: Flight) {
        match self.flight(&flight.task) {
            Ok(f) => self.flights[f] = flight,
            Err(f) => self.flights.insert(f, flight),
        }
    }
}
