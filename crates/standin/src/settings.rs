//! Settings of `pimentovalve-standin` in TOML; validation reports all findings at once.

use crate::fleet::{Plan, Zone};
use crate::log::Retention;
use crate::server::ANY_PORT;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::zone::membership::{Instance, Role, State};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use toml::{Table, Value};

#[cfg(test)]
mod tests;

/// Most workers, and most runners, of one failure domain.
const MAX_MACHINES: usize = 1000;

/// Validated settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Listen address of the operator port.
    pub operator: SocketAddr,
    /// Configuration of the fleet.
    pub plan: Plan,
}

impl TryFrom<&str> for Settings {
    type Error = List;

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with the key to which it belongs.
    fn try_from(text: &str) -> Result<Self, List> {
        let table: Table = text.parse().map_err(|e: toml::de::Error| {
            List::one("settings", e.to_string().trim_end().to_owned())
        })?;
        let mut findings = List::new();
        let settings = read(table, &mut findings);
        findings.into_result().map(|()| settings)
    }
}

fn read(table: Table, findings: &mut List) -> Settings {
    let mut section = Section { place: String::new(), table, findings };
    let operator = section.take("operator").unwrap_or(ANY_PORT);
    let log = section.take("log").unwrap_or(ANY_PORT);
    let list = section.take("list").unwrap_or(ANY_PORT);
    let list_lag = section.take("list_lag_ms").unwrap_or(Millis(1000));
    let usage_lag = section.take("usage_lag_ms").unwrap_or(Millis(1000));
    let retention = section.subsection("retention").map_or_else(Retention::default, retention);
    let zones: Vec<Zone> = section.read_list("zones", zone);
    let entries: Vec<Instance> = section.read_list("entries", entry);
    if zones.is_empty() && section.findings.is_empty() {
        section.findings.note("zones", "at least one zone is required");
    }
    check_unique(section.findings, "zones", zones.iter().map(|z| z.domain.as_str()));
    check_unique(section.findings, "entries", entries.iter().map(|e| e.name.as_str()));
    section.report_unknown_keys();
    let plan = Plan { log, list, retention, list_lag, usage_lag, zones, entries };
    Settings { operator, plan }
}

fn retention(mut section: Section<'_>) -> Retention {
    let default = Retention::default();
    let entries = section.take("entries").unwrap_or(default.entries);
    let age_ms = section.take("age_ms").unwrap_or(default.age_ms);
    section.check_range("entries", entries, 1, usize::MAX);
    if age_ms == Millis::ZERO {
        section.note("age_ms", "must be at least 1 ms");
    }
    section.report_unknown_keys();
    Retention { entries, age_ms }
}

fn zone(mut section: Section<'_>) -> Option<Zone> {
    let region = section.require("region");
    let domain = section.require("domain");
    let service = section.require("service");
    let workers = section.take("workers").unwrap_or(1);
    let runners = section.take("runners").unwrap_or(1);
    section.check_range("workers", workers, 1, MAX_MACHINES);
    section.check_range("runners", runners, 0, MAX_MACHINES);
    let capacity = match section.subsection("capacity") {
        Some(nested) => Some(capacity(nested)),
        None => {
            section.note("capacity", "is required and must be a table");
            None
        }
    };
    section.report_unknown_keys();
    Some(Zone {
        region: region?,
        domain: domain?,
        workers,
        capacity: capacity?,
        runners,
        service: service?,
    })
}

fn capacity(mut section: Section<'_>) -> Capacity {
    let cpu_milli = section.require("cpu_milli");
    let memory_mib = section.require("memory_mib");
    let accelerators = section.take("accelerators").unwrap_or(0);
    if cpu_milli == Some(0) {
        section.note("cpu_milli", "must be at least 1");
    }
    if memory_mib == Some(0) {
        section.note("memory_mib", "must be at least 1");
    }
    section.report_unknown_keys();
    Capacity::new(cpu_milli.unwrap_or(1), memory_mib.unwrap_or(1), accelerators)
}

fn entry(mut section: Section<'_>) -> Option<Instance> {
    let name = section.require("name");
    let place = section.require("place");
    let address = section.require::<SocketAddr>("address");
    section.report_unknown_keys();
    Some(Instance {
        name: name?,
        role: Role::Entry,
        place: place?,
        address: address?.to_string(),
        state: State::Live,
        worker: None,
        service: None,
    })
}

fn check_unique<'a>(findings: &mut List, place: &str, names: impl Iterator<Item = &'a str>) {
    let names: Vec<&str> = names.collect();
    for (i, name) in names.iter().enumerate() {
        if names[..i].contains(name) {
            findings.note(format!("{place}[{i}]"), format!("duplicate name {name}"));
        }
    }
}

/// A TOML table whose keys are removed as they are read; the keys left at the end are unknown.
struct Section<'a> {
    /// Path of the table, ending with a dot; empty for the root table.
    place: String,
    table: Table,
    findings: &'a mut List,
}

impl Section<'_> {
    fn note(&mut self, key: &str, message: &str) {
        self.findings.note(format!("{}{key}", self.place), message);
    }

    /// Reads an optional value. Returns `None` if the key is absent, and also, with a finding, if
    /// the value has the wrong type.
    fn take<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        match self.table.remove(key)?.try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                self.note(key, error.to_string().trim_end());
                None
            }
        }
    }

    /// Reads a mandatory value.
    fn require<T: DeserializeOwned>(&mut self, key: &str) -> Option<T> {
        if !self.table.contains_key(key) {
            self.note(key, "is required");
        }
        self.take(key)
    }

    /// Checks that a value lies between `least` and `most`, both included.
    fn check_range(&mut self, key: &str, value: usize, least: usize, most: usize) {
        if value < least || value > most {
            self.note(key, &format!("must be {least} to {most}, not {value}"));
        }
    }

    fn subsection(&mut self, key: &str) -> Option<Section<'_>> {
        match self.table.remove(key)? {
            Value::Table(table) => {
                let place = format!("{}{key}.", self.place);
                Some(Section { place, table, findings: self.findings })
            }
            _ => {
                self.note(key, "must be a table");
                None
            }
        }
    }

    fn read_list<T>(&mut self, key: &str, read: impl Fn(Section<'_>) -> Option<T>) -> Vec<T> {
        let items = match self.table.remove(key) {
            None => Vec::new(),
            Some(Value::Array(items)) => items,
            Some(_) => {
                self.note(key, "must be an array of tables");
                Vec::new()
            }
        };
        let mut found = Vec::new();
        for (i, item) in items.into_iter().enumerate() {
            let Value::Table(table) = item else {
                self.note(&format!("{key}[{i}]"), "must be a table");
                continue;
            };
            let place = format!("{}{key}[{i}].", self.place);
            found.extend(read(Section { place, table, findings: self.findings }));
        }
        found
    }

    /// Reports the keys that were not read.
    fn report_unknown_keys(self) {
        for key in self.table.keys() {
            self.findings.note(format!("{}{key}", self.place), "unknown key");
        }
    }
}
