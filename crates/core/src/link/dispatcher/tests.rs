use super::{Choice, Config, Dispatcher, Grant};
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::request::Reason;
use crate::link::queue::Waiter;
use crate::machine::controller::WorkerControl;
use crate::machine::runner::Limits;
use crate::name::Name;
use crate::zone::Place;
use crate::zone::membership::{Instance, Role, State};
use googletest::prelude::*;

const CONFIG: Config = Config {
    term: Millis(1000),
    settle: Millis(1100),
    margin: Millis(100),
    penalty: Millis(500),
    query_pause: Millis(50),
    probation: Millis(5000),
    queue: 4,
};
const LIMITS: Limits = Limits { slots: 2, connections: 8 };

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("a name")
}

fn place(region: &str) -> Place {
    Place { region: name(region), domain: name(region), rack: name("r") }
}

fn runner(raw: &str, region: &str, state: State) -> Instance {
    Instance {
        name: name(raw),
        role: Role::Runner,
        place: place(region),
        address: format!("{raw}:1"),
        state,
        worker: Some(name(&format!("w-{raw}"))),
        service: Some(name("s")),
    }
}

/// Returns runners `a` and `b` in the dispatcher's region and `c` in another one.
fn runners() -> Vec<Instance> {
    vec![
        runner("a", "near", State::Live),
        runner("b", "near", State::Live),
        runner("c", "far", State::Live),
    ]
}

fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::new(place("near"), CONFIG);
    dispatcher.members(&runners(), |_| LIMITS, |_| Some(name("peer")), Millis(0));
    dispatcher
}

fn worker_control(worker: &str, epoch: u64, proven: u64) -> WorkerControl {
    WorkerControl { worker: name(worker), epoch, proven: Millis(proven) }
}

fn waiter(ticket: u64, class: Class, now: u64) -> Waiter {
    Waiter {
        ticket,
        class,
        attempt: name(&format!("t.{ticket}")),
        tried: Vec::new(),
        forwarded: None,
        deadline: Millis(now + 1000),
        until: Millis(now + 900),
    }
}

fn ask(dispatcher: &mut Dispatcher, ticket: u64, now: u64) -> Option<Grant> {
    ask_with(dispatcher, waiter(ticket, Class::Normal, now), now)
}

fn ask_with(dispatcher: &mut Dispatcher, waiter: Waiter, now: u64) -> Option<Grant> {
    let ticket = waiter.ticket;
    dispatcher.wait(&name("s"), waiter, Millis(now)).expect("it may wait");
    dispatcher.grants(Millis(now)).into_iter().find(|(t, _)| *t == ticket).map(|(_, g)| g)
}

fn own(raw: &str) -> Grant {
    Grant::Go(Choice::Own { runner: name(raw), address: format!("{raw}:1") })
}

fn remote(raw: &str) -> Grant {
    Grant::Go(Choice::Remote { runner: name(raw), controller: name("peer") })
}

#[gtest]
fn own_runners_come_first_then_those_of_peers_then_other_regions() {
    let mut dispatcher = dispatcher();
    dispatcher.controlled(&[worker_control("w-a", 1, 0)], Millis(0));
    let grants: Vec<Option<Grant>> = (0..7).map(|t| ask(&mut dispatcher, t, 1)).collect();
    let expected = [own("a"), own("a"), remote("b"), remote("b"), remote("c"), remote("c")];
    expect_that!(
        grants[..6],
        elements_are![
            some(eq(&expected[0])),
            some(eq(&expected[1])),
            some(eq(&expected[2])),
            some(eq(&expected[3])),
            some(eq(&expected[4])),
            some(eq(&expected[5]))
        ]
    );
    expect_that!(grants[6], none());
    dispatcher.release("a", &name("t.0"));
    expect_that!(dispatcher.grants(Millis(2)), elements_are![eq(&(6, own("a")))]);
}

#[gtest]
fn a_controller_without_confirmation_stops_allocating_slots() {
    let mut dispatcher = dispatcher();
    dispatcher.controlled(&[worker_control("w-a", 1, 0)], Millis(0));
    expect_that!(ask(&mut dispatcher, 0, 999), some(eq(&own("a"))));
    dispatcher.release("a", &name("t.0"));
    // As after a long pause of the process: the last confirmation of control is too old.
    expect_that!(ask(&mut dispatcher, 1, 1000), some(not(eq(&own("a")))));
    dispatcher.controlled(&[worker_control("w-a", 1, 1500)], Millis(1600));
    expect_that!(ask(&mut dispatcher, 2, 1600), some(eq(&own("a"))));
}

