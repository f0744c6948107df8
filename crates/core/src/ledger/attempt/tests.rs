use super::*;
use crate::contract::task::State;
use crate::ledger::record::{Change, Id, Record, Register};
use crate::machine::capacity::Capacity;
use crate::machine::worker::{Ended, RunningAttempt, Worker};
use crate::zone::Place;
use googletest::prelude::*;

const BOUNDS: Bounds = Bounds { lease_ms: Millis(30), currency_ms: Millis(10), skew_ms: Millis(2) };

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn id() -> task::Id {
    task::Id { job: name("job"), index: 0 }
}

fn lost(epoch: Epoch) -> Fleet {
    let mut fleet = Fleet::default();
    let record = Record {
        id: Id { writer: name("a"), number: 1 },
        at: Millis(1),
        register: Register::Worker(name("w")),
        expect: 0,
        change: Change::Lost { epoch },
    };
    fleet.apply(5, &record);
    fleet
}

fn task(state: State, placed_at: u64) -> Task {
    Task {
        version: 1,
        state,
        attempt: 1,
        failures: 0,
        result: String::new(),
        placed_at: Millis(placed_at),
        needs: Capacity::new(1, 1, 0),
    }
}

fn placed(epoch: Epoch, placed_at: u64) -> Task {
    task(State::Placed { worker: name("w"), epoch }, placed_at)
}

/// Returns the ruling on a task whose worker is lost up to epoch 3, where the loss was read at 100.
fn decide(
    task: &Task,
    separation: Separation,
    consulted_since: Option<u64>,
    now: u64,
) -> PlacementDecision {
    let fleet = lost(3);
    let mut loss_read_times = LossReadTimes::default();
    loss_read_times.update(&fleet, Millis(100));
    loss_read_times.update(&fleet, Millis(120));
    let consulted_since = consulted_since.map(Millis);
    let view =
        View { fleet: &fleet, loss_read_times: &loss_read_times, consulted_since, bounds: &BOUNDS };
    view.decide(task, separation, Millis(now))
}

#[gtest]
fn the_fence_is_lease_and_currency_and_twice_the_skew() {
    expect_that!(BOUNDS.fence(), eq(Millis(44)));
}

#[gtest]
fn a_waiting_task_is_free_and_an_ended_one_is_not() {
    expect_that!(
        decide(&task(State::Waiting, 0), Separation::Move, None, 0),
        eq(PlacementDecision::Unplaced)
    );
    expect_that!(
        decide(&task(State::Waiting, 0), Separation::Hold, None, 0),
        eq(PlacementDecision::Unplaced)
    );
    for state in [State::Completed, State::Failed, State::Cancelled] {
        expect_that!(
            decide(&task(state, 0), Separation::Move, Some(0), 999),
            eq(PlacementDecision::Ended)
        );
    }
}

#[gtest]
fn the_fence_counts_from_the_first_reading_of_the_loss() {
    let task = placed(3, 0);
    let moves = Separation::Move;
    expect_that!(decide(&task, moves, Some(0), 144), eq(PlacementDecision::Wait(Millis(144))));
    expect_that!(decide(&task, moves, Some(0), 145), eq(PlacementDecision::Fenced(5)));
}

#[gtest]
fn the_fence_counts_from_when_all_controllers_poll_this_instance() {
    let task = placed(3, 0);
    let moves = Separation::Move;
    expect_that!(decide(&task, moves, None, 999), eq(PlacementDecision::FenceUnproved));
    expect_that!(decide(&task, moves, Some(110), 154), eq(PlacementDecision::Wait(Millis(154))));
    expect_that!(decide(&task, moves, Some(110), 155), eq(PlacementDecision::Fenced(5)));
}

#[gtest]
fn the_fence_waits_for_an_attempt_that_never_started() {
    let task = placed(3, 130);
    expect_that!(
        decide(&task, Separation::Move, Some(0), 162),
        eq(PlacementDecision::Wait(Millis(162)))
    );
    expect_that!(decide(&task, Separation::Move, Some(0), 163), eq(PlacementDecision::Fenced(5)));
}

#[gtest]
fn a_newer_epoch_is_not_lost() {
    expect_that!(
        decide(&placed(4, 0), Separation::Move, Some(0), 999),
        eq(PlacementDecision::Placed)
    );
}

#[gtest]
fn an_attempt_of_a_kind_with_hold_is_never_fenced() {
    expect_that!(
        decide(&placed(3, 0), Separation::Hold, Some(0), 999),
        eq(PlacementDecision::OnHold)
    );
}

#[gtest]
fn a_newer_loss_needs_its_own_read_time() {
    let mut loss_read_times = LossReadTimes::default();
    loss_read_times.update(&lost(3), Millis(100));
    let newer = Loss { offset: 9, ..lost(3).losses()[0].clone() };
    expect_that!(loss_read_times.read_at(&newer), none());
}

fn inventory(epoch: Epoch) -> Inventory {
    let place = Place { region: name("r"), domain: name("d"), rack: name("k") };
    Inventory {
        worker: Worker { name: name("w"), place, capacity: Capacity::new(8, 8, 0) },
        epoch,
        controller: None,
        leaving: false,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

#[gtest]
fn an_attempt_missing_from_an_inventory_of_a_newer_epoch_is_evicted() {
    expect_that!(reported_end(&inventory(3), &id(), 1, 3), none());
    expect_that!(reported_end(&inventory(4), &id(), 1, 3), some(eq(&End::Evicted)));
}

#[gtest]
fn a_running_attempt_is_not_over() {
    let mut inventory = inventory(4);
    inventory.running.push(RunningAttempt {
        task: id(),
        attempt: 1,
        epoch: 3,
        team: name("t"),
        kind: name("k"),
        needs: Capacity::new(1, 1, 0),
        until: Millis(50),
        usage: Capacity::ZERO,
    });
    expect_that!(reported_end(&inventory, &id(), 1, 3), none());
    expect_that!(reported_end(&inventory, &id(), 2, 3), some(eq(&End::Evicted)));
}

#[gtest]
fn a_reported_end_keeps_its_result() {
    let mut inventory = inventory(4);
    inventory.ended.push(Ended {
        sequence: 1,
        task: id(),
        attempt: 1,
        team: name("t"),
        ending: Ending::Completed("done".into()),
        peak: Capacity::ZERO,
        ran_ms: Millis(5),
    });
    let completed = End::Completed("done".into());
    expect_that!(reported_end(&inventory, &id(), 1, 3), some(eq(&completed)));
    expect_that!(reported_end(&inventory, &id(), 1, 4), some(eq(&completed)));
}
