//! Saved progress of checkpointed tasks, shared by the workers of one fleet.

use crate::lock;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::task;
use std::sync::Mutex;

/// Tasks whose progress is kept; beyond, one other is forgotten.
const MAX_TASKS: usize = 16 * 1024;

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    /// Sorted by task.
    entries: Mutex<Vec<(task::Id, Millis)>>,
}

impl Store {
    /// Saves how far a task has come, in run time at full speed.
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

    /// Returns how far a task has come, zero if nothing is saved.
    pub fn load(&self, task: &task::Id) -> Millis {
        let entries = lock(&self.entries);
        match entries.binary_search_by(|(t, _)| t.cmp(task)) {
            Ok(i) => entries[i].1,
            Err(_) => Millis::ZERO,
        }
    }
}
