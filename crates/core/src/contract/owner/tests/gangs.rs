//! Gangs that need tickets, on a fleet of 350 workers in simulated time.

use super::fleet::{Fleet, Site};
use super::*;

/// A grown site with an advisor that allows 30 % of the workers.
const SITE: Site = Site { workers: 350, relays: 29, near: 29, allowed_percent: |_| 30 };
/// An advisor that takes most of a ticket's validity to answer.
const SLOW_ADVISOR: AdvisorTiming =
    AdvisorTiming { answer_us: 559_000, worker_us: 8_060, valid_ms: Millis(1500) };

/// Returns a gang that needs tickets and runs for `runs` once it starts.
fn wide_gang(id: u64, count: u64, cpu_milli: u64, runs: Millis) -> Job {
    let needs = Capacity::new(cpu_milli, 16_496, 0);
    let mut job =
        job(id, vec![Step { needs, estimate_ms: runs, ..gang(u32::try_from(count).unwrap()) }]);
    job.policy.advisor_timing = Some(SLOW_ADVISOR);
    job
}

/// Returns a small gang of a queue of higher priority, with an advisor that answers quickly.
fn lookup(id: u64, count: u64) -> Job {
    let mut job = wide_gang(id, count, 4000, Millis(700));
    let timing = AdvisorTiming { answer_us: 9_000, worker_us: 130, ..SLOW_ADVISOR };
    job.policy.advisor_timing = Some(timing);
    (job.policy.queue, job.policy.priority) = ("lookups".into(), 0);
    job
}

#[gtest]
fn a_wide_gang_starts_on_an_idle_fleet() {
    let mut fleet = Fleet::new(SITE);
    fleet.submit(wide_gang(1, 52, 8300, Millis(5000)));
    fleet.pass(Millis::from_secs(5));
    expect_that!(fleet.waited(1), some(le(Millis::from_secs(5))));
}

#[gtest]
fn wide_gangs_that_wait_together_do_not_block_each_other() {
    let mut fleet = Fleet::new(SITE);
    // About 40 percent of the fleet's processor time.
    (1..=16).for_each(|id| fleet.submit(wide_gang(id, 20 + 2 * id, 8300, Millis(20_000))));
    fleet.pass(Millis::from_secs(8));
    expect_that!(fleet.waiting(1..=16), is_empty());
}

/// Regression: at most 16 gangs gathered room, however large the fleet, and the rest of it went to
/// single tasks of lower priority.
#[gtest]
fn gangs_within_their_share_of_the_fleet_are_not_crowded_out_on_a_large_fleet() {
    let mut fleet = Fleet::new(SITE);
    let single = |id| {
        let mut job = wide_gang(id, 60, 8000, Millis(6000));
        job.steps[0].gang = false;
        (job.policy.queue, job.policy.priority) = ("batches".into(), 2);
        job
    };
    (1..=60).for_each(|id| fleet.submit(single(id)));
    fleet.pass(Millis::from_secs(3));
    // A quarter of the fleet's processor time.
    (101..=124).for_each(|id| fleet.submit(wide_gang(id, 4, 30_000, Millis(5000))));
    for id in 201..=280 {
        fleet.submit(single(id));
        fleet.pass(Millis(100));
    }
    expect_that!(fleet.waiting(101..=124), is_empty());
    let waited = fleet.owner.waited();
    let crowded = waited.iter().map(|waited| waited.wait.crowded).max();
    expect_that!(crowded, some(eq(Millis::ZERO)));
    expect_that!(fleet.owner.effort().overtaking, eq(0));
}

