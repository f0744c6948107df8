use super::{MAX_TRIES, Next, Outcome, Tries, backoff};
use crate::clock::Millis;
use crate::contract::request::{Answer, Reason};
use crate::link::budget::{Budget, Config};
use crate::name::Name;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config as Cases, RngAlgorithm, TestRng, TestRunner};

const LATE: Millis = Millis(10_000);

fn tries(idempotent: bool) -> Tries {
    Tries::new(Name::try_from("r").expect("a name"), idempotent, LATE)
}

fn budget() -> Budget {
    Budget::new(Config::default())
}

fn not_run() -> Outcome {
    Outcome::NotRun(Reason::Unavailable, Millis(5))
}

#[gtest]
fn a_request_that_is_not_idempotent_is_not_retried_after_an_unknown_outcome() {
    let mut tries = tries(false);
    tries.start();
    expect_that!(tries.end(not_run(), Millis(1), 0, &mut budget()), eq(&Next::Retry(Millis(0))));
    tries.start();
    expect_that!(tries.may_hedge(Millis(1), &mut budget()), eq(false));
    let next = tries.end(Outcome::Unknown, Millis(1), 0, &mut budget());
    expect_that!(next, matches_pattern!(Next::Answer(matches_pattern!(Answer::Unknown { .. }))));
}

#[gtest]
fn an_idempotent_request_is_retried_and_hedged() {
    let mut tries = tries(true);
    tries.start();
    expect_that!(tries.may_hedge(Millis(1), &mut budget()), eq(true));
    tries.start();
    expect_that!(tries.may_hedge(Millis(1), &mut budget()), eq(false));
    expect_that!(tries.end(Outcome::Unknown, Millis(1), 0, &mut budget()), eq(&Next::Wait));
    let next = tries.end(Outcome::Whole("x".into()), Millis(1), 0, &mut budget());
    expect_that!(next, matches_pattern!(Next::Answer(matches_pattern!(Answer::Whole { .. }))));
}

#[gtest]
fn without_budget_there_is_no_retry() {
    let mut none = Budget::new(Config { per_mille: 0, per_second: 0, burst: 0 });
    let mut tries = tries(true);
    tries.start();
    expect_that!(tries.may_hedge(Millis(1), &mut none), eq(false));
    let next = tries.end(not_run(), Millis(1), 0, &mut none);
    expect_that!(next, matches_pattern!(Next::Answer(matches_pattern!(Answer::NotRun { .. }))));
}

#[gtest]
fn pauses_grow_exponentially_with_jitter() {
    expect_that!(backoff(1, 10), eq(Millis(10)));
    expect_that!(backoff(3, 40), eq(Millis(40)));
    expect_that!(backoff(30, 320), eq(Millis(320)));
    expect_that!(backoff(30, 321), eq(Millis(0)));
}

/// For random outcomes, the answer is "not run" only if no attempt may have run, and a request that
/// is not idempotent is never sent again after an attempt that may have run.
#[gtest]
fn not_run_is_correct_and_nothing_is_sent_after_an_unknown_outcome() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(Cases::with_cases(1000), rng);
    let strategy = (any::<bool>(), proptest::collection::vec((0..4_u8, any::<u64>()), 1..30));
    let outcome = runner.run(&strategy, |(idempotent, ends)| {
        let (mut tries, mut budget) = (tries(idempotent), budget());
        let mut may_have_run = false;
        let mut started = 1;
        tries.start();
        for (end, random) in ends {
            if end == 3 {
                if tries.may_hedge(Millis(1), &mut budget) {
                    prop_assert!(idempotent);
                    tries.start();
                    started += 1;
                }
                continue;
            }
            let outcome = match end {
                0 => not_run(),
                1 => Outcome::Unknown,
                _ => Outcome::NotRun(Reason::Overload, Millis(9)),
            };
            may_have_run |= end == 1;
            match tries.end(outcome, Millis(1), random, &mut budget) {
                Next::Retry(_) => {
                    prop_assert!(idempotent || !may_have_run);
                    tries.start();
                    started += 1;
                }
                Next::Wait => {}
                Next::Answer(Answer::NotRun { .. }) => {
                    prop_assert!(!may_have_run);
                    break;
                }
                Next::Answer(Answer::Unknown { .. }) => {
                    prop_assert!(may_have_run);
                    break;
                }
                Next::Answer(Answer::Whole { .. }) => prop_assert!(false),
            }
        }
        prop_assert!(started <= MAX_TRIES);
        Ok(())
    });
    expect_that!(outcome, ok(anything()));
}
