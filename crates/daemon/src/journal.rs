//! The journal of one process: it numbers the events of the time line and hands them to a sink.

#[cfg(test)]
mod tests;

use crate::log;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::name::Name;
use pimentovalve_core::timeline::{Event, FIRST, Point, What};
use std::sync::{Arc, Mutex, PoisonError};

/// Takes events of the time line; the border between duties and wherever events are kept.
pub trait Sink: Send + Sync {
    /// Takes an event. Events of one process come in their sequence.
    fn take(&self, event: &Event);
}

/// Writes events through the log of the process, one JSON line each.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lines;

impl Sink for Lines {
    fn take(&self, event: &Event) {
        log::emit(event);
    }
}

/// Keeps a bounded number of events in memory, for tests and embedded runs. Later events are
/// dropped, which the merge shows as a gap.
#[derive(Debug)]
pub struct Memory {
    events: Mutex<Vec<Event>>,
    bound: usize,
}

impl Memory {
    /// Returns an empty memory for at most `bound` events.
    pub const fn new(bound: usize) -> Self {
        Self { events: Mutex::new(Vec::new()), bound }
    }

    /// Returns the events so far.
    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Sink for Memory {
    fn take(&self, event: &Event) {
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        if events.len() < self.bound {
            events.push(event.clone());
        }
    }
}

/// The journal of one process, shared by its duties.
pub struct Journal {
    process: Name,
    /// Sequence of the next event; locked while the sink takes it, so that events keep their order.
    next: Mutex<u64>,
    sink: Arc<dyn Sink>,
}

impl Journal {
    /// Returns the journal of the process with the given name, which is used for one start only.
    pub const fn new(process: Name, sink: Arc<dyn Sink>) -> Self {
        Self { process, next: Mutex::new(FIRST), sink }
    }

    /// Notes what happened in a duty, and what caused it in another process. Returns the identity
    /// of the event, for messages that cause events elsewhere.
    pub fn note(&self, duty: &Name, at: Millis, cause: Option<Point>, what: What) -> Point {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        let sequence = *next;
        let (process, duty) = (self.process.clone(), duty.clone());
        self.sink.take(&Event { process, duty, at, sequence, cause, what });
        *next += 1;
        Point { process: self.process.clone(), sequence }
    }
}
