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
    progress: Mutex<Vec<(task::Id, Millis)>>,
}

impl Store {
    /// Saves how far a task has come, in run time at full speed.
    pub fn save(&self, task: &task::Id, done: Millis) {
        let mut progress = lock(&self.progress);
        match progress.binary_search_by(|(t, _)| t.cmp(task)) {
            Ok(i) => progress[i].1 = done,
            Err(i) => progress.insert(i, (task.clone(), done)),
        }
        if progress.len() > MAX_TASKS {
            progress.pop();
        }
    }

    /// Returns how far a task has come, zero if nothing is saved.
    pub fn load(&self, task: &task::Id) -> Millis {
        let progress = lock(&self.progress);
        match progress.binary_search_by(|(t, _)| t.cmp(task)) {
            Ok(i) => progress[i].1,
            Err(_) => Millis::ZERO,
        }
    }
}
