//! Workers that restart under their names. The next incarnation accepts orders that were meant for the
//! one before.

use super::*;
use crate::contract::work::Status;

/// Reading of the next incarnation's clock, which has started anew.
const YOUNG_CLOCK: u64 = 20;

/// Returns a world in which worker `a` has one run in flight and `b` is idle and has not answered.
fn world_with_start() -> (World, Run) {
    let mut world = World::new(&["a"], vec![job(1, vec![step(1, &[])])]);
    world.answer_polls();
    let run = world.started()[0];
    (world, run)
}

/// Answers the start order as the next incarnation does, which is not listed yet.
fn accept_in_next(world: &mut World, run: &Run) {
    let on = Arc::clone(&world.starts[0].on);
    let (taken, clock) = (StartAnswer::Taken, Some(YOUNG_CLOCK));
    world.owner.start_answered(&on, run, taken, clock, &world.replica, world.now);
    world.settle();
}

/// Lists the next incarnation of `a`, and an idle worker.
fn list_next(world: &mut World) {
    world.list(&[worker_entry("a", 2), worker_entry("b", 1)]);
}

/// Answers the polls of `b`: nothing executes there.
fn answer_idle(world: &mut World) {
    let (idle, other): (Vec<Poll>, Vec<Poll>) =
        std::mem::take(&mut world.polls).into_iter().partition(|p| &*p.on.worker == "b");
    world.polls = idle;
    world.report(&[], &[]);
    world.polls.extend(other);
}

/// Answers the polls of `a` as an incarnation that lists these runs and ends.
fn report_as(world: &mut World, born: u64, running: &[Run], ends: &[End]) {
    let (own, other): (Vec<Poll>, Vec<Poll>) =
        std::mem::take(&mut world.polls).into_iter().partition(|p| &*p.on.worker == "a");
    let running: Vec<Progress> =
        running.iter().map(|run| Progress { run: *run, percent: 1 }).collect();
    for poll in own {
        let (running, ends) = (running.clone(), ends.to_vec());
        let report = Report {
            born: Some(born),
            clock: YOUNG_CLOCK + 1,
            running,
            ends,
            has_more_ends: false,
        };
        world.owner.poll_answered(&poll.on, poll.number, Ok(&report), &world.replica, world.now);
    }
    world.polls.extend(other);
    world.settle();
}

/// Regression: a run that the next incarnation had accepted was given up when the list showed that
/// incarnation, and the task ran twice.
#[gtest]
fn a_run_that_the_next_incarnation_has_accepted_does_not_start_again() {
    let (mut world, run) = world_with_start();
    accept_in_next(&mut world, &run);
    list_next(&mut world);
    answer_idle(&mut world);
    report_as(&mut world, 2, &[run], &[]);
    world.pass(400);
    report_as(&mut world, 2, &[run], &[]);
    expect_that!(world.starts, len(eq(1)));
    expect_that!(world.stops, is_empty());
    world.pass(400);
    let end = End { run, number: 1, outcome: Outcome::Done, saved: "".into() };
    report_as(&mut world, 2, &[], &[end]);
    world.pass(400);
    answer_idle(&mut world);
    expect_that!(world.starts, len(eq(1)));
    expect_that!(world.replica.status(Id(1)), some(eq(Status::Completed)));
}

/// As above, with a worker that was young when it last gave its clock: that of the next incarnation has
/// passed this reading meanwhile, and must not become the reference for the second run.
#[gtest]
fn the_clock_of_the_next_incarnation_does_not_become_that_of_the_present_one() {
    let mut world = World::new(&["a"], vec![]);
    report_as(&mut world, 1, &[], &[]);
    world.pass(60_000);
    let submitted = Entry::Submitted(Box::new(job(1, vec![step(2, &[])])));
    let applied = world.replica.apply(submitted, world.now);
    world.owner.entry_applied(applied, world.now);
    world.settle();
    for (start, clock) in world.starts.clone().iter().zip([30_000, 30_050]) {
        let World { owner, replica, now, .. } = &mut world;
        owner.start_answered(&start.on, &start.run, StartAnswer::Taken, Some(clock), replica, *now);
        world.pass(50);
    }
    list_next(&mut world);
    answer_idle(&mut world);
    expect_that!(world.starts, len(eq(2)));
}

/// As above, with a run that ends before the next incarnation is listed.
#[gtest]
fn the_end_of_a_run_in_an_unlisted_incarnation_is_recorded_once_it_is_listed() {
    let (mut world, run) = world_with_start();
    accept_in_next(&mut world, &run);
    let end = End { run, number: 1, outcome: Outcome::Done, saved: "".into() };
    for _ in 0..4 {
        world.pass(400);
        report_as(&mut world, 2, &[], std::slice::from_ref(&end));
    }
    list_next(&mut world);
    answer_idle(&mut world);
    report_as(&mut world, 2, &[], &[end]);
    world.pass(400);
    expect_that!(world.starts, len(eq(1)));
    expect_that!(world.replica.status(Id(1)), some(eq(Status::Completed)));
}

