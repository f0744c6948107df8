//! A fleet of 350 workers that executes the orders of an owner at once and without faults.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::advice::{Allowed, Query};
use pimentovalve_core::contract::owner::order::{Order, Poll, Start};
use pimentovalve_core::contract::owner::{
    Effect, Limits, Owner, Progress, Report, StartAnswer, StopAnswer,
};
use pimentovalve_core::contract::work::{
    AdvisorTiming, Id, Job, Outcome, Policy, Raw, Step, StepId,
};
use pimentovalve_core::ledger::shard::replica::Replica;
use pimentovalve_core::ledger::shard::{End, Entry, Incarnation, Run};
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::host::WorkerEntry;
use std::time::{Duration, Instant};

const WORKERS: usize = 350;
/// Daemons through which the advisor is queried.
const DAEMONS: usize = 29;
/// Time between two passes.
const INTERVAL: Millis = Millis(20);
/// Time between two removals of expired jobs.
const EXPIRY_INTERVAL: Millis = Millis::from_secs(10);
const LIMITS: Limits = Limits {
    lease: Millis::from_secs(6),
    max_lease: Millis::from_secs(10),
    max_store_silence: Millis::from_secs(12),
    poll_wait: Millis(1500),
    poll_pause: Millis(40),
    retry: Millis(250),
    max_stop: Millis(900),
};

/// A queue of the platform.
struct Queue {
    name: &'static str,
    priority: u32,
    /// Jobs of the queue per thousand.
    share: u64,
    /// Largest number of tasks of a step.
    max_count: u64,
    needs: Capacity,
    estimate: Millis,
    /// Gangs per hundred steps.
    gangs: u64,
    advisor: AdvisorTiming,
    /// Workers per hundred that the advisor allows.
    allowed: u64,
}

const fn advisor(answer_us: u64, worker_us: u64) -> AdvisorTiming {
    AdvisorTiming { answer_us, worker_us, valid_ms: Millis(2000) }
}

const QUEUES: [Queue; 3] = [
    Queue {
        name: "seal-bundle",
        priority: 1,
        share: 31,
        max_count: 50,
        needs: Capacity::new(9000, 18_000, 0),
        estimate: Millis(5000),
        gangs: 100,
        advisor: advisor(559_000, 8060),
        allowed: 30,
    },
    Queue {
        name: "reindex-folder",
        priority: 2,
        share: 80,
        max_count: 50,
        needs: Capacity::new(3500, 13_000, 0),
        estimate: Millis(2200),
        gangs: 0,
        advisor: advisor(104_000, 1430),
        allowed: 45,
    },
    Queue {
        name: "cert-lookup",
        priority: 0,
        share: 889,
        max_count: 6,
        needs: Capacity::new(5000, 18_000, 0),
        estimate: Millis(640),
        gangs: 30,
        advisor: advisor(9360, 130),
        allowed: 70,
    },
];

/// Part of a cycle that is timed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Pass,
    Poll,
    Start,
    Tick,
    /// An entry of the owner that was recorded.
    Record,
    /// The same entry in the replica, as on every daemon.
    Replay,
}

/// A worker as the fleet sees it.
#[derive(Default)]
struct Worker {
    running: Vec<Run>,
    /// Ends that the owner has not let the worker discard.
    ends: Vec<End>,
    last_end: u64,
    poll: Option<Poll>,
}

/// Time and number of executions of the timed part.
struct Watch {
    part: Part,
    took: Duration,
    count: u64,
}

impl Watch {
    fn time<T>(&mut self, part: Part, run: impl FnOnce() -> T) -> T {
        if part != self.part {
            return run();
        }
        let began = Instant::now();
        let result = run();
        self.took += began.elapsed();
        self.count += 1;
        result
    }
}

/// The owner with its replica and its workers.
pub struct Fleet {
    now: Millis,
    replica: Replica,
    owner: Owner,
    workers: Vec<Worker>,
    starts: Vec<Start>,
    queries: Vec<Query>,
    jobs: u64,
    backlog: usize,
    random: u64,
}

