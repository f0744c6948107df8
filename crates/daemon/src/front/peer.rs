//! The front for other daemons.

use crate::duty::{control, dispatch, steward};
use crate::ring::{self, Latest, Sender, Unanswered};
use crate::route::{Failure, Route};
use crate::view::{Facts, Figures, Members};
use pimentovalve_core::finding::List;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::keys::Keys;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use pimentovalve_wire::peer::{
    Ask, Forward, Grants, Ping, Pull, Pulled, Recorded, Standings, Wishes,
};
use serde::de::DeserializeOwned;
use std::sync::Arc;

/// Answers peers.
pub struct Peer {
    /// Key that peers must show; none when no key is set.
    pub keys: Option<Keys>,
    /// The way to the steward duty of this instance.
    pub route: Route,
    /// The gossip duty.
    pub gossip: Sender<Ping>,
    /// What the steward duty measures.
    pub figures: Latest<Figures>,
    /// The control duty.
    pub control: Sender<control::Event>,
    /// The dispatch duty.
    pub dispatch: Sender<dispatch::Event>,
    /// The instances.
    pub members: Latest<Arc<Members>>,
    /// What the ledger duty publishes.
    pub facts: Latest<Facts>,
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
                ("POST", "/peer/wishes") => self.wishes(request).await,
                ("POST", "/peer/standings") => self.standings(request).await,
                ("POST", "/peer/ask") => self.ask(request).await,
                ("POST", "/peer/forward") => self.forward(request).await,
                _ => Response::findings(404, &List::one("path", "there is nothing here")),
            }
        })
    }
}

impl Peer {
    fn pong(&self, ping: Ping) -> Response {
        let with_totals = ping.tidings.totals.is_some();
        if self.gossip.offer(ping).is_err() {
            tracing::warn!("the gossip duty is behind; a sign of life is dropped");
        }
        let tidings = self.figures.borrow().tidings(with_totals);
        let word = self.facts.borrow().word(&self.members.borrow().own);
        Response::pack(200, &Ping { tidings, ..word })
    }

    fn pulled(&self, pull: Pull) -> Response {
        let facts = self.facts.borrow();
        let pulled = Pulled {
            history: (facts.history.next > pull.history_next).then(|| (*facts.history).clone()),
            fleet: (facts.fleet.next > pull.fleet_next).then(|| (*facts.fleet).clone()),
            history_next: facts.history.next,
            fleet_next: facts.fleet.next,
            fleet_as_of: facts.fleet_as_of,
            history_as_of: facts.history_as_of,
        };
        Response::pack(200, &pulled)
    }

    async fn wishes(&self, request: Request<'_>) -> Response {
        let wishes = match codec::unpack::<Wishes>(request.body) {
            Ok(wishes) => wishes.wishes,
            Err(findings) => return Response::findings(400, &findings),
        };
        match ring::ask(&self.control, |reply| control::Event::Wishes { wishes, reply }).await {
            Ok(grants) => Response::pack(200, &Grants { grants }),
            Err(unanswered) => failed(unanswered),
        }
    }

    async fn standings(&self, request: Request<'_>) -> Response {
        let report = match codec::unpack::<Standings>(request.body) {
            Ok(report) => report,
            Err(findings) => return Response::findings(400, &findings),
        };
        if self.control.offer(control::Event::Stand(report.standings.clone())).is_err() {
            return failed(Unanswered::Refused);
        }
        match ring::ask(&self.route.steward, |reply| steward::Event::Report { report, reply }).await
        {
            Ok(recorded) => Response::pack(200, &Recorded { recorded }),
            Err(unanswered) => failed(unanswered),
        }
    }

    async fn ask(&self, request: Request<'_>) -> Response {
        let ask = match codec::unpack::<Ask>(request.body) {
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

/// Tells a peer whether its message was never seen (503) or may have had its effect (504).
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
