//! `pimentovalve config`: shows a version of the configuration, or the history of its changes.

mod difference;
#[cfg(test)]
mod tests;

use super::client::Client;
use super::{Error, Run, write_json};
use gumdrop::Options;
use pimentovalve_core::contract::configuration::{Configuration, Version};
use pimentovalve_core::ledger::history::Entry;
use std::io::Write;

/// Shows the configuration in force, an earlier version, or the history of all versions.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print JSON: one object, or one entry a line for the history
    #[options(no_short)]
    json: bool,
    /// Operators' address of a daemon; repeat it for others to try
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// File with the operator's key
    #[options(no_short, meta = "FILE")]
    key: Option<String>,
    /// Show this version
    #[options(no_short, meta = "N")]
    version: Option<Version>,
    /// Show who created each version, when, and what it changed
    #[options(no_short)]
    history: bool,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let client = Client::new(&self.daemon, self.key.as_deref())?;
        if self.history {
            let entries: Vec<Entry> = client.get("/v1/configuration/history")?;
            return if self.json {
                write_lines(out, &entries)
            } else {
                write_history(out, &entries)
            };
        }
        let configuration = match self.version {
            None => client.get("/v1/configuration")?,
            Some(version) => {
                let entries: Vec<Entry> = client.get("/v1/configuration/history")?;
                rebuild(&entries, version)?
            }
        };
        if self.json {
            return write_json(out, &configuration);
        }
        let text = toml::to_string(&configuration).map_err(|e| Error::failed(e.to_string()))?;
        write!(out, "{text}")?;
        Ok(())
    }
}

/// Rebuilds a version by replaying the patches of the history.
fn rebuild(entries: &[Entry], version: Version) -> Result<Configuration, Error> {
    let mut configuration = Configuration::default();
    for entry in entries.iter().filter(|entry| entry.version <= version) {
        if entry.version != configuration.version + 1 {
            return Err(Error::failed(format!(
                "history has a gap before version {}; version {version} can't be rebuilt",
                entry.version
            )));
        }
        configuration = configuration
            .patched(&entry.patch)
            .map_err(|findings| Error::failed(format!("version {}: {findings}", entry.version)))?;
    }
    if configuration.version != version {
        let current = configuration.version;
        return Err(Error::failed(format!("no version {version}; the current one is {current}")));
    }
    Ok(configuration)
}

fn write_lines(out: &mut dyn Write, entries: &[Entry]) -> Result<(), Error> {
    entries.iter().try_for_each(|entry| write_json(out, entry))
}

fn write_history(out: &mut dyn Write, entries: &[Entry]) -> Result<(), Error> {
    let mut before = Configuration::default();
    for entry in entries {
        let Entry { version, offset, at, operator, patch } = entry;
        writeln!(out, "version {version} by {operator} at {} ms, offset {offset}", at.get())?;
        let Ok(after) = before.patched(patch) else {
            return Err(Error::failed(format!(
                "the patch of version {version} does not apply to its predecessor"
            )));
        };
        for line in difference::lines(&before, &after) {
            writeln!(out, "  {line}")?;
        }
        before = after;
    }
    Ok(())
}
