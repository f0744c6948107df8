//! Builder of a ledger and a time line for the tests of the audit.

use crate::audit::{Report, Row, Scope, audit};
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::configuration::{Patch, Shares};
use crate::contract::job::Job;
use crate::contract::kind::{Kind, Separation, Shape};
use crate::contract::request::Answer;
use crate::contract::task;
use crate::ledger::record::{Change, End, Id, Record, Register};
use crate::ledger::{Offset, Stream};
use crate::machine::capacity::Capacity;
use crate::machine::lease;
use crate::name::Name;
use crate::timeline::{Event, Outcome, What};

/// The partition that holds all jobs and requests of a scene.
pub(super) const PARTITION: Stream = Stream::Partition(3);
/// Capacity that each task needs.
const NEEDS: Capacity = Capacity::new(10_000, 1024, 0);
/// Capacity of each worker, which fits three tasks.
const SIZE: Capacity = Capacity::new(32_000, 64 * 1024, 0);

#[derive(Default)]
pub(super) struct Scene {
    pub(super) rows: Vec<Row>,
    pub(super) events: Vec<Event>,
}

pub(super) fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

pub(super) fn task(job: &str) -> task::Id {
    task::Id { job: name(job), index: 0 }
}

impl Scene {
    /// Returns a scene in which every promise is kept and each has something to check.
    pub(super) fn clean() -> Self {
        let mut scene = Self::default();
        for entry in ["entry-0", "entry-1", "entry-2"] {
            scene.note(entry, 0, What::ProcessStarted);
        }
        for (entry, worker) in
            [("entry-1", "worker-1"), ("entry-2", "worker-2"), ("entry-2", "worker-3")]
        {
            let worker = name(worker);
            scene.note(entry, 10, What::WorkerAdopted { worker, epoch: 1, capacity: SIZE });
        }
        scene.patch(0, 500);
        for entry in ["entry-0", "entry-1", "entry-2"] {
            scene.note(entry, 600, What::ConfigurationInForce { version: 1 });
        }
        scene.submit("deed-1", 1_000);
        scene.attempt("deed-1", 1, "worker-1", None, 1_010);
        scene.run("deed-1", 1, "worker-1", 1_020, Some(500));
        scene.over("deed-1", 1, End::Completed("sealed".into()), 1_600);
        scene.note("entry-1", 1_610, What::JobEnded { job: name("deed-1") });
        scene.submit("deed-2", 2_000);
        scene.attempt("deed-2", 1, "worker-1", None, 2_010);
        scene.run("deed-2", 1, "worker-1", 2_020, Some(100));
        scene.over("deed-2", 1, End::Evicted, 2_200);
        scene.attempt("deed-2", 2, "worker-2", None, 2_210);
        scene.run("deed-2", 2, "worker-2", 2_220, None);
        scene.requests();
        scene.note("entry-0", 9_000, What::DrainStarted);
        scene.note("entry-0", 9_100, What::Drained);
        scene
    }

    fn requests(&mut self) {
        self.receive("entry-0", "purge-1", false, 3_000);
        self.claim("purge-1", 3_010);
        self.send("entry-1", "purge-1", "try-1", 3_020);
        self.serve("entry-1", "purge-1", "try-1", 3_050);
        let answer = Answer::Whole { request: name("purge-1"), body: "purged".into() };
        self.settle("purge-1", answer, 3_060);
        let (request, attempt) = (name("purge-1"), Some(name("try-1")));
        self.note("entry-0", 3_070, What::RequestAnswered { request, attempt });
        self.receive("entry-0", "lookup-1", true, 3_100);
        let (request, reason) = (name("lookup-1"), crate::contract::request::Reason::Overload);
        self.note("entry-0", 3_110, What::RequestRefused { request, reason });
        self.note("entry-0", 3_200, What::LeavingSeen { instance: name("runner-7") });
    }

    pub(super) fn audit(&self, scope: &Scope) -> Report {
        audit(&self.rows, &self.events, &lease::Bounds::default(), scope)
    }

    /// Returns the scene with the events of each process numbered without gaps.
    pub(super) fn renumbered(mut self) -> Self {
        let events = std::mem::take(&mut self.events);
        for event in events {
            self.note(event.process.as_str(), event.at.get(), event.what);
        }
        self
    }

    pub(super) fn note(&mut self, process: &str, at: u64, what: What) {
        let own = self.events.iter().filter(|event| event.process.as_str() == process);
        let sequence = own.map(|event| event.sequence).max().unwrap_or_default() + 1;
        self.events.push(Event {
            process: name(process),
            duty: name("test"),
            at: Millis(at),
            sequence,
            cause: None,
            what,
        });
    }

