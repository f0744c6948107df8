//! HTTP interface for peers and monitors: the owner stores entries that its peers received from
//! callers, daemons answer their peers' inquiries, offer them the configuration and forward queries to
//! the advisor, and monitors read metrics. The advisor
//! answers one query at a time per daemon, so the owner also asks through its peers.

use super::advice;
use super::border::{Advisor, Answer, Callers, Command, Decoded};
use super::inquiry::{self, Inquiry, Reader};
use super::ledger::{self, Append, Intake, Stored};
use super::metrics::Metrics;
use super::relay::{CONFIGURATION_PATH, Offer};
use super::steward::Event;
use super::view::{self, Configuration, MAX_OUTLOOK_AGE, Prospect, ShardStatus};
use crate::ring::{self, Latest, Sender};
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
/// Path before that of a submission, to ask what would become of it.
pub const PREVIEW_PATH: &str = "/preview";
/// Share of a peer's timeout, in tenths, after which the outcome is reported as unknown.
const ANSWER_TIMEOUT_TENTHS: u64 = 8;
/// Minimum time that the answer about held entries has to reach the peer: a round trip between regions,
/// twice on a busy machine.
const MIN_ANSWER_MARGIN: Millis = Millis(120);
/// The same as a fraction of the peer's timeout.
const HELD_MARGIN_DIVISOR: u64 = 7;

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
    /// Configuration in force, for peers that the store turns away.
    pub configuration: Latest<Configuration>,
    /// What waits, published by the steward while this daemon owns the shard.
    pub prospect: Latest<Prospect>,
    /// Answers peers' inquiries.
    pub reader: Reader,
    /// Platform adapter for the callers' protocol, in which operators ask for previews.
    pub callers: Arc<dyn Callers>,
}

impl Handler for Peer {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            match request.path {
                advice::ADVICE_PATH => self.advise(request.body).await,
                ledger::INTAKE_PATH => self.store(request.body, false).await,
                ledger::HELD_PATH => self.store(request.body, true).await,
                inquiry::INQUIRY_PATH => self.answer(request.body).await,
                ledger::SUCCESSION_PATH => self.succeed(request.body),
                ledger::TENURE_PATH => Response::pack(200, &self.tenure()),
                CONFIGURATION_PATH => self.configuration(request.body),
                ledger::OUTLOOK_PATH => Response::pack(200, &self.outlook()),
                METRICS => self.metrics(),
                path if path.starts_with(PREVIEW_PATH) => {
                    let path = &path[PREVIEW_PATH.len()..];
                    self.preview(&Request { path, ..request }).await
                }
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

    /// Passes an owner's request to claim the shard on; the answer says whether the steward gets it.
    fn succeed(&self, body: &[u8]) -> Response {
        match codec::unpack::<u64>(body) {
            Ok(claim) => {
                let event = Event::Invited { claim };
                Response::pack(200, &self.reader.steward.offer(event).is_ok())
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

    /// Offers the configuration to a peer that states which version it has.
    fn configuration(&self, body: &[u8]) -> Response {
        match codec::unpack::<u64>(body) {
            Ok(version) => {
                let configuration = self.configuration.borrow().clone();
                Response::pack(200, &Offer::new(&configuration, version, view::now()))
            }
            Err(findings) => Response::findings(400, &findings),
        }
    }

    /// Answers what would become of a submission, without submitting it. A daemon that does not own the
    /// shard names the owner.
    async fn preview(&self, request: &Request<'_>) -> Response {
        let Some(catalog) = self.configuration.borrow().catalog.clone() else {
            return self.callers.encode(&Answer::NotDone(Millis::from_secs(1)));
        };
        let job = match self.callers.decode(request, &catalog) {
            Ok(Decoded { command: Command::Submit(job), .. }) => job,
            Ok(_) => {
                return Response::findings(
                    400,
                    &List::one("method", "must be that of a submission"),
                );
            }
            Err(answer) => return self.callers.encode(&answer),
        };
        if let Err(findings) = catalog.roster.check_quota(&job) {
            return Response::findings(400, &findings);
        }
        match ring::ask(&self.reader.steward, |reply| Event::Preview(job, reply)).await {
            Ok(Some(preview)) => Response::json(200, &preview),
            Ok(None) => {
                let owner = self.shard_status.borrow().owner.clone();
                Response::findings(421, &List::one("owner", owner))
            }
            Err(error) => Response::findings(503, &List::one("steward", error.to_string())),
        }
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
    /// entry is stored, and `No` only when none is and none will be. With `is_held`, the entries wait for
    /// a store that does not answer.
    async fn store(&self, body: &[u8], is_held: bool) -> Response {
        let (timeout, entries) = match codec::unpack::<(Millis, Vec<Entry>)>(body) {
            Ok(message) => message,
            Err(findings) => return Response::findings(400, &findings),
        };
        // The refusal makes peers append directly at once while the owner's appends fail.
        let can_append = is_held || self.appends_succeed.load(Ordering::Relaxed);
        if !self.shard_status.borrow().owns() || !can_append {
            return Response::findings(503, &List::one("owner", "can't append here now"));
        }
        let answer_in = match is_held {
            true => {
                timeout.since(MIN_ANSWER_MARGIN.max(Millis(timeout.get() / HELD_MARGIN_DIVISOR)))
            }
            false => Millis(timeout.get() * ANSWER_TIMEOUT_TENTHS / 10),
        };
        let until = view::now() + answer_in;
        let mut answers = Vec::with_capacity(entries.len());
        for entry in entries {
            let (reply, answer) = oneshot::channel();
            let item = Intake { entry, until, may_be_stored: false, reply };
            if self.owner.offer(Append::Intake(item)).is_err() {
                let stored = if answers.is_empty() { Stored::No } else { Stored::Unknown };
                return Response::pack(200, &stored);
            }
            answers.push(answer);
        }
        let mut common = None;
        for answer in answers {
            let stored = answer.await.unwrap_or(Stored::Unknown);
            if stored == Stored::Unknown || common.is_some_and(|other| other != stored) {
                return Response::pack(200, &Stored::Unknown);
            }
            common = Some(stored);
        }
        Response::pack(200, &common.unwrap_or(Stored::Yes))
    }
}
