//! Tests of previews: what they foretell is what happens to the job when it is submitted.

use super::Reason;
use crate::clock::Millis;
use crate::contract::owner::tests::{LIMITS, worker_entry};
use crate::contract::owner::{Owner, Report};
use crate::contract::roster::{Raw, Roster};
use crate::contract::work::tests::{job, step};
use crate::contract::work::{Job, Step};
use crate::ledger::shard::Entry;
use crate::ledger::shard::replica::Replica;
use crate::machine::capacity::Capacity;
use crate::name::Name;
use googletest::prelude::*;

const NOW: Millis = Millis(1_000_000);

/// Returns an owner of workers with four cores each, all of which have answered.
fn owner(replica: &Replica, workers: &[&str]) -> Owner {
    let mut owner = Owner::new(LIMITS, replica, NOW);
    let list: Vec<_> = workers.iter().map(|name| worker_entry(name, 1)).collect();
    owner.update_workers(&list, replica, NOW);
    owner.tick(replica, NOW, NOW);
    for (number, host) in (1..).zip(owner.hosts.clone()) {
        let report = Report { born: Some(1), clock: NOW.get(), ..Report::default() };
        owner.poll_answered(&host.incarnation, number, Ok(&report), replica, NOW);
    }
    owner.effects();
    owner
}

fn of_team(team: &str, job: Job) -> Job {
    let mut job = job;
    job.policy.team = Some(Name::try_from(team).unwrap());
    job
}

#[gtest]
fn a_preview_names_the_workers_on_which_a_submitted_job_then_starts() {
    let mut replica = Replica::default();
    let mut owner = owner(&replica, &["a", "b"]);
    let new = job(7, vec![step(3, &[]), step(2, &[0])]);
    let preview = owner.preview(&replica, &new, NOW);
    expect_that!(preview.is_known, eq(false));
    let starts = preview.steps[0].starts.clone();
    expect_that!(starts.iter().map(|(_, count)| count).sum::<usize>(), eq(3));
    expect_that!(preview.steps[0].reason, none());
    expect_that!(preview.steps[1].reason, some(eq(&Reason::Steps(vec![0]))));
    // Nothing was done for the job.
    expect_that!((owner.run_count(), owner.effects().len()), eq((0, 0)));
    replica.apply(Entry::Submitted(Box::new(new)), NOW);
    owner.schedule(&replica, NOW, Millis::ZERO);
    let task = crate::contract::work::Id(7);
    let step_id = crate::contract::work::StepId { job: task, occurrence: 0, step: 0 };
    expect_that!(owner.starts_of(&step_id), eq(&starts));
}

#[gtest]
fn a_preview_says_why_a_job_waits() {
    let mut replica = Replica::default();
    let mut owner = owner(&replica, &["a"]);
    let raw =
        Raw { name: "wards".into(), weight: 1, quota: Capacity::new(1000, 1024, 0), keys: vec![] };
    owner.update_teams(&Roster::try_from(vec![raw]).unwrap());
    let reason = |owner: &Owner, replica: &Replica, job: &Job| {
        owner.preview(replica, job, NOW).steps[0].reason.clone()
    };
    let gang = of_team("wards", job(1, vec![Step { gang: true, ..step(2, &[]) }]));
    let wards = Name::try_from("wards").unwrap();
    expect_that!(reason(&owner, &replica, &gang), some(eq(&Reason::Quota(wards))));
    let labelled = Step { label: Some("gpu".into()), ..step(1, &[]) };
    expect_that!(reason(&owner, &replica, &job(2, vec![labelled])), some(eq(&Reason::Workers)));
    replica.apply(Entry::Submitted(Box::new(job(3, vec![step(40, &[])]))), NOW);
    owner.schedule(&replica, NOW, Millis::ZERO);
    let waiting = job(4, vec![step(1, &[])]);
    expect_that!(reason(&owner, &replica, &waiting), some(eq(&Reason::Room(1))));
    expect_that!(owner.preview(&replica, &job(3, vec![step(40, &[])]), NOW).is_known, eq(true));
}
