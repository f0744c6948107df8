//! Measures the time per scheduling decision at the size expected in two years, and with a tenth and
//! ten times of its workers and of its queue.

use crate::load::{self, Customer, JobSpec, JobStream};
use crate::policy::SchedulingPolicy as _;
use crate::policy::baseline::{Baseline, Fit};
use crate::report::{Report, Series, Target};
use hdrhistogram::Histogram;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::scheduler::{Decision, Scheduler};
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::view;
use pimentovalve_core::machine::worker::Ending;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Size expected in two years.
const WORKERS: usize = 640;
const ACCELERATORS: u64 = 1400;
const TEAMS: usize = 55;
const DOMAINS: usize = 7;
const RUNNING_TASKS: usize = 4600;
const QUEUED_JOBS: usize = 100_000;
/// Number of decisions in one measurement.
const TIMED_DECISIONS: usize = 30_000;
/// Most decisions in one call of the scheduler. As many tasks end before each call.
const DECISIONS_PER_CALL: usize = 8;

/// Times of the decisions of one measurement.
struct Timing {
    /// Time of each call divided by the number of its decisions, in nanoseconds. It includes the
    /// ends of tasks and the submissions that precede the call.
    per_decision: Histogram<u64>,
    total: Duration,
    decisions: usize,
}

impl Timing {
    fn mean_us(&self) -> f64 {
        self.total.as_secs_f64() * 1e6 / self.decisions.max(1) as f64
    }

    /// Returns the mean without the slowest 1% of the calls, which on a busy machine are those that
    /// the operating system interrupted.
    fn trimmed_us(&self) -> f64 {
        let bound = self.per_decision.value_at_quantile(0.99);
        let kept = self.per_decision.iter_recorded().filter(|v| v.value_iterated_to() <= bound);
        let (sum, count) = kept.fold((0.0, 0.0), |(sum, count), v| {
            let n = v.count_since_last_iteration() as f64;
            (sum + n * v.value_iterated_to() as f64, count + n)
        });
        sum / f64::max(count, 1.0) / 1e3
    }
}

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("placement", seed);
    let reference = measure(WORKERS, QUEUED_JOBS, seed);
    let baseline = measure_baseline(seed);
    let rate = |t: &Timing| t.decisions as f64 / t.total.as_secs_f64();
    let p99 = |t: &Timing| t.per_decision.value_at_quantile(0.99) as f64 / 1e6;
    let at_least = Some(Target::AtLeast(10_000.0));
    report.row("decisions a second on one core", rate(&reference), Some(rate(&baseline)), at_least);
    let at_most = Some(Target::AtMost(1.0));
    report.row("p99 of a decision, ms", p99(&reference), Some(p99(&baseline)), at_most);
    let (ours, by_baseline) = (reference.trimmed_us(), baseline.trimmed_us());
    report.row("trimmed mean of a decision, us", ours, Some(by_baseline), None);
    report.row("mean of a decision, us", reference.mean_us(), Some(baseline.mean_us()), None);
    let mut by_size = Vec::new();
    for (label, workers, queued) in [
        ("64 workers", WORKERS / 10, QUEUED_JOBS),
        ("6400 workers", WORKERS * 10, QUEUED_JOBS),
        ("10,000 queued", WORKERS, QUEUED_JOBS / 10),
        ("1,000,000 queued", WORKERS, QUEUED_JOBS * 10),
    ] {
        let other = measure(workers, queued, seed);
        let (small, large) = if workers < WORKERS || queued < QUEUED_JOBS {
            (other.trimmed_us(), reference.trimmed_us())
        } else {
            (reference.trimmed_us(), other.trimmed_us())
        };
        let at_most = Some(Target::AtMost(2.0));
        report.row(
            format!("cost of a decision, tenfold against {label}"),
            large / small,
            None,
            at_most,
        );
        by_size.push((label, other.trimmed_us()));
    }
    for (label, mean) in by_size {
        report.row(format!("trimmed mean of a decision with {label}, us"), mean, None, None);
    }
    let points = |t: &Timing| {
        let quantiles = (0..100).map(|i| f64::from(i) / 100.0);
        quantiles.map(|q| (100.0 * q, t.per_decision.value_at_quantile(q) as f64 / 1e3)).collect()
    };
    report.axes = ("percent of decisions", "microseconds");
    report.chart.push(Series { name: "scheduler".into(), points: points(&reference) });
    report
}

