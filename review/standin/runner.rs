//! A runner: starts tasks on orders, holds leases, and lists what runs and what has ended.
//!
//! The job's text is the run time of its tasks in milliseconds. Failures of their own are drawn by the
//! scenario.

use crate::http::{Request, Response, Server};
use crate::json::{self, Value};
use crate::record::Record;
use crate::store::Store;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MAX_HOLD_MS: u64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(1500);
const STEP: Duration = Duration::from_millis(5);

struct Run {
    task: String,
    number: u64,
    began: Instant,
    takes: Duration,
    /// Position in the record.
    at: usize,
}

#[derive(Default)]
struct State {
    fence: u64,
    /// End of the lease on the runner's clock.
    lease_end: u64,
    running: Vec<Run>,
    finished: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Highest run of each task that was stopped or has ended here.
    highest: BTreeMap<String, u64>,
}

/// One life of a runner.
pub struct Life {
    pub id: String,
    pub address: String,
    pub born: u64,
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
    is_over: AtomicBool,
    server: Mutex<Option<Server>>,
}

impl Life {
    /// Starts a runner, which enters itself in the store at once and at every heartbeat.
    pub fn start(id: &str, address: &str, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let life = Arc::new(Self {
            id: id.into(),
            address: address.into(),
            born,
            started: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            record: Arc::clone(record),
            is_over: AtomicBool::new(false),
            server: Mutex::new(None),
        });
        let handler = Arc::clone(&life);
        let server = Server::start(address, Arc::new(move |request| handler.handle(request)));
        *life.server.lock().unwrap() = Some(server);
        record.note(&format!("runner {id} at {address} starts, born {born}"));
        let (ticking, beating, store) = (Arc::clone(&life), Arc::clone(&life), Arc::clone(store));
        beating.beat(&store, 1);
        std::thread::spawn(move || {
            while !ticking.is_over.load(Ordering::SeqCst) {
                ticking.advance(&mut ticking.state.lock().unwrap());
                std::thread::sleep(STEP);
            }
        });
        std::thread::spawn(move || {
            for number in 2.. {
                std::thread::sleep(HEARTBEAT);
                if beating.is_over.load(Ordering::SeqCst) {
                    return;
                }
                beating.beat(&store, number);
            }
        });
        life
    }

    fn beat(&self, store: &Store, number: u64) {
        let clock = self.clock();
        let Self { id, address, born, .. } = self;
        let value = format!(
            "{{\"service\":\"engine\",\"address\":\"{address}\",\"zone\":\"z1\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\
             \"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpus\":0}},\"labels\":[\"a\",\"r1-1\"],\
             \"clockMs\":{clock},\"seqNo\":{number},\"born\":{born}}}"
        );
        store.put("keyed.servers", id, &value);
    }

    /// Ends this life as a crash does: nothing that runs survives, and all connections break.
    pub fn crash(&self) {
        self.is_over.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        for run in state.running.drain(..) {
            self.record.ended(run.at, "gone");
        }
        drop(state);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        self.record.note(&format!("runner {} crashes", self.id));
    }

