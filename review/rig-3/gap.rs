//! All daemons lose power, and shortly after they are back they lose it again.

use crate::clients;
use crate::daemons;
use crate::record::Record;
use crate::runners::Fleet;
use crate::store::Store;
use std::collections::HashSet;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const RUNNERS: usize = 8;
/// Retention of the store's records.
const KEEP_S: u64 = 20;
/// How long the daemons have no power, each time.
const POWER_DOWN: Duration = Duration::from_millis(9500);
/// How long they have power in between.
const POWER_UP: Duration = Duration::from_millis(1000);
/// Time from a snapshot to the first loss, about the middle between two snapshots.
const AFTER_SNAPSHOT: Duration = Duration::from_millis(3000);
/// `recoveryS`, and `contactMs` before it.
const RECOVERY: Duration = Duration::from_secs(16);
/// Clients, and the time that each waits between two jobs.
const CLIENTS: u64 = 12;
const PAUSE: Duration = Duration::from_millis(200);
const WORK_MS: u64 = 400;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let store = Arc::new(Store::new(Duration::from_secs(KEEP_S)));
    store.put("keyed.op", "config", clients::CONFIGURATION);
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    crate::http::serve(listener, Arc::clone(&store) as Arc<dyn crate::http::Handler>);
    let fleet = Fleet::start(RUNNERS, &store, record);
    let mut daemons = daemons::start(3, address, KEEP_S, record)?;
    let fronts: Vec<_> = daemons.iter().map(|d| d.front).collect();
    std::thread::sleep(Duration::from_secs(2));

    let accepted = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (accepted, is_over, record) =
                (Arc::clone(&accepted), Arc::clone(&is_over), Arc::clone(record));
            let fronts = fronts.clone();
            std::thread::spawn(move || {
                let mut number = 0_u64;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("{:015x}e", client << 28 | number);
                    let turn = usize::try_from(number).unwrap_or(0) % fronts.len();
                    let turned: Vec<_> =
                        fronts.iter().cycle().skip(turn).take(fronts.len()).copied().collect();
                    if let Some(at) =
                        clients::submit(&id, &clients::job(1, WORK_MS), &turned, &record)
                    {
                        accepted.lock().unwrap().push((id, at));
                    }
                    std::thread::sleep(PAUSE);
                }
            })
        })
        .collect();

    let wait_until = |at: Instant| std::thread::sleep(at.saturating_duration_since(Instant::now()));
    let limit = Instant::now() + Duration::from_secs(40);
    let at = loop {
        if let Some((at, count)) = store.snapshot()
            && count >= 2
        {
            break at;
        }
        if Instant::now() > limit {
            return Err("the daemons saved no snapshots".into());
        }
        std::thread::sleep(Duration::from_millis(5));
    };
    record.note("a snapshot was announced");
    wait_until(at + AFTER_SNAPSHOT);
    for pause in [POWER_UP, RECOVERY] {
        if trouble {
            record.note("all daemons lose power");
            daemons.iter_mut().for_each(daemons::Daemon::kill);
        }
        std::thread::sleep(POWER_DOWN);
        if trouble {
            daemons.iter_mut().try_for_each(daemons::Daemon::start)?;
        }
        std::thread::sleep(pause);
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_secs(4));

    let mut broken = Vec::new();
    let accepted = accepted.lock().unwrap();
    if accepted.len() < 50 {
        return Err(format!("only {} jobs were accepted", accepted.len()));
    }
    for (i, (id, _)) in accepted.iter().enumerate() {
        let (status, state) = clients::state(id, fronts[i % fronts.len()], record);
        if status == 410 || state == "failed" || state == "cancelled" {
            broken.push(format!("LOST: the accepted job {id} is answered {status} {state}"));
        }
    }
    let seen = fleet.seen.lock().unwrap();
    for over in seen.over.iter().filter(|o| o.how == "done" && o.noted.is_some()) {
        let again = seen.begun.iter().find(|b| b.task == over.task && b.at > over.at);
        if let Some(again) = again {
            broken.push(format!(
                "TWICE: {}#{} begins after #{} has ended done and was taken note of",
                again.task, again.run, over.run
            ));
        }
    }
    let tasks: HashSet<&String> = seen.begun.iter().map(|b| &b.task).collect();
    record.note(&format!("{} jobs accepted, {} tasks begun", accepted.len(), tasks.len()));
    Ok(broken)
}
