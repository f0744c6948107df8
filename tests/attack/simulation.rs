//! Deterministic simulation: the production stewards, controllers and arbiters, connected by an
//! in-memory log and network, on virtual time. The seed determines the whole run.

mod effects;

use super::fault::{Fault, SeededRandom};
use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::configuration::{Configuration, Patch};
use pimentovalve::core::contract::job::Job;
use pimentovalve::core::contract::planner::weighted::Weighted;
use pimentovalve::core::contract::request::Reason;
use pimentovalve::core::contract::steward::{self, AppendOutcome, Query, Steward};
use pimentovalve::core::contract::task;
use pimentovalve::core::ledger::fleet::Fleet;
use pimentovalve::core::ledger::record::{self, Record};
use pimentovalve::core::ledger::replica::Replica;
use pimentovalve::core::ledger::{Offset, Stream, Verdict};
use pimentovalve::core::machine::arbiter::Arbiter;
use pimentovalve::core::machine::capacity::Capacity;
use pimentovalve::core::machine::controller::{
    self, Controller, Ending, Grant, HeartbeatRequest, HeartbeatResponse, Operation, WorkerStatus,
};
use pimentovalve::core::machine::lease::Bounds;
use pimentovalve::core::machine::worker::{self, Epoch, Inventory, Order, Reply};
use pimentovalve::core::name::Name;
use pimentovalve::core::zone::Place;
use pimentovalve::core::zone::membership::{Instance, Membership, Role, State};
use pimentovalve::core::zone::stewardship;

/// Virtual time of one simulation step.
pub const STEP: Millis = Millis(50);
/// Virtual time at the start of a run.
const START: Millis = Millis(1_000_000);
/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Millis = Millis(1000);
/// Interval of reading the instance list, of heartbeats between daemons and of their reports.
const LIST_INTERVAL_MS: u64 = 200;
/// Longest time by which a reading of the instance list may be out of date.
const MAX_LIST_LAG: Millis = Millis(500);
/// Partitions of the ledger.
const PARTITIONS: u16 = 2;
/// Lease and clock bounds of all runs.
pub const BOUNDS: Bounds =
    Bounds { lease_ms: Millis(6000), currency_ms: Millis(1500), skew_ms: Millis(100) };

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

fn instance(name: Name, role: Role, domain: &str) -> Instance {
    let place =
        Place { region: self::name("lima"), domain: self::name(domain), rack: self::name("r") };
    let address = name.to_string();
    Instance { name, role, place, address, state: State::Live, worker: None, service: None }
}

/// A message in transit.
enum Message {
    Adopt { from: usize, call: u64, worker: usize, expected: Epoch },
    Heartbeat { from: usize, call: u64, worker: usize, pulse: HeartbeatRequest },
    Orders { from: usize, call: u64, worker: usize, epoch: Epoch, orders: Vec<Order> },
    Answer { to: usize, call: u64, answer: Answer },
    TimedOut { to: usize, call: u64 },
    Wishes { from: usize, to: usize, wishes: Vec<Operation> },
    Grants { to: usize, wishes: Vec<Operation>, grants: Vec<Grant> },
    Report { to: usize, from: Name, standings: Vec<WorkerStatus>, endings: Vec<Ending> },
    Recorded { to: usize, recorded: Vec<(Name, u64)> },
    Append { stream: Stream, record: Record },
    Landed { to: usize, id: record::Id, landing: AppendOutcome },
}

enum Answer {
    Adopted(Result<Inventory, Epoch>),
    Heartbeat(HeartbeatResponse),
    Ordered(Vec<Reply>),
}

/// A call of a worker that was neither answered nor timed out.
enum Call {
    Adopt(Name),
    Heartbeat(Name),
    Orders(Name, Epoch, Vec<Order>),
}

