//! Reads files of the time line and of the ledger: JSON lines, mixed as they come.

use crate::commands::Error;
use pimentovalve_core::audit::Row;
use pimentovalve_core::finding::List;
use pimentovalve_core::timeline::Event;

/// What was read.
#[derive(Debug, Default)]
pub struct Read {
    /// Events, in the order of the files.
    pub events: Vec<Event>,
    /// Records of the ledger, in the order of the files.
    pub rows: Vec<Row>,
    /// Lines that could not be read, each with its file and number.
    pub findings: List,
}

/// Reads files of events and records. Lines that can't be read become findings.
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
        if let Ok(event) = serde_json::from_str(line) {
            read.events.push(event);
        } else if let Ok(row) = serde_json::from_str(line) {
            read.rows.push(row);
        } else {
            let message = "is neither an event of the time line nor a record of the ledger";
            read.findings.note(format!("{file}, line {}", i + 1), message);
        }
    }
}
