use super::*;
use crate::ledger::record::{Change, Register};
use crate::name::Name;
use googletest::prelude::*;

const NOW: Millis = Millis(1_000);
const LIMITS: Limits = Limits { group: 2, records: 4, timeout_ms: Millis(100) };

fn id(number: u64) -> Id {
    Id { writer: Name::try_from("a").unwrap(), number }
}

fn record(number: u64) -> Record {
    let register = Register::Key(Name::try_from("key").unwrap());
    Record {
        id: id(number),
        at: NOW,
        register,
        expect: 0,
        change: Change::Claim { digest: 1, sender: 1 },
    }
}

fn writer(records: u64) -> Writer {
    let mut writer = Writer::new(Stream::Partition(0), LIMITS, 7);
    for number in 1..=records {
        writer.submit(record(number)).unwrap();
    }
    writer
}

fn append(group: u64, numbers: &[u64]) -> Effect {
    Effect::Append { group, records: numbers.iter().map(|n| record(*n)).collect() }
}

fn settled(number: u64, offset: Offset) -> Effect {
    Effect::Settled { id: id(number), offset, verdict: Verdict::Accepted }
}

#[gtest]
fn one_group_is_in_flight_at_a_time() {
    let mut writer = writer(3);
    expect_that!(writer.tick(NOW), eq(&vec![append(1, &[1, 2])]));
    expect_that!(writer.tick(NOW), is_empty());
    writer.answered(1);
    expect_that!(writer.tick(NOW), eq(&vec![append(2, &[3])]));
}

#[gtest]
fn a_record_settles_when_it_is_read_and_not_when_it_is_acknowledged() {
    let mut writer = writer(1);
    writer.tick(NOW);
    writer.answered(1);
    expect_that!(writer.pending(), eq(1));
    let effect = writer.seen(7, &record(1), Verdict::Accepted);
    expect_that!(effect, some(eq(&settled(1, 7))));
    expect_that!(writer.pending(), eq(0));
}

#[gtest]
fn a_record_may_be_read_before_it_is_acknowledged() {
    let mut writer = writer(1);
    writer.tick(NOW);
    let effect = writer.seen(7, &record(1), Verdict::Accepted);
    expect_that!(effect, some(eq(&settled(1, 7))));
    writer.answered(1);
    expect_that!(writer.pending(), eq(0));
}

#[gtest]
fn a_refused_group_is_not_in_the_stream() {
    let mut writer = writer(2);
    writer.tick(NOW);
    let refused = writer.refused(1);
    expect_that!(refused, eq(&vec![Effect::Refused(id(1)), Effect::Refused(id(2))]));
    expect_that!(writer.pending(), eq(0));
}

#[gtest]
fn after_a_lost_answer_the_stream_is_read_back_before_the_next_group() {
    let mut writer = writer(3);
    writer.tick(NOW);
    let late = NOW + Millis(101);
    let timed_out =
        vec![Effect::ReadBack(7), Effect::Undetermined(id(1)), Effect::Undetermined(id(2))];
    expect_that!(writer.tick(late), eq(&timed_out));
    expect_that!(writer.tick(late), is_empty());
    let effect = writer.seen(7, &record(1), Verdict::Accepted);
    expect_that!(effect, some(eq(&settled(1, 7))));
    writer.read_back();
    expect_that!(writer.undetermined(), eq(&[id(2)]));
    expect_that!(writer.tick(late), eq(&vec![append(2, &[3])]));
}

#[gtest]
fn an_undetermined_record_settles_when_it_is_read_and_is_never_sent_again() {
    let mut writer = writer(1);
    writer.tick(NOW);
    writer.timed_out(1);
    writer.read_back();
    expect_that!(writer.tick(NOW + Millis(10_000)), is_empty());
    let effect = writer.seen(9, &record(1), Verdict::Accepted);
    expect_that!(effect, some(eq(&settled(1, 9))));
}

#[gtest]
fn a_late_answer_is_not_taken_for_that_of_the_next_group() {
    let mut writer = writer(3);
    writer.tick(NOW);
    writer.timed_out(1);
    writer.read_back();
    writer.tick(NOW);
    expect_that!(writer.refused(1), is_empty());
    writer.answered(1);
    expect_that!(writer.undetermined(), eq(&[id(1), id(2)]));
    expect_that!(writer.refused(2), eq(&vec![Effect::Refused(id(3))]));
}

#[gtest]
fn only_the_first_copy_of_a_record_counts() {
    let mut writer = writer(1);
    writer.tick(NOW);
    writer.seen(7, &record(1), Verdict::Accepted);
    let second = writer.seen(8, &record(1), Verdict::Stale { current: 1 });
    expect_that!(second, none());
    expect_that!(writer.seen(7, &record(1), Verdict::Accepted), none());
}

#[gtest]
fn undetermined_records_count_towards_the_limit() {
    let mut writer = writer(4);
    expect_that!(writer.submit(record(5)), err(eq(Full)));
    writer.tick(NOW);
    writer.timed_out(1);
    expect_that!(writer.submit(record(5)), err(eq(Full)));
    expect_true!(writer.withdraw(&id(4)));
    expect_false!(writer.withdraw(&id(1)));
    expect_true!(writer.forget(&id(1)));
    expect_that!(writer.submit(record(5)), ok(eq(())));
}

#[gtest]
fn acknowledged_records_that_a_snapshot_covers_become_undetermined() {
    let mut writer = writer(2);
    writer.tick(NOW);
    writer.answered(1);
    writer.restored(20);
    expect_that!(writer.undetermined(), eq(&[id(1), id(2)]));
}
