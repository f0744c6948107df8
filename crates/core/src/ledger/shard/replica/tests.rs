//! Tests of the replay of shard entries.

use super::backlog::Backlog;
use super::{Applied, Replica};
use crate::clock::Millis;
use crate::contract::work::tests::{job, step};
use crate::contract::work::{Id, Outcome, Status, Step, StepId, Task};
use crate::ledger::shard::{End, Entry, Incarnation, Run};
use googletest::prelude::*;

const NOW: Millis = Millis(1_000_000);

fn incarnation() -> Incarnation {
    Incarnation { worker: "worker-1".into(), born: 7 }
}

fn run(step: u16, index: u32, number: u32) -> Run {
    Run { task: Task { step_id: step_id(step), index }, number }
}

fn step_id(step: u16) -> StepId {
    StepId { job: Id(1), occurrence: 0, step }
}

fn started(runs: &[Run]) -> Entry {
    Entry::Started { on: incarnation(), runs: runs.into() }
}

fn ended(run: Run, number: u64, outcome: Outcome) -> Entry {
    Entry::Ended { on: incarnation(), ends: vec![End { run, number, outcome, saved: "".into() }] }
}

fn replica(steps: Vec<Step>, entries: Vec<Entry>) -> Replica {
    let mut replica = Replica::default();
    replica.apply(Entry::Submitted(Box::new(job(1, steps))), NOW);
    for entry in entries {
        replica.apply(entry, NOW);
    }
    replica
}

fn status(replica: &Replica) -> Status {
    replica.job(Id(1)).unwrap().status()
}

#[gtest]
fn a_step_opens_when_the_steps_before_it_are_done() {
    let steps = vec![step(1, &[]), step(1, &[0])];
    let first = run(0, 0, 1);
    let mut replica = replica(steps, vec![started(&[first])]);
    expect_that!(replica.open(), elements_are![eq(&step_id(0))]);
    replica.apply(ended(first, 1, Outcome::Done), NOW);
    expect_that!(replica.open(), elements_are![eq(&step_id(1))]);
    let second = run(1, 0, 1);
    replica.apply(started(&[second]), NOW);
    replica.apply(ended(second, 2, Outcome::Done), NOW);
    expect_that!(status(&replica), eq(Status::Completed));
    expect_that!(replica.open(), is_empty());
}

#[gtest]
fn a_second_submission_of_an_id_changes_nothing() {
    let first = run(0, 0, 1);
    let done = ended(first, 1, Outcome::Done);
    let mut replica = replica(vec![step(1, &[])], vec![started(&[first]), done]);
    let again = Entry::Submitted(Box::new(job(1, vec![step(3, &[])])));
    expect_that!(replica.apply(again, NOW), eq(Applied::Nothing));
    expect_that!(status(&replica), eq(Status::Completed));
}

#[gtest]
fn a_cancelled_job_stays_cancelled_and_an_ended_one_cannot_be_cancelled() {
    let mut cancelled = replica(vec![step(1, &[])], vec![started(&[run(0, 0, 1)])]);
    expect_that!(cancelled.apply(Entry::Cancelled(Id(1)), NOW), eq(Applied::Over(Id(1))));
    cancelled.apply(ended(run(0, 0, 1), 1, Outcome::Done), NOW);
    expect_that!(status(&cancelled), eq(Status::Cancelled));
    let done = ended(run(0, 0, 1), 1, Outcome::Done);
    let mut completed = replica(vec![step(1, &[])], vec![started(&[run(0, 0, 1)]), done]);
    expect_that!(completed.apply(Entry::Cancelled(Id(1)), NOW), eq(Applied::Nothing));
    expect_that!(status(&completed), eq(Status::Completed));
}

