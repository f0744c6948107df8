//! Jobs, which callers submit and the scheduler places task by task.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::finding::List;
use crate::machine::capacity::Capacity;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Id of a job, chosen by the caller. A second submission under the same id is the same job.
pub type Id = Name;

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 1000;
/// Maximum size of a job's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 16 * 1024;

/// A job as submitted by a caller, before validation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// See [`Job::id`].
    pub id: String,
    /// See [`Job::team`].
    pub team: String,
    /// See [`Job::kind`].
    pub kind: String,
    /// See [`Job::class`]; the kind's class when absent.
    #[serde(default)]
    pub class: Option<Class>,
    /// See [`Job::tasks`]; 1 when absent.
    #[serde(default = "one")]
    pub tasks: u32,
    /// See [`Job::needs`].
    pub needs: Capacity,
    /// See [`Job::run_ms`].
    #[serde(default)]
    pub run_ms: Millis,
    /// See [`Job::payload`].
    #[serde(default)]
    pub payload: String,
}

const fn one() -> u32 {
    1
}

/// A validated job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Id chosen by the caller.
    pub id: Id,
    /// The team whose quota and weight apply.
    pub team: Name,
    /// Name of the kind of work.
    pub kind: Name,
    /// Urgency class; the kind's class when absent.
    pub class: Option<Class>,
    /// Number of tasks, 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Declared need of each task.
    pub needs: Capacity,
    /// Declared run time of each task, zero when unknown.
    pub run_ms: Millis,
    /// Input of the tasks, at most [`MAX_PAYLOAD_BYTES`].
    pub payload: String,
}

impl TryFrom<Raw> for Job {
    type Error = List;

    fn try_from(raw: Raw) -> Result<Self, List> {
        let mut findings = List::new();
        let id = findings.take("id", Name::try_from(raw.id));
        let team = findings.take("team", Name::try_from(raw.team));
        let kind = findings.take("kind", Name::try_from(raw.kind));
        findings.take("needs", raw.needs.check());
        if raw.tasks == 0 || raw.tasks > MAX_TASKS {
            findings.note("tasks", format!("must be 1 to {MAX_TASKS}, not {}", raw.tasks));
        }
        if raw.payload.len() > MAX_PAYLOAD_BYTES {
            findings.note("payload", format!("must be at most {MAX_PAYLOAD_BYTES} bytes"));
        }
        match (id, team, kind) {
            (Some(id), Some(team), Some(kind)) if findings.is_empty() => Ok(Self {
                id,
                team,
                kind,
                class: raw.class,
                tasks: raw.tasks,
                needs: raw.needs,
                run_ms: raw.run_ms,
                payload: raw.payload,
            }),
            _ => Err(findings),
        }
    }
}
