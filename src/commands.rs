//! The subcommands of `pimentovalve`, one module each.
//!
//! Results go to standard output, errors to standard error. Exit codes: 0 success, 1 refused or
//! failed, 2 invalid input.

pub mod audit;
pub mod cancel;
pub mod check_settings;
pub mod client;
pub mod config;
pub mod demo;
pub mod error;
pub mod explain;
pub mod input;
mod logs;
pub mod patch;
pub mod preview;
pub mod reader;
pub mod release;
pub mod sizes;
pub mod status;
pub mod submit;
pub mod timeline;

pub use error::Error;

use gumdrop::{Options, ParsingStyle};
use serde::Serialize;
use std::io::{self, Write};
use std::process::ExitCode;

/// Name of the program in help texts and error messages.
const PROGRAM: &str = "pimentovalve";

/// A subcommand. Argument parsing calls each one as a trait object.
pub trait Run {
    /// Executes the command and writes its result to `out`.
    ///
    /// # Errors
    ///
    /// Returns why the command was refused or failed, or all findings on its input.
    fn run(&self, out: &mut dyn Write) -> Result<(), Error>;
}

/// Submits work to a cluster, operates it and audits its promises.
#[derive(Debug, Default, Options)]
struct Arguments {
    /// Print help
    help: bool,
    /// Print the version
    #[options(no_short)]
    version: bool,
    /// The command to run
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// Submit a job or a request
    Submit(submit::Arguments),
    /// Show the state of a job or the answer to a request
    Status(status::Arguments),
    /// Cancel a job
    Cancel(cancel::Arguments),
    /// Create the next version of the configuration
    Patch(patch::Arguments),
    /// Show the configuration or its history
    Config(config::Arguments),
    /// Release a task on hold so that it can be placed again
    Release(release::Arguments),
    /// Merge the timelines of several processes
    Timeline(timeline::Arguments),
    /// Show why a job was refused, delayed or never completed
    Explain(explain::Arguments),
    /// Show where a job would go now and why, without submitting it
    Preview(preview::Arguments),
    /// Show how often jobs were completed in time, by queue and size
    Sizes(sizes::Arguments),
    /// Run an end-to-end demo with an embedded cell and a daemon failure
    Demo(demo::Arguments),
    /// Check whether each promise was kept
    Audit(audit::Arguments),
    /// Check a daemon's settings file
    CheckSettings(check_settings::Arguments),
}

impl Command {
    fn as_run(&self) -> &dyn Run {
        match self {
            Self::Submit(arguments) => arguments,
            Self::Status(arguments) => arguments,
            Self::Cancel(arguments) => arguments,
            Self::Patch(arguments) => arguments,
            Self::Config(arguments) => arguments,
            Self::Release(arguments) => arguments,
            Self::Timeline(arguments) => arguments,
            Self::Explain(arguments) => arguments,
            Self::Preview(arguments) => arguments,
            Self::Sizes(arguments) => arguments,
            Self::Demo(arguments) => arguments,
            Self::Audit(arguments) => arguments,
            Self::CheckSettings(arguments) => arguments,
        }
    }
}

/// Runs the command line and returns the exit code. `arguments` exclude the program's name.
pub fn main(arguments: &[String]) -> ExitCode {
    let ended = dispatch(arguments, &mut io::stdout().lock());
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Ignored: a failed write to standard error can't be reported anywhere.
            let _ = writeln!(io::stderr(), "{PROGRAM}: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn dispatch(arguments: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let parsed = Arguments::parse_args(arguments, ParsingStyle::default())
        .map_err(|e| Error::usage(format!("{e}; see {PROGRAM} --help")))?;
    if parsed.version {
        writeln!(out, "{PROGRAM} {}", env!("CARGO_PKG_VERSION"))?;
        return Ok(());
    }
    if parsed.help_requested() {
        return write_help(&parsed, out);
    }
    match &parsed.command {
        Some(command) => command.as_run().run(out),
        None => Err(Error::usage(format!("no command given; see {PROGRAM} --help"))),
    }
}

fn write_help(parsed: &Arguments, out: &mut dyn Write) -> Result<(), Error> {
    let mut options: &dyn Options = parsed;
    let mut path = String::from(PROGRAM);
    if let Some(command) = parsed.command.as_ref() {
        options = command;
        path.push(' ');
        path.push_str(command.command_name().unwrap_or_default());
    }
    writeln!(out, "Usage: {path} [OPTIONS]\n\n{}", options.self_usage())?;
    if let Some(list) = options.self_command_list() {
        writeln!(out, "\nCommands:\n{list}")?;
    }
    Ok(())
}

/// Writes `value` as one line of JSON.
fn write_json<T: Serialize>(out: &mut dyn Write, value: &T) -> Result<(), Error> {
    let json = serde_json::to_string(value).map_err(|e| Error::failed(e.to_string()))?;
    writeln!(out, "{json}")?;
    Ok(())
}
