//! Embeds the scheduler's decision objects in another program, without HTTP, threads or an async
//! runtime.
//!
//! Runs a steward and a worker's arbiter in a loop on virtual time. A vector takes the place of the
//! log, and direct calls that of the links between controller and worker. A real embedding replaces
//! both by its own transport; the decisions and their promises stay the same.
//!
//!     cargo run --example embed

use pimentovalve::core::clock::Millis;
use pimentovalve::core::contract::class::Class;
use pimentovalve::core::contract::configuration::{Configuration, Patch};
use pimentovalve::core::contract::job::{Job, Raw};
use pimentovalve::core::contract::kind::{Kind, Separation, Shape};
use pimentovalve::core::contract::planner::weighted::Weighted;
use pimentovalve::core::contract::steward::{
    self, AppendOutcome, Effect, Query, Steward, StewardReply, Ticket,
};
use pimentovalve::core::contract::team::Team;
use pimentovalve::core::finding::List;
use pimentovalve::core::ledger::record::Record;
use pimentovalve::core::ledger::replica::Replica;
use pimentovalve::core::ledger::{Offset, Stream};
use pimentovalve::core::machine::arbiter::Arbiter;
use pimentovalve::core::machine::capacity::Capacity;
use pimentovalve::core::machine::controller::{Ending, Grant, Operation, WorkerStatus};
use pimentovalve::core::machine::worker::{Action, Ending as End, Order, Worker};
use pimentovalve::core::name::Name;
use pimentovalve::core::zone::Place;

/// Virtual time that passes in each round of the loop.
const ROUND_DURATION: Millis = Millis(50);
/// Ticket of the submission.
const SUBMIT: Ticket = 1;
/// Ticket of all status queries.
const STATUS: Ticket = 2;
/// Rounds after which the example fails if the job has not ended.
const MAX_ROUNDS: u32 = 1000;

fn main() -> Result<(), List> {
    let mut cell = Cell::new()?;
    let raw = Raw {
        id: "seal-1".into(),
        team: "notaries".into(),
        kind: "sealing".into(),
        class: None,
        tasks: 3,
        needs: Capacity::new(1000, 1024, 0),
        run_ms: Millis(200),
        payload: "deeds 1 to 3".into(),
    };
    cell.report();
    cell.steward.ask(SUBMIT, Query::Submit(Job::try_from(raw)?), cell.now);
    for round in 0..MAX_ROUNDS {
        if cell.run_round() {
            println!("job ended after {round} rounds and {} records", cell.log.len());
            return Ok(());
        }
    }
    Err(List::one("seal-1", "did not end"))
}

/// The state of the daemon, the log and the worker.
struct Cell {
    /// Current virtual time.
    now: Millis,
    steward: Steward,
    log: Vec<Record>,
    worker: Arbiter,
    /// Name of the instance that controls the worker, here the embedding itself.
    controller: Name,
}

impl Cell {
    fn new() -> Result<Self, List> {
        let name = |raw: &str| Name::try_from(raw);
        let place = Place { region: name("lima")?, domain: name("lima-a")?, rack: name("r1")? };
        let now = Millis::from_secs(1);
        let config = steward::Config { partitions: 1, ..steward::Config::default() };
        let planner = Box::new(Weighted::new(&name("front-end")?, place.clone()));
        let mut steward = Steward::new(name("front-end")?, config, planner);
        steward.configure(&configuration()?);
        steward.set_open(Ok(()));
        steward.add_partition(0, Some(Replica::default()));
        steward.rows(0, &[], true, now);
        let capacity = Capacity::new(8000, 16 * 1024, 0);
        let mut worker = Arbiter::new(Worker { name: name("worker-1")?, place, capacity });
        let controller = name("front-end")?;
        if worker.adopt(&controller, 0).is_err() {
            return Err(List::one("worker-1", "is controlled by another instance"));
        }
        Ok(Self { now, steward, log: Vec::new(), worker, controller })
    }

