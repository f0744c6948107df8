//! A cluster for measurements: stand-ins for platform and workers in this process, daemons as child
//! processes, and generated load.

use crate::daemon::{Daemon, ResourceUsage, metric};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::finding::List;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::Place;
use pimentovalve_core::zone::membership::{Instance, Role, State};
use pimentovalve_standin::fleet::{self, Fleet, Plan, Zone};
use pimentovalve_wire::http::Content;
use pimentovalve_wire::http::client::{Call, Client};
use snafu::{ResultExt, Snafu};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Operator key of the daemons, which only ever work with stand-ins.
const OPERATOR_KEY: &str = "bench-operator:only-for-stand-ins-0001";
/// Timeout of one HTTP call to a daemon.
const CALL_TIMEOUT: Millis = Millis::from_secs(10);
/// Longest wait for the cluster to reach an expected state.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two checks of the cluster's state, and before a submission is retried.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Prefix of the ids of urgent jobs; the job's number and its submission time in ms follow.
const URGENT: &str = "urgent-";

/// Why the cluster can't be started or doesn't reach the expected state.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The daemon's executable is not in the directory of this one.
    #[snafu(display("pimentovalved is not built beside this program"))]
    Program,
    /// The stand-ins can't be started.
    #[snafu(display("the stand-ins could not be started: {source}"))]
    Fleet {
        /// Error of the stand-ins.
        source: fleet::Error,
    },
    /// A file, directory or process can't be created.
    #[snafu(display("the system refused: {source}"))]
    System {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A generated name is not valid.
    #[snafu(context(false), display("{source}"))]
    Invalid {
        /// Findings of the name's check.
        source: List,
    },
    /// The cluster did not reach a state within [`CONDITION_TIMEOUT`].
    #[snafu(display("{what} did not come about"))]
    Timeout {
        /// Name of the state.
        what: &'static str,
    },
}

/// Running stand-ins and daemons. Dropping it stops them and removes their files.
pub struct Cluster {
    fleet: Fleet,
    daemons: Vec<Daemon>,
    client: Client,
    runtime: Runtime,
    directory: PathBuf,
    teams: u32,
}

impl Cluster {
    /// Starts stand-ins and daemons, applies a configuration with `teams` teams and waits until the
    /// daemons control all workers.
    pub fn start(
        daemons: usize,
        domains: usize,
        workers: usize,
        teams: u32,
    ) -> Result<Self, Error> {
        let program = Daemon::program().ok_or(Error::Program)?;
        let plan = plan(domains, workers)?;
        let fleet = Fleet::start(&plan).context(FleetSnafu)?;
        let directory =
            std::env::temp_dir().join(format!("pimentovalve-bench-{}", std::process::id()));
        std::fs::create_dir_all(&directory).context(SystemSnafu)?;
        let keys = directory.join("operators.keys");
        std::fs::write(&keys, OPERATOR_KEY).context(SystemSnafu)?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .context(SystemSnafu)?;
        let mut cluster =
            Self { fleet, daemons: Vec::new(), client: Client::new(), runtime, directory, teams };
        for i in 0..daemons {
            cluster.start_daemon(&program, &plan, i)?;
        }
        cluster.configure()?;
        cluster.wait_until("control of all workers", |cluster| {
            cluster.controlled_workers() >= domains * workers
        })?;
        Ok(cluster)
    }

    fn start_daemon(
        &mut self,
        program: &std::path::Path,
        plan: &Plan,
        i: usize,
    ) -> Result<(), Error> {
        let zone = &plan.zones[i % plan.zones.len()];
        let name = Name::try_from(format!("entry-{i}"))?;
        let rack = Name::try_from("entry")?;
        let place = Place { region: zone.region.clone(), domain: zone.domain.clone(), rack };
        let (log, list) = (self.fleet.log.address(), self.fleet.list.address());
        let text = |a: &[SocketAddr; 4]| settings(&name, &place, a, log, list);
        let daemon = Daemon::start(program, &self.directory, text).context(SystemSnafu)?;
        self.fleet.list.register_now(&Instance {
            name: name.clone(),
            role: Role::Entry,
            place,
            address: daemon.addresses[2].to_string(),
            state: State::Live,
            worker: None,
            service: None,
        });
        self.daemons.push(daemon);
        Ok(())
    }

