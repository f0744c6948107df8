//! Compares two ways to propagate a configuration to all daemons: polling by each daemon, and
//! notification with one puller per region. Both are modelled on virtual time with a one-way delay
//! of 30 ms between regions.
//!
//! With notification, the daemon that accepts a patch sends its version to one daemon of each
//! region, chosen by rendezvous hashing. That daemon pulls the records that it lacks and notifies
//! the others of its region. A notification may be lost; each puller also polls at a longer
//! interval, which recovers from the loss.

use crate::load;
use crate::report::{Report, Series, Target};
use hdrhistogram::Histogram;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::configuration::Patch;
use pimentovalve_core::contract::team::Team;
use pimentovalve_core::ledger::record::{Change, Id, Record, Register};
use pimentovalve_core::machine::capacity::Capacity;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DAEMONS: usize = 8;
const REGIONS: usize = 3;
/// One-way delay between regions.
const CROSS_REGION_MS: u64 = 30;
/// One-way delay within a region.
const SAME_REGION_MS: u64 = 2;
/// Longest time from a patch to its record in the log.
const MAX_APPEND_MS: u64 = 50;
/// Number of patches in the modelled day.
const CHANGES: usize = 500;
const DAY_MS: u64 = 24 * 3600 * 1000;
/// Intervals of the compared polling.
const POLL_INTERVALS_MS: [u64; 3] = [500, 1000, 2000];
/// Interval of the poll that recovers from a lost notification.
const FALLBACK_POLL_MS: u64 = 2000;
/// Probability that a notification is lost.
const LOST_PERCENT: u32 = 2;
/// Size of the HTTP headers of a message, which the daemons keep short.
const HEADER_BYTES: u64 = 120;
/// Encoded size of a version or an offset.
const VERSION_BYTES: u64 = 9;
/// Target for the time until a patch is in force on every daemon.
const MAX_PROPAGATION_MS: f64 = 4000.0;

/// Measurements of one way to propagate patches.
struct Propagation {
    /// Time from a patch until it is in force on every daemon, in milliseconds.
    time_ms: Histogram<u64>,
    /// Bytes sent between regions in a day.
    cross_region_bytes: u64,
}

/// Runs the experiment.
pub fn run(seed: u64) -> Report {
    let mut report = Report::new("config", seed);
    let patch = patch_bytes();
    let notified = notification(seed, patch);
    let polled = POLL_INTERVALS_MS.map(|interval| (interval, polling(seed, patch, interval)));
    let (_, baseline) = &polled[0];
    let seconds = |p: &Propagation, q: f64| p.time_ms.value_at_quantile(q) as f64 / 1e3;
    let at_most = Some(Target::AtMost(MAX_PROPAGATION_MS / 1e3));
    report.row(
        "in force everywhere, s, longest",
        seconds(&notified, 1.0),
        Some(seconds(baseline, 1.0)),
        at_most,
    );
    report.row(
        "in force everywhere, s, p50",
        seconds(&notified, 0.5),
        Some(seconds(baseline, 0.5)),
        None,
    );
    let megabytes = |p: &Propagation| p.cross_region_bytes as f64 / 1e6;
    report.row("across regions, MB a day", megabytes(&notified), Some(megabytes(baseline)), None);
    for (interval, propagation) in &polled {
        let label = format!("polling every {interval} ms");
        report.row(format!("{label}: s, longest"), seconds(propagation, 1.0), None, None);
        report.row(format!("{label}: MB a day"), megabytes(propagation), None, None);
    }
    report.row("bytes of a patch's record", patch as f64, None, None);
    report.axes = ("percent of changes", "in force everywhere, s");
    let points = |p: &Propagation| {
        (0..=100).map(|i| (f64::from(i), seconds(p, f64::from(i) / 100.0))).collect::<Vec<_>>()
    };
    report.chart.push(Series { name: "notification".into(), points: points(&notified) });
    for (interval, propagation) in &polled {
        let name = format!("polling every {interval} ms");
        report.chart.push(Series { name, points: points(propagation) });
    }
    report
}

/// Returns the encoded size of the record of a patch that changes one team.
fn patch_bytes() -> u64 {
    let quota = Capacity::new(1_000_000, 4_000_000, 100);
    let team = Team { name: load::team(1), weight: 3, quota };
    let record = Record {
        id: Id { writer: load::name("entry-1"), number: 70_000 },
        at: Millis(1_800_000_000_000),
        register: Register::Configuration,
        expect: 400,
        change: Change::Patch {
            operator: load::name("operator-1"),
            patch: Patch { teams: vec![team], ..Patch::default() },
        },
    };
    rmp_serde::to_vec(&record).map_or(0, |bytes| bytes.len() as u64)
}

const fn region(daemon: usize) -> usize {
    daemon % REGIONS
}

const fn one_way_ms(from: usize, to: usize) -> u64 {
    if from == to { SAME_REGION_MS } else { CROSS_REGION_MS }
}

fn empty_propagation() -> Propagation {
    let time_ms = Histogram::new_with_max(100_000, 3).expect("valid bounds");
    Propagation { time_ms, cross_region_bytes: 0 }
}

/// Models polling: every daemon polls the log, which is in region 0.
fn polling(seed: u64, patch: u64, interval: u64) -> Propagation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut propagation = empty_propagation();
    let remote_daemons = (0..DAEMONS).filter(|&d| region(d) != 0).count() as u64;
    let exchange = 2 * HEADER_BYTES + 2 * VERSION_BYTES;
    propagation.cross_region_bytes =
        remote_daemons * (DAY_MS / interval * exchange + CHANGES as u64 * patch);
    for _ in 0..CHANGES {
        let recorded = rng.random_range(1..=MAX_APPEND_MS);
        let in_force = (0..DAEMONS).map(|daemon| {
            let delay = one_way_ms(0, region(daemon));
            // The first poll that reaches the log after the record, and the delay of its reply.
            recorded + rng.random_range(0..interval) + delay
        });
        propagation.time_ms.saturating_record(in_force.max().unwrap_or_default());
    }
    propagation
}

/// Models notification: the accepting daemon notifies one puller per region, which pulls the record
/// and notifies its region.
fn notification(seed: u64, patch: u64) -> Propagation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut propagation = empty_propagation();
    let remote_regions = REGIONS as u64 - 1;
    let exchange = 2 * HEADER_BYTES + 2 * VERSION_BYTES;
    propagation.cross_region_bytes = remote_regions * DAY_MS / FALLBACK_POLL_MS * exchange;
    for _ in 0..CHANGES {
        let from = rng.random_range(0..REGIONS);
        let recorded = rng.random_range(1..=MAX_APPEND_MS) + one_way_ms(0, from);
        let mut last = recorded;
        for to in 0..REGIONS {
            let delay = one_way_ms(from, to);
            if to != from {
                propagation.cross_region_bytes += HEADER_BYTES + VERSION_BYTES;
            }
            if to != 0 {
                propagation.cross_region_bytes += exchange + patch;
            }
            let lost = rng.random_ratio(LOST_PERCENT, 100);
            let notified_after = if lost { rng.random_range(0..FALLBACK_POLL_MS) } else { delay };
            let pulled = recorded + notified_after + 2 * one_way_ms(0, to);
            // After a lost notification within the region, a daemon learns the version from its own
            // poll of the puller.
            let lost_in_region = rng.random_ratio(LOST_PERCENT, 100);
            let spread = if lost_in_region { rng.random_range(0..FALLBACK_POLL_MS) } else { 0 }
                + SAME_REGION_MS;
            last = last.max(pulled + spread);
        }
        propagation.time_ms.saturating_record(last);
    }
    propagation
}
