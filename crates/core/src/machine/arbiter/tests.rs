use super::*;
use crate::zone::Place;
use googletest::prelude::*;

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn id(index: u32) -> task::Id {
    task::Id { job: name("job"), index }
}

/// Returns the arbiter of a worker of 4 cores that controller `a` adopted under epoch 1.
fn arbiter() -> Arbiter {
    let place = Place { region: name("r"), domain: name("d"), rack: name("k") };
    let worker = Worker { name: name("w"), place, capacity: Capacity::new(4000, 4, 0) };
    let mut arbiter = Arbiter::new(worker);
    arbiter.adopt(&name("a"), 0).unwrap();
    arbiter
}

fn start(index: u32, attempt: u32, epoch: Epoch) -> Order {
    let action = Action::Start(Start {
        epoch,
        needs: Capacity::new(2000, 2, 0),
        start_by: Millis(100),
        until: Millis(50),
        team: name("t"),
        kind: name("k"),
        payload: String::new(),
        resume: false,
    });
    Order { task: id(index), attempt, action }
}

fn order(index: u32, attempt: u32, action: Action) -> Order {
    Order { task: id(index), attempt, action }
}

fn refused(refusal: Refusal) -> Reply {
    Reply::Refused(refusal)
}

fn running(arbiter: &Arbiter) -> Vec<(u32, u32)> {
    arbiter.inventory().running.iter().map(|h| (h.task.index, h.attempt)).collect()
}

#[gtest]
fn one_of_two_racing_adoptions_wins() {
    let mut arbiter = arbiter();
    expect_that!(arbiter.adopt(&name("b"), 1).map(|i| i.epoch), ok(eq(2)));
    expect_that!(arbiter.adopt(&name("a"), 1).map(|i| i.epoch), err(eq(2)));
    expect_that!(arbiter.inventory().controller, some(eq(&name("b"))));
}

#[gtest]
fn orders_of_a_former_controller_are_refused() {
    let mut arbiter = arbiter();
    arbiter.order(1, &start(0, 1, 1), Millis(0));
    arbiter.adopt(&name("b"), 1).unwrap();
    for action in [Action::Stop, Action::Checkpoint, Action::Renew { until: Millis(90) }] {
        let reply = arbiter.order(1, &order(0, 1, action), Millis(1));
        expect_that!(reply, eq(&refused(Refusal::Epoch)));
    }
    expect_that!(arbiter.order(1, &start(1, 1, 1), Millis(1)), eq(&refused(Refusal::Epoch)));
    expect_false!(arbiter.renew(1, &[(id(0), 1)], Millis(90), Millis(1)));
    expect_that!(arbiter.inventory().running[0].until, eq(Millis(50)));
}

#[gtest]
fn a_start_needs_the_epoch_of_its_record() {
    let mut arbiter = arbiter();
    arbiter.adopt(&name("a"), 1).unwrap();
    expect_that!(arbiter.order(2, &start(0, 1, 1), Millis(0)), eq(&refused(Refusal::Epoch)));
    expect_that!(arbiter.order(2, &start(0, 1, 2), Millis(0)), eq(&Reply::Done));
}

#[gtest]
fn a_duplicate_of_a_start_does_nothing() {
    let mut arbiter = arbiter();
    expect_that!(arbiter.order(1, &start(0, 1, 1), Millis(0)), eq(&Reply::Done));
    expect_that!(arbiter.order(1, &start(0, 1, 1), Millis(1)), eq(&Reply::Done));
    expect_that!(running(&arbiter), eq(&vec![(0, 1)]));
    arbiter.finish(&id(0), 1, Ending::Completed(String::new()), Millis(2));
    let again = arbiter.order(1, &start(0, 1, 1), Millis(3));
    expect_that!(again, eq(&refused(Refusal::Conflict)));
    expect_that!(running(&arbiter), is_empty());
}

#[gtest]
fn a_start_after_its_deadline_is_refused() {
    let mut arbiter = arbiter();
    let late = arbiter.order(1, &start(0, 1, 1), Millis(51));
    expect_that!(late, eq(&refused(Refusal::Late)));
}

