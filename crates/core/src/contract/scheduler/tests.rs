use super::*;
use crate::contract::configuration::Patch;
use crate::contract::kind::{Separation, Shape};
use crate::contract::request::Reason;
use crate::contract::team;
use crate::machine::worker::Worker;
use googletest::prelude::*;

mod fairness;
mod faults;
mod room;

pub(super) const CORE: Capacity = Capacity::new(1000, 1000, 0);
pub(super) const LARGE: Capacity = Capacity::new(1_000_000, 1_000_000, 1000);
pub(super) const DONE: Ending = Ending::Completed(String::new());
pub(super) const FAILED: Ending = Ending::Failed(String::new());

pub(super) fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

/// A scheduler with a configuration and workers. It records the decisions and the tasks that run.
pub(super) struct Harness {
    pub(super) scheduler: Scheduler,
    pub(super) configuration: Configuration,
    pub(super) now: Millis,
    pub(super) running: Vec<(task::Id, Name, Capacity)>,
    pub(super) preempted: Vec<task::Id>,
}

impl Harness {
    /// Returns a harness with `workers` workers of `cores` cores each, and two teams.
    pub(super) fn new(workers: usize, cores: u64) -> Self {
        let configuration = configuration();
        let scheduler = Scheduler::new(None, &configuration);
        let now = Millis(10_000);
        let (running, preempted) = (Vec::new(), Vec::new());
        let mut harness = Self { scheduler, configuration, now, running, preempted };
        for i in 0..workers {
            harness.report(&format!("w{i}"), CORE.times(cores), CORE.times(cores));
        }
        harness
    }

    pub(super) fn report(&mut self, worker: &str, capacity: Capacity, free: Capacity) {
        let number: usize = worker[1..].parse().unwrap();
        let place = Place {
            region: name("r"),
            domain: name(&format!("d{}", number % 2)),
            rack: name(&format!("k{}", number % 4)),
        };
        let worker = Worker { name: name(worker), place, capacity };
        let report = Report { worker: &worker, free: &free, leaving: false, at: self.now };
        self.scheduler.worker(&report);
    }

    pub(super) fn job(&self, id: &str, kind: &str, tasks: u32, needs: Capacity) -> Job {
        Job {
            id: name(id),
            team: name("a"),
            kind: name(kind),
            class: None,
            tasks,
            needs,
            run_ms: Millis(60_000),
            payload: String::new(),
        }
    }

    pub(super) fn submit(&mut self, job: &Job) {
        let kind = self.configuration.kind(job.kind.as_str()).unwrap().clone();
        let tasks: Vec<u32> = (0..job.tasks).collect();
        self.scheduler.enqueue(job, &kind, &tasks, self.now);
    }

    /// Runs a decision pass and records its result. Returns the ids of the placed tasks.
    pub(super) fn decide(&mut self) -> Vec<String> {
        let mut placed = Vec::new();
        for decision in self.scheduler.decide(self.now, 1000) {
            match decision {
                Decision::Place { task, worker, needs, .. } => {
                    placed.push(task.to_string());
                    self.running.push((task, worker, needs));
                }
                Decision::Preempt { task, .. } => self.preempted.push(task),
            }
        }
        placed
    }

    /// Runs `rounds` decision passes, [`PROOF`] apart, so that no worker is paused because of
    /// unproven starts.
    pub(super) fn settle(&mut self, rounds: usize) -> Vec<String> {
        let mut placed = Vec::new();
        for _ in 0..rounds {
            placed.extend(self.decide());
            self.now = self.now + PROOF;
        }
        placed
    }

    pub(super) fn end(&mut self, task: &str, ending: &Ending) {
        let i = self.running.iter().position(|(id, ..)| id.to_string() == task).unwrap();
        let (id, ..) = self.running.swap_remove(i);
        self.scheduler.ended(&id, ending, &Capacity::ZERO, Millis(1000), self.now);
    }

