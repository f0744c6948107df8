//! The daemon of an entry instance.
//!
//! `pimentovalved --settings FILE` serves until SIGTERM or SIGINT, then drains and exits. Exit
//! codes: 0 drained, 1 failed, 2 invalid arguments or settings.

use gumdrop::{Options, ParsingStyle};
use pimentovalve::commands::Error;
use pimentovalve_daemon::journal::Lines;
use pimentovalve_daemon::settings::Settings;
use pimentovalve_daemon::{Daemon, log};
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Interval between checks for failed duties.
const FAILURE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs the daemon of an entry instance until SIGTERM or SIGINT, then drains and stops it.
#[derive(Debug, Default, Options)]
struct Arguments {
    /// Print help
    help: bool,
    /// Print the version
    #[options(no_short)]
    version: bool,
    /// Settings file, in TOML
    #[options(no_short, meta = "FILE")]
    settings: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Ignored: a failed write to standard error can't be reported anywhere.
            let _ = writeln!(io::stderr(), "pimentovalved: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run(arguments: &[String]) -> Result<(), Error> {
    let parsed = Arguments::parse_args(arguments, ParsingStyle::default())
        .map_err(|e| Error::usage(format!("{e}; see pimentovalved --help")))?;
    if parsed.help {
        writeln!(io::stdout(), "Usage: pimentovalved [OPTIONS]\n\n{}", Arguments::usage())?;
        return Ok(());
    }
    if parsed.version {
        writeln!(io::stdout(), "pimentovalved {}", env!("CARGO_PKG_VERSION"))?;
        return Ok(());
    }
    let Some(file) = parsed.settings else {
        return Err(Error::usage("--settings FILE must be given"));
    };
    let settings =
        Settings::read(Path::new(&file)).map_err(|findings| Error::input(&file, findings))?;
    log::start(&settings).map_err(|e| Error::failed(e.to_string()))?;
    let daemon = Daemon::start(&settings, Arc::new(Lines));
    let daemon = daemon.map_err(|e| Error::failed(e.to_string()))?;
    tracing::info!(name = %daemon.name(), addresses = ?daemon.addresses(), "daemon serving");
    match wait(&daemon) {
        Ok(()) => {
            daemon.stop();
            tracing::info!("daemon drained");
            Ok(())
        }
        Err(error) => {
            daemon.kill();
            Err(error)
        }
    }
}

/// Waits for a signal that asks for a planned stop.
///
/// # Errors
///
/// Returns an error if a duty fails first, or if signals can't be received.
fn wait(daemon: &Daemon) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::failed(format!("async runtime can't be started: {e}")))?;
    runtime.block_on(async {
        let mut terminate = signals(SignalKind::terminate())?;
        let mut interrupt = signals(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
            () = duty_failure(daemon) => Err(Error::failed("a duty has failed")),
        }
    })
}

/// Completes when a duty has failed. The process then exits, so that the platform replaces the
/// instance.
async fn duty_failure(daemon: &Daemon) {
    while !daemon.has_failed() {
        tokio::time::sleep(FAILURE_CHECK_INTERVAL).await;
    }
}

fn signals(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|e| Error::failed(format!("signal handler can't be installed: {e}")))
}
