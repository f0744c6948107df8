//! Reads JSON-lines files of timeline events and ledger records, which may be mixed in one file.

use crate::commands::Error;
use pimentovalve_core::audit::Row;
use pimentovalve_core::finding::List;
use pimentovalve_core::timeline::Event;

/// The content of one or more files.
#[derive(Debug, Default)]
pub struct Content {
    /// Timeline events, in the order of the files and their lines.
    pub events: Vec<Event>,
    /// Ledger records, in the order of the files and their lines.
    pub rows: Vec<Row>,
    /// Lines that are neither, each with its file and line number.
    pub findings: List,
}

/// Reads files of events and records. Lines that can't be parsed become findings of the result.
///
/// # Errors
///
/// Returns a finding for each file that can't be opened or read.
pub fn read(files: &[String]) -> Result<Content, Error> {
    let mut content = Content::default();
    let mut unreadable = List::new();
    for file in files {
        match std::fs::read(file) {
            Ok(bytes) => parse_lines(file, &String::from_utf8_lossy(&bytes), &mut content),
            Err(error) => unreadable.note(file, format!("can't be read: {error}")),
        }
    }
    unreadable.into_result().map_err(|findings| Error::input("files", findings))?;
    Ok(content)
}

fn parse_lines(file: &str, text: &str, content: &mut Content) {
    for (i, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
        if let Ok(event) = serde_json::from_str(line) {
            content.events.push(event);
        } else if let Ok(row) = serde_json::from_str(line) {
            content.rows.push(row);
        } else {
            let message = "is neither a timeline event nor a ledger record";
            content.findings.note(format!("{file}, line {}", i + 1), message);
        }
    }
}
