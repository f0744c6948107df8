//! Measures the overhead of control in real daemons at the size expected in two years: eight daemon
//! processes with the timing settings of production, and 644 stand-in workers.
//!
//! There are three phases. `rest`: no task runs. `running`: 4,600 tasks run, a fifth of the jobs
//! are services. `peak`: in addition, 63 tasks start per second. Processor time, memory and bytes
//! are those of the daemon processes only.

mod cluster;

use crate::daemon::ResourceUsage;
use crate::report::{Report, Target};
use cluster::Cluster;
use std::time::Duration;

const DAEMONS: usize = 8;
/// 644 workers in total; the expected size is 640.
const WORKERS_PER_DOMAIN: usize = 92;
const DOMAINS: usize = 7;
const RUNNING_TASKS: u32 = 4600;
/// Tasks of each long-running job.
const TASKS_PER_JOB: u32 = 20;
const TEAMS: u32 = 55;
const PEAK_STARTS_PER_SECOND: f64 = 63.0;
/// Duration of one measurement.
const WINDOW: Duration = Duration::from_secs(10);
/// Time between a change and the next measurement, in which starts are confirmed and the daemons
/// exchange their state.
const SETTLING_TIME: Duration = Duration::from_secs(6);
/// Target for the mean processor time of a daemon, in percent of a core.
const MAX_CPU_PERCENT: f64 = 3.7;
/// Target for the resident memory of a daemon.
const MAX_MEMORY_MB: f64 = 64.0;
/// Target for the mean control traffic of a daemon.
const MAX_CONTROL_KB_PER_SECOND: f64 = 6.0;

/// Runs the experiment. It needs the daemon's executable in the directory of this one.
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

/// Resources that one daemon used in one measurement.
struct DaemonUsage {
    /// Processor time, in percent of a core.
    cpu_percent: f64,
    /// Resident memory at the end.
    memory_mb: f64,
    /// Control traffic with platform, machines and peers, in this order.
    control_kb_per_second: [f64; 3],
    /// Processor time of each duty's thread in percent of a core, sorted by the duty's name.
    duty_cpu_percent: Vec<(String, f64)>,
}

/// Measures what each daemon uses while `load` runs, for at least [`WINDOW`].
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
    let mean = |value: &dyn Fn(&DaemonUsage) -> f64| {
        used.iter().map(value).sum::<f64>() / used.len() as f64
    };
    let max = |value: &dyn Fn(&DaemonUsage) -> f64| used.iter().map(value).fold(0.0, f64::max);
    let total_kb_per_second = |d: &DaemonUsage| d.control_kb_per_second.iter().sum::<f64>();
    report.row(
        format!("{phase}: cpu mean, % of a core"),
        mean(&|d| d.cpu_percent),
        None,
        target(MAX_CPU_PERCENT),
    );
    report.row(format!("{phase}: cpu most, % of a core"), max(&|d| d.cpu_percent), None, None);
    report.row(
        format!("{phase}: memory most, MB"),
        max(&|d| d.memory_mb),
        None,
        target(MAX_MEMORY_MB),
    );
    report.row(
        format!("{phase}: wire mean, KB/s"),
        mean(&total_kb_per_second),
        None,
        target(MAX_CONTROL_KB_PER_SECOND),
    );
    report.row(format!("{phase}: wire most, KB/s"), max(&total_kb_per_second), None, None);
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
        let value = |d: &DaemonUsage| d.duty_cpu_percent.get(i).map_or(0.0, |(_, share)| *share);
        report.row(format!("{phase}: cpu of {duty}, % of a core"), mean(&value), None, None);
    }
}
