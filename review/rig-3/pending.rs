//! A runner loses power for good, and half a second after a job is accepted that would start there the daemon
//! is killed that gives the orders.

use crate::clients;
use crate::daemons::{self, Daemon};
use crate::record::Record;
use crate::runners::Fleet;
use crate::store::Store;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One of eight runners loses power: a share of 0.125.
const RUNNERS: usize = 8;
/// Time from the acceptance of the job to the kill.
const BEFORE_KILL: Duration = Duration::from_millis(500);
/// How long the daemon is down.
const DOWN: Duration = Duration::from_millis(3500);
/// `visible_ms` and 2 s more, after which a job that has not begun must be counted.
const COUNTED_AFTER: Duration = Duration::from_millis(5000);
/// Time for which the count is asked for.
const ASKED_FOR: Duration = Duration::from_secs(20);

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let store = Arc::new(Store::new(Duration::from_secs(300)));
    store.put("keyed.op", "config", clients::CONFIGURATION);
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    crate::http::serve(listener, Arc::clone(&store) as Arc<dyn crate::http::Handler>);
    let fleet = Fleet::start(RUNNERS, &store, record);
    let mut daemons = daemons::start(3, address, 300, record)?;
    std::thread::sleep(Duration::from_secs(2));
    let owner =
        (0..daemons.len()).max_by_key(|i| daemons[*i].epoch()).ok_or("there is no daemon")?;
    let others: Vec<_> =
        (0..daemons.len()).filter(|i| *i != owner).map(|i| daemons[i].front).collect();

    // Work that is there already decides where the next job starts.
    let first = "000000000000001d";
    clients::submit(first, &clients::job(4, 60_000), &others, record)
        .ok_or("no job was accepted")?;
    std::thread::sleep(Duration::from_secs(4));
    let runner = fleet.running(&format!("{first}.0.0.0")).ok_or("the first job does not run")?;
    if trouble {
        fleet.darken(runner);
    }
    let second = "000000000000002d";
    let accepted = clients::submit(second, &clients::job(1, 1000), &others, record);
    let accepted = accepted.ok_or("the second job was not accepted")?;
    std::thread::sleep(BEFORE_KILL);
    if trouble {
        daemons[owner].kill();
    }
    let killed = Instant::now();
    let mut is_down = trouble;
    let mut broken = Vec::new();
    let mut asked = 0;
    while killed.elapsed() < ASKED_FOR {
        std::thread::sleep(Duration::from_millis(200));
        if is_down && killed.elapsed() >= DOWN {
            Daemon::start(&mut daemons[owner])?;
            is_down = false;
        }
        let has_begun =
            || fleet.seen.lock().unwrap().begun.iter().any(|b| b.task.starts_with(second));
        let is_due = accepted.elapsed() > COUNTED_AFTER;
        // The killed daemon is not asked: it is not in touch.
        asked += 1;
        let count = clients::pending(others[asked % others.len()], record);
        if is_due && !has_begun() && count == Some(0) {
            broken.push(format!(
                "MIXED: 0 jobs are said to wait {:.1} s after {second} was accepted, which has not begun",
                accepted.elapsed().as_secs_f64()
            ));
        }
    }
    Ok(broken)
}
