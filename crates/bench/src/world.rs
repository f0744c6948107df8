//! A table of workers on virtual time that carries decisions out, and counts broken promises.
//!
//! A decision reserves at once, if the worker has room, and the task starts [`START`] later, the
//! time for the reservation's round trip, the group append to the log and the start order. Every
//! worker reports each second, and the reports arrive [`LAG`] later.

mod tally;

use crate::contender::{Answer, Contender};
use crate::load::Spec;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::admission::Refusal;
use pimentovalve_core::contract::kind::Shape;
use pimentovalve_core::contract::scheduler::Decision;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{Ending, Worker};
use pimentovalve_core::name::Name;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
pub use tally::Tally;

/// From a decision to the start of the task.
pub const START: Millis = Millis(31);
/// From a report of a worker to its arrival.
const LAG: Millis = Millis(50);
/// Between the reports of a worker.
const REPORT: Millis = Millis(1000);
/// Between the calls for decisions at least, and at most.
const DECIDE_SOON: Millis = Millis(10);
const DECIDE_LATE: Millis = Millis(100);
/// From the order to checkpoint to the end of the task.
const CHECKPOINT: Millis = Millis(300);
/// From the start of a task to its failure on a worker that fails everything.
const FAILURE: Millis = Millis(300);
/// Longest run of a task that fails wherever it runs.
const LONGEST_FAILURE: Millis = Millis(1000);
/// From the loss of a worker to its being left out.
const LOSS_SEEN: Millis = Millis(3000);
/// From the loss of a worker until its tasks may run elsewhere.
const FENCE: Millis = Millis(40_500);
/// Failures of a task after which it isn't tried again.
const ATTEMPTS: u32 = 3;

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// The worker fails everything that it starts.
    Bad,
    /// The worker is sound again.
    Healed,
    /// The worker is lost.
    Lost,
    /// The worker is back, empty.
    Back,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The worker reports.
    Report(usize),
    /// A report arrives.
    Arrive(usize, Capacity, Millis),
    /// An attempt runs out.
    End(usize),
    /// An attempt was checkpointed.
    Checkpointed(usize),
    Fault(usize, Fault),
    /// A lost worker is left out.
    Forget(usize),
    /// A lost worker's attempt may be replaced.
    Fenced(usize),
    Cancel(usize),
    Decide,
    Gossip,
}

#[derive(Clone, Debug)]
struct Machine {
    worker: Worker,
    /// Sum of what was reserved.
    reserved: Capacity,
    /// Sum of what the attempts really take.
    used: Capacity,
    /// When `used` last changed.
    used_since: Millis,
    bad: bool,
    healed: bool,
    present: bool,
    /// Attempts that run here.
    running: Vec<usize>,
}

#[derive(Clone, Debug)]
struct Attempt {
    spec: usize,
    index: u32,
    machine: usize,
    needs: Capacity,
    starts: Millis,
    live: bool,
    /// Set when the worker was lost while it ran.
    cut: bool,
    fails: bool,
}

#[derive(Clone, Copy, Debug)]
struct Task {
    attempt: Option<usize>,
    done: bool,
    started: bool,
    failures: u32,
    left: Millis,
}

/// The table of workers with the work that is submitted to it.
pub struct World {
    /// The present instant.
    pub now: Millis,
    /// What was measured.
    pub tally: Tally,
    specs: Vec<Spec>,
    /// Positions in `specs`, sorted by job id.
    by_id: Vec<usize>,
    next_spec: usize,
    tasks: Vec<Vec<Task>>,
    /// Whether the job was cancelled or refused.
    cancelled: Vec<bool>,
    refused: Vec<bool>,
    machines: Vec<Machine>,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    decide_at: Millis,
}

impl World {
    /// Returns a world in which nothing has happened. Measures count within `window`.
    pub fn new(fleet: &[Worker], mut specs: Vec<Spec>, window: (Millis, Millis)) -> Self {
        specs.sort_by(|a, b| (a.at, &a.job.id).cmp(&(b.at, &b.job.id)));
        let mut by_id: Vec<usize> = (0..specs.len()).collect();
        by_id.sort_by(|&a, &b| specs[a].job.id.cmp(&specs[b].job.id));
        let total = fleet.iter().fold(Capacity::ZERO, |sum, w| sum.plus(&w.capacity));
        let machine = |worker: &Worker| Machine {
            worker: worker.clone(),
            reserved: Capacity::ZERO,
            used: Capacity::ZERO,
            used_since: Millis::ZERO,
            bad: false,
            healed: false,
            present: true,
            running: Vec::new(),
        };
        let mut world = Self {
            now: Millis::ZERO,
            tally: Tally::new(total, window, fleet.len()),
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
            decide_at: Millis::MAX,
        };
        for i in 0..world.machines.len() {
            let stagger = REPORT.get() * i as u64 / world.machines.len() as u64;
            world.push(Millis(stagger), Event::Report(i));
        }
        world.push(Millis(500), Event::Gossip);
        world
    }

