use super::*;
use googletest::prelude::*;

fn backlog(work: u64) -> Backlog {
    Backlog { tasks: 10, work, rate: 1000, idle: false }
}

#[gtest]
fn work_that_starts_within_its_deadline_is_admitted() {
    expect_that!(backlog(600_000).verdict(Class::Urgent), ok(anything()));
    expect_that!(backlog(800_000).verdict(Class::Urgent), err(anything()));
    expect_that!(backlog(800_000).verdict(Class::Normal), ok(anything()));
    let idle = Backlog { idle: true, ..backlog(800_000) };
    expect_that!(idle.verdict(Class::Urgent), ok(anything()));
}

#[gtest]
fn the_retry_time_grows_with_the_backlog_within_bounds() {
    let retry = |work| match backlog(work).verdict(Class::Urgent) {
        Err(Refusal::Later { retry_after, .. }) => retry_after,
        other => panic!("{other:?}"),
    };
    expect_that!(retry(701_000), eq(MIN_RETRY));
    expect_that!(retry(10_700_000), eq(Millis(10_000)));
    expect_that!(retry(u64::MAX), eq(MAX_RETRY));
}

#[gtest]
fn a_team_has_a_bounded_number_of_waiting_tasks() {
    let full = Backlog { tasks: MAX_WAITING, ..backlog(0) };
    expect_that!(full.verdict(Class::Deferrable), err(anything()));
}

#[gtest]
fn refused_callers_get_different_retry_times() {
    let retry = |seed| {
        let refusal = backlog(10_700_000).verdict(Class::Urgent).unwrap_err();
        match refusal.jittered(seed, Millis(5)) {
            Refusal::Later { retry_after, .. } => retry_after,
            other => panic!("{other:?}"),
        }
    };
    expect_that!(retry(1), not(eq(retry(2))));
    for seed in 0..100 {
        expect_that!(retry(seed), all![ge(Millis(10_000)), le(Millis(12_500))]);
    }
}
