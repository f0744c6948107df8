//! The callers' front: jobs and requests.

use super::refused;
use crate::duty::dispatch;
use crate::ring::{self, Sender, Unanswered};
use crate::route::{Failure, Route};
use crate::telemetry::Telemetry;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::job::{self, Job};
use pimentovalve_core::contract::request::{self, Answer, Reason, Request as Work};
use pimentovalve_core::contract::status::Refusal;
use pimentovalve_core::finding::List;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use pimentovalve_wire::codec;
use pimentovalve_wire::http::{Handler, Pending, Request, Response};
use pimentovalve_wire::peer::{Query, StewardReply};

/// Retry interval given to callers where the policy has not set one.
const RETRY_AFTER: Millis = Millis::from_secs(2);

/// Message for a request id that is not in the ledger.
const UNCLAIMED: &str = "no request is recorded under this id: an idempotent one leaves no record \
                         and is safe to send again; any other may be sent again under the same \
                         id, which runs it at most once";

/// Handles the requests of callers.
pub struct Caller {
    /// Client of the stewards.
    pub route: Route,
    /// Ring of the dispatch duty.
    pub dispatch: Sender<dispatch::Event>,
    /// Records timeline events.
    pub telemetry: Telemetry,
}

impl Handler for Caller {
    fn handle<'a>(&'a self, request: Request<'a>) -> Pending<'a, Response> {
        Box::pin(async move {
            match (request.method, request.segments().as_slice()) {
                ("POST", ["v1", "jobs"]) => self.submit(request.body).await,
                ("GET", ["v1", "jobs", id]) => match named(id, request) {
                    Ok((job, team)) => self.job(Query::Status { team, job }).await,
                    Err(findings) => Response::findings(400, &findings),
                },
                ("DELETE", ["v1", "jobs", id]) => match named(id, request) {
                    Ok((job, team)) => self.job(Query::Cancel { team, job }).await,
                    Err(findings) => Response::findings(400, &findings),
                },
                ("POST", ["v1", "requests"]) => self.request(request.body).await,
                ("GET", ["v1", "requests", id]) => match named(id, request) {
                    Ok((id, team)) => self.answered(team, id).await,
                    Err(findings) => Response::findings(400, &findings),
                },
                (_, ["v1", "jobs" | "requests", ..]) => {
                    Response::findings(405, &List::one("method", "is not allowed here"))
                }
                _ => Response::findings(404, &List::one("path", "is unknown")),
            }
        })
    }
}

impl Caller {
    async fn submit(&self, body: &[u8]) -> Response {
        let checked = codec::from_json::<job::Raw>(body).and_then(Job::try_from);
        let job = match checked {
            Ok(job) => job,
            Err(findings) => return refused(&Refusal::invalid(&findings)),
        };
        let id = job.id.clone();
        let told = self.route.ask(&Query::Submit(job)).await;
        match &told {
            Ok(StewardReply::Refused(refusal)) if refusal.not_run => {
                let reason = refusal.reason.clone();
                self.telemetry.note(What::JobRefused { job: id, reason });
            }
            Ok(StewardReply::Refused(_)) | Err(Failure::Unknown) => {
                self.telemetry.note(What::JobUnknown { job: id });
            }
            Err(Failure::Refused) => {
                let reason = Some(Reason::Unavailable);
                self.telemetry.note(What::JobRefused { job: id, reason });
            }
            Ok(_) => {}
        }
        answer(told, 202)
    }

    async fn job(&self, ask: Query) -> Response {
        answer(self.route.ask(&ask).await, 200)
    }

    async fn answered(&self, team: Name, request: request::Id) -> Response {
        let ask = Query::Answered { team, request: request.clone() };
        match self.route.ask(&ask).await {
            Ok(StewardReply::Nothing) => Response::findings(404, &List::one("id", UNCLAIMED)),
            Ok(StewardReply::Answer(answer)) => encode(&answer),
            // A failed query tells nothing about the outcome of the request.
            _ => encode(&Answer::Unknown { request }),
        }
    }

    async fn request(&self, body: &[u8]) -> Response {
        let checked = codec::from_json::<request::Raw>(body).and_then(Work::try_from);
        let request = match checked {
            Ok(request) => request,
            Err(findings) => return refused(&Refusal::invalid(&findings)),
        };
        let id = request.id.clone();
        self.telemetry.note(What::RequestReceived {
            request: id.clone(),
            team: request.team.clone(),
            service: request.service.clone(),
            idempotent: request.idempotent,
        });
        let asked =
            ring::ask(&self.dispatch, |reply| dispatch::Event::Request { request, reply }).await;
        let answer = match asked {
            Ok(answer) => answer,
            Err(Unanswered::Refused) => {
                let (reason, retry_after_ms) = (Reason::Overload, RETRY_AFTER);
                Answer::NotRun { request: id, reason, retry_after_ms }
            }
            Err(Unanswered::Dropped) => Answer::Unknown { request: id },
        };
        self.note_answer(&answer);
        encode(&answer)
    }

    /// Records the timeline event for the answer to a request.
    fn note_answer(&self, answer: &Answer) {
        let what = match answer {
            Answer::Whole { request, .. } => {
                What::RequestAnswered { request: request.clone(), attempt: None }
            }
            Answer::NotRun { request, reason, .. } => {
                What::RequestRefused { request: request.clone(), reason: reason.clone() }
            }
            Answer::Unknown { request } => What::RequestUnknown { request: request.clone() },
        };
        self.telemetry.note(what);
    }
}

/// Returns the id from the path and the team from the query.
fn named(id: &str, request: Request<'_>) -> Result<(Name, Name), List> {
    let mut findings = List::new();
    let id = findings.take("id", Name::try_from(id));
    let team = findings.take("team", Name::try_from(request.parameter("team").unwrap_or_default()));
    id.zip(team).ok_or(findings)
}

fn answer(told: Result<StewardReply, Failure>, success: u16) -> Response {
    match told {
        Ok(StewardReply::Job(job)) => Response::json(success, &job),
        Ok(StewardReply::Answer(answer)) => encode(&answer),
        Ok(StewardReply::Claimed | StewardReply::Settled) => Response::json(success, &()),
        Ok(StewardReply::Nothing) => Response::findings(404, &List::one("id", "is unknown")),
        Ok(StewardReply::Refused(refusal)) => refused(&refusal),
        Ok(StewardReply::Elsewhere) | Err(Failure::Refused) => {
            refused(&Refusal::not_run(Reason::Unavailable, RETRY_AFTER))
        }
        Err(Failure::Unknown) => refused(&Refusal::unknown()),
    }
}

/// Encodes the answer to a request: 200 with the whole answer, 202 when the outcome is unknown, and
/// an error status by the reason when the request did not run.
fn encode(answer: &Answer) -> Response {
    match answer {
        Answer::Whole { .. } => Response::json(200, answer),
        Answer::Unknown { .. } => Response::json(202, answer),
        Answer::NotRun { reason, retry_after_ms, .. } => {
            let status = match reason {
                Reason::Overload => 429,
                Reason::Mismatch => 409,
                Reason::Expired => 410,
                _ => 503,
            };
            let retry_after = Some(*retry_after_ms);
            Response { retry_after, ..Response::json(status, answer) }
        }
    }
}
