use super::*;
use crate::contract::class::Class;
use crate::contract::configuration::Patch;
use crate::contract::kind::{Kind, Shape};
use crate::ledger::record::{Change, Id, Record, Register};
use crate::machine::capacity::Capacity;
use crate::machine::worker::Worker;
use crate::name::Name;
use crate::zone::Place;
use googletest::prelude::*;

const BOUNDS: Bounds = Bounds { lease_ms: Millis(30), currency_ms: Millis(10), skew_ms: Millis(2) };

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn place() -> Place {
    Place { region: name("r"), domain: name("d"), rack: name("k") }
}

/// Owns the inputs of a [`View`].
struct Inputs {
    fleet: Fleet,
    proof: Proof,
    configuration: Configuration,
}

impl Inputs {
    fn new() -> Self {
        let kind = |text: &str, separation| Kind {
            name: name(text),
            shape: Shape::Batch,
            separation,
            class: Class::Normal,
            attempts: 1,
        };
        let kinds = vec![kind("hold", Separation::Hold), kind("move", Separation::Move)];
        let configuration =
            Configuration::default().patched(&Patch { kinds, ..Patch::default() }).unwrap();
        let mut proof = Proof::none();
        proof.tail(Millis(0), 0, 0);
        Self { fleet: Fleet::default(), proof, configuration }
    }

    fn lose(&mut self, epoch: Epoch) {
        let record = Record {
            id: Id { writer: name("a"), number: epoch },
            at: Millis(0),
            register: Register::Worker(name("w")),
            expect: self.fleet.loss("w").map_or(0, |l| l.version),
            change: Change::Lost { epoch },
        };
        self.fleet.apply(self.fleet.next, &record);
    }

    fn view(&self) -> View<'_> {
        View {
            fleet: &self.fleet,
            proof: &self.proof,
            configuration: &self.configuration,
            bounds: &BOUNDS,
        }
    }
}

fn run(index: u32, epoch: Epoch, kind: &str) -> RunningAttempt {
    RunningAttempt {
        task: task::Id { job: name("job"), index },
        attempt: 1,
        epoch,
        team: name("t"),
        kind: name(kind),
        needs: Capacity::new(1, 1, 0),
        until: Millis(30),
        usage: Capacity::ZERO,
    }
}

fn inventory(epoch: Epoch, controller: &str, running: Vec<RunningAttempt>) -> Inventory {
    Inventory {
        worker: Worker { name: name("w"), place: place(), capacity: Capacity::new(9, 9, 0) },
        epoch,
        controller: Some(name(controller)),
        leaving: false,
        running,
        ended: Vec::new(),
    }
}

fn renewed(inputs: &Inputs, running: Vec<RunningAttempt>, now: u64) -> Vec<u32> {
    let renewal = inputs.view().renewal(&inventory(3, "a", running), Millis(now));
    renewal.attempts.iter().map(|(task, _)| task.index).collect()
}

#[gtest]
fn a_loss_covers_an_attempt_also_under_a_newer_epoch() {
    let mut inputs = Inputs::new();
    inputs.lose(2);
    let running = vec![run(0, 2, "move"), run(1, 3, "move"), run(2, 2, "hold")];
    expect_that!(renewed(&inputs, running, 5), eq(&vec![1, 2]));
}

#[gtest]
fn without_a_current_proof_only_kinds_with_separation_hold_are_renewed() {
    let inputs = Inputs::new();
    let running = vec![run(0, 3, "move"), run(1, 3, "hold"), run(2, 3, "unknown")];
    expect_that!(renewed(&inputs, running.clone(), 10), eq(&vec![0, 1, 2]));
    expect_that!(renewed(&inputs, running, 11), eq(&vec![1]));
}

#[gtest]
fn a_start_needs_a_current_proof_whatever_the_kind() {
    let mut inputs = Inputs::new();
    expect_true!(inputs.view().may_start("w", 3, Millis(10)));
    expect_false!(inputs.view().may_start("w", 3, Millis(11)));
    inputs.lose(3);
    expect_false!(inputs.view().may_start("w", 3, Millis(10)));
    expect_true!(inputs.view().may_start("w", 4, Millis(10)));
}

#[gtest]
fn the_separation_of_a_kind_outlives_its_removal_and_cannot_be_changed() {
    let inputs = Inputs::new();
    let remove = Patch { remove_kinds: vec![name("hold")], ..Patch::default() };
    let next = inputs.configuration.patched(&remove).unwrap();
    expect_that!(next.separation("hold"), some(eq(Separation::Hold)));
    let mut kind = inputs.configuration.kind("hold").unwrap().clone();
    kind.separation = Separation::Move;
    let patch = Patch { kinds: vec![kind], ..Patch::default() };
    for configuration in [&inputs.configuration, &next] {
        let findings = configuration.patched(&patch).unwrap_err();
        expect_that!(findings.as_slice()[0].place.as_str(), eq("kinds[0].separation"));
    }
}
