//! The command line against three daemons on loopback: configuration, jobs and requests, a killed
//! daemon, and the audit of the run without and with planted violations.

use googletest::prelude::*;
use pimentovalve::cell::{Cell, OPERATOR_KEY};
use pimentovalve::standin::fleet::Plan;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::thread;
use std::time::{Duration, Instant};

/// Time-out of a command that is retried.
const RETRY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A temporary folder that is removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let path = std::env::temp_dir().join(format!("audit-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn write(&self, name: &str, content: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, content).unwrap();
        path
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().unwrap().into()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run(arguments: &[&str], daemons: &[SocketAddr]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimentovalve"));
    command.args(arguments);
    for daemon in daemons {
        command.args(["--daemon", &daemon.to_string()]);
    }
    command.output().unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

/// Runs a command until it succeeds. Daemons refuse work until they have adopted their workers and
/// read the ledger.
fn retry(arguments: &[&str], daemons: &[SocketAddr]) -> String {
    let started = Instant::now();
    loop {
        let output = run(arguments, daemons);
        if code(&output) == 0 {
            return stdout(&output);
        }
        assert!(started.elapsed() < RETRY_TIMEOUT, "{arguments:?}: {}", stderr(&output));
        thread::sleep(RETRY_INTERVAL);
    }
}

fn settings(cell: &Cell) -> String {
    let bounds = cell.bounds();
    format!(
        "name = 'entry'\npartitions = 8\nplace = {{ region = 'r', domain = 'd', rack = 'k' }}\n\
         [listen]\ncallers = '127.0.0.1:1'\noperators = '127.0.0.1:2'\npeers = '127.0.0.1:3'\n\
         metrics = '127.0.0.1:4'\n[platform]\nlog = '127.0.0.1:5'\nlist = '127.0.0.1:6'\n\
         [bounds]\nlease_ms = {}\ncurrency_ms = {}\nskew_ms = {}\n\
         [timing]\nheartbeat_ms = 400\nlog_ms = 1000\n",
        bounds.lease_ms.get(),
        bounds.currency_ms.get(),
        bounds.skew_ms.get()
    )
}

fn timelines(cell: &Cell) -> String {
    cell.events().iter().fold(String::new(), |mut text, event| {
        writeln!(text, "{}", serde_json::to_string(event).unwrap()).unwrap();
        text
    })
}

#[gtest]
fn the_audit_passes_a_run_with_a_killed_daemon_and_detects_planted_violations() {
    let folder = Folder::new();
    let key = folder.write("key", OPERATOR_KEY);
    let plan = Plan::andino(2, 2).unwrap();
    let mut cell = Cell::start(&plan, 3, |_| {}).unwrap();
    configure(&cell, &folder, &key);
    work(&mut cell);
    let operators = cell.operator_addresses();
    let (settings, ledger) = (folder.write("entry.toml", &settings(&cell)), folder.path("ledger"));
    let fetch = ["audit", "--key", &key, "--settings", &settings, "--save", &ledger];
    // Without timelines the audit can't prove the promises that depend on events.
    let output = run(&fetch, &operators);
    expect_that!(code(&output), eq(1), "{}", stderr(&output));
    expect_that!(stderr(&output), contains_substring("0 promises are broken"));
    for index in cell.running() {
        cell.stop(index);
    }
    let timeline = folder.write("timeline", &timelines(&cell));
    check_clean(&settings, &ledger, &timeline);
    check_planted(&folder, &settings, &ledger, &timelines(&cell));
}

fn configure(cell: &Cell, folder: &Folder, key: &str) {
    let operators = cell.operator_addresses();
    let patch = folder.write("patch.toml", include_str!("../src/commands/demo/patch.toml"));
    let make = ["patch", "--base", "0", "--key", key, patch.as_str()];
    retry(&make, &operators);
    let output = run(&make, &operators);
    expect_that!(code(&output), eq(1));
    expect_that!(stderr(&output), contains_substring("version 1 by demo-operator"));
    let wrong = folder.write("wrong", "demo-operator:0123456789abcdef");
    let output = run(&["config", "--key", &wrong], &operators);
    expect_that!(code(&output), eq(1));
    expect_that!(stderr(&output), contains_substring("key"));
    let empty = folder.write(
        "empty.toml",
        "[[teams]]\nname = 'x'\nweight = 0\nquota = { cpu_milli = 0, memory_mib = 1 }",
    );
    let output = run(&["patch", "--base", "1", "--key", key, &empty], &operators);
    expect_that!(code(&output), eq(2), "{}", stderr(&output));
    expect_that!(stderr(&output), contains_substring("teams[0].weight"));
    expect_that!(stderr(&output), contains_substring("teams[0].quota.cpu_milli"));
    for arguments in [
        vec!["config", "--key", key],
        vec!["config", "--key", key, "--version", "1"],
        vec!["config", "--key", key, "--history"],
    ] {
        expect_that!(retry(&arguments, &operators), contains_substring("notaries"));
    }
}

fn work(cell: &mut Cell) {
    let callers = cell.caller_addresses();
    let job = [
        "submit",
        "--team",
        "notaries",
        "--kind",
        "batch",
        "--cpu-milli",
        "1000",
        "--memory-mib",
        "1024",
        "--payload",
        "run_ms=300 result=sealed",
        "--tasks",
        "4",
        "--id",
    ];
    retry(&[&job[..], &["seal-1"]].concat(), &callers);
    let request = [
        "submit",
        "--team",
        "notaries",
        "--service",
        "retention-engine",
        "--wait-ms",
        "3000",
        "--body",
        "echo=found",
        "--id",
    ];
    let found = retry(&[&request[..], &["lookup-1", "--idempotent"]].concat(), &callers);
    expect_that!(found, contains_substring("found"));
    retry(&[&request[..], &["purge-1"]].concat(), &callers);
    // The same id names the same request at every instance.
    let again = retry(&[&request[..], &["purge-1"]].concat(), &callers[1..]);
    expect_that!(again, contains_substring("found"));
    cell.kill(0);
    // The killed instance is still the first address that the command tries.
    retry(&[&job[..], &["seal-2"]].concat(), &callers);
    for id in ["seal-1", "seal-2"] {
        let status = ["status", "--team", "notaries", "--wait-ms", "20000", id];
        let shown = retry(&status, &callers);
        expect_that!(shown.matches("completed: sealed").count(), eq(4), "{shown}");
    }
    let answer = ["status", "--team", "notaries", "--request", "purge-1"];
    expect_that!(retry(&answer, &callers), contains_substring("found"));
    expect_that!(code(&run(&["cancel", "--team", "notaries", "no-such-job"], &callers)), eq(1));
}

fn check_clean(settings: &str, ledger: &str, timeline: &str) {
    for scope in
        [vec![], vec!["--job", "seal-1"], vec!["--request", "purge-1"], vec!["--version", "1"]]
    {
        let files = ["audit", "--settings", settings, ledger, timeline];
        let output = run(&[&files[..], &scope].concat(), &[]);
        expect_that!(code(&output), eq(0), "{scope:?}: {}{}", stdout(&output), stderr(&output));
    }
    let shown = run(&["timeline", "--job", "seal-1", timeline], &[]);
    expect_that!(code(&shown), eq(0));
    for event in ["job_accepted", "attempt_recorded", "order_sent", "attempt_started"] {
        expect_that!(stdout(&shown), contains_substring(event));
    }
}

/// Plants one violation at a time in a copy of the timelines and checks that the audit detects it.
fn check_planted(folder: &Folder, settings: &str, ledger: &str, timeline: &str) {
    let plants = [
        (
            "one_place",
            r#"{"event":"attempt_started","task":{"job":"seal-1","index":0},"attempt":1,"worker":"other","needs":{"cpu_milli":1,"memory_mib":1}}"#,
        ),
        ("nothing_lost", r#"{"event":"job_accepted","job":"seal-9","team":"notaries","tasks":1}"#),
        ("not_run", r#"{"event":"job_refused","job":"seal-1","reason":"overload"}"#),
        ("at_most_once", r#"{"event":"request_served","request":"purge-1","attempt":"other"}"#),
        ("configuration", r#"{"event":"configuration_in_force","version":9}"#),
    ];
    for (promise, what) in plants {
        // Far in the future, so that clock skew can't explain the violation.
        let line = format!(
            r#"{{"process":"planted","duty":"test","at":99999999999999,"sequence":1,"what":{what}}}"#
        );
        let start = r#"{"process":"planted","duty":"test","at":0,"sequence":2,"what":{"event":"process_started"}}"#;
        let planted = folder.write("planted", &format!("{timeline}{line}\n{start}\n"));
        let output = run(&["audit", "--json", "--settings", settings, ledger, &planted], &[]);
        expect_that!(code(&output), eq(1), "{promise}");
        let report: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
        let claims = report["claims"].as_array().unwrap();
        let claim = claims.iter().find(|claim| claim["promise"] == promise).unwrap();
        expect_that!(claim["standing"].as_str(), some(eq("broken")), "{promise}");
    }
}
