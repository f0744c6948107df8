//! `pimentovalve check-settings`: validates a settings file without starting a daemon.

use super::{Error, Run, write_json};
use gumdrop::Options;
use pimentovalve_core::finding::List;
use pimentovalve_daemon::settings::Settings;
use pimentovalve_wire::http::keys::Keys;
use serde::Serialize;
use std::io::Write;
use std::path::Path;

/// Checks a daemon's settings file and lists all mistakes with key and line.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object
    #[options(no_short)]
    json: bool,
    /// Settings file, in TOML
    #[options(free)]
    file: String,
}

#[derive(Serialize)]
struct Report<'a> {
    file: &'a str,
    ok: bool,
    findings: &'a List,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        if self.file.is_empty() {
            return Err(Error::usage("check-settings needs a file"));
        }
        let findings = check(Path::new(&self.file));
        let ok = findings.is_empty();
        if self.json {
            write_json(out, &Report { file: &self.file, ok, findings: &findings })?;
        } else if ok {
            writeln!(out, "{}: no mistakes", self.file)?;
        }
        findings.into_result().map_err(|findings| Error::input(&self.file, findings))
    }
}

/// Checks a settings file and the key files that it names. Key files that don't exist on this
/// machine are skipped.
fn check(path: &Path) -> List {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(findings) => return findings,
    };
    let mut findings = List::new();
    let files = [("operator_keys", &settings.operator_keys), ("peer_key", &settings.peer_key)];
    for (place, file) in files {
        let Some(file) = file.as_ref().filter(|file| file.exists()) else { continue };
        let keys = findings.take(place, Keys::read(file));
        if place == "peer_key" && keys.is_some_and(|keys| keys.only().is_none()) {
            findings.note(place, "the file must hold exactly one key");
        }
    }
    findings
}
