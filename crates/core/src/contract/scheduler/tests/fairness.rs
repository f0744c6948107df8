//! Class shares, team weights, quotas, admission under overload, and preemption.

use super::*;

fn count(placed: &[String], prefix: &str) -> usize {
    placed.iter().filter(|id| id.starts_with(prefix)).count()
}

#[gtest]
fn teams_share_a_class_however_long_their_queues() {
    let mut harness = Harness::new(10, 2);
    harness.submit(&harness.job("a", "batch", 500, CORE));
    let mut other = harness.job("b", "batch", 50, CORE);
    other.team = name("b");
    harness.submit(&other);
    let placed = harness.settle(4);
    expect_that!(placed.len(), eq(20));
    expect_that!(count(&placed, "b/"), eq(10));
}

#[gtest]
fn an_urgent_flood_leaves_the_other_classes_their_shares() {
    let mut harness = Harness::new(10, 10);
    harness.submit(&harness.job("u", "urgent", 500, CORE));
    harness.submit(&harness.job("n", "batch", 500, CORE));
    harness.submit(&harness.job("l", "later", 500, CORE));
    let placed = harness.settle(10);
    expect_that!(count(&placed, "n/"), ge(40));
    expect_that!(count(&placed, "l/"), ge(10));
    expect_that!(count(&placed, "u/"), ge(30));
    expect_that!(placed.len(), eq(100));
}

#[gtest]
fn a_class_uses_what_no_other_needs() {
    let mut harness = Harness::new(10, 10);
    harness.submit(&harness.job("l", "later", 500, CORE));
    expect_that!(harness.settle(10).len(), eq(100));
}

#[gtest]
fn services_never_use_the_share_of_another_class() {
    let mut harness = Harness::new(10, 10);
    harness.submit(&harness.job("s", "service", 500, CORE));
    let placed = harness.settle(10);
    // The 40 percent of class normal, and the 20 percent that are guaranteed to no class.
    expect_that!(placed.len(), eq(60));
}

#[gtest]
fn teams_at_peers_have_their_parts_of_a_class() {
    let mut harness = Harness::new(10, 10);
    let mut totals = Totals::default();
    totals.weights[Class::Urgent.index()] = 2;
    totals.likely[Class::Urgent.index()] = CORE.times(20);
    harness.scheduler.update_peer_totals(&name("peer"), &totals, harness.now);
    harness.submit(&harness.job("u", "urgent", 200, CORE));
    // Half of the peers' likely demand is held back, as the weight of waiting time is 50 percent.
    expect_that!(harness.settle(10).len(), eq(90));
}

#[gtest]
fn a_quota_stops_one_team_and_no_other() {
    let mut harness = Harness::new(10, 10);
    let patch = Patch {
        teams: vec![team::Team { name: name("a"), weight: 1, quota: CORE.times(3) }],
        ..Patch::default()
    };
    harness.configuration = harness.configuration.patched(&patch).unwrap();
    harness.scheduler.configure(&harness.configuration.clone());
    harness.submit(&harness.job("a", "batch", 10, CORE));
    let mut other = harness.job("b", "batch", 10, CORE);
    other.team = name("b");
    harness.submit(&other);
    let placed = harness.settle(5);
    expect_that!(count(&placed, "a/"), eq(3));
    expect_that!(count(&placed, "b/"), eq(10));
}

#[gtest]
fn an_urgent_flood_is_refused_on_submission_with_a_retry_time() {
    let mut harness = Harness::new(10, 10);
    let admit = |harness: &Harness, job: &Job| {
        harness.scheduler.admit(job, &harness.configuration, harness.now)
    };
    let flood = harness.job("u", "urgent", 500, CORE);
    expect_that!(admit(&harness, &flood), ok(anything()));
    harness.submit(&flood);
    let Err(Refusal::Later { reason, retry_after }) = admit(&harness, &flood) else {
        panic!("not refused")
    };
    expect_that!(reason, eq(&Reason::Overload));
    expect_that!(retry_after, gt(Millis(1000)));
    let mut other = harness.job("v", "urgent", 1, CORE);
    other.team = name("b");
    expect_that!(admit(&harness, &other), ok(anything()));
    expect_that!(admit(&harness, &harness.job("n", "batch", 1, CORE)), ok(anything()));
}

#[gtest]
fn less_urgent_work_is_preempted_for_a_class_below_its_share() {
    let mut harness = Harness::new(2, 10);
    harness.submit(&harness.job("l", "later", 20, CORE));
    expect_that!(harness.settle(5).len(), eq(20));
    harness.submit(&harness.job("u", "urgent", 1, CORE));
    expect_that!(harness.decide(), is_empty());
    expect_that!(harness.preempted.len(), eq(1));
    expect_that!(harness.decide(), is_empty());
    expect_that!(harness.preempted.len(), eq(1), "room is made once");
    let victim = harness.preempted[0].to_string();
    harness.now = harness.now + Millis(1);
    harness.end(&victim, &Ending::Checkpointed);
    expect_that!(harness.decide(), elements_are![eq("u/0")]);
}

#[gtest]
fn services_are_never_preempted() {
    let mut harness = Harness::new(1, 10);
    harness.submit(&harness.job("s", "service", 6, CORE));
    harness.submit(&harness.job("n", "batch", 4, CORE));
    harness.settle(5);
    harness.submit(&harness.job("u", "urgent", 8, CORE));
    harness.decide();
    expect_that!(harness.preempted.len(), ge(1));
    expect_that!(harness.preempted.iter().all(|t| t.job.as_str() == "n"), eq(true));
}

#[gtest]
fn blocked_work_of_a_peer_preempts_own_tasks() {
    let mut harness = Harness::new(2, 10);
    harness.submit(&harness.job("l", "later", 20, CORE));
    harness.settle(5);
    let mut totals = Totals::default();
    totals.needy[Class::Urgent.index()] = CORE.times(2);
    harness.scheduler.update_peer_totals(&name("peer"), &totals, harness.now);
    harness.decide();
    expect_that!(harness.preempted.len(), eq(2));
    harness.decide();
    expect_that!(harness.preempted.len(), eq(2));
}

#[gtest]
fn capacity_that_a_class_used_recently_is_held_back_for_it() {
    let mut harness = Harness::new(1, 20);
    harness.submit(&harness.job("u", "urgent", 4, CORE));
    harness.settle(2);
    for i in 0..4 {
        harness.end(&format!("u/{i}"), &DONE);
    }
    harness.now = harness.now + Millis(1);
    harness.submit(&harness.job("l", "later", 40, CORE));
    let placed = harness.settle(10).len();
    expect_that!(placed, lt(20));
    harness.submit(&harness.job("v", "urgent", 2, CORE));
    expect_that!(harness.decide().len(), eq(2));
    expect_that!(harness.preempted, is_empty());
}
