//! Requests under failures, each brought about over real daemons: every answer is the whole one,
//! a true "not run", or "unknown, ask by id", and no runner is given more than its limits.

#[path = "support/flight.rs"]
mod flight;
mod support;

use flight::{Flight, Landed, raw, slow};
use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::class::Class;
use pimentovalve::core::contract::request::{Answer, Raw};
use pimentovalve::standin::fleet::Plan;
use pimentovalve::standin::runner::Runner;
use std::time::Duration;
use support::Trial;

/// One worker and one runner in each of the three failure domains.
fn few_runners(daemons: usize) -> Trial {
    let plan = Plan::andino(1, 1).expect("the plan is valid");
    let trial = Trial::start_with(&plan, daemons, |_| {});
    trial.await_runners();
    trial
}

fn runners(trial: &Trial) -> impl Iterator<Item = &Runner> {
    trial.cell.fleet.runners.iter().map(|(_, runner)| runner)
}

fn executing(trial: &Trial) -> u32 {
    trial.cell.fleet.observer.usages().iter().map(|u| u.slots).sum()
}

fn land(flights: Vec<Flight>) -> Vec<Landed> {
    flights.into_iter().map(Flight::land).collect()
}

#[gtest]
fn connections_that_went_silent_are_replaced() {
    let trial = few_runners(2);
    runners(&trial).for_each(|r| r.link().silence());
    let requests = (0..12).map(|i| raw(&format!("silent-{i}"), i % 2 == 0, 3000));
    let flights = requests.enumerate().map(|(i, r)| trial.send(i % 2, &r)).collect();
    let landed = land(flights);
    expect_that!(landed.iter().filter(|l| l.is_whole()).count(), eq(landed.len()));
    expect_that!(trial.wrongs(&landed), is_empty());
}

#[gtest]
fn late_answers_are_dropped_and_whole_answers_come_from_elsewhere() {
    let trial = few_runners(2);
    for runner in runners(&trial).take(2) {
        runner.late_answers(3, Millis(1500));
    }
    let requests = (0..12).map(|i| raw(&format!("late-{i}"), i % 2 == 0, 1000));
    let flights = requests.enumerate().map(|(i, r)| trial.send(i % 2, &r)).collect();
    let landed = land(flights);
    std::thread::sleep(Duration::from_millis(1000));
    expect_that!(trial.wrongs(&landed), is_empty());
    for l in landed.iter().filter(|l| l.request.idempotent) {
        expect_that!(l.is_whole(), eq(true), "{:?}", l.answer);
    }
}

#[gtest]
fn crossed_answers_reach_nobody() {
    let trial = few_runners(2);
    runners(&trial).for_each(|r| r.cross_answers(3));
    let requests = (0..24).map(|i| raw(&format!("cross-{i}"), i % 2 == 0, 3000));
    let flights = requests.enumerate().map(|(i, r)| trial.send(i % 2, &r)).collect();
    let landed = land(flights);
    expect_that!(trial.wrongs(&landed), is_empty());
    for l in landed.iter().filter(|l| l.request.idempotent) {
        expect_that!(l.is_whole(), eq(true), "{:?}", l.answer);
    }
}

#[gtest]
fn an_answer_that_was_lost_after_execution_is_unknown_and_not_run_again() {
    let trial = few_runners(2);
    runners(&trial).for_each(|r| r.lose_answers(1));
    let landed = trial.ask(0, &raw("purge-lost", false, 1500));
    expect_that!(landed.answer, some(matches_pattern!(Answer::Unknown { .. })));
    let asked = trial.answered(1, "purge-lost");
    expect_that!(asked, some(matches_pattern!(Answer::Unknown { .. })));
    let again = trial.ask(1, &raw("purge-lost", false, 1500));
    expect_that!(again.answer, some(matches_pattern!(Answer::Unknown { .. })));
    expect_that!(trial.cell.fleet.observer.executions("purge-lost"), len(eq(1)));
    let lookup = trial.ask(0, &raw("lookup-lost", true, 3000));
    expect_that!(lookup.is_whole(), eq(true));
    expect_that!(trial.wrongs(&[landed, again, lookup]), is_empty());
}

