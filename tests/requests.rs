//! Requests under injected faults, against real daemons: every answer is the complete one, a
//! correct "not run", or "unknown", and no runner is sent more than its limits allow.

#[path = "support/flight.rs"]
mod flight;
mod support;

use flight::{FinishedRequest, PendingRequest, echo_request, slow_request};
use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::class::Class;
use pimentovalve::core::contract::request::{Answer, Raw};
use pimentovalve::standin::fleet::Plan;
use pimentovalve::standin::runner::Runner;
use std::time::Duration;
use support::Harness;

/// Starts a cell with one worker and one runner in each of the three failure domains.
fn start_with_one_runner_per_domain(daemons: usize) -> Harness {
    let plan = Plan::andino(1, 1).expect("the plan is valid");
    let harness = Harness::start_with(&plan, daemons, |_| {});
    harness.await_runners();
    harness
}

fn runners(harness: &Harness) -> impl Iterator<Item = &Runner> {
    harness.cell.fleet.runners.iter().map(|(_, runner)| runner)
}

fn slots_in_use(harness: &Harness) -> u32 {
    harness.cell.fleet.observer.slot_usage().iter().map(|u| u.slots).sum()
}

fn wait_all(pending: Vec<PendingRequest>) -> Vec<FinishedRequest> {
    pending.into_iter().map(PendingRequest::wait).collect()
}

#[gtest]
fn silent_connections_are_replaced() {
    let harness = start_with_one_runner_per_domain(2);
    runners(&harness).for_each(|r| r.link().silence());
    let requests = (0..12).map(|i| echo_request(&format!("silent-{i}"), i % 2 == 0, 3000));
    let pending = requests.enumerate().map(|(i, r)| harness.send(i % 2, &r)).collect();
    let finished = wait_all(pending);
    expect_that!(finished.iter().filter(|l| l.is_whole()).count(), eq(finished.len()));
    expect_that!(harness.violations(&finished), is_empty());
}

#[gtest]
fn late_answers_are_dropped_and_idempotent_requests_are_answered_by_another_runner() {
    let harness = start_with_one_runner_per_domain(2);
    for runner in runners(&harness).take(2) {
        runner.late_answers(3, Millis(1500));
    }
    let requests = (0..12).map(|i| echo_request(&format!("late-{i}"), i % 2 == 0, 1000));
    let pending = requests.enumerate().map(|(i, r)| harness.send(i % 2, &r)).collect();
    let finished = wait_all(pending);
    std::thread::sleep(Duration::from_millis(1000));
    expect_that!(harness.violations(&finished), is_empty());
    for l in finished.iter().filter(|l| l.request.idempotent) {
        expect_that!(l.is_whole(), eq(true), "{:?}", l.answer);
    }
}

#[gtest]
fn an_answer_to_another_request_is_never_delivered() {
    let harness = start_with_one_runner_per_domain(2);
    runners(&harness).for_each(|r| r.cross_answers(3));
    let requests = (0..24).map(|i| echo_request(&format!("cross-{i}"), i % 2 == 0, 3000));
    let pending = requests.enumerate().map(|(i, r)| harness.send(i % 2, &r)).collect();
    let finished = wait_all(pending);
    expect_that!(harness.violations(&finished), is_empty());
    for l in finished.iter().filter(|l| l.request.idempotent) {
        expect_that!(l.is_whole(), eq(true), "{:?}", l.answer);
    }
}

#[gtest]
fn a_request_whose_answer_is_lost_after_execution_is_unknown_and_not_run_again() {
    let harness = start_with_one_runner_per_domain(2);
    runners(&harness).for_each(|r| r.lose_answers(1));
    let finished = harness.ask(0, &echo_request("purge-lost", false, 1500));
    expect_that!(finished.answer, some(matches_pattern!(Answer::Unknown { .. })));
    let asked = harness.query_answer(1, "purge-lost");
    expect_that!(asked, some(matches_pattern!(Answer::Unknown { .. })));
    let again = harness.ask(1, &echo_request("purge-lost", false, 1500));
    expect_that!(again.answer, some(matches_pattern!(Answer::Unknown { .. })));
    expect_that!(harness.cell.fleet.observer.executions("purge-lost"), len(eq(1)));
    let lookup = harness.ask(0, &echo_request("lookup-lost", true, 3000));
    expect_that!(lookup.is_whole(), eq(true));
    expect_that!(harness.violations(&[finished, again, lookup]), is_empty());
}

