//! Two faults together, drawn by seed, against the decision objects on virtual time and against
//! real daemons.
//!
//! `ATTACK_SEEDS=FIRST..END` runs other seeds on virtual time than the fixed ones.

#[path = "attack/fault.rs"]
mod fault;
#[path = "attack/world.rs"]
mod world;

use fault::Fault;
use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::job::Job;
use pimentovalve::core::machine::capacity::Capacity;
use std::ops::Range;
use world::{BOUNDS, STEP, World, name};

/// Seeds on virtual time.
const SEEDS: Range<u64> = 0..240;
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
        run_ms: Millis(300 + world.draw.below(6000)),
        payload: String::new(),
    }
}

/// Runs the trial of a seed and returns what was broken.
fn trial(seed: u64) -> Vec<String> {
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
        if passed > 20_000 && passed % 1000 == 0 && world.open_jobs().is_empty() {
            break;
        }
    }
    let mut broken = std::mem::take(&mut world.broken);
    broken.extend(world.open_jobs());
    if !broken.is_empty() {
        if let Ok(t) = std::env::var("TRACE") {
            world.trace(&t);
        }
        broken.insert(0, format!("seed {seed}: {faults:?}"));
    }
    broken
}

fn seeds() -> Range<u64> {
    let wanted = std::env::var("ATTACK_SEEDS").ok();
    let parsed = wanted
        .as_deref()
        .and_then(|w| w.split_once(".."))
        .and_then(|(first, end)| Some(first.parse().ok()?..end.parse().ok()?));
    parsed.unwrap_or(SEEDS)
}

#[gtest]
fn two_faults_together_break_no_promise_on_virtual_time() {
    let seeds: Vec<u64> = seeds().collect();
    let broken: Vec<String> = std::thread::scope(|scope| {
        let parts: Vec<_> = seeds
            .chunks(seeds.len().div_ceil(4).max(1))
            .map(|part| {
                scope.spawn(move || part.iter().flat_map(|s| trial(*s)).collect::<Vec<_>>())
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
