//! `pimentovalve explain`: finds in the daemons' logs why a job was refused, delayed or never
//! completed.

mod cause;
mod overrun;

#[cfg(test)]
mod tests;

use super::logs::{self, Line};
use super::{Error, Run};
use gumdrop::Options;
use pimentovalve_core::contract::work::Id;
use std::io::Write;

/// Shows a job's lines in the daemons' logs, and why it was refused, delayed or never completed.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Id of the job
    #[options(no_short, required, meta = "ID")]
    job: String,
    /// Log files of the daemons, one or more
    #[options(free)]
    files: Vec<String>,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let id = Id::try_from(self.job.as_str()).map_err(|f| Error::input("--job", f))?;
        if self.files.is_empty() {
            return Err(Error::usage("explain needs at least one file"));
        }
        let lines = logs::read(&self.files)?;
        write_report(out, &lines, &id.to_string())
    }
}

fn write_report(out: &mut dyn Write, lines: &[Line], job: &str) -> Result<(), Error> {
    for line in lines.iter().filter(|l| l.field("job") == Some(job)) {
        writeln!(out, "{line}")?;
    }
    for cause in cause::causes(lines, job) {
        writeln!(out, "cause: {cause}")?;
    }
    Ok(())
}