#[gtest]
fn a_paused_runner_gets_no_new_requests_until_it_answers() {
    let harness = start_with_one_runner_per_domain(1);
    let paused = runners(&harness).next().expect("a runner");
    paused.link().pause();
    let first =
        (0..9).map(|i| harness.send(0, &echo_request(&format!("first-{i}"), i % 2 == 0, 800)));
    let mut finished = wait_all(first.collect());
    let held = paused.link().pending();
    let then = (0..9).map(|i| harness.send(0, &echo_request(&format!("then-{i}"), true, 2000)));
    let then = wait_all(then.collect());
    expect_that!(then.iter().all(FinishedRequest::is_whole), eq(true));
    // Only slot queries may have arrived since. Their interval keeps them below 20 in this time.
    expect_that!(paused.link().pending(), le(held + 20));
    paused.link().resume();
    harness.wait_until("the held requests have run", || paused.link().pending() == 0);
    finished.extend(then);
    expect_that!(harness.violations(&finished), is_empty());
    expect_that!(harness.rejected_for_slots(), eq(0));
    harness.await_runners();
}

#[gtest]
fn a_leaving_runner_gets_no_new_requests_after_three_seconds() {
    let harness = start_with_one_runner_per_domain(2);
    let name = harness.cell.fleet.runners[0].0.clone();
    expect_that!(harness.cell.fleet.leave(name.as_str()), eq(true));
    let left = pimentovalve::standin::clock::now();
    let mut finished = Vec::new();
    while pimentovalve::standin::clock::now().since(left) < Millis(4000) {
        let number = finished.len();
        finished
            .push(harness.ask(number % 2, &echo_request(&format!("leave-{number}"), true, 2000)));
        std::thread::sleep(Duration::from_millis(10));
    }
    let late = finished.iter().flat_map(|l| harness.cell.fleet.observer.executions(&l.request.id));
    let late = late.filter(|e| e.runner == name && e.start > left + Millis(3000));
    expect_that!(late.count(), eq(0));
    expect_that!(finished.iter().all(FinishedRequest::is_whole), eq(true));
    expect_that!(harness.violations(&finished), is_empty());
}

#[gtest]
fn the_next_controller_does_not_exceed_slots_in_use_when_a_controller_is_killed() {
    let mut harness = start_with_one_runner_per_domain(3);
    // All runner slots are in use when a controller dies.
    let first = (0..24)
        .map(|i| harness.send(i % 3, &slow_request(&format!("held-{i}"), false, 6000, 3000)));
    let first: Vec<PendingRequest> = first.collect();
    harness.wait_until("all slots are in use", || slots_in_use(&harness) == 24);
    harness.cell.kill(0);
    let nodes = harness.cell.running();
    let next = (0..30).map(|i| {
        let node = nodes[i % nodes.len()];
        harness.send(node, &slow_request(&format!("next-{i}"), i % 2 == 0, 15_000, 50))
    });
    let next: Vec<PendingRequest> = next.collect();
    let next = wait_all(next);
    expect_that!(next.iter().filter(|l| !l.is_whole()).count(), eq(0));
    let mut finished = wait_all(first);
    finished.extend(next);
    expect_that!(harness.violations(&finished), is_empty());
    expect_that!(harness.rejected_for_slots(), eq(0));
}

#[gtest]
fn in_a_log_outage_idempotent_requests_are_served_and_others_are_not_run() {
    let harness = start_with_one_runner_per_domain(2);
    harness.cell.fleet.log.set_outage(true);
    let lookups =
        (0..8).map(|i| harness.send(i % 2, &echo_request(&format!("look-{i}"), true, 3000)));
    let purges =
        (0..8).map(|i| harness.send(i % 2, &echo_request(&format!("purge-{i}"), false, 3000)));
    let pending: Vec<PendingRequest> = lookups.chain(purges).collect();
    let finished = wait_all(pending);
    let (lookups, purges) = finished.split_at(8);
    expect_that!(lookups.iter().all(FinishedRequest::is_whole), eq(true));
    expect_that!(purges.iter().filter(|l| !l.is_not_run()).count(), eq(0));
    harness.cell.fleet.log.set_outage(false);
    harness.wait_until("the ledger can be written again", || {
        harness.ask(0, &echo_request("after", false, 3000)).is_whole()
    });
    for l in purges {
        expect_that!(harness.cell.fleet.observer.executions(&l.request.id), is_empty());
    }
    expect_that!(harness.violations(&finished), is_empty());
}

