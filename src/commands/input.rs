//! Input files of commands: TOML, or JSON if the file name ends in `.json`.

use super::Error;
use pimentovalve_core::finding::List;
use serde_json::{Map, Value};
use std::io::Read;
use std::path::Path;

/// File name that selects standard input, which is parsed as TOML.
const STANDARD_INPUT: &str = "-";

/// Reads a file, or standard input for `-`, as UTF-8.
///
/// # Errors
///
/// Returns a finding if the file can't be read or isn't UTF-8.
pub fn read_text(path: &str) -> Result<String, Error> {
    let read = if path == STANDARD_INPUT {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map(|_| text)
    } else {
        std::fs::read_to_string(path)
    };
    read.map_err(|e| Error::input(path, List::one("file", format!("can't be read: {e}"))))
}

/// Reads a file whose top level is a TOML table or a JSON object.
///
/// # Errors
///
/// Returns a finding if the file can't be read or parsed, or holds another type.
pub fn read_table(path: &str) -> Result<Map<String, Value>, Error> {
    let text = read_text(path)?;
    let is_json = Path::new(path).extension().is_some_and(|e| e.eq_ignore_ascii_case("json"));
    let parsed = if is_json {
        serde_json::from_str(&text).map_err(|e| e.to_string())
    } else {
        toml::from_str(&text).map_err(|e| e.to_string())
    };
    parsed.map_err(|message| Error::input(path, List::one("file", message.trim_end())))
}
