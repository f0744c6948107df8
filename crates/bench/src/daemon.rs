//! One daemon as a process of its own, with the system's account of what it uses.

use pimentovalve_core::clock::Millis;
use pimentovalve_wire::http::client::{Call, Client};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tokio::runtime::Runtime;

/// Name of the daemon's program, which is looked for beside this one.
const DAEMON_PROGRAM: &str = "pimentovalved";
/// Clock ticks a second in which the system counts processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;
/// Longest time for metrics to be read.
const METRICS_TIMEOUT: Millis = Millis::from_secs(5);
/// Whom control is spoken with; traffic of callers, operators and monitors is theirs.
const CONTROL_PARTIES: [&str; 3] = ["platform", "machines", "peers"];

/// What a daemon has used since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// Processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Bytes of control sent and received, in the order platform, machines, peers.
    pub control_bytes: [u64; 3],
    /// Processor time of each duty's thread, in ms, sorted by name.
    pub duty_cpu_ms: Vec<(String, u64)>,
}

/// A running daemon. Dropping it kills it.
pub struct Daemon {
    /// Its addresses: callers, operators, peers, metrics.
    pub addresses: [SocketAddr; 4],
    child: Child,
    settings: PathBuf,
}

impl Daemon {
    /// Returns the daemon's program, if it was built beside this one.
    pub fn program() -> Option<PathBuf> {
        let path = std::env::current_exe().ok()?.with_file_name(DAEMON_PROGRAM);
        path.exists().then_some(path)
    }

    /// Starts a daemon whose settings `text` makes from its addresses; `folder` keeps them.
    ///
    /// # Errors
    ///
    /// Returns the system's error when there is no port, file or process to be had.
    pub fn start(
        program: &Path,
        directory: &Path,
        render_settings: impl FnOnce(&[SocketAddr; 4]) -> String,
    ) -> io::Result<Self> {
        let addresses = free_addresses()?;
        let settings = directory.join(format!("{}.toml", addresses[2].port()));
        fs::write(&settings, render_settings(&addresses))?;
        let child = Command::new(program)
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { addresses, child, settings })
    }

    /// Reads what the daemon has used.
    pub fn resource_usage(&self, runtime: &Runtime, client: &Client) -> ResourceUsage {
        let process = PathBuf::from(format!("/proc/{}", self.child.id()));
        let metrics = self.metrics(runtime, client);
        ResourceUsage {
            cpu_seconds: cpu_seconds(&process),
            resident_bytes: resident_bytes(&process),
            control_bytes: CONTROL_PARTIES.map(|with| control_bytes(&metrics, with)),
            duty_cpu_ms: duty_cpu_ms(&metrics),
        }
    }

    /// Reads the daemon's metrics on a new connection, empty when it doesn't answer.
    pub fn metrics(&self, runtime: &Runtime, client: &Client) -> String {
        let address = self.addresses[3].to_string();
        let call = Call { fresh: true, ..Call::get(&address, "/metrics", METRICS_TIMEOUT) };
        runtime
            .block_on(client.call(call))
            .map_or_else(|_| String::new(), |r| String::from_utf8_lossy(&r.body).into_owned())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have ended by itself; nothing is left to be done then.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns the value of the first metric whose name and one label match.
pub fn metric(text: &str, name: &str, label: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.starts_with(name) && l.contains(label))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

/// Returns the processor time of each duty, in ms, sorted by name.
fn duty_cpu_ms(metrics: &str) -> Vec<(String, u64)> {
    let lines = metrics.lines().filter(|l| l.starts_with("pimentovalve_thread_cpu_ms_total{"));
    let read = |line: &str| {
        let (_, rest) = line.split_once("duty=\"")?;
        let (duty, _) = rest.split_once('"')?;
        let (_, value) = line.rsplit_once(' ')?;
        Some((duty.to_string(), value.parse().ok()?))
    };
    let mut found: Vec<(String, u64)> = lines.filter_map(read).collect();
    found.sort();
    found
}

fn control_bytes(metrics: &str, with: &str) -> u64 {
    let label = format!("with=\"{with}\"");
    let read = |name| metric(metrics, name, &label).unwrap_or(0);
    read("pimentovalve_bytes_sent_total") + read("pimentovalve_bytes_received_total")
}

fn cpu_seconds(process: &Path) -> f64 {
    let stat = fs::read_to_string(process.join("stat")).unwrap_or_default();
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = |i: usize| fields.split_whitespace().nth(i).and_then(|f| f.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_SECOND
}

fn resident_bytes(process: &Path) -> u64 {
    let statm = fs::read_to_string(process.join("statm")).unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|p| p.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Finds four ports that are free now.
fn free_addresses() -> io::Result<[SocketAddr; 4]> {
    let listeners: Vec<TcpListener> =
        (0..4).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect::<io::Result<_>>()?;
    let mut addresses = [SocketAddr::from((Ipv4Addr::LOCALHOST, 0)); 4];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
