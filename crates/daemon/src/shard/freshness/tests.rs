use super::{Statement, Verdict, worth_waiting};
use crate::shard::view::ShardStatus;
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;

const NOW: Millis = Millis(1_000_000);

/// Returns the status of a daemon whose last complete read of the log began `age` ago and took 10 ms.
fn read(age: u64) -> ShardStatus {
    let covered_until = NOW.since(Millis(age));
    let log_read_at = covered_until + Millis(10);
    ShardStatus { caught_up: true, covered_until, log_read_at, ..ShardStatus::default() }
}

/// Judges a statement to a caller that asked `waited` ago and waits for 2 s in all.
fn judge(statement: Statement, status: &ShardStatus, waited: u64) -> Verdict {
    let asked = NOW.since(Millis(waited));
    statement.judge(status, asked, asked + Millis::from_secs(2), NOW)
}

#[gtest]
fn a_count_may_be_two_seconds_old() {
    expect_that!(judge(Statement::Count, &read(2000), 0), eq(Verdict::Current));
    expect_that!(judge(Statement::Count, &read(2001), 0), eq(Verdict::TooOld));
}

#[gtest]
fn the_status_of_a_job_that_has_not_ended_may_be_three_seconds_old() {
    expect_that!(judge(Statement::Unended, &read(3000), 0), eq(Verdict::Current));
    expect_that!(judge(Statement::Unended, &read(3001), 0), eq(Verdict::TooOld));
}

#[gtest]
fn absence_needs_a_read_that_began_after_the_question() {
    expect_that!(judge(Statement::Absence, &read(50), 51), eq(Verdict::Current));
    expect_that!(judge(Statement::Absence, &read(50), 50), pat!(Verdict::Wait(anything())));
}

#[gtest]
fn nothing_waits_for_a_log_that_can_not_be_read() {
    expect_that!(judge(Statement::Absence, &read(1500), 0), pat!(Verdict::Wait(anything())));
    expect_that!(judge(Statement::Absence, &read(1510), 0), eq(Verdict::TooOld));
    // Reads that take a second leave larger gaps.
    let mut slow = read(2400);
    slow.response_time.record(Millis::from_secs(1));
    expect_that!(judge(Statement::Count, &slow, 0), pat!(Verdict::Wait(anything())));
}

#[gtest]
fn nothing_waits_for_a_daemon_that_has_not_caught_up() {
    let started = ShardStatus::default();
    expect_that!(judge(Statement::Count, &started, 0), eq(Verdict::TooOld));
    expect_that!(judge(Statement::Absence, &started, 0), eq(Verdict::TooOld));
}

#[gtest]
fn a_wait_ends_with_the_time_of_the_caller() {
    let status = read(100);
    let deadline = NOW + Millis(30);
    let verdict = |now| Statement::Absence.judge(&status, NOW, deadline, now);
    expect_that!(verdict(NOW), eq(Verdict::Wait(deadline)));
    expect_that!(verdict(deadline), eq(Verdict::TooOld));
}

#[gtest]
fn a_caller_that_asks_for_a_running_job_waits_for_the_next_read_at_most() {
    expect_that!(worth_waiting(&read(60), NOW), none());
    let mut far = read(150);
    far.response_time.record(Millis(70));
    expect_that!(worth_waiting(&far, NOW), some(eq(NOW + Millis(130))));
}

#[gtest]
fn no_caller_waits_for_an_owner_a_slow_store_or_a_replica_that_lags() {
    expect_that!(worth_waiting(&ShardStatus { epoch: Some(1), ..read(150) }, NOW), none());
    expect_that!(worth_waiting(&ShardStatus { caught_up: false, ..read(150) }, NOW), none());
    let mut slow = read(150);
    slow.response_time.record(Millis(400));
    expect_that!(worth_waiting(&slow, NOW), none());
    expect_that!(worth_waiting(&read(2000), NOW), none());
}
