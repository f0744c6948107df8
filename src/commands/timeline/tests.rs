use super::filter::Filter;
use super::{describe, plot, write_line};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::task;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{Event, Point, What, merge};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn events() -> Vec<Event> {
    let task = task::Id { job: name("deed-7"), index: 0 };
    let job = What::JobEnded { job: name("deed-7") };
    let order = What::OrderSent { task, attempt: 1, worker: name("worker-3"), epoch: 2 };
    let request = What::RequestClaimed { request: name("purge-1") };
    let cause = Some(Point { process: name("entry-9"), sequence: 4 });
    [(1, order, None), (4, job, cause), (5, request, None)]
        .into_iter()
        .map(|(sequence, what, cause)| Event {
            process: name("entry-1"),
            duty: name("scheduler"),
            at: Millis(sequence),
            sequence,
            cause,
            what,
        })
        .collect()
}

#[gtest]
fn filters_events_by_job_request_or_worker() {
    let events = events();
    for (job, request, worker, wanted) in [
        (None, None, None, 3),
        (Some("deed-7"), None, None, 2),
        (None, Some("purge-1"), None, 1),
        (None, None, Some("worker-3"), 1),
        (Some("deed-8"), None, None, 0),
        (Some("deed-7"), Some("purge-1"), None, 3),
    ] {
        let filter = Filter::new(job, request, worker).unwrap();
        expect_that!(filter.apply(merge(&events)).len(), eq(wanted));
    }
    expect_that!(Filter::new(Some("two words"), None, None), err(anything()));
}

#[gtest]
fn marks_gaps_and_missing_causes() {
    let events = events();
    let mut out = Vec::new();
    for line in merge(&events) {
        write_line(&mut out, &line).unwrap();
    }
    let text = String::from_utf8(out).unwrap();
    expect_that!(text, contains_substring("... entry-1: events 2 to 3 are missing"));
    expect_that!(text, contains_substring("<- entry-9#4 (missing)"));
    expect_that!(
        describe(&events[0]),
        contains_substring("order_sent attempt=1 epoch=2 task=deed-7/0")
    );
}

#[gtest]
fn plot_shows_every_process() {
    let path = std::env::temp_dir().join(format!("timeline-{}.svg", std::process::id()));
    let events = events();
    plot::draw(&path, &merge(&events)).unwrap();
    let drawn = std::fs::read_to_string(&path).unwrap();
    plot::draw(&path, &[]).unwrap();
    std::fs::remove_file(&path).unwrap();
    expect_that!(drawn, contains_substring("entry-1"));
    expect_that!(drawn.matches("<circle").count(), eq(3));
    expect_that!(plot::draw(std::path::Path::new("/no/such/folder/a.svg"), &[]), err(anything()));
}
