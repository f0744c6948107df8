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
fn a_silent_try_keeps_its_slot_until_its_deadline_has_surely_passed() {
    let mut pool = Pool::new(LIMITS);
    expect_that!(pool.spend(&attempt(0), Millis(100)), eq(true));
    expect_that!(pool.spend(&attempt(0), Millis(100)), eq(false));
    pool.expire(Millis(100));
    expect_that!(pool.free(), eq(2));
    pool.expire(Millis(101));
    expect_that!(pool.free(), eq(3));
}

#[gtest]
fn doubt_closes_the_pool_until_the_runner_answers_the_last_question() {
    let mut pool = Pool::new(LIMITS);
    pool.doubt(Millis(1000));
    let first = pool.question().expect("a question");
    pool.doubt(Millis(1000));
    pool.prove(first, 0);
    expect_that!(pool.free(), eq(0));
    pool.prove(pool.question().expect("a question"), 2);
    expect_that!(pool.free(), eq(1));
    expect_that!(pool.question(), some(anything()));
    pool.prove(pool.question().expect("a question"), 0);
    expect_that!((pool.free(), pool.question()), eq((3, None)));
}

#[gtest]
fn doubt_ends_with_the_longest_deadline() {
    let mut pool = Pool::new(LIMITS);
    pool.doubt(Millis(1000));
    pool.expire(Millis(1000));
    expect_that!(pool.free(), eq(0));
    pool.expire(Millis(1001));
    expect_that!(pool.free(), eq(3));
}

#[derive(Clone, Debug)]
enum Step {
    Spend(usize, u64),
    Release(usize),
    Tell,
    Doubt,
    Pass(u64),
    End(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..20_usize, 1..50_u64).prop_map(|(i, d)| Step::Spend(i, d)),
        2 => (0..20_usize).prop_map(Step::Release),
        1 => Just(Step::Tell),
        1 => Just(Step::Doubt),
        2 => (1..20_u64).prop_map(Step::Pass),
        2 => (0..8_usize).prop_map(Step::End),
    ]
}

/// A runner with what is under way at it: (attempt, instant by which it gives up). A former
/// controller's tries are among them from the start.
#[gtest]
fn a_runner_never_has_more_than_its_slots_whatever_happens() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(500), rng);
    let strategy = (0..=3_usize, proptest::collection::vec(step(), 1..60));
    let outcome = runner.run(&strategy, |(former, steps)| {
        let mut now = Millis(0);
        let mut pool = Pool::new(LIMITS);
        let mut busy: Vec<(Name, Millis)> =
            (100..100 + former).map(|i| (attempt(i), Millis(60))).collect();
        pool.doubt(Millis(60));
        for step in steps {
            match step {
                Step::Spend(i, wait) => {
                    let until = now + Millis(wait);
                    if pool.spend(&attempt(i), until) {
                        busy.push((attempt(i), until));
                    }
                }
                // The runner answers: it has ended the try.
                Step::Release(i) => {
                    if busy.iter().any(|(a, _)| *a == attempt(i)) {
                        busy.retain(|(a, _)| *a != attempt(i));
                        pool.release(&attempt(i));
                    }
                }
                // The runner ends a try, but its answer is lost.
                Step::End(i) => {
                    if i < busy.len() {
                        busy.remove(i);
                    }
                }
                Step::Tell => {
                    if let Some(question) = pool.question() {
                        pool.prove(question, busy.len());
                    }
                }
                Step::Doubt => pool.doubt(now + Millis(60)),
                Step::Pass(ms) => {
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
