//! Checks docs/OPERATING.md: the commands of its first trial succeed, and its settings reference
//! matches the code.

use googletest::prelude::*;
use pimentovalve::daemon::settings::Settings;
use serde_json::Value;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Time-out of the page's first trial, in seconds.
const SCRIPT_TIMEOUT_SECONDS: &str = "120";
/// First port that may be used. The range lies below the system's ephemeral ports, since an
/// outgoing connection could take a free port before a daemon listens on it.
const FIRST_PORT: u16 = 20_000;
/// Number of ports from which the first one is chosen by process id.
const PORTS: u16 = 10_000;
/// Shell trap that ends the background processes and, on failure, prints the end of their logs.
const TRAP: &str = "trap 'code=$?; kill $(jobs -p) 2> /dev/null || true; \
    [ $code = 0 ] || tail -n 5 trial/*.log >&2' EXIT";
/// Prefix of every address on the page; two digits follow.
const ADDRESS_PREFIX: &str = "127.0.0.1:74";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn page() -> String {
    std::fs::read_to_string(root().join("docs/OPERATING.md")).unwrap()
}

/// Returns the section of the page under a second-level heading.
fn section(heading: &str) -> String {
    let page = page();
    let (_, rest) = page.split_once(&format!("\n## {heading}\n")).unwrap();
    rest.split("\n## ").next().unwrap().into()
}

/// Returns the concatenated `sh` blocks of a section.
fn commands(part: &str) -> String {
    let blocks = part.split("```sh\n").skip(1).map(|rest| rest.split("```").next().unwrap());
    blocks.collect::<Vec<_>>().concat()
}

/// Mapping from the page's addresses to free ones.
struct Ports(Vec<(String, String)>);

impl Ports {
    fn new() -> Self {
        let numbers = [1, 2, 3].into_iter().chain((11..=34).filter(|n| n % 10 < 5 && n % 10 > 0));
        let first = FIRST_PORT + u16::try_from(std::process::id() % u32::from(PORTS)).unwrap();
        let is_free = |port: &u16| TcpListener::bind(("127.0.0.1", *port)).is_ok();
        let free = (first..).filter(is_free);
        let pair = |(n, port)| (format!("{ADDRESS_PREFIX}{n:02}"), format!("127.0.0.1:{port}"));
        Self(numbers.zip(free).map(pair).collect())
    }

    fn replace(&self, text: &str) -> String {
        self.0.iter().fold(text.into(), |text: String, (old, new)| text.replace(old, new))
    }
}

/// A temporary folder that is removed on drop.
struct Folder(PathBuf);

impl Folder {
    /// Copies the examples into a new folder, with the addresses replaced.
    fn new(ports: &Ports) -> Self {
        let path = std::env::temp_dir().join(format!("operating-{}", std::process::id()));
        copy(&root().join("examples"), &path.join("examples"), ports);
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn copy(from: &Path, to: &Path, ports: &Ports) {
    std::fs::create_dir_all(to).unwrap();
    for entry in std::fs::read_dir(from).unwrap() {
        let (path, target) = {
            let entry = entry.unwrap();
            (entry.path(), to.join(entry.file_name()))
        };
        if path.is_dir() {
            copy(&path, &target, ports);
        } else {
            std::fs::write(&target, ports.replace(&std::fs::read_to_string(&path).unwrap()))
                .unwrap();
        }
    }
}

/// Builds the stand-ins and returns the folder of all programs.
fn programs() -> PathBuf {
    let own = Path::new(env!("CARGO_BIN_EXE_pimentovalve"));
    let folder = own.parent().unwrap().to_path_buf();
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--locked", "--package", "pimentovalve-standin", "--bins"]);
    if folder.ends_with("release") {
        build.arg("--release");
    }
    assert!(build.current_dir(root()).status().unwrap().success());
    folder
}

#[gtest]
fn the_commands_of_the_first_trial_run() {
    let ports = Ports::new();
    let folder = Folder::new(&ports);
    let script = ports.replace(&commands(&section("A first trial")));
    let script = format!("set -eu\n{TRAP}\n{script}");
    let path = std::env::var("PATH").unwrap();
    let output = Command::new("timeout")
        .args([SCRIPT_TIMEOUT_SECONDS, "bash", "-c", &script])
        .env("PATH", format!("{}:{path}", programs().display()))
        .current_dir(&folder.0)
        .stdin(Stdio::null())
        .output()
        .unwrap();
    let shown = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(output.status.code(), some(eq(0)), "{shown}\n{errors}");
    for part in ["version 1 is accepted", "completed: sealed", "completed: indexed", "purged"] {
        expect_that!(shown, contains_substring(part));
    }
    expect_that!(shown, not(contains_substring("BROKEN")));
    expect_that!(shown, not(contains_substring("UNPROVABLE")));
    let drawn = std::fs::read_to_string(folder.0.join("trial/seal-1.svg"));
    expect_that!(drawn, ok(contains_substring("<circle")));
}

/// The smallest valid settings, without the `platform` section.
const MINIMAL: &str = "name = 'e'\nplace = { region = 'r', domain = 'd', rack = 'k' }\n\
    listen = { callers = '10.0.0.1:1', operators = '10.0.0.1:2', peers = '10.0.0.1:3', \
    metrics = '10.0.0.1:4' }\n";
const PLATFORM: &str = "log = '10.0.0.1:5'\nlist = '10.0.0.1:6'\n";

/// Returns the rows of the page's settings reference as pairs of key and default.
fn reference() -> Vec<(String, String)> {
    let part = section("Settings");
    let rows = part.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.map(|row| row.split('|').map(|c| c.trim().trim_matches('`')).collect());
    cells.map(|c: Vec<&str>| (c[1].into(), c[3].into())).collect()
}

/// Returns the dotted paths of all leaf values.
fn paths(prefix: &str, value: &Value) -> Vec<String> {
    let Value::Object(fields) = value else { return vec![prefix.into()] };
    let nested = fields.iter().flat_map(|(key, value)| {
        let path = if prefix.is_empty() { key.clone() } else { format!("{prefix}.{key}") };
        paths(&path, value)
    });
    nested.collect()
}

#[gtest]
fn the_settings_reference_has_every_key() {
    let minimal = Settings::parse(&format!("{MINIMAL}[platform]\n{PLATFORM}")).unwrap();
    let mut in_code = paths("", &serde_json::to_value(&minimal).unwrap());
    let mut on_page: Vec<String> = reference().into_iter().map(|(key, _)| key).collect();
    in_code.sort();
    on_page.sort();
    expect_that!(on_page, eq(&in_code));
}

#[gtest]
fn the_settings_reference_has_the_defaults() {
    let minimal = Settings::parse(&format!("{MINIMAL}[platform]\n{PLATFORM}")).unwrap();
    let json = serde_json::to_value(&minimal).unwrap();
    for (key, default) in reference() {
        let value = key.split('.').fold(&json, |value, part| &value[part]);
        match default.as_str() {
            "" => expect_that!(required(&key), eq(true), "{key}"),
            "none" => expect_that!(*value, eq(&Value::Null), "{key}"),
            default => {
                expect_that!(serde_json::from_str::<Value>(default).unwrap(), eq(value), "{key}");
            }
        }
    }
}

/// Returns whether settings without the key are refused as incomplete.
fn required(key: &str) -> bool {
    let findings = Settings::parse("").unwrap_err();
    findings.as_slice().iter().any(|f| f.place == key && f.message.contains("is missing"))
}
