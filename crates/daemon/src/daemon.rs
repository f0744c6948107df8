//! One daemon: starts its duties, connects them by rings, and stops them in order.

pub(crate) mod stage;

use crate::duty::control::Control;
use crate::duty::dispatch::Dispatch;
use crate::duty::gossip::Gossip;
use crate::duty::ledger::Ledger;
use crate::duty::steward::Stewardship;
use crate::duty::watch::Watch;
use crate::duty::{self, Duty};
use crate::front::caller::Caller;
use crate::front::monitor::Monitor;
use crate::front::operator::Operator;
use crate::front::peer::Peer;
use crate::front::{self, Front, bind};
use crate::journal::Sink;
use crate::metrics::{self, Metrics};
use crate::platform::http::{Machine, Service};
use crate::platform::observed::Observed;
use crate::ring::{self, Latest, Publisher, Receiver, Sender};
use crate::route::Route;
use crate::settings::Settings;
use crate::telemetry::Telemetry;
use crate::view::{self, ControlledWorkers, LedgerView, Members, SchedulerStats};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::planner::Planner;
use pimentovalve_core::contract::planner::weighted::Weighted;
use pimentovalve_core::contract::steward::{self, Steward};
use pimentovalve_core::finding::List;
use pimentovalve_core::link::dispatcher::{self, Dispatcher};
use pimentovalve_core::machine::controller::{self, Controller};
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use pimentovalve_core::zone::membership::{Instance, Membership, Role, State};
use pimentovalve_wire::http::Handler;
use pimentovalve_wire::http::client::Client;
use pimentovalve_wire::http::keys::Keys;
use pimentovalve_wire::http::traffic::Traffic;
use pimentovalve_wire::peer::Ping;
use snafu::{ResultExt, Snafu};
use stage::ShutdownStage;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Longest time for which a planned stop waits for the handover of its workers.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a planned stop checks whether the handover is complete.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Number of reads of an idle stream within the currency bound that lease renewals depend on.
const READS_PER_CURRENCY: u64 = 4;

/// Why a daemon cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A front cannot listen.
    #[snafu(context(false), display("{source}"))]
    Front {
        /// The failed front, and the reason.
        source: front::Error,
    },
    /// The bound address of a front cannot be determined.
    #[snafu(display("cannot determine the listening addresses: {source}"))]
    Addresses {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A duty cannot be started.
    #[snafu(context(false), display("{source}"))]
    Duty {
        /// The failed duty, and the reason.
        source: duty::Error,
    },
    /// Metrics cannot be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// Error of the exporter.
        source: metrics::Error,
    },
    /// A key file that the settings name cannot be used.
    #[snafu(display("{findings}"))]
    Keys {
        /// All faults of the file.
        findings: List,
    },
}

/// The bound addresses of a daemon. They differ from the settings where those name port 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Jobs and requests of callers.
    pub callers: SocketAddr,
    /// Configuration, ledger records and releases, for operators.
    pub operators: SocketAddr,
    /// Messages of other daemons.
    pub peers: SocketAddr,
    /// Metrics and health checks.
    pub metrics: SocketAddr,
}

/// A running daemon.
pub struct Daemon {
    name: Name,
    addresses: Addresses,
    drain: CancellationToken,
    /// In the order in which a planned stop ends them.
    stages: [ShutdownStage; 4],
    controlled: Latest<ControlledWorkers>,
    members: Latest<Arc<Members>>,
    telemetry: Telemetry,
    drain_time: Duration,
}

