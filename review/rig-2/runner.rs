//! Stand-in of a runner: executes tasks under a lease. The text of a job says what its tasks do:
//!
//! - `run MS SPREAD`: ends done after MS milliseconds, and SPREAD more for each index of the task;
//! - `last`: works until it is stopped, after a short startup;
//! - `flawed MS COUNT`: as `last`, but the runs up to number COUNT fail after MS milliseconds.

use crate::http::{Reply, Request, Server};
use crate::json::{Json, quoted};
use crate::record::{Event, Kind, Record};
use crate::store::Store;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Longest lease, longest time of a stop and heartbeat interval of the settings.
pub const MAX_HOLD: Duration = Duration::from_millis(10_000);
const STOP: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time after which the entry of a silent runner is removed.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4500);
const STARTUP: Duration = Duration::from_millis(300);
/// Connections at a time.
const MAX_CONNECTIONS: usize = 64;
/// Ends in one answer.
const MAX_ENDS: usize = 500;

#[derive(Clone)]
struct Run {
    task: String,
    number: u64,
    began: Instant,
    /// When it ends by itself, and how.
    end: Option<(Instant, &'static str)>,
    stop_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// Whether the lease has lapsed since.
    has_lapsed: bool,
}

/// What a runner holds and knows in one life.
struct Life {
    started: Instant,
    born: u64,
    fence: u64,
    lease_end: Instant,
    running: Vec<Run>,
    finished: Vec<End>,
    ends: u64,
    barred: std::collections::HashMap<String, u64>,
}

struct State {
    life: Option<Life>,
    /// Whether it neither answers nor sends anything, and for how long its entry is kept.
    is_silent: bool,
    left_at: Instant,
    heartbeat_at: Instant,
    sequence: u64,
    is_listed: bool,
}

pub struct Runner {
    pub id: String,
    address: String,
    labels: Vec<String>,
    store: Arc<Store>,
    record: Arc<Record>,
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    /// Whether start orders are left unanswered and kept, to be carried out late.
    pub keeps_starts: AtomicBool,
    kept: Mutex<Vec<Request>>,
}

impl Runner {
    pub fn start(
        id: String,
        port: u16,
        labels: &[&str],
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let now = Instant::now();
        let runner = Arc::new(Self {
            id,
            address: format!("127.0.0.1:{port}"),
            labels: labels.iter().map(|l| l.to_string()).collect(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            state: Mutex::new(State {
                life: None,
                is_silent: false,
                left_at: now,
                heartbeat_at: now,
                sequence: 0,
                is_listed: false,
            }),
            changed: Condvar::new(),
            server: Mutex::new(None),
            keeps_starts: AtomicBool::new(false),
            kept: Mutex::default(),
        });
        runner.begin_life();
        let ticker = Arc::clone(&runner);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(3));
                ticker.tick();
            }
        });
        runner
    }

    /// Starts the process of the runner, which knows nothing of an earlier life.
    pub fn begin_life(self: &Arc<Self>) {
        self.begin_life_with_clock(0);
    }

    /// As [`Self::begin_life`], with a time of day that is this many milliseconds behind.
    pub fn begin_life_with_clock(self: &Arc<Self>, behind_ms: u64) {
        let now = Instant::now();
        let born = unix_ms() - behind_ms;
        {
            let mut state = self.state.lock().unwrap();
            state.life = Some(Life {
                started: now,
                born,
                fence: 0,
                lease_end: now,
                running: Vec::new(),
                finished: Vec::new(),
                ends: 0,
                barred: Default::default(),
            });
            (state.is_silent, state.heartbeat_at, state.sequence) = (false, now, 0);
        }
        let handler = Arc::clone(self);
        let server = Server::start(
            &self.address,
            MAX_CONNECTIONS,
            Arc::new(move |r: &Request| handler.handle(r)),
        );
        *self.server.lock().unwrap() = Some(server.expect("the runner's port is free"));
        self.record.line(&format!("runner {} begins a life, born {born}", self.id));
    }

    /// Ends the process: its port is closed, and what it ran is gone.
    pub fn crash(&self) {
        self.end_life();
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        self.record.line(&format!("runner {} crashes", self.id));
    }

    /// Ends the machine: nothing answers at its address any more.
    pub fn lose_power(&self) {
        self.end_life();
        self.record.line(&format!("runner {} loses power", self.id));
    }

    fn end_life(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some(life) = state.life.take() {
            for run in life.running {
                self.note(Kind::Gone, life.born, &run.task, run.number, "");
            }
        }
        (state.is_silent, state.left_at) = (true, Instant::now());
        self.changed.notify_all();
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.server.lock().unwrap().as_ref().map_or(0, Server::open)
    }

    /// Notes that the machine of a daemon loses power: the runner does not see its connections end.
    pub fn note_power_loss(&self) {
        if let Some(server) = &*self.server.lock().unwrap() {
            server.note_power_loss();
        }
    }

    /// Returns the tasks that run here.
    pub fn running(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.life.iter().flat_map(|l| l.running.iter().map(|r| r.task.clone())).collect()
    }

    fn note(&self, kind: Kind, born: u64, task: &str, run: u64, how: &'static str) {
        let (runner, task) = (self.id.clone(), task.to_string());
        self.record.event(Event { at: Instant::now(), kind, runner, born, task, run, how });
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if state.life.is_none() {
            if state.is_listed && now.duration_since(state.left_at) >= ENTRY_LIFETIME {
                state.is_listed = false;
                self.store.put("keyed.servers", &self.id, "");
            }
            return;
        }
        if now >= state.heartbeat_at {
            state.heartbeat_at = now + HEARTBEAT;
            state.sequence += 1;
            state.is_listed = true;
            let (sequence, life) = (state.sequence, state.life.as_ref().unwrap());
            let labels: Vec<String> = self.labels.iter().map(|l| quoted(l)).collect();
            let entry = format!(
                "{{\"service\":\"pool\",\"address\":\"{}\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":8,\
                 \"state\":\"ready\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":32000,\"memMb\":131072,\"gpus\":0}},\
                 \"labels\":[{}],\"clockMs\":{},\"seqNo\":{sequence},\"born\":{}}}",
                self.address,
                labels.join(","),
                clock(life),
                life.born
            );
            self.store.put("keyed.servers", &self.id, &entry);
        }
        self.advance(state.life.as_mut().unwrap(), now);
    }

    fn advance(&self, life: &mut Life, now: Instant) {
        if now >= life.lease_end {
            life.finished.iter_mut().for_each(|e| e.has_lapsed = true);
        }
        let mut i = 0;
        while i < life.running.len() {
            let run = &life.running[i];
            let end =
                run.end.filter(|(at, _)| *at <= now && *at <= life.lease_end).map(|(_, how)| how);
            let lapsed = (now >= life.lease_end).then_some("lapsed");
            let stopped = run.stop_at.filter(|at| *at <= now).map(|_| "stopped");
            match end.or(lapsed).or(stopped) {
                Some(how) => {
                    let run = life.running.remove(i);
                    self.end(life, run, how);
                }
                None => i += 1,
            }
        }
    }

    fn end(&self, life: &mut Life, run: Run, how: &'static str) {
        self.note(Kind::Ended, life.born, &run.task, run.number, how);
        bar(life, &run.task, run.number);
        life.ends += 1;
        let (number, has_lapsed) = (life.ends, how == "lapsed");
        life.finished.push(End { number, task: run.task, run: run.number, how, has_lapsed });
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.state.lock().unwrap().is_silent {
            return Reply::Silence;
        }
        if request.path == "/run-start" && self.keeps_starts.load(Ordering::Relaxed) {
            let body = String::from_utf8_lossy(&request.body);
            self.record.line(&format!("{}: order left unanswered: {body}", self.id));
            self.kept.lock().unwrap().push(request.clone());
            self.keeps_starts.store(false, Ordering::Relaxed);
            return Reply::Silence;
        }
        self.carry_out(request)
    }

    /// Returns the number of orders that were left unanswered.
    pub fn kept(&self) -> usize {
        self.kept.lock().unwrap().len()
    }

    /// Answers start orders again, and carries out the first one that was left unanswered.
    pub fn carry_out_late(&self) {
        self.keeps_starts.store(false, Ordering::Relaxed);
        let Some(request) = self.kept.lock().unwrap().drain(..).next() else { return };
        let status = match self.carry_out(&request) {
            Reply::Answer(status, body) => format!("{status} {}", String::from_utf8_lossy(&body)),
            Reply::Silence => "nothing".into(),
        };
        self.record.line(&format!("{}: order carried out late: {status}", self.id));
    }

    fn carry_out(&self, request: &Request) -> Reply {
        if request.path == "/healthz" {
            return Reply::json(200, "{}".into());
        }
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return Reply::json(421, "{}".into());
        }
        let Some(message) = Json::parse(&request.body) else {
            return Reply::json(400, "{}".into());
        };
        let fence = message.number("fenceToken").unwrap_or(0);
        let now = Instant::now();
        {
            let mut state = self.state.lock().unwrap();
            let Some(life) = state.life.as_mut() else { return Reply::Silence };
            self.advance(life, now);
            if fence < life.fence {
                return refusal(life, "fence");
            }
            life.fence = fence;
            if let Some(end) = message.number("deadlineMs") {
                let end = (life.started + Duration::from_millis(end)).min(now + MAX_HOLD);
                life.lease_end = life.lease_end.max(end);
            }
            match request.path.as_str() {
                "/run-start" => return self.start_run(life, &message, now),
                "/run-stop" => return stop_run(life, &message, now),
                "/hold" => {}
                _ => return Reply::json(404, "{}".into()),
            }
        }
        self.hold(&message, now)
    }

    fn start_run(&self, life: &mut Life, message: &Json, now: Instant) -> Reply {
        let (task, number) = (message.text("taskId"), message.number("runId").unwrap_or(0));
        if life.running.iter().any(|r| r.task == task && r.number == number) {
            return accepted(life);
        }
        if life.barred.get(task).is_some_and(|barred| *barred >= number) {
            return refusal(life, "old");
        }
        if life.lease_end <= now {
            return refusal(life, "late");
        }
        let index: u64 = task.rsplit('.').next().and_then(|i| i.parse().ok()).unwrap_or(0);
        let words: Vec<&str> = message.text("jobSpec").split(' ').collect();
        let figure = |i: usize| words.get(i).and_then(|w| w.parse::<u64>().ok()).unwrap_or(0);
        let after = |ms| now + Duration::from_millis(ms);
        let end = match words[0] {
            "run" => Some((after(figure(1) + figure(2) * index), "done")),
            "flawed" if number <= figure(2) => Some((after(figure(1)), "failed")),
            _ => None,
        };
        self.note(Kind::Began, life.born, task, number, "");
        let task = task.to_string();
        life.running.push(Run { task, number, began: now, end, stop_at: None });
        accepted(life)
    }

    fn hold(&self, message: &Json, now: Instant) -> Reply {
        let seen = message.number("lastSeen").unwrap_or(0);
        let until = now + Duration::from_millis(message.number("waitMs").unwrap_or(0).min(2000));
        let mut state = self.state.lock().unwrap();
        if let Some(life) = state.life.as_mut() {
            let born = life.born;
            for end in life.finished.extract_if(.., |e| e.number <= seen) {
                let kind = if end.has_lapsed { Kind::NotedAfterLapse } else { Kind::Noted };
                self.note(kind, born, &end.task, end.run, end.how);
            }
        }
        loop {
            let now = Instant::now();
            let Some(life) = state.life.as_mut() else { return Reply::Silence };
            self.advance(life, now);
            if !life.finished.is_empty() || now >= until {
                return Reply::json(200, report(life, now));
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

/// Returns the time of day in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn clock(life: &Life) -> u64 {
    life.started.elapsed().as_millis() as u64 + 1
}

fn accepted(life: &Life) -> Reply {
    Reply::json(200, format!("{{\"clockMs\":{},\"born\":{}}}", clock(life), life.born))
}

fn refusal(life: &Life, reason: &str) -> Reply {
    Reply::json(
        409,
        format!("{{\"clockMs\":{},\"born\":{},\"reason\":\"{reason}\"}}", clock(life), life.born),
    )
}

fn bar(life: &mut Life, task: &str, number: u64) {
    let barred = life.barred.entry(task.to_string()).or_default();
    *barred = number.max(*barred);
}

fn stop_run(life: &mut Life, message: &Json, now: Instant) -> Reply {
    let (task, number) = (message.text("taskId"), message.number("runId").unwrap_or(0));
    bar(life, task, number);
    for run in life.running.iter_mut().filter(|r| r.task == task && r.number <= number) {
        run.stop_at.get_or_insert(now + STOP);
    }
    accepted(life)
}

fn report(life: &Life, now: Instant) -> String {
    let percent = |run: &Run| match run.end {
        Some((at, "done")) => {
            let whole = at.duration_since(run.began).as_millis().max(1);
            now.duration_since(run.began).as_millis() * 100 / whole
        }
        _ if now.duration_since(run.began) >= STARTUP => 100,
        _ => 0,
    };
    let running = life.running.iter();
    let running: Vec<String> = running
        .map(|r| format!("[\"{}\",{},\"\",{}]", r.task, r.number, percent(r).min(100)))
        .collect();
    let finished = life.finished.iter().take(MAX_ENDS);
    let finished: Vec<String> = finished
        .map(|e| format!("[{},\"{}\",{},\"{}\",\"\"]", e.number, e.task, e.run, e.how))
        .collect();
    format!(
        "{{\"clockMs\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
        clock(life),
        life.born,
        running.join(","),
        finished.join(",")
    )
}
