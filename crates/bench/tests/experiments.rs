//! Tests of the bench itself: reports are complete, and the simulation counts violated guarantees.

use googletest::prelude::*;
use pimentovalve_bench::experiment;
use pimentovalve_bench::load::{self, Customer, JobSpec, JobStream};
use pimentovalve_bench::policy::baseline::{Baseline, Fit};
use pimentovalve_bench::policy::partitioned::PartitionedScheduler;
use pimentovalve_bench::policy::{ReservationReply, SchedulingPolicy};
use pimentovalve_bench::report::{Report, Target};
use pimentovalve_bench::simulation::{Fault, Simulation};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::admission::Refusal;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::contract::scheduler::Decision;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::{Ending, Worker};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::process::Command;

const END: Millis = Millis::from_secs(60);

fn specs() -> Vec<JobSpec> {
    let stream = JobStream {
        kind: "sealing",
        id_prefix: "s",
        teams: (0, 4),
        jobs_per_second: 5.0,
        submission_window: (Millis::ZERO, Millis::from_secs(50)),
        tasks_per_job: (1, 2),
        cpu_milli: (1000, 4000),
        memory_mib_per_core: (1000, 2000),
        accelerators: 0,
        median_run: Millis::from_secs(3),
        team_size_error: (1.0, 1.0),
        job_size_error: 1.0,
    };
    stream.generate(&mut ChaCha8Rng::seed_from_u64(7))
}

fn simulation(specs: Vec<JobSpec>) -> (Simulation, Vec<Worker>) {
    let fleet = load::fleet(Customer::Board, 8, 2, 0);
    (Simulation::new(&fleet, specs, (Millis::ZERO, END)), fleet)
}

#[gtest]
fn all_policies_run_all_work_of_a_light_load_without_violations() {
    let configuration = load::configuration(Customer::Board, 4);
    let policies: [Box<dyn SchedulingPolicy>; 4] = [
        Box::new(PartitionedScheduler::new(1, &configuration, true)),
        Box::new(PartitionedScheduler::new(3, &configuration, true)),
        Box::new(Baseline::new(Fit::First, 1)),
        Box::new(Baseline::new(Fit::Random, 1)),
    ];
    let tasks: u64 = specs().iter().map(|s| u64::from(s.job.tasks)).sum();
    for mut policy in policies {
        let (mut simulation, _) = simulation(specs());
        simulation.run(policy.as_mut(), END + END);
        expect_that!(simulation.stats.completed, eq(tasks));
        expect_that!(simulation.stats.violations(), eq(0));
        expect_that!(simulation.stats.overused, eq(0));
        expect_that!(simulation.stats.wait(Class::Normal, 1.0), lt(60_000.0));
    }
}

#[gtest]
fn work_on_a_lost_worker_runs_elsewhere_after_the_fence() {
    let configuration = load::configuration(Customer::Board, 4);
    let mut scheduler = PartitionedScheduler::new(2, &configuration, true);
    let (mut simulation, fleet) = simulation(specs());
    let lost = fleet[3].name.clone();
    simulation.schedule_fault(Millis::from_secs(20), Fault::Lost, |w| w.name == lost);
    simulation.run(&mut scheduler, END + END);
    let tasks: u64 = specs().iter().map(|s| u64::from(s.job.tasks)).sum();
    expect_that!(simulation.stats.completed, eq(tasks));
    expect_that!(simulation.stats.violations(), eq(0));
}

/// A policy with two faults: it places the first task of each job twice, and accepts every third
/// job without placing it.
struct FaultyPolicy {
    next: Vec<Decision>,
    workers: usize,
    jobs: usize,
}

impl SchedulingPolicy for FaultyPolicy {
    fn worker_reported(&mut self, _: &Worker, _: &Capacity, _: Millis) {}
    fn worker_lost(&mut self, _: &Worker) {}
    fn submit(&mut self, spec: &JobSpec, _: Millis) -> std::result::Result<(), Refusal> {
        self.jobs += 1;
        if self.jobs.is_multiple_of(3) {
            return Ok(());
        }
        for _ in 0..2 {
            self.workers += 1;
            self.next.push(Decision::Place {
                task: task::Id { job: spec.job.id.clone(), index: 0 },
                worker: load::name(&format!("worker-{:04}", self.workers % 8)),
                needs: Capacity::new(1, 1, 0),
                gang: None,
            });
        }
        Ok(())
    }
    fn requeue(&mut self, _: &JobSpec, _: &[u32], _: Millis) {}
    fn cancel(&mut self, _: &JobSpec) {}
    fn reservation_answered(&mut self, _: &JobSpec, _: u32, _: &ReservationReply<'_>, _: Millis) {}
    fn attempt_ended(&mut self, _: &JobSpec, _: u32, _: &Ending, _: Millis, _: Millis) {}
    fn waiting_tasks(&self) -> u64 {
        0
    }
    fn decide(&mut self, _: Millis) -> Vec<Decision> {
        std::mem::take(&mut self.next)
    }
}

#[gtest]
fn double_runs_overuse_and_lost_work_are_counted() {
    let mut policy = FaultyPolicy { next: Vec::new(), workers: 0, jobs: 0 };
    let mut specs = specs();
    for spec in &mut specs {
        spec.run_time = Millis::from_secs(1000);
    }
    let (mut simulation, _) = simulation(specs);
    simulation.run(&mut policy, END);
    expect_that!(simulation.stats.double_runs, gt(0));
    expect_that!(simulation.stats.overused, gt(0));
    expect_that!(simulation.stats.unaccounted(), gt(0));
    expect_that!(simulation.stats.violations(), gt(0));
}

#[gtest]
fn a_target_that_is_missed_or_a_violation_is_not_met() {
    let mut report = Report::new("x", 1);
    report.row("a", 1.0, Some(2.0), Some(Target::AtMost(1.0)));
    expect_that!(report.is_met(), eq(true));
    report.row("b", f64::NAN, None, Some(Target::AtLeast(0.0)));
    expect_that!(report.is_met(), eq(false));
    report.rows.pop();
    report.violations = 1;
    expect_that!(report.is_met(), eq(false));
}

#[gtest]
fn a_report_as_json_has_all_its_parts_and_is_the_same_for_a_seed() {
    let run = experiment::find("config").unwrap();
    let json = run(3).to_json();
    for key in
        ["experiment", "seed", "measured", "baseline", "ratio", "target", "met", "violations"]
    {
        expect_that!(json.get(key).is_some(), eq(true), "{key}");
    }
    expect_that!(json, eq(&run(3).to_json()));
    expect_that!(json, not(eq(&run(4).to_json())));
}

#[gtest]
fn the_command_rejects_bad_input() {
    let bench = || Command::new(env!("CARGO_BIN_EXE_pimentovalve-bench"));
    expect_that!(bench().output().unwrap().status.code(), some(eq(2)));
    let unknown = bench().arg("absent").output().unwrap();
    expect_that!(unknown.status.code(), some(eq(2)));
    let said = String::from_utf8(unknown.stderr).unwrap();
    expect_that!(said, contains_substring("placement, packing, flood"));
}