    /// Returns the number of tasks that run here.
    pub fn running(&self) -> usize {
        self.state.lock().unwrap().running.len()
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn end(&self, state: &mut State, run: Run, how: &'static str) {
        self.record.ended(run.at, how);
        let highest = state.highest.entry(run.task.clone()).or_default();
        *highest = (*highest).max(run.number);
        state.ends += 1;
        state.finished.push((state.ends, run.task, run.number, how));
        self.changed.notify_all();
    }

    fn advance(&self, state: &mut State) {
        let is_lapsed = self.clock() > state.lease_end;
        let (over, running): (Vec<Run>, Vec<Run>) = std::mem::take(&mut state.running)
            .into_iter()
            .partition(|r| is_lapsed || r.began.elapsed() >= r.takes);
        state.running = running;
        for run in over {
            let how = if run.began.elapsed() >= run.takes { "done" } else { "lapsed" };
            self.end(state, run, how);
        }
    }

    fn extend_lease(&self, state: &mut State, body: &Value) {
        if let Some(deadline) = body.number("deadlineMs") {
            state.lease_end = state.lease_end.max(deadline.min(self.clock() + MAX_HOLD_MS));
        }
    }

    fn refuse(&self, reason: &str) -> Response {
        Response::new(409, format!("{{\"clockMs\":{},\"reason\":\"{reason}\"}}", self.clock()))
    }

    fn handle(&self, request: &Request) -> Response {
        if request.header("X-Expect-Instance").is_some_and(|id| id != self.id) {
            return Response::new(421, "{}");
        }
        if request.path == "/healthz" {
            return Response::new(200, "{}");
        }
        let Some(body) = json::parse(&request.body) else { return Response::new(400, "{}") };
        let mut state = self.state.lock().unwrap();
        let fence = body.number("fenceToken").unwrap_or(0);
        if fence < state.fence {
            return self.refuse("fence");
        }
        state.fence = fence;
        self.advance(&mut state);
        match request.path.as_str() {
            "/run-start" => self.start_run(&mut state, &body),
            "/run-stop" => self.stop_run(&mut state, &body),
            "/hold" => self.hold(state, &body),
            _ => Response::new(404, "{}"),
        }
    }

    fn start_run(&self, state: &mut State, body: &Value) -> Response {
        let (Some(task), Some(number)) = (body.text("taskId"), body.number("runId")) else {
            return Response::new(400, "{}");
        };
        self.extend_lease(state, body);
        let spec = body.text("jobSpec").unwrap_or_default();
        let Ok(takes) = spec.parse() else { return Response::new(400, "{}") };
        let accepted = Response::new(200, format!("{{\"clockMs\":{}}}", self.clock()));
        if state.running.iter().any(|r| r.task == task && r.number == number) {
            return accepted;
        }
        if state.highest.get(task).is_some_and(|highest| *highest >= number) {
            return self.refuse("old");
        }
        if state.lease_end <= self.clock() {
            return self.refuse("late");
        }
        let at = self.record.began(task, number, &format!("{} born {}", self.id, self.born));
        let takes = Duration::from_millis(takes);
        let run = Run { task: task.into(), number, began: Instant::now(), takes, at };
        state.running.push(run);
        accepted
    }

    fn stop_run(&self, state: &mut State, body: &Value) -> Response {
        let (Some(task), Some(number)) = (body.text("taskId"), body.number("runId")) else {
            return Response::new(400, "{}");
        };
        let highest = state.highest.entry(task.into()).or_default();
        *highest = (*highest).max(number);
        let at = state.running.iter().position(|r| r.task == task && r.number <= number);
        if let Some(at) = at {
            let run = state.running.remove(at);
            self.end(state, run, "stopped");
        }
        Response::new(200, format!("{{\"clockMs\":{}}}", self.clock()))
    }

    fn hold(&self, mut state: std::sync::MutexGuard<'_, State>, body: &Value) -> Response {
        self.extend_lease(&mut state, body);
        let last_seen = body.number("lastSeen").unwrap_or(0);
        state.finished.retain(|(number, ..)| *number > last_seen);
        let wait = Duration::from_millis(body.number("waitMs").unwrap_or(0).min(2000));
        let until = Instant::now() + wait;
        while state.finished.is_empty() && !self.is_over.load(Ordering::SeqCst) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running = state.running.iter().map(|r| {
            let percent = r.began.elapsed().as_millis() * 100 / r.takes.as_millis().max(1);
            format!("[\"{}\",{},\"\",{}]", r.task, r.number, percent.min(99))
        });
        let running: Vec<String> = running.collect();
        let finished =
            state.finished.iter().take(500).map(|(number, task, run, how)| {
                format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
            });
        let finished: Vec<String> = finished.collect();
        let body = format!(
            "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            self.clock(),
            self.born,
            running.join(","),
            finished.join(",")
        );
        Response::new(200, body)
    }
}