#[gtest]
fn capacity_is_never_exceeded_and_a_refused_attempt_stays_refused() {
    let mut arbiter = arbiter();
    arbiter.order(1, &start(0, 1, 1), Millis(0));
    arbiter.order(1, &start(1, 1, 1), Millis(0));
    let third = arbiter.order(1, &start(2, 1, 1), Millis(0));
    expect_that!(third, eq(&refused(Refusal::Capacity)));
    arbiter.order(1, &order(0, 1, Action::Stop), Millis(1));
    let again = arbiter.order(1, &start(2, 1, 1), Millis(1));
    expect_that!(again, eq(&refused(Refusal::Conflict)));
    expect_that!(arbiter.order(1, &start(2, 2, 1), Millis(1)), eq(&Reply::Done));
}

#[gtest]
fn a_start_that_arrives_after_its_stop_is_refused() {
    let mut arbiter = arbiter();
    let stop = arbiter.order(1, &order(0, 1, Action::Stop), Millis(0));
    expect_that!(stop, eq(&refused(Refusal::Absent)));
    let started = arbiter.order(1, &start(0, 1, 1), Millis(1));
    expect_that!(started, eq(&refused(Refusal::Conflict)));
}

#[gtest]
fn a_renewal_starts_nothing_and_never_shortens() {
    let mut arbiter = arbiter();
    arbiter.renew(1, &[(id(0), 1)], Millis(90), Millis(0));
    expect_that!(running(&arbiter), is_empty());
    arbiter.order(1, &start(0, 1, 1), Millis(0));
    arbiter.renew(1, &[(id(0), 2), (id(1), 1)], Millis(90), Millis(1));
    expect_that!(arbiter.inventory().running[0].until, eq(Millis(50)));
    arbiter.renew(1, &[(id(0), 1)], Millis(90), Millis(1));
    arbiter.renew(1, &[(id(0), 1)], Millis(60), Millis(1));
    expect_that!(arbiter.inventory().running[0].until, eq(Millis(90)));
}

#[gtest]
fn an_expired_lease_is_not_renewed() {
    let mut arbiter = arbiter();
    arbiter.order(1, &start(0, 1, 1), Millis(0));
    arbiter.renew(1, &[(id(0), 1)], Millis(90), Millis(51));
    expect_that!(running(&arbiter), is_empty());
    expect_that!(arbiter.inventory().ended[0].ending, eq(&Ending::Lapsed));
}

#[gtest]
fn ended_attempts_are_reported_until_the_controller_acknowledges_them() {
    let mut arbiter = arbiter();
    arbiter.order(1, &start(0, 1, 1), Millis(0));
    arbiter.finish(&id(0), 1, Ending::Failed("x".into()), Millis(5));
    arbiter.acknowledge(0, 1);
    expect_that!(arbiter.inventory().ended.len(), eq(1));
    expect_that!(arbiter.inventory().ended[0].ran_ms, eq(Millis(5)));
    arbiter.acknowledge(1, 1);
    expect_that!(arbiter.inventory().ended, is_empty());
}

#[gtest]
fn a_worker_at_its_limit_of_remembered_attempts_starts_nothing_until_they_expire() {
    let mut arbiter = arbiter();
    for index in 0..u32::try_from(MAX_REMEMBERED).unwrap() {
        arbiter.order(1, &order(index, 1, Action::Stop), Millis(0));
    }
    let full = arbiter.order(1, &start(0, 2, 1), Millis(0));
    expect_that!(full, eq(&refused(Refusal::Full)));
    let mut later = start(0, 2, 1);
    if let Action::Start(start) = &mut later.action {
        (start.start_by, start.until) = (Millis::MAX, Millis::MAX);
    }
    let now = STOP_RETENTION + Millis(1);
    expect_that!(arbiter.order(1, &later, now), eq(&Reply::Done));
}

#[gtest]
fn a_leaving_worker_starts_nothing() {
    let mut arbiter = arbiter();
    arbiter.leave();
    expect_that!(arbiter.order(1, &start(0, 1, 1), Millis(0)), eq(&refused(Refusal::Leaving)));
}
