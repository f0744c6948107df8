//! `pimentovalve-bench NAME --seed N [--json] [--plot FILE]`: runs one experiment and prints its
//! report.

use gumdrop::Options as _;
use pimentovalve_bench::{experiment, plot};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code for a missing or unknown experiment name.
const BAD_INPUT: u8 = 2;

/// Measures the decisions of the scheduler on virtual time, against baselines in the same run.
#[derive(Debug, gumdrop::Options)]
struct Options {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "placement, packing, flood, faults, control, config or live")]
    name: Option<String>,
    #[options(help = "seed of all random numbers", default = "1", meta = "N")]
    seed: u64,
    #[options(help = "print one JSON object in place of the table")]
    json: bool,
    #[options(help = "draw the main figure into an SVG file", meta = "FILE")]
    plot: Option<PathBuf>,
}

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    let Some(name) = &options.name else {
        eprintln!("no experiment was named\n\n{}", Options::usage());
        return ExitCode::from(BAD_INPUT);
    };
    let Some(run) = experiment::find(name) else {
        let names = experiment::NAMES.join(", ");
        eprintln!("unknown experiment {name}; there are {names}");
        return ExitCode::from(BAD_INPUT);
    };
    let report = run(options.seed);
    if options.json {
        println!("{}", report.to_json());
    } else {
        print!("{report}");
    }
    if let Some(path) = &options.plot
        && let Err(error) = plot::draw(&report, path)
    {
        eprintln!("could not draw {}: {error}", path.display());
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
