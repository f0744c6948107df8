//! A daemon as a child process, with the resources that it uses according to the kernel and to its
//! own metrics.

use pimentovalve_core::clock::Millis;
use pimentovalve_wire::http::client::{Call, Client};
use std::fs;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tokio::runtime::Runtime;

/// File name of the daemon's executable, which is expected in the directory of this one.
const DAEMON_PROGRAM: &str = "pimentovalved";
/// Clock ticks per second of the processor times in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, the unit of `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4096;
/// Timeout of one read of the metrics.
const METRICS_TIMEOUT: Millis = Millis::from_secs(5);
/// Values of the metrics' `with` label that count as control traffic. Traffic with callers,
/// operators and monitors is left out: its amount depends on them.
const CONTROL_PARTIES: [&str; 3] = ["platform", "machines", "peers"];

/// Resources that a daemon has used since its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResourceUsage {
    /// User and system processor time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory at the time of the reading, in bytes.
    pub resident_bytes: u64,
    /// Bytes of control traffic, sent and received, in the order platform, machines, peers.
    pub control_bytes: [u64; 3],
    /// Processor time of each duty's thread in milliseconds, sorted by the duty's name.
    pub duty_cpu_ms: Vec<(String, u64)>,
}

/// A running daemon. Dropping it kills the process and removes its settings file.
pub struct Daemon {
    /// Listening addresses, in the order callers, operators, peers, metrics.
    pub addresses: [SocketAddr; 4],
    child: Child,
    settings: PathBuf,
}

impl Daemon {
    /// Returns the path of the daemon's executable, if it exists in the directory of this one.
    pub fn program() -> Option<PathBuf> {
        let path = std::env::current_exe().ok()?.with_file_name(DAEMON_PROGRAM);
        path.exists().then_some(path)
    }

    /// Starts a daemon on free ports. `render_settings` returns the text of its settings for its
    /// addresses; the file is written to `directory`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when no port is free, the settings can't be
    /// written or the process can't be started.
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

    /// Reads the resources that the daemon has used. Values that can't be read are zero.
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

    /// Reads the daemon's metrics on a new connection. Returns an empty text when it doesn't
    /// answer.
    pub fn metrics(&self, runtime: &Runtime, client: &Client) -> String {
        let address = self.addresses[3].to_string();
        let call =
            Call { new_connection: true, ..Call::get(&address, "/metrics", METRICS_TIMEOUT) };
        runtime
            .block_on(client.call(call))
            .map_or_else(|_| String::new(), |r| String::from_utf8_lossy(&r.body).into_owned())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // These fail if the process has already exited, which needs no handling.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Returns the value on the first line that starts with `name` and contains `label`.
pub fn metric(text: &str, name: &str, label: &str) -> Option<u64> {
    let line = text.lines().find(|l| l.starts_with(name) && l.contains(label))?;
    line.rsplit_once(' ')?.1.parse().ok()
}

/// Returns the processor time of each duty in milliseconds, sorted by the duty's name.
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

/// Returns four addresses with free ports. Another process may take a port before the daemon
/// binds it.
fn free_addresses() -> io::Result<[SocketAddr; 4]> {
    let listeners: Vec<TcpListener> =
        (0..4).map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0))).collect::<io::Result<_>>()?;
    let mut addresses = [SocketAddr::from((Ipv4Addr::LOCALHOST, 0)); 4];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
