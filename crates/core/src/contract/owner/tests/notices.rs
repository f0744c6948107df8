//! What the owner tells for the log about runs of ended jobs.

use super::*;
use crate::contract::owner::{Leftover, Tally};

/// Cancels job 1 as another daemon's entry does.
fn cancel(world: &mut World) {
    let change = world.replica.apply(Entry::Cancelled(Id(1)), world.now);
    world.owner.entry_applied(change, world.now);
    world.settle();
}

/// Returns a world in which worker `a` executes a run of job 1.
fn world_with_run() -> (World, Run) {
    let mut world = World::new(&["a"], vec![job(1, vec![step(1, &[])])]);
    world.answer_polls();
    let run = world.started()[0];
    world.answer_start(&run, StartAnswer::Taken);
    (world, run)
}

fn over(open: Tally, is_recovered: bool) -> Notice {
    Notice::Over { job: Id(1), open, is_recovered }
}

#[gtest]
fn the_end_of_a_cancelled_job_is_told_once_with_the_phases_that_its_runs_were_in() {
    let mut world = World::new(&["a"], vec![job(1, vec![step(3, &[])])]);
    world.answer_polls();
    let runs = world.started();
    world.answer_start(&runs[0], StartAnswer::Taken);
    world.answer_start(&runs[1], StartAnswer::Unknown);
    cancel(&mut world);
    let open = Tally { working: 1, stopping: 1, ordered: 1, unstopped: 2, ..Tally::default() };
    expect_that!(world.notices, elements_are![eq(&over(open, false))]);
    expect_that!(open.total(), eq(3));
    // The end of a run of the job tells it no second time.
    let end = End { run: runs[0], number: 1, outcome: Outcome::Stopped, saved: "".into() };
    world.pass(100);
    world.report(&[], &[end]);
    expect_that!(world.notices, len(eq(1)));
}

#[gtest]
fn a_cancellation_is_told_also_if_the_job_has_no_runs() {
    let mut world = World::new(&[], vec![job(1, vec![step(1, &[])])]);
    cancel(&mut world);
    expect_that!(world.notices, elements_are![eq(&over(Tally::default(), false))]);
}

#[gtest]
fn the_end_of_a_failed_job_is_told_with_the_runs_that_are_not_being_stopped() {
    let mut job = job(1, vec![step(2, &[])]);
    job.policy.attempts = 1;
    let mut world = World::new(&["a"], vec![job]);
    world.answer_polls();
    let runs = world.started();
    runs.iter().for_each(|run| world.answer_start(run, StartAnswer::Taken));
    world.pass(100);
    let end = End { run: runs[0], number: 1, outcome: Outcome::Failed, saved: "".into() };
    world.report(&[runs[1]], &[end]);
    let told = |open| over(open, false);
    let before = Tally { working: 1, unstopped: 1, ..Tally::default() };
    let after = Tally { stopping: 1, ..Tally::default() };
    expect_that!(world.notices, elements_are![eq(&told(before)), eq(&told(after))]);
}

#[gtest]
fn runs_of_an_ended_job_are_told_at_a_takeover() {
    let (mut world, _) = world_with_run();
    world.replica.apply(Entry::Cancelled(Id(1)), world.now);
    let world = World::taking_over(world.replica.clone(), &["a"]);
    let open = Tally { working: 1, unstopped: 1, ..Tally::default() };
    expect_that!(world.notices.first(), some(eq(&over(open, true))));
}

#[gtest]
fn runs_of_a_job_that_goes_on_are_not_told_at_a_takeover() {
    let (world, _) = world_with_run();
    let world = World::taking_over(world.replica.clone(), &["a"]);
    expect_that!(world.notices, is_empty());
}

#[gtest]
fn a_stop_order_says_when_the_first_one_was_decided() {
    let (mut world, run) = world_with_run();
    let since = world.now;
    cancel(&mut world);
    world.answer_stop(&run, StopAnswer::Unknown);
    world.now = world.now + LIMITS.retry;
    world.owner.tick(&world.replica, world.now, world.now);
    let stops = world.owner.effects().into_iter().filter_map(|effect| match effect {
        Effect::Order(Order::Stop(stop)) => Some(stop.since),
        _ => None,
    });
    expect_that!(stops.collect::<Vec<_>>(), elements_are![eq(&since)]);
}

#[gtest]
fn a_run_that_is_listed_long_after_its_stop_was_acknowledged_is_told_once() {
    let (mut world, run) = world_with_run();
    cancel(&mut world);
    world.answer_stop(&run, StopAnswer::Taken);
    world.notices.clear();
    for _ in 0..3 {
        world.pass(400);
        world.report(&[run], &[]);
    }
    expect_that!(world.notices, is_empty());
    for _ in 0..3 {
        world.pass(400);
        world.report(&[run], &[]);
    }
    let on = Arc::clone(&world.stopped_on[0]);
    expect_that!(world.notices, elements_are![eq(&Notice::Unstopped(run, on, Millis(1600)))]);
}

#[gtest]
fn a_listed_run_that_the_owner_does_not_know_is_told_once() {
    let (mut world, run) = world_with_run();
    let unknown = Run { number: 7, ..run };
    for _ in 0..3 {
        world.pass(400);
        world.report(&[run, unknown], &[]);
    }
    let on = Arc::clone(&world.stopped_on[0]);
    expect_that!(world.notices, elements_are![eq(&Notice::Unknown(unknown, on))]);
}

#[gtest]
fn runs_of_ended_jobs_count_until_their_ends_are_known() {
    let (mut world, run) = world_with_run();
    let leftover = |world: &World| world.owner.leftover(&world.replica, world.now);
    expect_that!(leftover(&world), eq(Leftover::default()));
    cancel(&mut world);
    world.answer_stop(&run, StopAnswer::Taken);
    world.pass(300);
    expect_that!(leftover(&world), eq(Leftover { runs: 1, oldest: Millis(300) }));
    let end = End { run, number: 1, outcome: Outcome::Stopped, saved: "".into() };
    world.report(&[], &[end]);
    expect_that!(leftover(&world), eq(Leftover::default()));
}
