//! Clients: hand jobs in as the pages say, and ask for their states.

use crate::http;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Host and prefix of the only route.
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/engine/";
/// Version 1 of the configuration: one queue without advice.
pub const CONFIGURATION: &str = r#"{"version":1,"routes":[{"name":"r-1","host":"jobs.example","pathPrefix":"/engine/","kind":"unsafe","timeoutMs":3000,"sloLatencyMs":3000,"priority":1,"service":"engine","maxAttempts":3,"stretch":4.0}],"services":[{"name":"engine","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;
/// How long a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(3000);
/// How often a client hands a job in again.
const RETRIES: usize = 4;

/// Hands a job in, again at the next daemon after a broken connection or 502 to 504. Returns when it was
/// accepted.
pub fn submit(id: &str, body: &str, fronts: &[SocketAddr], record: &Record) -> Option<Instant> {
    for attempt in 0..=RETRIES {
        let front = fronts[attempt % fronts.len()];
        let answer = http::call(front, "POST", &format!("{PREFIX}{id}"), HOST, body, DEADLINE);
        let told = answer.as_ref().map_or_else(Clone::clone, |(status, _)| status.to_string());
        record.note(&format!("POST {id} at {front}: {told}"));
        match answer {
            Ok((200..=299, _)) => return Some(Instant::now()),
            Ok((429 | 503, _)) => std::thread::sleep(Duration::from_secs(1)),
            Ok((502 | 504, _)) | Err(_) => std::thread::sleep(Duration::from_millis(100)),
            Ok(_) => return None,
        }
    }
    None
}

/// Asks a daemon for a job. Returns the status and the state.
pub fn state(id: &str, front: SocketAddr, record: &Record) -> (u16, String) {
    let path = format!("{PREFIX}{id}");
    let (status, told) = match http::call(front, "GET", &path, HOST, "", DEADLINE) {
        Ok((status, body)) => {
            let state = crate::json::Json::parse(&body);
            let state = state.and_then(|j| j.text("state").map(str::to_owned));
            (status, state.unwrap_or_default())
        }
        Err(error) => (0, error),
    };
    record.note(&format!("GET {id} at {front}: {status} {told}"));
    (status, told)
}

/// Asks a daemon how many jobs of the queue wait.
pub fn pending(front: SocketAddr, record: &Record) -> Option<u64> {
    let answer = http::call(front, "GET", PREFIX, HOST, "", DEADLINE);
    let told = match &answer {
        Ok((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
        Err(error) => error.clone(),
    };
    record.note(&format!("GET {PREFIX} at {front}: {told}"));
    let (_, body) = answer.ok().filter(|(status, _)| *status == 200)?;
    crate::json::Json::parse(&body)?.number("pending")
}

/// Returns a job of one step with `count` tasks that each work for `work` milliseconds.
pub fn job(count: usize, work: u64) -> String {
    format!(
        "{{\"jobSpec\":\"work={work}\",\"steps\":[{{\"count\":{count},\"cpu\":2000,\"memMb\":1024,\"estRuntimeMs\":{work}}}]}}"
    )
}

/// As [`job`], with at most `spread` of the tasks on a runner.
pub fn spread_job(count: usize, work: u64, spread: usize) -> String {
    format!(
        "{{\"jobSpec\":\"work={work}\",\"steps\":[{{\"count\":{count},\"cpu\":1000,\"memMb\":512,\"estRuntimeMs\":{work},\"antiAffinity\":{spread}}}]}}"
    )
}

/// Returns a job of one step with `count` tasks that last, at most `spread` of them on a runner.
pub fn lasting_job(count: usize, spread: usize) -> String {
    format!(
        "{{\"jobSpec\":\"lasts\",\"steps\":[{{\"count\":{count},\"cpu\":1000,\"memMb\":512,\"estRuntimeMs\":1000,\"longRunning\":true,\"antiAffinity\":{spread}}}]}}"
    )
}
