//! Logs and time line: JSON lines, through `tracing`.
//!
//! The log goes to standard error, at the level of the settings; libraries only warn. The time
//! line goes to a file of its own, or to standard output, one [`Event`] a line, and is always
//! written whole. Neither holds secrets.

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

/// Target of the time line's events.
pub const TIMELINE: &str = "timeline";
/// Prefix of the targets of this project.
const OWN: &str = "pimentovalve";
/// Field in which an event stands, as JSON.
const FIELD: &str = "json";

/// Why logs can't be set up.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file of the time line can't be opened.
    #[snafu(display("the time line {} can't be opened: {source}", path.display()))]
    Open {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// Logs were set up before in this process.
    #[snafu(display("logs are set up already: {source}"))]
    Again {
        /// Why.
        source: tracing_subscriber::util::TryInitError,
    },
}

/// Sets up log and time line of this process, once.
///
/// # Errors
///
/// Returns an error when the file of the time line can't be opened, or logs are set up already.
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

/// Sets up the log of this process alone, once, with lines that never hold up a duty.
///
/// # Errors
///
/// Returns an error when logs are set up already.
pub fn start_lines(level: &str, lines: lines::Lines) -> Result<(), Error> {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::INFO);
    let own = Targets::new().with_default(level.min(LevelFilter::WARN)).with_target(OWN, level);
    let log = tracing_subscriber::fmt::layer().json().flatten_event(true).with_writer(lines);
    tracing_subscriber::registry().with(log.with_filter(own)).try_init().context(AgainSnafu)
}

fn start_with<W>(level: &str, timeline: W) -> Result<(), Error>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    subscriber(level, io::stderr, timeline).try_init().context(AgainSnafu)
}

/// Writes an event of the time line.
pub fn emit(event: &Event) {
    match serde_json::to_string(event) {
        Ok(json) => tracing::event!(target: TIMELINE, Level::INFO, json),
        Err(error) => tracing::error!(%error, "an event of the time line can't be written"),
    }
}

/// Returns a subscriber that writes the log and the time line to the given writers.
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
        .event_format(Line)
        .with_writer(timeline)
        .with_filter(Targets::new().with_target(TIMELINE, LevelFilter::INFO));
    tracing_subscriber::registry().with(log).with(timeline)
}

/// Writes the event as it is, one a line.
struct Line;

impl<S, N> FormatEvent<S, N> for Line
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
        let mut text = Text(String::new());
        event.record(&mut text);
        writeln!(writer, "{}", text.0)
    }
}

/// The content of the field [`FIELD`].
struct Text(String);

impl Visit for Text {
    fn record_str(&mut self, field: &Field, value: &str) {
        if field.name() == FIELD {
            self.0 = value.into();
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn std::fmt::Debug) {}
}
