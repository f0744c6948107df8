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

/// Everything that a controller rests on.
struct Scene {
    fleet: Fleet,
    proof: Proof,
    configuration: Configuration,
}

impl Scene {
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

fn holding(index: u32, epoch: Epoch, kind: &str) -> Holding {
    Holding {
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

fn inventory(epoch: Epoch, controller: &str, running: Vec<Holding>) -> Inventory {
    Inventory {
        worker: Worker { name: name("w"), place: place(), capacity: Capacity::new(9, 9, 0) },
        epoch,
        controller: Some(name(controller)),
        leaving: false,
        running,
        ended: Vec::new(),
    }
}

fn renewed(scene: &Scene, running: Vec<Holding>, now: u64) -> Vec<u32> {
    let renewal = scene.view().renewal(&inventory(3, "a", running), Millis(now));
    renewal.attempts.iter().map(|(task, _)| task.index).collect()
}

#[gtest]
fn a_loss_covers_an_attempt_also_under_a_newer_epoch() {
    let mut scene = Scene::new();
    scene.lose(2);
    let running = vec![holding(0, 2, "move"), holding(1, 3, "move"), holding(2, 2, "hold")];
    expect_that!(renewed(&scene, running, 5), eq(&vec![1, 2]));
}

#[gtest]
fn without_a_proof_only_kinds_that_hold_are_renewed() {
    let scene = Scene::new();
    let running = vec![holding(0, 3, "move"), holding(1, 3, "hold"), holding(2, 3, "unknown")];
    expect_that!(renewed(&scene, running.clone(), 10), eq(&vec![0, 1, 2]));
    expect_that!(renewed(&scene, running, 11), eq(&vec![1]));
}

#[gtest]
fn a_start_needs_a_proof_with_every_kind() {
    let mut scene = Scene::new();
    expect_true!(scene.view().may_start("w", 3, Millis(10)));
    expect_false!(scene.view().may_start("w", 3, Millis(11)));
    scene.lose(3);
    expect_false!(scene.view().may_start("w", 3, Millis(10)));
    expect_true!(scene.view().may_start("w", 4, Millis(10)));
}

#[gtest]
fn a_removed_kind_keeps_its_meaning_and_none_changes_it() {
    let scene = Scene::new();
    let remove = Patch { remove_kinds: vec![name("hold")], ..Patch::default() };
    let next = scene.configuration.patched(&remove).unwrap();
    expect_that!(next.separation("hold"), some(eq(Separation::Hold)));
    let mut kind = scene.configuration.kind("hold").unwrap().clone();
    kind.separation = Separation::Move;
    let patch = Patch { kinds: vec![kind], ..Patch::default() };
    for configuration in [&scene.configuration, &next] {
        let findings = configuration.patched(&patch).unwrap_err();
        expect_that!(findings.as_slice()[0].place.as_str(), eq("kinds[0].separation"));
    }
}
