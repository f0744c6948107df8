//! Table of the jobs that a scheduler has queued or placed.
//!
//! Inside the scheduler, jobs are referred to by small numbers. The table maps a job's id to its
//! number through sorted pages of hashes. A look-up is a binary search over the pages and one
//! within a page; an insertion moves the entries of at most one page.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::policy::Policy;
use crate::contract::queue::ALL_TASKS;
use crate::machine::capacity::Capacity;
use crate::machine::placement::Handle;
use crate::name::Name;
use crate::zone::stewardship;

/// Number of a job in the table.
pub type Number = u32;

/// Maximum number of entries in a page.
const MAX_PAGE_ENTRIES: usize = 512;

/// Scheduling state of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Place {
    /// Neither queued nor placed: not handed to this scheduler yet, or ended.
    #[default]
    Idle,
    /// Queued since the given time.
    Waiting(Millis),
    /// Capacity is claimed on a worker, and the task may run there.
    Placed(Claim),
}

/// A task's claim on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Handle of the worker.
    pub worker: Handle,
    /// Capacity claimed there.
    pub needs: Capacity,
    /// When the task is expected to end.
    pub ends: Millis,
    /// When the task began to wait; of a restored task, when it was restored.
    pub since: Millis,
    /// Cost charged to the team, in millionths of the fleet times milliseconds.
    pub charged: u64,
    /// Number of the gang decision, for a task of a gang.
    pub group: Option<u64>,
    /// Whether the task was preempted and its end is awaited.
    pub preempted: bool,
}

/// A job in the table.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Id chosen by the caller.
    pub id: Name,
    /// Hash of the id; see [`hash`].
    pub hash: u64,
    /// Number of the team in the scheduler.
    pub team: u16,
    /// Name of the kind of work.
    pub kind: Name,
    /// Urgency class.
    pub class: Class,
    /// Scheduling policy of the kind.
    pub policy: &'static dyn Policy,
    /// Declared need of each task.
    pub needs: Capacity,
    /// Declared run time of each task, zero when unknown.
    pub run: Millis,
    /// Size of each task's input, in bytes.
    pub payload_bytes: u64,
    /// State of each task, by index.
    pub tasks: Vec<Place>,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of placed tasks.
    pub placed: u32,
    /// Number of queue units that refer to the job, including stale ones.
    pub units: u32,
    /// Expected work of each task, in millionths of the fleet times milliseconds.
    pub work: u64,
    /// End of the current back-off.
    pub not_before: Millis,
    /// Number of consecutive failed attempts to place the job.
    pub tries: u32,
    /// When other tasks were last preempted for this job.
    pub preempted_at: Millis,
}

impl Entry {
    /// Returns whether the task with the index waits, or any task for [`ALL_TASKS`].
    pub fn is_waiting(&self, index: u32) -> bool {
        match index {
            ALL_TASKS => self.waiting > 0,
            index => matches!(self.tasks.get(index as usize), Some(Place::Waiting(_))),
        }
    }
}

/// Jobs by number and by id.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: Vec<Option<Entry>>,
    vacant: Vec<Number>,
    /// Pages of pairs of hash and number. The pairs are sorted by hash across all pages.
    pages: Vec<Vec<(u64, Number)>>,
}

impl Table {
    /// Returns the number of jobs.
    pub fn len(&self) -> usize {
        self.entries.len() - self.vacant.len()
    }

    /// Returns whether the table holds no job.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of a job.
    pub fn number(&self, id: &str) -> Option<Number> {
        let hash = hash(id);
        let page = self.page(hash);
        self.pages[page.min(self.pages.len())..]
            .iter()
            .flat_map(|page| &page[page.partition_point(|&(h, _)| h < hash)..])
            .take_while(|&&(h, _)| h == hash)
            .map(|&(_, number)| number)
            .find(|&number| self.get(number).is_some_and(|entry| entry.id.as_str() == id))
    }

    /// Returns a job by its number.
    pub fn get(&self, number: Number) -> Option<&Entry> {
        self.entries.get(number as usize).and_then(Option::as_ref)
    }

    /// Returns a job by its number, for modification.
    pub fn get_mut(&mut self, number: Number) -> Option<&mut Entry> {
        self.entries.get_mut(number as usize).and_then(Option::as_mut)
    }

    /// Adds a job that isn't in the table, and returns its number. Numbers of removed jobs are
    /// reused.
    pub fn insert(&mut self, entry: Entry) -> Number {
        let hash = entry.hash;
        let number = if let Some(number) = self.vacant.pop() {
            self.entries[number as usize] = Some(entry);
            number
        } else {
            self.entries.push(Some(entry));
            Number::try_from(self.entries.len() - 1).unwrap_or(Number::MAX)
        };
        let page = self.page(hash);
        if self.pages.is_empty() {
            self.pages.push(Vec::new());
        }
        let items = &mut self.pages[page];
        items.insert(items.partition_point(|&(h, _)| h < hash), (hash, number));
        if items.len() > MAX_PAGE_ENTRIES {
            let half = items.split_off(MAX_PAGE_ENTRIES / 2);
            self.pages.insert(page + 1, half);
        }
        number
    }

    /// Removes a job.
    pub fn remove(&mut self, number: Number) {
        let Some(entry) = self.entries.get_mut(number as usize).and_then(Option::take) else {
            return;
        };
        self.vacant.push(number);
        let hash = entry.hash;
        for page in self.page(hash)..self.pages.len() {
            let items = &mut self.pages[page];
            let first = items.partition_point(|&(h, _)| h < hash);
            let found = items[first..].iter().take_while(|&&(h, _)| h == hash);
            if let Some(i) = found.clone().position(|&(_, n)| n == number) {
                items.remove(first + i);
                if items.is_empty() {
                    self.pages.remove(page);
                }
                return;
            }
        }
    }

    /// Returns the index of the first page that can contain the hash.
    fn page(&self, hash: u64) -> usize {
        let after = self.pages.partition_point(|page| page.first().is_some_and(|&(h, _)| h < hash));
        after.saturating_sub(1)
    }
}

/// Returns the hash of a job's id.
pub fn hash(id: &str) -> u64 {
    stewardship::hash(&[id])
}

#[cfg(test)]
mod tests;
