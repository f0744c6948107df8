//! Tests of the validation of jobs, of ids and of completion objectives.

use super::{Id, Job, Policy, Raw, Step, StepId, Task};
use crate::clock::Millis;
use crate::machine::capacity::Capacity;
use googletest::prelude::*;

/// Returns a policy without an advisor. The objective is twice the critical path plus 1 s.
pub(crate) fn policy() -> Policy {
    Policy {
        queue: "deeds".into(),
        pool: "sealing".into(),
        priority: 1,
        attempts: 2,
        stretch_milli: 2000,
        slack_ms: Millis(1000),
        advisor_timing: None,
        team: None,
    }
}

/// Returns a step of `count` tasks with one core each that depends on the steps `after`.
pub(crate) fn step(count: u32, after: &[u16]) -> Step {
    Step {
        count,
        needs: Capacity::new(1000, 1024, 0),
        estimate_ms: Millis(500),
        after: after.into(),
        gang: false,
        one_rack: false,
        label: None,
        data_rack: None,
        spread: 0,
        speculative: false,
        lasting: false,
        saves: false,
        fills: false,
        image: None,
        target_ms: Millis::ZERO,
        misses: 0,
    }
}

/// Returns a job that consists of `steps`.
pub(crate) fn job(id: u64, steps: Vec<Step>) -> Job {
    let raw = Raw { id: Id(id), policy: policy(), payload: "deed".into(), steps, schedule: None };
    Job::try_from(raw).unwrap()
}

#[gtest]
fn a_task_is_named_by_job_occurrence_step_and_index() {
    let step_id = StepId { job: Id(0x5c0e_7a21_d94b_36f8), occurrence: 0, step: 1 };
    let task = Task { step_id, index: 17 };
    expect_that!(task.to_string(), eq("5c0e7a21d94b36f8.0.1.17"));
    expect_that!(Task::try_from("5c0e7a21d94b36f8.0.1.17"), ok(eq(&task)));
    for wrong in ["5c0e7a21d94b36f8.0.1", "5c0e7a21d94b36f8.0.1.17.2", "x.0.1.2", "5c0e.0.1.2"] {
        expect_that!(Task::try_from(wrong), err(anything()), "{wrong}");
    }
}

#[gtest]
fn an_id_is_sixteen_hexadecimal_digits() {
    expect_that!(Id::try_from("00000000000000ff"), ok(eq(&Id(255))));
    for wrong in ["ff", "00000000000000FF", "+0000000000000ff", "00000000000000fg", ""] {
        expect_that!(Id::try_from(wrong), err(anything()), "{wrong}");
    }
}

#[gtest]
fn every_finding_of_a_job_is_reported_with_its_place() {
    let steps = vec![step(0, &[]), step(1, &[1])];
    let payload = "x".repeat(4001);
    let raw = Raw { id: Id(1), policy: policy(), payload, steps, schedule: None };
    let findings = Job::try_from(raw).unwrap_err();
    let places: Vec<&str> = findings.as_slice().iter().map(|f| f.place.as_str()).collect();
    expect_that!(
        places,
        elements_are![eq(&"payload"), eq(&"steps[0].count"), eq(&"steps[1].after")]
    );
}

#[gtest]
fn the_objective_is_derived_from_the_critical_path() {
    let job = job(1, vec![step(1, &[]), step(1, &[]), step(1, &[0])]);
    expect_that!(
        job.chains(),
        elements_are![eq(&Millis(1000)), eq(&Millis(500)), eq(&Millis(500))]
    );
    expect_that!(job.objective(), eq(Millis(3000)));
}
