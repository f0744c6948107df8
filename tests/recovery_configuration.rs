//! Configuration versions: concurrent patches, monotonic versions and many successive patches.

mod support;

use googletest::prelude::*;
use pimentovalve::core::clock::Millis;
use pimentovalve::daemon::settings::Settings;
use pimentovalve::daemon::view;
use std::time::{Duration, Instant};
use support::Harness;

/// Number of successive patches.
const PATCHES: u64 = 500;
/// Patch after which a daemon is replaced.
const REPLACE_AFTER: u64 = 200;

/// Returns a patch that sets a team's weight; successive numbers give different patches.
fn patch(number: u64) -> String {
    format!(
        "[[teams]]\nname = \"notaries\"\nweight = {}\n\
         quota = {{ cpu_milli = 96000, memory_mib = 393216, accelerators = 0 }}\n",
        number % 90 + 1
    )
}

fn wait_until_all_have(harness: &Harness, version: u64) {
    harness.wait_until("all daemons have the version", || {
        harness.cell.running().iter().all(|&i| harness.version(i) == Some(version))
    });
}

#[gtest]
fn of_two_concurrent_patches_to_one_version_exactly_one_is_accepted() {
    let harness = Harness::start(2, |_| {});
    for round in 1..=10 {
        let addresses = harness.cell.operator_addresses();
        let answers: Vec<(u16, Vec<u8>)> = std::thread::scope(|scope| {
            let clients: Vec<_> = addresses
                .iter()
                .zip(0..)
                .map(|(address, i)| {
                    let text = patch(round * 2 + i);
                    scope.spawn(move || support::patch_at(*address, round, &text))
                })
                .collect();
            clients.into_iter().map(|r| r.join().expect("it ends")).collect()
        });
        let accepted = answers.iter().filter(|(status, _)| *status == 200).count();
        expect_that!(accepted, eq(1), "round {round}");
        let conflict = answers.iter().find(|(status, _)| *status == 409);
        let (_, body) = conflict.expect("the other patch gets 409");
        let refusal: serde_json::Value = serde_json::from_slice(body).expect("it is JSON");
        expect_that!(refusal["not_run"].as_bool(), some(eq(true)));
        expect_that!(refusal["since"][0]["version"].as_u64(), some(eq(round + 1)));
        wait_until_all_have(&harness, round + 1);
    }
}

#[gtest]
fn every_patch_reaches_all_daemons_while_one_is_replaced() {
    let mut harness =
        Harness::start(3, |s: &mut Settings| s.platform.retention_ms = Millis(20_000));
    let mut slowest = Duration::ZERO;
    let mut times = Vec::new();
    for version in 1..=PATCHES {
        let node = harness.cell.running()[(version % 2) as usize];
        let (status, body) = harness.patch(node, version, &patch(version));
        expect_that!(status, eq(200), "{}", String::from_utf8_lossy(&body));
        let accepted = Instant::now();
        wait_until_all_have(&harness, version + 1);
        let time = accepted.elapsed();
        slowest = slowest.max(time);
        times.push(time);
        if version == REPLACE_AFTER {
            harness.cell.kill(2);
            harness.cell.unlist(2);
            let new = harness.cell.add().expect("a daemon can be added");
            harness.wait_until("the new daemon has the version", || {
                harness.version(new) == Some(version + 1)
            });
        }
    }
    times.sort();
    let median = times[times.len() / 2];
    println!("{PATCHES} patches: median {median:?}, slowest {slowest:?} until all have it");
    for node in harness.cell.running() {
        expect_that!(harness.version(node), some(eq(PATCHES + 1)));
    }
}

/// Polls the version at two daemons during a log outage, while a new daemon starts and a paused one
/// resumes with an old version.
#[gtest]
fn a_version_never_goes_back() {
    let mut harness = Harness::start(3, |_| {});
    harness.cell.set_paused(2, true);
    for version in 1..=5 {
        expect_that!(harness.patch(0, version, &patch(version)).0, eq(200));
    }
    harness.wait_until("both daemons have the version", || {
        (0..2).all(|i| harness.version(i) == Some(6))
    });
    harness.cell.fleet.log.set_outage(true);
    // The paused daemon resumes with an old version; only its peers can supply the new one.
    harness.cell.set_paused(2, false);
    let new = harness.cell.add().expect("a daemon can be added");
    let started = view::now();
    let mut seen = [6, 6];
    while view::now().since(started) < Millis(2500) {
        for (i, seen) in seen.iter_mut().enumerate() {
            let version = harness.version(i).unwrap_or(*seen);
            expect_that!(version, ge(*seen));
            *seen = version;
        }
    }
    harness.wait_until("the resumed daemon has the version", || harness.version(2) == Some(6));
    harness.wait_until("the new daemon has the version", || harness.version(new) == Some(6));
    harness.cell.fleet.log.set_outage(false);
    harness.wait_until("a patch is accepted", || harness.patch(new, 6, &patch(7)).0 == 200);
    wait_until_all_have(&harness, 7);
}

#[gtest]
fn a_patch_that_no_second_instance_has_is_not_reported_as_accepted() {
    let harness = Harness::start(2, |_| {});
    harness.cell.set_paused(1, true);
    // Each thread of the daemon pauses only at its next step.
    std::thread::sleep(Duration::from_millis(500));
    let patch = "[weights]\npacking = 10\nwaiting = 20\nspread = 30\nlocality = 40\n";
    let (status, _) = harness.patch(0, 1, patch);
    expect_that!(status, eq(504));
    harness.cell.set_paused(1, false);
    harness.wait_until("both daemons have the version", || {
        (0..2).all(|i| harness.version(i) == Some(2))
    });
    let (status, _) = harness.patch(0, 2, &patch.replace("10", "11"));
    expect_that!(status, eq(200));
}
