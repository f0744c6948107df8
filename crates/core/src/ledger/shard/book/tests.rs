//! Tests of the replay of shard entries.

use super::{Book, Change};
use crate::clock::Millis;
use crate::contract::work::tests::{job, step};
use crate::contract::work::{Id, Outcome, Stage, Status, Step, Task};
use crate::ledger::shard::{End, Entry, Incarnation, Run};
use googletest::prelude::*;

const NOW: Millis = Millis(1_000_000);

fn incarnation() -> Incarnation {
    Incarnation { worker: "worker-1".into(), born: 7 }
}

fn run(step: u16, index: u32, number: u32) -> Run {
    Run { task: Task { stage: stage(step), index }, number }
}

fn stage(step: u16) -> Stage {
    Stage { job: Id(1), occurrence: 0, step }
}

fn started(runs: &[Run]) -> Entry {
    Entry::Started { on: incarnation(), runs: runs.into() }
}

fn ended(run: Run, number: u64, outcome: Outcome) -> Entry {
    Entry::Ended { on: incarnation(), ends: vec![End { run, number, outcome, saved: "".into() }] }
}

fn book(steps: Vec<Step>, entries: Vec<Entry>) -> Book {
    let mut book = Book::default();
    book.apply(Entry::Submitted(Box::new(job(1, steps))), NOW);
    for entry in entries {
        book.apply(entry, NOW);
    }
    book
}

fn status(book: &Book) -> Status {
    book.job(Id(1)).unwrap().status()
}

#[gtest]
fn a_step_opens_when_the_steps_before_it_are_done() {
    let steps = vec![step(1, &[]), step(1, &[0])];
    let first = run(0, 0, 1);
    let mut book = book(steps, vec![started(&[first])]);
    expect_that!(book.open(), elements_are![eq(&stage(0))]);
    book.apply(ended(first, 1, Outcome::Done), NOW);
    expect_that!(book.open(), elements_are![eq(&stage(1))]);
    let second = run(1, 0, 1);
    book.apply(started(&[second]), NOW);
    book.apply(ended(second, 2, Outcome::Done), NOW);
    expect_that!(status(&book), eq(Status::Completed));
    expect_that!(book.open(), is_empty());
}

#[gtest]
fn a_second_submission_of_an_id_changes_nothing() {
    let first = run(0, 0, 1);
    let done = ended(first, 1, Outcome::Done);
    let mut book = book(vec![step(1, &[])], vec![started(&[first]), done]);
    let again = Entry::Submitted(Box::new(job(1, vec![step(3, &[])])));
    expect_that!(book.apply(again, NOW), eq(Change::Nothing));
    expect_that!(status(&book), eq(Status::Completed));
}

#[gtest]
fn a_cancelled_job_stays_cancelled_and_an_ended_one_cannot_be_cancelled() {
    let mut cancelled = book(vec![step(1, &[])], vec![started(&[run(0, 0, 1)])]);
    expect_that!(cancelled.apply(Entry::Cancelled(Id(1)), NOW), eq(Change::Over(Id(1))));
    cancelled.apply(ended(run(0, 0, 1), 1, Outcome::Done), NOW);
    expect_that!(status(&cancelled), eq(Status::Cancelled));
    let done = ended(run(0, 0, 1), 1, Outcome::Done);
    let mut completed = book(vec![step(1, &[])], vec![started(&[run(0, 0, 1)]), done]);
    expect_that!(completed.apply(Entry::Cancelled(Id(1)), NOW), eq(Change::Nothing));
    expect_that!(status(&completed), eq(Status::Completed));
}

#[gtest]
fn only_failed_runs_count_as_attempts() {
    let mut book = book(vec![step(1, &[])], vec![]);
    let outcomes = [Outcome::Stopped, Outcome::Lapsed, Outcome::Failed, Outcome::Broken];
    for (number, outcome) in (1..).zip(outcomes) {
        book.apply(started(&[run(0, 0, number)]), NOW);
        book.apply(ended(run(0, 0, number), number.into(), outcome), NOW);
        expect_that!(status(&book), eq(Status::Running));
    }
    book.apply(started(&[run(0, 0, 5)]), NOW);
    expect_that!(book.apply(ended(run(0, 0, 5), 5, Outcome::Failed), NOW), eq(Change::Over(Id(1))));
    expect_that!(status(&book), eq(Status::Failed));
}

#[gtest]
fn one_end_of_a_gang_ends_all_its_tasks() {
    let gang = Step { gang: true, ..step(3, &[]) };
    let runs = [run(0, 0, 1), run(0, 1, 1), run(0, 2, 1)];
    let done = ended(runs[1], 1, Outcome::Done);
    expect_that!(
        status(&book(vec![gang.clone()], vec![started(&runs), done])),
        eq(Status::Completed)
    );
    // Two tasks of a gang that fail in the same run count as one failed attempt.
    let fails = [ended(runs[0], 1, Outcome::Failed), ended(runs[1], 2, Outcome::Failed)];
    let [first, second] = fails;
    expect_that!(
        status(&book(vec![gang], vec![started(&runs), first, second])),
        eq(Status::Running)
    );
}

