//! Random interleavings of the production decision code: several controllers and workers, delayed,
//! duplicated and lost messages, pauses, outages of the log, and clock skew.
//!
//! The invariants: no task runs in two places, no worker runs more than its capacity, no
//! non-idempotent request is sent twice, and no configuration version decreases. With any one guard
//! disabled, an invariant must be violated, which shows that the checks can fail.

#[path = "interleavings/simulation.rs"]
mod simulation;

use googletest::prelude::*;
use proptest::collection::vec;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use simulation::{DisabledGuard, INSTANCES, Simulation, WORKERS};

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

fn step(simulation: &mut Simulation, (what, instance, worker, extra): Step) {
    let number = usize::from(extra);
    match what {
        // Mostly one of the newest messages, sometimes one that has been delayed for long.
        0..=13 if extra < 200 => simulation.deliver(usize::MAX - number % 2, extra % 4 == 0),
        0..=13 => simulation.deliver(number, extra % 4 == 0),
        14 => simulation.drop_message(number),
        15..=16 => simulation.advance(u64::from(extra % 2) + 1, number),
        17 => simulation.adopt(instance, worker),
        18..=21 => simulation.read(instance),
        22 => simulation.poll(instance),
        23..=25 => simulation.place(instance, u32::from(extra), worker),
        26..=29 => simulation.start(instance, worker),
        30..=32 => simulation.renew(instance, worker),
        33 => simulation.report(instance, worker),
        34 => simulation.record_ends(instance, worker),
        35 if extra < 64 => simulation.record_loss(instance, worker),
        36 if extra < 64 => simulation.finish(worker, number),
        37 if extra < 32 => simulation.toggle_log(),
        38 if extra < 64 => simulation.claim(instance),
        38 => simulation.send(instance),
        39 if extra < 64 => simulation.patch(instance, u32::from(extra)),
        39 => simulation.merge(instance, number % INSTANCES),
        _ => {}
    }
}

/// Runs the steps; returns the first violation and the numbers of started and fenced attempts.
fn run(disabled: DisabledGuard, steps: &[Step]) -> (Option<String>, u32, u32) {
    let mut simulation = Simulation::new(disabled);
    for taken in steps {
        let versions = simulation.versions();
        step(&mut simulation, *taken);
        if let Some(violation) = simulation.violation(&versions) {
            return (Some(violation), simulation.starts, simulation.fenced);
        }
    }
    (None, simulation.starts, simulation.fenced)
}

#[gtest]
fn no_interleaving_violates_an_invariant() {
    let seen = std::cell::Cell::new((0, 0));
    let result = runner(CASES).run(&steps(), |steps| {
        let (violation, starts, fenced) = run(DisabledGuard::None, &steps);
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
fn first_violation(disabled: DisabledGuard) -> Option<(u32, String)> {
    let mut runner = runner(VIOLATION_CASES);
    (0..VIOLATION_CASES).find_map(|case| {
        let steps = steps().new_tree(&mut runner).expect("steps").current();
        run(disabled, &steps).0.map(|violation| (case, violation))
    })
}

fn expect_violation(disabled: DisabledGuard, expected: &str) {
    let (case, violation) =
        first_violation(disabled).expect("a disabled guard must lead to a violation");
    println!("without {disabled:?}: {violation}, in interleaving {case}");
    expect_that!(violation, contains_substring(expected));
}

#[gtest]
fn the_fence_is_needed() {
    expect_violation(DisabledGuard::Fence, "places");
}

#[gtest]
fn the_proof_is_needed() {
    expect_violation(DisabledGuard::Proof, "places");
}

#[gtest]
fn the_epoch_of_the_record_is_needed() {
    expect_violation(DisabledGuard::RecordEpoch, "places");
}

#[gtest]
fn the_capacity_in_the_order_is_needed() {
    expect_violation(DisabledGuard::Capacity, "holds");
}

#[gtest]
fn the_read_back_is_needed() {
    expect_violation(DisabledGuard::ReadBack, "twice");
}

#[gtest]
fn the_order_of_versions_is_needed() {
    expect_violation(DisabledGuard::Monotone, "decreased");
}
