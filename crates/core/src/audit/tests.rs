//! Tests of the audit: each violates one promise and checks that the audit finds it; one scene
//! violates none.

mod scene;

use super::{Promise, Report, Scope, Standing};
use crate::clock::Millis;
use crate::contract::request::{Answer, Reason};
use crate::ledger::record::{Change, End, Register};
use crate::machine::capacity::Capacity;
use crate::timeline::{Outcome, What};
use googletest::prelude::*;
use scene::{PARTITION, Scene, name, task};

fn standing(report: &Report, promise: Promise) -> Standing {
    report.claim(promise).unwrap().standing
}

/// Asserts that the given promise is broken, with evidence that contains `words` and refers to a
/// record or an event.
fn expect_broken(scene: &Scene, promise: Promise, words: &str) {
    let report = scene.audit(&Scope::All);
    expect_that!(report.is_kept(), eq(false));
    expect_that!(standing(&report, promise), eq(Standing::Broken));
    let evidence = &report.claim(promise).unwrap().evidence;
    let is_reported = evidence.iter().any(|e| {
        let has_reference = !e.records.is_empty() || !e.events.is_empty();
        e.standing == Standing::Broken && e.message.contains(words) && has_reference
    });
    expect_that!(is_reported, eq(true), "{evidence:?}");
}

#[gtest]
fn a_clean_run_keeps_every_promise() {
    let report = Scene::clean().audit(&Scope::All);
    for claim in &report.claims {
        expect_that!(claim.standing, eq(Standing::Kept), "{claim:?}");
        expect_that!(claim.checked, gt(0), "{:?}", claim.promise);
    }
    expect_that!(report.claims.len(), eq(9));
    expect_that!(report.is_kept(), eq(true));
    expect_that!(report.broken(), eq(0));
}

#[gtest]
fn a_clean_run_keeps_what_concerns_each_scope() {
    let scene = Scene::clean();
    for (scope, steps) in [
        (Scope::Job(name("deed-1")), 3),
        (Scope::Job(name("deed-2")), 4),
        (Scope::Request(name("purge-1")), 2),
        (Scope::Version(1), 1),
    ] {
        let report = scene.audit(&scope);
        expect_that!(report.is_kept(), eq(true), "{report:?}");
        expect_that!(report.steps.len(), eq(steps), "{scope:?}");
    }
    expect_that!(scene.audit(&Scope::Request(name("lookup-1"))).is_kept(), eq(true));
}

#[gtest]
fn an_unknown_subject_is_unprovable() {
    for scope in [Scope::Job(name("deed-9")), Scope::Request(name("r")), Scope::Version(7)] {
        let report = Scene::clean().audit(&scope);
        for claim in &report.claims {
            expect_that!(claim.standing, eq(Standing::Unprovable));
        }
    }
}

#[gtest]
fn nothing_to_audit_is_unprovable() {
    let report = Scene::default().audit(&Scope::All);
    expect_that!(report.claims, each(field!(super::Claim.standing, eq(&Standing::Unprovable))));
}

#[gtest]
fn a_run_in_a_second_place_without_a_record_is_found() {
    let mut scene = Scene::clean();
    scene.run("deed-1", 1, "worker-2", 1100, None);
    expect_broken(&scene, Promise::OnePlace, "without a record");
    expect_broken(&scene, Promise::OnePlace, "at once");
}

#[gtest]
fn an_attempt_before_the_fence_is_found() {
    let mut scene = Scene::clean();
    scene.submit("deed-3", 20_000);
    scene.attempt("deed-3", 1, "worker-3", None, 20_010);
    let loss = scene.loss("worker-3", 30_000);
    scene.attempt("deed-3", 2, "worker-1", Some(loss), 30_000 + 40_999);
    expect_broken(&scene, Promise::OnePlace, "1 ms before the fence");
    let report = scene.audit(&Scope::Job(name("deed-3")));
    expect_that!(standing(&report, Promise::OnePlace), eq(Standing::Broken));
    let report = scene.audit(&Scope::Job(name("deed-1")));
    expect_that!(standing(&report, Promise::OnePlace), eq(Standing::Kept));
}

