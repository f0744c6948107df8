//! Requests: synchronous calls of a service.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::finding::List;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Id of a request, chosen by the caller. A second submission under the same id is the same
/// request.
pub type Id = Name;

/// Maximum size of the body of a request or of its answer, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum value of [`Request::wait_ms`].
pub const MAX_WAIT: Millis = Millis::from_secs(60);

/// A request as submitted by a caller, before validation.
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

/// A validated request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Id chosen by the caller; also the key that is claimed so that a non-idempotent request runs
    /// at most once.
    pub id: Id,
    /// The team on whose behalf it is made.
    pub team: Name,
    /// Name of the service to call.
    pub service: Name,
    /// Urgency class.
    pub class: Class,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Time for which the caller waits for the answer.
    pub wait_ms: Millis,
    /// Input of the service, at most [`MAX_BODY_BYTES`].
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

/// Why work was refused. In every case it has not run and will not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The class or the team has too much waiting work.
    Overload,
    /// The instance is draining.
    Draining,
    /// The work needs a record in the ledger, which could not be written.
    Ledger,
    /// The instance can't prove that its configuration is current.
    Configuration,
    /// No runner or worker is available at present.
    Unavailable,
    /// The id has been used before with different content.
    Mismatch,
    /// The retention of the id has ended, so that an earlier use can't be ruled out any more.
    Expired,
    /// The caller's deadline passed before the work was forwarded.
    Deadline,
}

/// Answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "answer")]
pub enum Answer {
    /// The complete answer of the runner.
    Whole {
        /// Id of the answered request.
        request: Id,
        /// Body of the runner's answer.
        body: String,
    },
    /// The request has not run and will not run.
    NotRun {
        /// Id of the refused request.
        request: Id,
        /// Reason of the refusal.
        reason: Reason,
        /// Time after which to retry.
        retry_after_ms: Millis,
    },
    /// It is not known yet whether the request has run. Any instance can be asked by its id.
    Unknown {
        /// Id of the request.
        request: Id,
    },
}
