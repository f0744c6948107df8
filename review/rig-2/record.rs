//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A runner has begun a run.
    Began,
    /// A run has ended.
    Ended,
    /// A run is gone with its runner.
    Gone,
    /// `lastSeen` has reached the end of a run.
    Noted,
    /// The same, but the runner's lease has lapsed between the two.
    NotedAfterLapse,
}

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Instant,
    pub kind: Kind,
    pub runner: String,
    pub born: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let (file, events) = (Mutex::new(File::create(path)?), Mutex::default());
        Ok(Self { began: Instant::now(), file, events })
    }

    /// Milliseconds since the record began.
    pub fn time(&self, at: Instant) -> u128 {
        at.duration_since(self.began).as_millis()
    }

    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    fn line_at(&self, at: Instant, text: &str) {
        let line = format!("{:>7} {text}\n", self.time(at));
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn event(&self, event: Event) {
        let Event { at, kind, runner, born, task, run, how } = &event;
        self.line_at(*at, &format!("{runner} born {born}: {kind:?} {task} run {run} {how}"));
        self.events.lock().unwrap().push(event);
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Returns what breaks the rule TWICE: two runs of a task at the same time on runners that are
    /// up, or a start after a run has ended `done`, if that end is taken note of at any time and the
    /// lease has not lapsed in between.
    pub fn doubled(&self) -> Vec<String> {
        let events = self.events();
        let of = |e: &Event| (e.runner.clone(), e.born, e.task.clone(), e.run);
        let noted: std::collections::HashSet<_> =
            events.iter().filter(|e| e.kind == Kind::Noted).map(of).collect();
        let mut running: std::collections::HashMap<String, Vec<_>> = Default::default();
        let mut done: std::collections::HashMap<String, (u128, u64, String)> = Default::default();
        let mut broken = Vec::new();
        for event in &events {
            let (task, at) = (event.task.clone(), self.time(event.at));
            match event.kind {
                Kind::Began => {
                    if let Some((ended, run, runner)) = done.get(&task) {
                        broken.push(format!(
                            "{task}: run {} began on {} at {at}, although run {run} had ended done on {runner} at {ended}, and that end was taken note of",
                            event.run, event.runner
                        ));
                    }
                    let others = running.entry(task.clone()).or_default();
                    if !others.is_empty() {
                        broken.push(format!("{task}: two runs at the same time from {at}"));
                    }
                    others.push(of(event));
                }
                Kind::Ended | Kind::Gone => {
                    running.entry(task.clone()).or_default().retain(|r| *r != of(event));
                    if event.how == "done" && noted.contains(&of(event)) {
                        done.entry(task).or_insert((at, event.run, event.runner.clone()));
                    }
                }
                Kind::Noted | Kind::NotedAfterLapse => {}
            }
        }
        broken
    }
}
