//! A whole cell in one process: stand-ins of the platform and daemons on loopback.
//!
//! The demo, the whole-path tests and the live measurements share it. Daemons run as they do in
//! production, with threads and sockets of their own; a kill drops their threads and connections
//! at once.

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

/// Key of the cell's operator, as `name:secret`.
pub const OPERATOR_KEY: &str = "demo-operator:only-for-stand-ins-0001";
/// Any free port of the loopback interface.
const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Most events that are kept of one daemon.
const MAX_EVENTS: usize = 200_000;

/// Why a cell can't start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The stand-ins could not be started.
    #[snafu(display("the stand-ins could not be started: {source}"))]
    Fleet {
        /// Why.
        source: fleet::Error,
    },
    /// A daemon could not be started.
    #[snafu(display("a daemon could not be started: {source}"))]
    Daemon {
        /// Why.
        source: daemon::Error,
    },
    /// The file with the operator's key could not be written.
    #[snafu(display("the operator's key could not be written: {source}"))]
    Key {
        /// Why.
        source: std::io::Error,
    },
    /// A name is not valid.
    #[snafu(display("{findings}"))]
    Name {
        /// What is wrong.
        findings: List,
    },
}

/// One start of a daemon.
pub struct Node {
    /// Its instance.
    pub instance: Instance,
    /// Where it listens.
    pub addresses: daemon::Addresses,
    /// `None` once it was stopped or killed.
    daemon: Option<Daemon>,
    timeline: Arc<Memory>,
}

/// Stand-ins and daemons.
pub struct Cell {
    /// The stand-ins.
    pub fleet: Fleet,
    /// All daemons that were started, in the order of their start.
    pub nodes: Vec<Node>,
    places: Vec<Place>,
    settings: Settings,
    keys: PathBuf,
}

impl Cell {
    /// Starts stand-ins and `count` daemons, spread over the places of the plan. `change` may
    /// change the settings, which have short times so that trials are short.
    ///
    /// # Errors
    ///
    /// Returns an error when the system lacks a thread, a port or a place for a temporary file.
    pub fn start(
        plan: &Plan,
        count: usize,
        change: impl FnOnce(&mut Settings),
    ) -> Result<Self, Error> {
        let fleet = Fleet::start(plan).context(FleetSnafu)?;
        let places = places(plan)?;
        let unique = format!("pimentovalve-{}-{}", std::process::id(), fleet.log.address().port());
        let keys = std::env::temp_dir().join(unique);
        std::fs::write(&keys, OPERATOR_KEY).context(KeySnafu)?;
        let mut settings = settings(&fleet, places[0].clone(), plan.list_lag)?;
        settings.operator_keys = Some(keys.clone());
        change(&mut settings);
        let mut cell = Self { fleet, nodes: Vec::new(), places, settings, keys };
        for _ in 0..count {
            cell.add()?;
        }
        Ok(cell)
    }

    /// Starts another daemon and lists it. Returns its position in [`Self::nodes`].
    ///
    /// # Errors
    ///
    /// As [`Self::start`].
    pub fn add(&mut self) -> Result<usize, Error> {
        self.add_with(|_| {})
    }

    /// As [`Self::add`], with other settings.
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
        let timeline = Arc::new(Memory::new(MAX_EVENTS));
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
        self.fleet.list.show(&instance);
        self.nodes.push(Node { instance, addresses, daemon: Some(daemon), timeline });
        Ok(index)
    }

    /// Ends a daemon at once, as if its process had died; the list is not told.
    pub fn kill(&mut self, index: usize) {
        if let Some(daemon) = self.nodes[index].daemon.take() {
            daemon.kill();
        }
    }

    /// Holds or releases all threads of a daemon, as if its process were paused.
    pub fn freeze(&self, index: usize, on: bool) {
        if let Some(daemon) = &self.nodes[index].daemon {
            daemon.freeze(on);
        }
    }

    /// Takes a daemon from the list, as the platform does once it has noticed its death.
    pub fn unlist(&self, index: usize) {
        self.fleet.list.remove(&self.nodes[index].instance.name);
    }

    /// Stops a daemon as planned and takes it from the list.
    pub fn stop(&mut self, index: usize) {
        if let Some(daemon) = self.nodes[index].daemon.take() {
            daemon.stop();
            self.fleet.list.remove(&self.nodes[index].instance.name);
        }
    }

    /// Returns the positions of the daemons that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|&i| self.nodes[i].daemon.is_some()).collect()
    }

    /// Returns the addresses for callers of the daemons that run.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.running().into_iter().map(|i| self.nodes[i].addresses.callers).collect()
    }

    /// Returns the addresses for operators of the daemons that run.
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.running().into_iter().map(|i| self.nodes[i].addresses.operators).collect()
    }

    /// Returns the events of all daemons, each daemon's in its order.
    pub fn events(&self) -> Vec<Event> {
        self.nodes.iter().flat_map(|node| node.timeline.events()).collect()
    }

    /// Reads the whole ledger from the stand-in of the log. An entry that is not a record is left
    /// out, as every reader leaves it out.
    pub fn rows(&self) -> Vec<Row> {
        let partitions = (0..self.settings.partitions).map(Stream::Partition);
        let streams = [Stream::Configuration, Stream::Fleet].into_iter().chain(partitions);
        streams.flat_map(|stream| self.stream_rows(stream)).collect()
    }

    fn stream_rows(&self, stream: Stream) -> Vec<Row> {
        let Ok(name) = Name::try_from(stream.to_string()) else { return Vec::new() };
        let (horizon, entries) = self.fleet.log.entries(&name);
        let row = |(offset, entry): (Offset, &ByteBuf)| {
            codec::unpack(entry).ok().map(|record| Row { stream, offset, record })
        };
        (horizon..).zip(&entries).filter_map(row).collect()
    }

    /// Audits everything that happened so far.
    pub fn audit(&self) -> Report {
        audit(&self.rows(), &self.events(), &self.bounds(), &Scope::All)
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
        if let Err(error) = std::fs::remove_file(&self.keys) {
            tracing::debug!(%error, "the operator's key could not be removed");
        }
    }
}

fn name(raw: &str) -> Result<Name, Error> {
    Name::try_from(raw).map_err(|findings| Error::Name { findings })
}

/// Returns a place for entry instances in each zone of the plan.
fn places(plan: &Plan) -> Result<Vec<Place>, Error> {
    let place = |zone: &fleet::Zone| {
        Ok(Place { region: zone.region.clone(), domain: zone.domain.clone(), rack: name("entry")? })
    };
    plan.zones.iter().map(place).collect()
}

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
