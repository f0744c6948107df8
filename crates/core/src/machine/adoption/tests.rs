use super::*;
use crate::contract::class::Class;
use crate::contract::configuration::Patch;
use crate::contract::kind::{Kind, Shape};
use crate::ledger::record::{Change, Id, Record, Register};
use crate::machine::capacity::Capacity;
use crate::machine::worker::Worker;
use crate::zone::Place;
use crate::zone::membership::{Instance, Role, State};
use googletest::prelude::*;

const TIMING: Timing = Timing {
    heartbeat_ms: Millis(3),
    retry_ms: Millis(2),
    patience_ms: Millis(10),
    silence_ms: Millis(20),
};
const BOUNDS: Bounds = Bounds { lease_ms: Millis(30), currency_ms: Millis(10), skew_ms: Millis(2) };

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn place() -> Place {
    Place { region: name("r"), domain: name("d"), rack: name("k") }
}

fn instance(text: &str) -> Instance {
    Instance {
        name: name(text),
        role: Role::Entry,
        place: place(),
        address: "127.0.0.1:1".into(),
        state: State::Live,
        worker: None,
        service: None,
    }
}

/// Everything that instance `a` rests on.
struct Scene {
    membership: Membership,
    preferred: Name,
    fleet: Fleet,
    proof: Proof,
    configuration: Configuration,
}

impl Scene {
    fn new() -> Self {
        let mut membership = Membership::new(instance("a"), Millis(5), Millis(100));
        membership.listed(&[instance("a"), instance("b")], Millis(0));
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
        let preferred = name("a");
        Self { membership, preferred, fleet: Fleet::default(), proof, configuration }
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
            membership: &self.membership,
            preferred: Some(&self.preferred),
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

fn control() -> Control {
    Control::new(name("w"), TIMING, Millis(0))
}

fn held(epoch: Epoch) -> Control {
    let mut control = control();
    control.adopted(&inventory(epoch, "a", Vec::new()), &name("a"), Millis(0));
    control
}

fn renewed(scene: &Scene, running: Vec<Holding>, now: u64) -> Vec<u32> {
    let renewal = scene.view().renewal(&inventory(3, "a", running), Millis(now));
    renewal.attempts.iter().map(|(task, _)| task.index).collect()
}

#[gtest]
fn a_worker_without_a_controller_is_adopted_at_once() {
    let scene = Scene::new();
    let mut control = control();
    let adopt = vec![Effect::Adopt { expected: 0 }];
    expect_that!(control.tick(&scene.view(), Millis(0)), eq(&adopt));
    expect_that!(control.tick(&scene.view(), Millis(1)), is_empty());
    expect_that!(control.tick(&scene.view(), Millis(2)), eq(&adopt));
    control.refused(4, Millis(3));
    expect_that!(control.tick(&scene.view(), Millis(3)), eq(&vec![Effect::Adopt { expected: 4 }]));
    control.adopted(&inventory(5, "a", Vec::new()), &name("a"), Millis(4));
    expect_that!(control.held(), some(eq(5)));
    expect_that!(control.placeable(&scene.fleet, Millis(4)), some(eq(5)));
}

#[gtest]
fn another_ones_worker_is_not_adopted() {
    let mut scene = Scene::new();
    scene.preferred = name("b");
    expect_that!(control().tick(&scene.view(), Millis(0)), is_empty());
}

#[gtest]
fn a_live_controller_has_time_to_hand_over() {
    let scene = Scene::new();
    let mut control = control();
    control.report(&inventory(4, "b", Vec::new()), &name("a"), Millis(0));
    expect_that!(control.tick(&scene.view(), Millis(0)), is_empty());
    expect_that!(control.tick(&scene.view(), Millis(9)), is_empty());
    let adopt = vec![Effect::Adopt { expected: 4 }];
    expect_that!(control.tick(&scene.view(), Millis(10)), eq(&adopt));
}

#[gtest]
fn a_handed_over_worker_is_adopted_at_once() {
    let scene = Scene::new();
    let mut control = control();
    control.report(&inventory(4, "b", Vec::new()), &name("a"), Millis(0));
    control.handed(4);
    let adopt = vec![Effect::Adopt { expected: 4 }];
    expect_that!(control.tick(&scene.view(), Millis(0)), eq(&adopt));
}

#[gtest]
fn a_worker_that_another_should_have_is_handed_over_and_ordered_no_more() {
    let mut scene = Scene::new();
    scene.preferred = name("b");
    let mut control = held(3);
    let hand_over = vec![Effect::HandOver { to: name("b"), epoch: 3 }];
    expect_that!(control.tick(&scene.view(), Millis(1)), eq(&hand_over));
    expect_that!(control.held(), none());
    control.report(&inventory(3, "a", Vec::new()), &name("a"), Millis(2));
    expect_that!(control.held(), none());
    expect_that!(control.tick(&scene.view(), Millis(9)), is_empty());
}

#[gtest]
fn a_worker_is_kept_while_its_heir_is_not_heard() {
    let mut scene = Scene::new();
    scene.preferred = name("b");
    let mut control = held(3);
    let effects = control.tick(&scene.view(), Millis(101));
    expect_that!(effects, elements_are![matches_pattern!(Effect::Heartbeat { epoch: eq(&3), .. })]);
    expect_that!(control.held(), some(eq(3)));
}

#[gtest]
fn an_older_inventory_changes_nothing_and_a_newer_one_deposes() {
    let mut control = held(3);
    control.report(&inventory(2, "b", Vec::new()), &name("a"), Millis(1));
    expect_that!(control.held(), some(eq(3)));
    control.report(&inventory(4, "b", Vec::new()), &name("a"), Millis(1));
    expect_that!(control.held(), none());
}

#[gtest]
fn a_silent_worker_is_recorded_as_lost_once() {
    let mut scene = Scene::new();
    let mut control = held(3);
    let lose = Effect::Lose { epoch: 3, expect: 0 };
    expect_that!(control.tick(&scene.view(), Millis(20)), not(contains(eq(&lose))));
    expect_that!(control.tick(&scene.view(), Millis(21)), contains(eq(&lose)));
    expect_that!(control.tick(&scene.view(), Millis(24)), not(contains(eq(&lose))));
    expect_that!(control.tick(&scene.view(), Millis(41)), contains(eq(&lose)));
    scene.lose(3);
    expect_that!(control.tick(&scene.view(), Millis(99)), not(contains(eq(&lose))));
}

#[gtest]
fn a_lost_worker_that_comes_back_is_adopted_again() {
    let mut scene = Scene::new();
    let mut control = held(3);
    scene.lose(3);
    expect_that!(control.placeable(&scene.fleet, Millis(0)), none());
    let adopt = vec![Effect::Adopt { expected: 3 }];
    expect_that!(control.tick(&scene.view(), Millis(3)), eq(&adopt));
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