/// Regression: the gangs of a backlog blocked each other's workers while they renewed tickets for
/// other ones, and some had not started 17 s after the end of the traffic on a fleet that was mostly
/// idle (Lifebuoy grown scale-1: LOST 35).
#[gtest]
fn wide_gangs_of_a_backlog_start_in_a_bounded_time() {
    let mut fleet = Fleet::new(SITE);
    // The work of 10 s of the whole fleet.
    (1..=80).for_each(|id| fleet.submit(wide_gang(id, 20 + id % 30, 8300, Millis(5000))));
    fleet.pass(Millis::from_secs(20));
    expect_that!(fleet.waiting(1..=80), is_empty());
    // Each gang needs one query for its workers, and about one to renew their tickets.
    expect_that!(fleet.queries_sent(1..=80), le(80 * 4));
}

#[gtest]
fn wide_gangs_start_after_the_traffic_of_small_gangs_has_ended() {
    let mut fleet = Fleet::new(SITE);
    (1..=50).for_each(|id| fleet.submit(wide_gang(id, 20 + id % 30, 8300, Millis(5000))));
    for id in 0..1000 {
        fleet.submit(lookup(1000 + id, 1 + id % 6));
        if id % 4 == 3 {
            fleet.tick();
        }
    }
    fleet.pass(Millis::from_secs(9));
    expect_that!(fleet.waiting(1..=50), is_empty());
}

/// Regression: a gang reserved other workers than those whose tickets it renewed, so that the room
/// was gone when the answer arrived.
#[gtest]
fn a_gang_keeps_its_room_while_its_tickets_are_renewed() {
    let mut advised = advised_job(1, vec![gang(8)]);
    advised.policy.slack_ms = Millis::from_secs(60);
    let mut world = World::new(&["a", "b", "c", "d"], vec![advised]);
    world.owner.queries_mut().set_relays(&["me".into()]);
    world.answer_polls();
    world.owner.hosts.iter_mut().for_each(|h| h.used = h.entry.capacity);
    world.advise();
    world.pass(2000);
    world.owner.hosts.iter_mut().for_each(|h| h.used = Capacity::ZERO);
    world.owner.is_dirty = true;
    world.settle();
    expect_that!(world.asks, len(eq(1)));
    // Less urgent work that fits beside the gang arrives before the answer.
    let mut other = job(2, vec![step(8, &[])]);
    other.policy.priority = 2;
    world.replica.apply(Entry::Submitted(Box::new(other)), world.now);
    world.owner.is_dirty = true;
    world.settle();
    expect_that!(world.starts, len(eq(8)));
    world.advise();
    expect_that!(world.starts, len(eq(16)));
    expect_that!(world.started()[8].task.step_id.job, eq(Id(1)));
}

/// Regression: a gang whose workers a gang of higher rank kept renewed their tickets every 20 ms,
/// and could not use one of them (Lifebuoy grown scale-1: 47 queries of one gang in 5 s).
#[gtest]
fn a_gang_does_not_renew_tickets_of_workers_that_another_gang_keeps() {
    let mut urgent = advised_job(1, vec![gang(12)]);
    urgent.policy.priority = 0;
    let jobs = vec![urgent, advised_job(2, vec![gang(4)])];
    let mut world = World::new(&["a", "b", "c", "d"], jobs);
    world.owner.queries_mut().set_relays(&["me".into(), "peer".into()]);
    world.answer_polls();
    expect_that!(world.asks, len(eq(2)));
    world.owner.hosts.iter_mut().for_each(|h| h.used = h.entry.capacity);
    world.advise();
    // Two workers have room again: enough for the second gang alone.
    world.pass(2000);
    world.owner.hosts[..2].iter_mut().for_each(|h| h.used = Capacity::ZERO);
    world.owner.is_dirty = true;
    world.settle();
    expect_that!(world.asks, is_empty());
    expect_that!(world.starts, is_empty());
}