/// Both ends of the rings and views that connect the duties.
struct Wiring {
    ledger_view: (Publisher<LedgerView>, Latest<LedgerView>),
    members: (Publisher<Arc<Members>>, Latest<Arc<Members>>),
    controlled: (Publisher<ControlledWorkers>, Latest<ControlledWorkers>),
    scheduler_stats: (Publisher<SchedulerStats>, Latest<SchedulerStats>),
    gossip: (Sender<Ping>, Receiver<Ping>),
    ledger: (Sender<duty::ledger::Command>, Receiver<duty::ledger::Command>),
    steward: (Sender<duty::steward::Event>, Receiver<duty::steward::Event>),
    control: (Sender<duty::control::Event>, Receiver<duty::control::Event>),
    dispatch: (Sender<duty::dispatch::Event>, Receiver<duty::dispatch::Event>),
    /// Byte counters by the kind of remote end.
    traffic: [(&'static str, Arc<Traffic>); 6],
}

struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
    metrics: TcpListener,
}

impl Daemon {
    /// Starts a daemon. The events of its timeline go to `sink`.
    ///
    /// # Errors
    ///
    /// As [`Self::start_with`].
    pub fn start(settings: &Settings, sink: Arc<dyn Sink>) -> Result<Self, Error> {
        let planner = Weighted::new(&settings.name, settings.place.clone());
        Self::start_with(settings, Box::new(planner), sink)
    }

    /// As [`Self::start`], with another placement policy.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound, a thread cannot be started, a key file is
    /// not valid, or metrics cannot be set up.
    pub fn start_with(
        settings: &Settings,
        planner: Box<dyn Planner>,
        sink: Arc<dyn Sink>,
    ) -> Result<Self, Error> {
        let listeners = Listeners::bind(settings)?;
        let addresses = listeners.addresses().context(AddressesSnafu)?;
        let name = settings.name.clone();
        let duty = static_name("daemon");
        let process = process_name(&name);
        let (telemetry, writer) = Telemetry::new(process, duty, settings.ring, sink);
        let own = own_instance(settings, addresses.peers);
        let wiring = Wiring::new(settings.ring, &own);
        let drain = CancellationToken::new();
        let BackDuties { dispatch, others } =
            back_duties(settings, planner, &wiring, own, &telemetry, &drain)?;
        let (controlled, members) = (wiring.controlled.1.clone(), wiring.members.1.clone());
        let fronts = fronts(settings, listeners, &wiring, &telemetry)?;
        let mut daemon = Self {
            name,
            addresses,
            drain,
            stages: ShutdownStage::all(),
            controlled,
            members,
            telemetry,
            drain_time: Duration::from(settings.timing.drain_ms),
        };
        daemon.telemetry.note(What::ProcessStarted);
        let [front, peer, requests, back] = &mut daemon.stages;
        back.start(Box::new(writer))?;
        for duty in others {
            back.start(duty)?;
        }
        requests.start(dispatch)?;
        let [callers, operators, peers, monitors] = fronts;
        back.start(monitors)?;
        peer.start(peers)?;
        front.start(callers)?;
        front.start(operators)?;
        Ok(daemon)
    }

    /// Returns the name of the instance from its settings.
    pub const fn name(&self) -> &Name {
        &self.name
    }

    /// Returns the bound addresses.
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Returns whether a duty has ended unexpectedly. The daemon is then shutting down and must be
    /// replaced.
    pub fn has_failed(&self) -> bool {
        self.stages.iter().any(|stage| stage.tokens.kill.is_cancelled())
    }

    /// Performs a planned stop: hands over workers and partitions, completes the requests in
    /// flight, then ends all duties.
    pub fn stop(mut self) {
        self.telemetry.note(What::DrainStarted);
        self.drain.cancel();
        std::thread::sleep(self.drain_time);
        let started = Instant::now();
        while self.has_workers_to_hand_over() && started.elapsed() < HANDOVER_TIMEOUT {
            std::thread::sleep(HANDOVER_POLL_INTERVAL);
        }
        let [front, peer, requests, back] = &mut self.stages;
        for stage in [front, peer, requests] {
            stage.stop();
        }
        self.telemetry.note(What::Drained);
        back.stop();
    }

    /// Returns whether this instance still controls workers that another one could adopt.
    fn has_workers_to_hand_over(&self) -> bool {
        !self.controlled.borrow().workers.is_empty() && !self.members.borrow().candidates.is_empty()
    }