#[gtest]
fn a_fence_of_another_loss_is_found() {
    let mut scene = Scene::clean();
    scene.submit("deed-3", 20_000);
    scene.attempt("deed-3", 1, "worker-1", None, 20_010);
    let loss = scene.loss("worker-3", 30_000);
    scene.attempt("deed-3", 2, "worker-2", Some(loss), 90_000);
    expect_broken(&scene, Promise::OnePlace, "does not cover");
    let mut scene = Scene::clean();
    scene.submit("deed-3", 20_000);
    scene.attempt("deed-3", 1, "worker-1", None, 20_010);
    scene.attempt("deed-3", 2, "worker-2", Some(99), 90_000);
    expect_broken(&scene, Promise::OnePlace, "not in force");
}

#[gtest]
fn a_run_that_continues_after_its_recorded_end_is_found() {
    let mut scene = Scene::clean();
    scene.submit("deed-3", 20_000);
    scene.attempt("deed-3", 1, "worker-1", None, 20_010);
    scene.run("deed-3", 1, "worker-1", 20_020, Some(9_000));
    scene.over("deed-3", 1, End::Evicted, 21_000);
    scene.attempt("deed-3", 2, "worker-2", None, 21_010);
    scene.run("deed-3", 2, "worker-2", 21_020, Some(100));
    expect_broken(&scene, Promise::OnePlace, "at once");
}

#[gtest]
fn a_worker_over_its_capacity_is_found() {
    let mut scene = Scene::clean();
    for job in ["deed-3", "deed-4", "deed-5", "deed-6", "deed-7"] {
        scene.submit(job, 20_000);
        scene.attempt(job, 1, "worker-1", None, 20_010);
        scene.run(job, 1, "worker-1", 20_020, Some(5_000));
    }
    expect_broken(&scene, Promise::Capacity, "worker-1 has a capacity of");
}

#[gtest]
fn an_unknown_capacity_is_unprovable() {
    let mut scene = Scene::clean();
    scene.events.retain(|e| !matches!(&e.what, What::WorkerAdopted { .. }));
    let report = scene.renumbered().audit(&Scope::All);
    expect_that!(standing(&report, Promise::Capacity), eq(Standing::Unprovable));
}

#[gtest]
fn reservations_without_known_runs_prove_no_violation() {
    let mut scene = Scene::clean();
    for job in ["deed-3", "deed-4", "deed-5", "deed-6", "deed-7"] {
        scene.submit(job, 20_000);
        scene.attempt(job, 1, "worker-1", None, 20_010);
    }
    let report = scene.audit(&Scope::All);
    expect_that!(standing(&report, Promise::Capacity), eq(Standing::Unprovable));
}

#[gtest]
fn a_lost_job_is_found() {
    let mut scene = Scene::clean();
    let (job, team) = (name("deed-8"), name("notaries"));
    scene.note("entry-1", 20_000, What::JobAccepted { job, team, tasks: 1 });
    expect_broken(&scene, Promise::NothingLost, "not in the ledger");
    let mut scene = Scene::clean();
    scene.submit("deed-8", 20_000);
    scene.note("entry-1", 21_000, What::JobEnded { job: name("deed-8") });
    expect_broken(&scene, Promise::NothingLost, "reported as ended");
}

#[gtest]
fn a_false_not_run_of_a_job_is_found() {
    let mut scene = Scene::clean();
    scene.submit("deed-8", 20_000);
    let (job, reason) = (name("deed-8"), Some(Reason::Ledger));
    scene.note("entry-1", 20_400, What::JobRefused { job, reason });
    expect_broken(&scene, Promise::NotRun, "but was accepted");
}

