//! Two seeded random faults in one run, injected into real daemons, runners or the log while
//! requests are in progress.

#[path = "support/flight.rs"]
mod flight;
mod support;

use flight::{PendingRequest, echo_request, slow_request};
use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::standin::fleet::Plan;
use pimentovalve::standin::runner::Runner;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Mutex;
use std::time::Duration;
use support::Harness;

/// Number of runs, one for each seed.
const SEEDS: u64 = 32;
/// Runs in progress at the same time.
const CONCURRENT_RUNS: u64 = 4;
/// Requests of one run, without duplicates.
const REQUESTS: u64 = 24;

/// A fault that is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    SilentLink,
    LateAnswers,
    CrossedAnswers,
    LostAnswers,
    PausedRunner,
    LeavingRunner,
    KilledDaemon,
    StoppedDaemon,
    LogOutage,
    LostAppendAnswers,
    DelayedAppends,
}

const ALL: [Fault; 11] = [
    Fault::SilentLink,
    Fault::LateAnswers,
    Fault::CrossedAnswers,
    Fault::LostAnswers,
    Fault::PausedRunner,
    Fault::LeavingRunner,
    Fault::KilledDaemon,
    Fault::StoppedDaemon,
    Fault::LogOutage,
    Fault::LostAppendAnswers,
    Fault::DelayedAppends,
];

impl Fault {
    /// Injects the fault at a random daemon or runner.
    fn inject(self, harness: &mut Harness, rng: &mut ChaCha8Rng) {
        let node = rng.random_range(0..2);
        let count = rng.random_range(1..6);
        let by = Millis(rng.random_range(50..900));
        let name = {
            let runners = &harness.cell.fleet.runners;
            runners[rng.random_range(0..runners.len())].0.clone()
        };
        let runner: &Runner = harness.cell.fleet.runner(name.as_str()).expect("the runner");
        match self {
            Self::SilentLink => runner.link().silence(),
            Self::LateAnswers => runner.late_answers(count, by),
            Self::CrossedAnswers => runner.cross_answers(count),
            Self::LostAnswers => runner.lose_answers(count),
            Self::PausedRunner => runner.link().pause(),
            Self::LeavingRunner => {
                harness.cell.fleet.leave(name.as_str());
            }
            Self::KilledDaemon => harness.cell.kill(node),
            Self::StoppedDaemon => harness.cell.stop(node),
            Self::LogOutage => harness.cell.fleet.log.set_outage(true),
            Self::LostAppendAnswers => harness.cell.fleet.log.lose_answers(count),
            Self::DelayedAppends => harness.cell.fleet.log.delay_landing(count, by),
        }
    }
}

/// Ends the log outage and resumes paused runners.
fn heal(harness: &Harness) {
    harness.cell.fleet.log.set_outage(false);
    harness.cell.fleet.runners.iter().for_each(|(_, r)| r.link().resume());
}

/// Sends a random request to a random daemon, sometimes twice under the same id.
fn send(harness: &Harness, rng: &mut ChaCha8Rng, pending: &mut Vec<PendingRequest>) {
    let number = pending.len();
    let (idempotent, wait) = (rng.random_bool(0.5), rng.random_range(600..2500));
    let request = if rng.random_bool(0.5) {
        slow_request(&format!("r-{number}"), idempotent, wait, rng.random_range(1..400))
    } else {
        echo_request(&format!("r-{number}"), idempotent, wait)
    };
    let nodes = harness.cell.running();
    pending.push(harness.send(nodes[rng.random_range(0..nodes.len())], &request));
    if rng.random_bool(0.2) {
        pending.push(harness.send(nodes[rng.random_range(0..nodes.len())], &request));
    }
}

/// Runs one seed and returns the violations.
fn run(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::andino(1, 1).expect("the plan is valid");
    let mut harness = Harness::start_with(&plan, 3, |_| {});
    harness.await_runners();
    let first = ALL[rng.random_range(0..ALL.len())];
    let second = ALL[rng.random_range(0..ALL.len())];
    let mut pending = Vec::new();
    let fault_turns = [rng.random_range(0..REQUESTS / 2), rng.random_range(REQUESTS / 2..REQUESTS)];
    for turn in 0..REQUESTS {
        send(&harness, &mut rng, &mut pending);
        if turn == fault_turns[0] {
            first.inject(&mut harness, &mut rng);
        }
        if turn == fault_turns[1] {
            second.inject(&mut harness, &mut rng);
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(0..60)));
    }
    let finished: Vec<_> = pending.into_iter().map(PendingRequest::wait).collect();
    heal(&harness);
    harness.wait_until("no runner holds a request", || {
        harness.cell.fleet.runners.iter().all(|(_, r)| r.link().pending() == 0)
    });
    let mut violations = harness.violations(&finished);
    // Callers of a killed daemon get no answer; all others must get one.
    if first != Fault::KilledDaemon && second != Fault::KilledDaemon {
        let unanswered = finished.iter().filter(|l| l.answer.is_none());
        violations.extend(unanswered.map(|l| format!("{} got no answer", l.request.id)));
    }
    // A paused runner takes all held requests at once when it resumes, and rejects those above its
    // slots.
    if first != Fault::PausedRunner
        && second != Fault::PausedRunner
        && harness.rejected_for_slots() > 0
    {
        violations.push(format!(
            "{} requests rejected because all slots were in use",
            harness.rejected_for_slots()
        ));
    }
    violations.into_iter().map(|w| format!("seed {seed}, {first:?} and {second:?}: {w}")).collect()
}

#[gtest]
fn two_random_faults_violate_no_guarantee() {
    let violations = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for first in 0..CONCURRENT_RUNS {
            let violations = &violations;
            scope.spawn(move || {
                for seed in (first..SEEDS).step_by(usize::try_from(CONCURRENT_RUNS).expect("small"))
                {
                    let found = run(seed);
                    violations.lock().expect("no panic").extend(found);
                }
            });
        }
    });
    let violations = violations.into_inner().expect("no panic");
    expect_that!(violations, is_empty());
}