    /// Suspends or resumes all threads, as in a pause of the process.
    pub fn set_paused(&self, on: bool) {
        for stage in &self.stages {
            stage.tokens.freeze.set(on);
        }
    }

    /// Aborts all duties without completing anything, as in a crash of the process.
    pub fn kill(mut self) {
        for stage in &self.stages {
            stage.tokens.kill.cancel();
        }
        self.set_paused(false);
        for stage in &mut self.stages {
            stage.join();
        }
    }
}

fn static_name(name: &str) -> Name {
    Name::try_from(name).unwrap_or_else(|_| unreachable!("{name} is a valid name"))
}

fn own_instance(settings: &Settings, peers: SocketAddr) -> Instance {
    Instance {
        name: settings.name.clone(),
        role: Role::Entry,
        place: settings.place.clone(),
        address: peers.to_string(),
        state: State::Live,
        worker: None,
        service: None,
    }
}

impl Wiring {
    fn new(places: usize, own: &Instance) -> Self {
        Self {
            ledger_view: ring::latest(LedgerView::default()),
            members: ring::latest(Arc::new(Members::alone(own.clone()))),
            controlled: ring::latest(ControlledWorkers::default()),
            scheduler_stats: ring::latest(SchedulerStats::default()),
            gossip: ring::ring(places),
            ledger: ring::ring(places),
            steward: ring::ring(places),
            control: ring::ring(places),
            dispatch: ring::ring(places),
            traffic: ["platform", "machines", "peers", "callers", "operators", "monitors"]
                .map(|with| (with, Arc::default())),
        }
    }

    /// Returns the byte counters for one kind of remote end.
    fn traffic(&self, with: &str) -> Arc<Traffic> {
        let found = self.traffic.iter().find(|(name, _)| *name == with);
        found.map_or_else(Arc::default, |(_, traffic)| Arc::clone(traffic))
    }

    fn sources(&self) -> metrics::Sources {
        metrics::Sources {
            ledger_view: self.ledger_view.1.clone(),
            members: self.members.1.clone(),
            controlled: self.controlled.1.clone(),
            scheduler_stats: self.scheduler_stats.1.clone(),
            rings: vec![
                ("gossip", Box::new(self.gossip.0.clone())),
                ("ledger", Box::new(self.ledger.0.clone())),
                ("steward", Box::new(self.steward.0.clone())),
                ("control", Box::new(self.control.0.clone())),
                ("dispatch", Box::new(self.dispatch.0.clone())),
            ],
            traffic: self.traffic.to_vec(),
        }
    }

    fn route(&self, settings: &Settings, key: Option<String>) -> Route {
        Route {
            steward: self.steward.0.clone(),
            members: self.members.1.clone(),
            partitions: settings.partitions,
            key,
            client: Arc::new(Client::counted(self.traffic("peers"))),
        }
    }
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, Error> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind("callers", listen.callers)?,
            operators: bind("operators", listen.operators)?,
            peers: bind("peers", listen.peers)?,
            metrics: bind("metrics", listen.metrics)?,
        })
    }

    fn addresses(&self) -> std::io::Result<Addresses> {
        Ok(Addresses {
            callers: self.callers.local_addr()?,
            operators: self.operators.local_addr()?,
            peers: self.peers.local_addr()?,
            metrics: self.metrics.local_addr()?,
        })
    }
}

fn peer_keys(settings: &Settings) -> Result<(Option<Keys>, Option<String>), Error> {
    let keys = settings.peer_key.as_deref().map(Keys::read).transpose();
    let keys = keys.map_err(|findings| Error::Keys { findings })?;
    let bearer = keys.as_ref().and_then(|k| k.only()).map(|k| k.bearer());
    Ok((keys, bearer))
}

/// The duties behind the fronts.
struct BackDuties {
    dispatch: Box<dyn Duty>,
    others: Vec<Box<dyn Duty>>,
}

