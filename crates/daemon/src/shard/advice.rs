//! The advice duty: asks the advisor itself, or has a peer ask it.

use super::border::Advisor;
use super::steward::Event;
use crate::duty::Duty;
use crate::ring::{Receiver, Sender};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::advice::{Allowed, Question};
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Path under which peers take questions.
pub const PATH: &str = "/advice";
/// Time that a question and its answer spend between two daemons, at most.
const TRAVEL: Millis = Millis(150);

/// A question and who asks it.
pub struct Ask {
    /// Epoch of the owner.
    pub epoch: u64,
    /// The question.
    pub question: Question,
    /// Address of the peer that asks, `None` for this daemon.
    pub through: Option<Box<str>>,
}

/// The duty.
pub struct Advice {
    /// The advisor.
    pub advisor: Arc<dyn Advisor>,
    /// For peers.
    pub client: Arc<Client>,
    /// Questions.
    pub asks: Receiver<Ask>,
    /// Where answers go.
    pub steward: Sender<Event>,
}

impl Duty for Advice {
    fn name(&self) -> &'static str {
        "advice"
    }

    fn run(self: Box<Self>, stop: CancellationToken) -> Pending<'static, ()> {
        Box::pin(async move {
            loop {
                let ask = tokio::select! {
                    () = stop.cancelled() => return,
                    ask = self.asks.next() => ask,
                };
                let Some(Ask { epoch, question, through }) = ask else { return };
                let (advisor, client) = (Arc::clone(&self.advisor), Arc::clone(&self.client));
                let steward = self.steward.clone();
                tokio::spawn(async move {
                    let answer = match through {
                        None => advisor.ask(&question).await,
                        Some(peer) => forward(&client, &peer, &question).await,
                    };
                    let event = Event::Advised(epoch, question, answer);
                    if steward.push(event).await.is_err() {
                        tracing::debug!("advice came after the steward ended");
                    }
                });
            }
        })
    }
}

async fn forward(client: &Client, peer: &str, question: &Question) -> Option<Vec<Allowed>> {
    let patience = question.patience + TRAVEL;
    match client.exchange(peer, PATH, question, patience).await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::info!(step = %question.stage, peer, %error, "a peer brought no advice");
            None
        }
    }
}
