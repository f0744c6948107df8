//! Two faults at once, drawn by seed, over real daemons with requests under way.

#[path = "support/flight.rs"]
mod flight;
mod support;

use flight::{Flight, raw, slow};
use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::standin::fleet::Plan;
use pimentovalve::standin::runner::Runner;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Mutex;
use std::time::Duration;
use support::Trial;

/// Drawn trials.
const SEEDS: u64 = 32;
/// Trials that run at the same time.
const AT_ONCE: u64 = 4;
/// Requests of one trial.
const REQUESTS: u64 = 24;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wrong {
    Silence,
    Late,
    Crossed,
    Lost,
    Paused,
    Leaving,
    Killed,
    Stopped,
    LogOut,
    AppendsLost,
    AppendsLate,
}

const ALL: [Wrong; 11] = [
    Wrong::Silence,
    Wrong::Late,
    Wrong::Crossed,
    Wrong::Lost,
    Wrong::Paused,
    Wrong::Leaving,
    Wrong::Killed,
    Wrong::Stopped,
    Wrong::LogOut,
    Wrong::AppendsLost,
    Wrong::AppendsLate,
];

impl Wrong {
    /// Brings the fault about at a drawn place.
    fn happen(self, trial: &mut Trial, rng: &mut ChaCha8Rng) {
        let node = rng.random_range(0..2);
        let count = rng.random_range(1..6);
        let by = Millis(rng.random_range(50..900));
        let name = {
            let runners = &trial.cell.fleet.runners;
            runners[rng.random_range(0..runners.len())].0.clone()
        };
        let runner: &Runner = trial.cell.fleet.runner(name.as_str()).expect("the runner");
        match self {
            Self::Silence => runner.link().silence(),
            Self::Late => runner.late_answers(count, by),
            Self::Crossed => runner.cross_answers(count),
            Self::Lost => runner.lose_answers(count),
            Self::Paused => runner.link().pause(),
            Self::Leaving => {
                trial.cell.fleet.leave(name.as_str());
            }
            Self::Killed => trial.cell.kill(node),
            Self::Stopped => trial.cell.stop(node),
            Self::LogOut => trial.cell.fleet.log.outage(true),
            Self::AppendsLost => trial.cell.fleet.log.lose_answers(count),
            Self::AppendsLate => trial.cell.fleet.log.delay_landing(count, by),
        }
    }
}

/// Ends the faults that end.
fn heal(trial: &Trial) {
    trial.cell.fleet.log.outage(false);
    trial.cell.fleet.runners.iter().for_each(|(_, r)| r.link().resume());
}

/// Sends drawn requests, some of them under the same id at two instances.
fn send(trial: &Trial, rng: &mut ChaCha8Rng, flights: &mut Vec<Flight>) {
    let number = flights.len();
    let (idempotent, wait) = (rng.random_bool(0.5), rng.random_range(600..2500));
    let request = if rng.random_bool(0.5) {
        slow(&format!("r-{number}"), idempotent, wait, rng.random_range(1..400))
    } else {
        raw(&format!("r-{number}"), idempotent, wait)
    };
    let nodes = trial.cell.running();
    flights.push(trial.send(nodes[rng.random_range(0..nodes.len())], &request));
    if rng.random_bool(0.2) {
        flights.push(trial.send(nodes[rng.random_range(0..nodes.len())], &request));
    }
}

/// Runs one seed and returns what is wrong.
fn run(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = Plan::andino(1, 1).expect("the plan is valid");
    let mut trial = Trial::start_with(&plan, 3, |_| {});
    trial.await_runners();
    let first = ALL[rng.random_range(0..ALL.len())];
    let second = ALL[rng.random_range(0..ALL.len())];
    let mut flights = Vec::new();
    let turns = [rng.random_range(0..REQUESTS / 2), rng.random_range(REQUESTS / 2..REQUESTS)];
    for turn in 0..REQUESTS {
        send(&trial, &mut rng, &mut flights);
        if turn == turns[0] {
            first.happen(&mut trial, &mut rng);
        }
        if turn == turns[1] {
            second.happen(&mut trial, &mut rng);
        }
        std::thread::sleep(Duration::from_millis(rng.random_range(0..60)));
    }
    let landed: Vec<_> = flights.into_iter().map(Flight::land).collect();
    heal(&trial);
    trial.until("nothing is held any more", || {
        trial.cell.fleet.runners.iter().all(|(_, r)| r.link().pending() == 0)
    });
    let mut wrongs = trial.wrongs(&landed);
    // A daemon that was killed gives no answer; every other one does.
    if first != Wrong::Killed && second != Wrong::Killed {
        let mute = landed.iter().filter(|l| l.answer.is_none());
        wrongs.extend(mute.map(|l| format!("{} got no answer", l.request.id)));
    }
    // A paused runner takes what was held all at once, and refuses what is too much.
    if first != Wrong::Paused && second != Wrong::Paused && trial.overspent() > 0 {
        wrongs.push(format!("{} more than the slots", trial.overspent()));
    }
    wrongs.into_iter().map(|w| format!("seed {seed}, {first:?} and {second:?}: {w}")).collect()
}

#[gtest]
fn two_faults_at_once_break_no_promise() {
    let wrongs = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for first in 0..AT_ONCE {
            let wrongs = &wrongs;
            scope.spawn(move || {
                for seed in (first..SEEDS).step_by(usize::try_from(AT_ONCE).expect("small")) {
                    let found = run(seed);
                    wrongs.lock().expect("no panic").extend(found);
                }
            });
        }
    });
    let wrongs = wrongs.into_inner().expect("no panic");
    expect_that!(wrongs, is_empty());
}