fn back_duties(
    settings: &Settings,
    planner: Box<dyn Planner>,
    wiring: &Wiring,
    own: Instance,
    telemetry: &Telemetry,
    drain: &CancellationToken,
) -> Result<BackDuties, Error> {
    let (_, key) = peer_keys(settings)?;
    let timing = &settings.timing;
    let platform = &settings.platform;
    let service = || {
        let traffic = wiring.traffic("platform");
        Arc::new(Service::new(&platform.log, &platform.list, timing.log_ms, traffic))
    };
    let gossip = Gossip {
        traffic: wiring.traffic("peers"),
        membership: Membership::new(
            own,
            platform.list_lag_ms + timing.list_ms + timing.log_ms,
            timing.suspicion_ms,
        ),
        list: service(),
        list_interval: timing.list_ms,
        ping_interval: timing.ping_ms,
        skew: settings.bounds.skew_ms,
        key: key.clone(),
        ledger_view: wiring.ledger_view.1.clone(),
        ledger: wiring.ledger.0.clone(),
        members: wiring.members.0.clone(),
        pings: wiring.gossip.1.clone(),
        scheduler_stats: wiring.scheduler_stats.1.clone(),
        steward: wiring.steward.0.clone(),
        drain: drain.clone(),
    };
    let ledger = Ledger {
        writer: writer_name(&settings.name, "ledger"),
        log: service(),
        partitions: settings.partitions,
        retention: platform.retention_ms,
        read_wait: Millis(settings.bounds.currency_ms.get() / READS_PER_CURRENCY),
        commands: wiring.ledger.1.clone(),
        steward: wiring.steward.0.clone(),
        members: wiring.members.1.clone(),
        ledger_view: wiring.ledger_view.0.clone(),
    };
    let steward = steward_duty(settings, planner, wiring, telemetry, key.clone());
    let control = control_duty(settings, wiring, telemetry, key.clone());
    let dispatch = Dispatch {
        traffic: wiring.traffic("peers"),
        dispatcher: Dispatcher::new(settings.place.clone(), dispatcher_config(settings)),
        runner: Arc::new(Observed::new(
            Arc::new(Machine::new(timing.log_ms, wiring.traffic("machines"))),
            telemetry.of(&static_name("dispatch")),
        )),
        route: wiring.route(settings, key),
        events: wiring.dispatch.1.clone(),
        members: wiring.members.1.clone(),
        ledger_view: wiring.ledger_view.1.clone(),
        controlled: wiring.controlled.1.clone(),
        telemetry: telemetry.of(&static_name("dispatch")),
    };
    let watch = Watch {
        term: timing.term_ms,
        members: wiring.members.1.clone(),
        ledger_view: wiring.ledger_view.1.clone(),
        telemetry: telemetry.of(&static_name("watch")),
    };
    let others: Vec<Box<dyn Duty>> = vec![
        Box::new(watch),
        Box::new(gossip),
        Box::new(ledger),
        Box::new(steward),
        Box::new(control),
    ];
    Ok(BackDuties { dispatch: Box::new(dispatch), others })
}

/// Derives the dispatcher's times from the time after which a controller regards a worker as
/// unresponsive. Until then it may reserve the worker's slots.
fn dispatcher_config(settings: &Settings) -> dispatcher::Config {
    let term = settings.timing.heartbeat_ms + settings.timing.suspicion_ms;
    let settle = term + settings.bounds.skew_ms;
    dispatcher::Config { term, settle, ..dispatcher::Config::default() }
}

fn steward_duty(
    settings: &Settings,
    planner: Box<dyn Planner>,
    wiring: &Wiring,
    telemetry: &Telemetry,
    key: Option<String>,
) -> Stewardship {
    let config = steward::Config {
        partitions: settings.partitions,
        bounds: settings.bounds,
        window: settings.platform.retention_ms,
        ..steward::Config::default()
    };
    Stewardship {
        traffic: wiring.traffic("peers"),
        steward: Steward::new(writer_name(&settings.name, "steward"), config, planner),
        term: settings.timing.term_ms,
        key,
        events: wiring.steward.1.clone(),
        control: wiring.control.0.clone(),
        ledger: wiring.ledger.0.clone(),
        members: wiring.members.1.clone(),
        ledger_view: wiring.ledger_view.1.clone(),
        telemetry: telemetry.of(&static_name("steward")),
        scheduler_stats: wiring.scheduler_stats.0.clone(),
    }
}

