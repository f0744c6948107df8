//! Tests of the stages of a job's start.

use super::{MAX_JOBS, Stage, Stages};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::work::Id;

#[gtest]
fn each_stage_is_measured_once_from_the_end_of_the_one_before() {
    let mut stages = Stages::default();
    let id = Id(7);
    stages.accepted(id, Millis(100));
    expect_that!(stages.advance(id, Stage::Advised, Millis(140)), some(eq(Millis(40))));
    expect_that!(stages.advance(id, Stage::Advised, Millis(160)), none());
    expect_that!(stages.advance(id, Stage::Decided, Millis(165)), some(eq(Millis(25))));
    expect_that!(stages.advance(id, Stage::Advised, Millis(170)), none());
    expect_that!(stages.advance(id, Stage::Recorded, Millis(195)), some(eq(Millis(30))));
    expect_that!(stages.advance(id, Stage::Begun, Millis(205)), some(eq(Millis(10))));
    expect_that!(stages.advance(id, Stage::Begun, Millis(210)), none());
    expect_that!(stages.take_medians(), eq((0, [40, 25, 30, 10])));
    expect_that!(stages.take_medians(), eq((0, [0; 4])));
}

#[gtest]
fn a_job_without_advice_goes_from_acceptance_to_decision() {
    let mut stages = Stages::default();
    stages.accepted(Id(1), Millis(100));
    stages.accepted(Id(1), Millis(300));
    expect_that!(stages.advance(Id(1), Stage::Decided, Millis(120)), some(eq(Millis(20))));
    expect_that!(stages.advance(Id(2), Stage::Decided, Millis(120)), none());
}

#[gtest]
fn the_number_of_jobs_is_bounded() {
    let mut stages = Stages::default();
    (0..MAX_JOBS as u64 + 5).for_each(|id| stages.accepted(Id(id), Millis(1)));
    expect_that!(stages.take_medians().0, eq(MAX_JOBS));
    stages.ended(Id(3));
    stages.accepted(Id(u64::MAX), Millis(1));
    expect_that!(stages.advance(Id(u64::MAX), Stage::Begun, Millis(2)), some(eq(Millis(1))));
    stages.clear();
    expect_that!(stages.take_medians().0, eq(0));
}
