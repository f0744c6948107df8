//! Routes queries and commands to the steward of a team's partition.

use crate::duty::steward::Event;
use crate::platform;
use crate::ring::{self, Latest, Sender, Unanswered};
use crate::view::Members;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::Stream;
use pimentovalve_wire::http::client::{Client, Error};
use pimentovalve_wire::peer::{Query, StewardReply};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of times that a query is sent before it fails.
const MAX_TRIES: u32 = 5;
/// Delay between two tries, in which another instance may become the steward.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout of one try.
const TIMEOUT: Millis = Millis::from_secs(8);

/// Why a query or command has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// It certainly had no effect.
    Refused,
    /// It may have had an effect.
    Unknown,
}

/// A client of the stewards of all partitions.
#[derive(Clone, Debug)]
pub struct Route {
    /// Ring of the steward duty of this instance.
    pub steward: Sender<Event>,
    /// Membership, which determines the steward of each partition.
    pub members: Latest<Arc<Members>>,
    /// Number of partitions of the ledger.
    pub partitions: u16,
    /// Key that authenticates this instance to peers, as `name:secret`.
    pub key: Option<String>,
    /// HTTP client for the other stewards.
    pub client: Arc<Client>,
}

impl Route {
    /// Sends a query or command to the steward of its team, retrying while the stewardship moves.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unknown`] when a steward may have acted without answering. All queries
    /// and commands are idempotent, so they may be sent again.
    pub async fn ask(&self, ask: &Query) -> Result<StewardReply, Failure> {
        let stream = Stream::of_team(ask.team(), self.partitions);
        let mut failure = Failure::Refused;
        for _ in 0..MAX_TRIES {
            match self.ask_once(stream, ask).await {
                Ok(StewardReply::Elsewhere) | Err(Failure::Refused) => {}
                // An earlier try may have had an effect, so "not run" would be wrong.
                Ok(StewardReply::Refused(refusal))
                    if refusal.not_run && failure == Failure::Unknown =>
                {
                    return Err(failure);
                }
                // Another instance has become the steward or will, and can tell the outcome.
                Ok(StewardReply::Refused(refusal)) if !refusal.not_run => {
                    failure = Failure::Unknown
                }
                Ok(told) => return Ok(told),
                Err(Failure::Unknown) => failure = Failure::Unknown,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(failure)
    }

    async fn ask_once(&self, stream: Stream, ask: &Query) -> Result<StewardReply, Failure> {
        let (steward, own) = {
            let members = self.members.borrow();
            (members.steward(stream).cloned(), members.own.name.clone())
        };
        let steward = steward.ok_or(Failure::Refused)?;
        if steward.name == own {
            return self.ask_own(ask.clone()).await;
        }
        let call: Result<StewardReply, Error> = self
            .client
            .exchange_with_key(&steward.address, "/peer/ask", ask, TIMEOUT, self.key.as_deref())
            .await;
        call.map_err(|error| match platform::Failure::from(error) {
            platform::Failure::Refused(_) => Failure::Refused,
            _ => Failure::Unknown,
        })
    }

    /// Sends a query or command to the steward duty of this instance.
    ///
    /// # Errors
    ///
    /// As [`Self::ask`].
    pub async fn ask_own(&self, ask: Query) -> Result<StewardReply, Failure> {
        let asked = ring::ask(&self.steward, |reply| Event::Ask { ask, reply });
        match tokio::time::timeout(Duration::from(TIMEOUT), asked).await {
            Ok(Ok(told)) => Ok(told),
            Ok(Err(Unanswered::Refused)) => Err(Failure::Refused),
            Ok(Err(Unanswered::Dropped)) => Err(Failure::Unknown),
            Err(_) => Err(Failure::Unknown),
        }
    }
}
