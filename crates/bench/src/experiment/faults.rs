//! What faults cost: a worker that fails everything, a lost rack, a lost failure domain,
//! impossible jobs, and a wave of cancellations.

use crate::contender::Contender;
use crate::contender::baseline::{Baseline, Fit};
use crate::contender::stewards::Stewards;
use crate::load::{self, Customer, Spec, Stream};
use crate::report::{Report, Series, Target};
use crate::world::{Fault, World};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::contract::configuration::Configuration;
use pimentovalve_core::contract::scheduler::Scheduler;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::Worker;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WORKERS: usize = 64;
const DOMAINS: usize = 7;
const TEAMS: usize = 12;
const STEWARDS: usize = 7;
const WINDOW: (Millis, Millis) = (Millis::from_secs(120), Millis::from_secs(420));
const END: Millis = Millis::from_secs(421);
/// When the faults happen, and when they are over.
const FAULT: Millis = Millis::from_secs(150);
const HEALED: Millis = Millis::from_secs(240);
/// Jobs that are cancelled at once.
const WAVE: f64 = 10_000.0;
const URGENT_MS: f64 = 1400.0;
/// Part of the fleet that the steady work may lose when its machines remain enough.
const KEPT: f64 = 0.95;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("faults", seed);
    let calm = simulate(seed, &mut stewards(), &[], |_, _| {});
    bad_worker(&mut report, seed);
    let rack = |w: &Worker, first: &Worker| w.place.same_rack(&first.place);
    let domain = |w: &Worker, first: &Worker| w.place.same_domain(&first.place);
    lost(&mut report, seed, &calm, "rack lost", rack);
    lost(&mut report, seed, &calm, "failure domain lost", domain);
    impossible(&mut report, seed, &calm);
    wave(&mut report, seed, &calm);
    report.axes = ("percent of urgent work", "wait, ms");
    report.figure.push(Series { name: "no fault".into(), points: waits(&calm) });
    report
}

fn bad_worker(report: &mut Report, seed: u64) {
    let fault = |world: &mut World, fleet: &[Worker]| {
        let bad = fleet[9].name.clone();
        world.fault(FAULT, Fault::Bad, |w| w.name == bad);
        world.fault(HEALED, Fault::Healed, |w| w.name == bad);
    };
    let world = simulate(seed, &mut stewards(), &[], fault);
    let plain = simulate(seed, &mut Baseline::new(Fit::First, seed), &[], fault);
    let wasted = |w: &World| w.tally.wasted[9] as f64;
    let most = Some(Target::AtMost(5.0));
    let one = simulate(seed, &mut Stewards::new(1, &configuration(), true), &[], fault);
    let metric = "bad worker: starts wasted until quarantine, one steward";
    report.row(metric, one.tally.wasted_in_row[9] as f64, None, most);
    let metric = "bad worker: the same, seven stewards together";
    let refused = |w: &World| w.tally.reservations_refused as f64;
    report.row(metric, world.tally.wasted_in_row[9] as f64, Some(wasted(&plain)), most);
    report.row(
        "claims refused, seven stewards and one",
        refused(&world),
        Some(refused(&one)),
        None,
    );
    report.row(
        "bad worker: starts wasted in all, probes too",
        wasted(&world),
        Some(wasted(&plain)),
        None,
    );
    let back = world.tally.healed_starts[9] as f64;
    report.row("bad worker: starts on it after it healed", back, None, Some(Target::AtLeast(2.0)));
    let mut seven = stewards();
    let failing = simulate(seed, &mut seven, &everywhere(seed), |_, _| {});
    let quarantined: usize = seven.schedulers().iter().map(Scheduler::quarantined).sum();
    let none = Some(Target::AtMost(0.0));
    let metric = "jobs that fail everywhere: workers quarantined, all views";
    report.row(metric, quarantined as f64, None, none);
    report.violations += failing.tally.violations();
    report.violations += world.tally.violations() + one.tally.violations();
}

fn lost(
    report: &mut Report,
    seed: u64,
    calm: &World,
    label: &str,
    of: impl Fn(&Worker, &Worker) -> bool,
) {
    let fault = |world: &mut World, fleet: &[Worker]| {
        let first = fleet[0].clone();
        world.fault(FAULT, Fault::Lost, |w| of(w, &first));
        world.fault(HEALED, Fault::Back, |w| of(w, &first));
    };
    let world = simulate(seed, &mut stewards(), &[], fault);
    let plain = simulate(seed, &mut Baseline::new(Fit::First, seed), &[], fault);
    let p99 = |w: &World| w.tally.wait(Class::Urgent, 0.99);
    let most = Some(Target::AtMost(URGENT_MS));
    report.row(
        format!("{label}: p99 wait of urgent work, ms"),
        p99(&world),
        Some(p99(&plain)),
        most,
    );
    for class in Class::ALL {
        let kept = |w: &World| w.tally.class_part(class) / calm.tally.class_part(class);
        let least = Some(Target::AtLeast(KEPT));
        let metric = format!("{label}: kept by {class:?} work").to_lowercase();
        report.row(metric, kept(&world), Some(kept(&plain)), least);
    }
    report.violations += world.tally.violations();
    report.figure.push(Series { name: label.into(), points: waits(&world) });
}