struct Daemon {
    name: Name,
    membership: Membership,
    steward: Steward,
    controller: Controller,
    fleet: Fleet,
    /// Next offset to read, for each partition that this daemon owns.
    positions: Vec<(u16, Offset)>,
    calls: Vec<(u64, Call)>,
    /// The daemon that last reported each worker. Sorted by worker.
    reporters: Vec<(Name, Name)>,
    /// Workers whose loss was appended, with the time of the append.
    losses: Vec<(Name, Millis)>,
    /// Number of the last loss record.
    last_loss: u64,
    /// How far this clock is ahead of the simulation's, in milliseconds.
    skew: u64,
    alive: bool,
    frozen_until: Millis,
}

struct Machine {
    name: Name,
    arbiter: Arbiter,
    capacity: Capacity,
    /// Running attempts with the time at which they complete. Sorted by task.
    runs: Vec<(task::Id, task::Attempt, Millis)>,
    /// How far this clock is ahead of the simulation's, in milliseconds.
    skew: u64,
    crashed: bool,
    /// The daemon from which this machine is unreachable, `None` for all, and until when.
    unreachable: (Option<usize>, Millis),
}

/// State of a run.
pub struct Simulation {
    pub now: Millis,
    pub random: SeededRandom,
    daemons: Vec<Daemon>,
    machines: Vec<Machine>,
    listed: Vec<Instance>,
    /// Records of each stream: the partitions, then the fleet.
    streams: Vec<Vec<Record>>,
    /// Messages in transit. Sorted by arrival time, then by sequence number.
    messages: Vec<(Millis, u64, Message)>,
    /// Number of the last message or call.
    last_number: u64,
    configuration: Configuration,
    /// Submitted jobs, and whether each was accepted.
    jobs: Vec<(Job, bool)>,
    /// Until when appends are refused and reads fail.
    log_outage_until: Millis,
    /// Until when half of the answers to appends are lost.
    lost_answers_until: Millis,
    /// Until when half of the appends are delayed.
    delayed_appends_until: Millis,
    /// Until when messages get long random delays and some orders are delivered twice.
    reordering_until: Millis,
    pub violations: Vec<String>,
}

impl Simulation {
    /// Creates a simulation with the given numbers of daemons and workers.
    pub fn new(seed: u64, daemons: usize, machines: usize) -> Self {
        let patch: Patch =
            toml::from_str(include_str!("../support/patch.toml")).expect("it is valid");
        let configuration = Configuration::default().patched(&patch).expect("it can be made");
        let mut simulation = Self {
            now: START,
            random: SeededRandom::new(seed),
            daemons: Vec::new(),
            machines: Vec::new(),
            listed: Vec::new(),
            streams: vec![Vec::new(); usize::from(PARTITIONS) + 1],
            messages: Vec::new(),
            last_number: 0,
            configuration,
            jobs: Vec::new(),
            log_outage_until: Millis::ZERO,
            lost_answers_until: Millis::ZERO,
            delayed_appends_until: Millis::ZERO,
            reordering_until: Millis::ZERO,
            violations: Vec::new(),
        };
        for i in 0..machines {
            simulation.add_machine(i);
        }
        for _ in 0..daemons {
            simulation.add_daemon();
        }
        simulation
    }

    fn add_machine(&mut self, i: usize) {
        let listed =
            instance(name(&format!("worker-{i}")), Role::Worker, &format!("domain-{}", i % 3));
        let capacity = Capacity::new(6000, 16_384, 0);
        let worker =
            worker::Worker { name: listed.name.clone(), place: listed.place.clone(), capacity };
        let skew = self.random.below(BOUNDS.skew_ms.get());
        self.machines.push(Machine {
            name: listed.name.clone(),
            arbiter: Arbiter::new(worker),
            capacity,
            runs: Vec::new(),
            skew,
            crashed: false,
            unreachable: (None, Millis::ZERO),
        });
        self.listed.push(listed);
    }

