use super::LastSeen;
use crate::view::{LedgerView, Members};
use googletest::prelude::*;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::What;
use pimentovalve_core::zone::Place;
use pimentovalve_core::zone::membership::{Instance, Role, State};
use std::sync::Arc;

const TERM: Millis = Millis(100);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn instance(text: &str, role: Role, state: State) -> Instance {
    let place = Place { region: name("lima"), domain: name("lima-a"), rack: name("r1") };
    let address = "127.0.0.1:1".into();
    Instance { name: name(text), role, place, address, state, worker: None, service: None }
}

#[gtest]
fn a_configuration_is_in_force_only_while_it_is_current() {
    let mut last = LastSeen::default();
    let mut ledger_view = LedgerView::default();
    let lapsed = vec![What::ConfigurationLapsed { version: 0 }];
    let in_force = vec![What::ConfigurationInForce { version: 0 }];
    expect_that!(last.ledger_view(&ledger_view, TERM, Millis(1_000)), eq(&lapsed));
    expect_that!(last.ledger_view(&ledger_view, TERM, Millis(1_050)), eq(&Vec::new()));
    ledger_view.history_as_of = Millis(1_050);
    expect_that!(last.ledger_view(&ledger_view, TERM, Millis(1_150)), eq(&in_force));
    expect_that!(last.ledger_view(&ledger_view, TERM, Millis(1_150)), eq(&Vec::new()));
    expect_that!(last.ledger_view(&ledger_view, TERM, Millis(1_151)), eq(&lapsed));
    ledger_view.history_as_of = Millis(1_200);
    expect_that!(last.ledger_view(&ledger_view, TERM, Millis(1_201)), eq(&in_force));
}

#[gtest]
fn a_log_outage_is_recorded_once() {
    let mut last = LastSeen::default();
    let mut ledger_view =
        LedgerView { history_as_of: Millis(1_000), log_unavailable: true, ..LedgerView::default() };
    let changes = last.ledger_view(&ledger_view, TERM, Millis(1_000));
    expect_that!(changes, contains(eq(&What::LogLost)));
    expect_that!(last.ledger_view(&ledger_view, TERM, Millis(1_000)), eq(&Vec::new()));
    ledger_view.log_unavailable = false;
    expect_that!(last.ledger_view(&ledger_view, TERM, Millis(1_000)), eq(&vec![What::LogRegained]));
}

#[gtest]
fn changes_of_peers_and_leaving_machines_are_recorded() {
    let own = instance("entry-1", Role::Entry, State::Live);
    let peer = instance("entry-2", Role::Entry, State::Live);
    let runner = instance("runner-1", Role::Runner, State::Leaving);
    let mut last = LastSeen::default();
    let mut members = Members::alone(own.clone());
    members.candidates = vec![own, peer];
    members.listed = Arc::new(vec![runner]);
    let first = vec![
        What::PeerHeard { peer: name("entry-2") },
        What::LeavingSeen { instance: name("runner-1") },
    ];
    expect_that!(last.members(&members), eq(&first));
    expect_that!(last.members(&members), eq(&Vec::new()));
    members.candidates.truncate(1);
    expect_that!(last.members(&members), eq(&vec![What::PeerLost { peer: name("entry-2") }]));
}
