use super::Pool;
use crate::clock::Millis;
use crate::machine::runner::Limits;
use crate::name::Name;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const LIMITS: Limits = Limits { slots: 3, connections: 8 };

fn attempt(i: usize) -> Name {
    Name::try_from(format!("t.{i}")).expect("a name")
}

#[gtest]
fn an_unanswered_attempt_keeps_its_slot_until_its_deadline_has_passed() {
    let mut pool = Pool::new(LIMITS);
    expect_that!(pool.allocate(&attempt(0), Millis(100)), eq(true));
    expect_that!(pool.allocate(&attempt(0), Millis(100)), eq(false));
    pool.expire(Millis(100));
    expect_that!(pool.free(), eq(2));
    pool.expire(Millis(101));
    expect_that!(pool.free(), eq(3));
}

#[gtest]
fn no_slot_is_free_until_the_runner_answers_the_last_query() {
    let mut pool = Pool::new(LIMITS);
    pool.set_unknown(Millis(1000));
    let first = pool.query().expect("a query");
    pool.set_unknown(Millis(1000));
    pool.report(first, 0);
    expect_that!(pool.free(), eq(0));
    pool.report(pool.query().expect("a query"), 2);
    expect_that!(pool.free(), eq(1));
    expect_that!(pool.query(), some(anything()));
    pool.report(pool.query().expect("a query"), 0);
    expect_that!((pool.free(), pool.query()), eq((3, None)));
}

#[gtest]
fn unknown_use_by_others_ends_with_the_latest_deadline() {
    let mut pool = Pool::new(LIMITS);
    pool.set_unknown(Millis(1000));
    pool.expire(Millis(1000));
    expect_that!(pool.free(), eq(0));
    pool.expire(Millis(1001));
    expect_that!(pool.free(), eq(3));
}

#[derive(Clone, Debug)]
enum Step {
    Allocate(usize, u64),
    Release(usize),
    Report,
    SetUnknown,
    Advance(u64),
    EndUnanswered(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..20_usize, 1..50_u64).prop_map(|(i, d)| Step::Allocate(i, d)),
        2 => (0..20_usize).prop_map(Step::Release),
        1 => Just(Step::Report),
        1 => Just(Step::SetUnknown),
        2 => (1..20_u64).prop_map(Step::Advance),
        2 => (0..8_usize).prop_map(Step::EndUnanswered),
    ]
}

/// Random sequences of events must not put more attempts on a runner than it has slots. `busy`
/// models the runner: attempts in flight, initially those of a former controller, with the instant
/// at which the runner abandons each.
#[gtest]
fn a_runner_never_exceeds_its_slots() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(500), rng);
    let strategy = (0..=3_usize, proptest::collection::vec(step(), 1..60));
    let outcome = runner.run(&strategy, |(former, steps)| {
        let mut now = Millis(0);
        let mut pool = Pool::new(LIMITS);
        let mut busy: Vec<(Name, Millis)> =
            (100..100 + former).map(|i| (attempt(i), Millis(60))).collect();
        pool.set_unknown(Millis(60));
        for step in steps {
            match step {
                Step::Allocate(i, wait) => {
                    let until = now + Millis(wait);
                    if pool.allocate(&attempt(i), until) {
                        busy.push((attempt(i), until));
                    }
                }
                // The runner's response arrives.
                Step::Release(i) => {
                    if busy.iter().any(|(a, _)| *a == attempt(i)) {
                        busy.retain(|(a, _)| *a != attempt(i));
                        pool.release(&attempt(i));
                    }
                }
                // The runner ends an attempt, but its response is lost.
                Step::EndUnanswered(i) => {
                    if i < busy.len() {
                        busy.remove(i);
                    }
                }
                Step::Report => {
                    if let Some(query) = pool.query() {
                        pool.report(query, busy.len());
                    }
                }
                Step::SetUnknown => pool.set_unknown(now + Millis(60)),
                Step::Advance(ms) => {
                    now = now + Millis(ms);
                    busy.retain(|(_, until)| *until >= now);
                    pool.expire(now);
                }
            }
            prop_assert!(busy.len() <= 3, "{busy:?}");
        }
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}
