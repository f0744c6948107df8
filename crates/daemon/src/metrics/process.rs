//! The operating system's account of this process: processor time by thread, resident memory.
//!
//! Threads carry the names of their duties. Where the system has no such account the metrics are
//! absent or zero.

use std::fs;
use std::path::Path;

/// Clock ticks a second in which the system counts processor time.
const TICKS_PER_SECOND: u64 = 100;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;
/// Position of the user time among the fields that follow the thread's name.
const USER_TIME: usize = 11;

/// Returns the processor time of each thread of this process, in milliseconds, by its name.
/// Threads of one name are added up.
pub fn threads() -> Vec<(String, u64)> {
    let mut found: Vec<(String, u64)> = Vec::new();
    let Ok(tasks) = fs::read_dir("/proc/self/task") else { return found };
    for task in tasks.flatten() {
        let Some((name, spent)) = thread(&task.path()) else { continue };
        match found.binary_search_by(|(n, _)| n.cmp(&name)) {
            Ok(i) => found[i].1 += spent,
            Err(i) => found.insert(i, (name, spent)),
        }
    }
    found
}

fn thread(path: &Path) -> Option<(String, u64)> {
    let stat = fs::read_to_string(path.join("stat")).ok()?;
    let (head, fields) = stat.rsplit_once(')')?;
    let (_, name) = head.split_once('(')?;
    let mut times = fields.split_whitespace().skip(USER_TIME);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some((name.into(), (user + system) * 1000 / TICKS_PER_SECOND))
}

/// Returns the resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = statm.split_whitespace().nth(1).and_then(|p| p.parse().ok()).unwrap_or(0);
    pages * PAGE_BYTES
}
