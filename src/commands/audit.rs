//! `pimentovalve audit`: checks each promise against the ledger and the timelines.

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

/// Number of partitions of the ledger if no settings file is given.
const DEFAULT_PARTITIONS: u16 = 16;

/// Reports whether each promise was kept, broken or can't be proved; exits 0 if all were kept.
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
    /// Operators' address of a daemon to read the ledger from; repeat it for others to try
    #[options(no_short, meta = "ADDR")]
    daemon: Vec<String>,
    /// File with the operator's key
    #[options(no_short, meta = "FILE")]
    key: Option<String>,
    /// Settings file of a daemon, for the fencing bounds and partitions; default values if absent
    #[options(no_short, meta = "FILE")]
    settings: Option<String>,
    /// Save the ledger that was read to this file
    #[options(no_short, meta = "FILE")]
    save: Option<String>,
    /// Timelines and saved ledgers, as files of JSON lines
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
        let mut content = reader::read(&self.files)?;
        if !self.daemon.is_empty() {
            let client = Client::new(&self.daemon, self.key.as_deref())?;
            fetch_ledger(&client, partitions, &mut content.rows)?;
        }
        if let Some(path) = &self.save {
            save(path, &content.rows)?;
        }
        for finding in content.findings.as_slice() {
            // Ignored: a failed write to standard error can't be reported anywhere.
            let _ = writeln!(io::stderr(), "{finding}");
        }
        let report = audit::audit(&content.rows, &content.events, &bounds, &scope);
        if self.json {
            write_json(out, &report)?
        } else {
            write_report(out, &report)?
        }
        check_result(&report, content.findings.as_slice().len())
    }
}

impl Arguments {
    fn scope(&self) -> Result<Scope, Error> {
        let parse_name = |flag: &str, raw: &str| {
            Name::try_from(raw).map_err(|findings| Error::input(flag, findings))
        };
        match (&self.job, &self.request, self.version) {
            (None, None, None) => Ok(Scope::All),
            (Some(id), None, None) => Ok(Scope::Job(parse_name("--job", id)?)),
            (None, Some(id), None) => Ok(Scope::Request(parse_name("--request", id)?)),
            (None, None, Some(version)) => Ok(Scope::Version(version)),
            _ => Err(Error::usage("only one of --job, --request and --version may be given")),
        }
    }

    fn bounds(&self) -> Result<(lease::Bounds, u16), Error> {
        match &self.settings {
            None => Ok((lease::Bounds::default(), DEFAULT_PARTITIONS)),
            Some(path) => {
                let settings = Settings::read(Path::new(path))
                    .map_err(|findings| Error::input(path, findings))?;
                Ok((settings.bounds, settings.partitions))
            }
        }
    }
}

/// Reads all streams of the ledger from a daemon and adds their records to `rows`.
fn fetch_ledger(client: &Client, partitions: u16, rows: &mut Vec<Row>) -> Result<(), Error> {
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

/// Returns an error unless every promise was kept and every line could be parsed. An audit with
/// unparsed lines doesn't succeed, because it has not seen all evidence.
fn check_result(report: &Report, unparsed_lines: usize) -> Result<(), Error> {
    let count = |standing| report.claims.iter().filter(|c| c.standing == standing).count();
    let (broken, unprovable) = (count(Standing::Broken), count(Standing::Unprovable));
    if broken + unprovable + unparsed_lines == 0 {
        return Ok(());
    }
    let mut message = format!("{broken} promises are broken, {unprovable} are unprovable");
    if unparsed_lines > 0 {
        message.push_str(&format!("; {unparsed_lines} lines could not be parsed"));
    }
    Err(Error::failed(message))
}

/// Writes a report as text: the replayed records of the scope, then each promise.
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
    writeln!(out, "{standing:<10} {} ({} checked)", promise(claim), claim.checked)?;
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

/// Returns the text of the promise that a claim is about.
const fn promise(claim: &Claim) -> &'static str {
    use pimentovalve_core::audit::Promise;
    match claim.promise {
        Promise::Capacity => "no worker is given more than its capacity",
        Promise::OnePlace => "no task runs in two places at once",
        Promise::NothingLost => "accepted work is not lost",
        Promise::WholeAnswer => "every caller receives the complete answer to its own request",
        Promise::NotRun => "work refused as not run did not run",
        Promise::AtMostOnce => "a non-idempotent request is executed at most once",
        Promise::Leaving => "a leaving machine receives no new work after a few seconds",
        Promise::GracefulStop => "a planned stop interrupts no request",
        Promise::Configuration => "a configuration takes effect everywhere and never reverts",
    }
}
