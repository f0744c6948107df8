//! One daemon of a shard: its duties, wired by rings, and its planned stop.

use super::advice::Advice;
use super::border::{Advisor, Callers, Member, Store, Workers};
use super::front::Front;
use super::ledger::Ledger;
use super::metrics::Metrics;
use super::orders::Orders;
use super::peer::Peer;
use super::ready::Ready;
use super::steward::Steward;
use super::view::ShardStatus;
use crate::daemon::stage::Stage;
use crate::duty;
use crate::front;
use crate::ring;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::Limits;
use pimentovalve_wire::http::Handler;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::server;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Places of a ring; a flood of a second fits.
const RING_CAPACITY: usize = 4096;
/// Time for which a daemon that drains still takes new connections: the balancer asks each second
/// and takes it out after two misses.
const DRAIN_DURATION: Duration = Duration::from_millis(2400);

/// Why a daemon can't start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A front can't be had.
    #[snafu(context(false), display("{source}"))]
    Front {
        /// Which, and why.
        source: front::Error,
    },
    /// Metrics can't be set up.
    #[snafu(context(false), display("{source}"))]
    Metrics {
        /// Why.
        source: crate::metrics::Error,
    },
    /// A duty can't be started.
    #[snafu(context(false), display("{source}"))]
    Duty {
        /// Why.
        source: duty::Error,
    },
}

/// What a daemon is told of itself.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of its instance.
    pub name: Box<str>,
    /// Where callers come.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Where peers come.
    pub peers: SocketAddr,
    /// Bounds of a caller's connection.
    pub bounds: server::Limits,
    /// Figures for the owner.
    pub limits: Limits,
    /// How long the store keeps a record of the log.
    pub retention: Millis,
}

/// The platform, as its adapter implements it.
#[derive(Clone)]
pub struct Platform {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The workers.
    pub workers: Arc<dyn Workers>,
    /// The advisor.
    pub advisor: Arc<dyn Advisor>,
    /// The callers' protocol.
    pub callers: Arc<dyn Callers>,
}

/// A running daemon.
pub struct Node {
    drain: CancellationToken,
    /// Fronts, then everything else: in the order in which they end.
    fronts: Stage,
    backs: Stage,
}

