//! Effects of a patch on work that was accepted before it.
//!
//! A patch never ends work. A job keeps the kind that it was accepted with, and a running task
//! keeps its capacity. If a quota is lowered below the team's usage, no new task of the team starts
//! until its usage fits the quota. Jobs of a removed kind or team run to completion, and new ones
//! are refused. Requests to a removed service are refused as not run; requests that were already
//! forwarded are still answered. The operator is shown these effects before the patch is accepted.

use super::Configuration;
use crate::finding::List;
use crate::machine::capacity::Capacity;
use crate::name::Name;

/// Total capacity of the running tasks of a team and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage<'a> {
    /// Name of the team.
    pub team: &'a Name,
    /// Name of the kind of work.
    pub kind: &'a Name,
    /// Number of running tasks.
    pub tasks: u32,
    /// Total capacity of the running tasks.
    pub taken: Capacity,
}

impl Configuration {
    /// Returns a finding for each removed kind or team with running tasks, and for each team whose
    /// usage exceeds its quota under this configuration.
    pub fn consequences(&self, usages: &[Usage]) -> List {
        let mut findings = List::new();
        for Usage { team, kind, tasks, .. } in usages {
            if self.kind(kind.as_str()).is_none() {
                let message = format!("{tasks} running tasks of team {team} run to completion");
                findings.note(format!("kinds.{kind}"), message);
            }
        }
        let mut teams: Vec<&Name> = usages.iter().map(|usage| usage.team).collect();
        teams.sort();
        teams.dedup();
        for team in teams {
            self.note_team(team, usages, &mut findings);
        }
        findings
    }

    fn note_team(&self, team: &Name, usages: &[Usage], findings: &mut List) {
        let own = usages.iter().filter(|usage| usage.team == team);
        let tasks: u32 = own.clone().map(|usage| usage.tasks).sum();
        let taken = own.fold(Capacity::ZERO, |sum, usage| sum.plus(&usage.taken));
        let place = format!("teams.{team}");
        match self.team(team.as_str()) {
            None => findings.note(place, format!("{tasks} running tasks run to completion")),
            Some(found) if !found.quota.holds(&taken) => {
                let message = format!(
                    "{tasks} running tasks use {taken}; none starts until they fit the quota"
                );
                findings.note(format!("{place}.quota"), message);
            }
            Some(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