/// Times the decisions of one scheduler at a constant load: before each call some running tasks
/// end, and as many jobs are queued.
fn measure(workers: usize, queued: usize, seed: u64) -> Timing {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let accelerators = ACCELERATORS * workers as u64 / WORKERS as u64;
    let configuration = load::configuration(Customer::Andino, TEAMS);
    let mut scheduler = Scheduler::new(None, &configuration);
    for worker in &load::fleet(Customer::Andino, workers, DOMAINS, accelerators) {
        let free = &worker.capacity;
        scheduler.worker(&view::Report { worker, free, leaving: false, at: Millis(1) });
    }
    let target = RUNNING_TASKS * workers / WORKERS;
    let specs = jobs(&mut rng, queued + target + TIMED_DECISIONS);
    let mut next = specs.iter();
    for spec in next.by_ref().take(queued + target) {
        scheduler.enqueue(&spec.job, &spec.kind, &[0], Millis(1));
    }
    let mut now = Millis(1000);
    let mut running: Vec<task::Id> = Vec::new();
    for _ in 0..64 {
        now = now + Millis(1000);
        let room = target.saturating_sub(running.len());
        running.extend(placed(scheduler.decide(now, room)));
    }
    let per_decision = Histogram::new_with_max(10_000_000_000, 3).expect("valid bounds");
    let mut timing = Timing { per_decision, total: Duration::ZERO, decisions: 0 };
    while timing.decisions < TIMED_DECISIONS {
        now = now + Millis(5);
        let start = Instant::now();
        for _ in 0..DECISIONS_PER_CALL {
            if running.is_empty() {
                break;
            }
            let task = running.swap_remove(rng.random_range(0..running.len()));
            let ending = Ending::Completed(String::new());
            scheduler.ended(&task, &ending, &Capacity::ZERO, Millis(60_000), now);
            if let Some(spec) = next.next() {
                scheduler.enqueue(&spec.job, &spec.kind, &[0], now);
            }
        }
        let decisions = scheduler.decide(now, DECISIONS_PER_CALL);
        let took = start.elapsed();
        let count = decisions.len();
        running.extend(placed(decisions));
        timing.total += took;
        timing.decisions += count.max(1);
        let nanos = took.as_nanos() / count.max(1) as u128;
        timing.per_decision.saturating_record(u64::try_from(nanos).unwrap_or(u64::MAX));
    }
    timing
}

/// Times the decisions of a FIFO queue with first fit under the same load.
fn measure_baseline(seed: u64) -> Timing {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut baseline = Baseline::new(Fit::First, seed);
    for worker in &load::fleet(Customer::Andino, WORKERS, DOMAINS, ACCELERATORS) {
        baseline.worker_reported(worker, &worker.capacity, Millis(1));
    }
    let specs = jobs(&mut rng, QUEUED_JOBS + RUNNING_TASKS + TIMED_DECISIONS);
    for spec in &specs {
        let _ = baseline.submit(spec, Millis(1));
    }
    let mut by_id: Vec<&JobSpec> = specs.iter().collect();
    by_id.sort_by(|a, b| a.job.id.cmp(&b.job.id));
    let mut running = placed(baseline.decide(Millis(1)));
    let per_decision = Histogram::new_with_max(10_000_000_000, 3).expect("valid bounds");
    let mut timing = Timing { per_decision, total: Duration::ZERO, decisions: 0 };
    while timing.decisions < TIMED_DECISIONS && !running.is_empty() {
        let start = Instant::now();
        for _ in 0..DECISIONS_PER_CALL.min(running.len()) {
            let task = running.swap_remove(rng.random_range(0..running.len()));
            let found = by_id.binary_search_by(|s| s.job.id.cmp(&task.job));
            let spec = by_id[found.expect("a placed job was submitted")];
            let ending = Ending::Completed(String::new());
            baseline.attempt_ended(spec, task.index, &ending, Millis(1), Millis(1));
        }
        let decisions = placed(baseline.decide(Millis(1)));
        let took = start.elapsed();
        timing.total += took;
        timing.decisions += decisions.len().max(1);
        let nanos = took.as_nanos() / decisions.len().max(1) as u128;
        timing.per_decision.saturating_record(u64::try_from(nanos).unwrap_or(u64::MAX));
        running.extend(decisions);
    }
    timing
}

fn placed(decisions: Vec<Decision>) -> Vec<task::Id> {
    let task = |decision| match decision {
        Decision::Place { task, .. } => Some(task),
        Decision::Preempt { .. } => None,
    };
    decisions.into_iter().filter_map(task).collect()
}

/// Generates single-task jobs of all classes, some of them with accelerators, in the order of
/// submission.
fn jobs(rng: &mut ChaCha8Rng, count: usize) -> Vec<JobSpec> {
    let stream = |kind, id_prefix, percent: usize, cpu_milli, accelerators| JobStream {
        kind,
        id_prefix,
        teams: (0, TEAMS),
        jobs_per_second: (count * percent / 100 + 1) as f64,
        submission_window: (Millis(0), Millis(1000)),
        tasks_per_job: (1, 1),
        cpu_milli,
        memory_mib_per_core: (1000, 4000),
        accelerators,
        median_run: Millis::from_secs(60),
        team_size_error: (1.0, 1.0),
        job_size_error: 1.0,
    };
    let streams = [
        stream("lookup", "l", 20, (250, 2000), 0),
        stream("sealing", "s", 30, (500, 8000), 0),
        stream("inspection", "i", 10, (1000, 4000), 1),
        stream("reindex", "r", 30, (1000, 16_000), 0),
        stream("audit", "a", 10, (2000, 8000), 2),
    ];
    let mut specs: Vec<JobSpec> = streams.iter().flat_map(|s| s.generate(rng)).collect();
    specs.sort_by_key(|s| s.submitted_at);
    specs.truncate(count);
    specs
}
