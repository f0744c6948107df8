//! Quotas of teams, on a fleet in simulated time. The advisor is not needed.

use super::fleet::{Fleet, Site};
use super::*;
use crate::contract::roster::{Raw, Roster};
use crate::name::Name;

const SITE: Site = Site { workers: 20, relays: 2, near: 2, allowed_percent: |_| 100 };
const CORE: Capacity = Capacity::new(1000, 1024, 0);

fn wards() -> Name {
    Name::try_from("wards").unwrap()
}

/// Returns a fleet with a team that may use `cores`.
fn fleet(cores: u64) -> Fleet {
    let mut fleet = Fleet::new(SITE);
    limit(&mut fleet, cores);
    fleet
}

fn limit(fleet: &mut Fleet, cores: u64) {
    let raw = Raw { name: "wards".into(), weight: 100, quota: CORE.times(cores), keys: Vec::new() };
    fleet.owner.update_teams(&Roster::try_from(vec![raw]).unwrap());
}

/// Returns a job of the team whose tasks need a core each.
fn of_team(id: u64, count: u32, priority: u32, runs: Millis) -> Job {
    let mut job = job(id, vec![Step { needs: CORE, estimate_ms: runs, ..step(count, &[]) }]);
    (job.policy.team, job.policy.priority) = (Some(wards()), priority);
    job
}

fn gang_of_team(id: u64, count: u32, priority: u32, runs: Millis) -> Job {
    let mut job = of_team(id, count, priority, runs);
    job.steps[0].gang = true;
    job
}

/// The load: ten times what the quota holds, narrow and wide. The owner is lost in the middle, and the
/// quota falls below what runs.
#[gtest]
fn what_a_team_runs_stays_within_its_quota_also_under_a_later_owner() {
    let mut fleet = fleet(10);
    for id in 0..40 {
        let (count, runs) = (1 + u32::try_from(id % 4).unwrap(), Millis(300 + 90 * (id % 7)));
        let is_gang = id % 3 == 0;
        let new = if is_gang { gang_of_team } else { of_team };
        fleet.submit(new(id, count, u32::from(is_gang), runs));
    }
    let mut most = Capacity::ZERO;
    for tick in 0..400 {
        fleet.tick();
        let used = fleet.used(&wards());
        expect_that!(used.cpu_milli, le(10_000), "at tick {tick}");
        most.cpu_milli = most.cpu_milli.max(used.cpu_milli);
        if tick == 60 {
            fleet.lose_owner(Millis(400));
        }
        // Until the successor has read the configuration, nothing of a team starts.
        if tick == 120 {
            limit(&mut fleet, 10);
        }
    }
    expect_that!(most.cpu_milli, ge(9000));
    limit(&mut fleet, 2);
    (100..104).for_each(|id| fleet.submit(of_team(id, 3, 0, Millis(300))));
    fleet.pass(Millis::from_secs(4));
    expect_that!(fleet.used(&wards()).cpu_milli, le(2000));
    fleet.pass(Millis::from_secs(8));
    expect_that!(fleet.waiting((0..40).chain(100..104)), is_empty());
}

/// The load: narrow jobs at the quota, and a gang that needs three quarters of it.
#[gtest]
fn a_wide_gang_is_not_starved_by_narrow_work_of_its_team() {
    let mut fleet = fleet(8);
    for id in 0..300 {
        if id == 100 {
            fleet.submit(gang_of_team(1000, 6, 0, Millis(1000)));
        }
        fleet.submit(of_team(id, 1, 1, Millis(1000)));
        fleet.pass(Millis(60));
    }
    expect_that!(fleet.waited(1000), some(le(Millis::from_secs(3))));
}

/// Regression: a step that no worker can run, and of which the quota held some tasks but not all, kept
/// the quota from all other work of its team.
#[gtest]
fn a_step_that_no_worker_can_run_does_not_keep_the_quota_from_its_team() {
    let mut fleet = fleet(8);
    let mut poison = of_team(1, 10, 0, Millis(500));
    poison.steps[0].label = Some("unheard-of".into());
    fleet.submit(poison);
    fleet.submit(of_team(2, 2, 1, Millis(500)));
    fleet.pass(Millis::from_secs(2));
    expect_that!(fleet.waiting(2..=2), is_empty());
}

/// Regression: a gang that waits for the quota that a run without an end uses kept the rest of it from
/// all other work of its team.
#[gtest]
fn a_gang_that_waits_for_a_lasting_run_does_not_keep_the_quota_for_good() {
    let mut fleet = fleet(8);
    fleet.submit(of_team(1, 2, 1, Millis::from_secs(3600)));
    fleet.pass(Millis::from_secs(1));
    fleet.submit(gang_of_team(2, 7, 0, Millis(500)));
    fleet.submit(of_team(3, 2, 1, Millis(500)));
    // LOST counts after 3 s without a run while the team uses under half of its quota.
    fleet.pass(Millis(3000));
    expect_that!(fleet.waiting(2..=3), elements_are![eq(&2)]);
}

/// A gang that lasting work of its team keeps from ever starting, while more than half is in use.
#[gtest]
fn above_half_of_the_quota_narrow_work_waits_longer_but_not_for_good() {
    let mut fleet = fleet(8);
    fleet.submit(of_team(1, 5, 1, Millis::from_secs(3600)));
    fleet.pass(Millis::from_secs(1));
    fleet.submit(gang_of_team(2, 7, 0, Millis(500)));
    fleet.submit(of_team(3, 2, 1, Millis(500)));
    fleet.pass(Millis::from_secs(12));
    expect_that!(fleet.waiting(2..=3), elements_are![eq(&2)]);
}