fn impossible(report: &mut Report, seed: u64, calm: &World) {
    let mut specs = specs(seed);
    specs.truncate(200);
    for (i, spec) in specs.iter_mut().enumerate() {
        spec.job.id = load::name(&format!("impossible-{i}"));
        spec.job.needs = Capacity::new(64_000, 1000, 0);
    }
    let world = simulate(seed, &mut stewards(), &specs, |_, _| {});
    let plain = simulate(seed, &mut Baseline::new(Fit::First, seed), &specs, |_, _| {});
    let refused = world.tally.impossible as f64 / specs.len() as f64;
    report.row(
        "impossible jobs: part refused at the door",
        refused,
        None,
        Some(Target::AtLeast(1.0)),
    );
    let done = |w: &World| w.tally.completed as f64 / calm.tally.completed as f64;
    let least = Some(Target::AtLeast(KEPT));
    let metric = "impossible jobs: part of the other work done";
    report.row(metric, done(&world), Some(done(&plain)), least);
    report.violations += world.tally.violations();
}

fn wave(report: &mut Report, seed: u64, calm: &World) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1);
    let wave = Stream {
        kind: "reindex",
        prefix: "wave",
        rate: WAVE,
        span: (FAULT, FAULT + Millis(1000)),
        cpu_milli: (4000, 8000),
        run: Millis::from_secs(600),
        ..base()
    };
    let wave = wave.draw(&mut rng);
    let world = simulate(seed, &mut stewards(), &wave, |world, _| {
        world.cancel(HEALED, |spec| spec.job.id.as_str().starts_with("wave"));
    });
    let p99 = |w: &World| w.tally.wait(Class::Urgent, 0.99);
    let most = Some(Target::AtMost(1.1));
    let metric = "10,000 cancellations: p99 wait of urgent work against none";
    report.row(metric, p99(&world) / p99(calm), None, most);
    report.row("the same in ms, p99", p99(&world), Some(p99(calm)), None);
    let (wave_us, single_us) = (cancel_cost(seed, 10_000), cancel_cost(seed, 100));
    let metric = "cost of a cancellation in a wave of 10,000 against 100";
    report.row(metric, wave_us / single_us, None, Some(Target::AtMost(2.0)));
    report.row("cost of a cancellation in a wave of 10,000, us", wave_us, Some(single_us), None);
    report.violations += world.tally.violations();
}

/// Returns the time of one cancellation, with the decisions that follow, in microseconds.
fn cancel_cost(seed: u64, count: usize) -> f64 {
    let mut stewards = Stewards::new(1, &configuration(), true);
    for worker in &load::fleet(Customer::Board, WORKERS, DOMAINS, 0) {
        stewards.report(worker, &Capacity::ZERO, Millis(1));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let stream =
        Stream { kind: "reindex", rate: count as f64, span: (Millis(0), Millis(1000)), ..base() };
    let specs = stream.draw(&mut rng);
    for spec in &specs {
        stewards.requeue(spec, &[0], Millis(1));
    }
    let start = std::time::Instant::now();
    for spec in &specs {
        stewards.cancel(spec);
    }
    stewards.decide(Millis(2));
    start.elapsed().as_secs_f64() * 1e6 / specs.len() as f64
}

/// Draws jobs that fail wherever they run.
fn everywhere(seed: u64) -> Vec<Spec> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 2);
    let stream = Stream { kind: "sealing", prefix: "fails", rate: 2.0, ..base() };
    let mut specs = stream.draw(&mut rng);
    for spec in &mut specs {
        spec.fails = true;
    }
    specs
}

fn waits(world: &World) -> Vec<(f64, f64)> {
    let quantiles = (0..100).map(|i| f64::from(i) / 100.0);
    quantiles.map(|q| (100.0 * q, world.tally.wait(Class::Urgent, q))).collect()
}

fn configuration() -> Configuration {
    load::configuration(Customer::Board, TEAMS)
}

fn stewards() -> Stewards {
    Stewards::new(STEWARDS, &configuration(), true)
}

fn simulate(
    seed: u64,
    contender: &mut dyn Contender,
    more: &[Spec],
    fault: impl Fn(&mut World, &[Worker]),
) -> World {
    let fleet = load::fleet(Customer::Board, WORKERS, DOMAINS, 0);
    let mut specs = specs(seed);
    specs.extend(more.iter().cloned());
    let mut world = World::new(&fleet, specs, WINDOW);
    fault(&mut world, &fleet);
    world.run(contender, END);
    world
}

fn base() -> Stream {
    Stream::lookups(TEAMS, END)
}

/// Draws steady work, half of what the fleet can take.
fn specs(seed: u64) -> Vec<Spec> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let longer = Stream { cpu_milli: (1000, 3000), run: Millis::from_secs(10), ..base() };
    let streams = [
        base(),
        Stream { kind: "sealing", prefix: "s", rate: 20.0, ..longer.clone() },
        Stream { kind: "audit", prefix: "a", rate: 4.0, ..longer.clone() },
        Stream { kind: "training", prefix: "t", rate: 0.1, tasks: (4, 8), ..longer.clone() },
        Stream {
            kind: "engine",
            prefix: "e",
            rate: 0.5,
            span: (Millis::ZERO, Millis::from_secs(60)),
            tasks: (2, 4),
            run: Millis::from_secs(86_400),
            ..longer
        },
    ];
    streams.iter().flat_map(|s| s.draw(&mut rng)).collect()
}
