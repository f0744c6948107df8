//! Reads files of the time line and of the ledger: JSON lines, mixed as they come.

use crate::commands::Error;
use pimentovalve_core::finding::List;
use pimentovalve_core::timeline::Event;

/// What was read.
#[derive(Debug, Default)]
pub struct Read {
    /// Events, in the order of the files.
    pub events: Vec<Event>,
    /// Lines that could not be read, each with its file and number.
    pub findings: List,
}

/// Reads files of events. Lines that can't be read become findings.
///
/// # Errors
///
/// Returns all files that can't be read.
pub fn read(files: &[String]) -> Result<Read, Error> {
    let mut read = Read::default();
    let mut unreadable = List::new();
    for file in files {
        match std::fs::read(file) {
            Ok(bytes) => lines(file, &String::from_utf8_lossy(&bytes), &mut read),
            Err(error) => unreadable.note(file, format!("can't be read: {error}")),
        }
    }
    unreadable.into_result().map_err(|findings| Error::input("files", findings))?;
    Ok(read)
}

fn lines(file: &str, text: &str, read: &mut Read) {
    for (i, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        match serde_json::from_str(line) {
            Ok(event) => read.events.push(event),
            Err(error) => {
                read.findings
                    .note(format!("{file}, line {}", i + 1), format!("is no event: {error}"));
            }
        }
    }
}
