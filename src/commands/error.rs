//! Errors of commands, with their exit codes.

use pimentovalve_core::finding::List;
use pimentovalve_wire::caller::Refusal;
use snafu::Snafu;
use std::fmt::Write;
use std::io;

/// Exit code of a command that was refused or failed.
const FAILED: u8 = 1;
/// Exit code of a wrong command line, argument or input file.
const BAD_INPUT: u8 = 2;

/// Why a command did not succeed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line can't be parsed, or an argument is missing.
    #[snafu(display("{message}"))]
    Usage {
        /// Text for the user.
        message: String,
    },
    /// An input file or the value of an argument is invalid.
    #[snafu(display("{}", format_findings(origin, findings)))]
    Input {
        /// The file, the flag, or `arguments` for the command line as a whole.
        origin: String,
        /// All faults found in it, at least one.
        findings: List,
    },
    /// A daemon refused the call, or can't tell whether it ran.
    #[snafu(display("{}", format_refusal(refusal)))]
    Refused {
        /// The refusal as the daemon sent it.
        refusal: Box<Refusal>,
    },
    /// The command failed for another reason, such as an unreachable daemon.
    #[snafu(display("{message}"))]
    Failed {
        /// Text for the user.
        message: String,
    },
    /// The result could not be written to standard output.
    #[snafu(display("result can't be written: {source}"), context(false))]
    Output {
        /// Error of the write.
        source: io::Error,
    },
}

impl Error {
    /// Returns an [`Error::Usage`].
    pub fn usage(message: impl Into<String>) -> Self {
        Self::Usage { message: message.into() }
    }

    /// Returns an [`Error::Input`]. `origin` is the file or the flag that `findings` are about.
    pub fn input(origin: impl Into<String>, findings: List) -> Self {
        Self::Input { origin: origin.into(), findings }
    }

    /// Returns an [`Error::Failed`].
    pub fn failed(message: impl Into<String>) -> Self {
        Self::Failed { message: message.into() }
    }

    /// Returns the exit code: 1 refused or failed, 2 invalid input.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage { .. } | Self::Input { .. } => BAD_INPUT,
            Self::Refused { refusal } if refusal.reason.is_none() && is_invalid_input(refusal) => {
                BAD_INPUT
            }
            Self::Refused { .. } | Self::Failed { .. } | Self::Output { .. } => FAILED,
        }
    }
}

/// Returns whether a refusal without a reason refused the input as invalid. A patch to a version
/// that is no longer current is refused with the versions since then; that is no fault of the input.
fn is_invalid_input(refusal: &Refusal) -> bool {
    refusal.not_run && !refusal.findings.is_empty() && refusal.since.is_empty()
}

fn format_findings(origin: &str, findings: &List) -> String {
    let lines: Vec<String> =
        findings.as_slice().iter().map(|finding| format!("{origin}: {finding}")).collect();
    lines.join("\n")
}

fn format_refusal(refusal: &Refusal) -> String {
    let mut text = String::new();
    let head = if refusal.not_run { "refused, not run" } else { "outcome unknown, query by id" };
    text.push_str(head);
    if let Some(reason) = &refusal.reason {
        // Writing to a string can't fail.
        let _ = write!(text, ": {reason:?}");
    }
    if let Some(after) = refusal.retry_after_ms {
        let _ = write!(text, "; retry after {after}");
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
