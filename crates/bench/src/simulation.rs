//! Discrete-event simulation of a fleet: applies the decisions of a scheduling policy on virtual
//! time and counts violations of the scheduler's guarantees.
//!
//! A placement reserves capacity immediately if the worker has room. The task starts
//! [`START_DELAY`] later, which stands for the round trip of the reservation, the group append to
//! the log and the start order. Each worker reports its free capacity once a second, and a report
//! reaches the policy 50 ms after it was taken.

mod stats;

use crate::load::JobSpec;
use crate::policy::{ReservationReply, SchedulingPolicy};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::admission::Refusal;
use pimentovalve_core::contract::kind::Shape;
use pimentovalve_core::contract::scheduler::Decision;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{Ending, Worker};
use pimentovalve_core::name::Name;
pub use stats::SimulationStats;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Time from a placement decision to the start of the task.
pub const START_DELAY: Millis = Millis(31);
/// Time from the moment a worker takes its report until the policy receives it.
const REPORT_DELAY: Millis = Millis(50);
/// Interval between two reports of the same worker.
const REPORT_INTERVAL: Millis = Millis(1000);
/// Delay of the next call to the policy after an event or after a call that made decisions.
const MIN_DECISION_INTERVAL: Millis = Millis(10);
/// Delay of the next call to the policy after a call that made no decision.
const MAX_DECISION_INTERVAL: Millis = Millis(100);
/// Time from the checkpoint order until the attempt ends.
const CHECKPOINT_TIME: Millis = Millis(300);
/// Time from the start of an attempt to its failure on a worker with [`Fault::FailAll`].
const FAILURE_TIME: Millis = Millis(300);
/// Longest run of an attempt whose task fails on every worker.
const MAX_FAILURE_TIME: Millis = Millis(1000);
/// Time from the loss of a worker until the policy is told to stop using it.
const LOSS_DETECTION_DELAY: Millis = Millis(3000);
/// Time from the loss of a worker until its attempts are fenced, so that their tasks may run
/// on another worker.
const FENCE_DELAY: Millis = Millis(40_500);
/// Failures after which a task that fails on every worker is no longer retried.
const MAX_FAILURES: u32 = 3;

/// A change in the condition of one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// Every attempt that starts on the worker fails.
    FailAll,
    /// Attempts that start on the worker no longer fail; ends [`Fault::FailAll`].
    Recovered,
    /// The worker stops reporting and grants no reservation. Its attempts are fenced later.
    Lost,
    /// A lost worker reports and grants reservations again. The reservations of its attempts are
    /// freed when these are fenced.
    Returned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The worker takes a report; holds the index of the machine.
    Report(usize),
    /// The policy receives a report: index of the machine, its free capacity, and when the report
    /// was taken.
    ReportArrives(usize, Capacity, Millis),
    /// The attempt with this index completes or fails.
    AttemptEnds(usize),
    /// The attempt with this index has written its checkpoint and ends.
    Checkpointed(usize),
    Fault(usize, Fault),
    /// The policy is told that the machine with this index is lost.
    LossDetected(usize),
    /// An attempt on a lost worker is fenced; its task may start elsewhere.
    FenceExpired(usize),
    /// The job with this index is cancelled.
    Cancel(usize),
    Decide,
    ExchangeTotals,
}

#[derive(Clone, Debug)]
struct Machine {
    worker: Worker,
    /// Sum of the reservations of its attempts.
    reserved: Capacity,
    /// Sum of the actual needs of its attempts.
    used: Capacity,
    /// Time up to which `used` is included in the statistics.
    used_since: Millis,
    fails_all: bool,
    /// Set once a [`Fault::FailAll`] has ended.
    recovered: bool,
    /// Unset while the worker is lost.
    present: bool,
    /// Indices of the attempts that run on this machine.
    running: Vec<usize>,
}

#[derive(Clone, Debug)]
struct Attempt {
    /// Index of the job in `Simulation::specs`.
    spec: usize,
    /// Index of the task in its job.
    index: u32,
    /// Index in `Simulation::machines`.
    machine: usize,
    needs: Capacity,
    starts: Millis,
    live: bool,
    /// Set from the loss of the worker until the attempt is fenced; meanwhile it can't end.
    worker_lost: bool,
    fails: bool,
}

#[derive(Clone, Copy, Debug)]
struct Task {
    /// Index of the attempt that runs.
    attempt: Option<usize>,
    /// Set when the task completed, or failed as often as it may.
    done: bool,
    started: bool,
    failures: u32,
    /// Run time that is left, counted from the last checkpoint.
    remaining: Millis,
}

