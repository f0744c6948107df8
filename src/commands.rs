//! The commands of `pimentovalve`, each in a module of its own.
//!
//! Results go to standard output, errors to standard error. Exit codes: 0 done, 1 refused or
//! failed, 2 bad input.

pub mod audit;
pub mod cancel;
pub mod check_settings;
pub mod client;
pub mod config;
pub mod demo;
pub mod error;
pub mod explain;
pub mod input;
pub mod patch;
pub mod reader;
pub mod release;
pub mod status;
pub mod submit;
pub mod timeline;

pub use error::Error;

use gumdrop::{Options, ParsingStyle};
use serde::Serialize;
use std::io::{self, Write};
use std::process::ExitCode;

/// Name of the program, for messages.
const PROGRAM: &str = "pimentovalve";

/// Carries a command out; the border between the command line and what it can do.
pub trait Run {
    /// Carries the command out and writes its result to `out`.
    ///
    /// # Errors
    ///
    /// Returns why it was refused or failed, or all findings on its input.
    fn run(&self, out: &mut dyn Write) -> Result<(), Error>;
}

/// Schedules work and shows that every promise was kept.
#[derive(Debug, Default, Options)]
struct Arguments {
    /// Print help
    help: bool,
    /// Print the version
    #[options(no_short)]
    version: bool,
    /// What to do
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
    /// Make the next version of the configuration
    Patch(patch::Arguments),
    /// Show the configuration or its history
    Config(config::Arguments),
    /// Release a held task for another place
    Release(release::Arguments),
    /// Merge the time lines of several processes
    Timeline(timeline::Arguments),
    /// Show why a job was refused, late or never done
    Explain(explain::Arguments),
    /// Show the main job on embedded stand-ins
    Demo(demo::Arguments),
    /// State of each promise whether it was kept
    Audit(audit::Arguments),
    /// Check a file with settings of a daemon
    CheckSettings(check_settings::Arguments),
}

impl Command {
    fn action(&self) -> &dyn Run {
        match self {
            Self::Submit(arguments) => arguments,
            Self::Status(arguments) => arguments,
            Self::Cancel(arguments) => arguments,
            Self::Patch(arguments) => arguments,
            Self::Config(arguments) => arguments,
            Self::Release(arguments) => arguments,
            Self::Timeline(arguments) => arguments,
            Self::Explain(arguments) => arguments,
            Self::Demo(arguments) => arguments,
            Self::Audit(arguments) => arguments,
            Self::CheckSettings(arguments) => arguments,
        }
    }
}

/// Carries out the command that the arguments name, without the program's own name.
pub fn main(arguments: &[String]) -> ExitCode {
    let ended = dispatch(arguments, &mut io::stdout().lock());
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Nothing is left to be done when standard error is closed as well.
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
        return help(&parsed, out);
    }
    match &parsed.command {
        Some(command) => command.action().run(out),
        None => Err(Error::usage(format!("no command was given; see {PROGRAM} --help"))),
    }
}

fn help(parsed: &Arguments, out: &mut dyn Write) -> Result<(), Error> {
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

/// Writes a value as one line of JSON.
fn write_json<T: Serialize>(out: &mut dyn Write, value: &T) -> Result<(), Error> {
    let json = serde_json::to_string(value).map_err(|e| Error::failed(e.to_string()))?;
    writeln!(out, "{json}")?;
    Ok(())
}
