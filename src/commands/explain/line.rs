//! One line of a daemon's log.

use pimentovalve_core::clock::Millis;
use serde_json::{Map, Value};
use std::fmt;
use std::time::UNIX_EPOCH;

/// Fields that every line has and that say nothing of a job.
const COMMON: [&str; 4] = ["timestamp", "level", "target", "message"];

/// A line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Line {
    /// Time of day, since the Unix epoch.
    pub(super) at: Millis,
    /// The daemon that wrote it.
    pub(super) process: String,
    /// What happened.
    pub(super) message: String,
    fields: Map<String, Value>,
}

impl Line {
    /// Takes a line apart; `process` names the daemon where the line doesn't.
    ///
    /// # Errors
    ///
    /// Returns what the line lacks.
    pub(super) fn parse(text: &str, process: &str) -> Result<Self, String> {
        let (before, object) = text.split_at(text.find('{').unwrap_or_default());
        let fields: Map<String, Value> =
            serde_json::from_str(object).map_err(|e| format!("is not a log line: {e}"))?;
        let text = |name: &str| fields.get(name).and_then(Value::as_str);
        let time = text("timestamp").ok_or("has no \"timestamp\"")?;
        let time = humantime::parse_rfc3339(time).map_err(|e| format!("\"timestamp\": {e}"))?;
        let at = time.duration_since(UNIX_EPOCH).map_err(|e| format!("\"timestamp\": {e}"))?;
        let message = text("message").ok_or("has no \"message\"")?.to_owned();
        let process = before.split_whitespace().last().unwrap_or(process).to_owned();
        Ok(Self { at: at.into(), process, message, fields })
    }

    /// Returns a field that is a text.
    pub(super) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that is a number.
    pub(super) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns the time of day as text.
    pub(super) fn time(&self) -> String {
        let at = UNIX_EPOCH + self.at.into();
        humantime::format_rfc3339_millis(at).to_string()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.time(), self.process, self.message)?;
        let shown = |name: &str| name != "job" && !COMMON.contains(&name);
        for (name, value) in self.fields.iter().filter(|(name, _)| shown(name)) {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}
