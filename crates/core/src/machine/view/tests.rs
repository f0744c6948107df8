use super::*;
use crate::name::Name;
use googletest::prelude::*;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn worker(text: &str, domain: &str) -> Worker {
    let place = Place { region: name("r"), domain: name(domain), rack: name("k") };
    Worker { name: name(text), place, capacity: Capacity::new(8000, 8000, 0) }
}

fn report(view: &mut View, worker: &Worker, free: Capacity, at: u64) -> Handle {
    view.report(&Report { worker, free: &free, leaving: false, at: Millis(at) })
}

fn find(view: &mut View, needs: Capacity) -> Option<Handle> {
    let request = PlacementRequest { needs, spread: false, payload_bytes: 0, avoid: None };
    view.find(&request, None, &Weights::default(), &|_, _| (0, 0))
}

const HALF: Capacity = Capacity::new(4000, 4000, 0);
const WHOLE: Capacity = Capacity::new(8000, 8000, 0);

#[gtest]
fn a_claim_counts_until_a_report_made_after_its_grant() {
    let mut view = View::default();
    let w = worker("a", "d");
    let handle = report(&mut view, &w, WHOLE, 1);
    view.claim(handle, &HALF);
    report(&mut view, &w, WHOLE, 2);
    expect_that!(view.available(handle), eq(HALF));
    view.grant(handle, &HALF, Millis(5));
    report(&mut view, &w, WHOLE, 4);
    expect_that!(view.available(handle), eq(HALF));
    report(&mut view, &w, HALF, 6);
    expect_that!(view.available(handle), eq(HALF));
}

#[gtest]
fn an_older_report_is_ignored() {
    let mut view = View::default();
    let w = worker("a", "d");
    let handle = report(&mut view, &w, HALF, 5);
    report(&mut view, &w, WHOLE, 4);
    expect_that!(view.available(handle), eq(HALF));
}

#[gtest]
fn a_refused_claim_keeps_the_worker_from_being_asked_again_before_its_next_report() {
    let mut view = View::default();
    let w = worker("a", "d");
    let handle = report(&mut view, &w, WHOLE, 1);
    view.claim(handle, &WHOLE);
    view.refuse(handle, &WHOLE);
    expect_that!(find(&mut view, HALF), none());
    report(&mut view, &w, HALF, 2);
    expect_that!(find(&mut view, HALF), some(eq(handle)));
}

#[gtest]
fn the_capacity_of_an_ended_task_is_freed_once() {
    let mut view = View::default();
    let w = worker("a", "d");
    let handle = report(&mut view, &w, HALF, 5);
    view.occupy(handle);
    view.free_up(handle, &HALF, Millis(7));
    expect_that!(view.available(handle), eq(WHOLE));
    let handle = report(&mut view, &w, WHOLE, 8);
    view.occupy(handle);
    view.free_up(handle, &HALF, Millis(8));
    expect_that!(view.available(handle), eq(WHOLE));
}

#[gtest]
fn leaving_quarantined_and_removed_workers_are_not_found() {
    let mut view = View::default();
    let w = worker("a", "d");
    let handle = report(&mut view, &w, WHOLE, 1);
    view.quarantine(handle, true);
    expect_that!(find(&mut view, HALF), none());
    view.quarantine(handle, false);
    expect_that!(find(&mut view, HALF), some(anything()));
    view.report(&Report { worker: &w, free: &WHOLE, leaving: true, at: Millis(2) });
    expect_that!(find(&mut view, HALF), none());
    expect_that!(*view.total(), eq(Capacity::ZERO));
    view.forget("a");
    expect_that!(view.handle("a"), none());
    expect_that!(find(&mut view, HALF), none());
}

#[gtest]
fn a_removed_worker_keeps_its_slot_while_tasks_refer_to_it() {
    let mut view = View::default();
    let handle = report(&mut view, &worker("a", "d"), WHOLE, 1);
    view.claim(handle, &HALF);
    view.forget("a");
    let other = report(&mut view, &worker("b", "d"), WHOLE, 1);
    expect_that!(other, not(eq(handle)));
    view.release(handle, &HALF);
    expect_that!(view.handle("a"), none());
    expect_that!(report(&mut view, &worker("c", "d"), WHOLE, 1), eq(handle));
}

#[gtest]
fn held_capacity_is_available_to_its_owner_only() {
    let mut view = View::default();
    let handle = report(&mut view, &worker("a", "d"), WHOLE, 1);
    view.hold(handle, &WHOLE);
    expect_that!(find(&mut view, HALF), none());
    expect_that!(view.available_with(handle, &WHOLE), eq(WHOLE));
    view.unhold(handle, &WHOLE);
    expect_that!(find(&mut view, HALF), some(eq(handle)));
}

#[gtest]
fn needs_that_fitted_nowhere_are_tried_again_when_a_worker_gains_capacity() {
    let mut view = View::default();
    let w = worker("a", "d");
    report(&mut view, &w, HALF, 1);
    expect_that!(find(&mut view, WHOLE), none());
    report(&mut view, &w, WHOLE, 2);
    expect_that!(find(&mut view, WHOLE), some(anything()));
}

#[gtest]
fn totals_follow_the_workers() {
    let mut view = View::default();
    let w = worker("a", "d");
    let handle = report(&mut view, &w, WHOLE, 1);
    report(&mut view, &worker("b", "e"), HALF, 1);
    view.claim(handle, &HALF);
    expect_that!(*view.total(), eq(WHOLE.times(2)));
    expect_that!(*view.free(), eq(WHOLE));
    expect_that!(view.domain(0), not(eq(view.domain(1))));
}
