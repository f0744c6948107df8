//! Runners crash, each under the same sound task. None of its runs ends `failed`.

use crate::clients;
use crate::daemons;
use crate::record::Record;
use crate::runners::Fleet;
use crate::store::Store;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// One of eight runners crashes at a time: a share of 0.125.
const RUNNERS: usize = 8;
const CRASHES: usize = 3;
/// How long a runner is down.
const DOWN: Duration = Duration::from_millis(4500);
/// How long the task works.
const WORK_MS: u64 = 8000;
/// How long the task has worked when its runner crashes.
const BEFORE_CRASH: Duration = Duration::from_millis(2000);

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

    let id = "00000000000000aa";
    clients::submit(id, &clients::job(1, WORK_MS), &fronts, record)
        .ok_or("the job was not accepted")?;
    let task = format!("{id}.0.0.0");
    let mut crashes = 0;
    let limit = Instant::now() + Duration::from_secs(80);
    let mut asked = 0;
    loop {
        std::thread::sleep(Duration::from_millis(500));
        asked += 1;
        let (status, state) = clients::state(id, fronts[asked % fronts.len()], record);
        if status == 200 && ["completed", "failed", "cancelled"].contains(&state.as_str()) {
            let seen = fleet.seen.lock().unwrap();
            let ends = |how| seen.over.iter().filter(|o| o.task == task && o.how == how).count();
            let (runs, failed, done) = (seen.begun.len(), ends("failed"), ends("done"));
            record.note(&format!(
                "{state} after {runs} runs, {crashes} crashes, {failed} ends `failed`, {done} `done`"
            ));
            return Ok(match state.as_str() {
                "completed" => Vec::new(),
                other => vec![format!(
                    "LOST: {id} is shown as {other}; nobody cancelled it, and {failed} of its runs ended `failed`"
                )],
            });
        }
        if Instant::now() > limit {
            return Err("the job did not end".into());
        }
        if trouble
            && crashes < CRASHES
            && let Some(runner) = fleet.running(&task)
        {
            let seen = fleet.seen.lock().unwrap();
            let since = seen.begun.iter().filter(|b| b.task == task).map(|b| b.at).max();
            drop(seen);
            if since.is_some_and(|at| at.elapsed() >= BEFORE_CRASH) {
                crashes += 1;
                fleet.crash(runner, DOWN);
            }
        }
    }
}
