//! Fleets and work of both customers, drawn from a seed.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::contract::configuration::{Configuration, Patch, Weights};
use pimentovalve_core::contract::job::Job;
use pimentovalve_core::contract::kind::{Kind, Separation, Shape};
use pimentovalve_core::contract::team::Team;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::Worker;
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::Place;
use rand::{Rng, RngExt};
use rand_distr::{Distribution, LogNormal};

/// Workers of a rack.
const WORKERS_PER_RACK: usize = 8;
/// Accelerators of a worker that has any.
pub const ACCELERATORS_PER_WORKER: u64 = 8;

/// Whose weightings and machines are taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Customer {
    /// Archivo Andino Digital, which weighs packing and control cost more.
    Andino,
    /// The Hooghly Riverside board, which weighs waiting time more.
    Board,
}

impl Customer {
    /// Returns the customer's weights of placement.
    pub const fn weights(self) -> Weights {
        match self {
            Self::Andino => Weights { packing: 80, waiting: 40, spread: 50, locality: 80 },
            Self::Board => Weights { packing: 40, waiting: 100, spread: 50, locality: 50 },
        }
    }

    /// Returns the memory of the customer's workers in mebibytes.
    const fn memory_mib(self) -> u64 {
        match self {
            Self::Andino => 128 * 1024,
            Self::Board => 64 * 1024,
        }
    }
}

/// Returns a checked name.
pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("a generated name is valid")
}

/// Returns a fleet over `domains` failure domains in three regions; the last workers of each
/// domain have accelerators, `accelerators` in all.
pub fn fleet(customer: Customer, workers: usize, domains: usize, accelerators: u64) -> Vec<Worker> {
    let accelerated = usize::try_from(accelerators / ACCELERATORS_PER_WORKER).unwrap_or(0);
    (0..workers)
        .map(|i| {
            let domain = i % domains;
            let place = Place {
                region: name(&format!("region-{}", domain % 3)),
                domain: name(&format!("domain-{domain}")),
                rack: name(&format!("rack-{}", i / domains / WORKERS_PER_RACK)),
            };
            let has = i >= workers - accelerated;
            let accelerators = if has { ACCELERATORS_PER_WORKER } else { 0 };
            let capacity = Capacity::new(32_000, customer.memory_mib(), accelerators);
            Worker { name: name(&format!("worker-{i:04}")), place, capacity }
        })
        .collect()
}

/// Returns a configuration with `teams` teams of equal weight and quotas beyond the fleet, and
/// the kinds of [`KINDS`].
pub fn configuration(customer: Customer, teams: usize) -> Configuration {
    let quota = Capacity::new(1 << 40, 1 << 40, 1 << 20);
    let teams = (0..teams).map(|i| Team { name: team(i), weight: 1, quota }).collect();
    let patch =
        Patch { kinds: kinds(), teams, weights: Some(customer.weights()), ..Patch::default() };
    Configuration::default().patched(&patch).expect("a generated configuration is valid")
}

/// Returns the name of a team.
pub fn team(i: usize) -> Name {
    name(&format!("team-{i:02}"))
}

/// Names of the kinds of work with their shape and class.
pub const KINDS: [(&str, Shape, Class); 8] = [
    ("lookup", Shape::Batch, Class::Urgent),
    ("sealing", Shape::Batch, Class::Normal),
    ("inspection", Shape::Batch, Class::Normal),
    ("reindex", Shape::Batch, Class::Deferrable),
    ("audit", Shape::Batch, Class::Deferrable),
    ("training", Shape::Gang, Class::Normal),
    ("reconcile", Shape::Gang, Class::Deferrable),
    ("engine", Shape::Service, Class::Normal),
];

/// Returns the kinds of work, sorted by name.
pub fn kinds() -> Vec<Kind> {
    let kind = |(text, shape, class): (&str, Shape, Class)| Kind {
        name: name(text),
        shape,
        separation: Separation::Move,
        class,
        attempts: 100,
    };
    let mut kinds = KINDS.map(kind).to_vec();
    kinds.sort_by(|a, b| a.name.cmp(&b.name));
    kinds
}

/// A job with what it really takes.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// The job as it is submitted.
    pub job: Job,
    /// Its kind.
    pub kind: Kind,
    /// What each task really takes.
    pub actual_needs: Capacity,
    /// How long each task really runs.
    pub run_time: Millis,
    /// Whether each task fails wherever it runs.
    pub always_fails: bool,
    /// When it is submitted.
    pub submitted_at: Millis,
}

