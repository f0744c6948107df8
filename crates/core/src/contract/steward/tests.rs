//! Tests of the steward: queries are answered by the verdicts on records, also when appends fail,
//! compete or arrive late.

use super::{AppendOutcome, Config, Effect, Query, Steward, StewardReply};
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::configuration::{Configuration, Patch};
use crate::contract::job::Job;
use crate::contract::kind::{Kind, Separation, Shape};
use crate::contract::planner::weighted::Weighted;
use crate::contract::request::{Answer, Reason, Request};
use crate::contract::team::Team;
use crate::ledger::Offset;
use crate::ledger::record::{Change, Record};
use crate::ledger::replica::Replica;
use crate::machine::capacity::Capacity;
use crate::machine::controller::{Grant, Operation, WorkerStatus};
use crate::machine::worker::Worker;
use crate::name::Name;
use crate::zone::Place;
use googletest::prelude::*;

const NOW: Millis = Millis(1_000_000);
const NEEDS: Capacity = Capacity::new(1000, 1024, 0);

fn name(raw: &str) -> Name {
    Name::try_from(raw).unwrap()
}

fn place() -> Place {
    Place { region: name("lima"), domain: name("lima-a"), rack: name("r1") }
}

fn configuration() -> Configuration {
    let kind = Kind {
        name: name("batch"),
        shape: Shape::Batch,
        separation: Separation::Move,
        class: Class::Normal,
        attempts: 3,
    };
    let quota = Capacity::new(100_000, 100_000, 0);
    let team = Team { name: name("notaries"), weight: 1, quota };
    let patch = Patch { kinds: vec![kind], teams: vec![team], ..Patch::default() };
    Configuration::default().patched(&patch).unwrap()
}

fn steward(own: &str) -> Steward {
    let config = Config { partitions: 1, ..Config::default() };
    let own = name(own);
    let mut steward = Steward::new(own.clone(), config, Box::new(Weighted::new(&own, place())));
    steward.configure(&configuration());
    steward.set_open(Ok(()));
    steward.add_partition(0, Some(Replica::default()));
    steward.rows(0, &[], true, NOW);
    steward.report(&[status(1)], &[], NOW);
    steward.effects();
    steward
}

fn status(epoch: u64) -> WorkerStatus {
    let capacity = Capacity::new(8000, 8192, 0);
    let worker = Worker { name: name("worker-1"), place: place(), capacity };
    WorkerStatus { worker, epoch, free: capacity, closed: false, as_of: NOW }
}

fn request(body: &str) -> Request {
    Request {
        id: name("purge-1"),
        team: name("notaries"),
        service: name("retention-engine"),
        class: Class::Urgent,
        idempotent: false,
        wait_ms: Millis(1000),
        body: body.into(),
    }
}

fn job(payload: &str) -> Job {
    Job {
        id: name("seal-1"),
        team: name("notaries"),
        kind: name("batch"),
        class: None,
        tasks: 1,
        needs: NEEDS,
        run_ms: Millis(100),
        payload: payload.into(),
    }
}

/// Returns the records that are to be appended.
fn records(effects: &[Effect]) -> Vec<Record> {
    let record = |e: &Effect| match e {
        Effect::Append { record, .. } => Some(record.clone()),
        _ => None,
    };
    effects.iter().filter_map(record).collect()
}

/// Returns the answer to a query.
fn told(effects: &[Effect], ticket: u64) -> Option<StewardReply> {
    effects.iter().find_map(|e| match e {
        Effect::Answer { ticket: t, told } if *t == ticket => Some(told.clone()),
        _ => None,
    })
}

fn claim(steward: &mut Steward, ticket: u64, sender: u64, body: &str) -> Vec<Effect> {
    steward.ask(ticket, Query::Claim { request: request(body), sender }, NOW);
    steward.effects()
}

fn replay(steward: &mut Steward, offset: Offset, record: &Record) -> Vec<Effect> {
    steward.rows(0, &[(offset, record.clone())], true, NOW);
    steward.effects()
}

#[gtest]
fn a_claim_is_confirmed_only_once_its_record_is_accepted() {
    let mut steward = steward("entry-1");
    let effects = claim(&mut steward, 1, 7, "deed");
    expect_that!(told(&effects, 1), none());
    let record = records(&effects).remove(0);
    steward.append_done(&record.id, AppendOutcome::Landed);
    expect_that!(told(&steward.effects(), 1), none());
    expect_that!(told(&replay(&mut steward, 0, &record), 1), some(eq(&StewardReply::Claimed)));
}

#[gtest]
fn only_the_claimant_that_asks_again_is_told_its_claim() {
    let mut steward = steward("entry-1");
    let record = records(&claim(&mut steward, 1, 7, "deed")).remove(0);
    replay(&mut steward, 0, &record);
    let again = claim(&mut steward, 2, 7, "deed");
    expect_that!(told(&again, 2), some(eq(&StewardReply::Claimed)));
    let other = claim(&mut steward, 3, 8, "deed");
    let unknown = Answer::Unknown { request: name("purge-1") };
    expect_that!(told(&other, 3), some(eq(&StewardReply::Answer(unknown))));
    let changed = claim(&mut steward, 4, 7, "other deed");
    let Some(StewardReply::Refused(refusal)) = told(&changed, 4) else { panic!("{changed:?}") };
    expect_that!(refusal.reason, some(eq(&Reason::Mismatch)));
}

