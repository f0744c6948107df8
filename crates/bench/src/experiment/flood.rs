//! What the other work keeps while one kind of work floods in, ten times what the fleet can take.

use crate::contender::Contender;
use crate::contender::baseline::{Baseline, Fit};
use crate::contender::stewards::Stewards;
use crate::load::{self, Customer, Spec, Stream};
use crate::report::{Report, Series, Target};
use crate::world::{Fault, World};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const WORKERS: usize = 64;
const DOMAINS: usize = 3;
/// Teams with steady work; one more floods.
const TEAMS: usize = 12;
const STEWARDS: usize = 7;
/// The measured part of the run; the flood lasts from a minute before it to its end.
const WINDOW: (Millis, Millis) = (Millis::from_secs(180), Millis::from_secs(360));
const FLOOD: (Millis, Millis) = (Millis::from_secs(120), Millis::from_secs(360));
const END: Millis = Millis::from_secs(361);
/// Tasks of the flood in each second, about ten times what the fleet can take: 2048 cores, and
/// tasks of 3 cores for 12 s on average.
const RATE: f64 = 570.0;
/// Urgent work must start within this, up to its share.
const URGENT_MS: f64 = 1400.0;
/// Part of its use without a flood that work which isn't flooding must keep.
const KEPT: f64 = 0.95;

/// Which class floods in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flood {
    None,
    Deferrable,
    Urgent,
    Both,
}

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("flood", seed);
    report.axes = ("percent of urgent work", "wait, ms");
    let calm = simulate(seed, Flood::None, &mut stewards());
    for (label, flood) in [
        ("deferrable flood", Flood::Deferrable),
        ("urgent flood", Flood::Urgent),
        ("both with faults", Flood::Both),
    ] {
        let world = simulate(seed, flood, &mut stewards());
        let plain = simulate(seed, flood, &mut Baseline::new(Fit::First, seed));
        rows(&mut report, label, flood, &calm, &world, &plain);
        report.violations += world.tally.violations();
        report.figure.push(Series { name: label.into(), points: waits(&world) });
    }
    report.figure.push(Series { name: "no flood".into(), points: waits(&calm) });
    report
}

fn rows(
    report: &mut Report,
    label: &str,
    flood: Flood,
    calm: &World,
    world: &World,
    plain: &World,
) {
    let p99 = |w: &World| w.tally.steady_waits.value_at_quantile(0.99) as f64;
    let most = Some(Target::AtMost(URGENT_MS));
    report.row(
        format!("{label}: p99 wait of steady urgent work, ms"),
        p99(world),
        Some(p99(plain)),
        most,
    );
    if flood == Flood::Deferrable {
        let most = Some(Target::AtMost(1.5));
        let ratio = p99(world) / p99(calm).max(1.0);
        report.row(format!("{label}: the same against no flood"), ratio, None, most);
    }
    let kept = |w: &World, class: Class| {
        let of =
            |w: &World| (0..TEAMS).map(|i| w.tally.team_part(&load::team(i), class)).sum::<f64>();
        of(w) / of(calm)
    };
    for class in Class::ALL {
        let least = Some(Target::AtLeast(KEPT));
        let metric = format!("{label}: kept by steady {class:?} work");
        report.row(metric.to_lowercase(), kept(world, class), Some(kept(plain, class)), least);
    }
    let worst = |w: &World| {
        let team = |i: usize| {
            let part = |w: &World| w.tally.team_part(&load::team(i), Class::ALL[i % 3]);
            part(w) / part(calm)
        };
        (0..TEAMS).map(team).fold(f64::MAX, f64::min)
    };
    let least = Some(Target::AtLeast(KEPT));
    report.row(
        format!("{label}: kept by the worst steady team"),
        worst(world),
        Some(worst(plain)),
        least,
    );
    let dropped = world.tally.lost() as f64;
    report.row(format!("{label}: accepted and lost"), dropped, None, Some(Target::AtMost(0.0)));
    let ran = world.tally.refused_but_ran as f64;
    report.row(format!("{label}: refused and run"), ran, None, Some(Target::AtMost(0.0)));
    let refused = world.tally.refused.iter().sum::<u64>() as f64;
    report.row(format!("{label}: refused with a time to come back"), refused, None, None);
    report.row(format!("{label}: preempted"), world.tally.preempted as f64, None, None);
}

fn waits(world: &World) -> Vec<(f64, f64)> {
    let quantiles = (0..100).map(|i| f64::from(i) / 100.0);
    quantiles.map(|q| (100.0 * q, world.tally.steady_waits.value_at_quantile(q) as f64)).collect()
}

fn stewards() -> Stewards {
    Stewards::new(STEWARDS, &load::configuration(Customer::Board, TEAMS + 2), true)
}

fn simulate(seed: u64, flood: Flood, contender: &mut dyn Contender) -> World {
    let fleet = load::fleet(Customer::Board, WORKERS, DOMAINS, 0);
    let mut world = World::new(&fleet, specs(seed, flood), WINDOW);
    world.watch_teams((0..TEAMS).map(load::team).collect());
    if flood == Flood::Both {
        let rack = &fleet[0].place;
        world.fault(Millis::from_secs(200), Fault::Lost, |w| w.place.same_rack(rack));
        world.fault(Millis::from_secs(260), Fault::Back, |w| w.place.same_rack(rack));
        let bad = &fleet[20].name;
        world.fault(Millis::from_secs(190), Fault::Bad, |w| w.name == *bad);
    }
    world.run(contender, END);
    world
}

/// Draws the steady work, half of what the fleet can take, and the flood.
fn specs(seed: u64, flood: Flood) -> Vec<Spec> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let base = Stream::lookups(TEAMS, END);
    let streams = [
        base.clone(),
        Stream {
            kind: "sealing",
            prefix: "s",
            rate: 20.0,
            cpu_milli: (1000, 3000),
            run: Millis::from_secs(10),
            ..base.clone()
        },
        Stream {
            kind: "audit",
            prefix: "a",
            rate: 4.0,
            cpu_milli: (1000, 3000),
            run: Millis::from_secs(10),
            ..base.clone()
        },
    ];
    let flooding = |kind, prefix, team| Stream {
        kind,
        prefix,
        teams: (team, team + 1),
        rate: RATE,
        span: FLOOD,
        cpu_milli: (1000, 5000),
        run: Millis::from_secs(10),
        ..base.clone()
    };
    let mut specs: Vec<Spec> = streams.iter().flat_map(|s| s.draw(&mut rng)).collect();
    if matches!(flood, Flood::Deferrable | Flood::Both) {
        specs.extend(flooding("reindex", "flood-r", TEAMS).draw(&mut rng));
    }
    if matches!(flood, Flood::Urgent | Flood::Both) {
        specs.extend(flooding("lookup", "flood-l", TEAMS + 1).draw(&mut rng));
    }
    specs
}
