//! Measures the effect of faults on other work: a worker that fails all attempts, a lost rack, a lost
//! failure domain, jobs that fit on no worker, and many cancellations at once.

use crate::load::{self, Customer, JobSpec, JobStream};
use crate::policy::SchedulingPolicy;
use crate::policy::baseline::{Baseline, Fit};
use crate::policy::partitioned::PartitionedScheduler;
use crate::report::{Report, Series, Target};
use crate::simulation::{Fault, Simulation};
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
const SCHEDULERS: usize = 7;
const WINDOW: (Millis, Millis) = (Millis::from_secs(120), Millis::from_secs(420));
const END: Millis = Millis::from_secs(421);
/// Time at which faults begin; also that of the jobs that are cancelled later.
const FAULT_START: Millis = Millis::from_secs(150);
/// Time at which faults end; also that of the cancellations.
const FAULT_END: Millis = Millis::from_secs(240);
/// Number of jobs that are cancelled at once. They are submitted within one second.
const CANCELLED_JOBS: f64 = 10_000.0;
/// Bound on the 99th percentile of the waits of urgent work.
const MAX_URGENT_WAIT_MS: f64 = 1400.0;
/// Smallest share of its usage without faults that work must keep, if the remaining workers have
/// enough capacity for it.
const MIN_KEPT_SHARE: f64 = 0.95;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("faults", seed);
    let fault_free = simulate(seed, &mut partitioned_scheduler(), &[], |_, _| {});
    failing_worker(&mut report, seed);
    let rack = |w: &Worker, first: &Worker| w.place.same_rack(&first.place);
    let domain = |w: &Worker, first: &Worker| w.place.same_domain(&first.place);
    lost_machines(&mut report, seed, &fault_free, "rack lost", rack);
    lost_machines(&mut report, seed, &fault_free, "failure domain lost", domain);
    impossible_jobs(&mut report, seed, &fault_free);
    mass_cancellation(&mut report, seed, &fault_free);
    report.axes = ("percent of urgent work", "wait, ms");
    report.chart.push(Series { name: "no fault".into(), points: waits(&fault_free) });
    report
}

fn failing_worker(report: &mut Report, seed: u64) {
    let fault = |simulation: &mut Simulation, fleet: &[Worker]| {
        let failing = fleet[9].name.clone();
        simulation.schedule_fault(FAULT_START, Fault::FailAll, |w| w.name == failing);
        simulation.schedule_fault(FAULT_END, Fault::Recovered, |w| w.name == failing);
    };
    let simulation = simulate(seed, &mut partitioned_scheduler(), &[], fault);
    let baseline = simulate(seed, &mut Baseline::new(Fit::First, seed), &[], fault);
    let wasted = |s: &Simulation| s.stats.wasted[9] as f64;
    let at_most = Some(Target::AtMost(5.0));
    let single =
        simulate(seed, &mut PartitionedScheduler::new(1, &configuration(), true), &[], fault);
    let metric = "bad worker: starts wasted until quarantine, one steward";
    report.row(metric, single.stats.wasted_until_pause[9] as f64, None, at_most);
    let metric = "bad worker: the same, seven stewards together";
    let refused = |s: &Simulation| s.stats.reservations_refused as f64;
    report.row(
        metric,
        simulation.stats.wasted_until_pause[9] as f64,
        Some(wasted(&baseline)),
        at_most,
    );
    report.row(
        "claims refused, seven stewards and one",
        refused(&simulation),
        Some(refused(&single)),
        None,
    );
    report.row(
        "bad worker: starts wasted in all, probes too",
        wasted(&simulation),
        Some(wasted(&baseline)),
        None,
    );
    let recovered_starts = simulation.stats.recovered_starts[9] as f64;
    report.row(
        "bad worker: starts on it after it healed",
        recovered_starts,
        None,
        Some(Target::AtLeast(2.0)),
    );
    let mut scheduler = partitioned_scheduler();
    let failing = simulate(seed, &mut scheduler, &always_failing_jobs(seed), |_, _| {});
    let quarantined: usize = scheduler.schedulers().iter().map(Scheduler::quarantined).sum();
    let none = Some(Target::AtMost(0.0));
    let metric = "jobs that fail everywhere: workers quarantined, all views";
    report.row(metric, quarantined as f64, None, none);
    report.violations += failing.stats.violations();
    report.violations += simulation.stats.violations() + single.stats.violations();
}