#[gtest]
fn a_paused_runner_gets_nothing_new_before_it_answers() {
    let trial = few_runners(1);
    let paused = runners(&trial).next().expect("a runner");
    paused.link().pause();
    let first = (0..9).map(|i| trial.send(0, &raw(&format!("first-{i}"), i % 2 == 0, 800)));
    let mut landed = land(first.collect());
    let held = paused.link().pending();
    let then = (0..9).map(|i| trial.send(0, &raw(&format!("then-{i}"), true, 2000)));
    let then = land(then.collect());
    expect_that!(then.iter().all(Landed::is_whole), eq(true));
    // Only questions about the slots may have come; they are as few as the pauses between them.
    expect_that!(paused.link().pending(), le(held + 20));
    paused.link().resume();
    trial.until("the held requests have run", || paused.link().pending() == 0);
    landed.extend(then);
    expect_that!(trial.wrongs(&landed), is_empty());
    expect_that!(trial.overspent(), eq(0));
    trial.await_runners();
}

#[gtest]
fn a_leaving_runner_gets_nothing_new_within_three_seconds() {
    let trial = few_runners(2);
    let name = trial.cell.fleet.runners[0].0.clone();
    expect_that!(trial.cell.fleet.leave(name.as_str()), eq(true));
    let left = pimentovalve::standin::clock::now();
    let mut landed = Vec::new();
    while pimentovalve::standin::clock::now().since(left) < Millis(4000) {
        let number = landed.len();
        landed.push(trial.ask(number % 2, &raw(&format!("leave-{number}"), true, 2000)));
        std::thread::sleep(Duration::from_millis(10));
    }
    let late = landed.iter().flat_map(|l| trial.cell.fleet.observer.executions(&l.request.id));
    let late = late.filter(|e| e.runner == name && e.start > left + Millis(3000));
    expect_that!(late.count(), eq(0));
    expect_that!(landed.iter().all(Landed::is_whole), eq(true));
    expect_that!(trial.wrongs(&landed), is_empty());
}

#[gtest]
fn a_killed_controller_leaves_its_slots_to_the_next_one() {
    let mut trial = few_runners(3);
    // Every runner's slots are in use when a controller dies.
    let first = (0..24).map(|i| trial.send(i % 3, &slow(&format!("held-{i}"), false, 6000, 3000)));
    let first: Vec<Flight> = first.collect();
    trial.until("all slots are in use", || executing(&trial) == 24);
    trial.cell.kill(0);
    let nodes = trial.cell.running();
    let next = (0..30).map(|i| {
        let node = nodes[i % nodes.len()];
        trial.send(node, &slow(&format!("next-{i}"), i % 2 == 0, 15_000, 50))
    });
    let next: Vec<Flight> = next.collect();
    let next = land(next);
    expect_that!(next.iter().filter(|l| !l.is_whole()).count(), eq(0));
    let mut landed = land(first);
    landed.extend(next);
    expect_that!(trial.wrongs(&landed), is_empty());
    expect_that!(trial.overspent(), eq(0));
}

#[gtest]
fn in_a_log_outage_lookups_go_on_and_the_rest_is_truly_not_run() {
    let trial = few_runners(2);
    trial.cell.fleet.log.outage(true);
    let lookups = (0..8).map(|i| trial.send(i % 2, &raw(&format!("look-{i}"), true, 3000)));
    let purges = (0..8).map(|i| trial.send(i % 2, &raw(&format!("purge-{i}"), false, 3000)));
    let flights: Vec<Flight> = lookups.chain(purges).collect();
    let landed = land(flights);
    let (lookups, purges) = landed.split_at(8);
    expect_that!(lookups.iter().all(Landed::is_whole), eq(true));
    expect_that!(purges.iter().filter(|l| !l.is_not_run()).count(), eq(0));
    trial.cell.fleet.log.outage(false);
    trial.until("the ledger is written again", || {
        trial.ask(0, &raw("after", false, 3000)).is_whole()
    });
    for l in purges {
        expect_that!(trial.cell.fleet.observer.executions(&l.request.id), is_empty());
    }
    expect_that!(trial.wrongs(&landed), is_empty());
}

