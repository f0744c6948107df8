//! `pimentovalve explain`: finds in the daemons' logs why a job was refused, delayed or never
//! completed.
//!
//! Reads logs of `pimentovalve-node`, with one JSON object per line. If a log collector has put
//! text before the object, the last word of that text is the name of the process; otherwise the
//! file name without its extension is.

mod cause;
mod line;
mod overrun;

#[cfg(test)]
mod tests;

use super::{Error, Run};
use gumdrop::Options;
use line::Line;
use pimentovalve_core::contract::work::Id;
use pimentovalve_core::finding::List;
use std::io::{self, Write};
use std::path::Path;

/// Shows a job's lines in the daemons' logs, and why it was refused, delayed or never completed.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Id of the job
    #[options(no_short, required, meta = "ID")]
    job: String,
    /// Log files of the daemons, one or more
    #[options(free)]
    files: Vec<String>,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let id = Id::try_from(self.job.as_str()).map_err(|f| Error::input("--job", f))?;
        if self.files.is_empty() {
            return Err(Error::usage("explain needs at least one file"));
        }
        let (lines, findings) = read_logs(&self.files)?;
        for finding in findings.as_slice() {
            // Not fatal: a process that was killed may leave a truncated last line.
            let _ = writeln!(io::stderr(), "{finding}");
        }
        write_report(out, &lines, &id.to_string())
    }
}

fn write_report(out: &mut dyn Write, lines: &[Line], job: &str) -> Result<(), Error> {
    for line in lines.iter().filter(|l| l.field("job") == Some(job)) {
        writeln!(out, "{line}")?;
    }
    for cause in cause::causes(lines, job) {
        writeln!(out, "cause: {cause}")?;
    }
    Ok(())
}

/// Reads log files and sorts their lines by time. Lines that can't be parsed become findings; text
/// lines without a JSON object are skipped.
fn read_logs(files: &[String]) -> Result<(Vec<Line>, List), Error> {
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
                Ok(line) => lines.extend(line.split()),
                Err(error) => findings.note(format!("{file}, line {}", i + 1), error),
            }
        }
    }
    unreadable.into_result().map_err(|findings| Error::input("files", findings))?;
    lines.sort_by_key(|l| l.at);
    Ok((lines, findings))
}
