//! Two faults together, drawn by seed, against the decision objects on virtual time and against
//! real daemons.
//!
//! `ATTACK_SEEDS=FIRST..END` runs other seeds on virtual time than the fixed ones.

#[path = "attack/fault.rs"]
mod fault;
mod support;
#[path = "attack/world.rs"]
mod world;

use fault::{Draw, Fault};
use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::job::Job;
use pimentovalve::core::contract::task;
use pimentovalve::core::machine::capacity::Capacity;
use std::ops::Range;
use std::time::Duration;
use support::{Harness, batch};
use world::{BOUNDS, STEP, World, name};

/// Seeds on virtual time.
const SEEDS: Range<u64> = 0..240;
/// Further seeds. A fault was found in each under former parameters, which drew its harness otherwise;
/// the unit tests of steward and controller hold the faults themselves.
const FOUND: [u64; 6] = [668, 676, 1206, 1576, 1702, 1927];
/// Seeds over real daemons.
const LIVE_SEEDS: Range<u64> = 0..16;
/// Real time for which a fault lasts at least, and how much longer it may.
const LIVE_FAULT: (u64, u64) = (300, 2500);
/// Virtual time in which everything must have come to its end.
const HORIZON: Millis = Millis::from_secs(120);

fn job(world: &mut World, number: u64) -> Job {
    let kind = ["batch", "service", "gang"][world.draw.index(3)];
    let tasks = 1 + u32::try_from(world.draw.below(3)).unwrap_or_default();
    Job {
        id: name(&format!("{kind}-{number}")),
        team: name("notaries"),
        kind: name(kind),
        class: None,
        tasks,
        needs: Capacity::new(1000 + world.draw.below(2000), 1024, 0),
        run_ms: Millis(300 + world.draw.below(15_000)),
        payload: String::new(),
    }
}

/// Runs the harness of a seed and returns what was broken.
fn run_simulated(seed: u64) -> Vec<String> {
    let mut world = World::new(seed, 3, 5);
    let faults: Vec<(u64, Fault)> = (0..2)
        .map(|_| {
            let at = 1000 + world.draw.below(9000);
            (at, Fault::ALL[world.draw.index(Fault::ALL.len())])
        })
        .collect();
    let start = world.now;
    let mut jobs = 0;
    while world.now.since(start) < HORIZON {
        let passed = world.now.since(start).get();
        for (_, fault) in faults.iter().filter(|(at, _)| (passed..passed + STEP.get()).contains(at))
        {
            world.strike(*fault);
        }
        if jobs < 10 && passed >= 1000 + jobs * 900 {
            let job = job(&mut world, jobs);
            world.submit(job);
            jobs += 1;
        }
        world.step();
        if passed > 20_000 && passed.is_multiple_of(1000) && world.open_jobs().is_empty() {
            break;
        }
    }
    let mut broken = std::mem::take(&mut world.broken);
    broken.extend(world.open_jobs());
    if !broken.is_empty() {
        broken.insert(0, format!("seed {seed}: {faults:?}"));
    }
    broken
}

fn seeds() -> Vec<u64> {
    let wanted = std::env::var("ATTACK_SEEDS").ok();
    let parsed = wanted
        .as_deref()
        .and_then(|w| w.split_once(".."))
        .and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    parsed.map_or_else(|| SEEDS.chain(FOUND).collect(), Range::collect)
}

#[gtest]
fn two_faults_together_break_no_promise_on_virtual_time() {
    let seeds = seeds();
    let broken: Vec<String> = std::thread::scope(|scope| {
        let parts: Vec<_> = seeds
            .chunks(seeds.len().div_ceil(4).max(1))
            .map(|part| {
                scope.spawn(move || part.iter().flat_map(|s| run_simulated(*s)).collect::<Vec<_>>())
            })
            .collect();
        parts.into_iter().flat_map(|p| p.join().expect("it ends")).collect()
    });
    let failed = broken.iter().filter(|line| line.starts_with("seed ")).count();
    for line in broken.iter().take(40) {
        println!("{line}");
    }
    println!("{} seeds, {failed} failed; fence {}", seeds.len(), BOUNDS.fence());
    expect_that!(failed, eq(0));
}

