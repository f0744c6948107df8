//! An embedded cell: daemons and the platform's stand-ins in one process, connected by loopback.
//!
//! Used by the demo and the end-to-end tests. Each daemon runs its own threads and sockets, as in
//! production. Killing a daemon stops its threads and closes its connections at once.

use crate::core::audit::{Report, Row, Scope, audit};
use crate::core::clock::Millis;
use crate::core::finding::List;
use crate::core::ledger::{Offset, Stream};
use crate::core::machine::lease::Bounds;
use crate::core::name::Name;
use crate::core::timeline::Event;
use crate::core::zone::Place;
use crate::core::zone::membership::{Instance, Role, State};
use crate::daemon::journal::Memory;
use crate::daemon::settings::{Listen, Platform, Settings, Timing};
use crate::daemon::{self, Daemon};
use crate::standin::fleet::{self, Fleet, Plan};
use crate::wire::codec;
use serde_bytes::ByteBuf;
use snafu::{ResultExt, Snafu};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

/// Operator key that all daemons of the cell accept, as `name:secret`.
pub const OPERATOR_KEY: &str = "demo-operator:only-for-stand-ins-0001";
/// Loopback address with a port that the system chooses.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Most timeline events that are kept of one daemon; further ones are dropped.
const MAX_EVENTS_PER_DAEMON: usize = 200_000;

/// Errors of starting a cell or a daemon of it.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The stand-ins could not be started.
    #[snafu(display("stand-ins can't be started: {source}"))]
    Fleet {
        /// Error of the fleet.
        source: fleet::Error,
    },
    /// A daemon could not be started.
    #[snafu(display("daemon can't be started: {source}"))]
    Daemon {
        /// Error of the daemon.
        source: daemon::Error,
    },
    /// The temporary file with the operator's key could not be written.
    #[snafu(display("operator key can't be written: {source}"))]
    Key {
        /// Error of the write.
        source: std::io::Error,
    },
    /// A generated name is invalid.
    #[snafu(display("{findings}"))]
    Name {
        /// Faults of the name.
        findings: List,
    },
}

/// A daemon of the cell, running or stopped. A restart adds a new node.
pub struct Node {
    /// Row of the instance list, with the peer address.
    pub instance: Instance,
    /// Addresses of all its listeners.
    pub addresses: daemon::Addresses,
    /// `None` once it was stopped or killed.
    daemon: Option<Daemon>,
    /// Its timeline events, also after it has ended.
    timeline: Arc<Memory>,
}

/// The stand-ins and the daemons. Dropping it kills all daemons and stops the stand-ins.
pub struct Cell {
    /// The platform's stand-ins.
    pub fleet: Fleet,
    /// All daemons ever started, in the order of their start.
    pub nodes: Vec<Node>,
    /// Places over which daemons are spread in turn.
    places: Vec<Place>,
    /// Settings common to all daemons; name and place are set for each.
    settings: Settings,
    /// Temporary file with the operator's key.
    key_file: PathBuf,
}

impl Cell {
    /// Starts the stand-ins and `count` daemons, spread over the zones of the plan. The default
    /// settings have short intervals to keep runs short; `change` may modify them.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread, a listener or the temporary key file can't be created.
    pub fn start(
        plan: &Plan,
        count: usize,
        change: impl FnOnce(&mut Settings),
    ) -> Result<Self, Error> {
        let fleet = Fleet::start(plan).context(FleetSnafu)?;
        let places = places(plan)?;
        // The port makes the name unique among several cells of one process.
        let unique = format!("pimentovalve-{}-{}", std::process::id(), fleet.log.address().port());
        let key_file = std::env::temp_dir().join(unique);
        std::fs::write(&key_file, OPERATOR_KEY).context(KeySnafu)?;
        let mut settings = settings(&fleet, places[0].clone(), plan.list_lag)?;
        settings.operator_keys = Some(key_file.clone());
        change(&mut settings);
        let mut cell = Self { fleet, nodes: Vec::new(), places, settings, key_file };
        for _ in 0..count {
            cell.add()?;
        }
        Ok(cell)
    }

    /// Starts another daemon and adds it to the instance list. Returns its index in
    /// [`Self::nodes`].
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn add(&mut self) -> Result<usize, Error> {
        self.add_with(|_| {})
    }

    /// As [`Self::add`], with settings that `change` may modify for this daemon only.
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn add_with(&mut self, change: impl FnOnce(&mut Settings)) -> Result<usize, Error> {
        let index = self.nodes.len();
        let place = self.places[index % self.places.len()].clone();
        let name = name(&format!("entry-{}", index + 1))?;
        let mut settings = Settings { name, place, ..self.settings.clone() };
        change(&mut settings);
        let timeline = Arc::new(Memory::new(MAX_EVENTS_PER_DAEMON));
        let sink: Arc<Memory> = Arc::clone(&timeline);
        let daemon = Daemon::start(&settings, sink).context(DaemonSnafu)?;
        let addresses = *daemon.addresses();
        let instance = Instance {
            name: settings.name,
            role: Role::Entry,
            place: settings.place,
            address: addresses.peers.to_string(),
            state: State::Live,
            worker: None,
            service: None,
        };
        self.fleet.list.register_now(&instance);
        self.nodes.push(Node { instance, addresses, daemon: Some(daemon), timeline });
        Ok(index)
    }

