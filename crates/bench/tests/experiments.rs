//! The bench itself: that reports say what was measured, and that broken promises are counted.

use googletest::prelude::*;
use pimentovalve_bench::contender::baseline::{Baseline, Fit};
use pimentovalve_bench::contender::stewards::Stewards;
use pimentovalve_bench::contender::{Answer, Contender};
use pimentovalve_bench::experiment;
use pimentovalve_bench::load::{self, Customer, Spec, Stream};
use pimentovalve_bench::report::{Report, Target};
use pimentovalve_bench::world::{Fault, World};
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

fn specs() -> Vec<Spec> {
    let stream = Stream {
        kind: "sealing",
        prefix: "s",
        teams: (0, 4),
        rate: 5.0,
        span: (Millis::ZERO, Millis::from_secs(50)),
        tasks: (1, 2),
        cpu_milli: (1000, 4000),
        memory_per_core: (1000, 2000),
        accelerators: 0,
        run: Millis::from_secs(3),
        error: (1.0, 1.0),
        noise: 1.0,
    };
    stream.draw(&mut ChaCha8Rng::seed_from_u64(7))
}

fn world(specs: Vec<Spec>) -> (World, Vec<Worker>) {
    let fleet = load::fleet(Customer::Board, 8, 2, 0);
    (World::new(&fleet, specs, (Millis::ZERO, END)), fleet)
}

#[gtest]
fn all_contenders_run_all_work_of_a_light_load_without_violations() {
    let configuration = load::configuration(Customer::Board, 4);
    let contenders: [Box<dyn Contender>; 4] = [
        Box::new(Stewards::new(1, &configuration, true)),
        Box::new(Stewards::new(3, &configuration, true)),
        Box::new(Baseline::new(Fit::First, 1)),
        Box::new(Baseline::new(Fit::Random, 1)),
    ];
    let tasks: u64 = specs().iter().map(|s| u64::from(s.job.tasks)).sum();
    for mut contender in contenders {
        let (mut world, _) = world(specs());
        world.run(contender.as_mut(), END + END);
        expect_that!(world.tally.completed, eq(tasks));
        expect_that!(world.tally.violations(), eq(0));
        expect_that!(world.tally.overused, eq(0));
        expect_that!(world.tally.wait(Class::Normal, 1.0), lt(60_000.0));
    }
}

#[gtest]
fn work_on_a_lost_worker_runs_elsewhere_after_the_fence() {
    let configuration = load::configuration(Customer::Board, 4);
    let mut stewards = Stewards::new(2, &configuration, true);
    let (mut world, fleet) = world(specs());
    let lost = fleet[3].name.clone();
    world.fault(Millis::from_secs(20), Fault::Lost, |w| w.name == lost);
    world.run(&mut stewards, END + END);
    let tasks: u64 = specs().iter().map(|s| u64::from(s.job.tasks)).sum();
    expect_that!(world.tally.completed, eq(tasks));
    expect_that!(world.tally.violations(), eq(0));
}

/// Places every task twice, and forgets those of every third job.
struct Careless {
    next: Vec<Decision>,
    workers: usize,
    jobs: usize,
}

impl Contender for Careless {
    fn report(&mut self, _: &Worker, _: &Capacity, _: Millis) {}
    fn forget(&mut self, _: &Worker) {}
    fn submit(&mut self, spec: &Spec, _: Millis) -> std::result::Result<(), Refusal> {
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
    fn requeue(&mut self, _: &Spec, _: &[u32], _: Millis) {}
    fn cancel(&mut self, _: &Spec) {}
    fn answered(&mut self, _: &Spec, _: u32, _: &Answer<'_>, _: Millis) {}
    fn ended(&mut self, _: &Spec, _: u32, _: &Ending, _: Millis, _: Millis) {}
    fn waiting(&self) -> u64 {
        0
    }
    fn decide(&mut self, _: Millis) -> Vec<Decision> {
        std::mem::take(&mut self.next)
    }
}

#[gtest]
fn double_runs_overuse_and_lost_work_are_counted() {
    let mut careless = Careless { next: Vec::new(), workers: 0, jobs: 0 };
    let mut specs = specs();
    for spec in &mut specs {
        spec.run = Millis::from_secs(1000);
    }
    let (mut world, _) = world(specs);
    world.run(&mut careless, END);
    expect_that!(world.tally.double_runs, gt(0));
    expect_that!(world.tally.overused, gt(0));
    expect_that!(world.tally.lost(), gt(0));
    expect_that!(world.tally.violations(), gt(0));
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
fn the_command_tells_bad_input() {
    let bench = || Command::new(env!("CARGO_BIN_EXE_pimentovalve-bench"));
    expect_that!(bench().output().unwrap().status.code(), some(eq(2)));
    let unknown = bench().arg("absent").output().unwrap();
    expect_that!(unknown.status.code(), some(eq(2)));
    let said = String::from_utf8(unknown.stderr).unwrap();
    expect_that!(said, contains_substring("placement, packing, flood"));
}