#[gtest]
fn an_end_of_an_older_run_does_not_end_the_present_one() {
    let lost = Entry::Lost(vec![run(0, 0, 1)]);
    let mut book = book(vec![step(1, &[])], vec![started(&[run(0, 0, 1)]), lost]);
    book.apply(started(&[run(0, 0, 2)]), NOW);
    book.apply(ended(run(0, 0, 1), 1, Outcome::Stopped), NOW);
    expect_that!(book.placed(), elements_are![(eq(&run(0, 0, 2)), anything())]);
}

#[gtest]
fn a_recorded_start_that_was_refused_leaves_the_job_queued() {
    let mut book = book(vec![step(2, &[])], vec![started(&[run(0, 0, 1)])]);
    expect_that!(book.pending("deeds"), eq(0));
    book.apply(Entry::Lost(vec![run(0, 0, 1)]), NOW);
    expect_that!(book.pending("deeds"), eq(1));
    expect_that!(status(&book), eq(Status::Queued));
}

#[gtest]
fn the_first_claim_of_an_epoch_wins() {
    let claim = |epoch, owner: &str| Entry::Claimed {
        epoch,
        owner: owner.into(),
        address: "127.0.0.1:1".into(),
        nonce: 1,
    };
    let mut book = Book::default();
    expect_that!(book.apply(claim(1, "a"), NOW), eq(Change::Claimed));
    expect_that!(book.apply(claim(1, "b"), NOW), eq(Change::Nothing));
    expect_that!(&*book.claim().owner, eq("a"));
    expect_that!(book.apply(Entry::Released { epoch: 1 }, NOW), eq(Change::Claimed));
    expect_that!(book.claim().owner.is_empty(), eq(true));
    expect_that!(book.claim().epoch, eq(1));
}

#[gtest]
fn the_last_recorded_end_is_kept_for_each_incarnation() {
    let first = run(0, 0, 1);
    let book = book(vec![step(1, &[])], vec![started(&[first]), ended(first, 4, Outcome::Done)]);
    expect_that!(book.recorded_end(&incarnation()), eq(4));
    expect_that!(book.recorded_end(&Incarnation { born: 8, ..incarnation() }), eq(0));
}

fn claimed(epoch: u64, owner: &str) -> Entry {
    Entry::Claimed { epoch, owner: owner.into(), address: "".into(), nonce: epoch }
}

fn book_with_job(entries: Vec<Entry>) -> Book {
    book(vec![step(1, &[])], entries)
}

#[gtest]
fn no_earlier_owner_grants_leases_after_a_release_or_a_restart() {
    expect_true!(book_with_job(vec![claimed(1, "a")]).claim().is_alone);
    expect_true!(book_with_job(vec![claimed(1, "a"), claimed(2, "a")]).claim().is_alone);
    let released = vec![claimed(1, "a"), Entry::Released { epoch: 1 }, claimed(2, "b")];
    expect_true!(book_with_job(released).claim().is_alone);
    expect_false!(book_with_job(vec![claimed(1, "a"), claimed(2, "b")]).claim().is_alone);
}

#[gtest]
fn an_owner_before_the_last_may_grant_leases_until_it_is_settled() {
    let entries = vec![claimed(1, "a"), claimed(2, "b"), claimed(3, "b")];
    expect_false!(book_with_job(entries.clone()).claim().is_alone);
    let settled = [&entries[..2], &[Entry::Settled { epoch: 2 }], &entries[2..]].concat();
    expect_true!(book_with_job(settled).claim().is_alone);
    // `Settled` of an earlier owner does not cover the owners after it.
    let late = [&entries[..2], &[Entry::Settled { epoch: 1 }], &entries[2..]].concat();
    expect_false!(book_with_job(late).claim().is_alone);
}

#[gtest]
fn the_status_of_an_ended_job_outlives_its_tasks() {
    let first = run(0, 0, 1);
    let ends = vec![started(&[first]), ended(first, 1, Outcome::Done)];
    let mut book = book(vec![step(1, &[])], ends);
    book.expire(NOW + Millis::from_secs(29));
    expect_that!(book.jobs(), len(eq(1)));
    book.expire(NOW + Millis::from_secs(31));
    expect_that!(book.jobs(), is_empty());
    expect_that!(book.status(Id(1)), some(eq(Status::Completed)));
    // A repeated submission or a cancellation changes nothing.
    let again = Entry::Submitted(Box::new(job(1, vec![step(1, &[])])));
    expect_that!(book.apply(again, NOW), eq(Change::Nothing));
    expect_that!(book.apply(Entry::Cancelled(Id(1)), NOW), eq(Change::Nothing));
    expect_that!(book.status(Id(1)), some(eq(Status::Completed)));
    book.expire(NOW + Millis::from_secs(241));
    expect_that!(book.status(Id(1)), none());
}

#[gtest]
fn a_job_with_a_run_that_may_be_active_keeps_its_tasks() {
    let entries = vec![started(&[run(0, 0, 1)]), Entry::Cancelled(Id(1))];
    let mut book = book(vec![step(1, &[])], entries);
    book.expire(NOW + Millis::from_secs(100));
    expect_that!(book.placed(), len(eq(1)));
}