/// A simulated fleet with the jobs that are submitted to it.
pub struct Simulation {
    /// Current virtual time.
    pub now: Millis,
    /// Measurements and violations so far; final once [`Simulation::run`] returns.
    pub stats: SimulationStats,
    specs: Vec<JobSpec>,
    /// Indices into `specs`, sorted by job id.
    by_id: Vec<usize>,
    next_spec: usize,
    tasks: Vec<Vec<Task>>,
    /// Whether the job at the same index was cancelled or refused.
    cancelled: Vec<bool>,
    /// Whether the job at the same index was refused.
    refused: Vec<bool>,
    machines: Vec<Machine>,
    attempts: Vec<Attempt>,
    /// Pending events by time, then by the order in which they were scheduled.
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    /// Time of the next call to the policy; `Millis::MAX` when none is scheduled.
    next_decision: Millis,
}

impl Simulation {
    /// Creates a simulation at time zero with an idle fleet. Waits, shares and utilization are
    /// measured within `window`; violations are counted over the whole run.
    pub fn new(fleet: &[Worker], mut specs: Vec<JobSpec>, window: (Millis, Millis)) -> Self {
        specs.sort_by(|a, b| (a.submitted_at, &a.job.id).cmp(&(b.submitted_at, &b.job.id)));
        let mut by_id: Vec<usize> = (0..specs.len()).collect();
        by_id.sort_by(|&a, &b| specs[a].job.id.cmp(&specs[b].job.id));
        let total = fleet.iter().fold(Capacity::ZERO, |sum, w| sum.plus(&w.capacity));
        let machine = |worker: &Worker| Machine {
            worker: worker.clone(),
            reserved: Capacity::ZERO,
            used: Capacity::ZERO,
            used_since: Millis::ZERO,
            fails_all: false,
            recovered: false,
            present: true,
            running: Vec::new(),
        };
        let mut simulation = Self {
            now: Millis::ZERO,
            stats: SimulationStats::new(total, window, fleet.len()),
            tasks: vec![Vec::new(); specs.len()],
            cancelled: vec![false; specs.len()],
            refused: vec![false; specs.len()],
            specs,
            by_id,
            next_spec: 0,
            machines: fleet.iter().map(machine).collect(),
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            next_decision: Millis::MAX,
        };
        for i in 0..simulation.machines.len() {
            let stagger = REPORT_INTERVAL.get() * i as u64 / simulation.machines.len() as u64;
            simulation.schedule(Millis(stagger), Event::Report(i));
        }
        simulation.schedule(Millis(500), Event::ExchangeTotals);
        simulation
    }

    /// Records the waits of these teams' urgent work separately, in
    /// [`SimulationStats::watched_waits`].
    pub fn watch_teams(&mut self, teams: Vec<Name>) {
        self.stats.watched = teams;
    }

    /// Schedules a fault at time `at` for each worker that `affects` selects.
    pub fn schedule_fault(&mut self, at: Millis, fault: Fault, affects: impl Fn(&Worker) -> bool) {
        for i in 0..self.machines.len() {
            if affects(&self.machines[i].worker) {
                self.schedule(at, Event::Fault(i, fault));
            }
        }
    }

    /// Schedules the cancellation, at time `at`, of each job that `selects` accepts.
    pub fn schedule_cancellation(&mut self, at: Millis, selects: impl Fn(&JobSpec) -> bool) {
        for i in 0..self.specs.len() {
            if selects(&self.specs[i]) {
                self.schedule(at, Event::Cancel(i));
            }
        }
    }

    /// Runs the simulation under `policy` until the virtual time `until`.
    pub fn run(&mut self, policy: &mut dyn SchedulingPolicy, until: Millis) {
        for machine in &self.machines {
            let free = machine.worker.capacity.saturating_sub(&machine.reserved);
            policy.worker_reported(&machine.worker, &free, self.now);
        }
        self.schedule_decision(MIN_DECISION_INTERVAL);
        loop {
            let event_at = self.events.peek().map_or(Millis::MAX, |Reverse((at, ..))| *at);
            let arrival = self.specs.get(self.next_spec).map_or(Millis::MAX, |s| s.submitted_at);
            let next = event_at.min(arrival);
            if next > until {
                break;
            }
            self.now = next;
            if arrival <= event_at {
                self.submit(policy);
            } else if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.handle_event(policy, event);
            }
        }
        self.now = until;
        self.finish(policy);
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Schedules a call to the policy after `delay`, unless an earlier one is scheduled.
    fn schedule_decision(&mut self, delay: Millis) {
        let at = self.now + delay;
        if at < self.next_decision {
            self.next_decision = at;
            self.schedule(at, Event::Decide);
        }
    }

