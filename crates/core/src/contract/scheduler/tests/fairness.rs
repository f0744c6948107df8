//! Shares of classes, weights of teams, and refusal of floods.

use super::*;

fn count(placed: &[String], prefix: &str) -> usize {
    placed.iter().filter(|id| id.starts_with(prefix)).count()
}

#[gtest]
fn teams_share_a_class_however_long_their_queues() {
    let mut bench = Bench::new(10, 2);
    bench.submit(&bench.job("a", "batch", 500, CORE));
    let mut other = bench.job("b", "batch", 50, CORE);
    other.team = name("b");
    bench.submit(&other);
    let placed = bench.settle(4);
    expect_that!(placed.len(), eq(20));
    expect_that!(count(&placed, "b/"), eq(10));
}

#[gtest]
fn an_urgent_flood_leaves_the_other_classes_their_shares() {
    let mut bench = Bench::new(10, 10);
    bench.submit(&bench.job("u", "urgent", 500, CORE));
    bench.submit(&bench.job("n", "batch", 500, CORE));
    bench.submit(&bench.job("l", "later", 500, CORE));
    let placed = bench.settle(10);
    expect_that!(count(&placed, "n/"), ge(40));
    expect_that!(count(&placed, "l/"), ge(10));
    expect_that!(count(&placed, "u/"), ge(30));
    expect_that!(placed.len(), eq(100));
}

#[gtest]
fn a_class_uses_what_no_other_needs() {
    let mut bench = Bench::new(10, 10);
    bench.submit(&bench.job("l", "later", 500, CORE));
    expect_that!(bench.settle(10).len(), eq(100));
}

#[gtest]
fn services_never_use_the_share_of_another_class() {
    let mut bench = Bench::new(10, 10);
    bench.submit(&bench.job("s", "service", 500, CORE));
    let placed = bench.settle(10);
    // Normal's 40 percent, and the 20 that no class is guaranteed.
    expect_that!(placed.len(), eq(60));
}

#[gtest]
fn teams_at_peers_have_their_parts_of_a_class() {
    let mut bench = Bench::new(10, 10);
    let mut totals = Totals::default();
    totals.weights[Class::Urgent.index()] = 2;
    totals.likely[Class::Urgent.index()] = CORE.times(20);
    bench.scheduler.gossip(&name("peer"), &totals, bench.now);
    bench.submit(&bench.job("u", "urgent", 200, CORE));
    // Half of the likely need is kept, as waiting time has half of the greatest weight.
    expect_that!(bench.settle(10).len(), eq(90));
}

#[gtest]
fn a_quota_stops_one_team_and_no_other() {
    let mut bench = Bench::new(10, 10);
    let patch = Patch {
        teams: vec![team::Team { name: name("a"), weight: 1, quota: CORE.times(3) }],
        ..Patch::default()
    };
    bench.configuration = bench.configuration.patched(&patch).unwrap();
    bench.scheduler.configure(&bench.configuration.clone());
    bench.submit(&bench.job("a", "batch", 10, CORE));
    let mut other = bench.job("b", "batch", 10, CORE);
    other.team = name("b");
    bench.submit(&other);
    let placed = bench.settle(5);
    expect_that!(count(&placed, "a/"), eq(3));
    expect_that!(count(&placed, "b/"), eq(10));
}

#[gtest]
fn an_urgent_flood_is_refused_early_with_a_time_to_come_back() {
    let mut bench = Bench::new(10, 10);
    let admit =
        |bench: &Bench, job: &Job| bench.scheduler.admit(job, &bench.configuration, bench.now);
    let flood = bench.job("u", "urgent", 500, CORE);
    expect_that!(admit(&bench, &flood), ok(anything()));
    bench.submit(&flood);
    let Err(Refusal::Later { reason, retry_after }) = admit(&bench, &flood) else {
        panic!("not refused")
    };
    expect_that!(reason, eq(&Reason::Overload));
    expect_that!(retry_after, gt(Millis(1000)));
    let mut other = bench.job("v", "urgent", 1, CORE);
    other.team = name("b");
    expect_that!(admit(&bench, &other), ok(anything()));
    expect_that!(admit(&bench, &bench.job("n", "batch", 1, CORE)), ok(anything()));
}

#[gtest]
fn less_urgent_work_is_preempted_for_a_class_below_its_share() {
    let mut bench = Bench::new(2, 10);
    bench.submit(&bench.job("l", "later", 20, CORE));
    expect_that!(bench.settle(5).len(), eq(20));
    bench.submit(&bench.job("u", "urgent", 1, CORE));
    expect_that!(bench.decide(), is_empty());
    expect_that!(bench.preempted.len(), eq(1));
    expect_that!(bench.decide(), is_empty());
    expect_that!(bench.preempted.len(), eq(1), "room is made once");
    let victim = bench.preempted[0].to_string();
    bench.now = bench.now + Millis(1);
    bench.end(&victim, &Ending::Checkpointed);
    expect_that!(bench.decide(), elements_are![eq("u/0")]);
}

#[gtest]
fn services_are_never_preempted() {
    let mut bench = Bench::new(1, 10);
    bench.submit(&bench.job("s", "service", 6, CORE));
    bench.submit(&bench.job("n", "batch", 4, CORE));
    bench.settle(5);
    bench.submit(&bench.job("u", "urgent", 8, CORE));
    bench.decide();
    expect_that!(bench.preempted.len(), ge(1));
    expect_that!(bench.preempted.iter().all(|t| t.job.as_str() == "n"), eq(true));
}

#[gtest]
fn work_of_a_starving_peer_preempts_here() {
    let mut bench = Bench::new(2, 10);
    bench.submit(&bench.job("l", "later", 20, CORE));
    bench.settle(5);
    let mut totals = Totals::default();
    totals.needy[Class::Urgent.index()] = CORE.times(2);
    bench.scheduler.gossip(&name("peer"), &totals, bench.now);
    bench.decide();
    expect_that!(bench.preempted.len(), eq(2));
    bench.decide();
    expect_that!(bench.preempted.len(), eq(2));
}

#[gtest]
fn room_that_a_class_used_lately_is_kept_for_it() {
    let mut bench = Bench::new(1, 20);
    bench.submit(&bench.job("u", "urgent", 4, CORE));
    bench.settle(2);
    for i in 0..4 {
        bench.end(&format!("u/{i}"), &DONE);
    }
    bench.now = bench.now + Millis(1);
    bench.submit(&bench.job("l", "later", 40, CORE));
    let placed = bench.settle(10).len();
    expect_that!(placed, lt(20));
    bench.submit(&bench.job("v", "urgent", 2, CORE));
    expect_that!(bench.decide().len(), eq(2));
    expect_that!(bench.preempted, is_empty());
}
