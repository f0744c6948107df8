//! Runners. A task works for the milliseconds that its job's text names (`work=MS`), and ends `done`. A
//! task that lasts (`lasts`) works until it is stopped or fails. A
//! runner that crashes loses all that it runs and knows, and is back later under its id as a new
//! incarnation.

use crate::http::{self, Answer, Handler, Request};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between two entries of a runner (`heartbeatMs`).
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Heartbeat intervals of silence after which an entry is removed.
const SILENT_HEARTBEATS: u32 = 3;
/// Longest lease (`maxHoldMs`).
pub const MAX_HOLD_MS: u64 = 6_000;
/// Most rows of ends in a report.
const MAX_ENDS: usize = 500;
/// Interval between two looks for runs that have ended.
const TICK: Duration = Duration::from_millis(5);
/// Time until a task that lasts is at work.
const STARTUP: Duration = Duration::from_millis(300);
/// Longest time that a report waits for an end.
const MAX_WAIT_MS: u64 = 2000;

/// A run that has begun on a runner.
#[derive(Clone, Debug)]
pub struct Begun {
    pub task: String,
    pub run: u64,
    pub runner: usize,
    pub at: Instant,
}

/// A run that a runner has listed as ended.
#[derive(Clone, Debug)]
pub struct Over {
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    pub at: Instant,
    /// When a call's `lastSeen` reached it, unless the runner's lease had lapsed by then.
    pub noted: Option<Instant>,
    runner: usize,
    born: u64,
    number: u64,
}

/// What the runners have seen.
#[derive(Default)]
pub struct Seen {
    /// Number of calls that the runners were sent.
    pub calls: u64,
    pub begun: Vec<Begun>,
    pub over: Vec<Over>,
}

struct Run {
    task: String,
    number: u64,
    from: Instant,
    /// How long it works, `None` for a task that lasts.
    work: Option<Duration>,
}

impl Run {
    fn is_done(&self) -> bool {
        self.work.is_some_and(|work| self.from.elapsed() >= work)
    }

    fn percent(&self) -> u128 {
        let elapsed = self.from.elapsed();
        match self.work {
            Some(work) => (elapsed.as_millis() * 100 / work.as_millis().max(1)).min(99),
            None if elapsed < STARTUP => 0,
            None => 100,
        }
    }
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

#[derive(Default)]
struct State {
    is_up: bool,
    /// Whether it has lost power for good: nothing answers, and connections hang.
    is_dark: bool,
    /// Whether it has reported that it drains.
    is_draining: bool,
    /// Number of the incarnation, which marks its connections.
    life: u64,
    born: u64,
    started: Option<Instant>,
    fence: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ended: Vec<Ended>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    connections: Vec<TcpStream>,
    /// When its lease was last seen to have run out.
    lapsed: Option<Instant>,
    /// Until when it is cut off from everything and runs on.
    cut_until: Option<Instant>,
    /// Whether the next report that acknowledges as many ends gets no answer.
    delays_report: Option<u64>,
}

impl State {
    fn is_cut(&self) -> bool {
        self.cut_until.is_some_and(|until| Instant::now() < until)
    }

    fn clock_ms(&self) -> u64 {
        self.started.map_or(0, |s| u64::try_from(s.elapsed().as_millis()).unwrap_or(0)) + 1
    }

    fn hold(&mut self, deadline: Option<u64>) {
        if let Some(deadline) = deadline {
            let most = self.clock_ms() + MAX_HOLD_MS;
            self.lease_ms = self.lease_ms.max(deadline.min(most));
        }
    }
}

pub struct Runner {
    index: usize,
    id: String,
    /// The service that it belongs to.
    service: &'static str,
    address: SocketAddr,
    state: Mutex<State>,
    /// A report that got no answer and is carried out later.
    delayed: Mutex<Option<Json>>,
    changed: Condvar,
    seen: Arc<Mutex<Seen>>,
    record: Arc<Record>,
}

pub struct Fleet {
    pub runners: Vec<Arc<Runner>>,
    pub seen: Arc<Mutex<Seen>>,
    store: Arc<Store>,
}

impl Fleet {
    /// Starts runners, which register themselves in `store`.
    pub fn start(count: usize, store: &Arc<Store>, record: &Arc<Record>) -> Self {
        Self::of_services(&vec!["engine"; count], store, record)
    }

