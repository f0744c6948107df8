//! The operators' front: configuration, ledger records, and the release of held tasks.

use super::refused;
use crate::duty::ledger::{Command, Published};
use crate::ring::{self, Latest, Sender, Unanswered};
use crate::route::Route;
use crate::view::LedgerView;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::configuration::{Configuration, Patch, Version};
use pimentovalve_core::contract::request::Reason;
use pimentovalve_core::contract::status::Refusal;
use pimentovalve_core::contract::task;
use pimentovalve_core::finding::List;
use pimentovalve_core::ledger::history::History;
use pimentovalve_core::ledger::record::{Change, Register};
use pimentovalve_core::ledger::{Stream, Verdict};
use pimentovalve_core::name::Name;
use pimentovalve_wire::caller::Row;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::keys::Keys;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use pimentovalve_wire::peer::{Query, StewardReply};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Retry interval given to operators when the log is unavailable.
const RETRY_AFTER: Millis = Millis::from_secs(2);

/// Longest wait until a second instance has a new version of the configuration.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(4);

/// Handles the requests of operators.
pub struct Operator {
    /// Keys of the operators; every request must show one.
    pub keys: Keys,
    /// Client of the stewards.
    pub route: Route,
    /// Ring of the ledger duty.
    pub ledger: Sender<Command>,
    /// Replicated state as published by the ledger duty.
    pub ledger_view: Latest<LedgerView>,
    /// Number of partitions of the ledger.
    pub partitions: u16,
}

/// Body of `POST /v1/release`, which releases a held task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// Team of the job, which determines the partition.
    pub team: Name,
    /// The held task.
    pub task: task::Id,
    /// The attempt that the operator knows to have ended.
    pub attempt: task::Attempt,
}

impl Handler for Operator {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            let Some(operator) = self.keys.verify(request.key).cloned() else {
                return Response::findings(401, &List::one("key", "is missing or wrong"));
            };
            match (request.method, request.segments().as_slice()) {
                ("POST", ["v1", "configuration"]) => self.patch(operator, request).await,
                ("GET", ["v1", "configuration"]) => self.configuration(request),
                ("GET", ["v1", "configuration", "history"]) => {
                    Response::json(200, &self.ledger_view.borrow().history.entries())
                }
                ("GET", ["v1", "ledger", stream]) => self.rows(stream, request).await,
                ("POST", ["v1", "release"]) => self.release(operator, request.body).await,
                _ => Response::findings(404, &List::one("path", "is unknown")),
            }
        })
    }
}

impl Operator {
    async fn patch(&self, operator: Name, request: Request<'_>) -> Response {
        let (base, patch) = match read_patch(request) {
            Ok(read) => read,
            Err(findings) => return refused(&Refusal::invalid(&findings)),
        };
        let history = Arc::clone(&self.ledger_view.borrow().history);
        let current = history.configuration();
        if base != current.version {
            return outdated(base, &history);
        }
        let next = match current.patched(&patch) {
            Ok(next) => next,
            Err(findings) => return refused(&Refusal::invalid(&findings)),
        };
        let change = Change::Patch { operator, patch };
        let published = ring::ask(&self.ledger, |reply| Command::Publish {
            register: Register::Configuration,
            expect: base,
            change,
            reply,
        });
        match published.await {
            Ok(Published::Judged(Verdict::Accepted)) => self.confirmed(&next).await,
            Ok(Published::Judged(_)) => {
                outdated(base, &Arc::clone(&self.ledger_view.borrow().history))
            }
            Ok(Published::Refused) | Err(Unanswered::Refused) => {
                refused(&Refusal::not_run(Reason::Ledger, RETRY_AFTER))
            }
            Ok(Published::Unknown) | Err(Unanswered::Dropped) => refused(&Refusal::unknown()),
        }
    }