#[gtest]
fn a_claimant_that_asks_again_after_settling_is_told_the_answer() {
    let mut steward = steward("entry-1");
    let record = records(&claim(&mut steward, 1, 7, "deed")).remove(0);
    replay(&mut steward, 0, &record);
    let answer = Answer::Whole { request: name("purge-1"), body: "purged".into() };
    let (team, request) = (name("notaries"), name("purge-1"));
    steward.ask(2, Query::Settle { team, request, answer: answer.clone() }, NOW);
    let record = records(&steward.effects()).remove(0);
    expect_that!(told(&replay(&mut steward, 1, &record), 2), some(eq(&StewardReply::Settled)));
    let again = claim(&mut steward, 3, 7, "deed");
    expect_that!(told(&again, 3), some(eq(&StewardReply::Answer(answer))));
}

#[gtest]
fn a_claim_that_comes_second_is_not_confirmed() {
    let mut first = steward("entry-1");
    let mut second = steward("entry-2");
    let one = records(&claim(&mut first, 1, 7, "deed")).remove(0);
    let two = records(&claim(&mut second, 1, 8, "deed")).remove(0);
    for steward in [&mut first, &mut second] {
        steward.rows(0, &[(0, one.clone()), (1, two.clone())], true, NOW);
    }
    expect_that!(told(&first.effects(), 1), some(eq(&StewardReply::Claimed)));
    let unknown = Answer::Unknown { request: name("purge-1") };
    expect_that!(told(&second.effects(), 1), some(eq(&StewardReply::Answer(unknown))));
}

#[gtest]
fn a_refused_append_is_not_run_and_an_unanswered_one_is_unknown() {
    for (outcome, not_run) in [(AppendOutcome::Refused, true), (AppendOutcome::Unknown, false)] {
        let mut steward = steward("entry-1");
        steward.ask(1, Query::Submit(job("deeds")), NOW);
        let record = records(&steward.effects()).remove(0);
        steward.append_done(&record.id, outcome);
        let Some(StewardReply::Refused(refusal)) = told(&steward.effects(), 1) else {
            panic!("no answer")
        };
        expect_that!(refusal.not_run, eq(not_run));
    }
}

#[gtest]
fn a_query_whose_record_is_pending_when_the_partition_moves_is_unknown() {
    let mut steward = steward("entry-1");
    claim(&mut steward, 1, 7, "deed");
    steward.remove_partition(0);
    let Some(StewardReply::Refused(refusal)) = told(&steward.effects(), 1) else {
        panic!("no answer")
    };
    expect_that!(refusal.not_run, eq(false));
    expect_that!(told(&claim(&mut steward, 2, 7, "deed"), 2), some(eq(&StewardReply::Elsewhere)));
}

#[gtest]
fn a_job_is_recorded_placed_and_started_in_this_order() {
    let mut steward = steward("entry-1");
    steward.ask(1, Query::Submit(job("deeds")), NOW);
    let submit = records(&steward.effects()).remove(0);
    replay(&mut steward, 0, &submit);
    steward.tick(NOW);
    let effects = steward.effects();
    let reserve = effects.iter().find_map(|e| match e {
        Effect::Operation(operation @ Operation::Reserve { .. }) => Some(operation.clone()),
        _ => None,
    });
    let reserve = reserve.unwrap();
    expect_that!(records(&effects), is_empty());
    steward.granted(&reserve, Grant::Reserved { epoch: 1 }, NOW);
    let attempt = records(&steward.effects()).remove(0);
    expect_that!(attempt.change, matches_pattern!(Change::Attempt { .. }));
    let later = NOW + Millis::from_secs(1);
    steward.rows(0, &[(1, attempt)], true, later);
    steward.tick(later);
    let starts = steward.effects();
    let is_start = |e: &&Effect| matches!(e, Effect::Operation(Operation::Start { .. }));
    expect_that!(starts.iter().filter(is_start).count(), eq(1));
}

#[gtest]
fn an_attempt_that_lands_after_it_was_given_up_is_followed() {
    let mut steward = steward("entry-1");
    steward.ask(1, Query::Submit(job("deeds")), NOW);
    let submit = records(&steward.effects()).remove(0);
    replay(&mut steward, 0, &submit);
    steward.tick(NOW);
    let reserve = steward.effects().into_iter().find_map(|e| match e {
        Effect::Operation(operation @ Operation::Reserve { .. }) => Some(operation),
        _ => None,
    });
    steward.granted(&reserve.unwrap(), Grant::Reserved { epoch: 1 }, NOW);
    let attempt = records(&steward.effects()).remove(0);
    steward.append_done(&attempt.id, AppendOutcome::Unknown);
    let mut now = NOW;
    for _ in 0..20 {
        now = now + Millis(500);
        steward.tick(now);
    }
    steward.effects();
    steward.rows(0, &[(1, attempt)], true, now);
    let mut started = false;
    for _ in 0..10 {
        now = now + Millis(500);
        steward.tick(now);
        let effects = steward.effects();
        started |= effects.iter().any(|e| matches!(e, Effect::Operation(Operation::Start { .. })));
    }
    expect_that!(started, eq(true));
}