#[gtest]
fn a_job_submitted_again_after_its_refusal_is_no_violation() {
    let mut scene = Scene::clean();
    let (job, reason) = (name("deed-8"), Some(Reason::Overload));
    scene.note("entry-1", 20_000, What::JobRefused { job, reason });
    scene.submit("deed-8", 20_001);
    let report = scene.audit(&Scope::All);
    expect_that!(standing(&report, Promise::NotRun), eq(Standing::Kept));
}

#[gtest]
fn clocks_that_may_differ_leave_a_refusal_unprovable() {
    let mut scene = Scene::clean();
    scene.submit("deed-8", 20_000);
    let (job, reason) = (name("deed-8"), Some(Reason::Overload));
    scene.note("entry-2", 20_300, What::JobRefused { job, reason });
    let report = scene.audit(&Scope::All);
    expect_that!(standing(&report, Promise::NotRun), eq(Standing::Unprovable));
}

#[gtest]
fn a_false_not_run_of_a_request_is_found() {
    let mut scene = Scene::clean();
    scene.receive("entry-1", "lookup-2", true, 20_000);
    scene.send("entry-2", "lookup-2", "try-9", 20_010);
    scene.serve("entry-2", "lookup-2", "try-9", 20_900);
    let (request, reason) = (name("lookup-2"), Reason::Deadline);
    scene.note("entry-1", 20_500, What::RequestRefused { request, reason });
    expect_broken(&scene, Promise::NotRun, "but ran as attempt");
}

#[gtest]
fn a_recorded_not_run_that_ran_is_found() {
    let mut scene = Scene::clean();
    scene.claim("purge-2", 20_000);
    scene.serve("entry-1", "purge-2", "try-9", 20_010);
    let (request, reason) = (name("purge-2"), Reason::Unavailable);
    let answer = Answer::NotRun { request, reason, retry_after_ms: Millis(100) };
    scene.settle("purge-2", answer, 20_020);
    expect_broken(&scene, Promise::NotRun, "recorded as not run");
}

#[gtest]
fn a_refusal_after_an_unanswered_attempt_is_unprovable() {
    let mut scene = Scene::clean();
    scene.receive("entry-1", "lookup-2", true, 20_000);
    let (request, runner) = (name("lookup-2"), name("runner-1"));
    scene.note("entry-1", 20_100, What::SlotHeld { request, runner });
    let (request, reason) = (name("lookup-2"), Reason::Deadline);
    scene.note("entry-1", 20_200, What::RequestRefused { request, reason });
    let report = scene.audit(&Scope::Request(name("lookup-2")));
    expect_that!(standing(&report, Promise::NotRun), eq(Standing::Unprovable));
}

#[gtest]
fn a_second_execution_is_found() {
    let mut scene = Scene::clean();
    scene.serve("entry-2", "purge-1", "try-8", 20_000);
    expect_broken(&scene, Promise::AtMostOnce, "ran 2 times");
}

#[gtest]
fn a_second_attempt_after_an_unanswered_one_is_found() {
    let mut scene = Scene::clean();
    scene.claim("purge-2", 20_000);
    scene.send("entry-1", "purge-2", "try-8", 20_010);
    scene.send("entry-1", "purge-2", "try-9", 20_900);
    expect_broken(&scene, Promise::AtMostOnce, "sent again");
}

#[gtest]
fn a_second_attempt_after_a_refusal_is_no_violation() {
    let mut scene = Scene::clean();
    scene.claim("purge-2", 20_000);
    scene.send("entry-1", "purge-2", "try-8", 20_010);
    let (request, attempt) = (name("purge-2"), name("try-8"));
    scene.note("entry-1", 20_020, What::TryRefused { request, attempt });
    scene.send("entry-1", "purge-2", "try-9", 20_030);
    let report = scene.audit(&Scope::All);
    expect_that!(standing(&report, Promise::AtMostOnce), eq(Standing::Kept));
}