#[gtest]
fn the_same_id_at_every_instance_runs_once() {
    let trial = few_runners(3);
    let mut landed = Vec::new();
    for i in 0..10 {
        let request = slow(&format!("same-{i}"), false, 4000, 20);
        let flights = (0..3).map(|node| trial.send(node, &request)).collect();
        landed.extend(land(flights));
        trial.until("every instance tells the answer", || {
            (0..3).all(|node| {
                let told = trial.answered(node, &request.id);
                matches!(told, Some(Answer::Whole { body, .. }) if body == request.id)
            })
        });
        let ran = trial.cell.fleet.observer.executions(&request.id).len();
        expect_that!(ran, eq(1), "{}", request.id);
    }
    expect_that!(landed.iter().filter(|l| l.is_not_run()).count(), eq(0));
    expect_that!(trial.wrongs(&landed), is_empty());
}

#[gtest]
fn a_retry_at_another_instance_after_a_death_runs_nothing_twice() {
    let mut trial = few_runners(3);
    let flights: Vec<Flight> = (0..12)
        .map(|i| trial.send(0, &slow(&format!("retry-{i}"), false, 3000, 10 * (i % 4))))
        .collect();
    // Some are claimed and not sent, some are sent and not answered when the instance dies.
    std::thread::sleep(Duration::from_millis(15));
    trial.cell.kill(0);
    let first = land(flights);
    // What was sent ends within 30 ms.
    std::thread::sleep(Duration::from_millis(500));
    expect_that!(trial.wrongs(&first), is_empty());
    let again: Vec<Landed> = first
        .iter()
        .enumerate()
        .map(|(i, l)| trial.ask(1 + i % 2, &Raw { wait_ms: Millis(6000), ..l.request.clone() }))
        .collect();
    expect_that!(trial.wrongs(&again), is_empty());
    // Whoever was told that it did not run may have sent it again, and it ran for the first time.
    for l in first.iter().filter(|l| !l.is_not_run()) {
        let executions = trial.cell.fleet.observer.executions(&l.request.id);
        expect_that!(l.wrong(&executions), none());
    }
}

#[gtest]
fn an_instance_that_dies_between_claim_and_send_leaves_nothing_to_run_twice() {
    let mut trial = few_runners(3);
    // The claims land after the instance that wrote them has died.
    trial.cell.fleet.log.delay_landing(50, Millis(600));
    let flights: Vec<Flight> =
        (0..6).map(|i| trial.send(0, &raw(&format!("claimed-{i}"), false, 3000))).collect();
    std::thread::sleep(Duration::from_millis(200));
    trial.cell.kill(0);
    trial.cell.fleet.log.delay_landing(0, Millis::ZERO);
    let mut landed = land(flights);
    let again: Vec<Raw> = landed.iter().map(|l| l.request.clone()).collect();
    for (i, request) in again.iter().enumerate() {
        let request = Raw { wait_ms: Millis(8000), ..request.clone() };
        let flights = (1..3).map(|node| trial.send(node, &request)).collect();
        landed.extend(land(flights));
        let told = [trial.answered(1 + i % 2, &request.id), trial.answered(2 - i % 2, &request.id)];
        expect_that!(told[0], some(anything()));
        expect_that!(told[0], eq(&told[1]));
    }
    expect_that!(trial.wrongs(&landed), is_empty());
}

#[gtest]
fn a_controller_that_was_paused_wakes_without_spending() {
    let trial = few_runners(3);
    let first = (0..24).map(|i| trial.send(i % 3, &slow(&format!("held-{i}"), false, 9000, 2500)));
    let first: Vec<Flight> = first.collect();
    trial.until("all slots are in use", || executing(&trial) == 24);
    trial.cell.freeze(0, true);
    // The others adopt its workers and use their runners, as far as they are free.
    let next = (0..40)
        .map(|i| trial.send(1 + i % 2, &slow(&format!("next-{i}"), i % 2 == 0, 15_000, 300)));
    let next: Vec<Flight> = next.collect();
    trial.until("the first have ended", || executing(&trial) < 24);
    std::thread::sleep(Duration::from_secs(2));
    // It wakes with requests that came while it was paused.
    let woken: Vec<Flight> = (0..24)
        .map(|i| trial.send(0, &slow(&format!("woken-{i}"), i % 2 == 0, 9000, 50)))
        .collect();
    trial.cell.freeze(0, false);
    let mut landed = land(first);
    landed.extend(land(next));
    for l in landed.iter().filter(|l| l.request.idempotent) {
        expect_that!(l.is_whole(), eq(true), "{}: {:?}", l.request.id, l.answer);
    }
    // A steward that is paused holds claims: they may be unknown, but not lost without a word.
    expect_that!(landed.iter().filter(|l| l.answer.is_none()).count(), eq(0));
    landed.extend(land(woken));
    expect_that!(trial.wrongs(&landed), is_empty());
    expect_that!(trial.overspent(), eq(0));
}

