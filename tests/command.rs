//! The command line: output, errors and exit codes.

use googletest::prelude::*;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const COMMANDS: [&str; 10] = [
    "submit",
    "status",
    "cancel",
    "patch",
    "config",
    "release",
    "timeline",
    "audit",
    "demo",
    "check-settings",
];

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pimentovalve")).args(arguments).output().unwrap()
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

/// A temporary file that is removed on drop.
struct File(PathBuf);

impl File {
    fn new(name: &str, content: &str) -> Self {
        let path = std::env::temp_dir().join(format!("command-{}-{name}", std::process::id()));
        std::fs::write(&path, content).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples").join(name);
    path.to_str().unwrap().into()
}

#[gtest]
fn every_command_has_help_on_standard_output() {
    let all = run(&["--help"]);
    expect_that!(code(&all), eq(0));
    for command in COMMANDS {
        expect_that!(stdout(&all), contains_substring(command));
        let help = run(&[command, "--help"]);
        expect_that!(code(&help), eq(0), "{command}");
        expect_that!(stdout(&help), contains_substring(format!("pimentovalve {command}")));
        expect_that!(stderr(&help).as_str(), eq(""));
    }
}

#[gtest]
fn invalid_command_lines_exit_with_2() {
    let daemon = ["--daemon", "127.0.0.1:9"];
    for arguments in [
        vec![],
        vec!["conquer"],
        vec!["submit", "--tasks", "many"],
        vec!["status", "--volume", "11"],
        vec!["patch", "file.toml"],
        vec!["timeline"],
        vec!["check-settings"],
        vec!["status", "two words", "--team", "notaries", daemon[0], daemon[1]],
        vec!["status", "deed-7", "--team", "notaries"],
        vec!["release", "deed-7", "--team", "notaries", daemon[0], daemon[1]],
        vec!["audit"],
        vec!["audit", "--job", "a", "--request", "b", "/dev/null"],
        vec!["status", "deed-7", "--team", "notaries", "--daemon", "entry.example:7100"],
    ] {
        let output = run(&arguments);
        expect_that!(code(&output), eq(2), "{arguments:?}");
        expect_that!(stdout(&output).as_str(), eq(""), "{arguments:?}");
        expect_that!(stderr(&output), starts_with("pimentovalve: "), "{arguments:?}");
    }
}

#[gtest]
fn check_settings_accepts_the_examples() {
    for file in ["andino.toml", "lifebuoy.toml"] {
        let output = run(&["check-settings", &example(file)]);
        expect_that!(code(&output), eq(0));
        expect_that!(stderr(&output).as_str(), eq(""));
    }
}

#[gtest]
fn check_settings_reports_each_finding_with_its_place() {
    let text = std::fs::read_to_string(example("andino.toml")).unwrap();
    let text = text
        .replace("10.20.1.11:7101", "10.20.1.11")
        .replace("list_lag_ms = 5000", "list_lag_ms = -1")
        .replace("rack =", "row =");
    let file = File::new("three.toml", &text);
    let output = run(&["check-settings", file.path()]);
    expect_that!(code(&output), eq(2));
    for place in ["listen.operators (line", "platform.list_lag_ms (line", "place.row (line"] {
        expect_that!(stderr(&output), contains_substring(place));
    }
    let output = run(&["check-settings", "--json", file.path()]);
    expect_that!(code(&output), eq(2));
    let report: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
    expect_that!(report["ok"], eq(&serde_json::json!(false)));
    expect_that!(report["findings"].as_array().unwrap().len(), eq(4));
}

#[gtest]
fn check_settings_never_panics() {
    for content in
        ["", "=", "[", "a = 'b", "name = 1979-05-27", "\u{0}", "place = []", "[[listen]]"]
    {
        let file = File::new("odd.toml", content);
        let output = run(&["check-settings", file.path()]);
        expect_that!(code(&output), eq(2), "{content:?}");
        expect_that!(stderr(&output), not(contains_substring("panicked")), "{content:?}");
    }
    expect_that!(code(&run(&["check-settings", "/no/such/file"])), eq(2));
}

#[gtest]
fn check_settings_validates_key_files() {
    let keys = File::new("keys", "rosa:short\n");
    let text = std::fs::read_to_string(example("andino.toml")).unwrap();
    let file = File::new("keyed.toml", &text.replace("operators.keys", keys.path()));
    let output = run(&["check-settings", file.path()]);
    expect_that!(code(&output), eq(2));
    expect_that!(stderr(&output), contains_substring("operator_keys.line 1.secret"));
    expect_that!(stderr(&output), not(contains_substring("rosa:short")));
}

#[gtest]
fn submit_validates_its_input_before_it_calls_a_daemon() {
    let job = File::new(
        "job.toml",
        "id = 'a b'\nteam = ''\nkind = 'sealing'\ntasks = 0\n\
         needs = { cpu_milli = 0, memory_mib = 1 }\n",
    );
    let output = run(&["submit", job.path()]);
    expect_that!(code(&output), eq(2));
    for place in ["id:", "team:", "tasks:", "needs.cpu_milli:"] {
        expect_that!(stderr(&output), contains_substring(place));
    }
    let request = File::new("request.json", r#"{"id": "r", "team": "t", "service": "s"}"#);
    expect_that!(code(&run(&["submit", request.path()])), eq(2));
    expect_that!(code(&run(&["submit", "--wait-ms", "61000", request.path()])), eq(2));
}

#[gtest]
fn an_unreachable_daemon_is_a_failure() {
    // Nothing listens on port 9 (discard) of the loopback address.
    let daemon = ["--daemon", "127.0.0.1:9"];
    let output = run(&["status", "--team", "notaries", daemon[0], daemon[1], "deed-7"]);
    expect_that!(code(&output), eq(1));
    expect_that!(stderr(&output), contains_substring("nothing was sent"));
}

#[gtest]
fn timelines_are_merged_and_invalid_lines_reported() {
    let line = |process: &str, sequence: u64, at: u64| {
        format!(
            r#"{{"process":"{process}","duty":"log","at":{at},"sequence":{sequence},"what":{{"event":"drained"}}}}"#
        )
    };
    let one = File::new("one", &format!("{}\n{}\n", line("a", 1, 20), line("a", 3, 40)));
    let two = File::new("two", &format!("{}\n{{\"process\":\"b\",", line("b", 1, 30)));
    let output = run(&["timeline", one.path(), two.path()]);
    expect_that!(code(&output), eq(0));
    let text = stdout(&output);
    let lines: Vec<&str> = text.lines().collect();
    expect_that!(lines.len(), eq(4));
    expect_that!(lines[0], starts_with("20 a#1"));
    expect_that!(lines[1], starts_with("30 b#1"));
    expect_that!(lines[2], eq("... a: events 2 to 2 are missing"));
    expect_that!(stderr(&output), contains_substring("line 2"));
    let output = run(&["timeline", "--json", one.path()]);
    for line in stdout(&output).lines() {
        let shown: serde_json::Value = serde_json::from_str(line).unwrap();
        expect_that!(shown["process"], eq(&serde_json::json!("a")));
    }
    expect_that!(code(&run(&["timeline", "/no/such/file"])), eq(2));
}

#[gtest]
fn the_daemon_refuses_invalid_settings() {
    let daemon = env!("CARGO_BIN_EXE_pimentovalved");
    let file = File::new("daemon.toml", "ring = 0\n");
    let output = Command::new(daemon).args(["--settings", file.path()]).output().unwrap();
    expect_that!(code(&output), eq(2));
    expect_that!(stderr(&output), contains_substring("ring (line 1)"));
    expect_that!(code(&Command::new(daemon).output().unwrap()), eq(2));
    let help = Command::new(daemon).arg("--help").output().unwrap();
    expect_that!(code(&help), eq(0));
    expect_that!(stdout(&help), contains_substring("--settings"));
}
