//! A simulation around the production decision code: arbiters of workers, instances with their
//! views, a log, and messages that are delayed, duplicated and lost.

use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::class::Class;
use pimentovalve_core::contract::configuration::{Patch, Weights};
use pimentovalve_core::contract::job::Job;
use pimentovalve_core::contract::kind::{Kind, Separation, Shape};
use pimentovalve_core::contract::task;
use pimentovalve_core::ledger::attempt::{self, LossReadTimes, PlacementDecision};
use pimentovalve_core::ledger::currency::{Poll, Proof, Statement};
use pimentovalve_core::ledger::fleet::Fleet;
use pimentovalve_core::ledger::history::History;
use pimentovalve_core::ledger::record::{Change, End, Id, Record, Register};
use pimentovalve_core::ledger::replica::Replica;
use pimentovalve_core::machine::adoption;
use pimentovalve_core::machine::arbiter::Arbiter;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::lease::Bounds;
use pimentovalve_core::machine::worker::{Action, Ending, Epoch, Inventory, Order, Start, Worker};
use pimentovalve_core::name::Name;
use pimentovalve_core::zone::Place;
use pimentovalve_core::zone::membership::{Instance, Membership, Role, State};

pub const BOUNDS: Bounds =
    Bounds { lease_ms: Millis(6), currency_ms: Millis(3), skew_ms: Millis(1) };
const LIST_LAG: Millis = Millis(1_000_000);
const START: u64 = 10_000_000;
const TASKS: u32 = 3;
pub const INSTANCES: usize = 3;
pub const WORKERS: usize = 2;

/// A guard that is disabled, to show that the checks detect its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisabledGuard {
    None,
    /// The fence counts as expired immediately.
    Fence,
    /// Starts and renewals need no proof that the view is current.
    Proof,
    /// A start order carries the controller's current epoch instead of that of the attempt's record.
    RecordEpoch,
    /// A request is sent as soon as its claim was appended, before the claim is read back.
    ReadBack,
    /// A peer's configuration replaces the own one even if it is older.
    Monotone,
    /// A start order carries no needed capacity.
    Capacity,
}

/// A message in flight.
#[derive(Clone, Debug)]
enum Message {
    Adopt { from: usize, worker: usize, expected: Epoch },
    Order { worker: usize, epoch: Epoch, order: Order },
    Renew { worker: usize, epoch: Epoch, renewal: adoption::Renewal },
    Inventory { to: usize, worker: usize, inventory: Inventory },
    Append { stream: usize, record: Record },
}

/// Indexes of the streams in the log.
const PARTITION: usize = 0;
const FLEET: usize = 1;
const CONFIGURATION: usize = 2;

struct Node {
    name: Name,
    membership: Membership,
    replica: Replica,
    fleet: Fleet,
    history: History,
    proof: Proof,
    loss_read_times: LossReadTimes,
    /// The inventory of each worker with the highest epoch, the latest delivered among equals.
    inventories: Vec<Option<Inventory>>,
    numbers: u64,
    sent: u32,
    claims: Vec<Id>,
}

pub struct Simulation {
    disabled: DisabledGuard,
    now: u64,
    is_log_up: bool,
    offsets: Vec<u64>,
    arbiters: Vec<Arbiter>,
    nodes: Vec<Node>,
    log: [Vec<Record>; 3],
    messages: Vec<Message>,
    /// Starts that took effect. The test checks that interleavings reach this state.
    pub starts: u32,
    /// Attempts that were recorded after a fence.
    pub fenced: u32,
}

fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

fn place() -> Place {
    Place { region: name("r"), domain: name("d"), rack: name("k") }
}

fn instance(index: usize) -> Instance {
    Instance {
        name: name(&format!("i{index}")),
        role: Role::Entry,
        place: place(),
        address: "127.0.0.1:1".into(),
        state: State::Live,
        worker: None,
        service: None,
    }
}

fn task(index: u32) -> task::Id {
    task::Id { job: name(&format!("job-{index}")), index: 0 }
}

/// The last task is of a kind with [`Separation::Hold`].
fn kind(index: u32) -> Kind {
    let separation = if index + 1 == TASKS { Separation::Hold } else { Separation::Move };
    let name = name(if separation == Separation::Hold { "hold" } else { "move" });
    Kind { name, shape: Shape::Batch, separation, class: Class::Normal, attempts: 9 }
}