    fn add_daemon(&mut self) {
        let i = self.daemons.len();
        let own = instance(name(&format!("entry-{i}")), Role::Entry, &format!("domain-{}", i % 3));
        let config = steward::Config {
            partitions: PARTITIONS,
            bounds: BOUNDS,
            ..steward::Config::default()
        };
        let planner = Box::new(Weighted::new(&own.name, own.place.clone()));
        let mut steward = Steward::new(name(&format!("entry-{i}.steward")), config, planner);
        steward.configure(&self.configuration);
        let config = controller::Config {
            bounds: BOUNDS,
            suspicion: Millis(1200),
            // Far below the lease, so that only the fence prevents double runs.
            loss: Millis(1000),
            pause: Millis(500),
        };
        let mut controller = Controller::new(own.name.clone(), config);
        controller.configure(&self.configuration);
        let skew = self.random.below(BOUNDS.skew_ms.get());
        self.daemons.push(Daemon {
            name: own.name.clone(),
            membership: Membership::new(own.clone(), MAX_LIST_LAG, Millis(800)),
            steward,
            controller,
            fleet: Fleet::default(),
            positions: Vec::new(),
            calls: Vec::new(),
            reporters: Vec::new(),
            losses: Vec::new(),
            last_loss: 0,
            skew,
            alive: true,
            frozen_until: Millis::ZERO,
        });
        self.listed.push(own);
    }

    /// Adds a job, which is submitted repeatedly until it is accepted.
    pub fn submit(&mut self, job: Job) {
        self.jobs.push((job, false));
    }

    /// Injects a fault at a random daemon or worker for a random time.
    pub fn inject(&mut self, fault: Fault) {
        let time = Millis(1000 + self.random.below(6000));
        let daemon = self.random.index(self.daemons.len());
        let machine = self.random.index(self.machines.len());
        let until = self.now + time;
        match fault {
            Fault::Kill => {
                self.daemons[daemon].alive = false;
                let dead = self.daemons[daemon].name.clone();
                self.listed.retain(|i| i.name != dead);
                self.add_daemon();
            }
            Fault::Freeze => self.daemons[daemon].frozen_until = until,
            Fault::LogOutage => self.log_outage_until = until,
            Fault::LostAppendAnswers => self.lost_answers_until = until,
            Fault::DelayedAppends => self.delayed_appends_until = until,
            Fault::Unreachable => self.machines[machine].unreachable = (None, until),
            Fault::UnreachableFromOne => self.machines[machine].unreachable = (Some(daemon), until),
            Fault::Reordering => self.reordering_until = until,
            Fault::Crash => {
                let crashed = &mut self.machines[machine];
                crashed.crashed = true;
                crashed.runs.clear();
                let name = crashed.name.clone();
                self.listed.retain(|i| i.name != name);
            }
        }
    }

