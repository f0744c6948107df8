//! Tests that the controller starts and renews only what it can prove to be safe.

use super::{Config, Controller, Effect, Grant, HeartbeatResponse, Operation, Outcome};
use crate::clock::Millis;
use crate::contract::task;
use crate::ledger::fleet::Fleet;
use crate::ledger::record::{self, Change, Record, Register};
use crate::machine::capacity::Capacity;
use crate::machine::lease::Bounds;
use crate::machine::worker::{Inventory, Order, Reply, Start, Worker};
use crate::name::Name;
use crate::zone::Place;
use crate::zone::membership::{Instance, Role, State};
use googletest::prelude::*;

const NOW: Millis = Millis(1_000_000);
const NEEDS: Capacity = Capacity::new(1000, 1024, 0);
const CONFIG: Config = Config {
    bounds: Bounds {
        lease_ms: Millis::from_secs(30),
        currency_ms: Millis::from_secs(10),
        skew_ms: Millis(500),
    },
    suspicion: Millis::from_secs(15),
    loss: Millis::from_secs(30),
    pause: Millis(500),
};

fn name(raw: &str) -> Name {
    Name::try_from(raw).unwrap()
}

fn instance(raw: &str, role: Role) -> Instance {
    let place = Place { region: name("lima"), domain: name("lima-a"), rack: name("r1") };
    let address = "127.0.0.1:1".into();
    Instance {
        name: name(raw),
        role,
        place,
        address,
        state: State::Live,
        worker: None,
        service: None,
    }
}

fn inventory(epoch: u64) -> Inventory {
    let place = instance("worker-1", Role::Worker).place;
    let worker = Worker { name: name("worker-1"), place, capacity: Capacity::new(4000, 4096, 0) };
    Inventory {
        worker,
        epoch,
        controller: Some(name("entry-1")),
        leaving: false,
        running: Vec::new(),
        ended: Vec::new(),
    }
}

/// Returns a controller that has adopted `worker-1` under epoch 1.
fn controller() -> Controller {
    let mut controller = Controller::new(name("entry-1"), CONFIG);
    controller.fleet(&Fleet::default(), NOW);
    members(&mut controller, NOW);
    controller.tick(NOW);
    let effects = controller.effects();
    assert!(matches!(effects.as_slice(), [Effect::Adopt { expected: 0, .. }]), "{effects:?}");
    controller.adopted("worker-1", Outcome::Answered(Ok(inventory(1))), NOW);
    controller.effects();
    controller
}

fn members(controller: &mut Controller, now: Millis) {
    let own = instance("entry-1", Role::Entry);
    controller.members(&[instance("worker-1", Role::Worker)], &[&own], true, now);
}

fn task(index: u32) -> task::Id {
    task::Id { job: name("seal-1"), index }
}

fn reserve(index: u32, needs: Capacity) -> Operation {
    let until = NOW + Millis::from_secs(5);
    Operation::Reserve { worker: name("worker-1"), task: task(index), attempt: 1, needs, until }
}

fn start(index: u32, epoch: u64) -> Operation {
    let start = Start {
        epoch,
        needs: NEEDS,
        start_by: NOW + Millis::from_secs(30),
        until: NOW + Millis::from_secs(30),
        team: name("notaries"),
        kind: name("batch"),
        payload: String::new(),
        resume: false,
    };
    Operation::Start { worker: name("worker-1"), task: task(index), attempt: 1, start }
}

fn orders(controller: &mut Controller) -> Vec<Order> {
    let orders = |e| match e {
        Effect::Order { orders, .. } => Some(orders),
        _ => None,
    };
    controller.effects().into_iter().filter_map(orders).flatten().collect()
}

#[gtest]
fn reservations_never_exceed_the_capacity() {
    let mut controller = controller();
    let grants: Vec<Grant> = (0..6).map(|i| controller.handle(&reserve(i, NEEDS), NOW)).collect();
    let reserved = grants.iter().filter(|g| matches!(g, Grant::Reserved { epoch: 1 })).count();
    expect_that!(reserved, eq(4));
    expect_that!(grants[5], eq(Grant::Full));
}

