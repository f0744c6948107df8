//! Configuration: numbered versions, each derived from its predecessor by a patch.
//!
//! Version numbers only rise. [`crate::ledger::history`] decides which of several concurrent
//! patches is accepted, and [`crate::ledger::currency`] until when an instance may act on a
//! version. Model: `specs/configuration.tla`.

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

/// Upper bound of the sum of the shares and of each weight, in percent.
const WHOLE_PERCENT: u32 = 100;

/// A service whose runners serve requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// Limits of the load that each runner accepts at the same time.
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
    /// Returns the maximum usage of a class's work that is not preemptible, in percent of the
    /// fleet: everything except the shares of the other classes.
    pub const fn max_non_preemptible(&self, class: Class) -> u32 {
        let sum = self.urgent + self.normal + self.deferrable;
        (WHOLE_PERCENT + self.of(class)).saturating_sub(sum)
    }
}

impl Default for Shares {
    fn default() -> Self {
        Self { urgent: 30, normal: 40, deferrable: 10 }
    }
}

/// Weights of the placement objectives, each from 0 (ignored) to 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Packing tasks tightly on few workers.
    pub packing: u32,
    /// Short waiting times: the higher, the more capacity is held back for teams within their
    /// parts, and the more the workers that stewards prefer differ.
    pub waiting: u32,
    /// Spreading services over failure domains and racks.
    pub spread: u32,
    /// Avoiding traffic between regions.
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
    /// Number of this version.
    pub version: Version,
    /// Kinds of work that jobs may have.
    pub kinds: Vec<Kind>,
    /// Teams that may submit work.
    pub teams: Vec<Team>,
    /// Services that serve requests.
    pub services: Vec<Service>,
    /// Guaranteed shares of the classes.
    pub shares: Shares,
    /// Weights of the placement objectives.
    pub weights: Weights,
    /// Removed kinds, whose separation still applies to their running tasks.
    #[serde(default)]
    pub removed: Vec<Removed>,
}

/// A removed kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Removed {
    /// Name of the kind.
    pub name: Name,
    /// What happens to its running tasks when the controller can reach neither the log nor all
    /// peers.
    pub separation: Separation,
}

/// A change from one version to the next. An entry replaces the existing one of the same name.
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

    /// Returns the `separation` of a kind, including removed kinds, or `None` if the kind has never
    /// existed.
    pub fn separation(&self, kind: &str) -> Option<Separation> {
        let removed = || find(&self.removed, kind, |r| &r.name).map(|r| r.separation);
        self.kind(kind).map(|k| k.separation).or_else(removed)
    }

    /// Returns the next version, which results from applying the patch.
    ///
    /// # Errors
    ///
    /// Returns all findings if the patch is empty, contains a name twice, removes an entry that
    /// does not exist, changes the `separation` of a kind or sets a value out of range.
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
        next.record_removed(self);
        next.shares = patch.shares.unwrap_or(next.shares);
        next.weights = patch.weights.unwrap_or(next.weights);
        findings.into_result().map(|()| next)
    }
}

impl Configuration {
    /// Checks that no kind changes its `separation`. Two instances may act on different versions
    /// for some time. If one of them held a task and the other moved it, the task could run in two
    /// places at the same time.
    fn check_separations(&self, patch: &Patch, findings: &mut List) {
        for (i, kind) in patch.kinds.iter().enumerate() {
            let former = self.separation(kind.name.as_str());
            if former.is_some_and(|former| former != kind.separation) {
                let place = format!("kinds[{i}].separation");
                findings
                    .note(place, format!("the separation of kind {} can't be changed", kind.name));
            }
        }
    }

    /// Adds the kinds of `former` that this configuration does not have to the removed kinds.
    fn record_removed(&mut self, former: &Self) {
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
            Err(_) => findings.note(format!("{place}[{i}]"), format!("{name} does not exist")),
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
