use super::*;
use googletest::prelude::*;

const LAG: Millis = Millis(5);

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

fn membership() -> Membership {
    Membership::new(instance("own"), LAG, Millis(3))
}

/// Reads a list with the given instances at each of the given instants.
fn read(membership: &mut Membership, names: &[&str], at: &[u64]) {
    let listed: Vec<Instance> = names.iter().map(|name| instance(name)).collect();
    for now in at {
        membership.listed(&listed, Millis(*now));
    }
}

fn peers(membership: &Membership) -> Vec<&str> {
    membership.peers().map(|p| p.name.as_str()).collect()
}

#[gtest]
fn an_instance_is_asked_by_all_once_it_was_listed_for_twice_the_lag() {
    let mut membership = membership();
    expect_that!(membership.consulted_since(Millis(0)), none());
    read(&mut membership, &["own"], &[100, 105, 109]);
    expect_that!(membership.consulted_since(Millis(109)), none());
    read(&mut membership, &["own"], &[110]);
    expect_that!(membership.consulted_since(Millis(110)), some(eq(Millis(110))));
    expect_that!(membership.consulted_since(Millis(113)), some(eq(Millis(110))));
}

#[gtest]
fn an_old_reading_is_not_used() {
    let mut membership = membership();
    read(&mut membership, &["own"], &[100, 105, 110]);
    expect_true!(membership.is_current(Millis(115)));
    expect_false!(membership.is_current(Millis(116)));
    expect_that!(membership.consulted_since(Millis(116)), none());
    expect_false!(membership.is_current(Millis(109)));
}

#[gtest]
fn the_listed_time_restarts_after_an_instance_was_off_the_list() {
    let mut membership = membership();
    read(&mut membership, &["own"], &[100, 105, 110]);
    read(&mut membership, &[], &[111]);
    expect_that!(membership.consulted_since(Millis(111)), none());
    read(&mut membership, &["own"], &[112, 117, 121]);
    expect_that!(membership.consulted_since(Millis(121)), none());
    read(&mut membership, &["own"], &[122]);
    expect_that!(membership.consulted_since(Millis(122)), some(eq(Millis(122))));
}

#[gtest]
fn a_gap_between_readings_may_hide_that_an_instance_was_off_the_list() {
    let mut membership = membership();
    read(&mut membership, &["own"], &[100, 106, 111]);
    expect_that!(membership.consulted_since(Millis(111)), none());
    read(&mut membership, &["own"], &[116]);
    expect_that!(membership.consulted_since(Millis(116)), some(eq(Millis(116))));
}

#[gtest]
fn a_peer_that_left_the_list_is_asked_until_it_must_have_noticed() {
    let mut membership = membership();
    read(&mut membership, &["own", "b"], &[100]);
    read(&mut membership, &["own"], &[101, 106, 111]);
    expect_that!(peers(&membership), eq(&vec!["b"]));
    read(&mut membership, &["own"], &[112]);
    expect_that!(peers(&membership), is_empty());
}

#[gtest]
fn a_peer_that_is_listed_again_is_kept() {
    let mut membership = membership();
    read(&mut membership, &["own", "b"], &[100]);
    read(&mut membership, &["own"], &[101]);
    read(&mut membership, &["own", "b"], &[102]);
    read(&mut membership, &["own"], &[112]);
    expect_that!(peers(&membership), eq(&vec!["b"]));
}

#[gtest]
fn candidates_are_responsive_and_not_draining() {
    let mut membership = membership();
    read(&mut membership, &["own", "b", "c"], &[100]);
    let names = |m: &Membership, now| -> Vec<String> {
        m.candidates(Millis(now)).iter().map(|i| i.name.as_str().into()).collect()
    };
    expect_that!(names(&membership, 100), elements_are![eq("b"), eq("c"), eq("own")]);
    membership.record_answer("b", false, Millis(103));
    membership.record_answer("c", true, Millis(103));
    expect_that!(names(&membership, 104), elements_are![eq("b"), eq("own")]);
    membership.drain();
    expect_that!(names(&membership, 107), is_empty());
}
