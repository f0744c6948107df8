//! Random interleavings of the production decision code: several controllers and workers, delayed,
//! duplicated and lost messages, pauses, outages of the log, and clock skew.
//!
//! The invariants: no task runs in two places, no worker runs more than its capacity, no
//! non-idempotent request is sent twice, and no configuration version decreases. With any one guard
//! disabled, an invariant must be violated, which shows that the checks can fail.

#[path = "interleavings/world.rs"]
mod world;

use googletest::prelude::*;
use proptest::collection::vec;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use world::{INSTANCES, Skip, WORKERS, World};

/// Interleavings with all guards enabled.
const CASES: u32 = 4000;
/// Interleavings within which a disabled guard must lead to a violation.
const VIOLATION_CASES: u32 = 4000;
/// Steps in each interleaving.
const STEPS: usize = 400;

/// A step: the action, the instance, the worker and a parameter of the action.
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
        // Mostly one of the newest messages, sometimes one that has been delayed for long.
        0..=13 if extra < 200 => world.deliver(usize::MAX - number % 2, extra % 4 == 0),
        0..=13 => world.deliver(number, extra % 4 == 0),
        14 => world.drop_message(number),
        15..=16 => world.advance(u64::from(extra % 2) + 1, number),
        17 => world.adopt(instance, worker),
        18..=21 => world.read(instance),
        22 => world.poll(instance),
        23..=25 => world.place(instance, u32::from(extra), worker),
        26..=29 => world.start(instance, worker),
        30..=32 => world.renew(instance, worker),
        33 => world.report(instance, worker),
        34 => world.record_ends(instance, worker),
        35 if extra < 64 => world.record_loss(instance, worker),
        36 if extra < 64 => world.finish(worker, number),
        37 if extra < 32 => world.toggle_log(),
        38 if extra < 64 => world.claim(instance),
        38 => world.send(instance),
        39 if extra < 64 => world.patch(instance, u32::from(extra)),
        39 => world.merge(instance, number % INSTANCES),
        _ => {}
    }
}

/// Runs the steps; returns the first violation and the numbers of started and fenced attempts.
fn run(skip: Skip, steps: &[Step]) -> (Option<String>, u32, u32) {
    let mut world = World::new(skip);
    for taken in steps {
        let versions = world.versions();
        step(&mut world, *taken);
        if let Some(violation) = world.violation(&versions) {
            return (Some(violation), world.starts, world.fenced);
        }
    }
    (None, world.starts, world.fenced)
}

#[gtest]
fn no_interleaving_violates_an_invariant() {
    let seen = std::cell::Cell::new((0, 0));
    let result = runner(CASES).run(&steps(), |steps| {
        let (violation, starts, fenced) = run(Skip::Nothing, &steps);
        seen.set((seen.get().0 + starts, seen.get().1 + fenced));
        violation.map_or(Ok(()), |found| Err(proptest::test_runner::TestCaseError::fail(found)))
    });
    if let Err(TestError::Fail(reason, steps)) = result {
        panic!("{reason} after {} steps", steps.len());
    }
    let (starts, fenced) = seen.get();
    println!("{CASES} interleavings of {STEPS} steps: {starts} starts, {fenced} fenced places");
    expect_that!(starts, ge(CASES / 2));
    expect_that!(fenced, ge(CASES / 10));
}

/// Returns the first interleaving with a violation when a guard is disabled, and the violation.
fn first_violation(skip: Skip) -> Option<(u32, String)> {
    let mut runner = runner(VIOLATION_CASES);
    (0..VIOLATION_CASES).find_map(|case| {
        let steps = steps().new_tree(&mut runner).expect("steps").current();
        run(skip, &steps).0.map(|violation| (case, violation))
    })
}

fn expect_violation(skip: Skip, expected: &str) {
    let (case, violation) =
        first_violation(skip).expect("a disabled guard must lead to a violation");
    println!("without {skip:?}: {violation}, in interleaving {case}");
    expect_that!(violation, contains_substring(expected));
}

#[gtest]
fn the_fence_is_needed() {
    expect_violation(Skip::Fence, "places");
}

#[gtest]
fn the_proof_is_needed() {
    expect_violation(Skip::Proof, "places");
}

#[gtest]
fn the_epoch_of_the_record_is_needed() {
    expect_violation(Skip::RecordEpoch, "places");
}

#[gtest]
fn the_capacity_in_the_order_is_needed() {
    expect_violation(Skip::Capacity, "holds");
}

#[gtest]
fn the_read_back_is_needed() {
    expect_violation(Skip::ReadBack, "twice");
}

#[gtest]
fn the_order_of_versions_is_needed() {
    expect_violation(Skip::Monotone, "decreased");
}
