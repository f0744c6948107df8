//! `pimentovalve audit`: states of each promise whether it was kept.

use super::client::Client;
use super::{Error, Run, reader, write_json};
use gumdrop::Options;
use pimentovalve_core::audit::{self, Claim, Evidence, Report, Row, Scope, Standing};
use pimentovalve_core::contract::configuration::Version;
use pimentovalve_core::ledger::Stream;
use pimentovalve_core::machine::lease;
use pimentovalve_core::name::Name;
use pimentovalve_daemon::settings::Settings;
use pimentovalve_wire::caller;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Partitions of the ledger, when no settings are given.
const PARTITIONS: u16 = 16;

/// States of each promise whether it was kept, broken or can't be shown; exits 0 if all are kept.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object
    #[options(no_short)]
    json: bool,
    /// Only this job
    #[options(no_short, meta = "ID")]
    job: Option<String>,
    /// Only this request
    #[options(no_short, meta = "ID")]
    request: Option<String>,
    /// Only this version of the configuration
    #[options(no_short, meta = "N")]
    version: Option<Version>,
    /// Operators' address of a daemon from which the ledger is read; repeat it for others to try
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// File with the operator's key
    #[options(no_short, meta = "FILE")]
    key: Option<String>,
    /// Settings of a daemon, for bounds and partitions; the defaults when absent
    #[options(no_short, meta = "FILE")]
    settings: Option<String>,
    /// Write the ledger that was read to this file
    #[options(no_short, meta = "FILE")]
    save: Option<String>,
    /// Files of time lines and saved ledgers
    #[options(free)]
    files: Vec<String>,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        if self.files.is_empty() && self.daemon.is_empty() {
            return Err(Error::usage("audit needs files, or --daemon to read the ledger from"));
        }
        let scope = self.scope()?;
        let (bounds, partitions) = self.bounds()?;
        let mut read = reader::read(&self.files)?;
        if !self.daemon.is_empty() {
            let client = Client::new(&self.daemon, self.key.as_deref())?;
            fetch(&client, partitions, &mut read.rows)?;
        }
        if let Some(path) = &self.save {
            save(path, &read.rows)?;
        }
        for finding in read.findings.as_slice() {
            // Nothing is left to be done when standard error is closed.
            let _ = writeln!(io::stderr(), "{finding}");
        }
        let report = audit::audit(&read.rows, &read.events, &bounds, &scope);
        if self.json {
            write_json(out, &report)?
        } else {
            write_report(out, &report)?
        }
        conclude(&report, read.findings.as_slice().len())
    }
}

impl Arguments {
    fn scope(&self) -> Result<Scope, Error> {
        let named = |flag: &str, raw: &str| {
            Name::try_from(raw).map_err(|findings| Error::input(flag, findings))
        };
        match (&self.job, &self.request, self.version) {
            (None, None, None) => Ok(Scope::All),
            (Some(id), None, None) => Ok(Scope::Job(named("--job", id)?)),
            (None, Some(id), None) => Ok(Scope::Request(named("--request", id)?)),
            (None, None, Some(version)) => Ok(Scope::Version(version)),
            _ => Err(Error::usage("only one of --job, --request and --version may be given")),
        }
    }

    fn bounds(&self) -> Result<(lease::Bounds, u16), Error> {
        match &self.settings {
            None => Ok((lease::Bounds::default(), PARTITIONS)),
            Some(path) => {
                let settings = Settings::read(Path::new(path))
                    .map_err(|findings| Error::input(path, findings))?;
                Ok((settings.bounds, settings.partitions))
            }
        }
    }
}

/// Reads all streams of the ledger.
fn fetch(client: &Client, partitions: u16, rows: &mut Vec<Row>) -> Result<(), Error> {
    let streams = (0..partitions).map(Stream::Partition);
    for stream in [Stream::Configuration, Stream::Fleet].into_iter().chain(streams) {
        let mut from = 0;
        loop {
            let chunk: Vec<caller::Row> =
                client.get(&format!("/v1/ledger/{stream}?from={from}"))?;
            let Some(last) = chunk.last() else { break };
            from = last.offset + 1;
            let row = |row: caller::Row| Row { stream, offset: row.offset, record: row.record };
            rows.extend(chunk.into_iter().map(row));
        }
    }
    Ok(())
}

fn save(path: &str, rows: &[Row]) -> Result<(), Error> {
    let failed = |e: &dyn std::fmt::Display| Error::failed(format!("{path} can't be written: {e}"));
    let mut file = BufWriter::new(File::create(path).map_err(|e| failed(&e))?);
    for row in rows {
        let line = serde_json::to_string(row).map_err(|e| failed(&e))?;
        writeln!(file, "{line}").map_err(|e| failed(&e))?;
    }
    file.flush().map_err(|e| failed(&e))
}

/// Returns `Ok` when every promise was kept and every line could be read.
fn conclude(report: &Report, unread: usize) -> Result<(), Error> {
    let count = |standing| report.claims.iter().filter(|c| c.standing == standing).count();
    let (broken, unprovable) = (count(Standing::Broken), count(Standing::Unprovable));
    if broken + unprovable + unread == 0 {
        return Ok(());
    }
    let mut message = format!("{broken} promises are broken, {unprovable} are unprovable");
    if unread > 0 {
        message.push_str(&format!("; {unread} lines could not be read"));
    }
    Err(Error::failed(message))
}

/// Writes a report for people.
pub(super) fn write_report(out: &mut dyn Write, report: &Report) -> Result<(), Error> {
    for step in &report.steps {
        let (stream, offset) = (step.row.stream, step.row.offset);
        let record = serde_json::to_string(&step.row.record.change)
            .map_err(|e| Error::failed(e.to_string()))?;
        let at = step.row.record.at.get();
        writeln!(out, "{stream}@{offset} at {at} ms, {:?}: {record}", step.verdict)?;
    }
    report.claims.iter().try_for_each(|claim| write_claim(out, claim))
}

fn write_claim(out: &mut dyn Write, claim: &Claim) -> Result<(), Error> {
    let standing = match claim.standing {
        Standing::Kept => "kept",
        Standing::Unprovable => "UNPROVABLE",
        Standing::Broken => "BROKEN",
    };
    writeln!(out, "{standing:<10} {} ({} checked)", title(claim), claim.checked)?;
    claim.evidence.iter().try_for_each(|evidence| write_evidence(out, evidence))
}

fn write_evidence(out: &mut dyn Write, evidence: &Evidence) -> Result<(), Error> {
    write!(out, "           {}", evidence.message)?;
    for (stream, offset) in &evidence.records {
        write!(out, " [{stream}@{offset}]")?;
    }
    for point in &evidence.events {
        write!(out, " [{}#{}]", point.process, point.sequence)?;
    }
    writeln!(out)?;
    Ok(())
}

/// Returns a promise in words.
const fn title(claim: &Claim) -> &'static str {
    use pimentovalve_core::audit::Promise;
    match claim.promise {
        Promise::Capacity => "no worker is given more than its capacity",
        Promise::OnePlace => "no task runs in two places at once",
        Promise::NothingLost => "accepted work is not lost",
        Promise::WholeAnswer => "every caller receives the whole answer to its own request",
        Promise::NotRun => "a refusal that says not run is true",
        Promise::AtMostOnce => "a non-idempotent request is executed at most once",
        Promise::Leaving => "a leaving machine receives no new work after a few seconds",
        Promise::GracefulStop => "a planned stop cuts off no request",
        Promise::Configuration => "a configuration is in force everywhere and never reverts",
    }
}