    /// Kills a daemon without draining it, as if its process had crashed. It stays in the instance
    /// list until [`Self::unlist`].
    pub fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.nodes[index].daemon.take() {
            daemon.kill();
        }
    }

    /// Suspends (`on`) or resumes all threads of a daemon, as if its process were paused.
    pub fn set_paused(&self, index: usize, on: bool) {
        if let Some(daemon) = &self.nodes[index].daemon {
            daemon.set_paused(on);
        }
    }

    /// Removes a daemon from the instance list, as the platform does once it detects a crash.
    pub fn unlist(&self, index: usize) {
        self.fleet.list.remove(&self.nodes[index].instance.name);
    }

    /// Drains and stops a daemon, then removes it from the instance list.
    pub fn stop(&mut self, index: usize) {
        if let Some(daemon) = self.nodes[index].daemon.take() {
            daemon.stop();
            self.fleet.list.remove(&self.nodes[index].instance.name);
        }
    }

    /// Returns the indices in [`Self::nodes`] of the daemons that were not stopped or killed.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&i| self.nodes[i].daemon.is_some()).collect()
    }

    /// Returns the callers' addresses of the daemons that are running.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.running().into_iter().map(|i| self.nodes[i].addresses.callers).collect()
    }

    /// Returns the operators' addresses of the daemons that are running.
    pub fn operator_addresses(&self) -> Vec<SocketAddr> {
        self.running().into_iter().map(|i| self.nodes[i].addresses.operators).collect()
    }

    /// Returns the timeline events of all daemons, stopped ones included. The events of each
    /// daemon are in their order.
    pub fn events(&self) -> Vec<Event> {
        self.nodes.iter().flat_map(|node| node.timeline.events()).collect()
    }

    /// Reads all records of the ledger that the stand-in log still retains. Entries that can't be
    /// decoded are skipped, as all readers of the ledger do.
    pub fn ledger_rows(&self) -> Vec<Row> {
        let partitions = (0..self.settings.partitions).map(Stream::Partition);
        let streams = [Stream::Configuration, Stream::Fleet].into_iter().chain(partitions);
        streams.flat_map(|stream| self.stream_rows(stream)).collect()
    }

    fn stream_rows(&self, stream: Stream) -> Vec<Row> {
        let Ok(name) = Name::try_from(stream.to_string()) else { return Vec::new() };
        let (first_offset, entries) = self.fleet.log.entries(&name);
        let row = |(offset, entry): (Offset, &ByteBuf)| {
            codec::unpack(entry).ok().map(|record| Row { stream, offset, record })
        };
        (first_offset..).zip(&entries).filter_map(row).collect()
    }

    /// Audits all promises on the ledger and the timelines so far.
    pub fn audit(&self) -> Report {
        audit(&self.ledger_rows(), &self.events(), &self.bounds(), &Scope::All)
    }

    /// Returns the fencing bounds of the daemons.
    pub const fn bounds(&self) -> Bounds {
        self.settings.bounds
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(daemon) = node.daemon.take() {
                daemon.kill();
            }
        }
        self.fleet.stop();
        if let Err(error) = std::fs::remove_file(&self.key_file) {
            tracing::debug!(%error, "operator key file can't be removed");
        }
    }
}

fn name(raw: &str) -> Result<Name, Error> {
    Name::try_from(raw).map_err(|findings| Error::Name { findings })
}

/// Returns one place for entry instances in each zone of the plan, in a rack without workers.
fn places(plan: &Plan) -> Result<Vec<Place>, Error> {
    let place = |zone: &fleet::Zone| {
        Ok(Place { region: zone.region.clone(), domain: zone.domain.clone(), rack: name("entry")? })
    };
    plan.zones.iter().map(place).collect()
}

/// Returns default settings of a daemon, with leases and timings of a few seconds at most.
fn settings(fleet: &Fleet, place: Place, list_lag_ms: Millis) -> Result<Settings, Error> {
    Ok(Settings {
        name: name("entry")?,
        place,
        listen: Listen {
            callers: ANY_PORT,
            operators: ANY_PORT,
            peers: ANY_PORT,
            metrics: ANY_PORT,
        },
        platform: Platform {
            log: fleet.log.address(),
            list: fleet.list.address(),
            list_lag_ms,
            retention_ms: Millis::from_secs(3600),
        },
        bounds: Bounds { lease_ms: Millis(2500), currency_ms: Millis(1500), skew_ms: Millis(100) },
        timing: Timing {
            list_ms: Millis(200),
            ping_ms: Millis(150),
            suspicion_ms: Millis(800),
            heartbeat_ms: Millis(400),
            loss_ms: Millis(2500),
            log_ms: Millis(1000),
            term_ms: Millis(4000),
            drain_ms: Millis(300),
        },
        partitions: 8,
        limits: crate::wire::http::server::Limits::default(),
        ring: 1024,
        log_level: "warn".into(),
        timeline: None,
        operator_keys: None,
        peer_key: None,
    })
}