    fn submit(&mut self, policy: &mut dyn SchedulingPolicy) {
        let i = self.next_spec;
        self.next_spec += 1;
        let spec = &self.specs[i];
        let task = Task {
            attempt: None,
            done: false,
            started: false,
            failures: 0,
            remaining: spec.run_time,
        };
        self.tasks[i] = vec![task; spec.job.tasks as usize];
        match policy.submit(spec, self.now) {
            Ok(()) => self.stats.record_accepted(spec),
            Err(refusal) => {
                (self.cancelled[i], self.refused[i]) = (true, true);
                self.stats.record_refused(spec, matches!(refusal, Refusal::Impossible(_)));
            }
        }
        self.schedule_decision(MIN_DECISION_INTERVAL);
    }

    fn handle_event(&mut self, policy: &mut dyn SchedulingPolicy, event: Event) {
        match event {
            Event::Report(i) => self.report_worker(policy, i),
            Event::ReportArrives(i, free, at) => {
                if self.machines[i].present {
                    policy.worker_reported(&self.machines[i].worker, &free, at);
                    self.schedule_decision(MIN_DECISION_INTERVAL);
                }
            }
            Event::AttemptEnds(a) => {
                let ending = match self.attempts[a].fails {
                    true => Ending::Failed(String::new()),
                    false => Ending::Completed(String::new()),
                };
                self.end_attempt(policy, a, &ending);
            }
            Event::Checkpointed(a) => self.end_attempt(policy, a, &Ending::Checkpointed),
            Event::Fault(i, fault) => self.apply_fault(i, fault),
            Event::LossDetected(i) => policy.worker_lost(&self.machines[i].worker),
            Event::FenceExpired(a) => {
                self.attempts[a].worker_lost = false;
                self.end_attempt(policy, a, &Ending::Lapsed);
            }
            Event::Cancel(i) => {
                policy.cancel(&self.specs[i]);
                self.cancelled[i] = true;
                for index in 0..self.tasks[i].len() {
                    if let Some(a) = self.tasks[i][index].attempt {
                        self.end_attempt(policy, a, &Ending::Stopped);
                    }
                }
            }
            Event::Decide if self.now == self.next_decision => self.decide(policy),
            Event::Decide => {}
            Event::ExchangeTotals => {
                policy.exchange_totals(self.now);
                self.schedule(self.now + Millis(1000), Event::ExchangeTotals);
            }
        }
    }

    fn report_worker(&mut self, policy: &mut dyn SchedulingPolicy, i: usize) {
        let machine = &self.machines[i];
        if machine.present {
            let free = machine.worker.capacity.saturating_sub(&machine.reserved);
            for &a in &machine.running {
                let attempt = &self.attempts[a];
                if self.now.since(attempt.starts) > REPORT_INTERVAL {
                    let spec = &self.specs[attempt.spec];
                    policy.usage_observed(spec, attempt.index, &spec.actual_needs);
                }
            }
            self.schedule(self.now + REPORT_DELAY, Event::ReportArrives(i, free, self.now));
        }
        self.schedule(self.now + REPORT_INTERVAL, Event::Report(i));
    }

    fn apply_fault(&mut self, i: usize, fault: Fault) {
        let machine = &mut self.machines[i];
        match fault {
            Fault::FailAll => machine.fails_all = true,
            Fault::Recovered => (machine.fails_all, machine.recovered) = (false, true),
            Fault::Lost => {
                machine.present = false;
                for a in machine.running.clone() {
                    self.attempts[a].worker_lost = true;
                    self.schedule(self.now + FENCE_DELAY, Event::FenceExpired(a));
                }
                self.schedule(self.now + LOSS_DETECTION_DELAY, Event::LossDetected(i));
            }
            Fault::Returned => machine.present = true,
        }
    }

