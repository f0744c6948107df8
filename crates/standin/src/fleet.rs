//! A whole platform on loopback: log, list, workers and runners.

use crate::fault::{Fault, FaultInjection};
use crate::list::List;
use crate::log::{Log, Retention};
use crate::observer::Observer;
use crate::runner::Runner;
use crate::server::{ANY_PORT, Server};
use crate::worker::{Shared, Worker};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::{runner, worker};
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::Place;
use pimentovalve_core::zone::membership::{Instance, Role, State};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

#[cfg(test)]
mod tests;

/// Workers in one rack.
pub const RACK_SIZE: usize = 8;

/// The machines of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Region.
    pub region: Name,
    /// Failure domain.
    pub domain: Name,
    /// Number of workers, in racks of [`RACK_SIZE`].
    pub workers: usize,
    /// Capacity of each worker.
    pub capacity: Capacity,
    /// Number of runners, spread over the workers.
    pub runners: usize,
    /// Service that the runners serve.
    pub service: Name,
}

/// What to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// How long the log keeps entries.
    pub retention: Retention,
    /// Time by which the list lags.
    pub list_lag: Millis,
    /// Time by which reported usage lags.
    pub usage_lag: Millis,
    /// Failure domains.
    pub zones: Vec<Zone>,
    /// Instances that are listed from the start beside the fleet's own.
    pub entries: Vec<Instance>,
}

impl Plan {
    /// Returns the places of Archivo Andino Digital, on ports that the system chooses, with the
    /// given numbers of workers and runners in each failure domain.
    ///
    /// # Errors
    ///
    /// Never in practice: the names are valid.
    pub fn andino(workers: usize, runners: usize) -> Result<Self, finding::List> {
        let places = [("lima", "lima-a"), ("arequipa", "arequipa-a"), ("trujillo", "trujillo-a")];
        let capacity = Capacity::new(32_000, 128 * 1024, 0);
        Self::new(&places, "retention-engine", capacity, workers, runners)
    }

    /// Returns the places of the Hooghly board, as [`Self::andino`] does.
    ///
    /// # Errors
    ///
    /// Never in practice: the names are valid.
    pub fn lifebuoy(workers: usize, runners: usize) -> Result<Self, finding::List> {
        let places = [
            ("kolkata-north", "baghbazar"),
            ("howrah-bank", "shibpur"),
            ("sundarban-edge", "canning"),
        ];
        let capacity = Capacity::new(32_000, 64 * 1024, 0);
        Self::new(&places, "buoycheck", capacity, workers, runners)
    }

    fn new(
        places: &[(&str, &str)],
        service: &str,
        capacity: Capacity,
        workers: usize,
        runners: usize,
    ) -> Result<Self, finding::List> {
        let zone = |(region, domain): &(&str, &str)| {
            Ok(Zone {
                region: Name::try_from(*region)?,
                domain: Name::try_from(*domain)?,
                workers,
                capacity,
                runners,
                service: Name::try_from(service)?,
            })
        };
        Ok(Self {
            log: ANY_PORT,
            list: ANY_PORT,
            retention: Retention::default(),
            list_lag: Millis(500),
            usage_lag: Millis(500),
            zones: places.iter().map(zone).collect::<Result<_, finding::List>>()?,
            entries: Vec::new(),
        })
    }
}

/// Why a fleet could not be started.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The system refused a thread or a listener.
    #[snafu(display("{what} could not be started: {source}"))]
    System {
        /// What was to be started.
        what: String,
        /// The system's error.
        source: io::Error,
    },
    /// A name made from a zone's names is not valid.
    #[snafu(display("a name is not valid: {findings}"))]
    Name {
        /// What is wrong.
        findings: finding::List,
    },
}

/// Where everything listens.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// The log service.
    pub log: SocketAddr,
    /// The instance list.
    pub list: SocketAddr,
    /// Workers and runners.
    pub instances: Vec<Instance>,
}

/// The running platform. Dropping it stops everything.
pub struct Fleet {
    /// The log service.
    pub log: Log,
    /// The instance list.
    pub list: List,
    /// Workers with their names, sorted by name.
    pub workers: Vec<(Name, Worker)>,
    /// Runners with their names, sorted by name.
    pub runners: Vec<(Name, Runner)>,
    /// What really happened.
    pub observer: Arc<Observer>,
    /// Rows of the workers and runners, in the order of their start.
    instances: Vec<Instance>,
    /// Threads for the platform's services, the workers and the runners.
    platform: Server,
    worker_server: Server,
    runner_server: Server,
}

