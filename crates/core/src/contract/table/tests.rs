use super::*;
use crate::contract::kind::Shape;
use crate::contract::policy;
use googletest::prelude::*;

fn entry(id: &str) -> Entry {
    Entry {
        id: Name::try_from(id).unwrap(),
        hash: hash(id),
        team: 0,
        kind: Name::try_from("k").unwrap(),
        class: Class::Normal,
        policy: policy::of(Shape::Batch),
        needs: Capacity::new(1, 1, 0),
        run: Millis::ZERO,
        payload_bytes: 0,
        tasks: vec![Place::Idle],
        waiting: 0,
        placed: 0,
        units: 0,
        work: 0,
        not_before: Millis::ZERO,
        tries: 0,
        preempted_at: Millis::ZERO,
    }
}

#[gtest]
fn every_job_is_found_by_its_id_until_it_is_removed() {
    let mut table = Table::default();
    let ids: Vec<String> = (0..5000).map(|i| format!("job-{i}")).collect();
    let numbers: Vec<Number> = ids.iter().map(|id| table.insert(entry(id))).collect();
    for (id, number) in ids.iter().zip(&numbers) {
        expect_that!(table.number(id), some(eq(*number)));
    }
    for (id, number) in ids.iter().zip(&numbers).step_by(2) {
        table.remove(*number);
        expect_that!(table.number(id), none());
    }
    expect_that!(table.len(), eq(2500));
    expect_that!(table.number(&ids[1]), some(eq(numbers[1])));
    expect_that!(table.number("absent"), none());
}

#[gtest]
fn a_number_is_reused_after_removal() {
    let mut table = Table::default();
    let first = table.insert(entry("a"));
    table.remove(first);
    table.remove(first);
    expect_that!(table.insert(entry("b")), eq(first));
    expect_that!(table.number("a"), none());
    expect_that!(table.len(), eq(1));
}