/// Regression: as above, with a task instead of the second gang.
#[gtest]
fn a_task_does_not_renew_tickets_of_workers_that_a_gang_keeps() {
    let mut urgent = advised_job(1, vec![gang(12)]);
    urgent.policy.priority = 0;
    let jobs = vec![urgent, advised_job(2, vec![step(1, &[])])];
    let mut world = World::new(&["a", "b", "c", "d"], jobs);
    world.owner.queries_mut().set_relays(&["me".into(), "peer".into()]);
    world.answer_polls();
    expect_that!(world.asks, len(eq(2)));
    world.owner.hosts.iter_mut().for_each(|h| h.used = h.entry.capacity);
    world.advise();
    world.pass(2000);
    world.owner.hosts[..2].iter_mut().for_each(|h| h.used = Capacity::ZERO);
    world.owner.is_dirty = true;
    world.settle();
    expect_that!(world.asks, is_empty());
    expect_that!(world.starts, is_empty());
}

/// Regression: gangs that asked at the same time all named the same workers, so that only one could
/// start on them.
#[gtest]
fn gangs_that_ask_together_name_different_workers() {
    let mut fleet = Fleet::new(SITE);
    (1..=2).for_each(|id| fleet.submit(wide_gang(id, 30, 8300, Millis(5000))));
    fleet.tick();
    // A round may consist of several queries.
    let named = [1, 2].map(|job| {
        let queries = fleet.queries.iter().filter(|(_, q)| q.step_id.job == Id(job));
        queries.flat_map(|(_, q)| &q.workers).collect::<Vec<_>>()
    });
    expect_that!(named.iter().all(|n| !n.is_empty()), eq(true));
    let common = named[0].iter().filter(|w| named[1].contains(w)).count();
    expect_that!(common, lt(named[0].len() / 2));
}

/// Ends one run on each worker that has any. The workers list the others as in progress.
fn end_one_on_each(world: &mut World, number: u64) {
    for poll in std::mem::take(&mut world.polls) {
        let host = world.owner.hosts.iter().find(|h| *h.incarnation == *poll.on).expect("a host");
        let Some((run, others)) = host.runs.split_first() else { continue };
        let running = others.iter().map(|run| Progress { run: *run, percent: 1 }).collect();
        let end = End { run: *run, number, outcome: Outcome::Done, saved: "".into() };
        let (clock, ends) = (world.now.get(), vec![end]);
        let report = Report { born: Some(1), clock, running, ends, has_more_ends: false };
        world.owner.poll_answered(&poll.on, poll.number, Ok(&report), &world.replica, world.now);
    }
    world.settle();
}

/// Accepts every start order that has not been answered.
fn accept_starts(world: &mut World) {
    for run in world.started() {
        world.answer_start(&run, StartAnswer::Taken);
    }
}

/// Regression: single tasks of lower priority took each piece of room as it became free, so that
/// gangs started only on workers that had become empty (large trouble-1: half of the gangs handed in
/// from 8 to 16 s waited for 10 s and more).
#[gtest]
fn a_gang_gathers_the_room_of_runs_that_end_one_by_one() {
    let mut world = World::new(&["a", "b", "c", "d"], vec![job(1, vec![step(40, &[])])]);
    world.answer_polls();
    expect_that!(world.starts, len(eq(16)));
    accept_starts(&mut world);
    let mut urgent = job(2, vec![gang(8)]);
    urgent.policy.priority = 0;
    let change = world.replica.apply(Entry::Submitted(Box::new(urgent)), world.now);
    world.owner.entry_applied(change, world.now);
    world.pass(100);
    for number in 1..=2 {
        expect_that!(world.starts, len(eq(16)), "no task takes the room before {number}");
        end_one_on_each(&mut world, number);
        world.pass(2000);
    }
    let started = world.started();
    expect_that!(started[16..24].iter().all(|r| r.task.step_id.job == Id(2)), eq(true));
}

