//! Configuration: numbered versions, each made from its predecessor by a patch.
//!
//! Versions only go up: [`crate::ledger::history`] says which patch of those that race is accepted,
//! [`crate::ledger::currency`] until when a version may be acted on. Model:
//! `specs/configuration.tla`.

pub mod consequence;

use crate::contract::class::Class;
use crate::contract::kind::{Kind, Separation};
use crate::contract::team::Team;
use crate::finding::List;
use crate::machine::runner::Limits;
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// Number of a configuration. Version 0 is the empty one that every log starts with.
pub type Version = u64;

/// Sum of the guaranteed shares at most, in percent.
const WHOLE_PERCENT: u32 = 100;

/// A service whose runners serve requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// How much each runner takes at once.
    #[serde(default)]
    pub runner: Limits,
}

/// Guaranteed shares of the fleet by urgency class, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shares {
    /// Share of [`Class::Urgent`].
    pub urgent: u32,
    /// Share of [`Class::Normal`].
    pub normal: u32,
    /// Share of [`Class::Deferrable`].
    pub deferrable: u32,
}

impl Shares {
    /// Returns the share of a class, in percent.
    pub const fn of(&self, class: Class) -> u32 {
        match class {
            Class::Urgent => self.urgent,
            Class::Normal => self.normal,
            Class::Deferrable => self.deferrable,
        }
    }
}

impl Shares {
    /// Returns what work of a class that can't be checkpointed may use at most, in percent: all
    /// but the shares of the other classes.
    pub const fn firm(&self, class: Class) -> u32 {
        let sum = self.urgent + self.normal + self.deferrable;
        (WHOLE_PERCENT + self.of(class)).saturating_sub(sum)
    }
}

impl Default for Shares {
    fn default() -> Self {
        Self { urgent: 30, normal: 40, deferrable: 10 }
    }
}

/// What placement weighs, each from 0 (ignored) to 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Tight packing of workers.
    pub packing: u32,
    /// Short waiting.
    pub waiting: u32,
    /// Spread of services over failure domains and racks.
    pub spread: u32,
    /// Little traffic between regions.
    pub locality: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self { packing: 50, waiting: 50, spread: 50, locality: 50 }
    }
}

/// One version of the configuration. Every vector is sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number.
    pub version: Version,
    /// Kinds of work.
    pub kinds: Vec<Kind>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Services.
    pub services: Vec<Service>,
    /// Guaranteed shares.
    pub shares: Shares,
    /// Weights of placement.
    pub weights: Weights,
    /// Kinds that were removed, so that what still runs of them keeps its meaning.
    #[serde(default)]
    pub removed: Vec<Removed>,
}

/// A kind that was removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Removed {
    /// Its name.
    pub name: Name,
    /// What happens to its running tasks when neither the log nor all peers can be asked.
    pub separation: Separation,
}

/// A change from one version to the next. Entries with a known name replace it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Patch {
    /// Kinds to add or replace.
    pub kinds: Vec<Kind>,
    /// Teams to add or replace.
    pub teams: Vec<Team>,
    /// Services to add or replace.
    pub services: Vec<Service>,
    /// Names of kinds to remove. Jobs of a removed kind run to their end; new ones are refused.
    pub remove_kinds: Vec<Name>,
    /// Names of teams to remove. Jobs of a removed team run to their end; new ones are refused.
    pub remove_teams: Vec<Name>,
    /// Names of services to remove.
    pub remove_services: Vec<Name>,
    /// New guaranteed shares.
    pub shares: Option<Shares>,
    /// New weights.
    pub weights: Option<Weights>,
}

impl Configuration {
    /// Returns the kind with the given name.
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        find(&self.kinds, name, |k| &k.name)
    }

    /// Returns the team with the given name.
    pub fn team(&self, name: &str) -> Option<&Team> {
        find(&self.teams, name, |t| &t.name)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        find(&self.services, name, |s| &s.name)
    }

    /// Returns the `separation` of a kind, also of one that was removed; `None` if there never was
    /// such a kind.
    pub fn separation(&self, kind: &str) -> Option<Separation> {
        let removed = || find(&self.removed, kind, |r| &r.name).map(|r| r.separation);
        self.kind(kind).map(|k| k.separation).or_else(removed)
    }

    /// Returns the next version, as the patch makes it.
    ///
    /// # Errors
    ///
    /// Returns all findings when the patch is empty, names something twice, removes what isn't
    /// there or sets a value out of its range.
    pub fn patched(&self, patch: &Patch) -> Result<Self, List> {
        let mut findings = List::new();
        if *patch == Patch::default() {
            findings.note("patch", "changes nothing");
        }
        check_values(patch, &mut findings);
        self.check_separations(patch, &mut findings);
        let mut next = self.clone();
        next.version += 1;
        remove(&mut next.kinds, &patch.remove_kinds, |k| &k.name, "remove_kinds", &mut findings);
        remove(&mut next.teams, &patch.remove_teams, |t| &t.name, "remove_teams", &mut findings);
        let services = &patch.remove_services;
        remove(&mut next.services, services, |s| &s.name, "remove_services", &mut findings);
        upsert(&mut next.kinds, &patch.kinds, |k| &k.name, "kinds", &mut findings);
        upsert(&mut next.teams, &patch.teams, |t| &t.name, "teams", &mut findings);
        upsert(&mut next.services, &patch.services, |s| &s.name, "services", &mut findings);
        next.note_removed(self);
        next.shares = patch.shares.unwrap_or(next.shares);
        next.weights = patch.weights.unwrap_or(next.weights);
        findings.into_result().map(|()| next)
    }
}

