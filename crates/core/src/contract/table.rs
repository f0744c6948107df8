//! The table of jobs that a steward queues or runs.
//!
//! Jobs have small numbers inside the scheduler. The table finds the number of a job by its id
//! through sorted pages of hashes: one search over the pages, one within a page, and an insertion
//! moves at most one page, so that the cost hardly grows with the number of jobs.

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

/// Entries of a page at most.
const PAGE: usize = 512;

/// Where a task is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Place {
    /// Neither waits nor runs: not given to this scheduler, or over.
    #[default]
    Idle,
    /// Waits in the queue since the instant.
    Waiting(Millis),
    /// Claimed on a worker, or running there.
    Placed(Claim),
}

/// A task's claim on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The worker.
    pub worker: Handle,
    /// What is reserved there.
    pub needs: Capacity,
    /// When the task is expected to end.
    pub ends: Millis,
    /// When it was claimed.
    pub since: Millis,
    /// What the team was charged, in millionths of the fleet times milliseconds.
    pub charged: u64,
    /// The group of a gang.
    pub group: Option<u64>,
    /// Whether a checkpoint was ordered to make room.
    pub preempted: bool,
}

/// A job in the table.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its id.
    pub id: Name,
    /// Hash of its id.
    pub hash: u64,
    /// Number of its team.
    pub team: u16,
    /// Its kind.
    pub kind: Name,
    /// How urgent it is.
    pub class: Class,
    /// How its kind is scheduled.
    pub policy: &'static dyn Policy,
    /// Declared need of each task.
    pub needs: Capacity,
    /// Declared run time of each task, zero when unknown.
    pub run: Millis,
    /// Input of each task, in bytes.
    pub payload_bytes: u64,
    /// Its tasks, by index.
    pub tasks: Vec<Place>,
    /// Number of tasks that wait.
    pub waiting: u32,
    /// Number of tasks that are placed.
    pub placed: u32,
    /// Number of queue units that refer to the job, cancelled ones included.
    pub units: u32,
    /// Expected work of each task, in millionths of the fleet times milliseconds.
    pub work: u64,
    /// Not tried again before this instant.
    pub not_before: Millis,
    /// Tries to place all its tasks at once that failed in a row.
    pub tries: u32,
    /// Room for it was made by preemption at this instant.
    pub preempted_at: Millis,
}

impl Entry {
    /// Returns whether the task with the index waits; any task, for [`ALL_TASKS`].
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
    /// Pages of hashes of ids with numbers; sorted over all pages.
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

    /// Returns a job by its number, to be changed.
    pub fn get_mut(&mut self, number: Number) -> Option<&mut Entry> {
        self.entries.get_mut(number as usize).and_then(Option::as_mut)
    }

    /// Adds a job that isn't in the table.
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
        if items.len() > PAGE {
            let half = items.split_off(PAGE / 2);
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

    /// Returns the first page that can hold the hash.
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
