//! Measures the overhead of control: memory, processor time and message bytes per worker, job and
//! event, and their total for one daemon at the size expected in two years.
//!
//! Only the types of the core crate are measured. The overhead of a daemon's runtime, its HTTP
//! framing and its buffers is part of the `live` experiment, which runs real daemons.

use crate::load::{self, Customer, JobSpec, JobStream};
use crate::report::{Report, Series, Target};
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::scheduler::{Decision, Scheduler};
use pimentovalve_core::contract::task;
use pimentovalve_core::ledger::record::{Change, Id, Record, Register};
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::view;
use pimentovalve_core::machine::worker::{Ending, Inventory, RunningAttempt, Worker};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::time::Instant;

/// Size expected in two years.
const WORKERS: usize = 640;
const ACCELERATORS: u64 = 1400;
const TEAMS: usize = 55;
const DOMAINS: usize = 7;
const RUNNING_TASKS: usize = 4600;
const DAEMONS: usize = 7;
/// Task starts per second in the whole cluster at the peak.
const STARTS_PER_SECOND: f64 = 63.0;
/// Reports per second of each worker.
const REPORTS_PER_SECOND: f64 = 1.0;
/// Jobs in the queue of one daemon's scheduler at the peak.
const QUEUED_JOBS: usize = 10_000;
/// Targets for one daemon at the peak.
const MAX_CORE_PERCENT: f64 = 3.7;
const MAX_STATE_MB: f64 = 64.0;
const MAX_SENT_KB_PER_SECOND: f64 = 6.0;

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("control", seed);
    let fleet = load::fleet(Customer::Andino, WORKERS, DOMAINS, ACCELERATORS);
    let specs = jobs(seed, QUEUED_JOBS + RUNNING_TASKS);
    let state_mb = measure_state(&mut report, &fleet, &specs);
    let cpu_percent = measure_cpu(&mut report, &fleet, &specs);
    let sent_kb_per_second = measure_messages(&mut report, &fleet, &specs);
    let at_most = |bound| Some(Target::AtMost(bound));
    report.row(
        "pure parts: percent of a core at the peak",
        cpu_percent,
        None,
        at_most(MAX_CORE_PERCENT),
    );
    report.row("pure parts: state at the peak, MB", state_mb, None, at_most(MAX_STATE_MB));
    report.row(
        "encoded messages of a daemon at the peak, KB/s",
        sent_kb_per_second,
        None,
        at_most(MAX_SENT_KB_PER_SECOND),
    );
    report.axes = ("1 processor time, 2 memory, 3 wire", "percent of the bound");
    let parts = [
        cpu_percent / MAX_CORE_PERCENT,
        state_mb / MAX_STATE_MB,
        sent_kb_per_second / MAX_SENT_KB_PER_SECOND,
    ];
    let points = (1..).zip(parts).map(|(i, part)| (f64::from(i), 100.0 * part)).collect();
    report.chart.push(Series { name: "two-year size".into(), points });
    report
}

/// Returns the resident memory of this process according to the kernel; NaN if it can't be read.
fn resident_bytes() -> f64 {
    const PAGE_BYTES: f64 = 4096.0;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse::<f64>().ok());
    pages.unwrap_or(f64::NAN) * PAGE_BYTES
}

fn scheduler(fleet: &[Worker]) -> Scheduler {
    let mut scheduler = Scheduler::new(None, &load::configuration(Customer::Andino, TEAMS));
    for worker in fleet {
        report_worker(&mut scheduler, worker, &worker.capacity, Millis(1));
    }
    scheduler
}

fn report_worker(scheduler: &mut Scheduler, worker: &Worker, free: &Capacity, at: Millis) {
    scheduler.worker(&view::Report { worker, free, leaving: false, at });
}

/// Measures the state of a scheduler by the growth of resident memory over several copies. Returns
/// the state of one scheduler at the peak, in MB.
fn measure_state(report: &mut Report, fleet: &[Worker], specs: &[JobSpec]) -> f64 {
    const COPIES: usize = 8;
    let before = resident_bytes();
    let mut copies: Vec<Scheduler> = (0..COPIES).map(|_| scheduler(&[])).collect();
    let empty = resident_bytes();
    for copy in &mut copies {
        for worker in fleet {
            report_worker(copy, worker, &worker.capacity, Millis(1));
        }
    }
    let with_workers = resident_bytes();
    for copy in &mut copies {
        for spec in specs {
            copy.enqueue(&spec.job, &spec.kind, &[0], Millis(1));
        }
    }
    let with_jobs = resident_bytes();
    let each = |from: f64, to: f64, count: usize| (to - from) / (COPIES * count) as f64;
    report.row("bytes of an empty scheduler", each(before, empty, 1), None, None);
    report.row("bytes of state per worker", each(empty, with_workers, fleet.len()), None, None);
    report.row("bytes of state per job", each(with_workers, with_jobs, specs.len()), None, None);
    each(before, with_jobs, 1) / 1e6
}