const NEED: Capacity = Capacity::new(2, 2, 0);

impl Simulation {
    /// Returns a simulation in which the configuration and all jobs are in the log and were read.
    pub fn new(disabled: DisabledGuard) -> Self {
        let worker = |i| Worker {
            name: name(&format!("w{i}")),
            place: place(),
            capacity: Capacity::new(5, 5, 0),
        };
        let mut simulation = Self {
            disabled,
            now: START,
            is_log_up: true,
            offsets: vec![0; INSTANCES + WORKERS],
            arbiters: (0..WORKERS).map(|i| Arbiter::new(worker(i))).collect(),
            nodes: (0..INSTANCES).map(Node::new).collect(),
            log: [Vec::new(), Vec::new(), Vec::new()],
            messages: Vec::new(),
            starts: 0,
            fenced: 0,
        };
        let patch = Patch { kinds: vec![kind(TASKS - 1), kind(0)], ..Patch::default() };
        let change = Change::Patch { operator: name("o"), patch };
        simulation.append(0, Register::Configuration, 0, change);
        for index in 0..TASKS {
            let job = Job {
                id: task(index).job,
                team: name("t"),
                kind: kind(index).name,
                class: None,
                tasks: 1,
                needs: NEED,
                run_ms: Millis::ZERO,
                payload: String::new(),
            };
            let register = Register::Job(job.id.clone());
            simulation.append(0, register, 0, Change::Submit { job, kind: kind(index) });
        }
        while !simulation.messages.is_empty() {
            simulation.deliver(0, false);
        }
        (0..INSTANCES).for_each(|i| simulation.read(i));
        simulation
    }

    /// Returns the clock of a process; workers are numbered after instances.
    fn clock(&self, process: usize) -> Millis {
        Millis(self.now + self.offsets[process])
    }

    fn worker_clock(&self, worker: usize) -> Millis {
        self.clock(INSTANCES + worker)
    }

    /// Advances the time and changes one clock's offset within the skew.
    pub fn advance(&mut self, ms: u64, shifted: usize) {
        self.now += ms;
        let offset = &mut self.offsets[shifted % (INSTANCES + WORKERS)];
        *offset = 1 - *offset;
        for worker in 0..WORKERS {
            let now = self.worker_clock(worker);
            self.arbiters[worker].expire_leases(now);
        }
    }

    /// Starts or ends an outage of the log.
    pub fn toggle_log(&mut self) {
        self.is_log_up = !self.is_log_up;
    }

    /// Loses a message in flight.
    pub fn drop_message(&mut self, which: usize) {
        if !self.messages.is_empty() {
            let i = which % self.messages.len();
            self.messages.swap_remove(i);
        }
    }

    /// Delivers the message at index `which` modulo their number; `usize::MAX` and `usize::MAX - 1`
    /// select the two newest. With `keep` a duplicate remains in flight.
    pub fn deliver(&mut self, which: usize, keep: bool) {
        if self.messages.is_empty() {
            return;
        }
        let newest = self.messages.len() - 1;
        let from_newest = usize::MAX - which;
        let i =
            if from_newest < 2 { newest.saturating_sub(from_newest) } else { which % (newest + 1) };
        let message = self.messages[i].clone();
        if !keep {
            self.messages.remove(i);
        }
        match message {
            Message::Adopt { from, worker, expected } => {
                let controller = self.nodes[from].name.clone();
                if self.arbiters[worker].adopt(&controller, expected).is_ok() {
                    self.report(from, worker);
                }
            }
            Message::Order { worker, epoch, order } => {
                let before = self.arbiters[worker].inventory().running.len();
                let now = self.worker_clock(worker);
                self.arbiters[worker].order(epoch, &order, now);
                let after = self.arbiters[worker].inventory().running.len();
                self.starts += u32::from(after > before);
            }
            Message::Renew { worker, epoch, renewal } => {
                let now = self.worker_clock(worker);
                self.arbiters[worker].renew(epoch, &renewal.attempts, renewal.until, now);
            }
            Message::Inventory { to, worker, inventory } => {
                let known = &mut self.nodes[to].inventories[worker];
                if known.as_ref().is_none_or(|known| known.epoch <= inventory.epoch) {
                    *known = Some(inventory);
                }
            }
            Message::Append { stream, record } if self.is_log_up => self.log[stream].push(record),
            Message::Append { .. } => {}
        }
    }

