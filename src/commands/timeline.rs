//! `pimentovalve timeline`: merges the time lines of several processes in causal order.

mod filter;
mod plot;

#[cfg(test)]
mod tests;

use super::{Error, Run, reader, write_json};
use filter::Filter;
use gumdrop::Options;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{self, Line};
use serde::Serialize;
use serde_json::Value;
use std::io::{self, Write};
use std::path::Path;

/// Merges files of time lines in causal order, despite clocks that differ, and marks gaps.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object a line
    #[options(no_short)]
    json: bool,
    /// Only events of this job
    #[options(no_short, meta = "ID")]
    job: Option<String>,
    /// Only events of this request
    #[options(no_short, meta = "ID")]
    request: Option<String>,
    /// Only events of this worker
    #[options(no_short, meta = "ID")]
    worker: Option<String>,
    /// Draw a lane for each process
    #[options(no_short, meta = "FILE.svg")]
    plot: Option<String>,
    /// Files of JSON lines, one or more
    #[options(free)]
    files: Vec<String>,
}

#[derive(Serialize)]
struct Shown<'a> {
    at: u64,
    gap: Option<[u64; 2]>,
    orphan: bool,
    #[serde(flatten)]
    event: &'a timeline::Event,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        if self.files.is_empty() {
            return Err(Error::usage("timeline needs at least one file"));
        }
        let filter =
            Filter::new(self.job.as_deref(), self.request.as_deref(), self.worker.as_deref())?;
        let read = reader::read(&self.files)?;
        for finding in read.findings.as_slice() {
            // A line that was cut off when its process died is told, and the rest is shown.
            let _ = writeln!(io::stderr(), "{finding}");
        }
        let lines = filter.apply(timeline::merge(&read.events));
        for line in &lines {
            if self.json { write_json(out, &shown(line))? } else { write_line(out, line)? }
        }
        match &self.plot {
            Some(path) => plot::draw(Path::new(path), &lines),
            None => Ok(()),
        }
    }
}

const fn shown<'a>(line: &Line<'a>) -> Shown<'a> {
    let gap = match line.gap {
        Some(gap) => Some([gap.from, gap.to]),
        None => None,
    };
    Shown { at: line.at.get(), gap, orphan: line.orphan, event: line.event }
}

fn write_line(out: &mut dyn Write, line: &Line<'_>) -> Result<(), Error> {
    let event = line.event;
    let process = &event.process;
    if line.repeated {
        writeln!(out, "... {process}: the next event has a sequence that was used before")?;
    }
    if let Some(gap) = line.gap {
        writeln!(out, "... {process}: events {} to {} are missing", gap.from, gap.to)?;
    }
    let cause = match &event.cause {
        None => String::new(),
        Some(cause) if line.orphan => format!(" <- {}#{} (missing)", cause.process, cause.sequence),
        Some(cause) => format!(" <- {}#{}", cause.process, cause.sequence),
    };
    let (at, sequence, duty) = (line.at.get(), event.sequence, &event.duty);
    writeln!(out, "{at} {process}#{sequence} {duty}: {}{cause}", describe(event))?;
    Ok(())
}

/// Returns an event as its name with its fields.
fn describe(event: &timeline::Event) -> String {
    let Ok(Value::Object(mut fields)) = serde_json::to_value(&event.what) else {
        return String::new();
    };
    let name = fields.remove("event").and_then(|name| name.as_str().map(String::from));
    let mut text = name.unwrap_or_default();
    for (key, value) in &fields {
        let value = match (key.as_str(), value) {
            ("task", Value::Object(_)) => {
                event.what.attempt().map(|(task, _)| task.to_string()).unwrap_or_default()
            }
            (_, Value::String(value)) => value.clone(),
            (_, value) => value.to_string(),
        };
        text.push_str(&format!(" {key}={value}"));
    }
    text
}

/// Returns a checked name out of an argument.
fn name(flag: &str, raw: &str) -> Result<Name, Error> {
    Name::try_from(raw).map_err(|findings| Error::input(flag, findings))
}