#[gtest]
fn a_controller_that_is_cut_off_from_its_worker_stops_spending() {
    let trial = few_runners(1);
    // Requests one after the other are served in the region of their instance.
    let near = &trial.cell.nodes[0].instance.place;
    let runner = runners(&trial).map(Runner::runner).find(|r| r.place.same_region(near));
    let runner = runner.expect("a runner in the region");
    let worker = trial.cell.fleet.worker(runner.worker.as_str()).expect("its worker");
    worker.link().cut();
    let cut = pimentovalve::standin::clock::now();
    let mut landed = Vec::new();
    while pimentovalve::standin::clock::now().since(cut) < Millis(4500) {
        let number = landed.len();
        landed.push(trial.ask(0, &raw(&format!("cut-{number}"), true, 2000)));
        std::thread::sleep(Duration::from_millis(10));
    }
    let served = landed.iter().flat_map(|l| trial.cell.fleet.observer.executions(&l.request.id));
    let served: Vec<_> = served.filter(|e| e.runner == runner.name).collect();
    expect_that!(served, not(is_empty()));
    // The term is 1.2 s; the rest is for a busy machine.
    expect_that!(served.iter().filter(|e| e.start > cut + Millis(3000)).count(), eq(0));
    expect_that!(landed.iter().all(Landed::is_whole), eq(true));
    expect_that!(trial.wrongs(&landed), is_empty());
}

#[gtest]
fn a_planned_stop_cuts_off_no_request() {
    let mut trial = few_runners(3);
    // Three runners, each controlled by some daemon: most requests are forwarded by one daemon to
    // another, and each daemon has its own as well.
    let slow_one = |i: usize, p: &str| slow(&format!("{p}-{i}"), i & 1 == 0, 8000, 1500);
    let mut flights: Vec<Flight> = (0..18).map(|i| trial.send(i % 3, &slow_one(i, "a"))).collect();
    // Hedges may use slots too.
    trial.until("they run", || executing(&trial) >= 18);
    trial.cell.stop(0);
    flights.extend((0..12).map(|i| trial.send(1 + i % 2, &slow_one(i, "b"))));
    std::thread::sleep(Duration::from_millis(50));
    trial.cell.stop(1);
    flights.extend((0..6).map(|i| trial.send(2, &slow_one(i, "c"))));
    let landed = land(flights);
    let cut: Vec<&Landed> = landed.iter().filter(|l| !l.is_whole()).collect();
    let cut: Vec<_> = cut.iter().map(|l| (&l.request.id, &l.answer)).collect();
    expect_that!(cut, is_empty());
    expect_that!(trial.wrongs(&landed), is_empty());
    expect_that!(trial.overspent(), eq(0));
}

#[gtest]
fn a_flood_is_refused_truly_and_the_urgent_go_first() {
    let trial = few_runners(2);
    let flood = (0..160).map(|i| {
        let request = slow(&format!("flood-{i}"), i % 4 != 0, 1500, 300);
        trial.send(i % 2, &Raw { class: Class::Deferrable, ..request })
    });
    let flood: Vec<Flight> = flood.collect();
    trial.until("all slots are in use", || executing(&trial) >= 20);
    let urgent = (0..12).map(|i| trial.send(i % 2, &slow(&format!("urgent-{i}"), true, 2500, 50)));
    let urgent: Vec<Flight> = urgent.collect();
    let urgent = land(urgent);
    expect_that!(urgent.iter().filter(|l| !l.is_whole()).count(), eq(0));
    let landed = land(flood);
    let refused = landed.iter().filter(|l| l.is_not_run()).count();
    expect_that!(refused, gt(0));
    expect_that!(landed.iter().filter(|l| l.is_whole()).count(), gt(24));
    for l in &landed {
        if let Some(Answer::NotRun { retry_after_ms, .. }) = &l.answer {
            expect_that!(*retry_after_ms, gt(Millis::ZERO));
        }
    }
    expect_that!(trial.wrongs(&landed), is_empty());
    expect_that!(trial.overspent(), eq(0));
}