#[gtest]
fn only_failed_runs_count_as_attempts() {
    let mut replica = replica(vec![step(1, &[])], vec![]);
    let outcomes = [Outcome::Stopped, Outcome::Lapsed, Outcome::Failed, Outcome::Broken];
    for (number, outcome) in (1..).zip(outcomes) {
        replica.apply(started(&[run(0, 0, number)]), NOW);
        replica.apply(ended(run(0, 0, number), number.into(), outcome), NOW);
        expect_that!(status(&replica), eq(Status::Running));
    }
    replica.apply(started(&[run(0, 0, 5)]), NOW);
    expect_that!(
        replica.apply(ended(run(0, 0, 5), 5, Outcome::Failed), NOW),
        eq(Applied::Over(Id(1)))
    );
    expect_that!(status(&replica), eq(Status::Failed));
}

#[gtest]
fn the_third_worker_that_crashes_under_a_task_ends_its_job() {
    let mut replica = replica(vec![step(2, &[])], vec![]);
    let crashed = |number| {
        let on = Incarnation { worker: "w".into(), born: number };
        Entry::Crashed { on, runs: vec![run(0, 0, u32::try_from(number).unwrap())] }
    };
    for number in 1..=2 {
        replica.apply(started(&[run(0, 0, number)]), NOW);
        replica.apply(Entry::Lost(vec![run(0, 0, number)]), NOW);
        // A crash that is recorded twice, as around a takeover, counts once.
        replica.apply(crashed(number.into()), NOW);
        expect_that!(replica.apply(crashed(number.into()), NOW), eq(Applied::Progress));
        expect_that!(status(&replica), eq(Status::Queued));
    }
    replica.apply(started(&[run(0, 0, 3)]), NOW);
    expect_that!(replica.apply(crashed(3), NOW), eq(Applied::Over(Id(1))));
    expect_that!(status(&replica), eq(Status::Failed));
}

#[gtest]
fn one_end_of_a_gang_ends_all_its_tasks() {
    let gang = Step { gang: true, ..step(3, &[]) };
    let runs = [run(0, 0, 1), run(0, 1, 1), run(0, 2, 1)];
    let done = ended(runs[1], 1, Outcome::Done);
    expect_that!(
        status(&replica(vec![gang.clone()], vec![started(&runs), done])),
        eq(Status::Completed)
    );
    // Two tasks of a gang that fail in the same run count as one failed attempt.
    let fails = [ended(runs[0], 1, Outcome::Failed), ended(runs[1], 2, Outcome::Failed)];
    let [first, second] = fails;
    expect_that!(
        status(&replica(vec![gang], vec![started(&runs), first, second])),
        eq(Status::Running)
    );
}

#[gtest]
fn an_end_of_an_older_run_does_not_end_the_present_one() {
    let lost = Entry::Lost(vec![run(0, 0, 1)]);
    let mut replica = replica(vec![step(1, &[])], vec![started(&[run(0, 0, 1)]), lost]);
    replica.apply(started(&[run(0, 0, 2)]), NOW);
    replica.apply(ended(run(0, 0, 1), 1, Outcome::Stopped), NOW);
    expect_that!(replica.placed(), elements_are![(eq(&run(0, 0, 2)), anything())]);
}

#[gtest]
fn a_recorded_start_that_was_refused_leaves_the_job_queued() {
    let mut replica = replica(vec![step(2, &[])], vec![started(&[run(0, 0, 1)])]);
    expect_that!(replica.backlog("deeds"), eq(Backlog { queued: 0, starting: 1 }));
    replica.apply(Entry::Lost(vec![run(0, 0, 1)]), NOW);
    expect_that!(replica.backlog("deeds"), eq(Backlog { queued: 1, starting: 0 }));
    expect_that!(status(&replica), eq(Status::Queued));
}

#[gtest]
fn the_first_claim_of_an_epoch_wins() {
    let claim = |epoch, owner: &str| Entry::Claimed {
        epoch,
        owner: owner.into(),
        address: "127.0.0.1:1".into(),
        nonce: 1,
    };
    let mut replica = Replica::default();
    expect_that!(replica.apply(claim(1, "a"), NOW), eq(Applied::Claimed));
    expect_that!(replica.apply(claim(1, "b"), NOW), eq(Applied::Nothing));
    expect_that!(&*replica.claim().owner, eq("a"));
    expect_that!(replica.apply(Entry::Released { epoch: 1 }, NOW), eq(Applied::Claimed));
    expect_that!(replica.claim().owner.is_empty(), eq(true));
    expect_that!(replica.claim().epoch, eq(1));
}