impl Fleet {
    /// Starts everything, and lists it without lag.
    ///
    /// # Errors
    ///
    /// Returns an error when the system has no further thread or port, an address is taken, or a
    /// zone's names are too long to make names of machines.
    pub fn start(plan: &Plan) -> Result<Self, Error> {
        let server = |name: &str| Server::start(name).context(SystemSnafu { what: name });
        let platform = server("standin-platform")?;
        let log = Log::start(&platform, plan.log, plan.retention)
            .context(SystemSnafu { what: "the log" })?;
        let list = List::start(&platform, plan.list, plan.list_lag)
            .context(SystemSnafu { what: "the list" })?;
        let observer = Arc::<Observer>::default();
        let mut fleet = Self {
            log,
            list,
            workers: Vec::new(),
            runners: Vec::new(),
            observer: Arc::clone(&observer),
            instances: Vec::new(),
            platform,
            worker_server: server("standin-workers")?,
            runner_server: server("standin-runners")?,
        };
        let shared = Shared { observer, checkpoints: Arc::default(), usage_lag: plan.usage_lag };
        for zone in &plan.zones {
            let workers = fleet.start_workers(zone, &shared)?;
            fleet.start_runners(zone, &workers)?;
        }
        fleet.workers.sort_by(|a, b| a.0.cmp(&b.0));
        fleet.runners.sort_by(|a, b| a.0.cmp(&b.0));
        for instance in fleet.instances.iter().chain(&plan.entries) {
            fleet.list.show(instance);
        }
        Ok(fleet)
    }

    fn start_workers(&mut self, zone: &Zone, shared: &Shared) -> Result<Vec<(Name, Place)>, Error> {
        let mut started = Vec::new();
        for i in 0..zone.workers {
            let name = name(&format!("{}-w{:02}", zone.domain, i + 1))?;
            let place = Place {
                region: zone.region.clone(),
                domain: zone.domain.clone(),
                rack: self::name(&format!("{}-r{}", zone.domain, i / RACK_SIZE + 1))?,
            };
            let worker = worker::Worker {
                name: name.clone(),
                place: place.clone(),
                capacity: zone.capacity,
            };
            let worker = Worker::start(&self.worker_server, worker, shared.clone())
                .with_context(|_| SystemSnafu { what: name.as_str() })?;
            self.instances.push(Instance {
                name: name.clone(),
                role: Role::Worker,
                place: place.clone(),
                address: worker.address().to_string(),
                state: State::Live,
                worker: None,
                service: None,
            });
            self.workers.push((name.clone(), worker));
            started.push((name, place));
        }
        Ok(started)
    }

    fn start_runners(&mut self, zone: &Zone, workers: &[(Name, Place)]) -> Result<(), Error> {
        for (i, (worker, place)) in workers.iter().cycle().take(zone.runners).enumerate() {
            let name = name(&format!("{}-{}-{:02}", zone.service, zone.domain, i + 1))?;
            let runner = runner::Runner {
                name: name.clone(),
                service: zone.service.clone(),
                worker: worker.clone(),
                place: place.clone(),
                limits: runner::Limits::default(),
            };
            let runner = Runner::start(&self.runner_server, runner, &self.observer)
                .with_context(|_| SystemSnafu { what: name.as_str() })?;
            self.instances.push(Instance {
                name: name.clone(),
                role: Role::Runner,
                place: place.clone(),
                address: runner.address().to_string(),
                state: State::Live,
                worker: Some(worker.clone()),
                service: Some(zone.service.clone()),
            });
            self.runners.push((name, runner));
        }
        Ok(())
    }

    /// Returns where everything listens.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            log: self.log.address(),
            list: self.list.address(),
            instances: self.instances.clone(),
        }
    }

    /// Returns the thread of the platform's services, for further listeners.
    pub const fn platform(&self) -> &Server {
        &self.platform
    }

    /// Returns the worker with the given name.
    pub fn worker(&self, name: &str) -> Option<&Worker> {
        let i = self.workers.binary_search_by(|(n, _)| n.as_str().cmp(name)).ok()?;
        Some(&self.workers[i].1)
    }

    /// Returns the runner with the given name.
    pub fn runner(&self, name: &str) -> Option<&Runner> {
        let i = self.runners.binary_search_by(|(n, _)| n.as_str().cmp(name)).ok()?;
        Some(&self.runners[i].1)
    }

    /// Makes a worker or runner leave, itself and in the list. Returns whether there is one.
    pub fn leave(&self, name: &str) -> bool {
        self.switch(name, Fault::Leave)
    }

    /// Switches a fault of `log`, `list` or the named worker or runner. Returns whether there is
    /// such a stand-in and it knows the fault.
    pub fn switch(&self, target: &str, fault: Fault) -> bool {
        let found: Option<&dyn FaultInjection> = match target {
            "log" => Some(&self.log),
            "list" => Some(&self.list),
            name => match (self.worker(name), self.runner(name)) {
                (Some(worker), _) => Some(worker),
                (None, Some(runner)) => Some(runner),
                (None, None) => None,
            },
        };
        let known = found.is_some_and(|standin| standin.inject(fault));
        if known && fault == Fault::Leave {
            self.list.leave(target);
        }
        known
    }

    /// Stops everything at once.
    pub fn stop(&mut self) {
        self.runner_server.stop();
        self.worker_server.stop();
        self.platform.stop();
    }
}

fn name(raw: &str) -> Result<Name, Error> {
    Name::try_from(raw).map_err(|findings| Error::Name { findings })
}