fn control_duty(
    settings: &Settings,
    wiring: &Wiring,
    telemetry: &Telemetry,
    key: Option<String>,
) -> Control {
    let timing = &settings.timing;
    let config = controller::Config {
        bounds: settings.bounds,
        suspicion: timing.heartbeat_ms + timing.suspicion_ms,
        loss: timing.loss_ms,
        pause: Millis(500),
    };
    Control {
        traffic: wiring.traffic("peers"),
        controller: Controller::new(settings.name.clone(), config),
        worker: Arc::new(Observed::new(
            Arc::new(Machine::new(timing.log_ms, wiring.traffic("machines"))),
            telemetry.of(&static_name("control")),
        )),
        heartbeat: timing.heartbeat_ms,
        partitions: settings.partitions,
        key,
        events: wiring.control.1.clone(),
        steward: wiring.steward.0.clone(),
        ledger: wiring.ledger.0.clone(),
        members: wiring.members.1.clone(),
        ledger_view: wiring.ledger_view.1.clone(),
        controlled: wiring.controlled.0.clone(),
    }
}

/// Returns the name of this start of the instance, for the timeline.
fn process_name(name: &Name) -> Name {
    Name::try_from(format!("{name}.{:x}", view::now().get())).unwrap_or_else(|_| name.clone())
}

/// Returns the writer name of a duty in ledger records. It contains the start time, because it must
/// be unique for each start of the instance.
fn writer_name(name: &Name, duty: &str) -> Name {
    let full = format!("{name}.{duty}.{:x}", view::now().get());
    Name::try_from(full).unwrap_or_else(|_| name.clone())
}

fn fronts(
    settings: &Settings,
    listeners: Listeners,
    wiring: &Wiring,
    telemetry: &Telemetry,
) -> Result<[Box<dyn Duty>; 4], Error> {
    let (keys, key) = peer_keys(settings)?;
    let operators = match &settings.operator_keys {
        Some(path) => Keys::read(path).map_err(|findings| Error::Keys { findings })?,
        None => Keys::default(),
    };
    let caller = Caller {
        route: wiring.route(settings, key.clone()),
        dispatch: wiring.dispatch.0.clone(),
        telemetry: telemetry.of(&static_name("callers")),
    };
    let operator = Operator {
        keys: operators,
        route: wiring.route(settings, key.clone()),
        ledger: wiring.ledger.0.clone(),
        ledger_view: wiring.ledger_view.1.clone(),
        partitions: settings.partitions,
    };
    let peer = Peer {
        keys,
        route: wiring.route(settings, key),
        gossip: wiring.gossip.0.clone(),
        scheduler_stats: wiring.scheduler_stats.1.clone(),
        control: wiring.control.0.clone(),
        dispatch: wiring.dispatch.0.clone(),
        members: wiring.members.1.clone(),
        ledger_view: wiring.ledger_view.1.clone(),
    };
    let monitor = Monitor {
        term: settings.timing.term_ms,
        members: wiring.members.1.clone(),
        ledger_view: wiring.ledger_view.1.clone(),
        metrics: Metrics::new(wiring.sources()).context(MetricsSnafu)?,
    };
    let front = |name, listener: TcpListener, handler: Arc<dyn Handler>| {
        let traffic = wiring.traffic(name);
        let front = Front::new(name, listener, settings.limits, traffic, handler)?;
        Ok::<Box<dyn Duty>, Error>(Box::new(front))
    };
    Ok([
        front("callers", listeners.callers, Arc::new(caller))?,
        front("operators", listeners.operators, Arc::new(operator))?,
        front("peers", listeners.peers, Arc::new(peer))?,
        front("monitors", listeners.metrics, Arc::new(monitor))?,
    ])
}