#[gtest]
fn an_attempt_without_a_claim_is_found() {
    let mut scene = Scene::clean();
    scene.receive("entry-1", "purge-2", false, 20_000);
    scene.send("entry-1", "purge-2", "try-8", 20_010);
    expect_broken(&scene, Promise::AtMostOnce, "without a claim");
}

#[gtest]
fn a_caller_without_an_outcome_is_found() {
    let mut scene = Scene::clean();
    scene.receive("entry-1", "lookup-2", true, 20_000);
    let report = scene.audit(&Scope::All);
    expect_that!(standing(&report, Promise::WholeAnswer), eq(Standing::Kept));
    scene.note("entry-1", 95_001, What::ConfigurationInForce { version: 1 });
    expect_broken(&scene, Promise::WholeAnswer, "gave the caller of lookup-2 no outcome");
}

#[gtest]
fn a_caller_whose_instance_stopped_reporting_is_unprovable() {
    let mut scene = Scene::clean();
    scene.receive("entry-1", "lookup-2", true, 20_000);
    scene.note("entry-2", 96_000, What::ConfigurationInForce { version: 1 });
    let report = scene.audit(&Scope::All);
    expect_that!(standing(&report, Promise::WholeAnswer), eq(Standing::Unprovable));
}

#[gtest]
fn an_answer_to_another_request_is_found() {
    let mut scene = Scene::clean();
    scene.receive("entry-1", "lookup-2", true, 20_000);
    let (request, attempt) = (name("lookup-2"), Some(name("try-1")));
    scene.note("entry-1", 20_100, What::RequestAnswered { request, attempt });
    expect_broken(&scene, Promise::WholeAnswer, "the answer to purge-1");
    let mut scene = Scene::clean();
    scene.claim("purge-2", 20_000);
    let answer = Answer::Whole { request: name("purge-1"), body: "done".into() };
    scene.settle("purge-2", answer, 20_100);
    expect_broken(&scene, Promise::WholeAnswer, "the answer to another");
}

#[gtest]
fn work_for_a_leaving_machine_is_found() {
    let mut scene = Scene::clean();
    scene.note("entry-1", 20_000, What::LeavingSeen { instance: name("runner-1") });
    scene.send("entry-1", "lookup-3", "try-8", 22_900);
    let report = scene.audit(&Scope::All);
    expect_that!(standing(&report, Promise::Leaving), eq(Standing::Kept));
    scene.send("entry-2", "lookup-3", "try-9", 23_501);
    expect_broken(&scene, Promise::Leaving, "after it was seen leaving");
}

#[gtest]
fn a_request_without_an_outcome_at_a_stop_is_found() {
    let mut scene = Scene::clean();
    scene.receive("entry-1", "lookup-2", true, 20_000);
    scene.note("entry-1", 20_010, What::DrainStarted);
    scene.note("entry-1", 20_020, What::Drained);
    let request = name("lookup-2");
    scene.note("entry-1", 20_030, What::RequestAnswered { request, attempt: None });
    expect_broken(&scene, Promise::GracefulStop, "ended before lookup-2 had an outcome");
}

#[gtest]
fn a_stop_without_an_end_is_unprovable() {
    let mut scene = Scene::clean();
    scene.note("entry-1", 20_010, What::DrainStarted);
    let report = scene.audit(&Scope::All);
    expect_that!(standing(&report, Promise::GracefulStop), eq(Standing::Unprovable));
}

#[gtest]
fn a_reverted_version_is_found() {
    let mut scene = Scene::clean();
    scene.note("entry-2", 20_000, What::ConfigurationInForce { version: 0 });
    expect_broken(&scene, Promise::Configuration, "reverted from version 1 to 0");
    let report = scene.audit(&Scope::Version(1));
    expect_that!(standing(&report, Promise::Configuration), eq(Standing::Broken));
}

