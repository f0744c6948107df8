//! Merging of the events of several processes into one causal order.

use super::{Event, FIRST, Point};
use crate::clock::Millis;
use crate::name::Name;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A range of missing events of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// First missing sequence.
    pub from: u64,
    /// Last missing sequence.
    pub to: u64,
}

/// An event in the merged time line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line<'a> {
    /// The event.
    pub event: &'a Event,
    /// Its time by the clock of its process, or the later time of its cause or of the previous event
    /// of the process.
    pub at: Millis,
    /// Events of the same process that are missing directly before it.
    pub gap: Option<Gap>,
    /// Whether the event that it names as its cause is missing.
    pub orphan: bool,
    /// Whether the process has another event with the same sequence before it, because two processes
    /// share a name.
    pub repeated: bool,
}

/// The events of one process.
#[derive(Debug)]
struct Source<'a> {
    process: &'a Name,
    /// Sorted by sequence.
    events: Vec<&'a Event>,
    /// Index of the next event to be emitted.
    next: usize,
    /// Time of the last event that was emitted.
    at: Millis,
    /// Times of the events that were emitted, by index.
    emitted: Vec<Millis>,
}

/// Whether the next event of a source may be emitted.
enum Readiness {
    /// It may, with this time.
    At(Millis),
    /// Not before the event at this index of this source.
    After { source: usize, index: usize },
}

/// Merges the events of several processes into one order in which no event precedes an earlier one
/// of its process or its cause. Duplicates are dropped.
///
/// A cycle of causes is a bug in the process that wrote the events. It is broken at the event with
/// the earliest time.
pub fn merge(events: &[Event]) -> Vec<Line<'_>> {
    let mut sources = sources(events);
    let mut ready = BinaryHeap::new();
    // Sources that wait for an event of another source: the waiting one, the other one and the index
    // of the event.
    let mut waiting: Vec<(usize, usize, usize)> = Vec::new();
    for source in 0..sources.len() {
        enqueue(source, &sources, &mut ready, &mut waiting);
    }
    let mut lines = Vec::with_capacity(events.len());
    loop {
        let (source, at) = match ready.pop() {
            Some(Reverse((at, source))) => (source, at),
            None => match break_cycle(&sources, &mut waiting) {
                Some(found) => found,
                None => break,
            },
        };
        let index = sources[source].next;
        lines.push(emit(&mut sources, source, at));
        enqueue(source, &sources, &mut ready, &mut waiting);
        let (freed, rest) = waiting.into_iter().partition(|&(_, l, p)| l == source && p == index);
        waiting = rest;
        for (other, ..) in freed {
            enqueue(other, &sources, &mut ready, &mut waiting);
        }
    }
    lines
}

fn sources(events: &[Event]) -> Vec<Source<'_>> {
    let mut sorted: Vec<&Event> = events.iter().collect();
    sorted.sort_by(|a, b| (&a.process, a.sequence, a.at).cmp(&(&b.process, b.sequence, b.at)));
    sorted.dedup();
    let mut sources: Vec<Source<'_>> = Vec::new();
    for event in sorted {
        match sources.last_mut().filter(|source| *source.process == event.process) {
            Some(source) => source.events.push(event),
            None => sources.push(Source {
                process: &event.process,
                events: vec![event],
                next: 0,
                at: Millis::ZERO,
                emitted: Vec::new(),
            }),
        }
    }
    sources
}

/// Adds a source to the ready or the waiting ones, depending on its next event.
fn enqueue(
    source: usize,
    sources: &[Source<'_>],
    ready: &mut BinaryHeap<Reverse<(Millis, usize)>>,
    waiting: &mut Vec<(usize, usize, usize)>,
) {
    match readiness(source, sources) {
        Some(Readiness::At(at)) => ready.push(Reverse((at, source))),
        Some(Readiness::After { source: other, index }) => waiting.push((source, other, index)),
        None => {}
    }
}

fn readiness(source: usize, sources: &[Source<'_>]) -> Option<Readiness> {
    let own = &sources[source];
    let event = own.events.get(own.next)?;
    let at = event.at.max(own.at);
    let Some((other, index)) = event.cause.as_ref().and_then(|cause| find(cause, sources)) else {
        return Some(Readiness::At(at));
    };
    match sources[other].emitted.get(index) {
        Some(cause) => Some(Readiness::At(at.max(*cause))),
        None => Some(Readiness::After { source: other, index }),
    }
}

fn find(point: &Point, sources: &[Source<'_>]) -> Option<(usize, usize)> {
    let source = sources.binary_search_by(|source| source.process.cmp(&point.process)).ok()?;
    let events = &sources[source].events;
    let index = events.binary_search_by(|event| event.sequence.cmp(&point.sequence)).ok()?;
    Some((source, index))
}

/// Removes the waiting source whose next event has the earliest time; returns it with that time.
fn break_cycle(
    sources: &[Source<'_>],
    waiting: &mut Vec<(usize, usize, usize)>,
) -> Option<(usize, Millis)> {
    let time =
        |source: usize| sources[source].events[sources[source].next].at.max(sources[source].at);
    let i = (0..waiting.len()).min_by_key(|&i| (time(waiting[i].0), waiting[i].0))?;
    let (source, ..) = waiting.swap_remove(i);
    Some((source, time(source)))
}

/// Emits the next event of a source with the given time.
fn emit<'a>(sources: &mut [Source<'a>], source: usize, at: Millis) -> Line<'a> {
    let event = sources[source].events[sources[source].next];
    let orphan = event.cause.as_ref().is_some_and(|cause| find(cause, sources).is_none());
    let own = &mut sources[source];
    let expected = match own.next.checked_sub(1) {
        Some(last) => own.events[last].sequence + 1,
        None => FIRST,
    };
    let gap = (event.sequence > expected).then(|| Gap { from: expected, to: event.sequence - 1 });
    let repeated = event.sequence < expected;
    own.next += 1;
    own.at = at;
    own.emitted.push(at);
    Line { event, at, gap, orphan, repeated }
}
