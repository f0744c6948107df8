//! Another writer writes an entry under the id of a runner that works. Fields of it are missing.

use crate::clients;
use crate::daemons;
use crate::record::Record;
use crate::runners::Fleet;
use crate::store::Store;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

const RUNNERS: usize = 8;
/// Tasks of the job, each of which works for `WORK_MS`.
const TASKS: usize = 4;
const WORK_MS: u64 = 15_000;

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

    let id = "00000000000000cc";
    clients::submit(id, &clients::job(TASKS, WORK_MS), &fronts, record)
        .ok_or("the job was not accepted")?;
    std::thread::sleep(Duration::from_secs(5));
    let runner = fleet.running(&format!("{id}.0.0.0")).ok_or("the job's task does not run")?;
    if trouble {
        fleet.write_foreign_entry(runner);
    }
    std::thread::sleep(Duration::from_secs(25));
    clients::state(id, fronts[0], record);

    let seen = fleet.seen.lock().unwrap();
    let mut broken = Vec::new();
    for (i, first) in seen.begun.iter().enumerate() {
        for second in seen.begun[i + 1..].iter().filter(|b| b.task == first.task) {
            let end = seen.over.iter().find(|o| o.task == first.task && o.run == first.run);
            if end.is_none_or(|end| end.at > second.at) {
                broken.push(format!(
                    "TWICE: {}#{} begins on runner {} while #{} runs on runner {}, and both are up",
                    second.task, second.run, second.runner, first.run, first.runner
                ));
            }
        }
    }
    record.note(&format!("{} runs begun", seen.begun.len()));
    Ok(broken)
}