    /// Sends the worker's inventory to an instance.
    pub fn report(&mut self, to: usize, worker: usize) {
        let inventory = self.arbiters[worker].inventory().clone();
        self.messages.push(Message::Inventory { to, worker, inventory });
    }

    /// Lets an instance try to take control of a worker.
    pub fn adopt(&mut self, from: usize, worker: usize) {
        let expected = self.nodes[from].inventories[worker].as_ref().map_or(0, |i| i.epoch);
        self.messages.push(Message::Adopt { from, worker, expected });
    }

    /// Lets one of a worker's running attempts fail.
    pub fn finish(&mut self, worker: usize, which: usize) {
        let now = self.worker_clock(worker);
        let running = &self.arbiters[worker].inventory().running;
        if let Some(run) = running.get(which % running.len().max(1)) {
            let (task, attempt) = (run.task.clone(), run.attempt);
            let ending = Ending::Failed("failed".into());
            self.arbiters[worker].finish(&task, attempt, ending, now);
        }
    }

    fn append(&mut self, from: usize, register: Register, expect: u64, change: Change) {
        let at = self.clock(from);
        let stream = match register {
            Register::Worker(_) => FLEET,
            Register::Configuration => CONFIGURATION,
            _ => PARTITION,
        };
        let node = &mut self.nodes[from];
        node.numbers += 1;
        let id = Id { writer: node.name.clone(), number: node.numbers };
        let record = Record { id, at, register, expect, change };
        self.messages.push(Message::Append { stream, record });
    }

    /// Lets an instance read all streams to their ends.
    pub fn read(&mut self, i: usize) {
        if !self.is_log_up {
            return;
        }
        let now = self.clock(i);
        let node = &mut self.nodes[i];
        let rest = |next: u64, stream: usize| {
            let rows = self.log[stream].iter().cloned().zip(0u64..);
            rows.skip(usize::try_from(next).expect("a small offset")).collect::<Vec<_>>()
        };
        for (record, offset) in rest(node.replica.next, PARTITION) {
            node.replica.apply(offset, &record);
        }
        for (record, offset) in rest(node.fleet.next, FLEET) {
            node.fleet.apply(offset, &record);
        }
        for (record, offset) in rest(node.history.next, CONFIGURATION) {
            node.history.apply(offset, &record);
        }
        node.loss_read_times.update(&node.fleet, now);
        node.proof.tail(now, self.log[FLEET].len() as u64, node.fleet.next);
    }

    /// Lets an instance poll all peers, as during an outage of the log.
    pub fn poll(&mut self, i: usize) {
        let now = self.clock(i);
        let mut poll = Poll::new(&self.nodes[i].membership, now);
        for j in (0..INSTANCES).filter(|j| *j != i) {
            let theirs = self.clock(j);
            let peer = &self.nodes[j];
            let statement = Statement { next: peer.fleet.next, age: peer.proof.age(theirs) };
            let (fleet, peer) = (peer.fleet.clone(), peer.name.clone());
            self.nodes[i].fleet.merge(&fleet);
            poll.answer(peer.as_str(), statement);
        }
        let node = &mut self.nodes[i];
        node.loss_read_times.update(&node.fleet, now);
        let next = node.fleet.next;
        node.proof.peers(&poll, next);
    }

    /// Lets an instance merge a peer's configuration.
    pub fn merge(&mut self, i: usize, j: usize) {
        let theirs = self.nodes[j].history.clone();
        if self.disabled == DisabledGuard::Monotone {
            self.nodes[i].history = theirs;
        } else {
            self.nodes[i].history.merge(&theirs);
        }
    }

    /// Lets an instance append a configuration patch.
    pub fn patch(&mut self, i: usize, weight: u32) {
        let weights = Some(Weights { packing: weight, ..Weights::default() });
        let patch = Patch { weights, ..Patch::default() };
        let expect = self.nodes[i].history.configuration().version;
        let change = Change::Patch { operator: name("o"), patch };
        self.append(i, Register::Configuration, expect, change);
    }

