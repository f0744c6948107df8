//! What control costs on real daemons at the size of two years from now: eight daemons as
//! processes of their own with the times of production, against 640 stand-in workers.
//!
//! Rest: nothing runs. Running: 4,600 tasks run, a fifth of them services. Peak: 63 task starts a
//! second on top. Processor time, memory and bytes are those of the daemons' processes only.

mod cluster;

use crate::daemon::ResourceUsage;
use crate::report::{Report, Target};
use cluster::Cluster;
use std::time::Duration;

/// Daemons.
const DAEMONS: usize = 8;
/// Workers in each of seven failure domains; 640 together, and 2 to spare.
const WORKERS_PER_DOMAIN: usize = 92;
/// Failure domains.
const DOMAINS: usize = 7;
/// Running tasks.
const RUNNING_TASKS: u32 = 4600;
/// Tasks of one job.
const TASKS_PER_JOB: u32 = 20;
/// Teams.
const TEAMS: u32 = 55;
/// Task starts a second at the peak.
const PEAK_STARTS_PER_SECOND: f64 = 63.0;
/// Length of a measurement.
const WINDOW: Duration = Duration::from_secs(10);
/// Time after a change before a measurement, in which starts are confirmed and views settle.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Processor time that a daemon may spend, in percent of a core.
const MAX_CPU_PERCENT: f64 = 3.7;
/// Memory that a daemon may take, in MB.
const MAX_MEMORY_MB: f64 = 64.0;
/// Bytes of control that a daemon may exchange, in KB a second.
const MAX_CONTROL_KB_PER_SECOND: f64 = 6.0;

/// Runs the experiment. It needs the daemon's program beside this one.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("live", seed);
    if let Err(error) = measure(&mut report) {
        eprintln!("live: {error}");
        report.violations += 1;
    }
    report
}

fn measure(report: &mut Report) -> Result<(), cluster::Error> {
    let cluster = Cluster::start(DAEMONS, DOMAINS, WORKERS_PER_DOMAIN, TEAMS)?;
    report.row("workers controlled", cluster.controlled_workers() as f64, None, None);
    std::thread::sleep(SETTLING_TIME);
    let rest = measure_window(&cluster, |_| {});
    add_rows(report, "rest", &rest);
    cluster.submit_running(RUNNING_TASKS, TASKS_PER_JOB);
    let running = cluster.await_running(RUNNING_TASKS);
    report.row(
        "tasks running",
        f64::from(running),
        None,
        Some(Target::AtLeast(RUNNING_TASKS.into())),
    );
    std::thread::sleep(SETTLING_TIME);
    let settled = measure_window(&cluster, |_| {});
    add_rows(report, "running", &settled);
    let before = cluster.started_attempts();
    let peak = measure_window(&cluster, |cluster| {
        cluster.submit_urgent_load(PEAK_STARTS_PER_SECOND, WINDOW)
    });
    add_rows(report, "peak", &peak);
    let starts = (cluster.started_attempts() - before) as f64 / WINDOW.as_secs_f64();
    report.row("task starts per second at the peak", starts, None, None);
    let waits = cluster.urgent_waits_ms();
    report.row("urgent wait to start p50, ms", waits.0, None, None);
    report.row("urgent wait to start p99, ms", waits.1, None, Some(Target::AtMost(1400.0)));
    report.violations += cluster.violations();
    Ok(())
}

/// What one daemon used in one window.
struct DaemonUsage {
    /// Percent of a core.
    cpu_percent: f64,
    /// Resident memory, in MB.
    memory_mb: f64,
    /// Control with platform, machines, peers, in KB a second.
    control_kb_per_second: [f64; 3],
    /// Percent of a core by duty.
    duty_cpu_percent: Vec<(String, f64)>,
}

fn measure_window(cluster: &Cluster, load: impl FnOnce(&Cluster)) -> Vec<DaemonUsage> {
    let before = cluster.resource_usage();
    let started = std::time::Instant::now();
    load(cluster);
    std::thread::sleep(WINDOW.saturating_sub(started.elapsed()));
    let seconds = started.elapsed().as_secs_f64();
    let after = cluster.resource_usage();
    let used = |(a, b): (&ResourceUsage, &ResourceUsage)| {
        let cpu_percent = (b.cpu_seconds - a.cpu_seconds) / seconds * 100.0;
        let memory_mb = b.resident_bytes as f64 / 1e6;
        let mut control_kb_per_second = [0.0; 3];
        for (i, rate) in control_kb_per_second.iter_mut().enumerate() {
            *rate = (b.control_bytes[i] as f64 - a.control_bytes[i] as f64) / seconds / 1e3;
        }
        let share = |(duty, ms): &(String, u64)| {
            let found = a.duty_cpu_ms.binary_search_by(|(d, _)| d.cmp(duty));
            let before = found.map_or(0, |i| a.duty_cpu_ms[i].1);
            (duty.clone(), ms.saturating_sub(before) as f64 / seconds / 10.0)
        };
        let duty_cpu_percent = b.duty_cpu_ms.iter().map(share).collect();
        DaemonUsage { cpu_percent, memory_mb, control_kb_per_second, duty_cpu_percent }
    };
    before.iter().zip(&after).map(used).collect()
}

fn add_rows(report: &mut Report, phase: &str, used: &[DaemonUsage]) {
    let target = |bound: f64| Some(Target::AtMost(bound));
    let mean =
        |of: &dyn Fn(&DaemonUsage) -> f64| used.iter().map(of).sum::<f64>() / used.len() as f64;
    let most = |of: &dyn Fn(&DaemonUsage) -> f64| used.iter().map(of).fold(0.0, f64::max);
    let wire = |d: &DaemonUsage| d.control_kb_per_second.iter().sum::<f64>();
    report.row(
        format!("{phase}: cpu mean, % of a core"),
        mean(&|d| d.cpu_percent),
        None,
        target(MAX_CPU_PERCENT),
    );
    report.row(format!("{phase}: cpu most, % of a core"), most(&|d| d.cpu_percent), None, None);
    report.row(
        format!("{phase}: memory most, MB"),
        most(&|d| d.memory_mb),
        None,
        target(MAX_MEMORY_MB),
    );
    report.row(
        format!("{phase}: wire mean, KB/s"),
        mean(&wire),
        None,
        target(MAX_CONTROL_KB_PER_SECOND),
    );
    report.row(format!("{phase}: wire most, KB/s"), most(&wire), None, None);
    for (i, with) in ["platform", "machines", "peers"].into_iter().enumerate() {
        report.row(
            format!("{phase}: wire with {with}, KB/s"),
            mean(&|d| d.control_kb_per_second[i]),
            None,
            None,
        );
    }
    let Some(first) = used.first() else { return };
    for (i, (duty, _)) in first.duty_cpu_percent.iter().enumerate() {
        let of = |d: &DaemonUsage| d.duty_cpu_percent.get(i).map_or(0.0, |(_, share)| *share);
        report.row(format!("{phase}: cpu of {duty}, % of a core"), mean(&of), None, None);
    }
}