    pub(super) fn worker_of(&self, task: &str) -> Name {
        self.running.iter().find(|(id, ..)| id.to_string() == task).unwrap().1.clone()
    }
}

pub(super) fn configuration() -> Configuration {
    let kind = |text: &str, shape, class| Kind {
        name: name(text),
        shape,
        separation: Separation::Move,
        class,
        attempts: 3,
    };
    let team = |text: &str| team::Team { name: name(text), weight: 1, quota: LARGE };
    let patch = Patch {
        kinds: vec![
            kind("batch", Shape::Batch, Class::Normal),
            kind("gang", Shape::Gang, Class::Normal),
            kind("later", Shape::Batch, Class::Deferrable),
            kind("service", Shape::Service, Class::Normal),
            kind("urgent", Shape::Batch, Class::Urgent),
        ],
        teams: vec![team("a"), team("b")],
        ..Patch::default()
    };
    Configuration::default().patched(&patch).unwrap()
}

#[gtest]
fn a_task_is_placed_once_and_its_room_is_claimed() {
    let mut harness = Harness::new(1, 2);
    harness.submit(&harness.job("j", "batch", 3, CORE));
    expect_that!(harness.decide(), elements_are![eq("j/0"), eq("j/1")]);
    expect_that!(harness.decide(), is_empty());
    expect_that!(harness.scheduler.waiting(Class::Normal), eq(1));
    harness.now = harness.now + Millis(1);
    harness.end("j/0", &DONE);
    expect_that!(harness.decide(), elements_are![eq("j/2")]);
    expect_that!(harness.scheduler.used(&name("a")), eq(CORE.times(2)));
}

#[gtest]
fn enqueuing_twice_places_once() {
    let mut harness = Harness::new(1, 8);
    let job = harness.job("j", "batch", 2, CORE);
    harness.submit(&job);
    harness.submit(&job);
    expect_that!(harness.settle(3).len(), eq(2));
    harness.submit(&job);
    expect_that!(harness.settle(3), is_empty());
}

#[gtest]
fn the_number_of_decisions_is_bounded() {
    let mut harness = Harness::new(100, 8);
    harness.submit(&harness.job("j", "batch", 500, CORE));
    expect_that!(harness.scheduler.decide(harness.now, 7).len(), eq(7));
}

#[gtest]
fn a_refused_reservation_lets_the_task_wait_again_for_another_worker() {
    let mut harness = Harness::new(2, 1);
    harness.submit(&harness.job("j", "batch", 1, CORE));
    harness.decide();
    let (task, first, _) = harness.running.remove(0);
    harness.scheduler.reservation_refused(&task, harness.now);
    expect_that!(harness.scheduler.waiting(Class::Normal), eq(1));
    expect_that!(harness.decide(), elements_are![eq("j/0")]);
    expect_that!(harness.worker_of("j/0"), not(eq(&first)));
    expect_that!(harness.scheduler.counters().refused, eq(1));
}

#[gtest]
fn a_cancelled_job_is_not_placed_and_lets_others_run() {
    let mut harness = Harness::new(1, 1);
    harness.submit(&harness.job("j", "batch", 5, CORE));
    harness.submit(&harness.job("k", "batch", 1, CORE));
    harness.decide();
    harness.scheduler.cancel("j");
    expect_that!(harness.scheduler.waiting(Class::Normal), eq(1));
    harness.now = harness.now + Millis(1);
    harness.end("j/0", &Ending::Stopped);
    expect_that!(harness.decide(), elements_are![eq("k/0")]);
    harness.scheduler.cancel("absent");
}

#[gtest]
fn cancelled_jobs_are_removed_from_table_and_queue() {
    let mut harness = Harness::new(1, 1);
    for i in 0..10_000 {
        harness.submit(&harness.job(&format!("j{i}"), "batch", 1, CORE));
    }
    for i in 0..10_000 {
        harness.scheduler.cancel(&format!("j{i}"));
    }
    expect_that!(harness.scheduler.table.len(), lt(2 * MAX_STALE_UNITS));
    expect_that!(harness.decide(), is_empty());
    expect_that!(harness.scheduler.table.len(), eq(0));
    expect_that!(harness.scheduler.waiting(Class::Normal), eq(0));
}

