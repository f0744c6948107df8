//! The daemon of an entry instance.
//!
//! `pimentovalved --settings FILE` serves until SIGTERM or SIGINT, drains, and exits 0. Exit codes:
//! 0 drained, 1 failed, 2 bad settings.

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

/// Time between two looks at whether a duty has failed.
const WATCH: Duration = Duration::from_millis(500);

/// Runs the daemon of an entry instance until SIGTERM, then drains it.
#[derive(Debug, Default, Options)]
struct Arguments {
    /// Print help
    help: bool,
    /// Print the version
    #[options(no_short)]
    version: bool,
    /// File with the settings
    #[options(no_short, meta = "FILE")]
    settings: Option<String>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match run(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Nothing is left to be done when standard error is closed as well.
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
    tracing::info!(name = %daemon.name(), addresses = ?daemon.addresses(), "the daemon serves");
    match wait(&daemon) {
        Ok(()) => {
            daemon.stop();
            tracing::info!("the daemon has drained");
            Ok(())
        }
        Err(error) => {
            daemon.kill();
            Err(error)
        }
    }
}

/// Waits until a signal asks for a planned stop, or a duty fails.
fn wait(daemon: &Daemon) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::failed(format!("the runtime can't start: {e}")))?;
    runtime.block_on(async {
        let mut terminate = listen(SignalKind::terminate())?;
        let mut interrupt = listen(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
            () = failure(daemon) => Err(Error::failed("a duty has failed")),
        }
    })
}

/// Ends when a duty has failed, so that the instance is replaced.
async fn failure(daemon: &Daemon) {
    while !daemon.has_failed() {
        tokio::time::sleep(WATCH).await;
    }
}

fn listen(kind: SignalKind) -> Result<Signal, Error> {
    signal(kind).map_err(|e| Error::failed(format!("signals can't be received: {e}")))
}