/// Measures the processor time per event. Returns the load of one daemon at the peak, in percent of
/// a core.
fn measure_cpu(report: &mut Report, fleet: &[Worker], specs: &[JobSpec]) -> f64 {
    let mut scheduler = scheduler(fleet);
    let micros = |start: Instant, count: usize| start.elapsed().as_secs_f64() * 1e6 / count as f64;
    let start = Instant::now();
    for spec in specs {
        scheduler.enqueue(&spec.job, &spec.kind, &[0], Millis(1));
    }
    let enqueue_us = micros(start, specs.len());
    let mut now = Millis(1000);
    let mut running: Vec<(task::Id, usize)> = Vec::new();
    let (mut decided, mut deciding_us) = (0, 0.0);
    while running.len() < RUNNING_TASKS && now < Millis::from_secs(1000) {
        now = now + Millis(1000);
        let start = Instant::now();
        let decisions = scheduler.decide(now, 64);
        deciding_us += start.elapsed().as_secs_f64() * 1e6;
        for decision in decisions {
            if let Decision::Place { task, worker, .. } = decision {
                let w = fleet.binary_search_by(|w| w.name.cmp(&worker)).unwrap_or_default();
                running.push((task, w));
                decided += 1;
            }
        }
    }
    let decide_us = deciding_us / f64::from(decided.max(1));
    let start = Instant::now();
    const ROUNDS: usize = 20;
    for round in 0..ROUNDS {
        let at = now + Millis(1 + round as u64);
        for worker in fleet {
            let free = Capacity::new(round as u64, 1, 0);
            report_worker(&mut scheduler, worker, &free, at);
        }
    }
    let reported_us = micros(start, ROUNDS * fleet.len());
    let start = Instant::now();
    let count = running.len();
    for (task, _) in running {
        let (ending, peak) = (Ending::Completed(String::new()), Capacity::new(100, 100, 0));
        scheduler.ended(&task, &ending, &peak, Millis(60_000), now);
    }
    let ended_us = micros(start, count);
    let start = Instant::now();
    const IDLE: usize = 1000;
    for _ in 0..IDLE {
        scheduler.decide(now, 0);
    }
    let idle_us = micros(start, IDLE);
    report.row("us per job queued", enqueue_us, None, None);
    report.row("us per decision", decide_us, None, None);
    report.row("us per report of a worker", reported_us, None, None);
    report.row("us per end of a task", ended_us, None, None);
    report.row("us per call that decides nothing", idle_us, None, None);
    // A daemon's scheduler handles a seventh of the tasks, receives the reports of all workers and
    // is called every 10 ms.
    let tasks = STARTS_PER_SECOND / DAEMONS as f64 * (enqueue_us + decide_us + ended_us);
    let reports = REPORTS_PER_SECOND * WORKERS as f64 * reported_us;
    (tasks + reports + 100.0 * idle_us) / 1e6 * 100.0
}

/// Returns the size of a value as MessagePack; NaN if it can't be encoded.
fn encoded_bytes(value: &impl Serialize) -> f64 {
    rmp_serde::to_vec(value).map_or(f64::NAN, |bytes| bytes.len() as f64)
}

/// Measures the encoded sizes of messages. Returns what one daemon sends at the peak, in KB/s.
fn measure_messages(report: &mut Report, fleet: &[Worker], specs: &[JobSpec]) -> f64 {
    let (worker, spec) = (&fleet[0], &specs[0]);
    let task = task::Id { job: spec.job.id.clone(), index: 0 };
    let run = RunningAttempt {
        task: task.clone(),
        attempt: 1,
        epoch: 3,
        team: spec.job.team.clone(),
        kind: spec.job.kind.clone(),
        needs: spec.job.needs,
        until: Millis(1_800_000_000_000),
        usage: spec.job.needs,
    };
    let inventory = Inventory {
        worker: worker.clone(),
        epoch: 3,
        controller: Some(load::name("entry-1")),
        leaving: false,
        running: Vec::new(),
        ended: Vec::new(),
    };
    let full =
        encoded_bytes(&(&worker.name, 3_u64, &worker.capacity, false, 1_800_000_000_000_u64));
    let changed = encoded_bytes(&(512_u16, &worker.capacity));
    let record = Record {
        id: Id { writer: load::name("entry-1"), number: 70_000 },
        at: Millis(1_800_000_000_000),
        register: Register::Task(task),
        expect: 1,
        change: Change::Attempt {
            attempt: 1,
            worker: worker.name.clone(),
            epoch: 3,
            needs: spec.job.needs,
            fence: None,
        },
    };
    let totals = encoded_bytes(scheduler(fleet).totals());
    report.row("bytes of an inventory without tasks", encoded_bytes(&inventory), None, None);
    report.row("bytes per task in an inventory", encoded_bytes(&run), None, None);
    report.row("bytes of a worker's report to a peer", full, None, None);
    report.row("bytes of a changed worker in a batch", changed, None, None);
    report.row("bytes of an attempt's record", encoded_bytes(&record), None, None);
    report.row("bytes of a steward's totals", totals, None, None);
    let peers = (DAEMONS - 1) as f64;
    let own = 1.0 / DAEMONS as f64;
    // Each start and each end of a task changes one worker. A daemon controls a seventh of the
    // workers and sends their changes to all of its peers.
    let batches = 2.0 * STARTS_PER_SECOND * own * peers * changed;
    let full_reports = REPORTS_PER_SECOND * WORKERS as f64 * own * peers * full;
    let records = 2.0 * STARTS_PER_SECOND * own * encoded_bytes(&record);
    let gossip = peers * totals;
    report.row("KB/s if each worker is reported each second", full_reports / 1e3, None, None);
    (batches + records + gossip) / 1e3
}

/// Generates `count` single-task jobs of one kind.
fn jobs(seed: u64, count: usize) -> Vec<JobSpec> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let stream = JobStream {
        kind: "sealing",
        id_prefix: "s",
        teams: (0, TEAMS),
        jobs_per_second: count as f64,
        submission_window: (Millis(0), Millis(1000)),
        tasks_per_job: (1, 1),
        cpu_milli: (500, 8000),
        memory_mib_per_core: (1000, 4000),
        accelerators: 0,
        median_run: Millis::from_secs(60),
        team_size_error: (1.0, 1.0),
        job_size_error: 1.0,
    };
    stream.generate(&mut rng)
}
