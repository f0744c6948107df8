//! Operators that race, versions that never go back, and many patches in a row.

mod support;

use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::daemon::settings::Settings;
use pimentovalve::daemon::view;
use std::time::{Duration, Instant};
use support::Trial;

/// Patches in a row.
const PATCHES: u64 = 500;
/// The patch after which a daemon is replaced.
const RESTART: u64 = 200;

/// A patch that sets a weight, so that each differs from the one before.
fn patch(number: u64) -> String {
    format!(
        "[[teams]]\nname = \"notaries\"\nweight = {}\n\
         quota = {{ cpu_milli = 96000, memory_mib = 393216, accelerators = 0 }}\n",
        number % 90 + 1
    )
}

fn until_all_have(trial: &Trial, version: u64) {
    trial.until("all daemons have the version", || {
        trial.cell.running().iter().all(|&i| trial.version(i) == Some(version))
    });
}

#[gtest]
fn of_two_operators_on_one_version_exactly_one_wins() {
    let trial = Trial::start(2, |_| {});
    for round in 1..=10 {
        let addresses = trial.cell.operators();
        let answers: Vec<(u16, Vec<u8>)> = std::thread::scope(|scope| {
            let racers: Vec<_> = addresses
                .iter()
                .zip(0..)
                .map(|(address, i)| {
                    let text = patch(round * 2 + i);
                    scope.spawn(move || support::patch_at(*address, round, &text))
                })
                .collect();
            racers.into_iter().map(|r| r.join().expect("it ends")).collect()
        });
        let won = answers.iter().filter(|(status, _)| *status == 200).count();
        expect_that!(won, eq(1), "round {round}");
        let lost = answers.iter().find(|(status, _)| *status == 409);
        let (_, body) = lost.expect("the other is told");
        let refusal: serde_json::Value = serde_json::from_slice(body).expect("it is JSON");
        expect_that!(refusal["not_run"].as_bool(), some(eq(true)));
        expect_that!(refusal["since"][0]["version"].as_u64(), some(eq(round + 1)));
        until_all_have(&trial, round + 1);
    }
}

#[gtest]
fn every_patch_of_many_is_in_force_everywhere_while_a_daemon_is_replaced() {
    let mut trial = Trial::start(3, |s: &mut Settings| s.platform.retention_ms = Millis(20_000));
    let mut slowest = Duration::ZERO;
    let mut times = Vec::new();
    for version in 1..=PATCHES {
        let node = trial.cell.running()[(version % 2) as usize];
        let (status, body) = trial.patch(node, version, &patch(version));
        expect_that!(status, eq(200), "{}", String::from_utf8_lossy(&body));
        let accepted = Instant::now();
        until_all_have(&trial, version + 1);
        let time = accepted.elapsed();
        slowest = slowest.max(time);
        times.push(time);
        if version == RESTART {
            trial.cell.kill(2);
            trial.cell.unlist(2);
            let new = trial.cell.add().expect("a daemon can be added");
            trial.until("the new one has it", || trial.version(new) == Some(version + 1));
        }
    }
    times.sort();
    let half = times[times.len() / 2];
    println!("{PATCHES} patches: median {half:?}, slowest {slowest:?} until all have it");
    for node in trial.cell.running() {
        expect_that!(trial.version(node), some(eq(PATCHES + 1)));
    }
}

/// Watches the version at two daemons while the log is out, a daemon starts and an old one wakes.
#[gtest]
fn a_version_never_goes_back() {
    let mut trial = Trial::start(3, |_| {});
    trial.cell.freeze(2, true);
    for version in 1..=5 {
        expect_that!(trial.patch(0, version, &patch(version)).0, eq(200));
    }
    trial.until("both have it", || (0..2).all(|i| trial.version(i) == Some(6)));
    trial.cell.fleet.log.outage(true);
    // The sleeper wakes with an old version while only peers can tell it of the new one.
    trial.cell.freeze(2, false);
    let new = trial.cell.add().expect("a daemon can be added");
    let started = view::now();
    let mut seen = [6, 6];
    while view::now().since(started) < Millis(2500) {
        for (i, seen) in seen.iter_mut().enumerate() {
            let version = trial.version(i).unwrap_or(*seen);
            expect_that!(version, ge(*seen));
            *seen = version;
        }
    }
    trial.until("the sleeper has it", || trial.version(2) == Some(6));
    trial.until("the new one has it", || trial.version(new) == Some(6));
    trial.cell.fleet.log.outage(false);
    trial.until("a patch is accepted", || trial.patch(new, 6, &patch(7)).0 == 200);
    until_all_have(&trial, 7);
}

#[gtest]
fn a_version_that_no_second_instance_has_is_not_told_as_accepted() {
    let trial = Trial::start(2, |_| {});
    trial.cell.freeze(1, true);
    // Each thread of the daemon halts at its next step.
    std::thread::sleep(Duration::from_millis(500));
    let patch = "[weights]\npacking = 10\nwaiting = 20\nspread = 30\nlocality = 40\n";
    let (status, _) = trial.patch(0, 1, patch);
    expect_that!(status, eq(504));
    trial.cell.freeze(1, false);
    trial.until("both have it", || (0..2).all(|i| trial.version(i) == Some(2)));
    let (status, _) = trial.patch(0, 2, &patch.replace("10", "11"));
    expect_that!(status, eq(200));
}
