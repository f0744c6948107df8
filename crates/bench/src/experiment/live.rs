//! What control costs on real daemons at the size of two years from now: eight daemons as
//! processes of their own with the times of production, against 640 stand-in workers.
//!
//! Rest: nothing runs. Running: 4,600 tasks run, a fifth of them services. Peak: 63 task starts a
//! second on top. Processor time, memory and bytes are those of the daemons' processes only.

mod cell;

use crate::node::Account;
use crate::report::{Report, Target};
use cell::Cell;
use std::time::Duration;

/// Daemons.
const DAEMONS: usize = 8;
/// Workers in each of seven failure domains; 640 together, and 2 to spare.
const WORKERS_PER_DOMAIN: usize = 92;
/// Failure domains.
const DOMAINS: usize = 7;
/// Running tasks.
const RUNNING: u32 = 4600;
/// Tasks of one job.
const TASKS_PER_JOB: u32 = 20;
/// Teams.
const TEAMS: u32 = 55;
/// Task starts a second at the peak.
const PEAK: f64 = 63.0;
/// Length of a measurement.
const WINDOW: Duration = Duration::from_secs(10);
/// Time after a change before a measurement, in which starts are confirmed and views settle.
const SETTLE: Duration = Duration::from_secs(6);
/// Processor time that a daemon may spend, in percent of a core.
const CPU_PERCENT: f64 = 3.7;
/// Memory that a daemon may take, in MB.
const MEMORY_MB: f64 = 64.0;
/// Bytes of control that a daemon may exchange, in KB a second.
const KB_PER_SECOND: f64 = 6.0;

/// Runs the experiment. It needs the daemon's program beside this one.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("live", seed);
    if let Err(error) = measure(&mut report) {
        eprintln!("live: {error}");
        report.violations += 1;
    }
    report
}

fn measure(report: &mut Report) -> Result<(), cell::Error> {
    let cell = Cell::start(DAEMONS, DOMAINS, WORKERS_PER_DOMAIN, TEAMS)?;
    report.row("workers controlled", cell.adopted() as f64, None, None);
    std::thread::sleep(SETTLE);
    let rest = window(&cell, |_| {});
    rows(report, "rest", &rest);
    cell.submit_running(RUNNING, TASKS_PER_JOB);
    let running = cell.await_running(RUNNING);
    report.row("tasks running", f64::from(running), None, Some(Target::AtLeast(RUNNING.into())));
    std::thread::sleep(SETTLE);
    let settled = window(&cell, |_| {});
    rows(report, "running", &settled);
    let before = cell.started();
    let peak = window(&cell, |cell| cell.load(PEAK, WINDOW));
    rows(report, "peak", &peak);
    let starts = (cell.started() - before) as f64 / WINDOW.as_secs_f64();
    report.row("task starts per second at the peak", starts, None, None);
    let waits = cell.waits();
    report.row("urgent wait to start p50, ms", waits.0, None, None);
    report.row("urgent wait to start p99, ms", waits.1, None, Some(Target::AtMost(1400.0)));
    report.violations += cell.violations();
    Ok(())
}

/// What one daemon used in one window.
struct Use {
    /// Percent of a core.
    cpu: f64,
    /// Resident memory, in MB.
    memory: f64,
    /// Control with platform, machines, peers, in KB a second.
    wire: [f64; 3],
    /// Percent of a core by duty.
    duties: Vec<(String, f64)>,
}

fn window(cell: &Cell, load: impl FnOnce(&Cell)) -> Vec<Use> {
    let before = cell.accounts();
    let started = std::time::Instant::now();
    load(cell);
    std::thread::sleep(WINDOW.saturating_sub(started.elapsed()));
    let seconds = started.elapsed().as_secs_f64();
    let after = cell.accounts();
    let used = |(a, b): (&Account, &Account)| {
        let cpu = (b.cpu_seconds - a.cpu_seconds) / seconds * 100.0;
        let memory = b.resident_bytes as f64 / 1e6;
        let mut rates = [0.0; 3];
        for (i, rate) in rates.iter_mut().enumerate() {
            *rate = (b.bytes[i] as f64 - a.bytes[i] as f64) / seconds / 1e3;
        }
        let share = |(duty, ms): &(String, u64)| {
            let found = a.duties.binary_search_by(|(d, _)| d.cmp(duty));
            let before = found.map_or(0, |i| a.duties[i].1);
            (duty.clone(), ms.saturating_sub(before) as f64 / seconds / 10.0)
        };
        let duties = b.duties.iter().map(share).collect();
        Use { cpu, memory, wire: rates, duties }
    };
    before.iter().zip(&after).map(used).collect()
}

fn rows(report: &mut Report, phase: &str, used: &[Use]) {
    let target = |bound: f64| Some(Target::AtMost(bound));
    let mean = |of: &dyn Fn(&Use) -> f64| used.iter().map(of).sum::<f64>() / used.len() as f64;
    let most = |of: &dyn Fn(&Use) -> f64| used.iter().map(of).fold(0.0, f64::max);
    let wire = |d: &Use| d.wire.iter().sum::<f64>();
    report.row(
        format!("{phase}: cpu mean, % of a core"),
        mean(&|d| d.cpu),
        None,
        target(CPU_PERCENT),
    );
    report.row(format!("{phase}: cpu most, % of a core"), most(&|d| d.cpu), None, None);
    report.row(format!("{phase}: memory most, MB"), most(&|d| d.memory), None, target(MEMORY_MB));
    report.row(format!("{phase}: wire mean, KB/s"), mean(&wire), None, target(KB_PER_SECOND));
    report.row(format!("{phase}: wire most, KB/s"), most(&wire), None, None);
    for (i, with) in ["platform", "machines", "peers"].into_iter().enumerate() {
        report.row(format!("{phase}: wire with {with}, KB/s"), mean(&|d| d.wire[i]), None, None);
    }
    let Some(first) = used.first() else { return };
    for (i, (duty, _)) in first.duties.iter().enumerate() {
        let of = |d: &Use| d.duties.get(i).map_or(0.0, |(_, share)| *share);
        report.row(format!("{phase}: cpu of {duty}, % of a core"), mean(&of), None, None);
    }
}
