//! Runs the stand-ins of the log, the instance list, workers and runners in one process, so that
//! daemons can be tried without a real platform.
//!
//! Prints one line of JSON with the addresses, then serves until SIGTERM or SIGINT.

use gumdrop::Options;
use pimentovalve_standin::fleet::Fleet;
use pimentovalve_standin::operator::{MAX_CONNECTIONS, OperatorService};
use pimentovalve_standin::server::Server;
use pimentovalve_standin::settings::Settings;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for invalid arguments or settings.
const BAD_INPUT: u8 = 2;

/// Stand-ins of the platform's services, workers and runners.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    /// Settings file, TOML.
    #[options(meta = "FILE", required)]
    settings: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let settings = match read(arguments.settings) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn read(path: Option<PathBuf>) -> Result<Settings, String> {
    let path = path.ok_or("error: missing option --settings FILE")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| format!("error: {}: {error}", path.display()))?;
    Settings::try_from(text.as_str()).map_err(|findings| {
        let lines = findings.as_slice().iter().map(|finding| format!("{finding}"));
        lines.collect::<Vec<_>>().join("\n")
    })
}

fn run(settings: &Settings) -> Result<(), Box<dyn std::error::Error>> {
    let fleet = Arc::new(Fleet::start(&settings.plan)?);
    let server = Server::start("standin-operator")?;
    let service = Arc::new(OperatorService::new(Arc::clone(&fleet)));
    let operator = server.listen(settings.operator, MAX_CONNECTIONS, service)?;
    let mut line = serde_json::to_value(fleet.addresses())?;
    line["operator"] = operator.address.to_string().into();
    writeln!(std::io::stdout(), "{line}")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok::<(), std::io::Error>(())
    })?;
    drop(server);
    Ok(())
}
