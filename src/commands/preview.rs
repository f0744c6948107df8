//! `pimentovalve preview`: shows where a job would go if it were submitted now, and why, without
//! submitting it.

use super::client::CALL_TIMEOUT;
use super::{Error, Run, write_json};
use gumdrop::Options;
use pimentovalve_core::contract::owner::preview::{Forecast, Preview};
use pimentovalve_core::finding::List;
use pimentovalve_daemon::shard::peer::PREVIEW_PATH;
use pimentovalve_wire::http::Content;
use pimentovalve_wire::http::client::{Call, Client, Reply};
use serde::Deserialize;
use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use tokio::runtime::Builder;

/// Status with which a daemon that does not own the shard names the owner.
const ELSEWHERE: u16 = 421;

/// Shows where a job would go if it were submitted now on the users' platform, and why.
#[derive(Debug, Default, Options)]
pub struct Arguments {
    /// Print help
    help: bool,
    /// Print one JSON object
    #[options(no_short)]
    json: bool,
    /// Peer address of any daemon
    #[options(no_short, required, meta = "ADDR")]
    daemon: String,
    /// Host name of the queue
    #[options(no_short, required, meta = "NAME")]
    host: String,
    /// Path of the submission: the queue's prefix and the id of the job
    #[options(no_short, required, meta = "PATH")]
    path: String,
    /// File with the key of the caller's team, where the queue requires one
    #[options(no_short, meta = "FILE")]
    key: Option<String>,
    /// File with the body of the submission
    #[options(free, required)]
    file: String,
}

/// Body of an error response.
#[derive(Debug, Deserialize)]
struct Findings {
    findings: List,
}

impl Run for Arguments {
    fn run(&self, out: &mut dyn Write) -> Result<(), Error> {
        let read = |path: &str| {
            fs::read(path).map_err(|e| Error::failed(format!("{path} can't be read: {e}")))
        };
        let body = read(&self.file)?;
        let key = self.key.as_deref().map(read).transpose()?;
        let key = key.map(|bytes| String::from_utf8_lossy(&bytes).trim().to_owned());
        let mut reply = self.ask(&self.daemon, &body, key.as_deref())?;
        if reply.status == ELSEWHERE {
            let owner = findings(&reply).as_slice().first().map(|f| f.message.clone());
            reply = self.ask(&owner.unwrap_or_default(), &body, key.as_deref())?;
        }
        if reply.status != 200 {
            return Err(Error::failed(format!(
                "a submission would be answered {}: {}",
                reply.status,
                findings(&reply)
            )));
        }
        let preview: Preview = serde_json::from_slice(&reply.body)
            .map_err(|e| Error::failed(format!("the preview can't be decoded: {e}")))?;
        if self.json { write_json(out, &preview) } else { write_text(out, &preview) }
    }
}

impl Arguments {
    fn ask(&self, address: &str, body: &[u8], key: Option<&str>) -> Result<Reply, Error> {
        if address.parse::<SocketAddr>().is_err() {
            let message = format!("must be an IP address and a port, not {address:?}");
            return Err(Error::input("--daemon", List::one("--daemon", message)));
        }
        let path = format!("{PREVIEW_PATH}{}", self.path);
        let call = Call {
            content: Content::Json,
            key,
            headers: &[("Host", &self.host)],
            ..Call::post(address, &path, body, CALL_TIMEOUT)
        };
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|e| Error::failed(format!("async runtime can't be started: {e}")))?;
        runtime
            .block_on(Client::new().call(call))
            .map_err(|e| Error::failed(format!("the preview failed: {e}")))
    }
}

/// Returns the findings of an error response, or its text as one finding.
fn findings(reply: &Reply) -> List {
    match serde_json::from_slice::<Findings>(&reply.body) {
        Ok(body) => body.findings,
        Err(_) => List::one("response", String::from_utf8_lossy(&reply.body)),
    }
}

fn write_text(out: &mut dyn Write, preview: &Preview) -> Result<(), Error> {
    if preview.is_known {
        writeln!(out, "a job of this id is known: a submission would have no effect")?;
    }
    for (index, forecast) in preview.steps.iter().enumerate() {
        let Forecast { tasks, ahead, starts, asked, reason } = forecast;
        writeln!(out, "step {index}: {tasks} tasks, {ahead} waiting steps have their turn first")?;
        for (worker, count) in starts {
            writeln!(out, "  {count} tasks would start on {worker}")?;
        }
        if !asked.is_empty() {
            writeln!(out, "  the advisor would be asked about {}", asked.join(", "))?;
        }
        if let Some(reason) = reason {
            let started: usize = starts.iter().map(|(_, count)| count).sum();
            writeln!(out, "  {} tasks would wait: {reason}", tasks - started)?;
        }
    }
    Ok(())
}
