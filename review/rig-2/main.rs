//! Plays the cases of the review: `rig-2 CASE RECORD`. With `TROUBLE=0` in the environment the
//! disruption is left out. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not
//! be played.

mod cases;
mod http;
mod json;
mod record;
mod rig;
mod runner;
mod store;

use std::sync::Arc;
use std::time::Duration;

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// Outcome of a case: what breaks the rule, or why the case could not be played.
pub type Outcome = Result<Vec<String>, String>;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: rig-2 CASE RECORD");
        std::process::exit(2);
    };
    let record = match record::Record::create(&path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        }
    };
    let (played, sink) = std::sync::mpsc::channel();
    let noted = Arc::clone(&record);
    std::thread::spawn(move || {
        let outcome = std::panic::catch_unwind(|| cases::play(&name, &noted));
        let _ = played.send(outcome.unwrap_or_else(|_| Err("the rig panicked".into())));
    });
    let outcome = sink.recv_timeout(LIMIT).unwrap_or_else(|_| Err("time limit".into()));
    let code = match outcome {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            0
        }
        Ok(broken) => {
            broken.iter().take(20).for_each(|b| record.line(&format!("broken: {b}")));
            record.line(&format!("the rule was broken {} times", broken.len()));
            println!("broken {} times, first: {}", broken.len(), broken[0]);
            1
        }
        Err(reason) => {
            record.line(&format!("not played: {reason}"));
            println!("not played: {reason}");
            2
        }
    };
    std::process::exit(code);
}
