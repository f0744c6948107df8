//! Logs of `pimentovalve-node`, with one JSON object per line. If a log collector has put text before
//! the object, the last word of that text is the name of the process; otherwise the file name without
//! its extension is.

mod line;

pub(super) use line::Line;

use super::Error;
use pimentovalve_core::finding::List;
use std::io::{self, Write};
use std::path::Path;

/// Reads log files and sorts their lines by time. Lines that can't be parsed are reported on standard
/// error; text lines without a JSON object are skipped.
///
/// # Errors
///
/// Returns which files can't be read.
pub(super) fn read(files: &[String]) -> Result<Vec<Line>, Error> {
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
    for finding in findings.as_slice() {
        // Not fatal: a process that was killed may leave a truncated last line.
        let _ = writeln!(io::stderr(), "{finding}");
    }
    lines.sort_by_key(|l| l.at);
    Ok(lines)
}
