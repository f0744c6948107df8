//! Finds the steward of a team's partition, and asks it.

use crate::duty::steward::Event;
use crate::platform;
use crate::ring::{self, Latest, Sender, Unanswered};
use crate::view::Members;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::ledger::Stream;
use pimentovalve_wire::http::client::{Client, Error};
use pimentovalve_wire::peer::{Ask, Told};
use std::sync::Arc;
use std::time::Duration;

/// Tries before the asker is told to come back.
const TRIES: u32 = 5;
/// Pause before another try, while stewardship moves.
const PAUSE: Duration = Duration::from_millis(300);
/// Longest time for a question to be answered.
const TIMEOUT: Millis = Millis::from_secs(8);

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The question had no effect.
    Refused,
    /// It may have had its effect.
    Unknown,
}

/// The way to stewards.
#[derive(Clone, Debug)]
pub struct Route {
    /// The steward duty of this instance.
    pub steward: Sender<Event>,
    /// The instances.
    pub members: Latest<Arc<Members>>,
    /// Partitions of the ledger.
    pub partitions: u16,
    /// Key to show to peers, as `name:secret`.
    pub key: Option<String>,
    /// Connections to peers.
    pub client: Arc<Client>,
}

impl Route {
    /// Asks the steward of the question's team.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Unknown`] when a steward may have acted on the question without
    /// answering. Questions are idempotent, so that it may be asked again.
    pub async fn ask(&self, ask: &Ask) -> Result<Told, Failure> {
        let stream = Stream::of_team(ask.team(), self.partitions);
        let mut failure = Failure::Refused;
        for _ in 0..TRIES {
            match self.ask_once(stream, ask).await {
                Ok(Told::Elsewhere) | Err(Failure::Refused) => {}
                // An earlier try may have had its effect: "not run" can't be said any more.
                Ok(Told::Refused(refusal)) if refusal.not_run && failure == Failure::Unknown => {
                    return Err(failure);
                }
                // Another instance has become the steward meanwhile, or will; it can tell.
                Ok(Told::Refused(refusal)) if !refusal.not_run => failure = Failure::Unknown,
                Ok(told) => return Ok(told),
                Err(Failure::Unknown) => failure = Failure::Unknown,
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(failure)
    }

    async fn ask_once(&self, stream: Stream, ask: &Ask) -> Result<Told, Failure> {
        let (steward, own) = {
            let members = self.members.borrow();
            (members.steward(stream).cloned(), members.own.name.clone())
        };
        let steward = steward.ok_or(Failure::Refused)?;
        if steward.name == own {
            return self.ask_own(ask.clone()).await;
        }
        let call: Result<Told, Error> = self
            .client
            .exchange_with_key(&steward.address, "/peer/ask", ask, TIMEOUT, self.key.as_deref())
            .await;
        call.map_err(|error| match platform::Failure::from(error) {
            platform::Failure::Refused(_) => Failure::Refused,
            _ => Failure::Unknown,
        })
    }

    /// Asks the steward duty of this instance.
    ///
    /// # Errors
    ///
    /// As [`Self::ask`].
    pub async fn ask_own(&self, ask: Ask) -> Result<Told, Failure> {
        let asked = ring::ask(&self.steward, |reply| Event::Ask { ask, reply });
        match tokio::time::timeout(Duration::from(TIMEOUT), asked).await {
            Ok(Ok(told)) => Ok(told),
            Ok(Err(Unanswered::Refused)) => Err(Failure::Refused),
            Ok(Err(Unanswered::Dropped)) => Err(Failure::Unknown),
            Err(_) => Err(Failure::Unknown),
        }
    }
}