/// Loses the workers for which `is_lost` is true of them and the first worker of the fleet.
fn lost_machines(
    report: &mut Report,
    seed: u64,
    fault_free: &Simulation,
    label: &str,
    is_lost: impl Fn(&Worker, &Worker) -> bool,
) {
    let fault = |simulation: &mut Simulation, fleet: &[Worker]| {
        let first = fleet[0].clone();
        simulation.schedule_fault(FAULT_START, Fault::Lost, |w| is_lost(w, &first));
        simulation.schedule_fault(FAULT_END, Fault::Returned, |w| is_lost(w, &first));
    };
    let simulation = simulate(seed, &mut partitioned_scheduler(), &[], fault);
    let baseline = simulate(seed, &mut Baseline::new(Fit::First, seed), &[], fault);
    let p99 = |s: &Simulation| s.stats.wait(Class::Urgent, 0.99);
    let at_most = Some(Target::AtMost(MAX_URGENT_WAIT_MS));
    report.row(
        format!("{label}: p99 wait of urgent work, ms"),
        p99(&simulation),
        Some(p99(&baseline)),
        at_most,
    );
    for class in Class::ALL {
        let kept =
            |s: &Simulation| s.stats.class_share(class) / fault_free.stats.class_share(class);
        let at_least = Some(Target::AtLeast(MIN_KEPT_SHARE));
        let metric = format!("{label}: kept by {class:?} work").to_lowercase();
        report.row(metric, kept(&simulation), Some(kept(&baseline)), at_least);
    }
    report.violations += simulation.stats.violations();
    report.chart.push(Series { name: label.into(), points: waits(&simulation) });
}

fn impossible_jobs(report: &mut Report, seed: u64, fault_free: &Simulation) {
    let mut specs = specs(seed);
    specs.truncate(200);
    for (i, spec) in specs.iter_mut().enumerate() {
        spec.job.id = load::name(&format!("impossible-{i}"));
        spec.job.needs = Capacity::new(64_000, 1000, 0);
    }
    let simulation = simulate(seed, &mut partitioned_scheduler(), &specs, |_, _| {});
    let baseline = simulate(seed, &mut Baseline::new(Fit::First, seed), &specs, |_, _| {});
    let refused = simulation.stats.impossible as f64 / specs.len() as f64;
    report.row(
        "impossible jobs: part refused at the door",
        refused,
        None,
        Some(Target::AtLeast(1.0)),
    );
    let done = |s: &Simulation| s.stats.completed as f64 / fault_free.stats.completed as f64;
    let at_least = Some(Target::AtLeast(MIN_KEPT_SHARE));
    let metric = "impossible jobs: part of the other work done";
    report.row(metric, done(&simulation), Some(done(&baseline)), at_least);
    report.violations += simulation.stats.violations();
}

fn mass_cancellation(report: &mut Report, seed: u64, fault_free: &Simulation) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 1);
    let stream = JobStream {
        kind: "reindex",
        id_prefix: "wave",
        jobs_per_second: CANCELLED_JOBS,
        submission_window: (FAULT_START, FAULT_START + Millis(1000)),
        cpu_milli: (4000, 8000),
        median_run: Millis::from_secs(600),
        ..lookups()
    };
    let cancelled = stream.generate(&mut rng);
    let simulation = simulate(seed, &mut partitioned_scheduler(), &cancelled, |simulation, _| {
        simulation
            .schedule_cancellation(FAULT_END, |spec| spec.job.id.as_str().starts_with("wave"));
    });
    let p99 = |s: &Simulation| s.stats.wait(Class::Urgent, 0.99);
    let at_most = Some(Target::AtMost(1.1));
    let metric = "10,000 cancellations: p99 wait of urgent work against none";
    report.row(metric, p99(&simulation) / p99(fault_free), None, at_most);
    report.row("the same in ms, p99", p99(&simulation), Some(p99(fault_free)), None);
    let (large_us, small_us) =
        (cancellation_cost_us(seed, 10_000), cancellation_cost_us(seed, 100));
    let metric = "cost of a cancellation in a wave of 10,000 against 100";
    report.row(metric, large_us / small_us, None, Some(Target::AtMost(2.0)));
    report.row("cost of a cancellation in a wave of 10,000, us", large_us, Some(small_us), None);
    report.violations += simulation.stats.violations();
}

