//! A complete platform on loopback: log, instance list, workers and runners.

use crate::fault::{Fault, FaultInjection};
use crate::list::List;
use crate::log::{Log, Retention};
use crate::observer::Observer;
use crate::runner::Runner;
use crate::server::{ANY_PORT, Server};
use crate::worker::{FleetContext, Worker};
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

/// Number of workers in one rack.
pub const RACK_SIZE: usize = 8;

/// The machines of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Region in which the failure domain lies.
    pub region: Name,
    /// Name of the failure domain; the names of its racks, workers and runners contain it.
    pub domain: Name,
    /// Number of workers, in racks of [`RACK_SIZE`].
    pub workers: usize,
    /// Capacity of each worker.
    pub capacity: Capacity,
    /// Number of runners, assigned to the workers in turn.
    pub runners: usize,
    /// Service that the runners serve.
    pub service: Name,
}

/// Configuration of a [`Fleet`]: its listen addresses, lags and machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Listen address of the log service.
    pub log: SocketAddr,
    /// Listen address of the instance list.
    pub list: SocketAddr,
    /// Retention of each stream of the log.
    pub retention: Retention,
    /// Delay after which the instance list publishes a change.
    pub list_lag: Millis,
    /// Delay after which workers report a changed usage.
    pub usage_lag: Millis,
    /// Failure domains with their machines.
    pub zones: Vec<Zone>,
    /// Instances to list from the start, in addition to the fleet's workers and runners.
    pub entries: Vec<Instance>,
}

impl Plan {
    /// Returns the regions and failure domains of Archivo Andino Digital, on free ports, with the
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

    /// Returns the regions and failure domains of the Hooghly board, as [`Self::andino`] does.
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

/// An error that prevents a fleet from starting.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The operating system refused a thread or a listener.
    #[snafu(display("could not start {what}: {source}"))]
    System {
        /// Thread, service or machine that failed to start.
        what: String,
        /// Error returned by the operating system.
        source: io::Error,
    },
    /// A name generated from the names of a zone is invalid, for example too long.
    #[snafu(display("invalid machine or rack name: {findings}"))]
    Name {
        /// Rules that the name violates.
        findings: finding::List,
    },
}

/// Addresses of all the parts of a fleet.
#[derive(Clone, Debug, Serialize)]
pub struct Addresses {
    /// Main listener of the log service.
    pub log: SocketAddr,
    /// Main listener of the instance list.
    pub list: SocketAddr,
    /// Workers and runners, in the order in which they were started.
    pub instances: Vec<Instance>,
}

/// A running platform. Dropping it stops all its parts.
pub struct Fleet {
    /// The append-only log service.
    pub log: Log,
    /// The instance list, which publishes changes with a lag.
    pub list: List,
    /// Workers with their names, sorted by name.
    pub workers: Vec<(Name, Worker)>,
    /// Runners with their names, sorted by name.
    pub runners: Vec<(Name, Runner)>,
    /// Record of what the workers and runners executed.
    pub observer: Arc<Observer>,
    /// List entries of the workers and runners, in the order in which they were started.
    instances: Vec<Instance>,
    /// Thread of the log and the instance list.
    platform: Server,
    worker_server: Server,
    runner_server: Server,
}

impl Fleet {
    /// Starts all parts, and lists the instances immediately, without the lag.
    ///
    /// # Errors
    ///
    /// Returns an error when no thread or port is available, an address is in use, or the names of
    /// a zone are too long to generate the names of its machines.
    pub fn start(plan: &Plan) -> Result<Self, Error> {
        let server = |name: &str| Server::start(name).context(SystemSnafu { what: name });
        let platform = server("standin-platform")?;
        let log = Log::start(&platform, plan.log, plan.retention)
            .context(SystemSnafu { what: "the log service" })?;
        let list = List::start(&platform, plan.list, plan.list_lag)
            .context(SystemSnafu { what: "the instance list" })?;
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
        let context =
            FleetContext { observer, checkpoints: Arc::default(), usage_lag: plan.usage_lag };
        for zone in &plan.zones {
            let workers = fleet.start_workers(zone, &context)?;
            fleet.start_runners(zone, &workers)?;
        }
        fleet.workers.sort_by(|a, b| a.0.cmp(&b.0));
        fleet.runners.sort_by(|a, b| a.0.cmp(&b.0));
        for instance in fleet.instances.iter().chain(&plan.entries) {
            fleet.list.register_now(instance);
        }
        Ok(fleet)
    }

    fn start_workers(
        &mut self,
        zone: &Zone,
        context: &FleetContext,
    ) -> Result<Vec<(Name, Place)>, Error> {
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
            let worker = Worker::start(&self.worker_server, worker, context.clone())
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

    /// Returns the addresses of all parts.
    pub fn addresses(&self) -> Addresses {
        Addresses {
            log: self.log.address(),
            list: self.list.address(),
            instances: self.instances.clone(),
        }
    }

    /// Returns the server thread of the log and the instance list, for more listeners.
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

    /// Marks a worker or runner as leaving, both on the machine and in the instance list. Returns
    /// whether it exists.
    pub fn leave(&self, name: &str) -> bool {
        self.inject(name, Fault::Leave)
    }

    /// Injects a fault into `log`, `list` or the named worker or runner. Returns whether the
    /// target exists and supports the fault.
    pub fn inject(&self, target: &str, fault: Fault) -> bool {
        let standin: Option<&dyn FaultInjection> = match target {
            "log" => Some(&self.log),
            "list" => Some(&self.list),
            name => match (self.worker(name), self.runner(name)) {
                (Some(worker), _) => Some(worker),
                (None, Some(runner)) => Some(runner),
                (None, None) => None,
            },
        };
        let injected = standin.is_some_and(|standin| standin.inject(fault));
        if injected && fault == Fault::Leave {
            self.list.leave(target);
        }
        injected
    }

    /// Stops all parts; requests in flight are aborted.
    pub fn stop(&mut self) {
        self.runner_server.stop();
        self.worker_server.stop();
        self.platform.stop();
    }
}

fn name(raw: &str) -> Result<Name, Error> {
    Name::try_from(raw).map_err(|findings| Error::Name { findings })
}
