//! The service terms under which a job was accepted.

use crate::clock::Millis;
use crate::name::Name;
use serde::ser::SerializeMap;
use serde::{Deserialize, Serialize, Serializer};

#[cfg(test)]
mod tests;

/// Response times of the external advisor that decides which workers may run a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvisorTiming {
    /// Base response time of a query, in microseconds.
    pub answer_us: u64,
    /// Additional response time for each worker named in a query, in microseconds.
    pub worker_us: u64,
    /// Validity of a ticket from the time of the answer.
    pub valid_ms: Millis,
}

/// Service terms of a queue for its jobs.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Policy {
    /// Name of the queue.
    pub queue: Box<str>,
    /// Name of the worker pool that runs its tasks.
    pub pool: Box<str>,
    /// Priority among the queues; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which the job fails.
    pub attempts: u32,
    /// Completion objective of a job as a multiple of its critical path, in thousandths.
    pub stretch_milli: u64,
    /// Constant part of the completion objective, added to the multiple.
    pub slack_ms: Millis,
    /// Set if the external advisor must allow the workers of each step.
    #[serde(rename = "advised")]
    pub advisor_timing: Option<AdvisorTiming>,
    /// The team of the caller that submitted the job; `None` where callers need no key.
    #[serde(default)]
    pub team: Option<Name>,
}

/// A policy without a team, in the encoding of builds that know no teams.
#[derive(Serialize)]
struct Teamless<'a> {
    queue: &'a str,
    pool: &'a str,
    priority: u32,
    attempts: u32,
    stretch_milli: u64,
    slack_ms: Millis,
    advised: &'a Option<AdvisorTiming>,
}

impl Serialize for Policy {
    /// Encodes a policy so that builds without teams read it: they allow no further field in a
    /// sequence of fields, but skip one that is named.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Self { queue, pool, priority, attempts, stretch_milli, slack_ms, .. } = self;
        let (priority, attempts) = (*priority, *attempts);
        let (stretch_milli, slack_ms, advised) = (*stretch_milli, *slack_ms, &self.advisor_timing);
        let Some(team) = &self.team else {
            let policy =
                Teamless { queue, pool, priority, attempts, stretch_milli, slack_ms, advised };
            return policy.serialize(serializer);
        };
        let mut map = serializer.serialize_map(Some(8))?;
        map.serialize_entry("queue", queue)?;
        map.serialize_entry("pool", pool)?;
        map.serialize_entry("priority", &priority)?;
        map.serialize_entry("attempts", &attempts)?;
        map.serialize_entry("stretch_milli", &stretch_milli)?;
        map.serialize_entry("slack_ms", &slack_ms)?;
        map.serialize_entry("advised", advised)?;
        map.serialize_entry("team", team)?;
        map.end()
    }
}