/// The numbers of ends start anew with each incarnation: an acknowledgement that is meant for the one
/// before would make the next one discard ends that are not recorded.
#[gtest]
fn ends_are_not_acknowledged_while_a_run_may_be_in_the_next_incarnation() {
    for (answer, is_own_clock, acknowledged) in [
        (StartAnswer::Taken, true, 7),
        (StartAnswer::Taken, false, 0),
        (StartAnswer::TakenOnRepeat, true, 7),
        (StartAnswer::Unknown, false, 0),
    ] {
        let (mut world, first) = world_with_start();
        world.answer_start(&first, StartAnswer::Taken);
        world.pass(50);
        let failed = End { run: first, number: 7, outcome: Outcome::Failed, saved: "".into() };
        world.report(&[], &[failed]);
        world.pass(100);
        world.report(&[], &[]);
        let second = world.starts.last().expect("a second start").clone();
        expect_that!(second.run.number, eq(2));
        let clock = if is_own_clock { world.now.get() } else { YOUNG_CLOCK };
        let World { owner, replica, now, .. } = &mut world;
        owner.start_answered(&second.on, &second.run, answer, Some(clock), replica, *now);
        world.polls.clear();
        world.owner.hosts[0].poll_in_flight = None;
        world.pass(2000);
        let poll = world.polls.last().expect("a poll");
        expect_that!(poll.recorded_end, eq(acknowledged), "{answer:?}");
        // Another incarnation has answered, so the numbers are of no use until it is listed.
        report_as(&mut world, 2, &[second.run], &[]);
        world.pass(2000);
        expect_that!(world.polls.last().expect("a poll").recorded_end, eq(0), "{answer:?}");
    }
}

/// A run that was given up in this way went on after its job was cancelled.
#[gtest]
fn a_run_in_the_next_incarnation_is_stopped_when_its_job_is_cancelled() {
    let (mut world, run) = world_with_start();
    accept_in_next(&mut world, &run);
    list_next(&mut world);
    report_as(&mut world, 2, &[run], &[]);
    world.replica.apply(Entry::Cancelled(Id(1)), world.now);
    world.owner.stop_job(Id(1), world.now);
    world.settle();
    expect_that!(world.stops, elements_are![eq(&run)]);
    expect_that!(world.stopped_on[0].born, eq(2));
}

#[gtest]
fn a_run_that_the_next_incarnation_does_not_list_starts_again() {
    let (mut world, run) = world_with_start();
    accept_in_next(&mut world, &run);
    list_next(&mut world);
    report_as(&mut world, 2, &[], &[]);
    world.pass(400);
    answer_idle(&mut world);
    expect_that!(world.started().last(), some(eq(&Run { number: 2, ..run })));
}

/// A stop that the next incarnation acknowledged takes time there.
#[gtest]
fn a_run_that_is_stopped_in_the_next_incarnation_is_over_when_it_is_no_longer_listed() {
    let (mut world, run) = world_with_start();
    accept_in_next(&mut world, &run);
    world.owner.stop(&run, StopReason::Hung, world.now);
    world.settle();
    world.answer_stop(&run, StopAnswer::Taken);
    list_next(&mut world);
    answer_idle(&mut world);
    report_as(&mut world, 2, &[run], &[]);
    world.pass(100);
    expect_that!(world.starts, len(eq(1)));
    world.answer_stop(&run, StopAnswer::Taken);
    // The first of these polls was sent before the stop was acknowledged.
    for _ in 0..2 {
        world.pass(100);
        report_as(&mut world, 2, &[], &[]);
    }
    world.pass(100);
    answer_idle(&mut world);
    expect_that!(world.started().last(), some(eq(&Run { number: 2, ..run })));
}

/// The next incarnation takes the end of a lease on the clock of the one before for a time far ahead,
/// and shortens it to the longest lease that it grants.
#[gtest]
fn a_run_in_a_silent_next_incarnation_starts_elsewhere_after_the_longest_lease() {
    let (mut world, run) = world_with_start();
    world.owner.earlier_leases_expire_at = world.now;
    accept_in_next(&mut world, &run);
    list_next(&mut world);
    answer_idle(&mut world);
    let since = world.now;
    while world.starts.len() == 1 && world.now.since(since) < Millis::from_secs(60) {
        world.pass(100);
        answer_idle(&mut world);
    }
    expect_that!(world.started().last(), some(eq(&Run { number: 2, ..run })));
    expect_that!(world.now.since(since), all![ge(LIMITS.max_lease), le(Millis(12_000))]);
}

