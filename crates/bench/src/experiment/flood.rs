//! Measures how much capacity and how short a wait steady work keeps while one team submits about
//! ten times the work that the fleet can run.

use crate::load::{self, Customer, JobSpec, JobStream};
use crate::policy::SchedulingPolicy;
use crate::policy::baseline::{Baseline, Fit};
use crate::policy::partitioned::PartitionedScheduler;
use crate::report::{Report, Series, Target};
use crate::simulation::{Fault, Simulation};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WORKERS: usize = 64;
const DOMAINS: usize = 3;
/// Teams with steady work. The teams with the next two indices submit the deferrable and the urgent
/// flood.
const STEADY_TEAMS: usize = 12;
const SCHEDULERS: usize = 7;
/// Measured period.
const WINDOW: (Millis, Millis) = (Millis::from_secs(180), Millis::from_secs(360));
/// Period in which the flood is submitted, from a minute before the measured period to its end.
const FLOOD_PERIOD: (Millis, Millis) = (Millis::from_secs(120), Millis::from_secs(360));
const END: Millis = Millis::from_secs(361);
/// About ten times what the fleet can run: it has 2048 cores, and a task takes 3 cores for 12 s on
/// average.
const FLOOD_TASKS_PER_SECOND: f64 = 570.0;
/// Bound on the wait of urgent work that stays within its share.
const MAX_URGENT_WAIT_MS: f64 = 1400.0;
/// Smallest share of its usage without a flood that steady work must keep.
const MIN_KEPT_SHARE: f64 = 0.95;

/// Classes of the flood.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flood {
    None,
    Deferrable,
    Urgent,
    /// Both floods, while a rack is lost and a worker fails all attempts.
    Both,
}

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("flood", seed);
    report.axes = ("percent of urgent work", "wait, ms");
    let no_flood = simulate(seed, Flood::None, &mut partitioned_scheduler());
    for (label, flood) in [
        ("deferrable flood", Flood::Deferrable),
        ("urgent flood", Flood::Urgent),
        ("both with faults", Flood::Both),
    ] {
        let simulation = simulate(seed, flood, &mut partitioned_scheduler());
        let baseline = simulate(seed, flood, &mut Baseline::new(Fit::First, seed));
        add_rows(&mut report, label, flood, &no_flood, &simulation, &baseline);
        report.violations += simulation.stats.violations();
        report.chart.push(Series { name: label.into(), points: waits(&simulation) });
    }
    report.chart.push(Series { name: "no flood".into(), points: waits(&no_flood) });
    report
}

/// Adds the rows of one flood. Kept shares are relative to `no_flood`.
fn add_rows(
    report: &mut Report,
    label: &str,
    flood: Flood,
    no_flood: &Simulation,
    simulation: &Simulation,
    baseline: &Simulation,
) {
    let p99 = |s: &Simulation| s.stats.watched_waits.value_at_quantile(0.99) as f64;
    let at_most = Some(Target::AtMost(MAX_URGENT_WAIT_MS));
    report.row(
        format!("{label}: p99 wait of steady urgent work, ms"),
        p99(simulation),
        Some(p99(baseline)),
        at_most,
    );
    if flood == Flood::Deferrable {
        let at_most = Some(Target::AtMost(1.5));
        let ratio = p99(simulation) / p99(no_flood).max(1.0);
        report.row(format!("{label}: the same against no flood"), ratio, None, at_most);
    }
    let kept = |s: &Simulation, class: Class| {
        let steady = |s: &Simulation| {
            (0..STEADY_TEAMS).map(|i| s.stats.team_share(&load::team(i), class)).sum::<f64>()
        };
        steady(s) / steady(no_flood)
    };
    for class in Class::ALL {
        let at_least = Some(Target::AtLeast(MIN_KEPT_SHARE));
        let metric = format!("{label}: kept by steady {class:?} work");
        report.row(
            metric.to_lowercase(),
            kept(simulation, class),
            Some(kept(baseline, class)),
            at_least,
        );
    }
    let worst = |s: &Simulation| {
        let team = |i: usize| {
            let share = |s: &Simulation| s.stats.team_share(&load::team(i), Class::ALL[i % 3]);
            share(s) / share(no_flood)
        };
        (0..STEADY_TEAMS).map(team).fold(f64::MAX, f64::min)
    };
    let at_least = Some(Target::AtLeast(MIN_KEPT_SHARE));
    report.row(
        format!("{label}: kept by the worst steady team"),
        worst(simulation),
        Some(worst(baseline)),
        at_least,
    );
    let unaccounted = simulation.stats.unaccounted() as f64;
    report.row(format!("{label}: accepted and lost"), unaccounted, None, Some(Target::AtMost(0.0)));
    let ran = simulation.stats.refused_but_ran as f64;
    report.row(format!("{label}: refused and run"), ran, None, Some(Target::AtMost(0.0)));
    let refused = simulation.stats.refused.iter().sum::<u64>() as f64;
    report.row(format!("{label}: refused with a time to come back"), refused, None, None);
    report.row(format!("{label}: preempted"), simulation.stats.preempted as f64, None, None);
}