/// The tickets of a gang that gathers room are renewed before they expire, so that it starts with the
/// last end.
#[gtest]
fn a_gang_that_gathers_room_has_valid_tickets_when_it_has_the_room() {
    let mut world = World::new(&["a", "b"], vec![job(1, vec![step(40, &[])])]);
    world.owner.queries_mut().set_relays(&["me".into(), "peer".into()]);
    world.answer_polls();
    accept_starts(&mut world);
    let mut urgent = advised_job(2, vec![gang(4)]);
    (urgent.policy.priority, urgent.policy.slack_ms) = (0, Millis::from_secs(60));
    let change = world.replica.apply(Entry::Submitted(Box::new(urgent)), world.now);
    world.owner.entry_applied(change, world.now);
    world.pass(100);
    world.advise();
    end_one_on_each(&mut world, 1);
    // The tickets are valid for 1.5 s.
    for _ in 0..20 {
        world.pass(200);
        world.advise();
    }
    expect_that!(world.starts, len(eq(8)));
    end_one_on_each(&mut world, 2);
    expect_that!(world.starts, len(eq(12)));
    expect_that!(world.started()[8..].iter().all(|r| r.task.step_id.job == Id(2)), eq(true));
}

/// Returns the log of an owner under which both members of a gang execute on worker `a`.
fn log_with_gang() -> (Replica, Vec<Run>) {
    let mut world = World::new(&["a"], vec![job(1, vec![gang(2)])]);
    world.answer_polls();
    let runs = world.started();
    for run in &runs {
        world.answer_start(run, StartAnswer::Taken);
    }
    (world.replica, runs)
}

/// Regression: the members of a gang that lost one between two owners went on and kept their room.
#[gtest]
fn a_later_owner_stops_a_gang_of_which_a_member_ended_before_its_claim() {
    let (mut replica, runs) = log_with_gang();
    let end = End { run: runs[0], number: 1, outcome: Outcome::Failed, saved: "".into() };
    let on = Incarnation { worker: "a".into(), born: 1 };
    replica.apply(Entry::Ended { on, ends: vec![end] }, Millis(1_000_000));
    let mut world = World::taking_over(replica, &["a"]);
    world.report(&runs[1..], &[]);
    expect_that!(world.stops, elements_are![eq(&runs[1])]);
    world.answer_stop(&runs[1], StopAnswer::Taken);
    world.pass(100);
    world.answer_polls();
    expect_that!(world.starts, len(eq(2)));
}

/// Regression: as above, with an owner that ended before the starts of all members were recorded.
#[gtest]
fn a_later_owner_stops_a_gang_of_which_not_all_starts_were_recorded() {
    let (_, runs) = log_with_gang();
    let (mut replica, now) = (Replica::default(), Millis(1_000_000));
    replica.apply(Entry::Submitted(Box::new(job(1, vec![gang(2)]))), now);
    let on = Incarnation { worker: "a".into(), born: 1 };
    replica.apply(Entry::Started { on, runs: vec![runs[0]] }, now);
    let mut world = World::taking_over(replica, &["a"]);
    world.report(&runs[..1], &[]);
    expect_that!(world.stops, elements_are![eq(&runs[0])]);
}

/// Regression: a gang whose members ended with a restarted worker went on at the others.
#[gtest]
fn a_gang_of_which_members_ended_with_their_worker_is_stopped_at_the_others() {
    let mut world = World::new(&["a", "b"], vec![job(1, vec![gang(6)])]);
    world.answer_polls();
    for run in world.started() {
        world.answer_start(&run, StartAnswer::Taken);
    }
    let there = |start: &&Start| &*start.on.worker == "b";
    let on_b: Vec<Run> = world.starts.iter().filter(there).map(|s| s.run).collect();
    world.polls.clear();
    world.list(&[worker_entry("a", 2), worker_entry("b", 1)]);
    let poll = world.polls.iter().find(|p| &*p.on.worker == "a").expect("a poll").clone();
    let report = Report { born: Some(2), clock: 20, ..Report::default() };
    world.owner.poll_answered(&poll.on, poll.number, Ok(&report), &world.replica, world.now);
    world.pass(100);
    expect_that!(world.stops, not(is_empty()));
    expect_that!(world.stops, eq(&on_b));
}
