//! Saved progress of checkpointed tasks, shared by the workers of one fleet.

use crate::lock;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::task;
use std::sync::Mutex;

/// Most tasks whose progress is stored; beyond that, the entry that sorts last is dropped.
const MAX_TASKS: usize = 16 * 1024;

/// Progress by task, kept in memory.
#[derive(Debug, Default)]
pub struct Store {
    /// Sorted by task.
    entries: Mutex<Vec<(task::Id, Millis)>>,
}

impl Store {
    /// Stores the progress of a task, as run time at full speed.
    pub fn save(&self, task: &task::Id, progress: Millis) {
        let mut entries = lock(&self.entries);
        match entries.binary_search_by(|(t, _)| t.cmp(task)) {
            Ok(i) => entries[i].1 = progress,
            Err(i) => entries.insert(i, (task.clone(), progress)),
        }
        if entries.len() > MAX_TASKS {
            entries.pop();
        }
    }

    /// Returns the stored progress of a task, or zero if there is none.
    pub fn load(&self, task: &task::Id) -> Millis {
        let entries = lock(&self.entries);
        match entries.binary_search_by(|(t, _)| t.cmp(task)) {
            Ok(i) => entries[i].1,
            Err(_) => Millis::ZERO,
        }
    }
}