#[gtest]
fn the_last_recorded_end_is_kept_for_each_incarnation() {
    let first = run(0, 0, 1);
    let replica =
        replica(vec![step(1, &[])], vec![started(&[first]), ended(first, 4, Outcome::Done)]);
    expect_that!(replica.recorded_end(&incarnation()), eq(4));
    expect_that!(replica.recorded_end(&Incarnation { born: 8, ..incarnation() }), eq(0));
}

fn claimed(epoch: u64, owner: &str) -> Entry {
    Entry::Claimed { epoch, owner: owner.into(), address: "".into(), nonce: epoch }
}

fn replica_with_job(entries: Vec<Entry>) -> Replica {
    replica(vec![step(1, &[])], entries)
}

#[gtest]
fn no_earlier_owner_grants_leases_after_a_release_or_a_restart() {
    expect_true!(replica_with_job(vec![claimed(1, "a")]).claim().no_earlier_owner);
    expect_true!(replica_with_job(vec![claimed(1, "a"), claimed(2, "a")]).claim().no_earlier_owner);
    let released = vec![claimed(1, "a"), Entry::Released { epoch: 1 }, claimed(2, "b")];
    expect_true!(replica_with_job(released).claim().no_earlier_owner);
    expect_false!(
        replica_with_job(vec![claimed(1, "a"), claimed(2, "b")]).claim().no_earlier_owner
    );
}

#[gtest]
fn an_owner_before_the_last_may_grant_leases_until_it_is_settled() {
    let entries = vec![claimed(1, "a"), claimed(2, "b"), claimed(3, "b")];
    expect_false!(replica_with_job(entries.clone()).claim().no_earlier_owner);
    let settled = [&entries[..2], &[Entry::Settled { epoch: 2 }], &entries[2..]].concat();
    expect_true!(replica_with_job(settled).claim().no_earlier_owner);
    // `Settled` of an earlier owner does not cover the owners after it.
    let late = [&entries[..2], &[Entry::Settled { epoch: 1 }], &entries[2..]].concat();
    expect_false!(replica_with_job(late).claim().no_earlier_owner);
}

#[gtest]
fn the_status_of_an_ended_job_outlives_its_tasks() {
    let first = run(0, 0, 1);
    let ends = vec![started(&[first]), ended(first, 1, Outcome::Done)];
    let mut replica = replica(vec![step(1, &[])], ends);
    replica.expire(NOW + Millis::from_secs(29));
    expect_that!(replica.jobs(), len(eq(1)));
    replica.expire(NOW + Millis::from_secs(31));
    expect_that!(replica.jobs(), is_empty());
    expect_that!(replica.status(Id(1)), some(eq(Status::Completed)));
    // A repeated submission or a cancellation changes nothing.
    let again = Entry::Submitted(Box::new(job(1, vec![step(1, &[])])));
    expect_that!(replica.apply(again, NOW), eq(Applied::Nothing));
    expect_that!(replica.apply(Entry::Cancelled(Id(1)), NOW), eq(Applied::Nothing));
    expect_that!(replica.status(Id(1)), some(eq(Status::Completed)));
    replica.expire(NOW + Millis::from_secs(241));
    expect_that!(replica.status(Id(1)), none());
}

#[gtest]
fn a_job_with_a_run_that_may_be_active_keeps_its_tasks() {
    let entries = vec![started(&[run(0, 0, 1)]), Entry::Cancelled(Id(1))];
    let mut replica = replica(vec![step(1, &[])], entries);
    replica.expire(NOW + Millis::from_secs(100));
    expect_that!(replica.placed(), len(eq(1)));
}
