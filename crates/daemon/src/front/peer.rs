//! The peers' front: messages from other daemons.

use crate::duty::{control, dispatch, steward};
use crate::ring::{self, Latest, Sender, Unanswered};
use crate::route::{Failure, Route};
use crate::view::{LedgerView, Members, SchedulerStats};
use pimentovalve_core::finding::List;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::keys::Keys;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use pimentovalve_wire::peer::{
    Forward, Grants, Operations, Ping, Pull, Pulled, Query, Recorded, WorkerStatuses,
};
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Handles the requests of peers.
pub struct Peer {
    /// Keys that peers must show; `None` when peers are not authenticated.
    pub keys: Option<Keys>,
    /// Client of the steward duty of this instance.
    pub route: Route,
    /// Ring of the gossip duty.
    pub gossip: Sender<Ping>,
    /// Scheduler statistics as published by the steward duty.
    pub scheduler_stats: Latest<SchedulerStats>,
    /// Ring of the control duty.
    pub control: Sender<control::Event>,
    /// Ring of the dispatch duty.
    pub dispatch: Sender<dispatch::Event>,
    /// Membership as published by the gossip duty.
    pub members: Latest<Arc<Members>>,
    /// Replicated state as published by the ledger duty.
    pub ledger_view: Latest<LedgerView>,
}

impl Handler for Peer {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            if let Some(keys) = &self.keys
                && keys.verify(request.key).is_none()
            {
                return Response::findings(401, &List::one("key", "is missing or wrong"));
            }
            match (request.method, request.path) {
                ("POST", "/peer/ping") => decoded::<Ping>(request, |ping| self.pong(ping)),
                ("POST", "/peer/pull") => decoded::<Pull>(request, |pull| self.pulled(pull)),
                ("POST", "/peer/wishes") => self.operations(request).await,
                ("POST", "/peer/standings") => self.statuses(request).await,
                ("POST", "/peer/ask") => self.ask(request).await,
                ("POST", "/peer/forward") => self.forward(request).await,
                _ => Response::findings(404, &List::one("path", "is unknown")),
            }
        })
    }
}

impl Peer {
    fn pong(&self, ping: Ping) -> Response {
        let with_totals = ping.policy.totals.is_some();
        if self.gossip.offer(ping).is_err() {
            tracing::warn!("ring of the gossip duty is full or closed; ping dropped");
        }
        let policy = self.scheduler_stats.borrow().policy(with_totals);
        let ping = self.ledger_view.borrow().ping(&self.members.borrow().own);
        Response::pack(200, &Ping { policy, ..ping })
    }

    fn pulled(&self, pull: Pull) -> Response {
        let ledger_view = self.ledger_view.borrow();
        let pulled = Pulled {
            history: (ledger_view.history.next > pull.history_next)
                .then(|| (*ledger_view.history).clone()),
            fleet: (ledger_view.fleet.next > pull.fleet_next).then(|| (*ledger_view.fleet).clone()),
            history_next: ledger_view.history.next,
            fleet_next: ledger_view.fleet.next,
            fleet_as_of: ledger_view.fleet_as_of,
            history_as_of: ledger_view.history_as_of,
        };
        Response::pack(200, &pulled)
    }

    async fn operations(&self, request: Request<'_>) -> Response {
        let operations = match codec::unpack::<Operations>(request.body) {
            Ok(operations) => operations.operations,
            Err(findings) => return Response::findings(400, &findings),
        };
        match ring::ask(&self.control, |reply| control::Event::Operations { operations, reply })
            .await
        {
            Ok(grants) => Response::pack(200, &Grants { grants }),
            Err(unanswered) => failed(unanswered),
        }
    }

    async fn statuses(&self, request: Request<'_>) -> Response {
        let report = match codec::unpack::<WorkerStatuses>(request.body) {
            Ok(report) => report,
            Err(findings) => return Response::findings(400, &findings),
        };
        if self.control.offer(control::Event::WorkerStatuses(report.statuses.clone())).is_err() {
            return failed(Unanswered::Refused);
        }
        match ring::ask(&self.route.steward, |reply| steward::Event::Report { report, reply }).await
        {
            Ok(recorded) => Response::pack(200, &Recorded { recorded }),
            Err(unanswered) => failed(unanswered),
        }
    }

    async fn ask(&self, request: Request<'_>) -> Response {
        let ask = match codec::unpack::<Query>(request.body) {
            Ok(ask) => ask,
            Err(findings) => return Response::findings(400, &findings),
        };
        match self.route.ask_own(ask).await {
            Ok(told) => Response::pack(200, &told),
            Err(Failure::Refused) => failed(Unanswered::Refused),
            Err(Failure::Unknown) => failed(Unanswered::Dropped),
        }
    }

    async fn forward(&self, request: Request<'_>) -> Response {
        let forward = match codec::unpack::<Forward>(request.body) {
            Ok(forward) => forward,
            Err(findings) => return Response::findings(400, &findings),
        };
        match ring::ask(&self.dispatch, |reply| dispatch::Event::Forward { forward, reply }).await {
            Ok(forwarded) => Response::pack(200, &forwarded),
            Err(unanswered) => failed(unanswered),
        }
    }
}

/// Returns 503 when a message certainly had no effect, and 504 when it may have had one.
fn failed(unanswered: Unanswered) -> Response {
    let status = match unanswered {
        Unanswered::Refused => 503,
        Unanswered::Dropped => 504,
    };
    Response::findings(status, &List::one("daemon", unanswered.to_string()))
}

fn decoded<T: DeserializeOwned>(
    request: Request<'_>,
    answer: impl FnOnce(T) -> Response,
) -> Response {
    match codec::unpack::<T>(request.body) {
        Ok(message) => answer(message),
        Err(findings) => Response::findings(400, &findings),
    }
}
