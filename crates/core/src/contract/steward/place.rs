//! Placement of tasks on workers, from the decision to the recorded end of the attempt.
//!
//! The planner decides on a worker, the worker's controller reserves the capacity, the attempt is
//! recorded in the ledger, and the controller starts it. The message of any step can be lost; a
//! later tick repeats the step or gives up the decision.

use super::{Effect, Steward};
use crate::clock::Millis;
use crate::contract::job;
use crate::contract::kind::Shape;
use crate::contract::planner::{Decision, Placement};
use crate::contract::request::Reason;
use crate::contract::task::{self, Attempt, State};
use crate::ledger::Offset;
use crate::ledger::attempt::{self, PlacementDecision};
use crate::ledger::record::{Change, End, Record, Register};
use crate::machine::controller::{Ending, Grant, Operation};
use crate::machine::worker::{Ended, Epoch, Start};
use crate::name::Name;

/// Number of times that all flights are examined in [`Config::repeat`](super::Config::repeat).
const FOLLOW_UPS_PER_REPEAT: u64 = 8;

/// Progress of a flight.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// The reservation is requested.
    Reserving,
    /// The controller has reserved the capacity. The tasks of a gang stay here until all of them
    /// are reserved.
    Reserved(Epoch),
    /// The append of the attempt is in flight.
    Recording,
    /// The attempt is recorded and must be started.
    Starting(Epoch),
    /// The controller has reported that the attempt runs.
    Running(Epoch),
    /// The attempt was on a lost worker and can't run any more. The task waits for a placement.
    Fenced,
}

/// An attempt of a task from the request for its reservation to its recorded end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flight {
    /// The task that the attempt belongs to.
    pub task: task::Id,
    team: Name,
    worker: Name,
    attempt: Attempt,
    stage: Stage,
    placement: Placement,
    /// Offset of the worker loss that fenced the previous attempt, for the next attempt's record.
    fence: Option<Offset>,
    /// Number of the gang decision, 0 for a task that is placed alone.
    group: u64,
    /// When the last request was sent to the controller or the stage was entered.
    requested_at: Millis,
    /// The worker's report of the end, until the end is recorded.
    ended: Option<Ended>,
}

impl Steward {
    /// Carries out the decisions of the planner, unless this instance is draining.
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

