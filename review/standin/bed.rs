//! A small deployment: the project's daemons as processes, and stand-ins for the platform's store, the
//! operator, the runners and the clients.

use crate::http::{self, Response, Server};
use crate::json;
use crate::record::Record;
use crate::runner::Life;
use crate::store::Store;
use std::fs::OpenOptions;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const PROGRAM: &str = "target/release/pimentovalve-node";
const HOST: &str = "jobs.example";
const PREFIX: &str = "/queue1/";
const DAEMONS: usize = 3;
/// Silence after which the store removes the entry of a runner: three heartbeats.
const ENTRY_LIFE: Duration = Duration::from_millis(4500);
/// How long a client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(3000);
/// Attempts of a client to hand in a job.
const ATTEMPTS: usize = 5;

/// All processes that were started, so that they end whatever happens.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

pub fn end_processes() {
    let mut children = CHILDREN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

pub struct Bed {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runners: Mutex<Vec<Arc<Life>>>,
    /// Addresses of the daemons for clients.
    fronts: Vec<String>,
    folder: PathBuf,
    next: AtomicUsize,
    _server: Server,
}

fn free_address() -> String {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string()
}

impl Bed {
    /// Starts everything, and waits until a first job has completed. Returns `None` if none does.
    pub fn start(record: Arc<Record>, runners: usize) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let store = Arc::new(Store::default());
        store.put("keyed.op", "config", &configuration());
        let (address, handler) = (free_address(), Arc::clone(&store));
        let server = Server::start(&address, Arc::new(move |request| handler.handle(request)));
        let life = |i| Life::start(&format!("i-{i:04x}"), &free_address(), &store, &record);
        let runners = (0..runners).map(|i| life(0x1000 + i * 0x51)).collect();
        let (fronts, next) = (Vec::new(), AtomicUsize::new(0));
        let runners = Mutex::new(runners);
        let mut bed = Self { record, store, runners, fronts, folder, next, _server: server };
        let ready: Vec<String> = (0..DAEMONS).map(|i| bed.start_daemon(i, &address)).collect();
        let until = Instant::now() + Duration::from_secs(15);
        let is_ready = |address: &String| {
            let answer = http::call(address, "GET", "/readyz", HOST, "", DEADLINE);
            answer.is_some_and(|a| a.status == 200)
        };
        while !ready.iter().all(is_ready) {
            if Instant::now() > until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_secs(1));
        bed.submit(0xfff, 1, 1000, 100);
        let is_done = bed.wait_for_end(0xfff, Duration::from_secs(15))? == "completed";
        is_done.then_some(bed)
    }

    /// Starts a daemon, and returns its address for readiness checks.
    fn start_daemon(&mut self, i: usize, store: &str) -> String {
        let [front, ready, control, peers] = std::array::from_fn(|_| free_address());
        let port = peers.rsplit(':').next().unwrap();
        let settings = format!(
            "nodeName = \"front-z1-{i}\"\nrole = \"entry\"\nmachineClass = \"front\"\n\
             serves = [\"front\"]\nip = \"127.0.0.1\"\nzone = \"z1\"\nregion = \"r1\"\n\
             portRange = [{port}, {port}]\nseeds = []\nbootstrap = true\ninTolerance = false\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n\
             orders = \"call\"\nadvice = \"\"\n[zones]\nz1 = \"r1\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 1000\n\
             linkMbps = 1000.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\ncontactMs = 4000\nackMs = 5000\ndrainMs = 3000\ngraceS = 6\n\
             configApplyMs = 3000\nmaxHoldMs = 10000\nstopTimeoutMs = 900\ngangWaitMs = 3000\n\
             cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nwritesPerS = 600\n\
             readsPerS = 2000\nparts = 8\nappendMs = 4.0\npartMbS = 20.0\nreadMbS = 80.0\n\
             maxRecordBytes = 262144\nmaxCallBytes = 2097152\nkeep_s = 300\npartMb = 200\n\
             minTtlMs = 1000\n"
        );
        std::fs::write(self.folder.join(format!("boot-{i}.toml")), settings).unwrap();
        let child = self.spawn(i);
        CHILDREN.lock().unwrap().push(child);
        self.fronts.push(front);
        ready
    }

    fn spawn(&self, i: usize) -> Child {
        let log = OpenOptions::new().append(true).create(true).open(self.log(i)).unwrap();
        self.record.note(&format!("daemon {i} starts"));
        Command::new(PROGRAM)
            .env("PIMENTOVALVE_BOOT", self.folder.join(format!("boot-{i}.toml")))
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .expect("the daemon can't be started")
    }

    fn log(&self, i: usize) -> PathBuf {
        self.folder.join(format!("daemon-{i}.log"))
    }

    /// Returns the daemon that last wrote that it owns the shard.
    pub fn owner(&self) -> Option<usize> {
        let owned = |i: usize| {
            let log = std::fs::read_to_string(self.log(i)).unwrap_or_default();
            let taken = log.lines().filter(|l| l.contains("\"ownership taken\""));
            let epochs = taken.filter_map(|l| json::parse(l.as_bytes())?.number("epoch"));
            epochs.max()
        };
        (0..DAEMONS).filter(|i| owned(*i).is_some()).max_by_key(|i| owned(*i))
    }

    /// Kills a daemon, and starts it again `down` later.
    pub fn kill_daemon(&self, i: usize, down: Duration) {
        let mut children = CHILDREN.lock().unwrap();
        let _ = children[i].kill();
        let _ = children[i].wait();
        drop(children);
        self.record.note(&format!("daemon {i} is killed"));
        std::thread::sleep(down);
        let child = self.spawn(i);
        CHILDREN.lock().unwrap()[i] = child;
    }

    /// Crashes a runner for good. The store removes its entry after a while.
    pub fn lose(&self, at: usize) {
        let life = Arc::clone(&self.runners.lock().unwrap()[at]);
        life.crash();
        self.remove_entry(life.id.clone());
    }

    fn remove_entry(&self, id: String) {
        let store = Arc::clone(&self.store);
        std::thread::spawn(move || {
            std::thread::sleep(ENTRY_LIFE);
            store.put("keyed.servers", &id, "");
        });
    }

    fn call(&self, daemon: usize, method: &str, id: u64, body: &str) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id:016x}");
        let front = &self.fronts[daemon % self.fronts.len()];
        let answer = http::call(front, method, &path, HOST, body, DEADLINE);
        answer.map(|Response { status, body }| (status, String::from_utf8_lossy(&body).into()))
    }

    /// Hands in a job of one step. A call without a final answer is repeated at another daemon. Returns
    /// whether the job was accepted.
    pub fn submit(&self, id: u64, count: u32, cpu: u32, takes_ms: u64) -> bool {
        self.submit_step(id, takes_ms, &format!("\"count\":{count},\"cpu\":{cpu}"))
    }

    /// As [`Self::submit`], with fields of the step as JSON.
    pub fn submit_step(&self, id: u64, takes_ms: u64, fields: &str) -> bool {
        let body = format!(
            "{{\"jobSpec\":\"{takes_ms}\",\"steps\":[{{{fields},\
             \"memMb\":1024,\"estRuntimeMs\":{takes_ms}}}]}}"
        );
        for _ in 0..ATTEMPTS {
            let daemon = self.next.fetch_add(1, Ordering::SeqCst);
            self.record.note(&format!("client sends POST {id:016x}"));
            let answer = self.call(daemon, "POST", id, &body);
            let status = answer.as_ref().map(|(status, _)| *status);
            self.record.note(&format!("client gets {status:?} to POST {id:016x}"));
            if status == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Returns the state of a job as a daemon shows it.
    pub fn state(&self, id: u64) -> Option<String> {
        let daemon = self.next.fetch_add(1, Ordering::SeqCst);
        let (status, body) = self.call(daemon, "GET", id, "")?;
        if status != 200 {
            return Some(status.to_string());
        }
        json::parse(body.as_bytes())?.text("state").map(Into::into)
    }

    /// Waits until a job is shown as ended, and returns its last state.
    pub fn wait_for_end(&self, id: u64, limit: Duration) -> Option<String> {
        let until = Instant::now() + limit;
        loop {
            let state = self.state(id);
            let has_ended = matches!(state.as_deref(), Some("completed" | "failed" | "cancelled"));
            if has_ended || Instant::now() > until {
                let shown = state.as_deref().unwrap_or("no answer");
                self.record.note(&format!("client asks for {id:016x}: {shown}"));
                return state;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Crashes runners at the same time, and starts each again at its address `down` later, under the id
    /// that comes with it.
    pub fn restart(&self, which: &[(usize, String)], down: Duration) {
        let lives = self.runners.lock().unwrap().clone();
        which.iter().for_each(|(at, _)| lives[*at].crash());
        for (at, _) in which.iter().filter(|(at, id)| lives[*at].id != *id) {
            self.remove_entry(lives[*at].id.clone());
        }
        std::thread::sleep(down);
        for (at, id) in which {
            let next = Life::start(id, &lives[*at].address, &self.store, &self.record);
            self.runners.lock().unwrap()[*at] = next;
        }
    }

    /// Returns the runner on which most tasks run.
    pub fn busiest(&self) -> usize {
        let runners = self.runners.lock().unwrap();
        (0..runners.len()).max_by_key(|i| runners[*i].running()).unwrap_or_default()
    }

    /// Returns the processor time of all runners, in thousandths of a core.
    pub fn whole_cpu(&self) -> u64 {
        self.runners.lock().unwrap().len() as u64 * 32_000
    }

    /// Returns the runners on which nothing runs, each with its id, sorted by id.
    pub fn idle(&self) -> Vec<(usize, String)> {
        let runners = self.runners.lock().unwrap();
        let idle = runners.iter().enumerate().filter(|(_, r)| r.running() == 0);
        let mut idle: Vec<_> = idle.map(|(at, r)| (at, r.id.clone())).collect();
        idle.sort_by(|a, b| a.1.cmp(&b.1));
        idle
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        end_processes();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            println!("logs are in {}", self.folder.display());
        }
    }
}

fn configuration() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"pathPrefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeoutMs\":3000,\
         \"sloLatencyMs\":3000,\"priority\":1,\"service\":\"engine\",\"maxAttempts\":4,\
         \"stretch\":4.0}}],\"services\":[{{\"name\":\"engine\",\"healthPath\":\"/healthz\",\
         \"maxConns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforcesCapacity\":false,\
         \"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}
