use super::{Event, Gap, Line, Point, What, merge};
use crate::clock::Millis;
use crate::name::Name;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn event(process: &str, sequence: u64, at: u64, cause: Option<(&str, u64)>) -> Event {
    let cause = cause.map(|(process, sequence)| Point { process: name(process), sequence });
    Event {
        process: name(process),
        duty: name("test"),
        at: Millis(at),
        sequence,
        cause,
        what: What::ProcessStarted,
    }
}

fn order<'a>(lines: &[Line<'a>]) -> Vec<(&'a str, u64)> {
    lines.iter().map(|l| (l.event.process.as_str(), l.event.sequence)).collect()
}

#[gtest]
fn clocks_order_events_without_a_causal_order() {
    let events = [event("a", 1, 10, None), event("b", 1, 5, None), event("a", 2, 20, None)];
    expect_that!(order(&merge(&events)), eq(&vec![("b", 1), ("a", 1), ("a", 2)]));
}

#[gtest]
fn an_effect_never_precedes_its_cause_despite_clock_skew() {
    // The clock of b is 400 ms behind.
    let events = [
        event("a", 1, 1000, None),
        event("b", 1, 610, Some(("a", 1))),
        event("b", 2, 620, None),
        event("a", 2, 1030, Some(("b", 2))),
    ];
    let lines = merge(&events);
    expect_that!(order(&lines), eq(&vec![("a", 1), ("b", 1), ("b", 2), ("a", 2)]));
    expect_that!(lines[1].at, eq(Millis(1000)));
}

#[gtest]
fn a_clock_that_is_put_back_keeps_the_sequence() {
    let events = [event("a", 1, 50, None), event("a", 2, 10, None)];
    expect_that!(order(&merge(&events)), eq(&vec![("a", 1), ("a", 2)]));
}

#[gtest]
fn gaps_are_marked_at_the_start_and_within() {
    let events = [event("a", 3, 10, None), event("a", 4, 11, None), event("a", 7, 12, None)];
    let gaps: Vec<_> = merge(&events).iter().map(|l| l.gap).collect();
    let (first, second) = (Gap { from: 1, to: 2 }, Gap { from: 5, to: 6 });
    expect_that!(gaps, eq(&vec![Some(first), None, Some(second)]));
}

#[gtest]
fn an_event_without_its_cause_is_marked_and_kept() {
    let events = [event("a", 1, 10, Some(("b", 9)))];
    expect_that!(merge(&events)[0].orphan, eq(true));
}

#[gtest]
fn an_event_in_two_files_counts_once() {
    let events = [event("a", 1, 10, None), event("a", 1, 10, None)];
    expect_that!(merge(&events).len(), eq(1));
}

#[gtest]
fn two_processes_of_one_name_are_marked_and_lose_no_event() {
    let events = [event("a", 1, 10, None), event("a", 1, 90, None), event("a", 2, 20, None)];
    let lines = merge(&events);
    expect_that!(lines.len(), eq(3));
    expect_that!(lines.iter().filter(|l| l.repeated).count(), eq(1));
}

#[gtest]
fn a_cycle_of_causes_loses_no_event() {
    let events = [event("a", 1, 10, Some(("b", 1))), event("b", 1, 5, Some(("a", 1)))];
    expect_that!(order(&merge(&events)), eq(&vec![("b", 1), ("a", 1)]));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The events have arbitrary times, as from clocks that are skewed or set back, and causes among
    /// the events before them.
    #[test]
    fn every_merge_keeps_sequences_and_causes(
        steps in prop::collection::vec((0..4usize, 0..1000u64, prop::option::of(0..60usize)), 1..60),
    ) {
        let names = ["a", "b", "c", "d"];
        let mut events: Vec<Event> = Vec::new();
        let mut next = [1_u64; 4];
        for (process, at, cause) in steps {
            let cause = cause.and_then(|i| events.get(i)).map(|e| (e.process.clone(), e.sequence));
            let cause = cause.as_ref().map(|(p, s)| (p.as_str(), *s));
            let made = event(names[process], next[process], at, cause);
            next[process] += 1;
            events.push(made);
        }
        let wanted = events.len();
        events.reverse();
        let lines = merge(&events);
        prop_assert_eq!(lines.len(), wanted);
        for (i, line) in lines.iter().enumerate() {
            let before = &lines[..i];
            let precedes = |process: &str, sequence: u64| {
                before.iter().any(|l| {
                    l.event.process.as_str() == process && l.event.sequence == sequence
                })
            };
            prop_assert!(!line.orphan && line.gap.is_none());
            prop_assert!(before.iter().all(|l| l.at <= line.at));
            let own = line.event.process.as_str();
            prop_assert!(line.event.sequence == 1 || precedes(own, line.event.sequence - 1));
            if let Some(cause) = &line.event.cause {
                prop_assert!(precedes(cause.process.as_str(), cause.sequence));
            }
        }
    }
}
