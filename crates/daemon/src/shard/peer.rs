//! HTTP interface for peers and monitors: the owner stores entries that its peers received from
//! callers, daemons answer their peers' inquiries and forward queries to the advisor, and monitors read
//! metrics. The advisor
//! answers one query at a time per daemon, so the owner also asks through its peers.

use super::advice;
use super::border::Advisor;
use super::inquiry::{self, Inquiry, Reader};
use super::ledger::{self, Append, Intake, Stored};
use super::metrics::Metrics;
use super::view::{self, MAX_OUTLOOK_AGE, Prospect, ShardStatus};
use crate::ring::{Latest, Sender};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::advice::Query;
use pimentovalve_core::contract::owner::outlook::Outlook;
use pimentovalve_core::finding::List;
use pimentovalve_core::ledger::shard::Entry;
use pimentovalve_core::ledger::shard::succession::Tenure;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::oneshot;

/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Share of a peer's timeout, in tenths, after which the outcome is reported as unknown.
const ANSWER_TIMEOUT_TENTHS: u64 = 8;

/// HTTP handler for peers and monitors.
pub struct Peer {
    /// Platform adapter for the advisor.
    pub advisor: Arc<dyn Advisor>,
    /// Ring to the ledger duty, for peers' entries while this daemon owns the shard.
    pub owner: Sender<Append>,
    /// Whether the last fenced append attempt of this daemon succeeded; `true` before the first one.
    pub appends_succeed: Arc<AtomicBool>,
    /// Metrics of this daemon, for export.
    pub metrics: Arc<Metrics>,
    /// Ownership and log progress, published by the steward.
    pub shard_status: Latest<ShardStatus>,
    /// What waits, published by the steward while this daemon owns the shard.
    pub prospect: Latest<Prospect>,
    /// Answers peers' inquiries.
    pub reader: Reader,
}

impl Handler for Peer {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            match request.path {
                advice::ADVICE_PATH => self.advise(request.body).await,
                ledger::INTAKE_PATH => self.store(request.body).await,
                inquiry::INQUIRY_PATH => self.answer(request.body).await,
                ledger::TENURE_PATH => Response::pack(200, &self.tenure()),
                ledger::OUTLOOK_PATH => Response::pack(200, &self.outlook()),
                METRICS => self.metrics(),
                _ => Response::findings(404, &List::one("path", "is not known")),
            }
        })
    }
}

impl Peer {
    /// Asks the advisor on behalf of the owner.
    async fn advise(&self, body: &[u8]) -> Response {
        match codec::unpack::<Query>(body) {
            Ok(query) => Response::pack(200, &self.advisor.ask(&query).await),
            Err(findings) => Response::findings(400, &findings),
        }
    }

    /// Answers a question of a caller of a peer whose replica lags.
    async fn answer(&self, body: &[u8]) -> Response {
        match codec::unpack::<(Millis, Inquiry)>(body) {
            Ok((timeout, inquiry)) => {
                let until = view::now() + Millis(timeout.get() * ANSWER_TIMEOUT_TENTHS / 10);
                Response::pack(200, &self.reader.answer_peer(&inquiry, until).await)
            }
            Err(findings) => Response::findings(400, &findings),
        }
    }

    /// Returns what this daemon says about its own ownership.
    fn tenure(&self) -> Tenure {
        let status = self.shard_status.borrow();
        let appends_succeed = self.appends_succeed.load(Ordering::Relaxed);
        let ShardStatus { epoch, claim, caught_up, .. } = *status;
        let owner = status.owner.clone();
        Tenure { epoch, claim, caught_up, appends_succeed, owner }
    }

    /// Returns what waits, and the age of that; `None` while this daemon does not know it as the owner.
    fn outlook(&self) -> Option<(Millis, Outlook)> {
        let epoch = self.shard_status.borrow().epoch?;
        let prospect = self.prospect.borrow();
        let age = view::now().since(prospect.at);
        let is_current = prospect.epoch == epoch && age <= MAX_OUTLOOK_AGE;
        prospect.outlook.as_deref().filter(|_| is_current).map(|outlook| (age, outlook.clone()))
    }

    fn metrics(&self) -> Response {
        match self.metrics.text() {
            Ok(text) => Response::text(200, text),
            Err(error) => Response::text(500, error.to_string()),
        }
    }

    /// Appends a peer's batch of entries with the owner's own. The answer is `Yes` only when every
    /// entry is stored.
    async fn store(&self, body: &[u8]) -> Response {
        let (timeout, entries) = match codec::unpack::<(Millis, Vec<Entry>)>(body) {
            Ok(message) => message,
            Err(findings) => return Response::findings(400, &findings),
        };
        // The refusal makes peers append directly at once while the owner's appends fail.
        if !self.shard_status.borrow().owns() || !self.appends_succeed.load(Ordering::Relaxed) {
            return Response::findings(503, &List::one("owner", "can't append here now"));
        }
        let until = view::now() + Millis(timeout.get() * ANSWER_TIMEOUT_TENTHS / 10);
        let mut answers = Vec::with_capacity(entries.len());
        for entry in entries {
            let (reply, answer) = oneshot::channel();
            let item = Intake { entry, until, may_be_stored: false, reply };
            if self.owner.offer(Append::Intake(item)).is_err() {
                return Response::pack(200, &Stored::Unknown);
            }
            answers.push(answer);
        }
        for answer in answers {
            if !matches!(answer.await, Ok(Stored::Yes)) {
                return Response::pack(200, &Stored::Unknown);
            }
        }
        Response::pack(200, &Stored::Yes)
    }
}
