//! What was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A run of a task on a runner, as the runner saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub on: String,
    pub began: u128,
    /// When and how it ended.
    pub end: Option<(u128, &'static str)>,
}

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can't be written");
        Self { start: Instant::now(), file: Mutex::new(file), runs: Mutex::default() }
    }

    pub fn now(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn note(&self, text: &str) {
        let now = self.now();
        let _ = writeln!(self.file.lock().unwrap(), "{now:>7} ms  {text}");
    }

    pub fn began(&self, task: &str, number: u64, on: &str) -> usize {
        self.note(&format!("task {task} run {number} starts on {on}"));
        let mut runs = self.runs.lock().unwrap();
        let (task, on) = (task.into(), on.into());
        runs.push(Run { task, number, on, began: self.now(), end: None });
        runs.len() - 1
    }

    pub fn ended(&self, at: usize, how: &'static str) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        runs[at].end = Some((now, how));
        let Run { task, number, on, .. } = runs[at].clone();
        drop(runs);
        self.note(&format!("task {task} run {number} ends on {on}: {how}"));
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}