    /// Counts the waits of these teams' urgent work by themselves.
    pub fn watch_teams(&mut self, teams: Vec<Name>) {
        self.tally.watched = teams;
    }

    /// Lets a fault happen to the workers for which `of` is true.
    pub fn fault(&mut self, at: Millis, fault: Fault, of: impl Fn(&Worker) -> bool) {
        for i in 0..self.machines.len() {
            if of(&self.machines[i].worker) {
                self.push(at, Event::Fault(i, fault));
            }
        }
    }

    /// Lets the jobs for which `of` is true be cancelled.
    pub fn cancel(&mut self, at: Millis, of: impl Fn(&Spec) -> bool) {
        for i in 0..self.specs.len() {
            if of(&self.specs[i]) {
                self.push(at, Event::Cancel(i));
            }
        }
    }

    /// Runs until the instant.
    pub fn run(&mut self, contender: &mut dyn Contender, until: Millis) {
        for machine in &self.machines {
            let free = machine.worker.capacity.saturating_sub(&machine.reserved);
            contender.report(&machine.worker, &free, self.now);
        }
        self.ask(DECIDE_SOON);
        loop {
            let event = self.events.peek().map_or(Millis::MAX, |Reverse((at, ..))| *at);
            let arrival = self.specs.get(self.next_spec).map_or(Millis::MAX, |s| s.at);
            let next = event.min(arrival);
            if next > until {
                break;
            }
            self.now = next;
            if arrival <= event {
                self.submit(contender);
            } else if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.handle(contender, event);
            }
        }
        self.now = until;
        self.close(contender);
    }

    fn push(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Asks for decisions after the delay, unless they are asked for earlier.
    fn ask(&mut self, delay: Millis) {
        let at = self.now + delay;
        if at < self.decide_at {
            self.decide_at = at;
            self.push(at, Event::Decide);
        }
    }

    fn submit(&mut self, contender: &mut dyn Contender) {
        let i = self.next_spec;
        self.next_spec += 1;
        let spec = &self.specs[i];
        let task = Task { attempt: None, done: false, started: false, failures: 0, left: spec.run };
        self.tasks[i] = vec![task; spec.job.tasks as usize];
        match contender.submit(spec, self.now) {
            Ok(()) => self.tally.accepted(spec),
            Err(refusal) => {
                (self.cancelled[i], self.refused[i]) = (true, true);
                self.tally.refused(spec, matches!(refusal, Refusal::Impossible(_)));
            }
        }
        self.ask(DECIDE_SOON);
    }

    fn handle(&mut self, contender: &mut dyn Contender, event: Event) {
        match event {
            Event::Report(i) => self.report(contender, i),
            Event::Arrive(i, free, at) => {
                if self.machines[i].present {
                    contender.report(&self.machines[i].worker, &free, at);
                    self.ask(DECIDE_SOON);
                }
            }
            Event::End(a) => {
                let ending = match self.attempts[a].fails {
                    true => Ending::Failed(String::new()),
                    false => Ending::Completed(String::new()),
                };
                self.end(contender, a, &ending);
            }
            Event::Checkpointed(a) => self.end(contender, a, &Ending::Checkpointed),
            Event::Fault(i, fault) => self.happen(i, fault),
            Event::Forget(i) => contender.forget(&self.machines[i].worker),
            Event::Fenced(a) => {
                self.attempts[a].cut = false;
                self.end(contender, a, &Ending::Lapsed);
            }
            Event::Cancel(i) => {
                contender.cancel(&self.specs[i]);
                self.cancelled[i] = true;
                for index in 0..self.tasks[i].len() {
                    if let Some(a) = self.tasks[i][index].attempt {
                        self.end(contender, a, &Ending::Stopped);
                    }
                }
            }
            Event::Decide if self.now == self.decide_at => self.decide(contender),
            Event::Decide => {}
            Event::Gossip => {
                contender.gossip(self.now);
                self.push(self.now + Millis(1000), Event::Gossip);
            }
        }
    }

    fn report(&mut self, contender: &mut dyn Contender, i: usize) {
        let machine = &self.machines[i];
        if machine.present {
            let free = machine.worker.capacity.saturating_sub(&machine.reserved);
            for &a in &machine.running {
                let attempt = &self.attempts[a];
                if self.now.since(attempt.starts) > REPORT {
                    let spec = &self.specs[attempt.spec];
                    contender.usage(spec, attempt.index, &spec.real);
                }
            }
            self.push(self.now + LAG, Event::Arrive(i, free, self.now));
        }
        self.push(self.now + REPORT, Event::Report(i));
    }

    fn happen(&mut self, i: usize, fault: Fault) {
        let machine = &mut self.machines[i];
        match fault {
            Fault::Bad => machine.bad = true,
            Fault::Healed => (machine.bad, machine.healed) = (false, true),
            Fault::Lost => {
                machine.present = false;
                for a in machine.running.clone() {
                    self.attempts[a].cut = true;
                    self.push(self.now + FENCE, Event::Fenced(a));
                }
                self.push(self.now + LOSS_SEEN, Event::Forget(i));
            }
            Fault::Back => machine.present = true,
        }
    }

    fn decide(&mut self, contender: &mut dyn Contender) {
        self.decide_at = Millis::MAX;
        let decisions = contender.decide(self.now);
        let mut rest = decisions.as_slice();
        while let Some(first) = rest.first() {
            let group = |d: &Decision| match d {
                // The numbers of groups are unique for one steward only, jobs for all of them.
                Decision::Place { gang, task, .. } => gang.map(|gang| (gang, task.job.clone())),
                Decision::Preempt { .. } => None,
            };
            let same = |d: &&Decision| group(first).is_some() && group(d) == group(first);
            let count = rest.iter().take_while(same).count().max(1);
            self.carry_out(contender, &rest[..count]);
            rest = &rest[count..];
        }
        let delay = if decisions.is_empty() { DECIDE_LATE } else { DECIDE_SOON };
        self.ask(delay);
    }

    /// Carries out one decision, or the decisions of one gang together.
    fn carry_out(&mut self, contender: &mut dyn Contender, decisions: &[Decision]) {
        let mut reserved = Vec::new();
        for decision in decisions {
            match decision {
                Decision::Place { task, worker, needs, .. } => {
                    let (spec, machine) = (self.spec(&task.job), self.machine(worker));
                    if !self.reserve(machine, needs) {
                        for (_, _, machine, needs) in reserved {
                            self.unreserve(machine, &needs);
                        }
                        self.answer(contender, (spec, task.index), machine, false);
                        self.tally.reservations_refused += 1;
                        return;
                    }
                    reserved.push((spec, task.index, machine, *needs));
                }
                Decision::Preempt { task, .. } => self.checkpoint(task),
            }
        }
        for (spec, index, machine, needs) in reserved {
            self.answer(contender, (spec, index), machine, true);
            self.start(spec, index, machine, &needs);
        }
    }

    fn answer(
        &self,
        contender: &mut dyn Contender,
        (spec, index): (usize, u32),
        machine: usize,
        granted: bool,
    ) {
        let machine = &self.machines[machine];
        let free = machine.worker.capacity.saturating_sub(&machine.reserved);
        let answer = Answer { granted, worker: &machine.worker, free: &free };
        contender.answered(&self.specs[spec], index, &answer, self.now);
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

    fn checkpoint(&mut self, task: &task::Id) {
        let spec = self.spec(&task.job);
        if let Some(a) = self.tasks[spec][task.index as usize].attempt {
            self.push(self.now + CHECKPOINT, Event::Checkpointed(a));
            self.tally.preempted += 1;
        }
    }

    fn start(&mut self, i: usize, index: u32, m: usize, needs: &Capacity) {
        self.deliver(m);
        let spec = &self.specs[i];
        let starts = self.now + START;
        let task = &mut self.tasks[i][index as usize];
        if task.attempt.is_some() || task.done || self.cancelled[i] {
            self.tally.double_runs += 1;
        }
        if self.refused[i] {
            self.tally.refused_but_ran += 1;
        }
        if !task.started {
            self.tally.started(spec, starts);
        }
        let machine = &mut self.machines[m];
        let runs = match (machine.bad, spec.fails) {
            (true, _) => FAILURE.min(task.left),
            (false, true) => LONGEST_FAILURE.min(task.left),
            (false, false) => task.left,
        };
        let a = self.attempts.len();
        (task.attempt, task.started) = (Some(a), true);
        machine.used = machine.used.plus(&spec.real);
        machine.running.push(a);
        if !machine.worker.capacity.holds(&machine.used) {
            self.tally.overuse(starts);
        }
        if !machine.worker.capacity.holds(&machine.reserved) {
            self.tally.over_capacity += 1;
        }
        if machine.bad {
            self.tally.wasted_start(m, starts);
        }
        self.tally.healed_starts[m] += u64::from(machine.healed);
        let fails = machine.bad || spec.fails;
        let attempt = Attempt {
            spec: i,
            index,
            machine: m,
            needs: *needs,
            starts,
            live: true,
            cut: false,
            fails,
        };
        self.attempts.push(attempt);
        if runs < Millis::MAX {
            self.push(starts + runs, Event::End(a));
        }
    }

    fn end(&mut self, contender: &mut dyn Contender, a: usize, ending: &Ending) {
        let Attempt { spec: i, index, machine, needs, starts, live, cut, .. } = self.attempts[a];
        if !live || cut {
            return;
        }
        self.attempts[a].live = false;
        self.deliver(machine);
        let spec = &self.specs[i];
        let ran = self.now.since(starts);
        let m = &mut self.machines[machine];
        m.used = m.used.saturating_sub(&spec.real);
        m.running.retain(|&other| other != a);
        m.reserved = m.reserved.saturating_sub(&needs);
        self.tally.ran(spec, &needs, starts, self.now);
        contender.ended(spec, index, ending, ran, self.now);
        let task = &mut self.tasks[i][index as usize];
        task.attempt = None;
        match ending {
            Ending::Completed(_) => task.done = true,
            Ending::Checkpointed => task.left = task.left.since(ran).max(Millis(1)),
            Ending::Failed(_) => {
                task.failures += u32::from(spec.fails);
                task.done = task.failures >= ATTEMPTS;
            }
            Ending::Stopped | Ending::Lapsed => {}
        }
        self.tally.completed += u64::from(task.done);
        if !task.done && !self.cancelled[i] {
            self.again(contender, i, index);
        }
        self.ask(DECIDE_SOON);
    }

    /// Queues a task again; of a gang, stops the other tasks and queues all together.
    fn again(&mut self, contender: &mut dyn Contender, i: usize, index: u32) {
        if self.specs[i].kind.shape != Shape::Gang {
            contender.requeue(&self.specs[i], &[index], self.now);
            return;
        }
        let running = self.tasks[i].iter().find_map(|task| task.attempt);
        if let Some(a) = running.filter(|&a| !self.attempts[a].cut) {
            self.end(contender, a, &Ending::Checkpointed);
        } else if running.is_none() {
            let waiting = (0..).zip(&self.tasks[i]).filter(|(_, t)| !t.done).map(|(n, _)| n);
            let waiting: Vec<u32> = waiting.collect();
            contender.requeue(&self.specs[i], &waiting, self.now);
        }
    }

    /// Counts what still runs or waits at the end.
    fn close(&mut self, contender: &dyn Contender) {
        for i in 0..self.machines.len() {
            self.deliver(i);
        }
        for attempt in self.attempts.iter().filter(|a| a.live) {
            self.tally.ran(&self.specs[attempt.spec], &attempt.needs, attempt.starts, self.now);
        }
        for (i, tasks) in self.tasks.iter().enumerate().filter(|(i, _)| !self.cancelled[*i]) {
            let waiting = tasks.iter().filter(|t| !t.started).count();
            for _ in 0..waiting {
                self.tally.unstarted(&self.specs[i], self.now);
            }
        }
        let open = |t: &&Task| !t.done && t.attempt.is_none();
        let live = self.tasks.iter().zip(&self.cancelled).filter(|(_, cancelled)| !**cancelled);
        let waiting = live.flat_map(|(tasks, _)| tasks.iter().filter(open)).count() as u64;
        self.tally.missing = waiting.wrapping_sub(contender.waiting()).cast_signed();
        if self.tally.violations() > 0 {
            eprintln!("promises broken: {}", self.tally.broken());
        }
    }

    /// Counts what a worker delivered since its use last changed.
    fn deliver(&mut self, i: usize) {
        let machine = &mut self.machines[i];
        let from = std::mem::replace(&mut machine.used_since, self.now);
        if machine.present {
            let amount = machine.used.least(&machine.worker.capacity);
            self.tally.delivered(&amount, from, self.now);
        }
    }

    fn spec(&self, job: &Name) -> usize {
        let found = self.by_id.binary_search_by(|&i| self.specs[i].job.id.cmp(job));
        self.by_id[found.expect("a decision names a submitted job")]
    }

    fn machine(&self, worker: &Name) -> usize {
        let found = self.machines.binary_search_by(|m| m.worker.name.cmp(worker));
        found.expect("a decision names a worker of the fleet")
    }
}