#[gtest]
fn a_new_controller_waits_for_the_former_one_and_counts_its_slots() {
    let mut dispatcher = dispatcher();
    let held = |d: &mut Dispatcher, now: u64| {
        let all = [
            worker_control("w-a", 2, now),
            worker_control("w-b", 2, now),
            worker_control("w-c", 2, now),
        ];
        d.controlled(&all, Millis(now));
    };
    held(&mut dispatcher, 0);
    expect_that!(ask(&mut dispatcher, 0, 500), none());
    held(&mut dispatcher, 1099);
    expect_that!(dispatcher.queries(Millis(1099)), is_empty());
    held(&mut dispatcher, 1100);
    let queries = dispatcher.queries(Millis(1100));
    expect_that!(queries, len(eq(3)));
    expect_that!(dispatcher.queries(Millis(1101)), is_empty());
    dispatcher.query_answered(&queries[0], 1);
    expect_that!(dispatcher.grants(Millis(1101)), elements_are![eq(&(0, own("a")))]);
    expect_that!(ask(&mut dispatcher, 1, 1102), none());
    // The former controller's attempt is still in flight, so the runner is queried again.
    let again = dispatcher.queries(Millis(1150));
    expect_that!(again.iter().any(|q| q.runner == name("a")), eq(true));
}

/// Guards against a former and a new controller allocating slots of the same runner. The former
/// one learns of its last heartbeat's answer with delays from 0 to 3 s.
#[gtest]
fn two_controllers_never_allocate_slots_at_the_same_time() {
    for lag in (0..3000).step_by(50) {
        let (mut former, mut new) = (dispatcher(), dispatcher());
        // The former controller's last heartbeat was sent at 0; the dispatcher learns of its answer
        // `lag` later.
        former.controlled(&[worker_control("w-a", 1, 0)], Millis(lag));
        for now in (0..4000).step_by(100) {
            let workers = [worker_control("w-a", 2, now)];
            new.controlled(&workers, Millis(now));
            for query in new.queries(Millis(now)) {
                new.query_answered(&query, 0);
            }
            let mut local = waiter(now, Class::Normal, now);
            local.forwarded = Some(name("a"));
            let first = ask_with(&mut former, local.clone(), now);
            let second = ask_with(&mut new, local, now);
            former.release("a", &name(&format!("t.{now}")));
            new.release("a", &name(&format!("t.{now}")));
            let both = first == Some(own("a")) && second == Some(own("a"));
            expect_that!(both, eq(false), "lag {lag}, now {now}");
            former.leave(now);
            new.leave(now);
        }
    }
}

#[gtest]
fn an_unresponsive_runner_gets_no_attempts_until_it_answers_a_query() {
    let mut dispatcher = dispatcher();
    let proven = [
        worker_control("w-a", 1, 900),
        worker_control("w-b", 1, 900),
        worker_control("w-c", 1, 900),
    ];
    dispatcher.controlled(&proven, Millis(0));
    expect_that!(ask(&mut dispatcher, 0, 1), some(eq(&own("a"))));
    dispatcher.no_response("a", Millis(100));
    let others: Vec<Option<Grant>> = (1..5).map(|t| ask(&mut dispatcher, t, 101)).collect();
    expect_that!(others, not(contains(some(eq(&own("a"))))));
    let queries = dispatcher.queries(Millis(102));
    dispatcher.query_answered(&queries[0], 0);
    // The unanswered attempt keeps its slot until its deadline and margin have passed.
    expect_that!(ask(&mut dispatcher, 5, 103), some(eq(&own("a"))));
    expect_that!(ask(&mut dispatcher, 6, 104), none());
    expect_that!(
        dispatcher.grants(Millis(1101)),
        contains(eq(&(6, Grant::Refused(Reason::Overload, Millis(100)))))
    );
    expect_that!(ask(&mut dispatcher, 7, 1102), some(eq(&own("a"))));
}

#[gtest]
fn a_leaving_runner_gets_no_new_attempts() {
    let mut dispatcher = dispatcher();
    dispatcher.controlled(&[worker_control("w-a", 1, 0)], Millis(0));
    let leaving = vec![runner("a", "near", State::Leaving)];
    dispatcher.members(&leaving, |_| LIMITS, |_| None, Millis(1));
    expect_that!(ask(&mut dispatcher, 0, 2), none());
}

#[gtest]
fn forwarding_to_a_busy_controller_pauses() {
    let mut dispatcher = dispatcher();
    expect_that!(ask(&mut dispatcher, 0, 1), some(eq(&remote("a"))));
    dispatcher.returned("a", Some((Class::Normal, Millis(50))), Millis(2));
    expect_that!(ask(&mut dispatcher, 1, 3), none());
    // A more urgent attempt is still forwarded.
    let urgent = ask_with(&mut dispatcher, waiter(2, Class::Urgent, 3), 3);
    expect_that!(urgent, some(anything()));
    expect_that!(dispatcher.grants(Millis(52)), len(eq(1)));
}

#[gtest]
fn an_attempt_that_would_wait_too_long_is_refused_at_once() {
    let mut dispatcher = dispatcher();
    dispatcher.controlled(&[worker_control("w-a", 1, 0)], Millis(0));
    let only = vec![runner("a", "near", State::Live)];
    dispatcher.members(&only, |_| LIMITS, |_| None, Millis(0));
    dispatcher.answered(&name("s"), Millis(800));
    for ticket in 0..5 {
        ask(&mut dispatcher, ticket, 1);
    }
    let refused = dispatcher.wait(&name("s"), waiter(9, Class::Normal, 1), Millis(1));
    expect_that!(refused, err(eq(&(Reason::Overload, Millis(1200)))));
    let urgent = dispatcher.wait(&name("s"), waiter(10, Class::Urgent, 1), Millis(1));
    expect_that!(urgent, ok(anything()));
}