#[gtest]
fn the_same_id_sent_to_every_instance_runs_once() {
    let harness = start_with_one_runner_per_domain(3);
    let mut finished = Vec::new();
    for i in 0..10 {
        let request = slow_request(&format!("same-{i}"), false, 4000, 20);
        let pending = (0..3).map(|node| harness.send(node, &request)).collect();
        finished.extend(wait_all(pending));
        harness.wait_until("every instance returns the answer", || {
            (0..3).all(|node| {
                let told = harness.query_answer(node, &request.id);
                matches!(told, Some(Answer::Whole { body, .. }) if body == request.id)
            })
        });
        let ran = harness.cell.fleet.observer.executions(&request.id).len();
        expect_that!(ran, eq(1), "{}", request.id);
    }
    expect_that!(finished.iter().filter(|l| l.is_not_run()).count(), eq(0));
    expect_that!(harness.violations(&finished), is_empty());
}

#[gtest]
fn a_retry_at_another_instance_after_a_crash_runs_nothing_twice() {
    let mut harness = start_with_one_runner_per_domain(3);
    let pending: Vec<PendingRequest> = (0..12)
        .map(|i| harness.send(0, &slow_request(&format!("retry-{i}"), false, 3000, 10 * (i % 4))))
        .collect();
    // When the instance dies, some requests are claimed but not sent and some are sent but not
    // answered.
    std::thread::sleep(Duration::from_millis(15));
    harness.cell.kill(0);
    let first = wait_all(pending);
    // Requests that were sent take at most 30 ms.
    std::thread::sleep(Duration::from_millis(500));
    expect_that!(harness.violations(&first), is_empty());
    let again: Vec<FinishedRequest> = first
        .iter()
        .enumerate()
        .map(|(i, l)| harness.ask(1 + i % 2, &Raw { wait_ms: Millis(6000), ..l.request.clone() }))
        .collect();
    expect_that!(harness.violations(&again), is_empty());
    // A caller that was told "not run" may have retried, and the retry ran for the first time.
    for l in first.iter().filter(|l| !l.is_not_run()) {
        let executions = harness.cell.fleet.observer.executions(&l.request.id);
        expect_that!(l.violation(&executions), none());
    }
}

#[gtest]
fn an_instance_that_dies_between_claim_and_send_causes_no_second_run() {
    let mut harness = start_with_one_runner_per_domain(3);
    // The claims are appended only after the instance that wrote them has died.
    harness.cell.fleet.log.delay_landing(50, Millis(600));
    let pending: Vec<PendingRequest> = (0..6)
        .map(|i| harness.send(0, &echo_request(&format!("claimed-{i}"), false, 3000)))
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    harness.cell.kill(0);
    harness.cell.fleet.log.delay_landing(0, Millis::ZERO);
    let mut finished = wait_all(pending);
    let again: Vec<Raw> = finished.iter().map(|l| l.request.clone()).collect();
    for (i, request) in again.iter().enumerate() {
        let request = Raw { wait_ms: Millis(8000), ..request.clone() };
        let pending = (1..3).map(|node| harness.send(node, &request)).collect();
        finished.extend(wait_all(pending));
        let told = [
            harness.query_answer(1 + i % 2, &request.id),
            harness.query_answer(2 - i % 2, &request.id),
        ];
        expect_that!(told[0], some(anything()));
        expect_that!(told[0], eq(&told[1]));
    }
    expect_that!(harness.violations(&finished), is_empty());
}

#[gtest]
fn a_resumed_controller_does_not_use_slots_that_others_took_over() {
    let harness = start_with_one_runner_per_domain(3);
    let first = (0..24)
        .map(|i| harness.send(i % 3, &slow_request(&format!("held-{i}"), false, 9000, 2500)));
    let first: Vec<PendingRequest> = first.collect();
    harness.wait_until("all slots are in use", || slots_in_use(&harness) == 24);
    harness.cell.set_paused(0, true);
    // The other daemons adopt its workers and use the free slots of their runners.
    let next = (0..40).map(|i| {
        harness.send(1 + i % 2, &slow_request(&format!("next-{i}"), i % 2 == 0, 15_000, 300))
    });
    let next: Vec<PendingRequest> = next.collect();
    harness.wait_until("the first have ended", || slots_in_use(&harness) < 24);
    std::thread::sleep(Duration::from_secs(2));
    // It resumes with requests that arrived while it was paused.
    let sent_while_paused: Vec<PendingRequest> = (0..24)
        .map(|i| harness.send(0, &slow_request(&format!("woken-{i}"), i % 2 == 0, 9000, 50)))
        .collect();
    harness.cell.set_paused(0, false);
    let mut finished = wait_all(first);
    finished.extend(wait_all(next));
    for l in finished.iter().filter(|l| l.request.idempotent) {
        expect_that!(l.is_whole(), eq(true), "{}: {:?}", l.request.id, l.answer);
    }
    // The paused daemon is the steward of some claims. Their requests may be answered as unknown,
    // but each must be answered.
    expect_that!(finished.iter().filter(|l| l.answer.is_none()).count(), eq(0));
    finished.extend(wait_all(sent_while_paused));
    expect_that!(harness.violations(&finished), is_empty());
    expect_that!(harness.rejected_for_slots(), eq(0));
}

