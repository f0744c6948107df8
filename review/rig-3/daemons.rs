//! The daemons under test: processes with the command of the deploy file and settings of a small
//! deployment.

use crate::record::Record;
use crate::runners::MAX_HOLD_MS;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Kills every process that this program started.
pub fn kill_all() {
    for mut child in RUNNING.lock().unwrap().drain(..) {
        let _ = child.kill();
        let _ = child.wait();
    }
}

pub struct Daemon {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    name: String,
    directory: PathBuf,
    record: Arc<Record>,
    lives: u32,
    process: Option<u32>,
}

/// Returns the program that the deploy file runs.
fn program() -> Result<String, String> {
    let text = std::fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
    let line = line.ok_or("deploy/system.toml names no program")?;
    if std::fs::metadata(line).is_err() {
        return Err(format!("{line} is not built"));
    }
    Ok(line.to_owned())
}

/// Lowest port of the daemons. The range is below the ports of outgoing connections, one of which could take a
/// free port before a daemon listens on it.
const MIN_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 18_000;
/// Distance between the first ports of two consecutive processes.
const PORT_SPREAD: u32 = 311;

/// Returns free ports that were not returned before.
fn free_ports<const N: usize>() -> [u16; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let spread = std::process::id().wrapping_mul(PORT_SPREAD) % u32::from(PORT_COUNT);
    let first = u16::try_from(spread).unwrap_or(0);
    let port = |_| loop {
        let next = first.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        if TcpListener::bind(("127.0.0.1", MIN_PORT + next)).is_ok() {
            return MIN_PORT + next;
        }
    };
    std::array::from_fn(port)
}

/// Starts daemons that know the store at `store`, and waits until all are ready.
pub fn start(
    count: usize,
    store: SocketAddr,
    keep_s: u64,
    record: &Arc<Record>,
) -> Result<Vec<Daemon>, String> {
    let mut daemons = Vec::new();
    for i in 0..count {
        let [front, ready, control, peers] = free_ports();
        let name = format!("front-zone-a-{}", i + 1);
        let directory = std::env::temp_dir().join(format!("rig-3-{}-{front}", std::process::id()));
        std::fs::create_dir_all(&directory).map_err(|e| e.to_string())?;
        let settings = format!(
            "nodeName = \"{name}\"\nrole = \"entry\"\nmachineClass = \"front\"\nserves = [\"front\"]\n\
             ip = \"127.0.0.1\"\nzone = \"zone-a\"\nregion = \"region-a\"\n\
             portRange = [{peers},{peers}]\nseeds = []\nbootstrap = true\ninTolerance = true\n\
             discovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n\
             orders = \"call\"\nadvice = \"\"\n[zones]\nzone-a = \"region-a\"\n[listen]\n\
             front = \"127.0.0.1:{front}\"\nready = \"127.0.0.1:{ready}\"\n\
             control = \"127.0.0.1:{control}\"\n[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\n\
             maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n[bounds]\nmaxHoldMs = {MAX_HOLD_MS}\n\
             stopTimeoutMs = 900\n[platform]\naddress = \"{store}\"\nform = \"log\"\n\
             writesPerS = 600\nreadsPerS = 2000\nparts = 8\nappendMs = 4.0\nkeep_s = {keep_s}\n"
        );
        std::fs::write(directory.join("boot.toml"), settings).map_err(|e| e.to_string())?;
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let (front, ready, record) = (address(front), address(ready), Arc::clone(record));
        daemons.push(Daemon { front, ready, name, directory, record, lives: 0, process: None });
    }
    daemons.iter_mut().try_for_each(Daemon::start)?;
    let limit = Instant::now() + Duration::from_secs(15);
    while !daemons.iter().all(Daemon::is_ready) {
        if Instant::now() > limit {
            return Err("the daemons did not become ready".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    record.note("all daemons are ready");
    Ok(daemons)
}

impl Daemon {
    /// Starts the process.
    pub fn start(&mut self) -> Result<(), String> {
        self.lives += 1;
        let log = File::create(self.directory.join(format!("log-{}", self.lives)));
        let child = Command::new(program()?)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("PIMENTOVALVE_BOOT", self.directory.join("boot.toml"))
            .stdin(Stdio::null())
            .stdout(log.map_err(|e| e.to_string())?)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|e| e.to_string())?;
        self.record.note(&format!("{} starts as process {}", self.name, child.id()));
        self.process = Some(child.id());
        RUNNING.lock().unwrap().push(child);
        Ok(())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let Some(id) = self.process.take() else { return };
        let mut running = RUNNING.lock().unwrap();
        let Some(at) = running.iter().position(|c| c.id() == id) else { return };
        let mut child = running.swap_remove(at);
        let _ = child.kill();
        let _ = child.wait();
        self.record.note(&format!("{} is killed", self.name));
    }

    /// Returns the epoch under which this process took the shard last, by its log; 0 if it never did. The
    /// referee chooses by it what to disrupt and judges nothing by it.
    pub fn epoch(&self) -> u64 {
        let path = self.directory.join(format!("log-{}", self.lives));
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let line = log.lines().rfind(|line| line.contains("\"ownership taken\""));
        line.and_then(|l| crate::json::Json::parse(l.as_bytes())?.number("epoch")).unwrap_or(0)
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        let answer = crate::http::call(self.ready, "GET", "/readyz", "ready", "", timeout);
        matches!(answer, Ok((200, _)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}
