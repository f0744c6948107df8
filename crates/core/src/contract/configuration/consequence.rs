//! What a patch means for work that was accepted before it.
//!
//! A patch never ends work. A job keeps its kind as it was at acceptance, and a task that runs
//! keeps its capacity: a quota below what runs only keeps new tasks from starting until the team
//! fits in it, and a job of a removed kind or team runs to its end while new ones are refused.
//! Requests to a removed service are refused as not run; those that were sent keep their answer.
//! The operator is told all of this before the patch is accepted.

use super::Configuration;
use crate::finding::List;
use crate::machine::capacity::Capacity;
use crate::name::Name;

/// What the running tasks of a team and kind take together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage<'a> {
    /// The team.
    pub team: &'a Name,
    /// The kind of work.
    pub kind: &'a Name,
    /// Number of running tasks.
    pub tasks: u32,
    /// Capacity that they take.
    pub taken: Capacity,
}

impl Configuration {
    /// Returns what this configuration means for running work that it would not accept as new.
    pub fn consequences(&self, usages: &[Usage]) -> List {
        let mut findings = List::new();
        for Usage { team, kind, tasks, .. } in usages {
            if self.kind(kind.as_str()).is_none() {
                let message = format!("{tasks} tasks of team {team} run to their end");
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
            None => findings.note(place, format!("{tasks} tasks run to their end")),
            Some(found) if !found.quota.holds(&taken) => {
                let message =
                    format!("{tasks} tasks take {taken}; none starts until the rest fits again");
                findings.note(format!("{place}.quota"), message);
            }
            Some(_) => {}
        }
    }
}

#[cfg(test)]
mod tests;
