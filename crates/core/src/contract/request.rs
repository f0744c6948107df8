//! Requests: calls of a service that a caller waits for.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::finding::List;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Identity of a request, chosen by the caller: the same id is the same request.
pub type Id = Name;

/// Greatest body of a request or of its answer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Longest time for which a caller may ask to wait.
pub const MAX_WAIT: Millis = Millis::from_secs(60);

/// A request as a caller wrote it, not checked yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// See [`Request::id`].
    pub id: String,
    /// See [`Request::team`].
    pub team: String,
    /// See [`Request::service`].
    pub service: String,
    /// See [`Request::class`].
    #[serde(default)]
    pub class: Class,
    /// See [`Request::idempotent`]; not idempotent when absent.
    #[serde(default)]
    pub idempotent: bool,
    /// See [`Request::wait_ms`].
    pub wait_ms: Millis,
    /// See [`Request::body`].
    #[serde(default)]
    pub body: String,
}

/// A checked request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Unique id; also the key that makes a non-idempotent request run at most once.
    pub id: Id,
    /// The team that answers for it.
    pub team: Name,
    /// The service that serves it.
    pub service: Name,
    /// How urgent it is.
    pub class: Class,
    /// Whether running it twice does no harm.
    pub idempotent: bool,
    /// How long the caller waits.
    pub wait_ms: Millis,
    /// Input, at most [`MAX_BODY_BYTES`].
    pub body: String,
}

impl TryFrom<Raw> for Request {
    type Error = List;

    fn try_from(raw: Raw) -> Result<Self, List> {
        let mut findings = List::new();
        let id = findings.take("id", Name::try_from(raw.id));
        let team = findings.take("team", Name::try_from(raw.team));
        let service = findings.take("service", Name::try_from(raw.service));
        if raw.wait_ms == Millis::ZERO || raw.wait_ms > MAX_WAIT {
            findings.note("wait_ms", format!("must be 1 ms to {MAX_WAIT}"));
        }
        if raw.body.len() > MAX_BODY_BYTES {
            findings.note("body", format!("must be at most {MAX_BODY_BYTES} bytes"));
        }
        match (id, team, service) {
            (Some(id), Some(team), Some(service)) if findings.is_empty() => Ok(Self {
                id,
                team,
                service,
                class: raw.class,
                idempotent: raw.idempotent,
                wait_ms: raw.wait_ms,
                body: raw.body,
            }),
            _ => Err(findings),
        }
    }
}

/// Why work was refused. In every case it did not run, and will not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// More work waits than the class or the team may have waiting.
    Overload,
    /// The instance is draining.
    Draining,
    /// The ledger could not be written, and the work needs it.
    Ledger,
    /// The instance can't show that its configuration is current.
    Configuration,
    /// No runner or worker can serve it at present.
    Unavailable,
    /// The id is known to have been used with other content.
    Mismatch,
    /// The id's window has passed; whether it ran before can't be told any more.
    Expired,
    /// The caller's deadline passed before the work was handed on.
    Deadline,
}

/// The answer to a request: exactly one of the three.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum Answer {
    /// The runner's whole answer.
    Whole {
        /// The request that it answers.
        request: Id,
        /// Content.
        body: String,
    },
    /// The work did not run and will not.
    NotRun {
        /// The refused request.
        request: Id,
        /// Why.
        reason: Reason,
        /// When to come back, from now.
        retry_after_ms: Millis,
    },
    /// Whether the work ran can't be told yet; ask by id at any instance.
    Unknown {
        /// The request to ask for.
        request: Id,
    },
}
