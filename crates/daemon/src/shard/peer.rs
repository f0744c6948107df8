//! What daemons do for each other, and metrics for monitors: the owner stores what callers hand in, and every daemon asks the
//! advisor, which serves each by itself.

use super::advice;
use super::border::Advisor;
use super::ledger::{self, Append, Intake, Stored};
use super::metrics::Metrics;
use super::view::{self, ShardStatus};
use crate::ring::{Latest, Sender};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::advice::Question;
use pimentovalve_core::finding::List;
use pimentovalve_core::ledger::shard::Entry;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::oneshot;

/// Path under which monitors read metrics.
const METRICS: &str = "/metrics";
/// Part of a peer's patience, in tenths, after which it is told that the outcome is unknown.
const ANSWER_TENTHS: u64 = 8;

/// Answers peers.
pub struct Peer {
    /// The advisor.
    pub advisor: Arc<dyn Advisor>,
    /// Appends, while this daemon owns the shard.
    pub owner: Sender<Append>,
    /// Whether the owner's appends succeed.
    pub appends_succeed: Arc<AtomicBool>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// What the steward publishes.
    pub shard_status: Latest<ShardStatus>,
}

impl Handler for Peer {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            match request.path {
                advice::ADVICE_PATH => self.advise(request.body).await,
                ledger::INTAKE_PATH => self.store(request.body).await,
                METRICS => self.metrics(),
                _ => Response::findings(404, &List::one("path", "is not known")),
            }
        })
    }
}

impl Peer {
    async fn advise(&self, body: &[u8]) -> Response {
        match codec::unpack::<Question>(body) {
            Ok(question) => Response::pack(200, &self.advisor.ask(&question).await),
            Err(findings) => Response::findings(400, &findings),
        }
    }

    fn metrics(&self) -> Response {
        match self.metrics.text() {
            Ok(text) => Response::text(200, text),
            Err(error) => Response::text(500, error.to_string()),
        }
    }

    async fn store(&self, body: &[u8]) -> Response {
        let (patience, entries) = match codec::unpack::<(Millis, Vec<Entry>)>(body) {
            Ok(message) => message,
            Err(findings) => return Response::findings(400, &findings),
        };
        // While the owner can't append, its peers try by themselves at once.
        if !self.shard_status.borrow().owns() || !self.appends_succeed.load(Ordering::Relaxed) {
            return Response::findings(503, &List::one("owner", "can't append here now"));
        }
        let until = view::now() + Millis(patience.get() * ANSWER_TENTHS / 10);
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