#[gtest]
fn a_version_that_is_not_in_the_ledger_is_found() {
    let mut scene = Scene::clean();
    scene.note("entry-2", 20_000, What::ConfigurationInForce { version: 5 });
    expect_broken(&scene, Promise::Configuration, "not in the ledger");
}

#[gtest]
fn a_version_that_comes_too_late_is_found() {
    let mut scene = Scene::clean();
    scene.patch(1, 20_000);
    scene.note("entry-1", 20_100, What::ConfigurationInForce { version: 2 });
    scene.note("entry-2", 24_501, What::ConfigurationInForce { version: 2 });
    expect_broken(&scene, Promise::Configuration, "entry-2 still had version 1");
}

#[gtest]
fn an_instance_that_reports_an_outdated_configuration_breaks_nothing() {
    for (what, wanted) in [
        (What::ConfigurationLapsed { version: 1 }, Standing::Kept),
        (What::LogLost, Standing::Unprovable),
    ] {
        let mut scene = Scene::clean();
        scene.patch(1, 20_000);
        scene.note("entry-1", 20_100, What::ConfigurationInForce { version: 2 });
        scene.note("entry-2", 20_200, what);
        scene.note("entry-2", 30_000, What::ConfigurationInForce { version: 2 });
        let report = scene.audit(&Scope::All);
        expect_that!(standing(&report, Promise::Configuration), eq(wanted));
    }
}

#[gtest]
fn missing_records_or_events_are_never_counted_as_kept() {
    let mut scene = Scene::clean();
    scene.rows.retain(|row| row.stream != PARTITION || row.offset > 0);
    let report = scene.audit(&Scope::All);
    expect_that!(report.is_kept(), eq(false));
    expect_that!(standing(&report, Promise::OnePlace), eq(Standing::Unprovable));
    expect_that!(standing(&report, Promise::Configuration), eq(Standing::Kept));
    let mut scene = Scene::clean();
    scene.events.retain(|event| event.sequence != 3);
    let report = scene.audit(&Scope::All);
    for claim in report.claims.iter().filter(|c| c.standing != Standing::Broken) {
        expect_that!(claim.standing, eq(Standing::Unprovable), "{:?}", claim.promise);
    }
}

#[gtest]
fn stale_records_change_nothing() {
    let mut scene = Scene::clean();
    let attempt = Change::Attempt {
        attempt: 1,
        worker: name("worker-2"),
        epoch: 1,
        needs: Capacity::new(10_000, 1024, 0),
        fence: None,
    };
    scene.append(PARTITION, Register::Task(task("deed-1")), 0, attempt, 1_020);
    let report = scene.audit(&Scope::All);
    expect_that!(report.is_kept(), eq(true), "{report:?}");
}

#[gtest]
fn a_worker_that_is_lost_and_fenced_breaks_nothing() {
    let mut scene = Scene::clean();
    scene.submit("deed-3", 20_000);
    scene.attempt("deed-3", 1, "worker-3", None, 20_010);
    scene.run("deed-3", 1, "worker-3", 20_020, None);
    let loss = scene.loss("worker-3", 40_000);
    scene.attempt("deed-3", 2, "worker-1", Some(loss), 40_000 + 41_000);
    scene.run("deed-3", 2, "worker-1", 81_100, Some(100));
    scene.over("deed-3", 2, End::Completed("sealed".into()), 81_300);
    let report = scene.audit(&Scope::All);
    expect_that!(report.is_kept(), eq(true), "{report:?}");
    // The worker returns and reports the end of the attempt by the lapse of its lease.
    scene.note(
        "entry-1",
        90_000,
        What::AttemptEnded {
            task: task("deed-3"),
            attempt: 1,
            worker: name("worker-3"),
            outcome: Outcome::Lapsed,
            ran_ms: Millis(40_000),
        },
    );
    let report = scene.audit(&Scope::All);
    expect_that!(report.is_kept(), eq(true), "{report:?}");
}