    /// Advances virtual time by one step and runs every live process.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.deliver();
        for w in 0..self.machines.len() {
            self.run_worker(w);
        }
        for d in 0..self.daemons.len() {
            if self.daemons[d].alive && self.daemons[d].frozen_until <= self.now {
                self.run_daemon(d);
            }
        }
        self.check_invariants();
    }

    /// Returns the jobs that were not accepted or have not ended.
    pub fn unfinished_jobs(&self) -> Vec<String> {
        let replicas: Vec<Replica> =
            (0..usize::from(PARTITIONS)).map(|p| self.replica(p)).collect();
        let entries = || replicas.iter().flat_map(Replica::jobs);
        let open =
            entries().filter(|e| !e.has_ended()).map(|e| format!("{}: {:?}", e.job.id, e.tasks));
        let never = self.jobs.iter().filter(|(job, _)| !entries().any(|e| e.job.id == job.id));
        open.chain(never.map(|(job, _)| format!("{} was never accepted", job.id))).collect()
    }

    fn replica(&self, partition: usize) -> Replica {
        let mut replica = Replica::default();
        for (offset, record) in (0..).zip(&self.streams[partition]) {
            replica.apply(offset, record);
        }
        replica
    }

    /// Sends a message with a random network delay.
    fn send(&mut self, message: Message) {
        let reordering = self.reordering_until > self.now;
        let delay = if reordering { self.random.below(1500) } else { self.random.below(40) };
        self.send_after(Millis(delay), message);
    }

    fn send_after(&mut self, delay: Millis, message: Message) {
        self.last_number += 1;
        let key = (self.now + delay, self.last_number);
        let at = self.messages.partition_point(|(time, number, _)| (*time, *number) < key);
        self.messages.insert(at, (key.0, key.1, message));
    }

    fn deliver(&mut self) {
        while self.messages.first().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, _, message) = self.messages.remove(0);
            self.handle(message);
        }
    }

    /// Returns whether messages between a daemon and a worker are delivered.
    fn is_reachable(&self, daemon: usize, machine: usize) -> bool {
        let Machine { crashed, unreachable: (from, until), .. } = &self.machines[machine];
        let unreachable = *until > self.now && from.is_none_or(|from| from == daemon);
        !crashed && !unreachable && self.daemons[daemon].alive
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Adopt { from, call, worker, expected } if self.is_reachable(from, worker) => {
                let controller = self.daemons[from].name.clone();
                let adopted = self.machines[worker].arbiter.adopt(&controller, expected).cloned();
                self.send(Message::Answer { to: from, call, answer: Answer::Adopted(adopted) });
            }
            Message::Heartbeat { from, call, worker, pulse } if self.is_reachable(from, worker) => {
                let heard = self.heartbeat(worker, &pulse);
                self.send_after(
                    Millis(150),
                    Message::Answer { to: from, call, answer: Answer::Heartbeat(heard) },
                );
            }
            Message::Orders { from, call, worker, epoch, orders }
                if self.is_reachable(from, worker) =>
            {
                let now = self.now + Millis(self.machines[worker].skew);
                let arbiter = &mut self.machines[worker].arbiter;
                let replies = orders.iter().map(|o| arbiter.order(epoch, o, now)).collect();
                if self.reordering_until > self.now {
                    let again = self.random.below(2000);
                    let message = Message::Orders { from, call, worker, epoch, orders };
                    if self.random.below(3) == 0 {
                        self.send_after(Millis(again), message);
                    }
                }
                self.send(Message::Answer { to: from, call, answer: Answer::Ordered(replies) });
            }
            Message::Append { stream, record } => self.streams[stream_index(stream)].push(record),
            Message::Adopt { .. } | Message::Heartbeat { .. } | Message::Orders { .. } => {}
            other => self.handle_at_daemon(other),
        }
    }

    fn handle_at_daemon(&mut self, message: Message) {
        let to = match &message {
            Message::Answer { to, .. }
            | Message::TimedOut { to, .. }
            | Message::Wishes { to, .. }
            | Message::Grants { to, .. }
            | Message::Report { to, .. }
            | Message::Recorded { to, .. }
            | Message::Landed { to, .. } => *to,
            _ => return,
        };
        if !self.daemons[to].alive {
            return;
        }
        if self.daemons[to].frozen_until > self.now {
            self.send_after(STEP, message);
            return;
        }
        let now = self.time_at(to);
        let daemon = &mut self.daemons[to];
        match message {
            Message::Answer { call, answer, .. } => self.handle_answer(to, call, Some(answer)),
            Message::TimedOut { call, .. } => self.handle_answer(to, call, None),
            Message::Wishes { from, wishes, .. } => {
                let grants = wishes.iter().map(|w| daemon.controller.handle(w, now)).collect();
                self.send(Message::Grants { to: from, wishes, grants });
            }
            Message::Grants { wishes, grants, .. } => {
                for (wish, grant) in wishes.iter().zip(grants) {
                    daemon.steward.granted(wish, grant, now);
                }
            }
            Message::Report { from, standings, endings, .. } => {
                for standing in &standings {
                    daemon.controller.observe_status(standing);
                    let worker = &standing.worker.name;
                    match daemon.reporters.binary_search_by(|(w, _)| w.cmp(worker)) {
                        Ok(i) => daemon.reporters[i].1 = from.clone(),
                        Err(i) => daemon.reporters.insert(i, (worker.clone(), from.clone())),
                    }
                }
                let recorded = daemon.steward.report(&standings, &endings, now);
                if let Some(to) = self.daemons.iter().position(|d| d.name == from) {
                    self.send(Message::Recorded { to, recorded });
                }
            }
            Message::Recorded { recorded, .. } => daemon.controller.recorded(&recorded),
            Message::Landed { id, landing, .. } => daemon.steward.append_done(&id, landing),
            _ => {}
        }
    }

    /// Returns the time of a daemon's clock.
    fn time_at(&self, daemon: usize) -> Millis {
        self.now + Millis(self.daemons[daemon].skew)
    }

    /// Handles a heartbeat at a worker.
    fn heartbeat(&mut self, w: usize, pulse: &HeartbeatRequest) -> HeartbeatResponse {
        let machine = &mut self.machines[w];
        let now = self.now + Millis(machine.skew);
        let arbiter = &mut machine.arbiter;
        if let Some(until) = pulse.renew_all {
            arbiter.renew_all(pulse.epoch, until, now);
        }
        arbiter.acknowledge(pulse.epoch, pulse.acknowledged);
        arbiter.expire_leases(now);
        let inventory = arbiter.inventory().clone();
        let ended = inventory.ended.clone();
        HeartbeatResponse { epoch: inventory.epoch, revision: 1, inventory: Some(inventory), ended }
    }

    /// Completes a worker's attempts whose run time is over.
    fn run_worker(&mut self, w: usize) {
        if self.machines[w].crashed {
            return;
        }
        let real = self.now;
        let machine = &mut self.machines[w];
        let now = real + Millis(machine.skew);
        machine.arbiter.expire_leases(now);
        let running = machine.arbiter.inventory().running.clone();
        let mut runs = Vec::new();
        for holding in &running {
            let found = machine.runs.iter().find(|r| r.0 == holding.task && r.1 == holding.attempt);
            let end = found.map_or_else(
                || {
                    let job = self.jobs.iter().find(|(j, _)| j.id == holding.task.job);
                    real + job.map_or(STEP, |(j, _)| j.run_ms)
                },
                |r| r.2,
            );
            runs.push((holding.task.clone(), holding.attempt, end));
        }
        for (task, attempt, _) in runs.iter().filter(|r| r.2 <= real) {
            let ending = worker::Ending::Completed("done".into());
            machine.arbiter.finish(task, *attempt, ending, now);
        }
        runs.retain(|r| r.2 > real);
        machine.runs = runs;
    }

    /// Runs one step of a daemon.
    fn run_daemon(&mut self, d: usize) {
        self.update_membership(d);
        self.read_log(d);
        self.submit_and_release(d);
        let now = self.time_at(d);
        let daemon = &mut self.daemons[d];
        daemon.steward.set_open(Ok::<(), Reason>(()));
        daemon.steward.tick(now);
        daemon.controller.tick(now);
        self.apply_steward_effects(d);
        self.apply_controller_effects(d);
        self.send_reports(d);
    }

    /// Reads the instance list, receives the peers' heartbeats, and takes or gives up partitions.
    fn update_membership(&mut self, d: usize) {
        let now = self.time_at(d);
        if self.now.get().is_multiple_of(LIST_INTERVAL_MS) {
            let listed = self.listed.clone();
            let heard: Vec<Name> = self
                .daemons
                .iter()
                .filter(|p| p.alive && p.frozen_until <= self.now)
                .map(|p| p.name.clone())
                .collect();
            let membership = &mut self.daemons[d].membership;
            membership.listed(&listed, now);
            for peer in heard {
                membership.record_answer(peer.as_str(), false, now);
            }
        }
        let workers: Vec<Instance> =
            self.listed.iter().filter(|i| i.role == Role::Worker).cloned().collect();
        let daemon = &mut self.daemons[d];
        let listed = |name: &Name| workers.iter().any(|w| w.name == *name);
        for (worker, _) in daemon.reporters.extract_if(.., |(worker, _)| !listed(worker)) {
            daemon.steward.forget(&worker);
        }
        let asked_since = daemon.membership.consulted_since(now);
        daemon.steward.consulted_since(asked_since);
        let candidates = daemon.membership.candidates(now);
        daemon.controller.members(&workers, &candidates, asked_since.is_some(), now);
        for index in 0..PARTITIONS {
            let stream = Stream::Partition(index).to_string();
            let mine = stewardship::owner(&stream, None, &candidates) == Some(&daemon.name);
            match (mine, daemon.positions.iter().position(|(p, _)| *p == index)) {
                (true, None) => {
                    daemon.positions.push((index, 0));
                    daemon.steward.add_partition(index, None);
                }
                (false, Some(i)) => {
                    daemon.positions.remove(i);
                    daemon.steward.remove_partition(index);
                }
                _ => {}
            }
        }
    }

    /// Reads the log. Its answer dates from the previous step.
    fn read_log(&mut self, d: usize) {
        if self.log_outage_until > self.now {
            return;
        }
        let now = self.time_at(d);
        let daemon = &mut self.daemons[d];
        for (index, next) in &mut daemon.positions {
            let stream = &self.streams[usize::from(*index)];
            let from = usize::try_from(*next).unwrap_or(usize::MAX);
            let rows: Vec<(Offset, Record)> = (*next..).zip(stream[from..].to_vec()).collect();
            *next = stream.len() as u64;
            daemon.steward.rows(*index, &rows, true, now);
        }
        let fleet = &self.streams[usize::from(PARTITIONS)];
        for (offset, record) in (0..).zip(fleet).skip(daemon.fleet.next as usize) {
            let before = daemon.fleet.next;
            let verdict: Verdict = daemon.fleet.apply(offset, record);
            if daemon.fleet.next <= before {
                self.violations
                    .push(format!("the offset of the fleet view did not advance: {verdict:?}"));
            }
        }
        daemon.steward.update_fleet(&daemon.fleet, now);
        daemon.controller.fleet(&daemon.fleet, now - STEP);
    }

    /// Submits the jobs that are not accepted yet and, as an operator would, releases tasks held by
    /// crashed workers.
    fn submit_and_release(&mut self, d: usize) {
        if self.random.below(4) != 0 {
            return;
        }
        let now = self.time_at(d);
        let steward = &mut self.daemons[d].steward;
        for (i, (job, accepted)) in (0..).zip(&self.jobs) {
            if !accepted {
                steward.ask(i, Query::Submit(job.clone()), now);
            }
        }
        let crashed: Vec<&Name> =
            self.machines.iter().filter(|m| m.crashed).map(|m| &m.name).collect();
        let held = (0..PARTITIONS).filter_map(|p| steward.replica(p)).flat_map(Replica::jobs);
        let mut asks = Vec::new();
        for entry in held {
            for (t, index) in entry.tasks.iter().zip(0..) {
                if t.placement().is_some_and(|(worker, _)| crashed.contains(&worker)) {
                    asks.push(Query::Release {
                        team: entry.job.team.clone(),
                        task: task::Id { job: entry.job.id.clone(), index },
                        attempt: t.attempt,
                        operator: name("operator"),
                    });
                }
            }
        }
        for ask in asks {
            steward.ask(u64::MAX, ask, now);
        }
    }

    /// Records double runs and exceeded capacities as violations.
    fn check_invariants(&mut self) {
        let mut running: Vec<(&task::Id, &Name)> = Vec::new();
        for machine in self.machines.iter().filter(|m| !m.crashed) {
            let inventory = machine.arbiter.inventory();
            let taken = inventory.running.iter().fold(Capacity::ZERO, |sum, h| sum.plus(&h.needs));
            if !machine.capacity.holds(&taken) {
                self.violations.push(format!("{} exceeds its capacity", machine.name));
            }
            running.extend(inventory.running.iter().map(|h| (&h.task, &machine.name)));
        }
        running.sort();
        for pair in running.windows(2).filter(|pair| pair[0].0 == pair[1].0) {
            self.violations.push(format!("double run at {1}: {0:?}", pair, self.now));
        }
    }
}

/// Returns the index of a stream in [`Simulation::streams`].
fn stream_index(stream: Stream) -> usize {
    match stream {
        Stream::Partition(index) => usize::from(index),
        Stream::Fleet | Stream::Configuration => usize::from(PARTITIONS),
    }
}