    /// As [`Self::start`], with the service of each runner.
    pub fn of_services(
        services: &[&'static str],
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Self {
        let seen = Arc::new(Mutex::new(Seen::default()));
        let runners = (0..).zip(services).map(|(index, service)| {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let address = listener.local_addr().expect("an address");
            let runner = Arc::new(Runner {
                index,
                id: format!("i-{index:08x}"),
                service,
                address,
                state: Mutex::default(),
                delayed: Mutex::default(),
                changed: Condvar::new(),
                seen: Arc::clone(&seen),
                record: Arc::clone(record),
            });
            runner.begin(listener);
            runner
        });
        let fleet = Self { runners: runners.collect(), seen, store: Arc::clone(store) };
        for runner in &fleet.runners {
            let (runner, store) = (Arc::clone(runner), Arc::clone(store));
            std::thread::spawn(move || runner.work(&store));
        }
        fleet
    }

    /// Crashes a runner, which starts again after `down`.
    pub fn crash(&self, index: usize, down: Duration) {
        let runner = Arc::clone(&self.runners[index]);
        runner.end_life();
        let store = Arc::clone(&self.store);
        std::thread::spawn(move || {
            std::thread::sleep(down);
            let listener = TcpListener::bind(runner.address).expect("the runner's own port");
            runner.begin(listener);
            store.put("keyed.servers", &runner.id, &runner.entry());
        });
    }

    /// Lets a runner report that it drains, and leave after `drain`.
    pub fn leave(&self, index: usize, drain: Duration) {
        let runner = Arc::clone(&self.runners[index]);
        runner.state.lock().unwrap().is_draining = true;
        runner.record.note(&format!("runner {} drains", runner.id));
        self.store.put("keyed.servers", &runner.id, &runner.entry());
        let store = Arc::clone(&self.store);
        std::thread::spawn(move || {
            std::thread::sleep(drain);
            runner.end_life();
            store.put("keyed.servers", &runner.id, "");
        });
    }

    /// Takes the power from a runner for good.
    pub fn darken(&self, index: usize) {
        let runner = &self.runners[index];
        let mut state = runner.state.lock().unwrap();
        state.is_dark = true;
        let lost: Vec<String> =
            state.runs.drain(..).map(|r| format!("{}#{}", r.task, r.number)).collect();
        drop(state);
        runner.record.note(&format!("runner {} loses power; it ran {}", runner.id, lost.join(" ")));
    }

    /// Writes an entry of another writer under the id of a runner, without `zone`, `version`, `slots`,
    /// `coldLeftMs`, `clockMs` and `seqNo`. The runner's own entry follows with its next heartbeat.
    pub fn write_foreign_entry(&self, index: usize) {
        let runner = &self.runners[index];
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let entry = format!(
            "{{\"service\":\"engine\",\"address\":\"{}\",\"state\":\"ready\",\"capacity\":{{\"cpu\":32000,\
             \"memMb\":131072,\"gpus\":0}},\"labels\":[\"a\",\"r1-1\"],\"born\":{}}}",
            runner.address,
            since_epoch.as_millis(),
        );
        runner.record.note(&format!("another writer writes servers/{}: {entry}", runner.id));
        self.store.put("keyed.servers", &runner.id, &entry);
    }

    /// Ends all runs of a job's tasks as `failed`, by their own fault. Returns how many there were.
    pub fn fail(&self, job: &str) -> usize {
        let mut count = 0;
        for runner in &self.runners {
            let mut state = runner.state.lock().unwrap();
            let (failed, others) =
                std::mem::take(&mut state.runs).into_iter().partition(|r| r.task.starts_with(job));
            state.runs = others;
            let failed: Vec<Run> = failed;
            count += failed.len();
            failed.iter().for_each(|run| runner.end(&mut state, run, "failed"));
        }
        count
    }

    /// Cuts a runner off from everything for a time. It runs on.
    pub fn cut(&self, index: usize, time: Duration) {
        let runner = &self.runners[index];
        runner.state.lock().unwrap().cut_until = Some(Instant::now() + time);
        runner.record.note(&format!("runner {} is cut off", runner.id));
    }

    /// Lets the next report of a runner that acknowledges `ends` or more get no answer.
    pub fn delay_report(&self, index: usize, ends: u64) {
        self.runners[index].state.lock().unwrap().delays_report = Some(ends);
    }

    /// Returns whether a report got no answer and was not carried out.
    pub fn has_delayed_report(&self, index: usize) -> bool {
        self.runners[index].delayed.lock().unwrap().is_some()
    }

    /// Carries the delayed report of a runner out, in whichever life the runner is now.
    pub fn carry_out(&self, index: usize) {
        let runner = &self.runners[index];
        let Some(body) = runner.delayed.lock().unwrap().take() else { return };
        let mut state = runner.state.lock().unwrap();
        let number = |field| body.number(field).unwrap_or(0);
        if !state.is_up || number("fenceToken") < state.fence {
            runner.record.note("the delayed report is not carried out");
            return;
        }
        let open: Vec<String> = state.ended.iter().map(|e| e.number.to_string()).collect();
        let (seen, open) = (number("lastSeen"), open.join(" "));
        runner
            .record
            .note(&format!("{} carries the report out; it has the ends {open}", runner.id));
        state.hold(body.number("deadlineMs"));
        runner.acknowledge(&mut state, seen);
    }

    /// Returns the number of runs of a job's tasks that a runner has.
    pub fn runs_on(&self, index: usize, job: &str) -> usize {
        let state = self.runners[index].state.lock().unwrap();
        state.runs.iter().filter(|r| r.task.starts_with(job)).count()
    }

    /// Returns the number of runs of a job's tasks that work now, and of those of all jobs.
    pub fn working(&self, job: &str) -> (usize, usize) {
        let mut counts = (0, 0);
        for runner in &self.runners {
            let state = runner.state.lock().unwrap();
            counts.0 += state.runs.iter().filter(|r| r.task.starts_with(job)).count();
            counts.1 += state.runs.len();
        }
        counts
    }

    /// Returns the runner that runs a task now.
    pub fn running(&self, task: &str) -> Option<usize> {
        let runs = |r: &Arc<Runner>| r.state.lock().unwrap().runs.iter().any(|r| r.task == task);
        self.runners.iter().position(runs)
    }
}

impl Runner {
    fn begin(self: &Arc<Self>, listener: TcpListener) {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let life = state.life + 1;
        let born = u64::try_from(since_epoch.as_millis()).unwrap_or(0);
        *state = State { is_up: true, life, born, ..State::default() };
        state.started = Some(Instant::now());
        drop(state);
        self.record.note(&format!("runner {} starts, born {born}", self.id));
        listener.set_nonblocking(true).expect("a non-blocking listener");
        let runner = Arc::clone(self);
        std::thread::spawn(move || runner.accept(&listener, life));
    }

    /// Accepts connections until this life ends; then the port refuses them.
    fn accept(self: &Arc<Self>, listener: &TcpListener, life: u64) {
        loop {
            let mut state = self.state.lock().unwrap();
            if !state.is_up || state.life != life {
                return;
            }
            // Without power, connections wait in the listen queue.
            let accepted =
                if state.is_dark || state.is_cut() { None } else { listener.accept().ok() };
            let Some((stream, _)) = accepted else {
                drop(state);
                std::thread::sleep(TICK);
                continue;
            };
            let _ = stream.set_nonblocking(false);
            if let Ok(copy) = stream.try_clone() {
                state.connections.push(copy);
            }
            drop(state);
            let runner = Arc::clone(self);
            std::thread::spawn(move || http::connection(&stream, &*runner, life));
        }
    }

    fn end_life(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_up = false;
        let lost: Vec<String> =
            state.runs.drain(..).map(|r| format!("{}#{}", r.task, r.number)).collect();
        for stream in state.connections.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        drop(state);
        self.changed.notify_all();
        self.record.note(&format!("runner {} ends; it ran {}", self.id, lost.join(" ")));
    }

    fn entry(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"{}\",\"coldLeftMs\":0,\"capacity\":{{\"cpu\":32000,\
             \"memMb\":131072,\"gpus\":0}},\"labels\":[\"a\",\"r1-1\"],\"clockMs\":{},\"born\":{},\
             \"seqNo\":{}}}",
            self.service,
            self.address,
            if state.is_draining { "draining" } else { "ready" },
            state.clock_ms(),
            state.born,
            state.clock_ms() / 100,
        )
    }

    /// Ends runs whose work is done or whose lease has run out, and keeps the entry in the list.
    fn work(&self, store: &Store) {
        let mut next = Instant::now();
        let mut silent_since = None;
        let mut is_listed = false;
        loop {
            std::thread::sleep(TICK);
            let now = Instant::now();
            let mut state = self.state.lock().unwrap();
            if !state.is_up || state.is_dark {
                drop(state);
                let since = *silent_since.get_or_insert(now);
                if is_listed && now - since >= HEARTBEAT * SILENT_HEARTBEATS {
                    store.put("keyed.servers", &self.id, "");
                    is_listed = false;
                }
                continue;
            }
            silent_since = None;
            let is_cut = state.is_cut();
            let has_lapsed = state.clock_ms() > state.lease_ms;
            if has_lapsed {
                state.lapsed = Some(now);
            }
            let over: Vec<usize> =
                (0..state.runs.len()).filter(|i| has_lapsed || state.runs[*i].is_done()).collect();
            for i in over.into_iter().rev() {
                let run = state.runs.remove(i);
                let how = if run.is_done() { "done" } else { "lapsed" };
                self.end(&mut state, &run, how);
            }
            drop(state);
            if now >= next && !is_cut {
                next = now + HEARTBEAT;
                is_listed = true;
                store.put("keyed.servers", &self.id, &self.entry());
            }
        }
    }

    fn end(&self, state: &mut State, run: &Run, how: &'static str) {
        state.last_end += 1;
        let number = state.last_end;
        let (task, at) = (run.task.clone(), Instant::now());
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(run.number);
        self.record.note(&format!("{} lists the end of {task}#{}: {how}", self.id, run.number));
        let (runner, born) = (self.index, state.born);
        let over = Over { task, run: run.number, how, at, noted: None, runner, born, number };
        self.seen.lock().unwrap().over.push(over);
        state.ended.push(Ended { number, task: run.task.clone(), run: run.number, how });
        self.changed.notify_all();
    }

    fn start(&self, state: &mut State, order: &Json) -> Answer {
        let clock = state.clock_ms();
        let refuse =
            |reason| Answer::text(409, format!("{{\"clockMs\":{clock},\"reason\":\"{reason}\"}}"));
        let (Some(task), Some(number)) = (order.text("taskId"), order.number("runId")) else {
            return Answer::text(400, format!("{{\"clockMs\":{clock}}}"));
        };
        let deadline = order.number("deadlineMs");
        if state.closed.get(task).is_some_and(|closed| number <= *closed) {
            state.hold(deadline);
            return refuse("old");
        }
        if state.runs.iter().any(|r| r.task == task && r.number == number) {
            state.hold(deadline);
            return Answer::text(200, format!("{{\"clockMs\":{clock}}}"));
        }
        if deadline.is_some_and(|deadline| deadline <= clock) {
            return refuse("late");
        }
        state.hold(deadline);
        let text = order.text("jobSpec").unwrap_or_default();
        let work = text.split("work=").nth(1).and_then(|w| w.split(' ').next()?.parse().ok());
        let work = (!text.contains("lasts")).then(|| Duration::from_millis(work.unwrap_or(100)));
        self.record.note(&format!("{} begins {task}#{number}", self.id));
        let at = Instant::now();
        state.runs.push(Run { task: task.into(), number, from: at, work });
        let begun = Begun { task: task.into(), run: number, runner: self.index, at };
        self.seen.lock().unwrap().begun.push(begun);
        Answer::text(200, format!("{{\"clockMs\":{clock}}}"))
    }

    fn stop(&self, state: &mut State, order: &Json) -> Answer {
        let clock = state.clock_ms();
        let (task, number) =
            (order.text("taskId").unwrap_or(""), order.number("runId").unwrap_or(0));
        let closed = state.closed.entry(task.into()).or_default();
        *closed = (*closed).max(number);
        if let Some(i) = state.runs.iter().position(|r| r.task == task && r.number <= number) {
            let run = state.runs.remove(i);
            self.end(state, &run, "stopped");
        }
        Answer::text(200, format!("{{\"clockMs\":{clock}}}"))
    }

    /// Forgets the ends up to `seen`.
    fn acknowledge(&self, state: &mut State, seen: u64) {
        state.ended.retain(|e| e.number > seen);
        for over in &mut self.seen.lock().unwrap().over {
            let is_own = over.runner == self.index && over.born == state.born;
            let has_lapsed = state.lapsed.is_some_and(|at| at >= over.at);
            if is_own && over.number <= seen && !has_lapsed {
                over.noted.get_or_insert_with(Instant::now);
            }
        }
    }

    fn report(&self, body: &Json, life: u64) -> Answer {
        let mut state = self.state.lock().unwrap();
        let seen = body.number("lastSeen").unwrap_or(0);
        if state.delays_report.is_some_and(|ends| seen >= ends) {
            state.delays_report = None;
            let calls = self.seen.lock().unwrap().calls;
            self.record.note(&format!(
                "{} leaves a report unanswered, lastSeen {seen}, one of {calls} calls to all runners",
                self.id
            ));
            *self.delayed.lock().unwrap() = Some(body.clone());
            // The connection hangs until this life ends.
            while state.life == life && state.is_up {
                state = self.changed.wait_timeout(state, TICK).unwrap().0;
            }
            return Answer::Close;
        }
        state.hold(body.number("deadlineMs"));
        self.acknowledge(&mut state, seen);
        let wait = body.number("waitMs").unwrap_or(0).min(MAX_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        while state.ended.is_empty() && state.life == life && state.is_up {
            let now = Instant::now();
            if now >= until {
                break;
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
        if state.life != life || !state.is_up {
            return Answer::Close;
        }
        let running = state
            .runs
            .iter()
            .map(|r| format!("[{},{},\"\",{},0]", quote(&r.task), r.number, r.percent()));
        let running: Vec<String> = running.collect();
        let ended = state.ended.iter().take(MAX_ENDS);
        let row =
            |e: &Ended| format!("[{},{},{},\"{}\",\"\"]", e.number, quote(&e.task), e.run, e.how);
        let ended: Vec<String> = ended.map(row).collect();
        let (clock, born) = (state.clock_ms(), state.born);
        let (running, ended) = (running.join(","), ended.join(","));
        Answer::text(
            200,
            format!(
                "{{\"clockMs\":{clock},\"born\":{born},\"running\":[{running}],\"finished\":[{ended}]}}"
            ),
        )
    }
}

impl Runner {
    /// Does not return once the runner has lost power, and not while it is cut off.
    fn stall(&self) {
        let is_silent = || {
            let state = self.state.lock().unwrap();
            state.is_dark || state.is_cut()
        };
        while is_silent() {
            std::thread::sleep(TICK);
        }
    }

    fn answer(&self, request: &Request, life: u64) -> Answer {
        let Some(body) = Json::parse(&request.body) else { return Answer::text(400, "{}") };
        let mut state = self.state.lock().unwrap();
        if state.life != life || !state.is_up {
            return Answer::Close;
        }
        let clock = state.clock_ms();
        if request.header("x-expect-instance").is_some_and(|id| id != self.id) {
            return Answer::text(421, format!("{{\"clockMs\":{clock}}}"));
        }
        let fence = body.number("fenceToken").unwrap_or(0);
        if fence < state.fence {
            return Answer::text(409, format!("{{\"clockMs\":{clock},\"reason\":\"fence\"}}"));
        }
        state.fence = fence;
        match request.place() {
            "/run-start" => self.start(&mut state, &body),
            "/run-stop" => self.stop(&mut state, &body),
            "/hold" => {
                drop(state);
                self.report(&body, life)
            }
            _ => Answer::text(404, "{}"),
        }
    }
}

impl Handler for Runner {
    fn handle(&self, request: &Request, life: u64) -> Answer {
        self.stall();
        self.seen.lock().unwrap().calls += 1;
        let answer = self.answer(request, life);
        self.stall();
        answer
    }
}