/// Brings a fault about in a cell, and returns how it is ended.
fn strike(harness: &mut Harness, draw: &mut Draw, fault: Fault) -> Box<dyn FnOnce(&mut Harness)> {
    let running = harness.cell.running();
    let node = running[draw.index(running.len())];
    let machine = draw.index(harness.cell.fleet.workers.len());
    let log = &harness.cell.fleet.log;
    match fault {
        Fault::Kill => {
            harness.cell.kill(node);
            harness.cell.unlist(node);
            Box::new(|harness| {
                harness.cell.add().expect("a daemon can be added");
            })
        }
        Fault::Freeze => {
            harness.cell.freeze(node, true);
            Box::new(move |harness| harness.cell.freeze(node, false))
        }
        Fault::Outage => {
            log.outage(true);
            Box::new(|harness| harness.cell.fleet.log.outage(false))
        }
        Fault::LostAnswers | Fault::Disorder => {
            log.lose_share(50, draw.below(1000));
            Box::new(|harness| harness.cell.fleet.log.lose_share(0, 0))
        }
        Fault::LateLanding => {
            log.delay_landing(4, Millis(draw.below(3000)));
            Box::new(|harness| harness.cell.fleet.log.delay_landing(0, Millis::ZERO))
        }
        Fault::Cut => {
            harness.cell.fleet.workers[machine].1.link().cut();
            Box::new(move |harness| harness.cell.fleet.workers[machine].1.link().heal())
        }
        Fault::CutFromOne => {
            harness.cell.fleet.workers[machine].1.link().pause();
            Box::new(move |harness| harness.cell.fleet.workers[machine].1.link().resume())
        }
        Fault::Crash => {
            let (name, worker) = &harness.cell.fleet.workers[machine];
            worker.crash();
            harness.cell.fleet.list.remove(name);
            Box::new(|_| {})
        }
    }
}

/// Runs the harness of a seed over real daemons and returns what was broken.
fn run_live(seed: u64) -> Vec<String> {
    let mut draw = Draw::new(seed + 10_000);
    let mut harness = Harness::start(3, |_| {});
    let mut ids = Vec::new();
    let mut submit = |harness: &Harness, round: usize| {
        let running = harness.cell.running();
        let node = running[round % running.len()];
        let id = format!("attack-{round}");
        let body = batch(&id, 3, "run_ms=300 result=done");
        // It may be refused during a fault; the caller comes back with the same id.
        harness.post(node, "/v1/jobs", &body);
        ids.push((id, body));
    };
    let faults: Vec<Fault> = (0..2).map(|_| Fault::ALL[draw.index(Fault::ALL.len())]).collect();
    submit(&harness, 0);
    let mut ends = Vec::new();
    for (round, fault) in (1..).zip(&faults) {
        let end = strike(&mut harness, &mut draw, *fault);
        ends.push(end);
        submit(&harness, round);
        std::thread::sleep(Duration::from_millis(draw.below(400)));
    }
    std::thread::sleep(Duration::from_millis(LIVE_FAULT.0 + draw.below(LIVE_FAULT.1)));
    for end in ends {
        end(&mut harness);
    }
    let mut broken = Vec::new();
    for (id, body) in &ids {
        harness.submit(body);
        let job = harness.await_ended(id);
        if !job.tasks.iter().all(|t| t.state == task::State::Completed) {
            broken.push(format!("{job:?}"));
        }
    }
    for node in harness.cell.running() {
        harness.wait_until("the version is back", || harness.version(node) == Some(1));
    }
    let observer = &harness.cell.fleet.observer;
    broken.extend(observer.double_runs().iter().map(|pair| format!("runs twice: {pair:?}")));
    broken.extend(observer.over_capacity().iter().map(|excess| format!("{excess:?}")));
    if !broken.is_empty() {
        broken.insert(0, format!("seed {seed}: {faults:?}"));
    }
    broken
}

#[gtest]
fn two_faults_together_break_no_promise_over_daemons() {
    let seeds: Vec<u64> = LIVE_SEEDS.collect();
    for part in seeds.chunks(4) {
        let broken: Vec<String> = std::thread::scope(|scope| {
            let runs: Vec<_> = part.iter().map(|seed| scope.spawn(|| run_live(*seed))).collect();
            let stuck = |seed: &u64| vec![format!("seed {seed}: never came to its end")];
            let ends = part.iter().zip(runs);
            ends.flat_map(|(seed, run)| run.join().unwrap_or_else(|_| stuck(seed))).collect()
        });
        expect_that!(broken, is_empty());
    }
}
