use super::*;
use crate::zone::Place;
use crate::zone::membership::{Instance, Role, State};
use googletest::prelude::*;

const TERM: Millis = Millis(10);

fn instance(name: &str) -> Instance {
    let checked = |text: &str| Name::try_from(text).unwrap();
    Instance {
        name: checked(name),
        role: Role::Entry,
        place: Place { region: checked("r"), domain: checked("d"), rack: checked("k") },
        address: "127.0.0.1:1".into(),
        state: State::Live,
        worker: None,
        service: None,
    }
}

fn membership(peers: &[&str], now: Millis) -> Membership {
    let mut membership = Membership::new(instance("own"), Millis(5), Millis(100));
    let listed: Vec<Instance> = peers.iter().map(|name| instance(name)).collect();
    membership.listed(&listed, now);
    membership
}

fn statement(next: Offset, age: Option<u64>) -> Statement {
    Statement { next, age: age.map(Millis) }
}

fn proven(at: u64) -> Proof {
    let mut proof = Proof::none();
    proof.tail(Millis(at), 0, 0);
    proof
}

#[gtest]
fn a_proof_is_dated_with_the_question() {
    let mut proof = Proof::none();
    expect_false!(proof.is_current(TERM, Millis(0)));
    expect_false!(proof.tail(Millis(100), 8, 7));
    expect_true!(proof.tail(Millis(100), 7, 7));
    expect_true!(proof.is_current(TERM, Millis(110)));
    expect_false!(proof.is_current(TERM, Millis(111)));
}

#[gtest]
fn a_proof_is_void_if_the_clock_went_back() {
    expect_false!(proven(100).is_current(TERM, Millis(99)));
}

#[gtest]
fn an_older_proof_does_not_replace_a_newer_one() {
    let mut proof = proven(100);
    proof.tail(Millis(90), 0, 0);
    expect_that!(proof.as_of(), some(eq(Millis(100))));
}

#[gtest]
fn answers_of_all_listed_peers_are_a_proof() {
    let mut proof = proven(10);
    let mut poll = Poll::new(&membership(&["b", "c"], Millis(100)), Millis(101));
    expect_true!(poll.answer("b", statement(4, None)));
    expect_false!(proof.peers(&poll, 4));
    expect_true!(poll.answer("c", statement(3, None)));
    expect_false!(poll.answer("c", statement(3, None)));
    expect_false!(poll.answer("d", statement(3, None)));
    expect_true!(proof.peers(&poll, 4));
    expect_that!(proof.as_of(), some(eq(Millis(101))));
}

#[gtest]
fn a_peer_that_read_more_is_no_proof_until_its_view_is_merged() {
    let mut proof = proven(10);
    let mut poll = Poll::new(&membership(&["b"], Millis(100)), Millis(100));
    poll.answer("b", statement(5, None));
    expect_false!(proof.peers(&poll, 4));
    expect_true!(proof.peers(&poll, 5));
}

#[gtest]
fn a_peer_with_a_proof_passes_it_on() {
    let mut proof = Proof::none();
    let mut poll = Poll::new(&membership(&["b", "c"], Millis(100)), Millis(100));
    poll.answer("b", statement(4, Some(3)));
    expect_false!(proof.peers(&poll, 3));
    expect_true!(proof.peers(&poll, 4));
    expect_that!(proof.as_of(), some(eq(Millis(97))));
}

#[gtest]
fn an_outdated_membership_list_gives_no_proof() {
    let mut proof = proven(10);
    let mut poll = Poll::new(&membership(&["b"], Millis(100)), Millis(106));
    poll.answer("b", statement(4, None));
    expect_false!(proof.peers(&poll, 4));
}

#[gtest]
fn instances_that_have_all_just_started_have_no_proof() {
    let mut proof = Proof::none();
    let mut poll = Poll::new(&membership(&["b"], Millis(100)), Millis(100));
    poll.answer("b", statement(0, None));
    expect_false!(proof.peers(&poll, 0));
    let alone = Poll::new(&membership(&[], Millis(100)), Millis(100));
    expect_false!(proof.peers(&alone, 0));
    expect_true!(proven(10).peers(&alone, 0));
}