impl Node {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when an address or a thread can't be had.
    pub fn start(settings: &Settings, platform: &Platform) -> Result<Self, Error> {
        let (intake_in, intake) = ring::ring(RING_CAPACITY);
        let (events_in, events) = ring::ring(RING_CAPACITY);
        let (appends_in, appends) = ring::ring(RING_CAPACITY);
        let (orders_in, orders) = ring::ring(RING_CAPACITY);
        let (asks_in, asks) = ring::ring(RING_CAPACITY);
        let (facts_in, shard_status) = ring::latest(ShardStatus::default());
        let (catalog_in, catalog) = ring::latest(None);
        let metrics = Arc::new(Metrics::new(
            shard_status.clone(),
            vec![
                ("intake", Box::new(intake_in.clone())),
                ("steward", Box::new(events_in.clone())),
                ("ledger", Box::new(appends_in.clone())),
                ("orders", Box::new(orders_in.clone())),
                ("advice", Box::new(asks_in.clone())),
            ],
        )?);
        let drain = CancellationToken::new();
        let appends_succeed = Arc::new(AtomicBool::new(true));
        let member = Member {
            name: settings.name.clone(),
            address: settings.peers.to_string().into(),
            beat: 0,
        };
        let ready = Ready {
            shard_status: shard_status.clone(),
            catalog: catalog.clone(),
            draining: drain.clone(),
        };
        let callers = Front {
            callers: Arc::clone(&platform.callers),
            catalog,
            intake: intake_in,
            steward: events_in.clone(),
            metrics: Arc::clone(&metrics),
            shard_status: shard_status.clone(),
        };
        let peer = Peer {
            advisor: Arc::clone(&platform.advisor),
            owner: appends_in.clone(),
            appends_succeed: Arc::clone(&appends_succeed),
            metrics: Arc::clone(&metrics),
            shard_status: shard_status.clone(),
        };
        let [mut fronts, mut backs, ..] = Stage::all();
        backs.start(Box::new(Ledger {
            store: Arc::clone(&platform.store),
            member,
            intake,
            appends,
            owner: appends_in.clone(),
            client: Arc::new(Client::new()),
            steward: events_in.clone(),
            shard_status,
            catalog: catalog_in,
            appends_succeed,
        }))?;
        backs.start(Box::new(Steward {
            name: settings.name.clone(),
            address: settings.peers.to_string().into(),
            nonce: rand::random(),
            limits: settings.limits,
            retention: settings.retention,
            drain: drain.clone(),
            events,
            ledger: appends_in,
            orders: orders_in,
            advice: asks_in,
            metrics: Arc::clone(&metrics),
            shard_status: facts_in,
        }))?;
        let workers = Arc::clone(&platform.workers);
        backs.start(Box::new(Orders { workers, orders, metrics, steward: events_in.clone() }))?;
        let advisor = Arc::clone(&platform.advisor);
        let client = Arc::new(Client::new());
        backs.start(Box::new(Advice { advisor, client, asks, steward: events_in }))?;
        let bounds = settings.bounds;
        backs.start(Box::new(listen("ready", settings.ready, bounds, Arc::new(ready))?))?;
        backs.start(Box::new(listen("peers", settings.peers, bounds, Arc::new(peer))?))?;
        fronts.start(Box::new(listen("callers", settings.callers, bounds, Arc::new(callers))?))?;
        Ok(Self { drain, fronts, backs })
    }

    /// Returns whether a duty has ended by itself, so that the daemon must be replaced.
    pub fn has_failed(&self) -> bool {
        self.backs.tokens.kill.is_cancelled()
    }

    /// Ends at once, as if the process had died.
    pub fn kill(mut self) {
        self.backs.tokens.kill.cancel();
        self.fronts.join();
        self.backs.join();
    }

    /// Stops as planned: hands the shard over, serves until the balancer sends nobody any more,
    /// answers every request in flight, then ends.
    pub fn stop(mut self) {
        self.drain.cancel();
        std::thread::sleep(DRAIN_DURATION);
        self.fronts.stop();
        self.backs.stop();
    }
}

fn listen(
    name: &'static str,
    address: SocketAddr,
    bounds: server::Limits,
    handler: Arc<dyn Handler>,
) -> Result<front::Front, Error> {
    Ok(front::Front::new(name, front::bind(name, address)?, bounds, Arc::default(), handler)?)
}

/// Returns the figures for an owner whose workers grant leases of at most `max_lease`.
pub const fn limits(max_lease: Millis) -> Limits {
    Limits {
        lease: if max_lease.get() < LEASE.get() { max_lease } else { LEASE },
        alone: STORE_GRACE,
        look_wait: LOOK_WAIT,
        look_pause: MIN_LOOK_INTERVAL,
        retry: ORDER_RETRY_INTERVAL,
    }
}

/// Lease of what runs: rides out a takeover, and frees what a dead worker held soon after.
const LEASE: Millis = Millis::from_secs(6);
/// Longest time for which an owner renews leases without word from the store. With the lease it
/// rides out an outage of 14 s; a later owner waits for as long before it gives up workers that
/// never answer.
const STORE_GRACE: Millis = Millis::from_secs(8);
/// Longest time for which a look waits for an end; a quarter of the lease.
const LOOK_WAIT: Millis = Millis(1500);
/// Pause between two looks that found something: ends are recorded in groups.
const MIN_LOOK_INTERVAL: Millis = Millis(40);
/// Time between two tries of an order without answer.
const ORDER_RETRY_INTERVAL: Millis = Millis(250);