#[gtest]
fn a_controller_disconnected_from_a_worker_stops_using_its_runner() {
    let harness = start_with_one_runner_per_domain(1);
    // Sequential requests are served in the region of their entry instance.
    let near = &harness.cell.nodes[0].instance.place;
    let runner = runners(&harness).map(Runner::runner).find(|r| r.place.same_region(near));
    let runner = runner.expect("a runner in the region");
    let worker = harness.cell.fleet.worker(runner.worker.as_str()).expect("its worker");
    worker.link().cut();
    let cut = pimentovalve::standin::clock::now();
    let mut finished = Vec::new();
    while pimentovalve::standin::clock::now().since(cut) < Millis(4500) {
        let number = finished.len();
        finished.push(harness.ask(0, &echo_request(&format!("cut-{number}"), true, 2000)));
        std::thread::sleep(Duration::from_millis(10));
    }
    let served =
        finished.iter().flat_map(|l| harness.cell.fleet.observer.executions(&l.request.id));
    let served: Vec<_> = served.filter(|e| e.runner == runner.name).collect();
    expect_that!(served, not(is_empty()));
    // The controller uses a runner for at most `heartbeat_ms + suspicion_ms` = 1.2 s after it last
    // heard from the worker; 3 s allows for a busy machine.
    expect_that!(served.iter().filter(|e| e.start > cut + Millis(3000)).count(), eq(0));
    expect_that!(finished.iter().all(FinishedRequest::is_whole), eq(true));
    expect_that!(harness.violations(&finished), is_empty());
}

#[gtest]
fn a_planned_stop_aborts_no_request() {
    let mut harness = start_with_one_runner_per_domain(3);
    // Each of the three runners is controlled by some daemon, so most requests are forwarded to
    // another daemon, and each daemon also serves some of its own.
    let slow_one = |i: usize, p: &str| slow_request(&format!("{p}-{i}"), i & 1 == 0, 8000, 1500);
    let mut pending: Vec<PendingRequest> =
        (0..18).map(|i| harness.send(i % 3, &slow_one(i, "a"))).collect();
    // Hedged attempts may use slots as well.
    harness.wait_until("they run", || slots_in_use(&harness) >= 18);
    harness.cell.stop(0);
    pending.extend((0..12).map(|i| harness.send(1 + i % 2, &slow_one(i, "b"))));
    std::thread::sleep(Duration::from_millis(50));
    harness.cell.stop(1);
    pending.extend((0..6).map(|i| harness.send(2, &slow_one(i, "c"))));
    let finished = wait_all(pending);
    let incomplete: Vec<&FinishedRequest> = finished.iter().filter(|l| !l.is_whole()).collect();
    let incomplete: Vec<_> = incomplete.iter().map(|l| (&l.request.id, &l.answer)).collect();
    expect_that!(incomplete, is_empty());
    expect_that!(harness.violations(&finished), is_empty());
    expect_that!(harness.rejected_for_slots(), eq(0));
}

#[gtest]
fn under_overload_refusals_are_correct_and_urgent_requests_go_first() {
    let harness = start_with_one_runner_per_domain(2);
    let flood = (0..160).map(|i| {
        let request = slow_request(&format!("flood-{i}"), i % 4 != 0, 1500, 300);
        harness.send(i % 2, &Raw { class: Class::Deferrable, ..request })
    });
    let flood: Vec<PendingRequest> = flood.collect();
    harness.wait_until("all slots are in use", || slots_in_use(&harness) >= 20);
    let urgent =
        (0..12).map(|i| harness.send(i % 2, &slow_request(&format!("urgent-{i}"), true, 2500, 50)));
    let urgent: Vec<PendingRequest> = urgent.collect();
    let urgent = wait_all(urgent);
    expect_that!(urgent.iter().filter(|l| !l.is_whole()).count(), eq(0));
    let finished = wait_all(flood);
    let refused = finished.iter().filter(|l| l.is_not_run()).count();
    expect_that!(refused, gt(0));
    expect_that!(finished.iter().filter(|l| l.is_whole()).count(), gt(24));
    for l in &finished {
        if let Some(Answer::NotRun { retry_after_ms, .. }) = &l.answer {
            expect_that!(*retry_after_ms, gt(Millis::ZERO));
        }
    }
    expect_that!(harness.violations(&finished), is_empty());
    expect_that!(harness.rejected_for_slots(), eq(0));
}