    /// Requests the reservations of a decision. The whole decision is dropped if one of its tasks
    /// has been placed or has ended meanwhile, for example because a record that was given up has
    /// arrived in the stream after all.
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
        self.last_number += 1;
        let group = if placements.len() > 1 { self.last_number } else { 0 };
        for placement in placements {
            let Some((team, attempt)) = self.next_attempt(&placement.task) else { continue };
            let Placement { task, worker, needs } = placement.clone();
            let until = now + self.config.reservation;
            let reserve = Operation::Reserve {
                worker: worker.clone(),
                task: task.clone(),
                attempt,
                needs,
                until,
            };
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
                requested_at: now,
                ended: None,
            };
            self.put_flight(flight);
            self.effects.push(Effect::Operation(reserve));
        }
    }

    /// Returns the team and the next attempt number of a task, if the task may be placed now.
    fn next_attempt(&self, id: &task::Id) -> Option<(Name, Attempt)> {
        let entry = self.partitions.iter().find_map(|p| p.replica.job(id.job.as_str()))?;
        let task = entry.tasks.get(id.index as usize)?;
        let fenced = || self.flight(id).is_ok_and(|f| self.flights[f].stage == Stage::Fenced);
        let free = task.state == State::Waiting || (task.placement().is_some() && fenced());
        free.then(|| (entry.job.team.clone(), task.attempt + 1))
    }

    fn preempt(&mut self, task: &task::Id, worker: Name) {
        if let Ok(f) = self.flight(task) {
            let attempt = self.flights[f].attempt;
            let stop = Operation::Stop { worker, task: task.clone(), attempt, checkpoint: true };
            self.effects.push(Effect::Operation(stop));
        }
    }

    /// Handles a controller's answer to a request.
    pub(super) fn grant(&mut self, operation: &Operation, grant: Grant, now: Millis) {
        let Ok(f) = self.flight(operation.task()) else {
            if matches!(operation, Operation::Reserve { .. }) {
                self.unreserve(operation.worker(), operation.task());
            }
            return;
        };
        match operation {
            Operation::Reserve { worker, attempt, .. } => {
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
                    Grant::Reserved { .. } => self.unreserve(worker, operation.task()),
                    _ if awaited => self.abort(f, now),
                    _ => {}
                }
            }
            Operation::Start { attempt, .. } | Operation::Stop { attempt, .. }
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

    /// Records the attempts of a decision once all its tasks have reservations.
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
            let version = self.partitions[i].replica.task(&task)?.version;
            Some((self.partitions[i].index, version))
        });
        let Some((partition, expect)) = found else {
            self.abort(f, now);
            return;
        };
        let needs = placement.needs;
        let change = Change::Attempt { attempt, worker, epoch, needs, fence };
        self.flights[f].stage = Stage::Recording;
        self.flights[f].requested_at = now;
        self.append(partition, Register::Task(task), expect, change, None, now);
    }

    /// Gives up the placement of a task, and of all tasks of its gang that are not yet being
    /// recorded.
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

    /// Removes the flight of a task that waits again. If a loss fenced the previous attempt, the
    /// flight is kept as [`Stage::Fenced`], because the next record must refer to the loss.
    fn back_to_queue(&mut self, flight: &Flight) {
        let Ok(f) = self.flight(&flight.task) else { return };
        if flight.fence.is_some() {
            self.flights[f].stage = Stage::Fenced;
            self.flights[f].group = 0;
        } else {
            self.flights.remove(f);
        }
    }

    /// Handles that replay did not accept an attempt of this instance, because another record had
    /// placed or ended the task before.
    pub(super) fn overtaken(&mut self, i: usize, task: &task::Id, now: Millis) {
        let Ok(f) = self.flight(task) else { return };
        if self.flights[f].stage != Stage::Recording {
            return;
        }
        let flight = self.flights.remove(f);
        self.unreserve(&flight.worker, task);
        let state = self.partitions[i].replica.task(task).map(|t| t.state.clone());
        match state {
            Some(State::Waiting) => self.planner.refused(&flight.placement, now),
            Some(State::Placed { .. }) => {
                self.planner.withdraw(task, now);
                self.follow_recorded(i, task, now);
            }
            _ => self.planner.withdraw(task, now),
        }
    }

    fn unreserve(&mut self, worker: &Name, task: &task::Id) {
        let release = Operation::Release { worker: worker.clone(), task: task.clone() };
        self.effects.push(Effect::Operation(release));
    }

    /// Handles a record that replay has accepted.
    pub(super) fn accepted(&mut self, i: usize, record: &Record, now: Millis) {
        match (&record.register, &record.change) {
            (Register::Job(id), Change::Submit { job, .. }) => {
                for index in 0..job.tasks {
                    self.enqueue(i, &task::Id { job: id.clone(), index });
                }
            }
            (Register::Job(id), Change::Cancel) => self.withdraw_all(i, id, now),
            (Register::Task(task), Change::Attempt { .. }) => self.follow_recorded(i, task, now),
            (Register::Task(task), Change::Over { .. } | Change::Release { .. }) => {
                self.end_flight(i, task, now);
            }
            _ => {}
        }
    }

    /// Resumes the work of a partition whose stream has been read to the end: enqueues waiting
    /// tasks and creates flights for recorded attempts.
    pub(super) fn adopt_book(&mut self, i: usize, now: Millis) {
        let tasks: Vec<(task::Id, bool)> = self.partitions[i]
            .replica
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
                self.follow_recorded(i, &task, now);
            } else {
                self.enqueue(i, &task);
            }
        }
    }

    fn enqueue(&mut self, i: usize, task: &task::Id) {
        if let Some(entry) = self.partitions[i].replica.job(task.job.as_str()) {
            self.planner.enqueue(&entry.job, &entry.kind, task, entry.at);
        }
    }

    /// Handles the cancellation of a job: withdraws its waiting tasks, and lets the next follow-up
    /// stop the others.
    fn withdraw_all(&mut self, i: usize, id: &job::Id, now: Millis) {
        let Some(entry) = self.partitions[i].replica.job(id.as_str()) else { return };
        for (task, index) in entry.tasks.iter().zip(0..) {
            let task_id = task::Id { job: id.clone(), index };
            if task.state == State::Cancelled {
                self.planner.withdraw(&task_id, now);
            } else if let Ok(f) = self.flights.binary_search_by(|f| f.task.cmp(&task_id)) {
                self.flights[f].requested_at = Millis::ZERO;
                self.is_follow_up_due = true;
            }
        }
    }

    /// Creates the flight of a recorded attempt, so that it is started and followed up.
    fn follow_recorded(&mut self, i: usize, id: &task::Id, now: Millis) {
        let Some(entry) = self.partitions[i].replica.job(id.job.as_str()) else { return };
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
            requested_at: Millis::ZERO,
            ended: None,
        };
        self.planner.placed(&entry.job, &entry.kind, &placement, now);
        self.put_flight(flight);
        self.is_follow_up_due = true;
    }

    /// Handles the recorded end of an attempt.
    fn end_flight(&mut self, i: usize, id: &task::Id, now: Millis) {
        let Some(task) = self.partitions[i].replica.task(id) else { return };
        let waits = task.state == State::Waiting;
        let Ok(f) = self.flight(id) else {
            if waits {
                self.enqueue(i, id);
            }
            return;
        };
        match self.flights[f].stage {
            // The attempt had ended. Its task was already enqueued when it was fenced.
            Stage::Fenced => {
                self.flights.remove(f);
                if !waits {
                    self.planner.withdraw(id, now);
                }
            }
            // The new attempt expects a task version that is no longer current, so its record will
            // not be accepted.
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

    /// Handles a worker's report that an attempt has ended, and records it if necessary. Returns
    /// whether the report needs no record any more.
    pub(super) fn ended(&mut self, ending: &Ending, now: Millis) -> bool {
        let Ended { task: id, attempt, team, ending: end, .. } = &ending.ended;
        let Some(i) = self.partition_of(team) else {
            return false;
        };
        let Some(task) = self.partitions[i].replica.task(id) else {
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

    /// Appends the end of an attempt, unless it is not the task's current one or a record on the
    /// task is pending.
    fn append_over(&mut self, i: usize, id: &task::Id, attempt: Attempt, end: End, now: Millis) {
        let register = Register::Task(id.clone());
        let Some(task) = self.partitions[i].replica.task(id) else { return };
        if task.attempt == attempt && task.placement().is_some() && !self.is_pending(&register) {
            let (expect, partition) = (task.version, self.partitions[i].index);
            let change = Change::Over { attempt, end };
            self.append(partition, register, expect, change, None, now);
        }
    }

    /// Repeats unanswered requests and passes fences. All flights are examined
    /// [`FOLLOW_UPS_PER_REPEAT`] times in each repeat interval rather than at every tick, so that
    /// an idle steward uses little processor time.
    pub(super) fn follow_up(&mut self, now: Millis) {
        let pause = Millis(self.config.repeat.get() / FOLLOW_UPS_PER_REPEAT);
        if !self.is_follow_up_due && now.since(self.followed_up_at) < pause {
            return;
        }
        (self.is_follow_up_due, self.followed_up_at) = (false, now);
        let due: Vec<task::Id> = self
            .flights
            .iter()
            .filter(|f| f.stage != Stage::Fenced && now.since(f.requested_at) >= self.config.repeat)
            .map(|f| f.task.clone())
            .collect();
        for task in due {
            if let Ok(f) = self.flight(&task) {
                self.flights[f].requested_at = now;
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
        let Some(entry) = self.partitions[i].replica.job(task.job.as_str()) else { return };
        let placed_at = entry.tasks.get(task.index as usize).map_or(Millis::ZERO, |t| t.placed_at);
        if entry.cancelled || self.is_broken_gang(i, &task) {
            let checkpoint = !entry.cancelled;
            let stop =
                Operation::Stop { worker: worker.clone(), task: task.clone(), attempt, checkpoint };
            self.effects.push(Effect::Operation(stop));
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
            let start =
                Operation::Start { worker: worker.clone(), task: task.clone(), attempt, start };
            self.flights[f].stage = Stage::Starting(epoch);
            self.effects.push(Effect::Operation(start));
        }
        self.pass_fence(f, i, now);
    }

    /// Gives up an attempt on a lost worker once it can't run any more. The task is enqueued again,
    /// or its end is recorded if its job was cancelled.
    fn pass_fence(&mut self, f: usize, i: usize, now: Millis) {
        let Flight { task, worker, attempt, .. } = self.flights[f].clone();
        let Some(entry) = self.partitions[i].replica.job(task.job.as_str()) else { return };
        let Some(placed) = entry.tasks.get(task.index as usize) else { return };
        let view = attempt::View {
            fleet: &self.fleet,
            loss_read_times: &self.loss_read_times,
            consulted_since: self.consulted_since,
            bounds: &self.config.bounds,
        };
        let PlacementDecision::Fenced(offset) = view.decide(placed, entry.kind.separation, now)
        else {
            return;
        };
        if entry.cancelled {
            self.append_over(i, &task, attempt, End::Evicted, now);
        } else {
            self.flights[f].stage = Stage::Fenced;
            self.flights[f].fence = Some(offset);
            self.planner.over(&task, &worker, None, now);
            self.enqueue(i, &task);
        }
    }

    /// Returns whether the task belongs to a gang of which another task waits without a pending
    /// record. A gang must run as a whole, so its placed tasks are then checkpointed and all are
    /// placed again together.
    fn is_broken_gang(&self, i: usize, task: &task::Id) -> bool {
        let Some(entry) = self.partitions[i].replica.job(task.job.as_str()) else {
            return false;
        };
        let waits = |t: &crate::ledger::replica::Task| t.state == State::Waiting;
        let recording = |index: u32| {
            let id = task::Id { job: task.job.clone(), index };
            self.is_pending(&Register::Task(id))
        };
        entry.kind.shape == Shape::Gang
            && entry.tasks.iter().zip(0..).any(|(t, index)| waits(t) && !recording(index))
    }

    fn is_newer_epoch(&self, worker: &Name, epoch: Epoch) -> bool {
        self.statuses
            .binary_search_by(|s| s.worker.name.cmp(worker))
            .is_ok_and(|i| self.statuses[i].epoch > epoch)
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