impl Fleet {
    /// Returns a full fleet with `backlog` open steps.
    pub fn with_backlog(backlog: usize) -> Self {
        let (now, replica) = (Millis(1_000_000), Replica::default());
        let owner = Owner::new(LIMITS, &replica, now);
        let workers = (0..WORKERS).map(|_| Worker::default()).collect();
        let (starts, queries) = (Vec::new(), Vec::new());
        let mut fleet = Self {
            now,
            replica,
            owner,
            workers,
            starts,
            queries,
            jobs: 0,
            backlog,
            random: 88_172_645_463_325_252,
        };
        let list: Vec<WorkerEntry> = (0..WORKERS).map(entry).collect();
        let relays: Vec<Box<str>> = (0..DAEMONS).map(|i| format!("front-{i}").into()).collect();
        fleet.owner.update_workers(&list, &fleet.replica, fleet.now);
        fleet.owner.queries_mut().set_relays(&relays);
        let mut quiet = 0;
        while quiet < 20 {
            let runs = fleet.owner.run_count();
            fleet.cycle(Part::Tick, 0);
            quiet = if fleet.owner.run_count() > runs { 0 } else { quiet + 1 };
        }
        fleet
    }

    /// Executes one cycle in which `ends` runs end. Returns the time and the number of executions
    /// of `part`.
    pub fn cycle(&mut self, part: Part, ends: usize) -> (Duration, u64) {
        let mut watch = Watch { part, took: Duration::ZERO, count: 0 };
        self.now = self.now + INTERVAL;
        let now = self.now;
        if now.get().is_multiple_of(EXPIRY_INTERVAL.get()) {
            self.replica.expire(now);
        }
        while self.replica.open().len() < self.backlog {
            let job = self.job();
            self.apply(&Entry::Submitted(Box::new(job)), false, &mut watch);
        }
        watch.time(Part::Tick, || self.owner.tick(&self.replica, now, now));
        self.execute(&mut watch);
        for _ in 0..ends {
            self.end_one();
        }
        for i in 0..WORKERS {
            self.answer_poll(i, ends == 0, &mut watch);
        }
        self.execute(&mut watch);
        for query in std::mem::take(&mut self.queries) {
            let answer = self.advise(&query);
            self.owner.advisor_answered(&query, Some(&answer), &self.replica, now);
        }
        for start in std::mem::take(&mut self.starts) {
            let (on, run, clock) = (&start.on, start.run, Some(now.get()));
            self.workers[index(on)].running.push(run);
            let answer = StartAnswer::Taken;
            watch.time(Part::Start, || {
                self.owner.start_answered(on, &run, answer, clock, &self.replica, now);
            });
        }
        if ends == 0 {
            // Marks the owner as changed, so that a pass runs.
            self.apply(&Entry::Lost(Vec::new()), false, &mut watch);
        }
        watch.time(Part::Pass, || self.owner.schedule(&self.replica, now, Millis::ZERO));
        self.execute(&mut watch);
        (watch.took, watch.count)
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % below
    }

