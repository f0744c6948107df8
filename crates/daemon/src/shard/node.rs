//! One daemon of a shard: starts its duties, connects them by rings, and stops them in order.

use super::advice::Advice;
use super::border::{Advisor, Callers, Member, Store, Workers};
use super::front::Front;
use super::inquiry::{Inquiries, Reader};
use super::ledger::Ledger;
use super::ledger::counts::Counts;
use super::metrics::Metrics;
use super::orders::Orders;
use super::peer::Peer;
use super::ready::Ready;
use super::steward::Steward;
use super::view::{Configuration, Peers, Prospect, ShardStatus};
use crate::daemon::stage::ShutdownStage;
use crate::duty;
use crate::front;
use crate::metrics::Depth;
use crate::ring;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::Limits;
use pimentovalve_core::machine::allotment::Allotment;
use pimentovalve_wire::http::Handler;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::server;
use snafu::Snafu;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

/// Capacity of a ring, in items; holds about one second of peak load.
const RING_CAPACITY: usize = 4096;
/// Time for which a draining daemon still accepts connections. The load balancer checks every second
/// and removes a daemon after two failed checks.
const DRAIN_DURATION: Duration = Duration::from_millis(2400);

/// Error while starting a daemon.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An HTTP front can't be started.
    #[snafu(context(false), display("{source}"))]
    Front {
        /// Error of the front, with its name.
        source: front::Error,
    },
    /// Metrics can't be set up.
    #[snafu(context(false), display("{source}"))]
    Metrics {
        /// Error of the exporter.
        source: crate::metrics::Error,
    },
    /// A duty can't be started.
    #[snafu(context(false), display("{source}"))]
    Duty {
        /// Error of the duty's thread.
        source: duty::Error,
    },
}

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Unique name of the instance.
    pub name: Box<str>,
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// Listen address for peers and monitors; also announced to peers.
    pub peers: SocketAddr,
    /// Limits of HTTP connections, for each front.
    pub bounds: server::Limits,
    /// Timing limits of the owner.
    pub limits: Limits,
    /// Retention time of the store's log.
    pub retention: Millis,
    /// Share of the machine that the daemon may use.
    pub allotment: Allotment,
    /// Whether a job that can't end while its result has value is refused at once, because callers
    /// compete for too little room.
    pub refuses_for_room: bool,
}

/// The interfaces of a platform adapter.
#[derive(Clone)]
pub struct Platform {
    /// Adapter for the log, snapshots, configuration and lists.
    pub store: Arc<dyn Store>,
    /// Adapter for calls to workers.
    pub workers: Arc<dyn Workers>,
    /// Adapter for queries to the advisor.
    pub advisor: Arc<dyn Advisor>,
    /// Adapter for the callers' protocol.
    pub callers: Arc<dyn Callers>,
}

/// A running daemon.
pub struct Node {
    drain: CancellationToken,
    /// Stopped first: the front for callers.
    caller_front: ShutdownStage,
    /// Stopped last: the duties and the other fronts.
    duties: ShutdownStage,
}

