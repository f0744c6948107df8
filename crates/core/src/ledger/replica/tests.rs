mod replay;

use super::Replica;
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::job::Job;
use crate::contract::kind::{Kind, Separation, Shape};
use crate::ledger::Verdict;
use crate::ledger::record::{Change, Id, Record, Register};
use crate::machine::capacity::Capacity;
use crate::name::Name;
use googletest::prelude::*;

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn submit(id: &str, at: u64) -> Record {
    let job = Job {
        id: name(id),
        team: name("team"),
        kind: name("batch"),
        class: None,
        tasks: 1,
        needs: Capacity::new(1000, 1000, 0),
        run_ms: Millis::ZERO,
        payload: String::new(),
    };
    let kind = Kind {
        name: name("batch"),
        shape: Shape::Batch,
        separation: Separation::Move,
        class: Class::Normal,
        attempts: 1,
    };
    record(Register::Job(name(id)), 0, Change::Submit { job, kind }, at)
}

fn record(register: Register, expect: u64, change: Change, at: u64) -> Record {
    let id = Id { writer: name("writer"), number: at };
    Record { id, at: Millis(at), register, expect, change }
}

fn claim(id: &str, at: u64) -> Record {
    record(Register::Key(name(id)), 0, Change::Claim { digest: 1, sender: 1 }, at)
}

#[gtest]
fn an_expired_id_is_not_accepted_as_a_new_one() {
    let mut replica = Replica::new(Millis(1000));
    replica.apply(0, &submit("a", 100));
    replica.apply(1, &record(Register::Job(name("a")), 1, Change::Cancel, 200));
    replica.apply(2, &claim("k", 300));
    replica.apply(3, &submit("live", 400));
    expect_that!(replica.apply(4, &submit("b", 3000)), eq(Verdict::Accepted));
    expect_that!(replica.job("a"), none());
    expect_that!(replica.key("k"), none());
    // A job that has not ended is never removed.
    expect_that!(replica.job("live"), some(anything()));
    expect_that!(replica.apply(5, &submit("a", 3001)), eq(Verdict::Illegal));
    expect_that!(replica.apply(6, &claim("k", 3002)), eq(Verdict::Illegal));
    expect_that!(replica.is_expired(&Register::Key(name("k"))), eq(true));
    expect_that!(replica.is_expired(&Register::Job(name("b"))), eq(false));
}

#[gtest]
fn expiry_depends_on_the_records_alone() {
    let records = [submit("a", 100), claim("k", 300), submit("b", 3000), claim("k", 3002)];
    let mut whole = Replica::new(Millis(1000));
    for (offset, record) in (0..).zip(&records) {
        whole.apply(offset, record);
    }
    // Restoring a snapshot of any offset and replaying the remaining records gives the same state.
    for cut in 0..records.len() {
        let mut replica = Replica::new(Millis(1000));
        for (offset, record) in (0..).zip(&records[..cut]) {
            replica.apply(offset, record);
        }
        let bytes = rmp_serde::to_vec_named(&replica).expect("the book serialises");
        let mut replica: Replica = rmp_serde::from_slice(&bytes).expect("the book deserialises");
        for (offset, record) in (cut as u64..).zip(&records[cut..]) {
            replica.apply(offset, record);
        }
        expect_that!(replica, eq(&whole));
    }
}
