//! Why a command did not succeed.

use pimentovalve_core::finding::List;
use pimentovalve_wire::caller::Refusal;
use snafu::Snafu;
use std::fmt::Write;
use std::io;

/// Exit code of what was refused or failed.
const FAILED: u8 = 1;
/// Exit code of bad input.
const BAD_INPUT: u8 = 2;

/// Why a command did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong with it.
        message: String,
    },
    /// A file or an argument is wrong.
    #[snafu(display("{}", listed(origin, findings)))]
    Input {
        /// The file or the argument.
        origin: String,
        /// Everything that is wrong with it.
        findings: List,
    },
    /// The system refused.
    #[snafu(display("{}", refused(refusal)))]
    Refused {
        /// Its refusal.
        refusal: Box<Refusal>,
    },
    /// Something failed.
    #[snafu(display("{message}"))]
    Failed {
        /// What failed.
        message: String,
    },
    /// The result could not be written.
    #[snafu(display("the result can't be written: {source}"), context(false))]
    Output {
        /// Why.
        source: io::Error,
    },
}

impl Error {
    /// Returns the error of a wrong command line.
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage { message: message.into() }
    }

    /// Returns the error of a wrong file or argument.
    pub fn input(origin: impl Into<String>, findings: List) -> Self {
        Self::Input { origin: origin.into(), findings }
    }

    /// Returns the error of something that failed.
    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed { message: message.into() }
    }

    /// Returns the exit code: 1 refused or failed, 2 bad input.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::Input { .. } => BAD_INPUT,
            Self::Refused { refusal } if refusal.reason.is_none() && is_input(refusal) => BAD_INPUT,
            Self::Refused { .. } | Self::Failed { .. } | Self::Output { .. } => FAILED,
        }
    }
}

/// Returns whether a refusal blames the input, and not a version that isn't current.
fn is_input(refusal: &Refusal) -> bool {
    refusal.not_run && !refusal.findings.is_empty() && refusal.since.is_empty()
}

fn listed(origin: &str, findings: &List) -> String {
    let lines: Vec<String> =
        findings.as_slice().iter().map(|finding| format!("{origin}: {finding}")).collect();
    lines.join("\n")
}

fn refused(refusal: &Refusal) -> String {
    let mut text = String::new();
    let head = if refusal.not_run { "refused, not run" } else { "unknown, ask by id" };
    text.push_str(head);
    if let Some(reason) = &refusal.reason {
        // Writing to a string can't fail.
        let _ = write!(text, ": {reason:?}");
    }
    if let Some(after) = refusal.retry_after_ms {
        let _ = write!(text, "; come back in {after}");
    }
    for finding in &refusal.findings {
        let _ = write!(text, "\n{finding}");
    }
    for entry in &refusal.since {
        let (version, operator, at) = (entry.version, &entry.operator, entry.at.get());
        let patch = serde_json::to_string(&entry.patch).unwrap_or_default();
        let _ = write!(text, "\nversion {version} by {operator} at {at} ms: {patch}");
    }
    text
}