    /// Answers once a second instance has the version. An instance that starts during a log outage
    /// takes its state from peers, which must not be older than what an operator was told. Model:
    /// `specs/configuration.tla`.
    async fn confirmed(&self, next: &Configuration) -> Response {
        let mut members = self.route.members.clone();
        let known = members.wait_for(|m| m.peers.is_empty() || m.peer_version >= next.version);
        match tokio::time::timeout(CONFIRM_TIMEOUT, known).await {
            Ok(Ok(_)) => Response::json(200, next),
            Ok(Err(_)) | Err(_) => refused(&Refusal::unknown()),
        }
    }

    fn configuration(&self, request: Request<'_>) -> Response {
        let history = Arc::clone(&self.ledger_view.borrow().history);
        let Some(wanted) = request.parameter("version") else {
            return Response::json(200, history.configuration());
        };
        let Ok(wanted) = wanted.parse::<Version>() else {
            return Response::findings(400, &List::one("version", "must be a number"));
        };
        match at_version(&history, wanted) {
            Some(configuration) => Response::json(200, &configuration),
            None => Response::findings(404, &List::one("version", "is unknown")),
        }
    }

    async fn rows(&self, stream: &str, request: Request<'_>) -> Response {
        let stream = match self.stream(stream) {
            Some(stream) => stream,
            None => return Response::findings(404, &List::one("stream", "is unknown")),
        };
        let Ok(from) = request.parameter("from").unwrap_or("0").parse() else {
            return Response::findings(400, &List::one("from", "must be an offset"));
        };
        let asked = ring::ask(&self.ledger, |reply| Command::Rows { stream, from, reply }).await;
        match asked {
            Ok(Ok(rows)) => {
                let row = |(offset, record)| Row { offset, record };
                let rows: Vec<Row> = rows.into_iter().map(row).collect();
                Response::json(200, &rows)
            }
            Ok(Err(message)) => Response::findings(503, &List::one("log", message)),
            Err(_) => Response::findings(503, &List::one("daemon", "is overloaded")),
        }
    }

    fn stream(&self, name: &str) -> Option<Stream> {
        let partitions = (0..self.partitions).map(Stream::Partition);
        [Stream::Configuration, Stream::Fleet]
            .into_iter()
            .chain(partitions)
            .find(|stream| stream.to_string() == name)
    }

    async fn release(&self, operator: Name, body: &[u8]) -> Response {
        let Release { team, task, attempt } = match codec::from_json(body) {
            Ok(release) => release,
            Err(findings) => return refused(&Refusal::invalid(&findings)),
        };
        match self.route.ask(&Query::Release { team, task, attempt, operator }).await {
            Ok(StewardReply::Settled) => Response::json(200, &()),
            Ok(StewardReply::Refused(refusal)) => refused(&refusal),
            Ok(StewardReply::Nothing) => Response::findings(404, &List::one("task", "is unknown")),
            Ok(_) | Err(_) => refused(&Refusal::unknown()),
        }
    }
}

fn read_patch(request: Request<'_>) -> Result<(Version, Patch), List> {
    let mut findings = List::new();
    let base = request.parameter("base").and_then(|b| b.parse().ok());
    if base.is_none() {
        findings.note("base", "must be the version that the patch is based on");
    }
    let text = std::str::from_utf8(request.body).map_err(|e| List::one("patch", e.to_string()))?;
    let patch = toml::from_str(text).map_err(|e| List::one("patch", e.to_string()));
    let patch = findings.take("", patch);
    base.zip(patch).ok_or(findings)
}

/// Returns the response to a patch of a version that is not current, with the versions since then.
fn outdated(base: Version, history: &History) -> Response {
    let current = history.configuration().version;
    let message = format!("version {base} is not current; the current version is {current}");
    let mut refusal = Refusal::invalid(&List::one("base", message));
    refusal.since = history.entries().iter().filter(|e| e.version > base).cloned().collect();
    Response::json(409, &refusal)
}

fn at_version(history: &History, wanted: Version) -> Option<Configuration> {
    let mut configuration = Configuration::default();
    for entry in history.entries().iter().take_while(|e| e.version <= wanted) {
        configuration = configuration.patched(&entry.patch).ok()?;
    }
    (configuration.version == wanted).then_some(configuration)
}
