//! Stand-ins of the users' platform, clients and a referee for the scripts of this review.
//!
//! `rig-3 SCENARIO RECORD` starts daemons as processes beside a store, runners and clients in this
//! process, all on loopback addresses, and writes what was sent, answered and run to RECORD. It exits
//! with 1 if the rule of the scenario was broken, with 0 if it held, and with 2 if it could not run.
//! With `TROUBLE=0` in the environment the scenario runs without its disruption.

mod clients;
mod crashes;
mod daemons;
mod entry;
mod gap;
mod http;
mod json;
mod lasting;
mod late;
mod moved;
mod pending;
mod record;
mod runners;
mod store;

use record::Record;
use std::process::ExitCode;
use std::sync::Arc;

/// Longest run of a scenario. A run that takes longer counts as one that could not run.
const MAX_RUN: std::time::Duration = std::time::Duration::from_secs(112);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, scenario, path] = &args[..] else {
        eprintln!("usage: rig-3 SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("scenario {scenario}, trouble {trouble}"));
    let watchdog = Arc::clone(&record);
    std::thread::spawn(move || {
        std::thread::sleep(MAX_RUN);
        watchdog.note("could not run: it took too long");
        daemons::kill_all();
        std::process::exit(2);
    });
    let verdict = match scenario.as_str() {
        "crashes" => crashes::run(&record, trouble),
        "lasting" => lasting::run(&record, trouble),
        "entry" => entry::run(&record, trouble),
        "pending" => pending::run(&record, trouble),
        "moved" => moved::run(&record, trouble),
        "late" => late::run(&record, trouble),
        "gap" => gap::run(&record, trouble),
        other => Err(format!("there is no scenario {other}")),
    };
    daemons::kill_all();
    let code = match verdict {
        Ok(broken) if broken.is_empty() => {
            record.note("the rule held");
            0
        }
        Ok(broken) => {
            broken.iter().for_each(|line| record.note(&format!("BROKEN {line}")));
            1
        }
        Err(reason) => {
            record.note(&format!("could not run: {reason}"));
            2
        }
    };
    println!("{scenario}: exit {code}");
    ExitCode::from(code)
}
