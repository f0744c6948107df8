use super::{emit, subscriber};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{Event, What};
use std::io;
use std::sync::{Arc, Mutex};

/// A writer whose content a test can read.
#[derive(Clone, Default)]
struct Shared(Arc<Mutex<Vec<u8>>>);

impl Shared {
    fn lines(&self) -> Vec<String> {
        let bytes = self.0.lock().unwrap().clone();
        String::from_utf8(bytes).unwrap().lines().map(Into::into).collect()
    }
}

impl io::Write for Shared {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[gtest]
fn log_and_timeline_are_separate_json_lines() {
    let (log, timeline) = (Shared::default(), Shared::default());
    let writers = (log.clone(), timeline.clone());
    let event = Event {
        process: Name::try_from("entry-1").unwrap(),
        duty: Name::try_from("scheduler").unwrap(),
        at: Millis(12),
        sequence: 1,
        cause: None,
        what: What::JobEnded { job: Name::try_from("deed-7").unwrap() },
    };
    let subscriber = subscriber("warn", move || writers.0.clone(), move || writers.1.clone());
    tracing::subscriber::with_default(subscriber, || {
        emit(&event);
        tracing::warn!(target: "pimentovalve_daemon::test", depth = 3, "a ring is full");
        tracing::info!(target: "pimentovalve_daemon::test", "below the level");
        tracing::info!(target: "hyper", "a library");
    });
    let lines = timeline.lines();
    expect_that!(lines.len(), eq(1));
    expect_that!(serde_json::from_str::<Event>(&lines[0]).unwrap(), eq(&event));
    let lines = log.lines();
    expect_that!(lines.len(), eq(1));
    let line: serde_json::Value = serde_json::from_str(&lines[0]).unwrap();
    expect_that!(line["fields"]["depth"], eq(&serde_json::json!(3)));
    expect_that!(line["level"], eq(&serde_json::json!("WARN")));
}

#[gtest]
fn the_timeline_is_written_at_every_log_level() {
    let timeline = Shared::default();
    let writer = timeline.clone();
    let event = Event {
        process: Name::try_from("entry-1").unwrap(),
        duty: Name::try_from("process").unwrap(),
        at: Millis(12),
        sequence: 1,
        cause: None,
        what: What::Drained,
    };
    let subscriber = subscriber("error", io::sink, move || writer.clone());
    tracing::subscriber::with_default(subscriber, || emit(&event));
    expect_that!(timeline.lines().len(), eq(1));
}