    pub(super) fn append(
        &mut self,
        stream: Stream,
        register: Register,
        expect: u64,
        change: Change,
        at: u64,
    ) -> Offset {
        let offset = self.rows.iter().filter(|row| row.stream == stream).count() as u64;
        let id = Id { writer: name("entry-1.ledger.1"), number: self.rows.len() as u64 };
        let record = Record { id, at: Millis(at), register, expect, change };
        self.rows.push(Row { stream, offset, record });
        offset
    }

    /// Returns the version of a register: the number of its records, all of which are accepted.
    fn version(&self, register: &Register) -> u64 {
        self.rows.iter().filter(|row| row.record.register == *register).count() as u64
    }

    pub(super) fn patch(&mut self, base: u64, at: u64) {
        let patch = Patch { shares: Some(Shares::default()), ..Patch::default() };
        let change = Change::Patch { operator: name("rosa"), patch };
        self.append(Stream::Configuration, Register::Configuration, base, change, at);
    }

    pub(super) fn submit(&mut self, id: &str, at: u64) {
        let job = Job {
            id: name(id),
            team: name("notaries"),
            kind: name("sealing"),
            class: None,
            tasks: 1,
            needs: NEEDS,
            run_ms: Millis::ZERO,
            payload: String::new(),
        };
        let kind = Kind {
            name: name("sealing"),
            shape: Shape::Batch,
            separation: Separation::Hold,
            class: Class::Normal,
            attempts: 3,
        };
        self.append(PARTITION, Register::Job(name(id)), 0, Change::Submit { job, kind }, at);
        let (job, team) = (name(id), name("notaries"));
        self.note("entry-1", at + 5, What::JobAccepted { job, team, tasks: 1 });
    }

    pub(super) fn attempt(
        &mut self,
        job: &str,
        attempt: u32,
        worker: &str,
        fence: Option<Offset>,
        at: u64,
    ) {
        let register = Register::Task(task(job));
        let expect = self.version(&register);
        let worker = name(worker);
        let change = Change::Attempt { attempt, worker, epoch: 1, needs: NEEDS, fence };
        self.append(PARTITION, register, expect, change, at);
    }

    pub(super) fn run(&mut self, job: &str, attempt: u32, worker: &str, at: u64, ran: Option<u64>) {
        let (task, worker) = (task(job), name(worker));
        let started = What::AttemptStarted {
            task: task.clone(),
            attempt,
            worker: worker.clone(),
            needs: NEEDS,
        };
        self.note("entry-1", at, started);
        if let Some(ran) = ran {
            let (outcome, ran_ms) = (Outcome::Completed, Millis(ran));
            let ended = What::AttemptEnded { task, attempt, worker, outcome, ran_ms };
            self.note("entry-1", at + ran, ended);
        }
    }

    pub(super) fn over(&mut self, job: &str, attempt: u32, end: End, at: u64) {
        let register = Register::Task(task(job));
        let expect = self.version(&register);
        self.append(PARTITION, register, expect, Change::Over { attempt, end }, at);
    }

    pub(super) fn loss(&mut self, worker: &str, at: u64) -> Offset {
        let register = Register::Worker(name(worker));
        self.append(Stream::Fleet, register, 0, Change::Lost { epoch: 1 }, at)
    }

    pub(super) fn claim(&mut self, request: &str, at: u64) {
        let register = Register::Key(name(request));
        self.append(PARTITION, register, 0, Change::Claim { digest: 1, sender: 1 }, at);
    }

    pub(super) fn settle(&mut self, request: &str, answer: Answer, at: u64) {
        let register = Register::Key(name(request));
        self.append(PARTITION, register, 1, Change::Answer(answer), at);
    }

    pub(super) fn receive(&mut self, entry: &str, request: &str, idempotent: bool, at: u64) {
        let (request, team, service) = (name(request), name("notaries"), name("retention-engine"));
        self.note(entry, at, What::RequestReceived { request, team, service, idempotent });
    }

    pub(super) fn send(&mut self, entry: &str, request: &str, attempt: &str, at: u64) {
        let (request, attempt, runner) = (name(request), name(attempt), name("runner-1"));
        self.note(entry, at, What::RequestSent { request, attempt, runner });
    }

    pub(super) fn serve(&mut self, entry: &str, request: &str, attempt: &str, at: u64) {
        let (request, attempt) = (name(request), name(attempt));
        self.note(entry, at, What::RequestServed { request, attempt });
    }
}
