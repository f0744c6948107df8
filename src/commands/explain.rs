//! `pimentovalve explain`: from a job's id to the cause of its fate, by the logs of daemons.
//!
//! The logs are those of `pimentovalve-node`: one JSON object a line. A collector may have put
//! words before it; the last one then names the process, else the file's name does.

mod cause;
mod line;

#[cfg(test)]
mod tests;

use super::{Error, Run};
use gumdrop::Options;
use line::Line;
use pimentovalve_core::contract::work::Id;
use pimentovalve_core::finding::List;
use std::io::{self, Write};
use std::path::Path;

/// Shows what the logs of daemons say of a job, and why it was refused, late or never done.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// The job
    #[options(no_short, required, meta = "ID")]
    job: String,
    /// Files of log lines, one or more
    #[options(free)]
    files: Vec<String>,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let id = Id::try_from(self.job.as_str()).map_err(|f| Error::input("--job", f))?;
        if self.files.is_empty() {
            return Err(Error::usage("explain needs at least one file"));
        }
        let (lines, findings) = read(&self.files)?;
        for finding in findings.as_slice() {
            // A line that was cut off when its process died is told, and the rest is used.
            let _ = writeln!(io::stderr(), "{finding}");
        }
        write(out, &lines, &id.to_string())
    }
}

fn write(out: &mut dyn Write, lines: &[Line], job: &str) -> Result<(), Error> {
    for line in lines.iter().filter(|l| l.field("job") == Some(job)) {
        writeln!(out, "{line}")?;
    }
    for cause in cause::causes(lines, job) {
        writeln!(out, "cause: {cause}")?;
    }
    Ok(())
}

/// Reads files of log lines, by time. Lines that can't be read become findings.
fn read(files: &[String]) -> Result<(Vec<Line>, List), Error> {
    let (mut lines, mut findings, mut unreadable) = (Vec::new(), List::new(), List::new());
    for file in files {
        let text = match std::fs::read(file) {
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(error) => {
                unreadable.note(file, format!("can't be read: {error}"));
                continue;
            }
        };
        let process = Path::new(file).file_stem().unwrap_or_default().to_string_lossy();
        for (i, text) in text.lines().enumerate().filter(|(_, t)| t.contains('{')) {
            match Line::parse(text, &process) {
                Ok(line) => lines.push(line),
                Err(error) => findings.note(format!("{file}, line {}", i + 1), error),
            }
        }
    }
    unreadable.into_result().map_err(|findings| Error::input("files", findings))?;
    lines.sort_by_key(|l| l.at);
    Ok((lines, findings))
}
