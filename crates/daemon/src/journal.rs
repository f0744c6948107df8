//! The journal of one process: numbers its timeline events and passes them to a sink.

#[cfg(test)]
mod tests;

use crate::log;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{Event, FIRST, Point, What};
use std::sync::{Arc, Mutex, PoisonError};

/// A destination of timeline events.
pub trait Sink: Send + Sync {
    /// Takes an event. The events of one process are passed in the order of their numbers.
    fn record(&self, event: &Event);
}

/// A sink that writes events to the timeline output of the process, as JSON lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lines;

impl Sink for Lines {
    fn record(&self, event: &Event) {
        log::emit(event);
    }
}

/// A sink that keeps a bounded number of events in memory, for tests and embedded daemons. Later
/// events are dropped; the gap in the numbers shows when timelines are merged.
#[derive(Debug)]
pub struct Memory {
    events: Mutex<Vec<Event>>,
    bound: usize,
}

impl Memory {
    /// Returns an empty sink for at most `bound` events.
    pub const fn new(bound: usize) -> Self {
        Self { events: Mutex::new(Vec::new()), bound }
    }

    /// Returns a copy of the events that were kept.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Sink for Memory {
    fn record(&self, event: &Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() < self.bound {
            events.push(event.clone());
        }
    }
}

/// The journal of one process, shared by its duties.
pub struct Journal {
    process: Name,
    /// Number of the next event. The lock is held while the sink takes the event, so that events
    /// keep their order.
    next: Mutex<u64>,
    sink: Arc<dyn Sink>,
}

impl Journal {
    /// Returns the journal of a process, whose name must be unique for each start.
    pub const fn new(process: Name, sink: Arc<dyn Sink>) -> Self {
        Self { process, next: Mutex::new(FIRST), sink }
    }

    /// Records an event of a duty, with its cause in another process if there is one. Returns the
    /// identity of the event, which messages may carry as the cause of events elsewhere.
    pub fn note(&self, duty: &Name, at: Millis, cause: Option<Point>, what: What) -> Point {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let sequence = *next;
        let (process, duty) = (self.process.clone(), duty.clone());
        self.sink.record(&Event { process, duty, at, sequence, cause, what });
        *next += 1;
        Point { process: self.process.clone(), sequence }
    }
}