#[gtest]
fn a_restored_task_counts_as_used_and_is_not_placed_again() {
    let mut harness = Harness::new(1, 2);
    let job = harness.job("j", "batch", 2, CORE);
    let kind = harness.configuration.kind("batch").unwrap().clone();
    let now = harness.now;
    expect_that!(harness.scheduler.restore(&job, &kind, 0, "w0", &CORE, now), eq(true));
    expect_that!(harness.scheduler.restore(&job, &kind, 0, "w0", &CORE, now), eq(false));
    expect_that!(harness.scheduler.restore(&job, &kind, 1, "gone", &CORE, now), eq(false));
    harness.submit(&job);
    expect_that!(harness.decide(), elements_are![eq("j/1")]);
    expect_that!(harness.scheduler.used(&name("a")), eq(CORE.times(2)));
}

#[gtest]
fn a_new_configuration_changes_quotas() {
    let mut harness = Harness::new(1, 8);
    let patch = Patch {
        teams: vec![team::Team { name: name("a"), weight: 1, quota: CORE.times(2) }],
        ..Patch::default()
    };
    harness.configuration = harness.configuration.patched(&patch).unwrap();
    harness.scheduler.configure(&harness.configuration.clone());
    harness.submit(&harness.job("j", "batch", 4, CORE));
    expect_that!(harness.settle(3).len(), eq(2));
}

#[gtest]
fn a_forgotten_worker_gets_no_work() {
    let mut harness = Harness::new(1, 8);
    harness.scheduler.forget_worker("w0");
    harness.submit(&harness.job("j", "batch", 1, CORE));
    expect_that!(harness.decide(), is_empty());
    harness.report("w1", CORE, CORE);
    expect_that!(harness.decide().len(), eq(1));
}

#[gtest]
fn impossible_jobs_are_refused_with_all_findings() {
    let mut harness = Harness::new(1, 8);
    let admit = |harness: &Harness, job: &Job| {
        harness.scheduler.admit(job, &harness.configuration, harness.now)
    };
    let mut job = harness.job("j", "absent", 1, CORE.times(9));
    job.team = name("absent");
    let Err(Refusal::Impossible(findings)) = admit(&harness, &job) else { panic!("not refused") };
    expect_that!(findings.as_slice().len(), eq(3));
    let gang = harness.job("g", "gang", 9, CORE);
    expect_that!(admit(&harness, &gang), err(matches_pattern!(Refusal::Impossible(_))));
    let gang = harness.job("g", "gang", 8, CORE);
    expect_that!(admit(&harness, &gang), ok(anything()));
    harness.scheduler.forget_worker("w0");
    let unavailable = matches_pattern!(Refusal::Later { reason: eq(&Reason::Unavailable), .. });
    expect_that!(admit(&harness, &gang), err(unavailable));
}

#[gtest]
fn a_dropped_task_and_a_forgotten_job_release_all_accounts() {
    let mut harness = Harness::new(1, 2);
    harness.submit(&harness.job("j", "batch", 4, CORE));
    harness.decide();
    let dropped = task::Id { job: name("j"), index: 3 };
    harness.scheduler.drop_task(&dropped);
    expect_that!(harness.scheduler.waiting(Class::Normal), eq(1));
    expect_that!(harness.scheduler.is_placed(&harness.running[0].0), eq(true));
    harness.scheduler.forget("j");
    expect_that!(harness.scheduler.is_placed(&harness.running[0].0), eq(false));
    expect_that!(harness.scheduler.used(&name("a")), eq(Capacity::ZERO));
    expect_that!(*harness.scheduler.view().free(), eq(CORE.times(2)));
    expect_that!(harness.decide(), is_empty());
    expect_that!(harness.scheduler.table.len(), eq(0));
}