    /// Lets an instance record the loss of a worker.
    pub fn record_loss(&mut self, i: usize, worker: usize) {
        let node = &self.nodes[i];
        let Some(inventory) = &node.inventories[worker] else { return };
        let (worker, epoch) = (inventory.worker.name.clone(), inventory.epoch);
        let expect = node.fleet.loss(worker.as_str()).map_or(0, |l| l.version);
        self.append(i, Register::Worker(worker), expect, Change::Lost { epoch });
    }

    /// Returns the epoch under which an instance controls a worker, by its last inventory.
    fn controlled_epoch(&self, i: usize, worker: usize) -> Option<Epoch> {
        let inventory = self.nodes[i].inventories[worker].as_ref()?;
        (inventory.controller.as_ref() == Some(&self.nodes[i].name)).then_some(inventory.epoch)
    }

    /// Lets an instance record the next attempt of a task on a worker, if the ruling allows it.
    pub fn place(&mut self, i: usize, index: u32, worker: usize) {
        let id = task(index % TASKS);
        let now = self.clock(i);
        let node = &self.nodes[i];
        let Some(task) = node.replica.task(&id) else { return };
        let view = attempt::View {
            fleet: &node.fleet,
            loss_read_times: &node.loss_read_times,
            consulted_since: node.membership.consulted_since(now),
            bounds: &BOUNDS,
        };
        let fence = match view.decide(task, kind(index % TASKS).separation, now) {
            PlacementDecision::Unplaced => None,
            PlacementDecision::Fenced(offset) => Some(offset),
            PlacementDecision::Wait(_) if self.disabled == DisabledGuard::Fence => Some(0),
            _ => return,
        };
        let newest = (0..INSTANCES).filter_map(|j| self.controlled_epoch(j, worker)).max();
        let (expect, attempt, Some(epoch)) = (task.version, task.attempt + 1, newest) else {
            return;
        };
        self.fenced += u32::from(fence.is_some());
        let worker = name(&format!("w{worker}"));
        let change = Change::Attempt { attempt, worker, epoch, needs: NEED, fence };
        self.append(i, Register::Task(id), expect, change);
    }

    /// Lets an instance send start orders for all attempts recorded on a worker that it controls.
    pub fn start(&mut self, i: usize, worker: usize) {
        let Some(controlled) = self.controlled_epoch(i, worker) else { return };
        let worker_name = name(&format!("w{worker}"));
        let now = self.clock(i);
        for index in 0..TASKS {
            let id = task(index);
            let Some(found) = self.nodes[i].replica.task(&id) else { continue };
            let Some((on, epoch)) = found.placement() else { continue };
            if *on != worker_name || !self.may_start(i, &worker_name, epoch, now) {
                continue;
            }
            let epoch =
                if self.disabled == DisabledGuard::RecordEpoch { controlled } else { epoch };
            let needs =
                if self.disabled == DisabledGuard::Capacity { Capacity::ZERO } else { NEED };
            let start = Start {
                epoch,
                needs,
                start_by: BOUNDS.start_by(found.placed_at),
                until: BOUNDS.until(now),
                team: name("t"),
                kind: kind(index).name,
                payload: String::new(),
                resume: false,
            };
            let order = Order { task: id, attempt: found.attempt, action: Action::Start(start) };
            self.messages.push(Message::Order { worker, epoch: controlled, order });
        }
    }

