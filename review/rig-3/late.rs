//! A report that acknowledges ends gets no answer. Its runner crashes and starts again under its id, is cut off
//! for some seconds while its next tasks end, and carries the report out in that time.

use crate::clients;
use crate::daemons;
use crate::record::Record;
use crate::runners::Fleet;
use crate::store::Store;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One of eight runners is disrupted: a share of 0.125.
const RUNNERS: usize = 8;
/// Tasks that a job has on each runner.
const SPREAD: usize = 5;
/// How long a runner is down.
const DOWN: Duration = Duration::from_millis(1000);
/// How long the runner is cut off.
const CUT: Duration = Duration::from_millis(5000);
/// Time from the unanswered report until it is carried out; 2 to 12 s are named.
const LATE: Duration = Duration::from_millis(8000);
const WORK_MS: u64 = 4000;

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let store = Arc::new(Store::new(Duration::from_secs(300)));
    store.put("keyed.op", "config", clients::CONFIGURATION);
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    crate::http::serve(listener, Arc::clone(&store) as Arc<dyn crate::http::Handler>);
    let fleet = Fleet::start(RUNNERS, &store, record);
    let daemons = daemons::start(3, address, 300, record)?;
    let fronts: Vec<_> = daemons.iter().map(|d| d.front).collect();
    std::thread::sleep(Duration::from_secs(2));

    let submit = |id: &str, work| {
        let job = clients::spread_job(RUNNERS * SPREAD, work, SPREAD);
        clients::submit(id, &job, &fronts, record).ok_or("a job was not accepted")
    };
    let limit = Instant::now() + Duration::from_secs(60);
    let wait_for = |what: &str, is_true: &dyn Fn() -> bool| {
        while !is_true() {
            if Instant::now() > limit {
                return Err(format!("{what} did not happen"));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    };
    let runner = 0;
    if trouble {
        fleet.delay_report(runner, 3 * SPREAD as u64);
    }
    for number in 1..=4 {
        submit(&format!("00000000000a{number:03x}e"), 500)?;
        // The ends of a job are acknowledged while the next one runs.
        std::thread::sleep(Duration::from_millis(if number < 4 { 800 } else { 0 }));
    }
    let unanswered = if trouble {
        wait_for("an unanswered report", &|| fleet.has_delayed_report(runner))?;
        let at = Instant::now();
        std::thread::sleep(Duration::from_millis(300));
        fleet.crash(runner, DOWN);
        at
    } else {
        std::thread::sleep(Duration::from_secs(1));
        Instant::now()
    };
    // The runner is back and in the list.
    std::thread::sleep(DOWN + Duration::from_millis(1700));
    let id = "00000000000000ee";
    submit(id, WORK_MS)?;
    wait_for("the start of the tasks", &|| fleet.runs_on(runner, id) == SPREAD)?;
    std::thread::sleep(Duration::from_millis(1000));
    if trouble {
        fleet.cut(runner, CUT);
        std::thread::sleep(LATE.saturating_sub(unanswered.elapsed()));
        fleet.carry_out(runner);
    }
    std::thread::sleep(Duration::from_secs(20));
    clients::state(id, fronts[0], record);

    let seen = fleet.seen.lock().unwrap();
    let mut broken = Vec::new();
    for over in seen.over.iter().filter(|o| o.how == "done" && o.noted.is_some()) {
        let again = seen.begun.iter().find(|b| b.task == over.task && b.at > over.at);
        if let Some(again) = again {
            broken.push(format!(
                "TWICE: {}#{} begins after #{} has ended done and was taken note of",
                again.task, again.run, over.run
            ));
        }
    }
    let lapsed = seen.over.iter().filter(|o| o.how == "lapsed").count();
    record.note(&format!(
        "{} runs begun, {} ended, {lapsed} lapsed",
        seen.begun.len(),
        seen.over.len()
    ));
    Ok(broken)
}
