//! The operator removes a route and adds one with the same host and prefix that leads to another service, and
//! then the runner of the old service leaves in a planned way.

use crate::clients;
use crate::daemons;
use crate::record::Record;
use crate::runners::Fleet;
use crate::store::Store;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The runners' services. The one of the old service is an eighth of all: a share of 0.125 leaves.
const SERVICES: [&str; 8] =
    ["engine", "engine-2", "engine-2", "engine-2", "engine-2", "engine-2", "engine-2", "engine-2"];
const OLD: usize = 0;
const JOBS: usize = 6;
const WORK_MS: u64 = 25_000;
/// Time from the report that a runner drains until it leaves: `drainMs` and a little longer.
const DRAIN: Duration = Duration::from_millis(4000);
/// `finish_s` and 3 s more.
const FINISH: Duration = Duration::from_secs(17);

pub fn run(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let store = Arc::new(Store::new(Duration::from_secs(300)));
    store.put("keyed.op", "config", &configuration(1, "engine"));
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    crate::http::serve(listener, Arc::clone(&store) as Arc<dyn crate::http::Handler>);
    let fleet = Fleet::of_services(&SERVICES, &store, record);
    let daemons = daemons::start(3, address, 300, record)?;
    let fronts: Vec<_> = daemons.iter().map(|d| d.front).collect();
    std::thread::sleep(Duration::from_secs(2));

    let ids: Vec<String> = (1..=JOBS).map(|n| format!("0000000000000{n:02x}e")).collect();
    for id in &ids {
        clients::submit(id, &clients::job(2, WORK_MS), &fronts, record)
            .ok_or("a job was not accepted")?;
    }
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        record.note("version 2 removes route r-1 and adds r-2, which leads to engine-2");
        store.put("keyed.op", "config", &configuration(2, "engine-2"));
    }
    // `configApplyMs`, and `contactMs` more.
    std::thread::sleep(Duration::from_secs(7));
    if trouble {
        fleet.leave(OLD, DRAIN);
    }
    std::thread::sleep(DRAIN);
    let later = "00000000000000ff";
    clients::submit(later, &clients::job(2, 1000), &fronts, record)
        .ok_or("a later job was not accepted")?;
    std::thread::sleep(FINISH);
    let looked = Instant::now();
    // For 3 s, nothing of a job runs.
    let mut idle: Vec<&String> = ids.iter().collect();
    let mut most_used = 0;
    while looked.elapsed() < Duration::from_secs(3) {
        idle.retain(|id| fleet.working(id).0 == 0);
        most_used = most_used.max(fleet.working("").1);
        std::thread::sleep(Duration::from_millis(50));
    }
    record.note(&format!("at most {most_used} runs on all runners in these 3 s"));
    let mut broken = Vec::new();
    for id in idle {
        let (status, state) = clients::state(id, fronts[0], record);
        if status != 200 || state != "completed" {
            broken.push(format!(
                "LOST: {id} is {state} and had nothing running for 3 s, with at most {most_used} runs on all runners"
            ));
        }
    }
    let (status, state) = clients::state(later, fronts[1], record);
    record.note(&format!("the job of the new version is answered {status} {state}"));
    Ok(broken)
}

/// Returns a version of the configuration, whose only route leads to `service`.
fn configuration(version: u64, service: &str) -> String {
    let text = clients::CONFIGURATION.replace("\"version\":1", &format!("\"version\":{version}"));
    let text = text.replace("\"r-1\"", &format!("\"r-{version}\""));
    let text = text.replace("\"service\":\"engine\"", &format!("\"service\":\"{service}\""));
    let first = r#"{"name":"engine","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"standby":false}"#;
    text.replace(first, &format!("{first},{}", first.replace("\"engine\"", "\"engine-2\"")))
}
