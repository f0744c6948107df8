use super::{ASK_AGE, INTERVAL, LONG_INTERVAL, Offer, PATIENCE, Search, TIMEOUT};
use crate::shard::freshness::MAX_CONFIGURATION_AGE;
use crate::shard::ledger::CATALOG_WAIT;
use crate::shard::view::Configuration;
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::catalog::{Bounds, Catalog};
use pimentovalve_core::contract::roster::{Raw, Roster};
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_wire::codec;
use std::sync::Arc;

const NOW: Millis = Millis(1_000_000);

fn catalog(version: u64) -> Catalog {
    let bounds =
        Bounds { header_bytes: 1, body_bytes: 1, header_ms: Millis(1), idle_ms: Millis(1) };
    let quota = Capacity::new(1000, 1024, 0);
    let raw = Raw { name: "wards".into(), weight: 1, quota, keys: vec!["hunter-2".into()] };
    Catalog::new(version, Vec::new(), bounds, Roster::try_from(vec![raw]).unwrap())
}

fn configuration(version: u64, age: u64) -> Configuration {
    let covered_until = NOW.since(Millis(age));
    Configuration { catalog: Some(Arc::new(catalog(version))), covered_until }
}

/// Returns the configuration of a daemon that has version 4, read 2 s ago, after an offer.
fn after(offer: Offer) -> (u64, Millis) {
    let mut own = configuration(4, 2000);
    let covered_until = offer.covered_until(NOW.since(Millis(100)));
    own.learn(offer.catalog, covered_until);
    (own.catalog.unwrap().version, NOW.since(own.covered_until))
}

#[gtest]
fn an_offer_carries_the_version_only_if_it_is_newer() {
    let peer = configuration(5, 300);
    let version = |asked| Offer::new(&peer, asked, NOW).catalog.map(|c| c.version);
    expect_that!((version(0), version(4)), eq((Some(5), Some(5))));
    expect_that!((version(5), version(6)), eq((None, None)));
    expect_that!(Offer::new(&peer, 4, NOW).age, eq(Millis(300)));
}

#[gtest]
fn an_offer_survives_its_encoding_and_its_debug_output_has_no_secret() {
    let peer = configuration(5, 300);
    let body = codec::pack(&Offer::new(&peer, 4, NOW)).unwrap();
    let offer: Offer = codec::unpack(&body).unwrap();
    expect_that!(offer.catalog, some(eq(&catalog(5))));
    expect_that!(format!("{offer:?}"), not(contains_substring("hunter-2")));
}

/// The peer's age counts from the question, not from the answer: the answer may have been under way.
#[gtest]
fn an_offer_covers_the_time_of_the_question_less_the_age_of_the_peers_configuration() {
    expect_that!(after(Offer { age: Millis(300), catalog: None }), eq((4, Millis(400))));
    let newer = Offer { age: Millis(300), catalog: Some(catalog(5)) };
    expect_that!(after(newer), eq((5, Millis(400))));
}

#[gtest]
fn a_peer_with_an_older_view_or_version_changes_nothing() {
    let unchanged = (4, Millis(2000));
    expect_that!(after(Offer { age: Millis(9000), catalog: None }), eq(unchanged));
    expect_that!(after(Offer { age: Millis::MAX, catalog: None }), eq(unchanged));
    let older = Offer { age: Millis(9000), catalog: Some(catalog(3)) };
    expect_that!(after(older), eq(unchanged));
}

#[gtest]
fn a_newer_version_counts_although_its_reader_may_have_missed_another_one() {
    let newer = Offer { age: Millis(9000), catalog: Some(catalog(5)) };
    expect_that!(after(newer), eq((5, Millis(2000))));
}

#[gtest]
fn peers_are_asked_only_while_the_own_reads_fail() {
    let (search, peers) = (Search::default(), [Box::from("p")]);
    let peer = |fails, age| search.peer(fails, &configuration(4, age), "owner", &peers, 0, NOW);
    expect_that!(peer(false, ASK_AGE.get() - 1), none());
    expect_that!(peer(true, 0).as_deref(), some(eq("owner")));
    // The reads hang.
    expect_that!(peer(false, ASK_AGE.get()).as_deref(), some(eq("owner")));
}

#[gtest]
fn the_owner_is_asked_first_then_others_and_who_helped_is_asked_again() {
    let (mut search, old) = (Search::default(), configuration(4, 2000));
    let peers = [Box::from("p"), Box::from("q")];
    let peer = |search: &Search| search.peer(true, &old, "owner", &peers, 3, NOW).unwrap();
    expect_that!(&*peer(&search), eq("owner"));
    search.note("owner", None, NOW);
    expect_that!(&*peer(&search), eq("q"));
    search.note("p", Some(NOW.since(Millis(200))), NOW);
    expect_that!(&*peer(&search), eq("p"));
    // The store turns this peer away too.
    search.note("p", Some(NOW.since(ASK_AGE)), NOW);
    expect_that!(&*peer(&search), eq("q"));
    expect_that!(search.peer(true, &old, "", &[], 3, NOW), none());
}

#[gtest]
fn questions_become_rare_while_nobody_helps() {
    let mut search = Search::default();
    for _ in 0..PATIENCE {
        expect_that!(search.pause(), eq(INTERVAL));
        search.note("p", None, NOW);
    }
    expect_that!(search.pause(), eq(LONG_INTERVAL));
    expect_that!(
        search.peer(true, &configuration(4, 2000), "owner", &[], 0, NOW),
        some(anything())
    );
    search.note("p", Some(NOW), NOW);
    expect_that!(search.pause(), eq(INTERVAL));
}

#[gtest]
fn a_question_without_an_answer_leaves_the_configuration_recent_enough() {
    expect_that!(ASK_AGE + INTERVAL + TIMEOUT, le(MAX_CONFIGURATION_AGE));
}

/// Regression: a daemon that the store served asked its peers all the time, because the configuration is
/// as old as the last two reads just before the second one ends.
#[gtest]
fn a_daemon_that_the_store_serves_asks_nobody() {
    expect_that!(ASK_AGE, gt(CATALOG_WAIT.times(2)));
}
