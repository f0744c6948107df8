//! The simulated workload of a task, described by its payload.

use pimentovalve_core::clock::Millis;

/// Run time of a task whose payload gives none.
const DEFAULT_RUN: Millis = Millis(100);

/// Simulated workload, read from `key=value` words: `run_ms=200`, `forever`, `result=ok`,
/// `fail=reason`, `fail_first=2`, `use_cpu=500`, `use_memory=64`. Other words are ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workload {
    /// Run time at full speed; `None` for a task that runs until it is stopped.
    pub run_ms: Option<Millis>,
    /// Result on success.
    pub result: String,
    /// Reason of the failure, if every attempt fails.
    pub fail: Option<String>,
    /// Number of leading attempts that fail.
    pub fail_first: u32,
    /// CPU usage in thousandths of a core; the CPU that the task requests if absent.
    pub use_cpu: Option<u64>,
    /// Memory usage in mebibytes; the memory that the task requests if absent.
    pub use_memory: Option<u64>,
}

impl From<&str> for Workload {
    fn from(payload: &str) -> Self {
        let mut workload = Self {
            run_ms: Some(DEFAULT_RUN),
            result: "ok".into(),
            fail: None,
            fail_first: 0,
            use_cpu: None,
            use_memory: None,
        };
        for word in payload.split_whitespace() {
            let (key, value) = word.split_once('=').unwrap_or((word, ""));
            match key {
                "forever" => workload.run_ms = None,
                "run_ms" => workload.run_ms = value.parse().ok().map(Millis).or(workload.run_ms),
                "result" => workload.result = value.into(),
                "fail" => workload.fail = Some(value.into()),
                "fail_first" => workload.fail_first = value.parse().unwrap_or(0),
                "use_cpu" => workload.use_cpu = value.parse().ok(),
                "use_memory" => workload.use_memory = value.parse().ok(),
                _ => {}
            }
        }
        workload
    }
}
