//! The command line for callers, operators and auditors.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    pimentovalve::commands::main(&arguments)
}
