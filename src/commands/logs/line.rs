//! A parsed line of a daemon's log.

use pimentovalve_core::clock::Millis;
use serde_json::{Map, Value};
use std::fmt;
use std::time::UNIX_EPOCH;

/// Fields of every line, which are not printed among the fields of an event.
const COMMON_FIELDS: [&str; 4] = ["timestamp", "level", "target", "message"];

/// Messages of lines about several runs, each with the message of a line about one run.
const RUN_LISTS: [(&str, &str); 4] = [
    ("starts recorded", "start recorded"),
    ("ends recorded", "end recorded"),
    ("losses recorded", "loss recorded"),
    ("workers crashed under runs", "worker crashed under run"),
];

/// A line of a daemon's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::commands) struct Line {
    /// Time since the Unix epoch.
    pub(in crate::commands) at: Millis,
    /// Name of the daemon that wrote the line.
    pub(in crate::commands) process: String,
    /// Text of the log message, by which events are recognised.
    pub(in crate::commands) message: String,
    /// All fields of the JSON object, including the common ones.
    fields: Map<String, Value>,
}

impl Line {
    /// Parses a line. `process` is the daemon's name if no text precedes the JSON object.
    ///
    /// # Errors
    ///
    /// Returns which part of the line is missing or invalid.
    pub(in crate::commands) fn parse(text: &str, process: &str) -> Result<Self, String> {
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

    /// Splits a line about several runs into one for each run, as earlier builds wrote them. A run is
    /// `TASK#NUMBER`, followed by `@WORKER` and `=OUTCOME` where they apply. Other lines are kept.
    pub(in crate::commands) fn split(self) -> Vec<Self> {
        let single = RUN_LISTS.iter().find(|(list, _)| *list == self.message);
        let (Some((_, message)), Some(runs)) = (single, self.field("runs")) else {
            return vec![self];
        };
        runs.split_whitespace().map(|run| self.of_run(run, message)).collect()
    }

    fn of_run(&self, run: &str, message: &str) -> Self {
        let (run, outcome) = run.split_once('=').unwrap_or((run, ""));
        let (run, worker) = run.split_once('@').unwrap_or((run, ""));
        let (task, number) = run.split_once('#').unwrap_or((run, ""));
        let job = task.split('.').next().unwrap_or_default();
        let mut fields = self.fields.clone();
        fields.remove("runs");
        fields.insert("message".into(), message.into());
        let texts = [("job", job), ("task", task), ("worker", worker), ("outcome", outcome)];
        for (name, text) in texts.into_iter().filter(|(_, text)| !text.is_empty()) {
            fields.insert(name.into(), text.into());
        }
        if let Ok(number) = number.parse::<u64>() {
            fields.insert("number".into(), number.into());
        }
        Self { message: message.into(), fields, process: self.process.clone(), ..*self }
    }

    /// Returns a string field.
    pub(in crate::commands) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns a field that is an unsigned integer.
    pub(in crate::commands) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Returns whether a field is true.
    pub(in crate::commands) fn is_set(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool).unwrap_or_default()
    }

    /// Formats the time as RFC 3339 with milliseconds.
    pub(in crate::commands) fn time(&self) -> String {
        let at = UNIX_EPOCH + self.at.into();
        humantime::format_rfc3339_millis(at).to_string()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.time(), self.process, self.message)?;
        let shown = |name: &str| name != "job" && !COMMON_FIELDS.contains(&name);
        for (name, value) in self.fields.iter().filter(|(name, _)| shown(name)) {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}
