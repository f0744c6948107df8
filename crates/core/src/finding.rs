//! Findings: validation errors with their location in the input, all reported together.

use serde::{Deserialize, Serialize};
use std::fmt;

/// One validation error of an input.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Path of the invalid value in the input, such as `teams[2].weight`.
    pub place: String,
    /// What is invalid, or which values are valid.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.message)
    }
}

/// All findings of one input. Contains at least one finding when used as an error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct List {
    findings: Vec<Finding>,
}

impl List {
    /// Returns an empty list, to which a check adds findings.
    pub const fn new() -> Self {
        Self { findings: Vec::new() }
    }

    /// Returns a list with one finding.
    pub fn one(place: impl Into<String>, message: impl Into<String>) -> Self {
        let mut list = Self::new();
        list.note(place, message);
        list
    }

    /// Appends a finding.
    pub fn note(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.findings.push(Finding { place: place.into(), message: message.into() });
    }

    /// Appends the findings of a part of the input, with `prefix` prepended to their paths.
    pub fn nest(&mut self, prefix: &str, part: Self) {
        for Finding { place, message } in part.findings {
            let place = if place.is_empty() { prefix.into() } else { format!("{prefix}.{place}") };
            self.findings.push(Finding { place, message });
        }
    }

    /// Returns the value of a checked part, or appends its findings under `prefix`.
    pub fn take<T>(&mut self, prefix: &str, part: Result<T, Self>) -> Option<T> {
        match part {
            Ok(value) => Some(value),
            Err(list) => {
                self.nest(prefix, list);
                None
            }
        }
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.findings.is_empty()
    }

    /// Returns the findings in the order in which they were added.
    pub fn as_slice(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns `Ok` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it contains findings.
    pub fn into_result(self) -> Result<(), Self> {
        if self.is_empty() { Ok(()) } else { Err(self) }
    }
}

impl fmt::Display for List {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.findings.iter().enumerate() {
            if i > 0 {
                f.write_str("; ")?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for List {}
