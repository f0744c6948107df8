use super::*;
use googletest::prelude::*;

const NOW: Millis = Millis(1000);

fn fail(health: &mut Health, handle: Handle, job: u64) -> bool {
    health.started(handle, NOW);
    health.failed(handle, job, NOW, NOW)
}

#[gtest]
fn a_worker_that_fails_everything_is_quarantined_after_few_starts() {
    let mut health = Health::default();
    let starts = (0..100).take_while(|&job| !fail(&mut health, 0, job)).count() + 1;
    expect_that!(starts, le(5));
    expect_that!(health.admits(0, NOW), eq(false));
    expect_that!(health.admits(1, NOW), eq(true));
}

#[gtest]
fn unconfirmed_starts_are_limited() {
    let mut health = Health::default();
    let starts = (0..100).take_while(|_| {
        let admitted = health.admits(0, NOW);
        health.started(0, NOW);
        admitted
    });
    expect_that!(starts.count(), eq(MAX_FAILURES));
    expect_that!(health.admits(0, NOW + PROOF), eq(true));
}

#[gtest]
fn a_job_that_fails_everywhere_quarantines_no_worker() {
    let mut health = Health::default();
    for round in 0..10 {
        for handle in 0..3 {
            let quarantined = fail(&mut health, handle, 7);
            expect_that!(quarantined, eq(false), "round {round}");
        }
    }
    expect_that!(health.is_suspect(7), eq(true));
    expect_that!(health.avoid(7), some(eq(2)));
}

#[gtest]
fn a_job_that_succeeded_elsewhere_counts_against_the_worker() {
    let mut health = Health::default();
    fail(&mut health, 1, 7);
    health.succeeded(2, 7, NOW, NOW);
    let starts = (0..100).take_while(|_| !fail(&mut health, 0, 7)).count() + 1;
    expect_that!(starts, le(5));
}

#[gtest]
fn a_success_clears_the_failures_before_it() {
    let mut health = Health::default();
    for round in 0..20 {
        expect_that!(fail(&mut health, 0, 2 * round), eq(false));
        expect_that!(fail(&mut health, 0, 2 * round + 1), eq(false));
        health.succeeded(0, 99, NOW, NOW);
    }
}

#[gtest]
fn a_successful_probe_ends_the_quarantine() {
    let mut health = Health::default();
    for job in 0..4 {
        fail(&mut health, 0, job);
    }
    let State::Quarantined(until) = health.state(0) else { panic!("not quarantined") };
    expect_that!(health.admits(0, until - Millis(1)), eq(false));
    expect_that!(health.admits(0, until), eq(true));
    health.started(0, until);
    expect_that!(health.admits(0, until), eq(false));
    health.succeeded(0, 50, until, until);
    expect_that!(health.state(0), eq(State::Healthy));
    expect_that!(health.admits(0, until), eq(true));
}

#[gtest]
fn a_failed_probe_doubles_the_quarantine() {
    let mut health = Health::default();
    for job in 0..4 {
        fail(&mut health, 0, job);
    }
    let mut now = NOW + MIN_QUARANTINE;
    for pause in [60, 120, 240, 480, 600, 600] {
        health.started(0, now);
        expect_that!(health.failed(0, now.get(), now, now), eq(true));
        let until = now + Millis::from_secs(pause);
        expect_that!(health.state(0), eq(State::Quarantined(until)));
        now = until;
    }
}

#[gtest]
fn a_withdrawn_probe_is_repeated() {
    let mut health = Health::default();
    for job in 0..4 {
        fail(&mut health, 0, job);
    }
    let later = NOW + MIN_QUARANTINE;
    health.started(0, later);
    health.withdrawn(0, later, later);
    expect_that!(health.admits(0, later), eq(true));
}

#[gtest]
fn the_number_of_remembered_jobs_is_bounded() {
    let mut health = Health::default();
    for job in 0..10_000 {
        health.record_job_failure(job, 0);
    }
    expect_that!(health.jobs.len(), eq(MAX_FAILED_JOBS));
}

#[gtest]
fn a_probe_that_runs_long_has_succeeded() {
    let mut health = Health::default();
    for job in 0..4 {
        fail(&mut health, 0, job);
    }
    let later = NOW + MIN_QUARANTINE;
    health.started(0, later);
    expect_that!(health.admits(0, later + PROBE_CONFIRMATION - Millis(1)), eq(false));
    expect_that!(health.admits(0, later + PROBE_CONFIRMATION), eq(true));
    health.started(0, later + PROBE_CONFIRMATION);
    expect_that!(health.state(0), eq(State::Healthy));
}

#[gtest]
fn a_success_of_a_task_that_was_started_before_the_failures_clears_nothing() {
    let mut health = Health::default();
    for job in 0..3 {
        fail(&mut health, 0, job);
    }
    health.succeeded(0, 50, NOW - Millis(1), NOW);
    expect_that!(fail(&mut health, 0, 3), eq(true));
    health.succeeded(0, 51, NOW - Millis(1), NOW);
    expect_that!(health.quarantined(), eq(1));
}

#[gtest]
fn the_end_of_a_confirmed_start_does_not_admit_another() {
    let mut health = Health::default();
    for _ in 0..MAX_FAILURES {
        health.started(0, NOW);
    }
    health.succeeded(0, 7, NOW - PROOF, NOW);
    expect_that!(health.admits(0, NOW), eq(false));
    health.succeeded(0, 7, NOW, NOW);
    expect_that!(health.admits(0, NOW), eq(true));
}

#[gtest]
fn several_stewards_share_the_limit_on_unconfirmed_starts() {
    let mut health = Health::default();
    health.share(7);
    health.started(0, NOW);
    expect_that!(health.admits(0, NOW), eq(false));
    expect_that!(health.admits(1, NOW), eq(true));
}

#[gtest]
fn failures_reported_by_other_stewards_count() {
    let mut health = Health::default();
    for job in 0..3 {
        expect_that!(health.strike(0, job, NOW), eq(false));
    }
    expect_that!(fail(&mut health, 0, 3), eq(true));
}

#[gtest]
fn after_a_failure_starts_of_other_stewards_are_awaited() {
    let mut health = Health::default();
    health.share(7);
    health.strike(0, 1, NOW);
    expect_that!(health.admits(0, NOW), eq(false));
    expect_that!(health.admits(0, NOW + PROOF), eq(true));
}