impl JobSpec {
    /// Returns how urgent the job is.
    pub fn class(&self) -> Class {
        self.job.class.unwrap_or(self.kind.class)
    }
}

/// A stream of jobs of one kind.
#[derive(Clone, Debug)]
pub struct JobStream {
    /// Name of the kind.
    pub kind: &'static str,
    /// Prefix of the job ids.
    pub id_prefix: &'static str,
    /// Teams that submit in turn, from the first to before the second.
    pub teams: (usize, usize),
    /// Jobs a second.
    pub jobs_per_second: f64,
    /// First and last instant of submission.
    pub submission_window: (Millis, Millis),
    /// Tasks of a job, drawn between these.
    pub tasks_per_job: (u32, u32),
    /// Thousandths of a core of a task, drawn between these, and mebibytes for each of 1000.
    pub cpu_milli: (u64, u64),
    /// Mebibytes for each core, drawn between these.
    pub memory_mib_per_core: (u64, u64),
    /// Accelerators of a task.
    pub accelerators: u64,
    /// Median run time.
    pub median_run: Millis,
    /// Declared size to real size is drawn between these, once for each team.
    pub team_size_error: (f64, f64),
    /// Factor by which each job's declared size is off at most, either way, besides.
    pub job_size_error: f64,
}

impl JobStream {
    /// Returns lookups of the first `teams` teams until `end`: small, short and of true size. Other
    /// steady streams are made from it.
    pub const fn lookups(teams: usize, end: Millis) -> Self {
        Self {
            kind: "lookup",
            id_prefix: "l",
            teams: (0, teams),
            jobs_per_second: 100.0,
            submission_window: (Millis::ZERO, end),
            tasks_per_job: (1, 1),
            cpu_milli: (500, 1500),
            memory_mib_per_core: (1000, 1800),
            accelerators: 0,
            median_run: Millis::from_secs(2),
            team_size_error: (1.0, 1.0),
            job_size_error: 1.0,
        }
    }

    /// Returns the jobs of the stream in order of time.
    pub fn generate(&self, rng: &mut impl Rng) -> Vec<JobSpec> {
        let kind = kinds().into_iter().find(|k| k.name.as_str() == self.kind);
        let kind = kind.expect("a stream names a known kind");
        let (from, to) = (self.submission_window.0.get(), self.submission_window.1.get());
        let count = (to - from) as f64 / 1000.0 * self.jobs_per_second;
        let run_times =
            LogNormal::new((self.median_run.get() as f64).ln(), 0.6).expect("a finite deviation");
        let teams = self.teams.1 - self.teams.0;
        let team_errors: Vec<f64> =
            (0..teams).map(|_| log_uniform(rng, self.team_size_error)).collect();
        let job_error = (1.0 / self.job_size_error, self.job_size_error);
        (0..count as usize)
            .map(|i| {
                let submitted_at = Millis(rng.random_range(from..=to));
                let cores = rng.random_range(self.cpu_milli.0..=self.cpu_milli.1);
                let per_core =
                    rng.random_range(self.memory_mib_per_core.0..=self.memory_mib_per_core.1);
                let actual_needs = Capacity::new(cores, cores * per_core / 1000, self.accelerators);
                let error = team_errors[i % teams] * log_uniform(rng, job_error);
                let declared = Capacity {
                    cpu_milli: ((cores as f64 * error) as u64).clamp(1, 30_000),
                    memory_mib: ((actual_needs.memory_mib as f64 * error) as u64).clamp(1, 60_000),
                    accelerators: self.accelerators,
                };
                let run_time =
                    run_times.sample(rng).clamp(50.0, 20.0 * self.median_run.get() as f64);
                let team = team(self.teams.0 + i % teams);
                let job = Job {
                    id: name(&format!("{}-{i}", self.id_prefix)),
                    team,
                    kind: kind.name.clone(),
                    class: None,
                    tasks: rng.random_range(self.tasks_per_job.0..=self.tasks_per_job.1),
                    needs: declared,
                    run_ms: self.median_run,
                    payload: String::new(),
                };
                let run_time = Millis(run_time as u64);
                JobSpec {
                    job,
                    kind: kind.clone(),
                    actual_needs,
                    run_time,
                    always_fails: false,
                    submitted_at,
                }
            })
            .collect()
    }
}

/// Returns a factor between the bounds, uniform in its logarithm.
fn log_uniform(rng: &mut impl Rng, (low, high): (f64, f64)) -> f64 {
    if low < high { rng.random_range(low.ln()..=high.ln()).exp() } else { low }
}
