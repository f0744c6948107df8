//! Tests that the work of the owner depends on what has changed, not on the size of the fleet or of
//! the backlog.

use super::*;
use crate::contract::owner::Effort;

/// Names of workers, in order.
fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("worker-{i:03}")).collect()
}

/// Returns the work since `before`.
fn since(world: &World, before: Effort) -> Effort {
    let Effort { steps, hosts, runs, overtaking, over_quota } = world.owner.effort();
    Effort {
        steps: steps - before.steps,
        hosts: hosts - before.hosts,
        runs: runs - before.runs,
        overtaking: overtaking - before.overtaking,
        over_quota: over_quota - before.over_quota,
    }
}

/// Returns a world with as many workers, full with runs that were accepted.
fn full(workers: usize, waiting: Vec<Job>) -> World {
    let names = names(workers);
    let names: Vec<&str> = names.iter().map(|n| &**n).collect();
    let tasks = u32::try_from(4 * workers).unwrap();
    let mut world = World::new(&names, vec![job(1, vec![step(tasks, &[])])]);
    world.answer_polls();
    while world.started().len() < 4 * workers {
        world.pass(20);
    }
    for start in std::mem::take(&mut world.starts) {
        let (on, now) = (&start.on, world.now);
        let (answer, clock) = (StartAnswer::Taken, Some(now.get()));
        world.owner.start_answered(on, &start.run, answer, clock, &world.replica, now);
    }
    for job in waiting {
        let change = world.replica.apply(Entry::Submitted(Box::new(job)), world.now);
        world.owner.entry_applied(change, world.now);
    }
    world
}

#[gtest]
fn a_tick_without_due_stops_examines_no_run() {
    let mut world = full(100, vec![]);
    let before = world.owner.effort();
    world.pass(20);
    expect_that!(since(&world, before).runs, eq(0));
}

#[gtest]
fn a_poll_answer_examines_the_runs_of_its_worker_only() {
    let mut world = full(100, vec![]);
    world.pass(100);
    let poll = world.polls.pop().expect("a poll");
    let before = world.owner.effort();
    let report = Report { born: Some(1), clock: world.now.get(), ..Report::default() };
    world.owner.poll_answered(&poll.on, poll.number, Ok(&report), &world.replica, world.now);
    expect_that!(since(&world, before).runs, all![gt(0), le(4)]);
}

#[gtest]
fn a_stop_order_without_answer_is_repeated_when_it_is_due_only() {
    let mut world = full(10, vec![]);
    let change = world.replica.apply(Entry::Cancelled(Id(1)), world.now);
    world.owner.entry_applied(change, world.now);
    world.settle();
    expect_that!(world.stops, len(eq(40)));
    let first = world.stops[0];
    world.answer_stop(&first, StopAnswer::Unknown);
    world.pass(240);
    expect_that!(world.stops, len(eq(40)));
    world.pass(20);
    expect_that!(world.stops, len(eq(41)));
    expect_that!(world.stops[40], eq(first));
}

/// Regression: with a backlog, each pass considered every worker for every waiting step. At 350
/// workers and 2,860 open steps a pass took 364 ms, and starts fell from 900 to 150 a second (Andino
/// grown quiet-1).
#[gtest]
fn a_pass_over_a_full_fleet_examines_few_workers_whatever_the_backlog() {
    let kinds: [fn(u64) -> Job; 4] = [
        |id| job(id, vec![step(4, &[])]),
        |id| job(id, vec![gang(4)]),
        |id| advised_job(id, vec![step(4, &[])]),
        |id| advised_job(id, vec![gang(4)]),
    ];
    for kind in kinds {
        let mut world = full(100, (2..3002).map(kind).collect());
        world.owner.queries_mut().set_relays(&["me".into(), "peer".into()]);
        world.pass(20);
        let before = world.owner.effort();
        world.owner.is_dirty = true;
        world.pass(20);
        let effort = since(&world, before);
        expect_that!(effort.steps, le(100), "{effort:?}");
        expect_that!(effort.hosts, le(2000), "{effort:?}");
    }
}

/// A pass after one end considers the worker with the room for few of the waiting steps.
#[gtest]
fn the_room_of_one_end_is_filled_without_a_search_over_the_backlog() {
    let mut world = full(100, (2..3002).map(|id| job(id, vec![step(4, &[])])).collect());
    world.pass(100);
    let poll = world.polls.pop().expect("a poll");
    let host = world.owner.hosts.iter().find(|h| *h.incarnation == *poll.on).expect("a host");
    let (run, others) = host.runs.split_first().expect("a run");
    let running = others.iter().map(|run| Progress { run: *run, percent: 1 }).collect();
    let end = End { run: *run, number: 1, outcome: Outcome::Done, saved: "".into() };
    let (clock, ends) = (world.now.get(), vec![end]);
    let report = Report { born: Some(1), clock, running, ends, has_more_ends: false };
    let before = world.owner.effort();
    let now = world.now;
    world.owner.poll_answered(&poll.on, poll.number, Ok(&report), &world.replica, now);
    world.settle();
    let effort = since(&world, before);
    expect_that!(world.starts, len(eq(1)));
    expect_that!(effort.steps, le(100), "{effort:?}");
    expect_that!(effort.hosts, le(2000), "{effort:?}");
}

/// A step whose last waiting task is completed by a late end must not be queried about any more.
#[gtest]
fn a_late_end_of_a_lost_run_leaves_no_task_to_place() {
    let mut world = World::new(&["a"], vec![advised_job(1, vec![step(2, &[])])]);
    world.owner.queries_mut().set_relays(&["me".into()]);
    world.answer_polls();
    world.advise();
    let runs = world.started();
    expect_that!(runs, len(eq(2)));
    runs.iter().for_each(|run| world.answer_start(run, StartAnswer::Taken));
    world.polls.clear();
    world.owner.hosts.iter_mut().for_each(|h| h.poll_in_flight = None);
    world.owner.hosts.iter_mut().for_each(|h| h.entry.draining = true);
    world.pass(100);
    // The worker lists one run only, so that the other one is lost.
    world.report(&runs[..1], &[]);
    expect_that!(world.owner.backlog.candidate(0).startable, eq(1));
    let end = End { run: runs[1], number: 1, outcome: Outcome::Done, saved: "".into() };
    world.pass(2000);
    world.report(&runs[..1], &[end]);
    expect_that!(world.owner.backlog.candidate(0).startable, eq(0));
}