/// As above, with a worker that goes silent after its first answer.
#[gtest]
fn the_longest_lease_counts_after_the_first_answer_too() {
    let (mut world, run) = world_with_start();
    accept_in_next(&mut world, &run);
    list_next(&mut world);
    report_as(&mut world, 2, &[run], &[]);
    let since = world.now;
    while world.starts.len() == 1 && world.now.since(since) < Millis::from_secs(60) {
        world.pass(100);
        answer_idle(&mut world);
        for poll in std::mem::take(&mut world.polls) {
            let answer = Err(PollError::NoAnswer);
            world.owner.poll_answered(&poll.on, poll.number, answer, &world.replica, world.now);
        }
    }
    expect_that!(world.started().last(), some(eq(&Run { number: 2, ..run })));
    expect_that!(world.now.since(since), ge(LIMITS.max_lease));
}

/// An order without answer can be carried out seconds later, also after its repetition was accepted.
#[gtest]
fn a_run_whose_order_was_repeated_is_stopped_in_the_next_incarnation() {
    let (mut world, run) = world_with_start();
    world.answer_start(&run, StartAnswer::TakenOnRepeat);
    world.pass(50);
    world.report(&[run], &[]);
    list_next(&mut world);
    answer_idle(&mut world);
    report_as(&mut world, 2, &[], &[]);
    expect_that!(world.starts, len(eq(1)));
    expect_that!(world.stops, elements_are![eq(&run)]);
    expect_that!(world.stopped_on[0].born, eq(2));
    world.answer_stop(&run, StopAnswer::Taken);
    world.pass(100);
    report_as(&mut world, 2, &[], &[]);
    world.pass(100);
    answer_idle(&mut world);
    expect_that!(world.started().last(), some(eq(&Run { number: 2, ..run })));
}

/// The log names the incarnation that a start was meant for, not the one that accepted it.
#[gtest]
fn a_later_owner_keeps_a_run_that_the_next_incarnation_has_accepted() {
    let (first, run) = world_with_start();
    let mut world = World::taking_over(first.replica, &[]);
    list_next(&mut world);
    answer_idle(&mut world);
    report_as(&mut world, 2, &[run], &[]);
    world.pass(400);
    expect_that!(world.starts, is_empty());
    expect_that!(world.stops, is_empty());
    world.pass(400);
    report_as(&mut world, 2, &[run], &[]);
    expect_that!(world.owner.run_count(), eq(1));
}

/// Regression: the runs of a worker that left the list in its next incarnation were given up at once.
#[gtest]
fn a_run_in_an_unlisted_next_incarnation_waits_for_the_longest_lease() {
    let (mut world, run) = world_with_start();
    world.owner.earlier_leases_expire_at = world.now;
    accept_in_next(&mut world, &run);
    list_next(&mut world);
    answer_idle(&mut world);
    world.list(&[worker_entry("b", 1)]);
    world.pass(LIMITS.max_lease.get());
    answer_idle(&mut world);
    expect_that!(world.starts, len(eq(1)));
    world.pass(1000);
    answer_idle(&mut world);
    expect_that!(world.started().last(), some(eq(&Run { number: 2, ..run })));
}

/// Regression: an order that was carried out after its stop was acknowledged, in the incarnation after
/// the one that acknowledged it, was never seen: no worker without known runs was polled.
#[gtest]
fn a_late_order_that_the_incarnation_after_its_stop_carries_out_is_stopped() {
    let (mut world, run) = world_with_start();
    let applied = world.replica.apply(Entry::Cancelled(Id(1)), world.now);
    world.owner.entry_applied(applied, world.now);
    world.answer_start(&run, StartAnswer::Unknown);
    world.answer_stop(&run, StopAnswer::Taken);
    world.answer_polls();
    expect_that!(world.owner.run_count(), eq(0));
    world.list(&[worker_entry("a", 2)]);
    report_as(&mut world, 2, &[], &[]);
    world.pass(2000);
    report_as(&mut world, 2, &[run], &[]);
    let on = Incarnation { worker: "a".into(), born: 2 };
    expect_that!(world.stops, elements_are![eq(&run), eq(&run)]);
    expect_that!(world.stopped_on.last().map(|on| &**on), some(eq(&on)));
}

/// As above, with an order whose run moved to the next incarnation before the answer was due.
#[gtest]
fn a_late_order_of_a_moved_run_that_the_incarnation_after_carries_out_is_stopped() {
    let (mut world, run) = world_with_start();
    let applied = world.replica.apply(Entry::Cancelled(Id(1)), world.now);
    world.owner.entry_applied(applied, world.now);
    world.list(&[worker_entry("a", 2)]);
    report_as(&mut world, 2, &[], &[]);
    expect_that!(world.stops, elements_are![eq(&run)]);
    world.answer_stop(&run, StopAnswer::Taken);
    for _ in 0..2 {
        world.pass(100);
        report_as(&mut world, 2, &[], &[]);
    }
    expect_that!(world.owner.run_count(), eq(0));
    world.list(&[worker_entry("a", 3)]);
    report_as(&mut world, 3, &[], &[]);
    world.pass(2000);
    report_as(&mut world, 3, &[run], &[]);
    expect_that!(world.stops, elements_are![eq(&run), eq(&run)]);
    expect_that!(world.stopped_on.last().map(|on| on.born), some(eq(3)));
}