impl Configuration {
    /// Checks that no kind changes its `separation`. Two instances may rest on different versions
    /// for a while: if one held a task that the other moves, it could run in two places.
    fn check_separations(&self, patch: &Patch, findings: &mut List) {
        for (i, kind) in patch.kinds.iter().enumerate() {
            let former = self.separation(kind.name.as_str());
            if former.is_some_and(|former| former != kind.separation) {
                let place = format!("kinds[{i}].separation");
                findings.note(place, format!("{} has another one for good", kind.name));
            }
        }
    }

    /// Keeps the `separation` of kinds that `former` has and this configuration hasn't.
    fn note_removed(&mut self, former: &Self) {
        for kind in &former.kinds {
            if self.kind(kind.name.as_str()).is_none() {
                let removed = Removed { name: kind.name.clone(), separation: kind.separation };
                if let Err(i) = self.removed.binary_search_by(|r| r.name.cmp(&kind.name)) {
                    self.removed.insert(i, removed);
                }
            }
        }
    }
}

fn find<'a, T>(items: &'a [T], name: &str, key: impl Fn(&T) -> &Name) -> Option<&'a T> {
    items.binary_search_by(|item| key(item).as_str().cmp(name)).ok().map(|i| &items[i])
}

fn remove<T>(
    items: &mut Vec<T>,
    names: &[Name],
    key: impl Fn(&T) -> &Name,
    place: &str,
    findings: &mut List,
) {
    for (i, name) in names.iter().enumerate() {
        match items.binary_search_by(|item| key(item).cmp(name)) {
            Ok(found) => {
                items.remove(found);
            }
            Err(_) => findings.note(format!("{place}[{i}]"), format!("{name} is not there")),
        }
    }
}

fn upsert<T: Clone>(
    items: &mut Vec<T>,
    changed: &[T],
    key: impl Fn(&T) -> &Name,
    place: &str,
    findings: &mut List,
) {
    for (i, item) in changed.iter().enumerate() {
        if changed[..i].iter().any(|other| key(other) == key(item)) {
            findings.note(format!("{place}[{i}].name"), format!("{} is given twice", key(item)));
        }
        match items.binary_search_by(|other| key(other).cmp(key(item))) {
            Ok(found) => items[found] = item.clone(),
            Err(gap) => items.insert(gap, item.clone()),
        }
    }
}

fn check_values(patch: &Patch, findings: &mut List) {
    for (i, kind) in patch.kinds.iter().enumerate() {
        if kind.attempts == 0 {
            findings.note(format!("kinds[{i}].attempts"), "must be at least 1");
        }
    }
    for (i, team) in patch.teams.iter().enumerate() {
        if team.weight == 0 {
            findings.note(format!("teams[{i}].weight"), "must be at least 1");
        }
        findings.take(&format!("teams[{i}].quota"), team.quota.check());
    }
    for (i, service) in patch.services.iter().enumerate() {
        findings.take(&format!("services[{i}].runner"), service.runner.check());
    }
    if let Some(Shares { urgent, normal, deferrable }) = patch.shares {
        let sum = urgent.saturating_add(normal).saturating_add(deferrable);
        if sum > WHOLE_PERCENT {
            findings.note("shares", format!("add up to {sum}, at most {WHOLE_PERCENT} percent"));
        }
    }
    if let Some(Weights { packing, waiting, spread, locality }) = patch.weights {
        for (name, value) in
            [("packing", packing), ("waiting", waiting), ("spread", spread), ("locality", locality)]
        {
            if value > WHOLE_PERCENT {
                findings.note(format!("weights.{name}"), "must be 0 to 100");
            }
        }
    }
}