    fn configure(&self) -> Result<(), Error> {
        let mut patch = String::new();
        for (name, shape, class) in [
            ("service", "service", "normal"),
            ("batch", "batch", "deferrable"),
            ("urgent", "batch", "urgent"),
        ] {
            let _ = writeln!(
                patch,
                "[[kinds]]\nname = \"{name}\"\nshape = \"{shape}\"\nseparation = \"move\"\n\
                 class = \"{class}\"\nattempts = 3"
            );
        }
        for team in 0..self.teams {
            let _ = writeln!(
                patch,
                "[[teams]]\nname = \"team-{team}\"\nweight = 1\n\
                 quota = {{ cpu_milli = 2000000, memory_mib = 9000000, accelerators = 100 }}"
            );
        }
        self.wait_until("the configuration", |cluster| {
            let path = "/v1/configuration?base=0";
            cluster.post(0, 1, path, Content::Text, &patch) == Some(200)
        })
    }

    fn wait_until(&self, what: &'static str, holds: impl Fn(&Self) -> bool) -> Result<(), Error> {
        let started = Instant::now();
        while !holds(self) {
            if started.elapsed() > CONDITION_TIMEOUT {
                return Err(Error::Timeout { what });
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends a POST request to a daemon. `listener` is the index into [`Daemon::addresses`]: 0 for
    /// callers, 1 for operators. Returns the status; `None` when there is no answer.
    fn post(
        &self,
        daemon: usize,
        listener: usize,
        path: &str,
        content: Content,
        body: &str,
    ) -> Option<u16> {
        let address = self.daemons[daemon].addresses[listener].to_string();
        let call = Call {
            content,
            key: Some(OPERATOR_KEY),
            ..Call::post(&address, path, body.as_bytes(), CALL_TIMEOUT)
        };
        self.runtime.block_on(self.client.call(call)).ok().map(|r| r.status)
    }

    /// Returns the number of workers that the daemons control, according to their metrics.
    pub fn controlled_workers(&self) -> usize {
        let held = |daemon: &Daemon| {
            let text = daemon.metrics(&self.runtime, &self.client);
            metric(&text, "pimentovalve_workers{", "held").unwrap_or(0)
        };
        usize::try_from(self.daemons.iter().map(held).sum::<u64>()).unwrap_or(usize::MAX)
    }

    /// Returns the resources that each daemon has used since its start.
    pub fn resource_usage(&self) -> Vec<ResourceUsage> {
        self.daemons.iter().map(|d| d.resource_usage(&self.runtime, &self.client)).collect()
    }

    /// Submits jobs with `tasks` tasks in total, which outlast the measurement; a fifth of the jobs
    /// are services.
    pub fn submit_running(&self, tasks: u32, per_job: u32) {
        for i in 0..tasks / per_job {
            let kind = if i % 5 == 0 { "service" } else { "batch" };
            let body = job(&format!("running-{i}"), kind, i % self.teams, per_job, "run_ms=600000");
            self.submit(i as usize, &body);
        }
    }

    fn submit(&self, i: usize, body: &str) -> bool {
        let daemon = i % self.daemons.len();
        (0..20).any(|_| {
            let accepted = self.post(daemon, 0, "/v1/jobs", Content::Json, body) == Some(202);
            if !accepted {
                std::thread::sleep(POLL_INTERVAL);
            }
            accepted
        })
    }

    /// Waits until `tasks` tasks run or the time is up, and returns the number that run.
    pub fn await_running(&self, tasks: u32) -> u32 {
        let started = Instant::now();
        let mut running = 0;
        while running < tasks && started.elapsed() < CONDITION_TIMEOUT {
            running = u32::try_from(self.fleet.observer.summary().running).unwrap_or(u32::MAX);
            std::thread::sleep(POLL_INTERVAL);
        }
        running
    }

    /// Returns the number of attempts that the workers have started.
    pub fn started_attempts(&self) -> usize {
        self.fleet.observer.summary().starts
    }

    /// Submits urgent single-task jobs, `rate` per second, for `time`.
    pub fn submit_urgent_load(&self, rate: f64, time: Duration) {
        let started = Instant::now();
        let count = (rate * time.as_secs_f64()) as u32;
        for i in 0..count {
            let due = Duration::from_secs_f64(f64::from(i) / rate);
            std::thread::sleep(due.saturating_sub(started.elapsed()));
            let sent = millis_now();
            let id = format!("{URGENT}{i}-{sent}");
            self.submit(i as usize, &job(&id, "urgent", i % self.teams, 1, "run_ms=300"));
        }
    }

    /// Returns the median and the 99th percentile of the time from submission to start of the
    /// urgent tasks that started; infinity when none did.
    pub fn urgent_waits_ms(&self) -> (f64, f64) {
        let mut waits: Vec<f64> = Vec::new();
        for span in self.fleet.observer.all_spans() {
            let sent = span.task.job.as_str().strip_prefix(URGENT);
            if let Some(sent) = sent.and_then(|s| s.split_once('-')?.1.parse::<u64>().ok()) {
                waits.push(span.start.since(Millis(sent)).get() as f64);
            }
        }
        waits.sort_by(f64::total_cmp);
        let at = |quantile: f64| {
            let i = (waits.len() as f64 * quantile) as usize;
            waits.get(i.min(waits.len().saturating_sub(1))).copied().unwrap_or(f64::INFINITY)
        };
        (at(0.5), at(0.99))
    }

    /// Returns the number of double runs plus the number of starts beyond a worker's capacity.
    pub fn violations(&self) -> u64 {
        let summary = self.fleet.observer.summary();
        (summary.double_runs + summary.over_capacity) as u64
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.daemons.clear();
        self.fleet.stop();
        // The directory holds only files of this run.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn millis_now() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |s| Millis::from(s).get())
}

fn job(id: &str, kind: &str, team: u32, tasks: u32, payload: &str) -> String {
    serde_json::json!({
        "id": id, "team": format!("team-{team}"), "kind": kind, "tasks": tasks,
        "payload": payload, "needs": {"cpu_milli": 1000, "memory_mib": 2048}, "run_ms": 300,
    })
    .to_string()
}

/// Returns a plan of stand-ins with `domains` failure domains in three regions.
fn plan(domains: usize, workers: usize) -> Result<Plan, Error> {
    let mut plan = Plan::andino(1, 0)?;
    let zone = |i: usize| {
        Ok(Zone {
            region: Name::try_from(format!("region-{}", i % 3))?,
            domain: Name::try_from(format!("domain-{i}"))?,
            workers,
            capacity: Capacity::new(32_000, 128 * 1024, 2),
            runners: 0,
            service: Name::try_from("retention-engine")?,
        })
    };
    plan.zones = (0..domains).map(zone).collect::<Result<_, List>>()?;
    Ok(plan)
}

fn settings(
    name: &Name,
    place: &Place,
    addresses: &[SocketAddr; 4],
    log: SocketAddr,
    list: SocketAddr,
) -> String {
    let Place { region, domain, rack } = place;
    let [callers, operators, peers, metrics] = addresses;
    format!(
        "name = \"{name}\"\noperator_keys = \"operators.keys\"\nlog_level = \"error\"\n\
         [place]\nregion = \"{region}\"\ndomain = \"{domain}\"\nrack = \"{rack}\"\n\
         [listen]\ncallers = \"{callers}\"\noperators = \"{operators}\"\npeers = \"{peers}\"\n\
         metrics = \"{metrics}\"\n\
         [platform]\nlog = \"{log}\"\nlist = \"{list}\"\nlist_lag_ms = 5000\n\
         retention_ms = 3600000\n"
    )
}
