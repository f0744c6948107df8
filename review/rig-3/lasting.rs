//! All tasks of a job that lasts fail once, at the same moment. Nothing else happens.

use crate::clients;
use crate::daemons;
use crate::record::Record;
use crate::runners::Fleet;
use crate::store::Store;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RUNNERS: usize = 8;
/// Tasks of the job: nine of one core on each runner of 32 cores, which `antiAffinity` asks for.
const TASKS: usize = 72;
/// Cores of all runners.
const CORES: usize = RUNNERS * 32;
/// Time from a task's last run in which it may wait, and for which it then must not have nothing running.
const MAY_WAIT: Duration = Duration::from_secs(6);
const MUST_NOT_WAIT: Duration = Duration::from_secs(3);
/// `contactMs`, for which nothing happens before that.
const CALM: Duration = Duration::from_secs(4);

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

    let id = "00000000000000bb";
    clients::submit(id, &clients::lasting_job(TASKS, TASKS / RUNNERS), &fronts, record)
        .ok_or("the job was not accepted")?;
    let limit = Instant::now() + Duration::from_secs(20);
    while fleet.working(id).0 < TASKS {
        if Instant::now() > limit {
            return Err("the job's tasks did not all start".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    // The tasks work for longer than `contactMs`.
    std::thread::sleep(CALM + Duration::from_secs(2));
    let failed_at = Instant::now();
    if trouble {
        record.note(&format!("{} tasks fail", fleet.fail(id)));
    }
    let mut next_look = failed_at;
    let mut most = 0;
    while failed_at.elapsed() < Duration::from_secs(25) {
        std::thread::sleep(Duration::from_millis(50));
        let since = failed_at.elapsed();
        if since >= MAY_WAIT && since <= MAY_WAIT + MUST_NOT_WAIT {
            most = most.max(fleet.working("").1);
        }
        if Instant::now() >= next_look {
            next_look += Duration::from_secs(1);
            let (of_job, all) = fleet.working(id);
            record.note(&format!("{of_job} tasks of the job work, {all} of all jobs"));
        }
    }

    let seen = fleet.seen.lock().unwrap();
    let mut ends: HashMap<&str, Vec<Instant>> = HashMap::new();
    let mut starts: HashMap<&str, Vec<Instant>> = HashMap::new();
    seen.over.iter().for_each(|o| ends.entry(&o.task).or_default().push(o.at));
    seen.begun.iter().for_each(|b| starts.entry(&b.task).or_default().push(b.at));
    let (mut waits, mut failures) = (Vec::new(), 0);
    for (task, ends) in &ends {
        for end in ends {
            failures += 1;
            let next = starts.get(task).and_then(|s| s.iter().filter(|at| *at > end).min());
            waits.push(next.map_or(end.elapsed(), |at| *at - *end));
        }
    }
    waits.sort_unstable();
    record.note(&format!(
        "{failures} runs ended; longest waits: {:?}",
        &waits[waits.len().saturating_sub(3)..]
    ));
    let late = waits.iter().filter(|w| **w >= MAY_WAIT + MUST_NOT_WAIT).count();
    // Each run takes one core, and a task needs one.
    record.note(&format!("at most {most} of {CORES} cores are in use from 6 s to 9 s after that"));
    Ok(match late {
        _ if most * 2 >= CORES => Vec::new(),
        0 => Vec::new(),
        late => vec![format!(
            "LOST: {late} tasks that last had nothing running for 3 s, from 6 s after their last run, with all runners free"
        )],
    })
}
