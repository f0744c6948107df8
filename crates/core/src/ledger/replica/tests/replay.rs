//! Tests of replay: which record wins, and that a snapshot with the records after it gives the same
//! state as the whole stream.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::job::Job;
use crate::contract::kind::{Kind, Separation, Shape};
use crate::contract::task::{self, State};
use crate::ledger::record::{self, Change, End, Record, Register};
use crate::ledger::replica::Replica;
use crate::ledger::{Offset, Verdict, snapshot};
use crate::machine::capacity::Capacity;
use crate::name::Name;
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};

const WINDOW: Millis = Millis(160);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn record(at: u64, register: Register, expect: u64, change: Change) -> Record {
    Record {
        id: record::Id { writer: name("a"), number: at },
        at: Millis(at),
        register,
        expect,
        change,
    }
}

fn submit(at: u64, id: &str, tasks: u32) -> Record {
    let kind = Kind {
        name: name("k"),
        shape: Shape::Batch,
        separation: Separation::Move,
        class: Class::Normal,
        attempts: 2,
    };
    let job = Job {
        id: name(id),
        team: name("t"),
        kind: name("k"),
        class: None,
        tasks,
        needs: Capacity::new(1, 1, 0),
        run_ms: Millis::ZERO,
        payload: String::new(),
    };
    record(at, Register::Job(name(id)), 0, Change::Submit { job, kind })
}

fn claim(at: u64, id: &str) -> Record {
    record(at, Register::Key(name(id)), 0, Change::Claim { digest: 1, sender: 1 })
}

fn attempt(at: u64, id: &str, expect: u64, attempt: u32, fence: Option<Offset>) -> Record {
    let needs = Capacity::new(1, 1, 0);
    let change = Change::Attempt { attempt, worker: name("w"), epoch: 1, needs, fence };
    record(at, Register::Task(task::Id { job: name(id), index: 0 }), expect, change)
}

fn over(at: u64, id: &str, expect: u64, attempt: u32, end: End) -> Record {
    let register = Register::Task(task::Id { job: name(id), index: 0 });
    record(at, register, expect, Change::Over { attempt, end })
}

fn cancel(at: u64, id: &str) -> Record {
    record(at, Register::Job(name(id)), 1, Change::Cancel)
}

/// Applies records from offset 0 on and returns the resulting replica and the verdicts.
fn replay(records: &[Record]) -> (Replica, Vec<Verdict>) {
    let mut replica = Replica::new(WINDOW);
    let verdicts = records.iter().zip(0..).map(|(record, offset)| replica.apply(offset, record));
    let verdicts = verdicts.collect();
    (replica, verdicts)
}

const STALE: Verdict = Verdict::Stale { current: 1 };

#[gtest]
fn the_first_record_wins() {
    let (replica, verdicts) = replay(&[
        submit(1, "j", 1),
        submit(2, "j", 1),
        attempt(3, "j", 0, 1, None),
        attempt(4, "j", 0, 1, None),
        claim(5, "key"),
        claim(6, "key"),
    ]);
    let ok = Verdict::Accepted;
    expect_that!(verdicts, eq(&vec![ok, STALE, ok, STALE, ok, STALE]));
    expect_that!(replica.key("key").unwrap().at, eq(Millis(5)));
}

#[gtest]
fn a_placed_task_is_placed_again_only_after_a_fence_or_its_end() {
    let (_, verdicts) = replay(&[
        submit(1, "j", 1),
        attempt(2, "j", 0, 1, None),
        attempt(3, "j", 1, 2, None),
        attempt(4, "j", 1, 3, Some(0)),
        attempt(5, "j", 1, 2, Some(0)),
        over(6, "j", 2, 1, End::Evicted),
        over(7, "j", 2, 2, End::Evicted),
        attempt(8, "j", 3, 3, None),
    ]);
    let (ok, no) = (Verdict::Accepted, Verdict::Illegal);
    expect_that!(verdicts, eq(&vec![ok, ok, no, no, ok, no, ok, ok]));
}

#[gtest]
fn a_cancelled_task_that_is_placed_ends_when_its_worker_reports_it() {
    let (replica, _) = replay(&[submit(1, "j", 1), attempt(2, "j", 0, 1, None), cancel(3, "j")]);
    expect_true!(replica.job("j").unwrap().tasks[0].placement().is_some());
    expect_false!(replica.job("j").unwrap().has_ended());
    let mut replica = replica;
    replica.apply(3, &over(4, "j", 1, 1, End::Evicted));
    expect_that!(replica.job("j").unwrap().tasks[0].state, eq(&State::Cancelled));
}

#[gtest]
fn a_task_fails_when_its_attempts_are_exhausted() {
    let failed = || End::Failed("no".into());
    let (replica, _) = replay(&[
        submit(1, "j", 1),
        attempt(2, "j", 0, 1, None),
        over(3, "j", 1, 1, failed()),
        attempt(4, "j", 2, 2, None),
        over(5, "j", 3, 2, failed()),
    ]);
    expect_that!(replica.job("j").unwrap().tasks[0].state, eq(&State::Failed));
}

fn any_record() -> impl Strategy<Value = Record> {
    (0..7u8, 0..900u64, 0..3u8, 0..4u64, 1..3u32).prop_map(|(what, at, id, expect, number)| {
        let id = format!("id-{id}");
        match what {
            0 => submit(at, &id, 2),
            1 => cancel(at, &id),
            2 => claim(at, &id),
            3 => attempt(at, &id, expect, number, None),
            4 => attempt(at, &id, expect, number, Some(1)),
            5 => over(at, &id, expect, number, End::Evicted),
            _ => over(at, &id, expect, number, End::Completed("done".into())),
        }
    })
}

#[gtest]
fn a_snapshot_at_any_offset_and_the_records_after_it_give_the_whole_state() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&(vec(any_record(), 1..60), 0..60usize), |(records, cut)| {
        let cut = cut.min(records.len());
        let (whole, verdicts) = replay(&records);
        let (replica, _) = replay(&records[..cut]);
        let bytes = rmp_serde::to_vec_named(&snapshot::State::Replica(replica)).unwrap();
        let snapshot::State::Replica(mut replica) = rmp_serde::from_slice(&bytes).unwrap() else {
            return Err(TestCaseError::fail("the snapshot deserialised as another kind"));
        };
        for (offset, record) in (0..).zip(&records).skip(cut) {
            let verdict = replica.apply(offset, record);
            if verdict != verdicts[cut..][usize::try_from(offset).unwrap() - cut] {
                return Err(TestCaseError::fail(format!(
                    "verdict at offset {offset} differs: {verdict:?}"
                )));
            }
        }
        if replica == whole {
            Ok(())
        } else {
            Err(TestCaseError::fail("the book restored from the snapshot differs"))
        }
    });
    expect_that!(result, ok(anything()));
}