    fn view(&self, i: usize) -> adoption::View<'_> {
        let node = &self.nodes[i];
        adoption::View {
            fleet: &node.fleet,
            proof: &node.proof,
            configuration: node.history.configuration(),
            bounds: &BOUNDS,
        }
    }

    fn may_start(&self, i: usize, worker: &Name, epoch: Epoch, now: Millis) -> bool {
        self.disabled == DisabledGuard::Proof || self.view(i).may_start(worker.as_str(), epoch, now)
    }

    /// Lets an instance renew the leases on a worker that it controls.
    pub fn renew(&mut self, i: usize, worker: usize) {
        let Some(epoch) = self.controlled_epoch(i, worker) else { return };
        let Some(inventory) = &self.nodes[i].inventories[worker] else { return };
        let now = self.clock(i);
        let mut renewal = self.view(i).renewal(inventory, now);
        if self.disabled == DisabledGuard::Proof {
            let all = inventory.running.iter().map(|h| (h.task.clone(), h.attempt));
            renewal.attempts = all.collect();
        }
        self.messages.push(Message::Renew { worker, epoch, renewal });
    }

    /// Lets an instance record the ends of attempts that a worker's inventory shows to be over.
    pub fn record_ends(&mut self, i: usize, worker: usize) {
        let node = &self.nodes[i];
        let Some(inventory) = &node.inventories[worker] else { return };
        let mut ends: Vec<(task::Id, u64, task::Attempt, End)> = Vec::new();
        for id in (0..TASKS).map(task) {
            let Some(found) = node.replica.task(&id) else { continue };
            let Some((on, epoch)) = found.placement() else { continue };
            let reported_end = attempt::reported_end(inventory, &id, found.attempt, epoch);
            if let Some(end) = reported_end.filter(|_| *on == inventory.worker.name) {
                ends.push((id, found.version, found.attempt, end));
            }
        }
        for (id, expect, attempt, end) in ends {
            self.append(i, Register::Task(id), expect, Change::Over { attempt, end });
        }
    }

    /// Lets an instance claim the key of the only non-idempotent request.
    pub fn claim(&mut self, i: usize) {
        if self.nodes[i].replica.key("key").is_none() {
            self.append(i, Register::Key(name("key")), 0, Change::Claim { digest: 1, sender: 1 });
            let id = Id { writer: self.nodes[i].name.clone(), number: self.nodes[i].numbers };
            self.nodes[i].claims.push(id);
        }
    }

    /// Lets an instance send the request if the accepted claim is its own.
    pub fn send(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let won = node.replica.key("key").is_some_and(|key| key.claimant == node.name);
        let may_send =
            if self.disabled == DisabledGuard::ReadBack { !node.claims.is_empty() } else { won };
        if may_send && node.sent == 0 {
            node.sent += 1;
        }
    }

    /// Returns the promise that is violated now, if any, given the previous configuration versions of
    /// the instances.
    pub fn violation(&self, versions: &[u64]) -> Option<String> {
        let running = |worker: usize| self.arbiters[worker].inventory().running.iter();
        for id in (0..TASKS).map(task) {
            let places = (0..WORKERS).filter(|w| running(*w).any(|h| h.task == id)).count();
            if places > 1 {
                return Some(format!("{id} runs in {places} places"));
            }
        }
        for (worker, arbiter) in self.arbiters.iter().enumerate() {
            let taken = running(worker).fold(Capacity::ZERO, |sum, _| sum.plus(&NEED));
            if !arbiter.inventory().worker.capacity.holds(&taken) {
                return Some(format!("worker {worker} holds {taken}"));
            }
        }
        if self.nodes.iter().map(|n| n.sent).sum::<u32>() > 1 {
            return Some("the request was sent twice".into());
        }
        let has_decreased = self.versions().iter().zip(versions).any(|(now, before)| now < before);
        has_decreased.then(|| "a configuration version decreased".into())
    }

    /// Returns the configuration version of each instance.
    pub fn versions(&self) -> Vec<u64> {
        self.nodes.iter().map(|n| n.history.configuration().version).collect()
    }
}

impl Node {
    fn new(index: usize) -> Self {
        let own = instance(index);
        let mut membership = Membership::new(own.clone(), LIST_LAG, Millis(1000));
        let listed: Vec<Instance> = (0..INSTANCES).map(instance).collect();
        for reading in [START - 2_000_000, START - 1_000_000, START] {
            membership.listed(&listed, Millis(reading));
        }
        Self {
            name: own.name,
            membership,
            replica: Replica::default(),
            fleet: Fleet::default(),
            history: History::default(),
            proof: Proof::none(),
            loss_read_times: LossReadTimes::default(),
            inventories: vec![None; WORKERS],
            numbers: 0,
            sent: 0,
            claims: Vec::new(),
        }
    }
}
