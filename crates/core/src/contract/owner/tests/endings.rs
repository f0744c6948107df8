//! Runs of jobs that have ended: cancelled, failed or completed. Their workers must stop them.

use super::*;

/// Returns the log of an owner under which both runs of job 1 execute on worker `a`.
fn log_with_two_runs() -> (Replica, Vec<Run>) {
    let mut world = World::new(&["a"], vec![job(1, vec![step(2, &[])])]);
    world.answer_polls();
    let runs = world.started();
    for run in &runs {
        world.answer_start(run, StartAnswer::Taken);
    }
    (world.replica, runs)
}

/// A job that is cancelled between two owners, or just before the earlier one ends.
#[gtest]
fn a_later_owner_stops_the_runs_of_a_job_that_was_cancelled_before_its_claim() {
    let (mut replica, runs) = log_with_two_runs();
    replica.apply(Entry::Cancelled(Id(1)), Millis(1_000_000));
    let mut world = World::taking_over(replica, &["a"]);
    world.settle();
    expect_that!(world.stops, elements_are![eq(&runs[0]), eq(&runs[1])]);
}

/// The worker is unknown to the later owner for a while, as after a long outage of the store.
#[gtest]
fn a_later_owner_stops_the_runs_of_a_cancelled_job_once_their_worker_is_listed() {
    let (mut replica, runs) = log_with_two_runs();
    replica.apply(Entry::Cancelled(Id(1)), Millis(1_000_000));
    let mut world = World::taking_over(replica, &[]);
    world.settle();
    expect_that!(world.stops, is_empty());
    world.list(&[worker_entry("a", 1)]);
    world.pass(LIMITS.retry.get());
    expect_that!(world.stops, elements_are![eq(&runs[0]), eq(&runs[1])]);
}

/// The earlier owner recorded a start before it read the cancellation, and ended.
#[gtest]
fn a_later_owner_stops_a_run_that_was_recorded_after_the_cancellation() {
    let mut replica = Replica::default();
    let now = Millis(1_000_000);
    replica.apply(Entry::Submitted(Box::new(job(1, vec![step(1, &[])]))), now);
    replica.apply(Entry::Cancelled(Id(1)), now);
    let task = crate::contract::work::Task {
        step_id: crate::contract::work::StepId { job: Id(1), occurrence: 0, step: 0 },
        index: 0,
    };
    let run = Run { task, number: 1 };
    let on = Incarnation { worker: "a".into(), born: 1 };
    replica.apply(Entry::Started { on, runs: vec![run] }, now);
    let mut world = World::taking_over(replica, &["a"]);
    world.settle();
    expect_that!(world.stops, elements_are![eq(&run)]);
}

/// A task that used up its attempts fails the job while its other tasks execute.
#[gtest]
fn a_later_owner_stops_the_runs_of_a_job_that_failed_before_its_claim() {
    let (mut replica, runs) = log_with_two_runs();
    let on = Incarnation { worker: "a".into(), born: 1 };
    let failed = |run| End { run, number: 1, outcome: Outcome::Failed, saved: "".into() };
    let attempts = replica.job(Id(1)).expect("a known job").job.policy.attempts;
    for number in 1..=attempts {
        let run = Run { number, ..runs[0] };
        replica.apply(Entry::Started { on: on.clone(), runs: vec![run] }, Millis(1_000_000));
        let ends = vec![End { number: number.into(), ..failed(run) }];
        replica.apply(Entry::Ended { on: on.clone(), ends }, Millis(1_000_000));
    }
    assert_that!(replica.job(Id(1)).expect("a known job").has_ended(), eq(true));
    let mut world = World::taking_over(replica, &["a"]);
    world.settle();
    expect_that!(world.stops, elements_are![eq(&runs[1])]);
}

fn cancel(world: &mut World, id: Id) {
    let applied = world.replica.apply(Entry::Cancelled(id), world.now);
    world.owner.entry_applied(applied, world.now);
    world.settle();
}

/// Regression: a stop that was acknowledged and not carried out was never repeated.
#[gtest]
fn a_run_that_is_listed_long_after_its_stop_was_acknowledged_is_stopped_again() {
    let mut world = World::new(&["a"], vec![job(1, vec![step(1, &[])])]);
    world.answer_polls();
    let run = world.started()[0];
    world.answer_start(&run, StartAnswer::Taken);
    cancel(&mut world, Id(1));
    world.answer_stop(&run, StopAnswer::Taken);
    for _ in 0..3 {
        world.pass(100);
        world.report(&[run], &[]);
    }
    expect_that!(world.stops, elements_are![eq(&run)]);
    world.pass(1500);
    world.report(&[run], &[]);
    expect_that!(world.stops, elements_are![eq(&run), eq(&run)]);
    world.answer_stop(&run, StopAnswer::Taken);
    world.pass(100);
    world.answer_polls();
    expect_that!(world.owner.run_count(), eq(0));
}

/// Stops that got no answer were logged with the reason of the last request.
#[gtest]
fn a_stop_keeps_the_reason_for_which_it_was_first_ordered() {
    let mut world = World::new(&["a"], vec![job(1, vec![step(1, &[])])]);
    world.answer_polls();
    let run = world.started()[0];
    world.answer_start(&run, StartAnswer::Taken);
    cancel(&mut world, Id(1));
    world.owner.stop(&run, StopReason::Gang, world.now);
    world.answer_stop(&run, StopAnswer::Unknown);
    world.now = world.now + LIMITS.retry;
    world.owner.tick(&world.replica, world.now, world.now);
    let reasons = world.owner.effects().into_iter().filter_map(|effect| match effect {
        Effect::Order(Order::Stop(stop)) => Some(stop.reason),
        _ => None,
    });
    expect_that!(reasons.collect::<Vec<_>>(), elements_are![eq(&StopReason::Over)]);
}
