//! The merge of several processes' events into one causal order.

use super::{Event, FIRST, Point};
use crate::clock::Millis;
use crate::name::Name;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Missing events of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gap {
    /// First missing sequence.
    pub from: u64,
    /// Last missing sequence.
    pub to: u64,
}

/// An event in its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line<'a> {
    /// The event.
    pub event: &'a Event,
    /// Its time, put forward where its process's clock would show it before its cause.
    pub at: Millis,
    /// Events of the same process that are missing just before it.
    pub gap: Option<Gap>,
    /// Whether the event that it names as its cause is not there.
    pub orphan: bool,
    /// Whether another event of the process has the same sequence: two processes share a name.
    pub repeated: bool,
}

/// The events of one process.
#[derive(Debug)]
struct Lane<'a> {
    process: &'a Name,
    /// Sorted by sequence.
    events: Vec<&'a Event>,
    /// Position of the next event to be placed.
    next: usize,
    /// Time of the last event that was placed.
    at: Millis,
    /// Times of the events that were placed.
    placed: Vec<Millis>,
}

/// Whether an event may be placed.
enum Ready {
    /// At this time at the earliest.
    At(Millis),
    /// Not before the event at this position of this lane.
    After { lane: usize, position: usize },
}

/// Puts the events of several processes into one order in which no event stands before an earlier
/// one of its process or before its cause. An event that is given twice counts once.
///
/// Causes that run in a circle are a defect of whoever wrote the events; they are broken at the
/// event with the least time.
pub fn merge(events: &[Event]) -> Vec<Line<'_>> {
    let mut lanes = lanes(events);
    let mut ready = BinaryHeap::new();
    // Lanes that wait for the event at a position of another lane.
    let mut waiting: Vec<(usize, usize, usize)> = Vec::new();
    for lane in 0..lanes.len() {
        enlist(lane, &lanes, &mut ready, &mut waiting);
    }
    let mut lines = Vec::with_capacity(events.len());
    loop {
        let (lane, at) = match ready.pop() {
            Some(Reverse((at, lane))) => (lane, at),
            None => match break_circle(&lanes, &mut waiting) {
                Some(found) => found,
                None => break,
            },
        };
        let position = lanes[lane].next;
        lines.push(place(&mut lanes, lane, at));
        enlist(lane, &lanes, &mut ready, &mut waiting);
        let (freed, rest) = waiting.into_iter().partition(|&(_, l, p)| l == lane && p == position);
        waiting = rest;
        for (other, ..) in freed {
            enlist(other, &lanes, &mut ready, &mut waiting);
        }
    }
    lines
}

fn lanes(events: &[Event]) -> Vec<Lane<'_>> {
    let mut sorted: Vec<&Event> = events.iter().collect();
    sorted.sort_by(|a, b| (&a.process, a.sequence, a.at).cmp(&(&b.process, b.sequence, b.at)));
    sorted.dedup();
    let mut lanes: Vec<Lane<'_>> = Vec::new();
    for event in sorted {
        match lanes.last_mut().filter(|lane| *lane.process == event.process) {
            Some(lane) => lane.events.push(event),
            None => lanes.push(Lane {
                process: &event.process,
                events: vec![event],
                next: 0,
                at: Millis::ZERO,
                placed: Vec::new(),
            }),
        }
    }
    lanes
}

/// Puts a lane among the ready ones by its next event, or among the waiting ones.
fn enlist(
    lane: usize,
    lanes: &[Lane<'_>],
    ready: &mut BinaryHeap<Reverse<(Millis, usize)>>,
    waiting: &mut Vec<(usize, usize, usize)>,
) {
    match readiness(lane, lanes) {
        Some(Ready::At(at)) => ready.push(Reverse((at, lane))),
        Some(Ready::After { lane: other, position }) => waiting.push((lane, other, position)),
        None => {}
    }
}

fn readiness(lane: usize, lanes: &[Lane<'_>]) -> Option<Ready> {
    let own = &lanes[lane];
    let event = own.events.get(own.next)?;
    let at = event.at.max(own.at);
    let Some((other, position)) = event.cause.as_ref().and_then(|cause| find(cause, lanes)) else {
        return Some(Ready::At(at));
    };
    match lanes[other].placed.get(position) {
        Some(cause) => Some(Ready::At(at.max(*cause))),
        None => Some(Ready::After { lane: other, position }),
    }
}

fn find(point: &Point, lanes: &[Lane<'_>]) -> Option<(usize, usize)> {
    let lane = lanes.binary_search_by(|lane| lane.process.cmp(&point.process)).ok()?;
    let events = &lanes[lane].events;
    let position = events.binary_search_by(|event| event.sequence.cmp(&point.sequence)).ok()?;
    Some((lane, position))
}

/// Returns the waiting lane whose next event has the least time, and that time.
fn break_circle(
    lanes: &[Lane<'_>],
    waiting: &mut Vec<(usize, usize, usize)>,
) -> Option<(usize, Millis)> {
    let time = |lane: usize| lanes[lane].events[lanes[lane].next].at.max(lanes[lane].at);
    let i = (0..waiting.len()).min_by_key(|&i| (time(waiting[i].0), waiting[i].0))?;
    let (lane, ..) = waiting.swap_remove(i);
    Some((lane, time(lane)))
}

fn place<'a>(lanes: &mut [Lane<'a>], lane: usize, at: Millis) -> Line<'a> {
    let event = lanes[lane].events[lanes[lane].next];
    let orphan = event.cause.as_ref().is_some_and(|cause| find(cause, lanes).is_none());
    let own = &mut lanes[lane];
    let expected = match own.next.checked_sub(1) {
        Some(last) => own.events[last].sequence + 1,
        None => FIRST,
    };
    let gap = (event.sequence > expected).then(|| Gap { from: expected, to: event.sequence - 1 });
    let repeated = event.sequence < expected;
    own.next += 1;
    own.at = at;
    own.placed.push(at);
    Line { event, at, gap, orphan, repeated }
}