    /// Advances the time by one round and executes all effects that are due. Returns whether the
    /// job has ended.
    fn run_round(&mut self) -> bool {
        self.now = self.now + ROUND_DURATION;
        self.report();
        self.steward.tick(self.now);
        self.steward.ask(STATUS, Query::Status { team: team_name(), job: job_name() }, self.now);
        let mut ended = false;
        // Executing an effect may produce further ones.
        loop {
            let effects = self.steward.effects();
            if effects.is_empty() {
                return ended;
            }
            for effect in effects {
                ended |= self.execute(effect);
            }
        }
    }

    /// Executes an effect of the steward. Returns whether it reports that the job has ended.
    fn execute(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Append { record, .. } => self.append(record),
            Effect::Operation(operation) => {
                let grant = self.answer_operation(&operation);
                self.steward.granted(&operation, grant, self.now);
            }
            Effect::Answer { ticket: STATUS, told: StewardReply::Job(job) } => return job.ended,
            Effect::Answer { told, .. } => println!("answer: {told:?}"),
            Effect::RecordEvent { stream, offset, verdict, .. } => {
                println!("{stream} {offset}: {verdict:?}");
            }
        }
        false
    }

    /// Appends a record to the log and delivers it to the steward as a reader of the log.
    fn append(&mut self, record: Record) {
        let offset = self.log.len() as Offset;
        self.log.push(record.clone());
        self.steward.append_done(&record.id, AppendOutcome::Landed);
        self.steward.rows(0, &[(offset, record)], true, self.now);
    }

    /// Completes all running attempts of the worker, then reports its state and the ended attempts
    /// to the steward. Ended attempts that are recorded in the log are acknowledged to the worker.
    fn report(&mut self) {
        let running = self.worker.inventory().running.clone();
        for run in running {
            self.worker.finish(&run.task, run.attempt, End::Completed("sealed".into()), self.now);
        }
        let inventory = self.worker.inventory();
        let status = WorkerStatus {
            worker: inventory.worker.clone(),
            epoch: inventory.epoch,
            free: inventory.free(),
            closed: false,
            as_of: self.now,
        };
        let worker = inventory.worker.name.clone();
        let ending = |ended| Ending { worker: worker.clone(), ended };
        let endings: Vec<Ending> = inventory.ended.iter().cloned().map(ending).collect();
        let epoch = inventory.epoch;
        for (_, sequence) in self.steward.report(&[status], &endings, self.now) {
            self.worker.acknowledge(epoch, sequence);
        }
    }

    /// Answers a wish in place of the worker's controller, by a direct call to the worker.
    fn answer_operation(&mut self, operation: &Operation) -> Grant {
        let epoch = self.worker.inventory().epoch;
        let action = match operation {
            Operation::Reserve { needs, .. } if self.worker.inventory().free().holds(needs) => {
                return Grant::Reserved { epoch };
            }
            Operation::Reserve { .. } => return Grant::Full,
            Operation::Release { .. } => return Grant::Accepted,
            Operation::Start { start, .. } => Action::Start(start.clone()),
            Operation::Stop { .. } => Action::Stop,
        };
        let attempt = match operation {
            Operation::Start { attempt, .. } | Operation::Stop { attempt, .. } => *attempt,
            Operation::Reserve { .. } | Operation::Release { .. } => 0,
        };
        let order = Order { task: operation.task().clone(), attempt, action };
        let reply = self.worker.order(epoch, &order, self.now);
        println!("{} for {}: {reply:?}", self.controller, order.task);
        Grant::Accepted
    }
}

fn team_name() -> Name {
    Name::try_from("notaries").unwrap_or_else(|_| unreachable!("a valid name"))
}

fn job_name() -> Name {
    Name::try_from("seal-1").unwrap_or_else(|_| unreachable!("a valid name"))
}

fn configuration() -> Result<Configuration, List> {
    let kind = Kind {
        name: Name::try_from("sealing")?,
        shape: Shape::Batch,
        separation: Separation::Move,
        class: Class::Normal,
        attempts: 3,
    };
    let quota = Capacity::new(8000, 16 * 1024, 0);
    let team = Team { name: team_name(), weight: 1, quota };
    let patch = Patch { kinds: vec![kind], teams: vec![team], ..Patch::default() };
    assert_eq!(Stream::of_team(&team_name(), 1), Stream::Partition(0));
    Configuration::default().patched(&patch)
}
