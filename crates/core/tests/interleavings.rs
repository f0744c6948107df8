//! Random interleavings of the real decision objects: several controllers and workers, delayed,
//! duplicated and lost messages, pauses, outages of the log, clocks that differ.
//!
//! No task runs in two places, no worker holds more than its capacity, no non-idempotent request
//! is sent twice, no configuration goes back. A world with one guard left out must break: the
//! checks can fail.

#[path = "interleavings/world.rs"]
mod world;

use googletest::prelude::*;
use proptest::collection::vec;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use world::{INSTANCES, Skip, WORKERS, World};

/// Interleavings of the unbroken world.
const CASES: u32 = 4000;
/// Interleavings in which a broken world must show that it is broken.
const BROKEN_CASES: u32 = 4000;
const STEPS: usize = 400;

/// A step: what is done, by whom, and with what.
type Step = (u8, usize, usize, u8);

fn steps() -> impl Strategy<Value = Vec<Step>> {
    vec((0..40u8, 0..INSTANCES, 0..WORKERS, 0..=u8::MAX), STEPS)
}

fn runner(cases: u32) -> TestRunner {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 0, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn step(world: &mut World, (what, instance, worker, extra): Step) {
    let number = usize::from(extra);
    match what {
        // Mostly the newest message, at times one that has been on its way for long.
        0..=13 if extra < 200 => world.deliver(usize::MAX - number % 2, extra % 4 == 0),
        0..=13 => world.deliver(number, extra % 4 == 0),
        14 => world.drop_message(number),
        15..=16 => world.pass(u64::from(extra % 2) + 1, number),
        17 => world.adopt(instance, worker),
        18..=21 => world.read(instance),
        22 => world.poll(instance),
        23..=25 => world.place(instance, u32::from(extra), worker),
        26..=29 => world.start(instance, worker),
        30..=32 => world.renew(instance, worker),
        33 => world.report(instance, worker),
        34 => world.settle(instance, worker),
        35 if extra < 64 => world.lose(instance, worker),
        36 if extra < 64 => world.finish(worker, number),
        37 if extra < 32 => world.toggle_log(),
        38 if extra < 64 => world.claim(instance),
        38 => world.send(instance),
        39 if extra < 64 => world.patch(instance, u32::from(extra)),
        39 => world.merge(instance, number % INSTANCES),
        _ => {}
    }
}

/// Runs the steps; returns what broke, and how many attempts started and were fenced.
fn run(skip: Skip, steps: &[Step]) -> (Option<String>, u32, u32) {
    let mut world = World::new(skip);
    for taken in steps {
        let versions = world.versions();
        step(&mut world, *taken);
        if let Some(broken) = world.broken(&versions) {
            return (Some(broken), world.starts, world.fenced);
        }
    }
    (None, world.starts, world.fenced)
}

#[gtest]
fn no_interleaving_breaks_a_promise() {
    let seen = std::cell::Cell::new((0, 0));
    let result = runner(CASES).run(&steps(), |steps| {
        let (broken, starts, fenced) = run(Skip::Nothing, &steps);
        seen.set((seen.get().0 + starts, seen.get().1 + fenced));
        broken.map_or(Ok(()), |broken| Err(proptest::test_runner::TestCaseError::fail(broken)))
    });
    if let Err(TestError::Fail(reason, steps)) = result {
        panic!("{reason} after {} steps", steps.len());
    }
    let (starts, fenced) = seen.get();
    println!("{CASES} interleavings of {STEPS} steps: {starts} starts, {fenced} fenced places");
    expect_that!(starts, ge(CASES / 2));
    expect_that!(fenced, ge(CASES / 10));
}

/// Returns in which interleaving a world without a guard breaks first.
fn first_broken(skip: Skip) -> Option<(u32, String)> {
    let mut runner = runner(BROKEN_CASES);
    (0..BROKEN_CASES).find_map(|case| {
        let steps = steps().new_tree(&mut runner).expect("steps").current();
        run(skip, &steps).0.map(|broken| (case, broken))
    })
}

fn breaks(skip: Skip, expected: &str) {
    let (case, broken) = first_broken(skip).expect("a world without a guard must break");
    println!("without {skip:?}: {broken}, in interleaving {case}");
    expect_that!(broken, contains_substring(expected));
}

#[gtest]
fn the_fence_is_needed() {
    breaks(Skip::Fence, "places");
}

#[gtest]
fn the_proof_is_needed() {
    breaks(Skip::Proof, "places");
}

#[gtest]
fn the_epoch_of_the_record_is_needed() {
    breaks(Skip::RecordEpoch, "places");
}

#[gtest]
fn the_capacity_in_the_order_is_needed() {
    breaks(Skip::Capacity, "holds");
}

#[gtest]
fn the_read_back_is_needed() {
    breaks(Skip::ReadBack, "twice");
}

#[gtest]
fn the_order_of_versions_is_needed() {
    breaks(Skip::Monotone, "went back");
}
