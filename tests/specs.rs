//! Model-checks the TLA+ specifications of the core protocols exhaustively, and mutation-tests
//! their guards: a mutant without one guard must violate an invariant.

use googletest::prelude::*;
use std::path::{Path, PathBuf};
use tla_checker::ast::Value;
use tla_checker::checker::{self, CheckResult};
use tla_checker::{config, load};

/// Limit of the state space, which keeps the tests fast. A specification that exceeds it needs
/// smaller constants.
const MAX_STATES: usize = 100_000;

/// Model-checks a specification with a configuration file and overriding constants.
fn check(spec: &str, cfg: &str, constants: &[(&str, &str)]) -> CheckResult {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("specs");
    let constants: Vec<(_, Value)> = constants
        .iter()
        .map(|(name, value)| {
            let value = config::parse_constant_value(value).expect("the constant must parse");
            ((*name).into(), value)
        })
        .collect();
    let file =
        |name: &str, extension: &str| -> PathBuf { folder.join(name).with_extension(extension) };
    let prepared = load::prepare_from_path(&file(spec, "tla"), Some(&file(cfg, "cfg")), &constants)
        .expect("the specification must parse");
    let mut checker = prepared.checker_config;
    checker.max_states = MAX_STATES;
    checker::check(&prepared.spec, &prepared.domains, &checker)
}

/// Returns the value of the constant `Skipped` that disables one guard.
fn skipped(guard: &str) -> String {
    format!("{{\"{guard}\"}}")
}

/// Asserts that the invariants hold in every reachable state.
fn holds(spec: &str, cfg: &str, constants: &[(&str, &str)]) {
    match check(spec, cfg, constants) {
        CheckResult::Ok(stats) => {
            let (states, seconds) = (stats.states_explored, stats.elapsed_secs);
            println!("{spec} ({cfg}, {constants:?}): {states} states, no error, {seconds:.1} s");
            assert!(states > 1, "{spec}: nothing was explored");
        }
        CheckResult::InvariantViolation(found, _) => {
            for (state, action) in found.trace.iter().zip(&found.actions) {
                println!("{action:?} {state:?}");
            }
            panic!(
                "{spec} ({cfg}, {constants:?}): invariant {} violated",
                found.violated_invariant
            );
        }
        other => panic!("{spec} ({cfg}, {constants:?}): {other:?}"),
    }
}

/// Asserts that a mutant, with a guard disabled or another constant, violates an invariant.
fn rejects(spec: &str, cfg: &str, constants: &[(&str, &str)]) {
    match check(spec, cfg, constants) {
        CheckResult::InvariantViolation(found, _) => {
            let steps = found.trace.len();
            println!("{spec} ({cfg}, {constants:?}): rejected in {steps} steps");
        }
        other => panic!("{spec} ({cfg}, {constants:?}): the mutant passed: {other:?}"),
    }
}

#[gtest]
fn adoption_holds() {
    holds("adoption", "adoption", &[]);
}

#[gtest]
fn adoption_needs_its_guards() {
    for guard in ["compare", "sender", "start", "record", "past", "newer", "acknowledge"] {
        rejects("adoption", "adoption", &[("Skipped", &skipped(guard))]);
    }
}

#[gtest]
fn attempt_holds() {
    holds("attempt", "attempt", &[]);
}

#[gtest]
fn attempt_holds_with_separation_hold() {
    holds("attempt", "attempt", &[("Separation", "\"hold\""), ("Skew", "0")]);
}

#[gtest]
fn attempt_holds_while_the_list_changes() {
    holds("attempt", "attempt-list", &[]);
}

#[gtest]
fn attempt_needs_its_guards() {
    for guard in ["asked", "currency", "lost", "renew"] {
        rejects("attempt", "attempt", &[("Skew", "0"), ("Skipped", &skipped(guard))]);
    }
    let hold = ("Separation", "\"hold\"");
    rejects("attempt", "attempt", &[("Skew", "0"), hold, ("Skipped", &skipped("hold"))]);
}

#[gtest]
fn attempt_needs_the_whole_fence() {
    rejects("attempt", "attempt", &[("Less", "1")]);
    rejects("attempt", "attempt", &[("Skew", "0"), ("Less", "1")]);
}

#[gtest]
fn attempt_needs_the_steward_listed_before_the_fence() {
    rejects("attempt", "attempt-list", &[("Skipped", &skipped("listed"))]);
}

#[gtest]
fn attempt_needs_to_query_peers_that_left_the_list() {
    rejects("attempt", "attempt-list", &[("Skipped", &skipped("departed"))]);
}

#[gtest]
fn attempt_needs_its_start_deadline() {
    rejects("attempt", "attempt-list", &[("Skipped", &skipped("start_by"))]);
}

#[gtest]
fn attempt_needs_to_wait_for_its_start_deadline() {
    rejects("attempt", "attempt-list", &[("Skipped", &skipped("placed"))]);
}

#[gtest]
fn claim_holds() {
    holds("claim", "claim", &[]);
}

#[gtest]
fn claim_needs_its_guards() {
    for guard in ["read back", "once", "doubt", "expired", "window"] {
        rejects("claim", "claim", &[("Skipped", &skipped(guard))]);
    }
}

#[gtest]
fn configuration_holds() {
    holds("configuration", "configuration", &[]);
}

#[gtest]
fn configuration_is_in_force_in_time() {
    holds("configuration", "configuration-term", &[]);
    holds("configuration", "configuration-proof", &[]);
}

#[gtest]
fn configuration_needs_its_guards() {
    for guard in ["expect", "monotone", "gap"] {
        rejects("configuration", "configuration", &[("Skipped", &skipped(guard))]);
    }
}

#[gtest]
fn configuration_needs_its_term() {
    for guard in ["second", "term", "newcomer"] {
        rejects("configuration", "configuration-term", &[("Skipped", &skipped(guard))]);
    }
    rejects("configuration", "configuration-proof", &[("Skipped", &skipped("forwarded"))]);
}

#[gtest]
fn ends_hold() {
    holds("ends", "ends", &[]);
}

#[gtest]
fn ends_need_their_guards() {
    for guard in ["recorded", "connection"] {
        rejects("ends", "ends", &[("Skipped", &skipped(guard))]);
    }
}

#[gtest]
fn shard_holds() {
    holds("shard", "shard", &[]);
}

#[gtest]
fn shard_needs_its_guards() {
    for guard in ["first", "token", "look", "order", "stop"] {
        rejects("shard", "shard", &[("Skipped", &skipped(guard))]);
    }
    // Either the store's fence or reading all claims stops a former owner; without both it goes on.
    rejects("shard", "shard", &[("Skipped", "{\"fence\", \"read\"}")]);
}