impl Node {
    /// Starts all duties and fronts of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error when an address can't be bound, or a thread or the metrics can't be started.
    pub fn start(settings: &Settings, platform: &Platform) -> Result<Self, Error> {
        let (intake_in, intake) = ring::ring(RING_CAPACITY);
        let (events_in, events) = ring::ring(RING_CAPACITY);
        let (appends_in, appends) = ring::ring(RING_CAPACITY);
        let (orders_in, orders) = ring::ring(RING_CAPACITY);
        let (asks_in, asks) = ring::ring(RING_CAPACITY);
        let (facts_in, shard_status) = ring::latest(ShardStatus::default());
        let (peers_in, peers) = ring::latest(Peers::default());
        let (configuration_in, configuration) = ring::latest(Configuration::default());
        let counts = Arc::new(Counts::default());
        let (submissions_in, submissions) = ring::latest(0);
        let (own_prospect_in, own_prospect) = ring::latest(Prospect::default());
        let (prospect_in, prospect) = ring::latest(Prospect::default());
        let depths: [(&'static str, Box<dyn Depth>); 5] = [
            ("intake", Box::new(intake_in.clone())),
            ("steward", Box::new(events_in.clone())),
            ("ledger", Box::new(appends_in.clone())),
            ("orders", Box::new(orders_in.clone())),
            ("advice", Box::new(asks_in.clone())),
        ];
        let (status, traffic) = (shard_status.clone(), platform.workers.traffic());
        let metrics = Arc::new(Metrics::new(status, depths.into(), traffic, Arc::clone(&counts))?);
        let drain = CancellationToken::new();
        let appends_succeed = Arc::new(AtomicBool::new(true));
        let ready = Ready {
            shard_status: shard_status.clone(),
            configuration: configuration.clone(),
            draining: drain.clone(),
        };
        let reader = Reader::new(events_in.clone(), shard_status.clone());
        let callers = Front {
            callers: Arc::clone(&platform.callers),
            configuration: configuration.clone(),
            intake: intake_in,
            inquiries: Inquiries::new(reader.clone(), peers.clone()),
            metrics: Arc::clone(&metrics),
            shard_status: shard_status.clone(),
            submissions: submissions_in,
            prospect,
            refuses_for_room: settings.refuses_for_room,
        };
        let peer = Peer {
            advisor: Arc::clone(&platform.advisor),
            owner: appends_in.clone(),
            appends_succeed: Arc::clone(&appends_succeed),
            metrics: Arc::clone(&metrics),
            shard_status: shard_status.clone(),
            prospect: own_prospect.clone(),
            reader,
            callers: Arc::clone(&platform.callers),
            configuration: configuration.clone(),
        };
        let [mut caller_front, mut duties, ..] = ShutdownStage::all();
        duties.start(Box::new(Ledger {
            store: Arc::clone(&platform.store),
            member: member(settings),
            replay_delay: settings.allotment.replay_delay(),
            intake,
            appends,
            owner: appends_in.clone(),
            client: Arc::new(Client::new()),
            peers,
            steward: events_in.clone(),
            read_wanted: Arc::clone(&peer.reader.read_wanted),
            shard_status,
            configuration: configuration_in,
            appends_succeed,
            counts,
            submissions,
            own_prospect,
            prospect: prospect_in,
        }))?;
        duties.start(Box::new(Steward {
            name: settings.name.clone(),
            address: settings.peers.to_string().into(),
            nonce: rand::random(),
            limits: settings.limits,
            retention: settings.retention,
            takeover: settings.allotment.takeover(),
            drain: drain.clone(),
            configuration,
            events,
            ledger: appends_in,
            orders: orders_in,
            advice: asks_in,
            metrics: Arc::clone(&metrics),
            shard_status: facts_in,
            prospect: own_prospect_in,
            peer_addresses: peers_in,
        }))?;
        let (workers, advisor) = (Arc::clone(&platform.workers), Arc::clone(&platform.advisor));
        duties.start(Box::new(Orders { workers, orders, metrics, steward: events_in.clone() }))?;
        let advice = Advice { advisor, client: Arc::default(), asks, steward: events_in };
        duties.start(Box::new(advice))?;
        let bounds = settings.bounds;
        duties.start(Box::new(listen("ready", settings.ready, bounds, Arc::new(ready))?))?;
        duties.start(Box::new(listen("peers", settings.peers, bounds, Arc::new(peer))?))?;
        let front = listen("callers", settings.callers, bounds, Arc::new(callers))?;
        caller_front.start(Box::new(front))?;
        Ok(Self { drain, caller_front, duties })
    }

    /// Returns whether a duty has ended unexpectedly, so that the daemon must be restarted.
    pub fn has_failed(&self) -> bool {
        self.duties.tokens.kill.is_cancelled()
    }

    /// Stops at once without draining, as if the process had crashed.
    pub fn kill(mut self) {
        self.duties.tokens.kill.cancel();
        self.caller_front.join();
        self.duties.join();
    }

    /// Stops gracefully: releases the shard, serves until the load balancer has removed the daemon,
    /// answers the requests in flight, and stops all duties.
    pub fn stop(mut self) {
        self.drain.cancel();
        std::thread::sleep(DRAIN_DURATION);
        self.caller_front.stop();
        self.duties.stop();
    }
}

/// Returns the announcement of a daemon that has not announced itself yet.
fn member(settings: &Settings) -> Member {
    Member {
        name: settings.name.clone(),
        address: settings.peers.to_string().into(),
        beat: 0,
        takeover: settings.allotment.takeover(),
    }
}

/// Binds an address and returns the front that serves it.
fn listen(
    name: &'static str,
    address: SocketAddr,
    bounds: server::Limits,
    handler: Arc<dyn Handler>,
) -> Result<front::Front, Error> {
    Ok(front::Front::new(name, front::bind(name, address)?, bounds, Arc::default(), handler)?)
}

/// Returns the timing limits of an owner whose workers grant leases of at most `max_lease` and take at
/// most `max_stop` to stop a run.
pub const fn limits(max_lease: Millis, max_stop: Millis) -> Limits {
    Limits {
        lease: if max_lease.get() < LEASE.get() { max_lease } else { LEASE },
        max_lease,
        max_store_silence: STORE_GRACE,
        poll_wait: POLL_WAIT,
        poll_pause: POLL_PAUSE,
        retry: ORDER_RETRY_INTERVAL,
        max_stop,
    }
}

/// Lease of a worker's runs: long enough to survive a takeover, and short enough to reschedule the
/// tasks of a dead worker soon.
const LEASE: Millis = Millis::from_secs(6);
/// Maximum time for which an owner renews leases while the store is unavailable. Together with the
/// lease, runs survive a store outage of 14 s. A later owner waits for the same time before it
/// declares workers lost that never answer.
const STORE_GRACE: Millis = Millis::from_secs(8);
/// Maximum time that a worker holds a status poll until a run ends; a quarter of the lease.
const POLL_WAIT: Millis = Millis(1500);
/// Pause after a status poll that returned ends, so that ends are recorded in batches.
const POLL_PAUSE: Millis = Millis(40);
/// Retry interval of an order without an answer.
const ORDER_RETRY_INTERVAL: Millis = Millis(250);