/// Returns the mean time of a cancellation among `count`, including one call for decisions after
/// them, in microseconds.
fn cancellation_cost_us(seed: u64, count: usize) -> f64 {
    let mut scheduler = PartitionedScheduler::new(1, &configuration(), true);
    for worker in &load::fleet(Customer::Board, WORKERS, DOMAINS, 0) {
        scheduler.worker_reported(worker, &Capacity::ZERO, Millis(1));
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let stream = JobStream {
        kind: "reindex",
        jobs_per_second: count as f64,
        submission_window: (Millis(0), Millis(1000)),
        ..lookups()
    };
    let specs = stream.generate(&mut rng);
    for spec in &specs {
        scheduler.requeue(spec, &[0], Millis(1));
    }
    let start = std::time::Instant::now();
    for spec in &specs {
        scheduler.cancel(spec);
    }
    scheduler.decide(Millis(2));
    start.elapsed().as_secs_f64() * 1e6 / specs.len() as f64
}

/// Generates jobs that fail on every worker.
fn always_failing_jobs(seed: u64) -> Vec<JobSpec> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed + 2);
    let stream =
        JobStream { kind: "sealing", id_prefix: "fails", jobs_per_second: 2.0, ..lookups() };
    let mut specs = stream.generate(&mut rng);
    for spec in &mut specs {
        spec.always_fails = true;
    }
    specs
}

/// Returns the quantiles of the waits of urgent work, in percent and milliseconds.
fn waits(simulation: &Simulation) -> Vec<(f64, f64)> {
    let quantiles = (0..100).map(|i| f64::from(i) / 100.0);
    quantiles.map(|q| (100.0 * q, simulation.stats.wait(Class::Urgent, q))).collect()
}

fn configuration() -> Configuration {
    load::configuration(Customer::Board, TEAMS)
}

fn partitioned_scheduler() -> PartitionedScheduler {
    PartitionedScheduler::new(SCHEDULERS, &configuration(), true)
}

/// Runs the steady work and the `extra` jobs under a policy, with the faults that `fault` schedules.
fn simulate(
    seed: u64,
    policy: &mut dyn SchedulingPolicy,
    extra: &[JobSpec],
    fault: impl Fn(&mut Simulation, &[Worker]),
) -> Simulation {
    let fleet = load::fleet(Customer::Board, WORKERS, DOMAINS, 0);
    let mut specs = specs(seed);
    specs.extend(extra.iter().cloned());
    let mut simulation = Simulation::new(&fleet, specs, WINDOW);
    fault(&mut simulation, &fleet);
    simulation.run(policy, END);
    simulation
}

fn lookups() -> JobStream {
    JobStream::lookups(TEAMS, END)
}

/// Generates steady work that takes half of the fleet.
fn specs(seed: u64) -> Vec<JobSpec> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let longer =
        JobStream { cpu_milli: (1000, 3000), median_run: Millis::from_secs(10), ..lookups() };
    let streams = [
        lookups(),
        JobStream { kind: "sealing", id_prefix: "s", jobs_per_second: 20.0, ..longer.clone() },
        JobStream { kind: "audit", id_prefix: "a", jobs_per_second: 4.0, ..longer.clone() },
        JobStream {
            kind: "training",
            id_prefix: "t",
            jobs_per_second: 0.1,
            tasks_per_job: (4, 8),
            ..longer.clone()
        },
        JobStream {
            kind: "engine",
            id_prefix: "e",
            jobs_per_second: 0.5,
            submission_window: (Millis::ZERO, Millis::from_secs(60)),
            tasks_per_job: (2, 4),
            median_run: Millis::from_secs(86_400),
            ..longer
        },
    ];
    streams.iter().flat_map(|s| s.generate(&mut rng)).collect()
}
