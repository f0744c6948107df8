//! Tests on log lines as daemons write them.

use super::*;
use googletest::prelude::*;

fn submitted(second: u64, job: usize, tasks: u64, outcome: &str) -> String {
    format!(
        r#"{{"timestamp":"2026-09-02T20:53:{second:02}Z","message":"job submitted","job":"{job:016x}","queue":"q","tasks":{tasks},"core_ms":{job}000,"objective_ms":5000,"outcome":"{outcome}"}}"#
    )
}

fn done(second: u64, job: usize, tasks: std::ops::Range<u64>) -> String {
    let runs: Vec<String> = tasks.map(|i| format!("{job:016x}.0.0.{i}#1@i-1=Done")).collect();
    let runs = runs.join(" ");
    format!(
        r#"{{"timestamp":"2026-09-02T20:53:{second:02}Z","message":"ends recorded","runs":"{runs}"}}"#
    )
}

fn lines(texts: &[String]) -> Vec<Line> {
    texts.iter().flat_map(|t| Line::parse(t, "file").expect("a line").split()).collect()
}

#[gtest]
fn outcomes_are_counted_by_size() {
    let mut texts: Vec<String> = (1..=10).map(|job| submitted(0, job, 2, "Yes")).collect();
    texts.extend((1..=7).map(|job| done(5, job, 0..2)));
    texts.push(done(5, 10, 0..1));
    texts.push(done(6, 8, 0..2));
    texts.push(done(16, 9, 0..2));
    let lines = lines(&texts);
    let sizes = queues(jobs(&lines));
    let all = Outcomes { jobs: 10, in_time: 7, late: 1 };
    let largest_tenth = Outcomes { jobs: 1, ..Outcomes::default() };
    let next_fifth = Outcomes { jobs: 2, in_time: 0, late: 1 };
    expect_that!(sizes, elements_are![eq(&("q", Sizes { all, largest_tenth, next_fifth }))]);
}

#[gtest]
fn repeated_submissions_count_once_and_refused_and_cancelled_jobs_not_at_all() {
    let cancelled = r#"{"timestamp":"2026-09-02T20:53:03Z","message":"job cancellation submitted","job":"0000000000000002","outcome":"Yes"}"#;
    let lines = lines(&[
        submitted(0, 1, 1, "Unknown"),
        submitted(1, 1, 1, "Yes"),
        submitted(1, 2, 1, "Yes"),
        submitted(1, 3, 1, "No"),
        cancelled.into(),
        done(6, 1, 0..1),
    ]);
    let sizes = queues(jobs(&lines));
    let all = Outcomes { jobs: 1, in_time: 0, late: 1 };
    expect_that!(sizes, elements_are![eq(&("q", Sizes { all, ..Sizes::default() }))]);
}
