//! Log and timeline output as JSON lines, through `tracing`.
//!
//! The log goes to standard error, at the level from the settings; libraries log at `WARN` at most.
//! The timeline goes to its own file or to standard output, one [`Event`] per line, at every log
//! level. Neither contains secrets.

pub mod lines;
#[cfg(test)]
mod tests;

use crate::settings::Settings;
use pimentovalve_core::timeline::Event;
use snafu::{ResultExt, Snafu};
use std::fs::{File, OpenOptions};
use std::io;
use std::path::PathBuf;
use std::sync::Mutex;
use tracing::field::{Field, Visit};
use tracing::level_filters::LevelFilter;
use tracing::{Level, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

/// `tracing` target of timeline events, which the log excludes.
pub const TIMELINE: &str = "timeline";
/// Prefix of the targets of this project's crates.
const OWN: &str = "pimentovalve";
/// Field that holds a timeline event as JSON.
const FIELD: &str = "json";

/// Why log output cannot be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The timeline file cannot be opened for appending.
    #[snafu(display("cannot open timeline file {}: {source}", path.display()))]
    Open {
        /// Path from the settings.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// This process already has a `tracing` subscriber.
    #[snafu(display("log output is already set up: {source}"))]
    AlreadySet {
        /// Error of `tracing`.
        source: tracing_subscriber::util::TryInitError,
    },
}

/// Sets up log and timeline output. It may be called once per process.
///
/// # Errors
///
/// Returns an error when the timeline file cannot be opened, or output is already set up.
pub fn start(settings: &Settings) -> Result<(), Error> {
    match &settings.timeline {
        None => start_with(&settings.log_level, io::stdout),
        Some(path) => {
            let file = OpenOptions::new().create(true).append(true).open(path);
            let file: File = file.context(OpenSnafu { path })?;
            start_with(&settings.log_level, Mutex::new(file))
        }
    }
}

/// Sets up log output through `lines`, which never blocks a duty, and no timeline. It may be called
/// once per process.
///
/// # Errors
///
/// Returns an error when output is already set up.
pub fn start_lines(level: &str, lines: lines::Lines) -> Result<(), Error> {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::INFO);
    let own = Targets::new().with_default(level.min(LevelFilter::WARN)).with_target(OWN, level);
    let log = tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(lines);
    tracing_subscriber::registry().with(log.with_filter(own)).try_init().context(AlreadySetSnafu)
}

fn start_with<W>(level: &str, timeline: W) -> Result<(), Error>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    subscriber(level, io::stderr, timeline).try_init().context(AlreadySetSnafu)
}

/// Writes a timeline event.
pub fn emit(event: &Event) {
    match serde_json::to_string(event) {
        Ok(json) => tracing::event!(target: TIMELINE, Level::INFO, json),
        Err(error) => tracing::error!(%error, "cannot encode timeline event"),
    }
}

/// Returns a subscriber that writes the log and the timeline to the given writers.
fn subscriber<L, T>(level: &str, log: L, timeline: T) -> impl Subscriber + Send + Sync + use<L, T>
where
    L: for<'a> MakeWriter<'a> + Send + Sync + 'static,
    T: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::INFO);
    let own = Targets::new()
        .with_default(level.min(LevelFilter::WARN))
        .with_target(OWN, level)
        .with_target(TIMELINE, LevelFilter::OFF);
    let log = tracing_subscriber::fmt::layer().json().with_writer(log).with_filter(own);
    let timeline = tracing_subscriber::fmt::layer()
        .event_format(TimelineFormat)
        .with_writer(timeline)
        .with_filter(Targets::new().with_target(TIMELINE, LevelFilter::INFO));
    tracing_subscriber::registry().with(log).with(timeline)
}

/// Formats a timeline event as its bare JSON, one event per line.
struct TimelineFormat;

impl<S, N> FormatEvent<S, N> for TimelineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &tracing::Event<'_>,
    ) -> std::fmt::Result {
        let mut text = FieldText(String::new());
        event.record(&mut text);
        writeln!(writer, "{}", text.0)
    }
}

/// Extracts the content of the field [`FIELD`].
struct FieldText(String);

impl Visit for FieldText {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == FIELD {
            self.0 = value.into();
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn std::fmt::Debug) {}
}
