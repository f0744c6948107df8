//! Test of the maintained counts against a walk over all jobs.

use super::Backlog;
use crate::clock::Millis;
use crate::contract::work::tests::{job, step};
use crate::contract::work::{Id, Job, Outcome, Schedule, Status, Step, StepId, Task};
use crate::ledger::shard::replica::Replica;
use crate::ledger::shard::snapshot::Snapshot;
use crate::ledger::shard::{End, Entry, Incarnation, Run};
use googletest::prelude::{eq, verify_that};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const QUEUES: [&str; 4] = ["deeds", "maps", "seals", "unused"];
const JOBS: u64 = 9;
const OUTCOMES: [Outcome; 4] = [Outcome::Done, Outcome::Failed, Outcome::Stopped, Outcome::Lapsed];

/// Returns the backlog of a queue by a walk over all jobs.
fn walk(replica: &Replica, queue: &str) -> Backlog {
    let jobs = || replica.jobs().iter().filter(|j| &*j.job.policy.queue == queue);
    Backlog {
        queued: jobs().filter(|j| j.status() == Status::Queued).count(),
        starting: jobs().filter(|j| j.status() == Status::Running && !j.begun).count(),
    }
}

/// Returns a job whose queue, gang and schedule follow from its id.
fn submitted(id: u64) -> Job {
    let gang = Step { gang: id % 4 == 3, ..step(2, &[]) };
    let mut job = job(id, vec![gang, step(1, &[0])]);
    job.policy.queue = QUEUES[usize::try_from(id % 3).unwrap()].into();
    let schedule = Schedule { count: 2, first: Millis(1), interval: Millis(1) };
    job.schedule = (id % 5 == 4).then_some(schedule);
    job
}

fn run(id: u64, step: u16, number: u32) -> Run {
    let step_id = StepId { job: Id(id), occurrence: 0, step };
    Run { task: Task { step_id, index: number % 2 }, number }
}

/// Returns the entry that a random draw stands for.
fn entry((kind, id, step, number): (usize, u64, u16, u32)) -> Entry {
    let on = Incarnation { worker: "worker".into(), born: 7 };
    // Two runs, so that an entry names several jobs.
    let runs = vec![run(id, step, number), run((id + 1) % JOBS, 0, 1)];
    match kind {
        0..3 => Entry::Submitted(Box::new(submitted(id))),
        3 => Entry::Cancelled(Id(id)),
        4 => Entry::Due { job: Id(id), occurrence: step.into() },
        5..8 => Entry::Started { on, runs },
        8..10 => Entry::Lost(runs),
        10..12 => Entry::Unanswered(runs),
        kind => {
            let outcome = OUTCOMES[kind % OUTCOMES.len()];
            let end = |run| End { run, number: 1, outcome, saved: "".into() };
            Entry::Ended { on, ends: runs.into_iter().map(end).collect() }
        }
    }
}

/// Returns the replica that a snapshot of `replica` restores.
fn restored(replica: &Replica, now: Millis) -> Replica {
    let (number, offset, taken, replica) = (1, 0, (0, 0), replica.clone());
    let bytes = rmp_serde::to_vec(&Snapshot { number, offset, taken, at: now, replica }).unwrap();
    rmp_serde::from_slice::<Snapshot>(&bytes).unwrap().restore(now)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn counts_equal_those_of_a_walk_over_all_jobs(
        draws in prop::collection::vec((0..16usize, 0..JOBS, 0..2u16, 1..4u32), 1..120),
        restored_after in 0..120usize,
    ) {
        let mut replica = Replica::default();
        for (i, draw) in draws.into_iter().enumerate() {
            let now = Millis(1_000_000) + Millis::from_secs(i as u64);
            replica.apply(entry(draw), now);
            if i % 40 == 39 {
                replica.expire(now);
            }
            if i == restored_after {
                replica = restored(&replica, now);
            }
            for queue in QUEUES {
                verify_that!(replica.backlog(queue), eq(walk(&replica, queue))).unwrap();
            }
        }
    }
}
