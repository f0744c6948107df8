use super::{Journal, Memory};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use std::sync::Arc;
use std::thread;

#[gtest]
fn duties_share_one_sequence_without_gaps() {
    let memory = Arc::new(Memory::new(300));
    let sink = Arc::clone(&memory);
    let journal = Journal::new(Name::try_from("entry-1").unwrap(), sink);
    thread::scope(|scope| {
        for duty in ["callers", "scheduler", "log"] {
            let journal = &journal;
            scope.spawn(move || {
                let duty = Name::try_from(duty).unwrap();
                for _ in 0..100 {
                    journal.note(&duty, Millis::ZERO, None, What::ProcessStarted);
                }
            });
        }
    });
    let sequences: Vec<u64> = memory.events().iter().map(|e| e.sequence).collect();
    expect_that!(sequences, eq(&(1..=300).collect::<Vec<u64>>()));
}

#[gtest]
fn memory_is_bounded() {
    let memory = Arc::new(Memory::new(2));
    let sink = Arc::clone(&memory);
    let journal = Journal::new(Name::try_from("entry-1").unwrap(), sink);
    let duty = Name::try_from("log").unwrap();
    for _ in 0..5 {
        journal.note(&duty, Millis::ZERO, None, What::ProcessStarted);
    }
    expect_that!(memory.events().len(), eq(2));
}
