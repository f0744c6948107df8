//! `pimentovalve timeline`: merges the timelines of several processes in causal order.

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

/// Merges timelines in causal order, regardless of clock differences, and marks missing events.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object per line
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
    /// Also draw the events into an SVG file, with a lane for each process
    #[options(no_short, meta = "FILE.svg")]
    plot: Option<String>,
    /// Timelines, as one or more files of JSON lines
    #[options(free)]
    files: Vec<String>,
}

/// One line of output with `--json`.
#[derive(Serialize)]
struct JsonLine<'a> {
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
        let content = reader::read(&self.files)?;
        for finding in content.findings.as_slice() {
            // Not fatal: a process that was killed may leave a truncated last line.
            let _ = writeln!(io::stderr(), "{finding}");
        }
        let lines = filter.apply(timeline::merge(&content.events));
        for line in &lines {
            if self.json { write_json(out, &json_line(line))? } else { write_line(out, line)? }
        }
        match &self.plot {
            Some(path) => plot::draw(Path::new(path), &lines),
            None => Ok(()),
        }
    }
}

const fn json_line<'a>(line: &Line<'a>) -> JsonLine<'a> {
    let gap = match line.gap {
        Some(gap) => Some([gap.from, gap.to]),
        None => None,
    };
    JsonLine { at: line.at.get(), gap, orphan: line.orphan, event: line.event }
}

fn write_line(out: &mut dyn Write, line: &Line<'_>) -> Result<(), Error> {
    let event = line.event;
    let process = &event.process;
    if line.repeated {
        writeln!(out, "... {process}: the next event repeats an earlier sequence number")?;
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

/// Formats an event as its name, followed by its fields as `key=value`.
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

/// Parses the value of a flag as a name.
fn parse_name(flag: &str, raw: &str) -> Result<Name, Error> {
    Name::try_from(raw).map_err(|findings| Error::input(flag, findings))
}
