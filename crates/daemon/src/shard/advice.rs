//! The advice duty: sends queries to the advisor, directly or through a peer daemon.

use super::border::Advisor;
use super::steward::Event;
use crate::duty::Duty;
use crate::ring::{Receiver, Sender};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::advice::{Allowed, Query};
use pimentovalve_wire::http::Pending;
use pimentovalve_wire::http::client::Client;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// Path on which a daemon accepts queries from its peers.
pub const ADVICE_PATH: &str = "/advice";
/// Upper bound of the network time that forwarding through a peer adds.
const FORWARD_OVERHEAD: Millis = Millis(150);

/// A query to the advisor and the daemon that sends it.
pub struct Ask {
    /// Epoch of the owner that needs the answer.
    pub epoch: u64,
    /// The step and the workers that the advisor is asked about.
    pub query: Query,
    /// Address of the peer to forward the query to, `None` to send it from this daemon.
    pub peer_address: Option<Box<str>>,
}

/// The advice duty.
pub struct Advice {
    /// Platform adapter for the advisor.
    pub advisor: Arc<dyn Advisor>,
    /// HTTP client for forwarding to peers.
    pub client: Arc<Client>,
    /// Queries from the steward.
    pub asks: Receiver<Ask>,
    /// Ring to the steward, for the answers.
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
                let Some(Ask { epoch, query, peer_address }) = ask else { return };
                let (advisor, client) = (Arc::clone(&self.advisor), Arc::clone(&self.client));
                let steward = self.steward.clone();
                tokio::spawn(async move {
                    let answer = match peer_address {
                        None => advisor.ask(&query).await,
                        Some(peer) => forward(&client, &peer, &query).await,
                    };
                    let event = Event::AdvisorAnswered(epoch, query, answer);
                    if steward.push(event).await.is_err() {
                        tracing::debug!("advisor's answer dropped: the steward has ended");
                    }
                });
            }
        })
    }
}

async fn forward(client: &Client, peer: &str, query: &Query) -> Option<Vec<Allowed>> {
    let timeout = query.timeout + FORWARD_OVERHEAD;
    match client.exchange(peer, ADVICE_PATH, query, timeout).await {
        Ok(answer) => answer,
        Err(error) => {
            tracing::info!(step = %query.step_id, peer, %error, "forwarding a question through a peer failed");
            None
        }
    }
}
