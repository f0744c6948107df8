use super::Snapshot;
use crate::clock::Millis;
use crate::contract::work::tests::{job, step};
use crate::contract::work::{Id, Outcome, Status, StepId, Task};
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::{End, Entry, Incarnation, Run};
use googletest::prelude::*;

const WRITTEN: Millis = Millis(9_000_000);

fn run(job: u64, number: u32) -> Run {
    let step_id = StepId { job: Id(job), occurrence: 0, step: 0 };
    Run { task: Task { step_id, index: 0 }, number }
}

/// Returns entries that leave one job completed, one running and one queued.
fn entries() -> Vec<Entry> {
    let on = Incarnation { worker: "worker".into(), born: 7 };
    let claim = Entry::Claimed { epoch: 3, owner: "a".into(), address: "x".into(), nonce: 1 };
    let done = End { run: run(1, 1), number: 5, outcome: Outcome::Done, saved: "".into() };
    let mut entries = vec![claim];
    entries.extend((1..=3).map(|id| Entry::Submitted(Box::new(job(id, vec![step(1, &[])])))));
    entries.push(Entry::Started { on: on.clone(), runs: vec![run(1, 1), run(2, 4)] });
    entries.push(Entry::Ended { on, ends: vec![done] });
    entries
}

fn restored() -> Replica {
    let mut replica = Replica::default();
    for entry in entries() {
        replica.apply(entry, Millis(8_990_000));
    }
    let taken = (3, 2);
    let snapshot = Snapshot { number: 1, offset: 6, taken, at: WRITTEN, replica };
    let bytes = rmp_serde::to_vec(&snapshot).expect("bytes");
    let snapshot: Snapshot = rmp_serde::from_slice(&bytes).expect("a snapshot");
    snapshot.restore(Millis(1_000_000))
}

#[gtest]
fn a_restored_book_equals_the_replayed_state() {
    let replica = restored();
    let status = |id| replica.job(Id(id)).map(|j| j.status());
    expect_that!(status(1), some(eq(Status::Completed)));
    expect_that!(status(2), some(eq(Status::Running)));
    expect_that!(status(3), some(eq(Status::Queued)));
    expect_that!(replica.claim().epoch, eq(3));
    expect_that!(replica.open(), len(eq(2)));
    expect_that!(replica.placed(), len(eq(1)));
    let incarnation = Incarnation { worker: "worker".into(), born: 7 };
    expect_that!(replica.recorded_end(&incarnation), eq(5));
}

#[gtest]
fn ages_are_preserved_on_another_clock() {
    let replica = restored();
    let job = replica.job(Id(1)).expect("the job");
    expect_that!((job.seen, job.ended), eq((Millis(990_000), Some(Millis(990_000)))));
}

#[gtest]
fn a_restored_book_applies_later_entries() {
    let mut replica = restored();
    let on = Incarnation { worker: "worker".into(), born: 7 };
    let end = End { run: run(2, 4), number: 6, outcome: Outcome::Done, saved: "".into() };
    replica.apply(Entry::Ended { on, ends: vec![end] }, Millis(1_000_100));
    expect_that!(replica.job(Id(2)).map(|j| j.status()), some(eq(Status::Completed)));
    expect_that!(replica.open(), len(eq(1)));
}

#[gtest]
fn an_ended_job_has_no_payload() {
    let replica = restored();
    let payload = |id| replica.job(Id(id)).map(|j| j.job.payload.is_empty());
    expect_that!((payload(1), payload(3)), eq((Some(true), Some(false))));
    let bytes = rmp_serde::to_vec(&replica).expect("bytes").len();
    expect_that!(replica.size_estimate(), all![ge(bytes / 4), le(bytes * 4)]);
}

#[gtest]
fn a_snapshot_keeps_how_often_workers_crashed_under_a_task() {
    let mut replica = restored();
    let on = Incarnation { worker: "worker".into(), born: 7 };
    let before = rmp_serde::to_vec(&replica).expect("bytes");
    replica.apply(Entry::Crashed { on, runs: vec![run(2, 4)] }, WRITTEN);
    let crashes = |replica: &Replica| {
        let job = replica.job(Id(2)).expect("the job");
        job.occurrences[0].steps[0].tasks[0].crashes
    };
    let bytes = rmp_serde::to_vec(&replica).expect("bytes");
    expect_that!(crashes(&rmp_serde::from_slice(&bytes).expect("a replica")), eq(1));
    // Snapshots of earlier builds, and those without crashes, don't have the field.
    expect_that!(crashes(&rmp_serde::from_slice(&before).expect("a replica")), eq(0));
    expect_that!(bytes.len(), eq(before.len() + 2));
}
