use super::*;
use crate::contract::work::tests::{job, step};
use googletest::prelude::*;

/// Core milliseconds, in thousandths, that the workers of these tests do in a second.
const DRAIN: u64 = 1_000_000_000;

/// A job whose objective is three estimates of a second.
fn arriving(id: u64, priority: u32, count: u32) -> Job {
    let mut job = job(id, vec![step(count, &[])]);
    job.steps[0].estimate_ms = Millis(1000);
    let policy = &mut job.policy;
    (policy.priority, policy.stretch_milli, policy.slack_ms) = (priority, 3000, Millis::ZERO);
    job
}

fn level(priority: u32, seconds: u64, inflow: u64) -> Level {
    let mut in_time = vec![0; TURNS.len() + 1];
    in_time[2] = seconds * DRAIN;
    Level { priority, in_time, inflow }
}

fn outlook(levels: Vec<Level>) -> Outlook {
    Outlook { drain: DRAIN, levels, ..Outlook::default() }
}

#[gtest]
fn all_jobs_are_accepted_while_there_is_room() {
    expect_that!(Outlook::default().judge(&arriving(1, 2, 10)), ok(eq(())));
}

#[gtest]
fn a_job_is_accepted_while_it_can_end_within_three_objectives() {
    // It has 8 s until its latest start, of which four fifths of the expected one must be left.
    expect_that!(outlook(vec![level(1, 9, 0)]).judge(&arriving(1, 2, 1)), ok(eq(())));
    let refusal = outlook(vec![level(1, 11, 0)]).judge(&arriving(1, 2, 1));
    expect_that!(refusal, err(field!(Refusal.start, eq(Millis(11_000)))));
}

#[gtest]
fn less_urgent_work_does_not_keep_a_job_out() {
    let outlook = outlook(vec![level(0, 1, 0), level(3, 60, 0)]);
    expect_that!(outlook.judge(&arriving(1, 1, 1)), ok(eq(())));
    expect_that!(outlook.judge(&arriving(1, 4, 1)), err(anything()));
}

#[gtest]
fn more_urgent_arrivals_lengthen_the_wait_to_a_bound() {
    let outlook = |inflow| outlook(vec![level(0, 2, inflow)]);
    expect_that!(outlook(0).judge(&arriving(1, 1, 1)), ok(eq(())));
    // A flood may end, so a quarter of the workers counts as left.
    expect_that!(outlook(DRAIN * 3).judge(&arriving(1, 1, 1)), ok(eq(())));
    let four = Outlook { levels: vec![level(0, 4, DRAIN * 3)], ..outlook(0) };
    let refusal = four.judge(&arriving(1, 1, 1));
    expect_that!(refusal, err(field!(Refusal.start, eq(Millis(16_000)))));
}

#[gtest]
fn wide_and_narrow_jobs_are_judged_alike() {
    for seconds in 0..20 {
        let outlook = outlook(vec![level(1, seconds, 0)]);
        let judge = |count| outlook.judge(&arriving(7, 2, count));
        expect_that!(judge(1), eq(judge(100)));
    }
}

#[gtest]
fn the_more_urgent_return_first() {
    let outlook = outlook(vec![level(1, 30, 0), level(2, 0, 0), level(3, 0, 0)]);
    let retry = |id, priority| outlook.judge(&arriving(id, priority, 1)).unwrap_err().retry;
    for id in 1..50 {
        expect_that!(retry(id, 2), lt(retry(id + 50, 3)));
    }
    expect_that!(retry(1, 2), not(eq(retry(2, 2))));
    expect_that!(retry(1, 3), le(MAX_RETURN.times(3)));
}

#[gtest]
fn as_many_jobs_of_a_team_as_were_beyond_its_rate_are_refused_before_those_within() {
    let team = |name: &str| Name::try_from(name.to_owned()).unwrap();
    let outlook = Outlook {
        beyond: 30 * DRAIN,
        beyond_shares: vec![(team("hot"), 40)],
        ..outlook(vec![level(1, 1, 0)])
    };
    let refused = |name: &str| {
        let of_team = |id| {
            let mut job = arriving(id, 1, 1);
            job.policy.team = Some(team(name));
            job
        };
        (0..1000).filter(|id| outlook.judge(&of_team(*id)).is_err()).count()
    };
    expect_that!(refused("calm"), eq(0));
    expect_that!(refused("hot"), all![ge(350), le(450)]);
}

#[gtest]
fn the_summary_can_be_decoded_by_the_same_build() {
    let outlook = outlook(vec![level(1, 30, 5)]);
    let bytes = rmp_serde::to_vec(&outlook).unwrap();
    expect_that!(rmp_serde::from_slice::<Outlook>(&bytes).unwrap(), eq(&outlook));
}