#[gtest]
fn a_reservation_expires() {
    let mut controller = controller();
    let whole = Capacity::new(4000, 4096, 0);
    expect_that!(controller.handle(&reserve(0, whole), NOW), eq(Grant::Reserved { epoch: 1 }));
    let later = NOW + Millis::from_secs(6);
    let operation = Operation::Reserve {
        worker: name("worker-1"),
        task: task(1),
        attempt: 1,
        needs: whole,
        until: later + Millis::from_secs(5),
    };
    expect_that!(controller.handle(&operation, later), eq(Grant::Reserved { epoch: 1 }));
}

#[gtest]
fn a_start_waits_for_a_current_proof_that_nothing_is_lost() {
    let mut controller = controller();
    let late = NOW + CONFIG.bounds.currency_ms + Millis(1);
    controller.handle(&start(0, 1), late);
    expect_that!(orders(&mut controller), is_empty());
    controller.fleet(&Fleet::default(), late);
    controller.handle(&start(0, 1), late);
    expect_that!(orders(&mut controller), len(eq(1)));
}

#[gtest]
fn an_attempt_of_an_older_epoch_is_absent() {
    let mut controller = controller();
    controller.adopted("worker-1", Outcome::Answered(Ok(inventory(3))), NOW);
    expect_that!(controller.handle(&start(0, 1), NOW), eq(Grant::Absent));
    expect_that!(orders(&mut controller), is_empty());
}

#[gtest]
fn a_stop_goes_to_the_worker_even_when_the_attempt_is_not_known() {
    let mut controller = controller();
    let stop =
        Operation::Stop { worker: name("worker-1"), task: task(0), attempt: 1, checkpoint: false };
    expect_that!(controller.handle(&stop, NOW), eq(Grant::Accepted));
    expect_that!(orders(&mut controller), len(eq(1)));
}

#[gtest]
fn control_of_a_worker_with_a_newer_epoch_ends() {
    let mut controller = controller();
    controller.tick(NOW);
    let response = HeartbeatResponse { epoch: 2, revision: 1, inventory: None, ended: Vec::new() };
    controller.heartbeat_answered("worker-1", Outcome::Answered(response), NOW);
    expect_that!(controller.handle(&reserve(0, NEEDS), NOW), eq(Grant::Elsewhere));
}

#[gtest]
fn an_unresponsive_worker_is_recorded_as_lost_and_control_under_a_lost_epoch_ends() {
    let mut controller = controller();
    let late = NOW + CONFIG.loss;
    controller.fleet(&Fleet::default(), late);
    controller.tick(late);
    let loss = Effect::RecordLoss { worker: name("worker-1"), epoch: 1, expect: 0 };
    expect_that!(controller.effects(), contains(eq(&loss)));
    let mut fleet = Fleet::default();
    let record = Record {
        id: record::Id { writer: name("entry-2"), number: 1 },
        at: late,
        register: Register::Worker(name("worker-1")),
        expect: 0,
        change: Change::Lost { epoch: 1 },
    };
    fleet.apply(0, &record);
    controller.fleet(&fleet, late);
    controller.tick(late);
    expect_that!(controller.handle(&reserve(0, NEEDS), late), eq(Grant::Elsewhere));
}

#[gtest]
fn unanswered_orders_are_sent_again_when_requested_again() {
    let mut controller = controller();
    controller.handle(&start(0, 1), NOW);
    let sent = orders(&mut controller);
    expect_that!(controller.handle(&start(0, 1), NOW), eq(Grant::Accepted));
    expect_that!(orders(&mut controller), is_empty());
    controller.ordered("worker-1", 1, &sent, Outcome::NoAnswer, NOW);
    expect_that!(controller.handle(&start(0, 1), NOW), eq(Grant::Accepted));
    let again = orders(&mut controller);
    expect_that!(again, len(eq(1)));
    controller.ordered("worker-1", 1, &again, Outcome::Answered(vec![Reply::Done]), NOW);
    expect_that!(controller.handle(&start(0, 1), NOW), eq(Grant::Running));
}
