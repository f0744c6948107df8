//! Resource usage of this process from `/proc`: CPU time by thread and resident memory.
//!
//! Threads have the names of their duties. On systems without `/proc` the CPU times are absent and
//! the memory is zero.

use std::fs;
use std::path::Path;

/// Unit of CPU times in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: u64 = 100;
/// Unit of memory sizes in `/proc`.
const PAGE_BYTES: u64 = 4096;
/// Index of the user time among the fields of `stat` that follow the thread's name.
const USER_TIME: usize = 11;

/// Returns the CPU time of each thread of this process in milliseconds, summed by thread name.
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