    fn decide(&mut self, policy: &mut dyn SchedulingPolicy) {
        self.next_decision = Millis::MAX;
        let decisions = policy.decide(self.now);
        let mut rest = decisions.as_slice();
        while let Some(first) = rest.first() {
            let group = |d: &Decision| match d {
                // Gang numbers are unique within one scheduler only, so the job id is part of the
                // key.
                Decision::Place { gang, task, .. } => gang.map(|gang| (gang, task.job.clone())),
                Decision::Preempt { .. } => None,
            };
            let same = |d: &&Decision| group(first).is_some() && group(d) == group(first);
            let count = rest.iter().take_while(same).count().max(1);
            self.apply_decisions(policy, &rest[..count]);
            rest = &rest[count..];
        }
        let delay =
            if decisions.is_empty() { MAX_DECISION_INTERVAL } else { MIN_DECISION_INTERVAL };
        self.schedule_decision(delay);
    }

    /// Applies one decision, or all decisions of one gang; a gang is placed whole or not at all.
    fn apply_decisions(&mut self, policy: &mut dyn SchedulingPolicy, decisions: &[Decision]) {
        let mut reserved = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Place { task, worker, needs, .. } => {
                    let (spec, machine) = (self.spec_index(&task.job), self.machine_index(worker));
                    if !self.reserve(machine, needs) {
                        for (_, _, machine, needs) in reserved {
                            self.unreserve(machine, &needs);
                        }
                        self.reply(policy, (spec, task.index), machine, false);
                        self.stats.reservations_refused += 1;
                        return;
                    }
                    reserved.push((spec, task.index, machine, *needs));
                }
                Decision::Preempt { task, .. } => self.checkpoint_task(task),
            }
        }
        for (spec, index, machine, needs) in reserved {
            self.reply(policy, (spec, index), machine, true);
            self.start_task(spec, index, machine, &needs);
        }
    }

    fn reply(
        &self,
        policy: &mut dyn SchedulingPolicy,
        (spec, index): (usize, u32),
        machine: usize,
        granted: bool,
    ) {
        let machine = &self.machines[machine];
        let free = machine.worker.capacity.saturating_sub(&machine.reserved);
        let reply = ReservationReply { granted, worker: &machine.worker, free: &free };
        policy.reservation_answered(&self.specs[spec], index, &reply, self.now);
    }

    fn reserve(&mut self, machine: usize, needs: &Capacity) -> bool {
        let machine = &mut self.machines[machine];
        let sum = machine.reserved.plus(needs);
        let granted = machine.present && machine.worker.capacity.holds(&sum);
        if granted {
            machine.reserved = sum;
        }
        granted
    }

    fn unreserve(&mut self, machine: usize, needs: &Capacity) {
        let machine = &mut self.machines[machine];
        machine.reserved = machine.reserved.saturating_sub(needs);
    }

    fn checkpoint_task(&mut self, task: &task::Id) {
        let spec = self.spec_index(&task.job);
        if let Some(a) = self.tasks[spec][task.index as usize].attempt {
            self.schedule(self.now + CHECKPOINT_TIME, Event::Checkpointed(a));
            self.stats.preempted += 1;
        }
    }

    fn start_task(&mut self, i: usize, index: u32, m: usize, needs: &Capacity) {
        self.record_delivered(m);
        let spec = &self.specs[i];
        let starts = self.now + START_DELAY;
        let task = &mut self.tasks[i][index as usize];
        if task.attempt.is_some() || task.done || self.cancelled[i] {
            self.stats.double_runs += 1;
        }
        if self.refused[i] {
            self.stats.refused_but_ran += 1;
        }
        if !task.started {
            self.stats.record_started(spec, starts);
        }
        let machine = &mut self.machines[m];
        let run_time = match (machine.fails_all, spec.always_fails) {
            (true, _) => FAILURE_TIME.min(task.remaining),
            (false, true) => MAX_FAILURE_TIME.min(task.remaining),
            (false, false) => task.remaining,
        };
        let a = self.attempts.len();
        (task.attempt, task.started) = (Some(a), true);
        machine.used = machine.used.plus(&spec.actual_needs);
        machine.running.push(a);
        if !machine.worker.capacity.holds(&machine.used) {
            self.stats.record_overuse(starts);
        }
        if !machine.worker.capacity.holds(&machine.reserved) {
            self.stats.over_capacity += 1;
        }
        if machine.fails_all {
            self.stats.record_wasted_start(m, starts);
        }
        self.stats.recovered_starts[m] += u64::from(machine.recovered);
        let fails = machine.fails_all || spec.always_fails;
        let attempt = Attempt {
            spec: i,
            index,
            machine: m,
            needs: *needs,
            starts,
            live: true,
            worker_lost: false,
            fails,
        };
        self.attempts.push(attempt);
        if run_time < Millis::MAX {
            self.schedule(starts + run_time, Event::AttemptEnds(a));
        }
    }

    fn end_attempt(&mut self, policy: &mut dyn SchedulingPolicy, a: usize, ending: &Ending) {
        let Attempt { spec: i, index, machine, needs, starts, live, worker_lost, .. } =
            self.attempts[a];
        if !live || worker_lost {
            return;
        }
        self.attempts[a].live = false;
        self.record_delivered(machine);
        let spec = &self.specs[i];
        let ran = self.now.since(starts);
        let m = &mut self.machines[machine];
        m.used = m.used.saturating_sub(&spec.actual_needs);
        m.running.retain(|&other| other != a);
        m.reserved = m.reserved.saturating_sub(&needs);
        self.stats.record_attempt_ran(spec, &needs, starts, self.now);
        policy.attempt_ended(spec, index, ending, ran, self.now);
        let task = &mut self.tasks[i][index as usize];
        task.attempt = None;
        match ending {
            Ending::Completed(_) => task.done = true,
            Ending::Checkpointed => task.remaining = task.remaining.since(ran).max(Millis(1)),
            Ending::Failed(_) => {
                task.failures += u32::from(spec.always_fails);
                task.done = task.failures >= MAX_FAILURES;
            }
            Ending::Stopped | Ending::Lapsed => {}
        }
        self.stats.completed += u64::from(task.done);
        if !task.done && !self.cancelled[i] {
            self.requeue(policy, i, index);
        }
        self.schedule_decision(MIN_DECISION_INTERVAL);
    }

    /// Queues a task again. For a gang, checkpoints the tasks that still run first, and queues all
    /// unfinished tasks together once none runs.
    fn requeue(&mut self, policy: &mut dyn SchedulingPolicy, i: usize, index: u32) {
        if self.specs[i].kind.shape != Shape::Gang {
            policy.requeue(&self.specs[i], &[index], self.now);
            return;
        }
        let running = self.tasks[i].iter().find_map(|task| task.attempt);
        if let Some(a) = running.filter(|&a| !self.attempts[a].worker_lost) {
            self.end_attempt(policy, a, &Ending::Checkpointed);
        } else if running.is_none() {
            let waiting = (0..).zip(&self.tasks[i]).filter(|(_, t)| !t.done).map(|(n, _)| n);
            let waiting: Vec<u32> = waiting.collect();
            policy.requeue(&self.specs[i], &waiting, self.now);
        }
    }

    /// Adds attempts that still run and tasks that still wait to the statistics.
    fn finish(&mut self, policy: &dyn SchedulingPolicy) {
        for i in 0..self.machines.len() {
            self.record_delivered(i);
        }
        for attempt in self.attempts.iter().filter(|a| a.live) {
            self.stats.record_attempt_ran(
                &self.specs[attempt.spec],
                &attempt.needs,
                attempt.starts,
                self.now,
            );
        }
        for (i, tasks) in self.tasks.iter().enumerate().filter(|(i, _)| !self.cancelled[*i]) {
            let waiting = tasks.iter().filter(|t| !t.started).count();
            for _ in 0..waiting {
                self.stats.record_unstarted(&self.specs[i], self.now);
            }
        }
        let open = |t: &&Task| !t.done && t.attempt.is_none();
        let live = self.tasks.iter().zip(&self.cancelled).filter(|(_, cancelled)| !**cancelled);
        let waiting = live.flat_map(|(tasks, _)| tasks.iter().filter(open)).count() as u64;
        self.stats.unaccounted_tasks = waiting.wrapping_sub(policy.waiting_tasks()).cast_signed();
        if self.stats.violations() > 0 {
            eprintln!("promises broken: {}", self.stats.violation_summary());
        }
    }

    /// Adds the capacity that a machine delivered since the last call to the statistics.
    fn record_delivered(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        let from = std::mem::replace(&mut machine.used_since, self.now);
        if machine.present {
            let amount = machine.used.least(&machine.worker.capacity);
            self.stats.record_delivered(&amount, from, self.now);
        }
    }

    fn spec_index(&self, job: &Name) -> usize {
        let found = self.by_id.binary_search_by(|&i| self.specs[i].job.id.cmp(job));
        self.by_id[found.expect("a decision names a submitted job")]
    }

    fn machine_index(&self, worker: &Name) -> usize {
        let found = self.machines.binary_search_by(|m| m.worker.name.cmp(worker));
        found.expect("a decision names a worker of the fleet")
    }
}