    fn job(&mut self) -> Job {
        self.jobs += 1;
        let at = self.random(1000);
        let [seal, reindex, lookup] = &QUEUES;
        let queue = if at < seal.share {
            seal
        } else if at < seal.share + reindex.share {
            reindex
        } else {
            lookup
        };
        let count = u32::try_from(1 + self.random(queue.max_count)).expect("a small number");
        let percent = 50 + self.random(100);
        let step = Step {
            count,
            needs: queue.needs.percent(percent),
            estimate_ms: queue.estimate,
            after: Vec::new(),
            gang: self.random(100) < queue.gangs,
            one_rack: false,
            label: None,
            data_rack: None,
            spread: 0,
            speculative: false,
            lasting: false,
            saves: false,
            fills: false,
            image: None,
            target_ms: Millis::ZERO,
            misses: 0,
        };
        let policy = Policy {
            queue: queue.name.into(),
            pool: "retention-engine".into(),
            priority: queue.priority,
            attempts: 4,
            stretch_milli: 2000,
            slack_ms: Millis(1000),
            advisor_timing: Some(queue.advisor),
            team: None,
        };
        let id = Id(self.jobs.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let raw = Raw { id, policy, payload: "x".into(), steps: vec![step], schedule: None };
        Job::try_from(raw).expect("a valid job")
    }

    /// Ends a run of a random worker that is polled.
    fn end_one(&mut self) {
        for _ in 0..WORKERS {
            let at = usize::try_from(self.random(WORKERS as u64)).expect("a small number");
            let worker = &mut self.workers[at];
            if worker.poll.is_some()
                && let Some(run) = worker.running.pop()
            {
                worker.last_end += 1;
                let (number, outcome) = (worker.last_end, Outcome::Done);
                worker.ends.push(End { run, number, outcome, saved: "".into() });
                return;
            }
        }
    }

    /// Answers the poll of a worker if a run has ended, or if `always`.
    fn answer_poll(&mut self, i: usize, always: bool, watch: &mut Watch) {
        let worker = &mut self.workers[i];
        let has_news = worker.poll.as_ref().is_some_and(|poll| {
            worker.ends.retain(|e| e.number > poll.recorded_end);
            always || poll.wait == Millis::ZERO || !worker.ends.is_empty()
        });
        let Some(poll) = worker.poll.take_if(|_| has_news) else { return };
        let percent = self.now.get() / 100;
        let running = worker.running.iter().map(|run| Progress { run: *run, percent }).collect();
        let (clock, ends) = (self.now.get(), worker.ends.clone());
        let report =
            Report { born: Some(poll.on.born), clock, running, ends, has_more_ends: false };
        let now = self.now;
        watch.time(Part::Poll, || {
            self.owner.poll_answered(&poll.on, poll.number, Ok(&report), &self.replica, now);
        });
    }

    /// Executes the effects of the owner.
    fn execute(&mut self, watch: &mut Watch) {
        let mut effects = self.owner.effects();
        while !effects.is_empty() {
            for effect in effects {
                match effect {
                    Effect::Record(entry) => self.apply(&entry, true, watch),
                    Effect::Order(Order::Start(start)) => self.starts.push(*start),
                    Effect::Order(Order::Poll(poll)) => {
                        let at = index(&poll.on);
                        self.workers[at].poll = Some(poll);
                    }
                    Effect::Order(Order::Stop(stop)) => {
                        self.workers[index(&stop.on)].running.retain(|run| *run != stop.run);
                        let (answer, clock) = (StopAnswer::Taken, Some(self.now.get()));
                        let (on, run) = (&stop.on, &stop.run);
                        self.owner.stop_answered(on, run, answer, clock, &self.replica, self.now);
                    }
                    Effect::QueryAdvisor(query) => self.queries.push(query),
                    Effect::Moved(..) | Effect::Notice(_) => {}
                }
            }
            effects = self.owner.effects();
        }
    }

    fn apply(&mut self, entry: &Entry, is_own: bool, watch: &mut Watch) {
        let now = self.now;
        let copy = entry.clone();
        let applied = watch.time(Part::Replay, || self.replica.apply(copy, now));
        watch.time(Part::Record, || {
            if is_own {
                self.owner.entry_recorded(entry, &self.replica, now);
            }
            self.owner.entry_applied(applied, now);
        });
    }

    fn advise(&self, query: &Query) -> Vec<Allowed> {
        let queue = self.replica.job(query.step_id.job).map(|state| &state.job.policy.queue);
        let percent = QUEUES
            .iter()
            .find(|q| queue.is_some_and(|name| **name == *q.name))
            .map_or(0, |q| q.allowed);
        let allows = |worker: &str| hash(&query.step_id, worker) % 100 < percent;
        let allowed = query.workers.iter().filter(|w| allows(w));
        allowed
            .map(|w| Allowed { worker: w.clone(), ticket: format!("{:032x}", query.number).into() })
            .collect()
    }
}

fn entry(i: usize) -> WorkerEntry {
    WorkerEntry {
        incarnation: Incarnation {
            worker: format!("retention-engine-lima-a-{i:03}").into(),
            born: 1,
        },
        address: format!("10.0.{}.{}:7000", i / 250, i % 250).into(),
        pool: "retention-engine".into(),
        draining: false,
        capacity: Capacity::new(32_000, 131_072, 0),
        labels: vec![["a", "b"][i % 2].into(), format!("rack-{}", i / 12).into()],
    }
}

/// Returns the index of a worker, which its name ends with.
fn index(on: &Incarnation) -> usize {
    on.worker.rsplit('-').next().and_then(|i| i.parse().ok()).expect("a worker of the fleet")
}

fn hash(step_id: &StepId, worker: &str) -> u64 {
    let start = step_id.job.0 ^ 0xcbf2_9ce4_8422_2325;
    let mixed = worker.bytes().fold(start, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    mixed >> 32
}
