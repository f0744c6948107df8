//! Generation of the fleets and jobs of both customers from a seed.

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

/// Workers of one failure domain that share a rack.
const WORKERS_PER_RACK: usize = 8;
/// Accelerators of each worker that has accelerators; the others have none.
pub const ACCELERATORS_PER_WORKER: u64 = 8;

/// The customer whose placement weights and machine sizes are used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Customer {
    /// Archivo Andino Digital, which gives more weight to packing and control cost.
    Andino,
    /// The Hooghly Riverside board, which gives more weight to waiting time.
    Board,
}

impl Customer {
    /// Returns the placement weights of the customer's configuration.
    pub const fn weights(self) -> Weights {
        match self {
            Self::Andino => Weights { packing: 80, waiting: 40, spread: 50, locality: 80 },
            Self::Board => Weights { packing: 40, waiting: 100, spread: 50, locality: 50 },
        }
    }

    /// Returns the memory of each of the customer's workers, in MiB.
    const fn memory_mib(self) -> u64 {
        match self {
            Self::Andino => 128 * 1024,
            Self::Board => 64 * 1024,
        }
    }
}

/// Converts a generated text into a [`Name`].
///
/// # Panics
///
/// Panics if the text is not a valid name.
pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("a generated name is valid")
}

/// Returns a fleet over `domains` failure domains in three regions. The last workers of the list,
/// which are spread over all domains, have [`ACCELERATORS_PER_WORKER`] accelerators each, `accelerators` in total rounded down.
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

/// Returns a configuration with the kinds of [`KINDS`] and `teams` teams of equal weight, whose
/// quotas exceed the capacity of any fleet here.
pub fn configuration(customer: Customer, teams: usize) -> Configuration {
    let quota = Capacity::new(1 << 40, 1 << 40, 1 << 20);
    let teams = (0..teams).map(|i| Team { name: team(i), weight: 1, quota }).collect();
    let patch =
        Patch { kinds: kinds(), teams, weights: Some(customer.weights()), ..Patch::default() };
    Configuration::default().patched(&patch).expect("a generated configuration is valid")
}

/// Returns the name of the team with index `i` in [`configuration`].
pub fn team(i: usize) -> Name {
    name(&format!("team-{i:02}"))
}

/// Kinds of work: name, shape and class.
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

/// Returns the configuration entries of [`KINDS`], sorted by name.
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

/// A job with its actual needs and run time, which the scheduler doesn't know.
#[derive(Clone, Debug)]
pub struct JobSpec {
    /// The job as submitted; its needs are the declared ones.
    pub job: Job,
    /// Configuration entry of the job's kind.
    pub kind: Kind,
    /// Actual needs of each task.
    pub actual_needs: Capacity,
    /// Actual run time of each task without interruption.
    pub run_time: Millis,
    /// Whether every attempt fails, on every worker.
    pub always_fails: bool,
    /// Time of the submission.
    pub submitted_at: Millis,
}

impl JobSpec {
    /// Returns the class of the job, which defaults to that of its kind.
    pub fn class(&self) -> Class {
        self.job.class.unwrap_or(self.kind.class)
    }
}

/// Parameters of a stream of jobs of one kind. Pairs are inclusive ranges of uniform draws unless
/// stated otherwise.
#[derive(Clone, Debug)]
pub struct JobStream {
    /// Name of the kind; one of [`KINDS`].
    pub kind: &'static str,
    /// Prefix of the job ids; the number of the job in the stream follows it.
    pub id_prefix: &'static str,
    /// Half-open range of the indices of the teams, which submit in turn.
    pub teams: (usize, usize),
    /// Number of jobs per second within `submission_window`.
    pub jobs_per_second: f64,
    /// First and last time of submission.
    pub submission_window: (Millis, Millis),
    /// Range of the number of tasks of a job.
    pub tasks_per_job: (u32, u32),
    /// Range of the actual needs of a task, in thousandths of a core.
    pub cpu_milli: (u64, u64),
    /// Range of the actual memory of a task per core, in MiB.
    pub memory_mib_per_core: (u64, u64),
    /// Accelerators of each task; declared and actual needs are the same.
    pub accelerators: u64,
    /// Median of the log-normal run time of a task.
    pub median_run: Millis,
    /// Range of the ratio of declared to actual needs, drawn once for each team, uniform in its
    /// logarithm.
    pub team_size_error: (f64, f64),
    /// Largest additional factor, up or down, by which the declared needs of a job are off.
    pub job_size_error: f64,
}

impl JobStream {
    /// Returns a stream of lookups of the first `teams` teams until `end`: small, short and with
    /// exact declared needs. Other steady streams override some of its fields.
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

    /// Draws the jobs of the stream, in the order of their numbers; submission times are not
    /// sorted.
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

/// Draws a factor between the bounds, uniform in its logarithm.
fn log_uniform(rng: &mut impl Rng, (low, high): (f64, f64)) -> f64 {
    if low < high { rng.random_range(low.ln()..=high.ln()).exp() } else { low }
}
