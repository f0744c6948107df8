//! The teams of one version of the configuration, and the keys of their callers.

use crate::contract::team::Team;
use crate::contract::work::Job;
use crate::finding::List;
use crate::machine::capacity::Capacity;
use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

#[cfg(test)]
mod tests;

/// A team as decoded by a front end, before validation.
#[derive(Clone, PartialEq, Eq)]
pub struct Raw {
    /// See [`Team::name`].
    pub name: String,
    /// See [`Team::weight`].
    pub weight: u32,
    /// See [`Team::quota`].
    pub quota: Capacity,
    /// Secrets of the team's callers. A team whose keys were all withdrawn has none.
    pub keys: Vec<String>,
}

/// A secret with which callers act for a team. Its `Debug` output omits the secret.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Key {
    secret: Box<str>,
    /// Index of the team.
    team: usize,
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Key").field("team", &self.team).finish_non_exhaustive()
    }
}

/// The teams and their keys. Empty where callers need no key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Sorted by name.
    teams: Vec<Team>,
    /// Sorted by secret.
    keys: Vec<Key>,
}

impl TryFrom<Vec<Raw>> for Roster {
    type Error = List;

    fn try_from(mut raw: Vec<Raw>) -> Result<Self, List> {
        raw.sort_by(|a, b| a.name.cmp(&b.name));
        let mut findings = List::new();
        let mut teams: Vec<Team> = Vec::with_capacity(raw.len());
        let mut keys = Vec::new();
        for Raw { name, weight, quota, keys: secrets } in raw {
            let place = format!("teams[{name}]");
            let name = findings.take(&place, Name::try_from(name));
            let Some(name) = name else { continue };
            if teams.last().is_some_and(|before| before.name == name) {
                findings.note(place, "there are two teams of this name");
                continue;
            }
            let team = teams.len();
            for secret in secrets {
                if secret.is_empty() {
                    findings.note(format!("{place}.keys"), "a key must not be empty");
                }
                keys.push(Key { secret: secret.into(), team });
            }
            teams.push(Team { name, weight, quota });
        }
        keys.sort_by(|a, b| (&a.secret, a.team).cmp(&(&b.secret, b.team)));
        keys.dedup();
        for pair in keys.windows(2).filter(|pair| pair[0].secret == pair[1].secret) {
            let (first, second) = (&teams[pair[0].team].name, &teams[pair[1].team].name);
            findings.note(format!("teams[{second}].keys"), format!("a key of team {first} too"));
        }
        findings.into_result()?;
        Ok(Self { teams, keys })
    }
}

impl Roster {
    /// Returns the teams, sorted by name.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Returns whether there are no teams: then callers need no key.
    pub const fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns the number of keys of all teams.
    pub const fn key_count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the team that a key belongs to, `None` for an unknown key.
    pub fn team_of(&self, secret: &str) -> Option<&Team> {
        let i = self.keys.binary_search_by(|key| (*key.secret).cmp(secret)).ok()?;
        self.teams.get(self.keys[i].team)
    }

    /// Returns the team of this name.
    pub fn team(&self, name: &Name) -> Option<&Team> {
        let i = self.teams.binary_search_by(|team| team.name.cmp(name)).ok()?;
        Some(&self.teams[i])
    }

    /// Checks that the quota of the job's team can hold each step: one task of it, or the whole gang.
    ///
    /// # Errors
    ///
    /// Returns a finding for each step that could never run, with the quota.
    pub fn check_quota(&self, job: &Job) -> Result<(), List> {
        let mut findings = List::new();
        let Some(team) = job.policy.team.as_ref().and_then(|name| self.team(name)) else {
            return Ok(());
        };
        for (i, step) in job.steps.iter().enumerate() {
            let together = if step.gang { u64::from(step.count) } else { 1 };
            let needs = step.counted_needs().times(together);
            if !team.quota.holds(&needs) {
                let Team { name, quota, .. } = team;
                let message = format!(
                    "{together} tasks that run together need {needs}; the quota of team {name} is {quota}"
                );
                findings.note(format!("steps[{i}]"), message);
            }
        }
        findings.into_result()
    }
}