/// Returns the quantiles of the waits of steady urgent work, in percent and milliseconds.
fn waits(simulation: &Simulation) -> Vec<(f64, f64)> {
    let quantiles = (0..100).map(|i| f64::from(i) / 100.0);
    quantiles
        .map(|q| (100.0 * q, simulation.stats.watched_waits.value_at_quantile(q) as f64))
        .collect()
}

fn partitioned_scheduler() -> PartitionedScheduler {
    PartitionedScheduler::new(
        SCHEDULERS,
        &load::configuration(Customer::Board, STEADY_TEAMS + 2),
        true,
    )
}

fn simulate(seed: u64, flood: Flood, policy: &mut dyn SchedulingPolicy) -> Simulation {
    let fleet = load::fleet(Customer::Board, WORKERS, DOMAINS, 0);
    let mut simulation = Simulation::new(&fleet, specs(seed, flood), WINDOW);
    simulation.watch_teams((0..STEADY_TEAMS).map(load::team).collect());
    if flood == Flood::Both {
        let rack = &fleet[0].place;
        simulation.schedule_fault(Millis::from_secs(200), Fault::Lost, |w| w.place.same_rack(rack));
        simulation
            .schedule_fault(Millis::from_secs(260), Fault::Returned, |w| w.place.same_rack(rack));
        let bad = &fleet[20].name;
        simulation.schedule_fault(Millis::from_secs(190), Fault::FailAll, |w| w.name == *bad);
    }
    simulation.run(policy, END);
    simulation
}

/// Generates the steady work, which takes half of the fleet, and the flood.
fn specs(seed: u64, flood: Flood) -> Vec<JobSpec> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let base = JobStream::lookups(STEADY_TEAMS, END);
    let streams = [
        base.clone(),
        JobStream {
            kind: "sealing",
            id_prefix: "s",
            jobs_per_second: 20.0,
            cpu_milli: (1000, 3000),
            median_run: Millis::from_secs(10),
            ..base.clone()
        },
        JobStream {
            kind: "audit",
            id_prefix: "a",
            jobs_per_second: 4.0,
            cpu_milli: (1000, 3000),
            median_run: Millis::from_secs(10),
            ..base.clone()
        },
    ];
    let flooding = |kind, id_prefix, team| JobStream {
        kind,
        id_prefix,
        teams: (team, team + 1),
        jobs_per_second: FLOOD_TASKS_PER_SECOND,
        submission_window: FLOOD_PERIOD,
        cpu_milli: (1000, 5000),
        median_run: Millis::from_secs(10),
        ..base.clone()
    };
    let mut specs: Vec<JobSpec> = streams.iter().flat_map(|s| s.generate(&mut rng)).collect();
    if matches!(flood, Flood::Deferrable | Flood::Both) {
        specs.extend(flooding("reindex", "flood-r", STEADY_TEAMS).generate(&mut rng));
    }
    if matches!(flood, Flood::Urgent | Flood::Both) {
        specs.extend(flooding("lookup", "flood-l", STEADY_TEAMS + 1).generate(&mut rng));
    }
    specs
}
