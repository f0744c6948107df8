//! The daemons through which queries reach the advisor.
//!
//! The advisor serves one query at a time for each daemon, so each daemon has a queue of its own.
//! A query goes where its answer is expected first: the time for which the daemon is busy, and the
//! measured time to it, from there to the advisor, and back.

use crate::clock::Millis;
use crate::link::round_trip::RoundTrip;

#[cfg(test)]
mod tests;

/// Expected response time above which a query counts as slow. Slow queries don't queue, and are
/// kept off the own daemon.
const SLOW_QUERY: Millis = Millis(150);
/// Maximum expected time for which quick queries queue at one daemon. A query sent later can name
/// the workers that have room by then.
const MAX_QUEUED: Millis = Millis(200);
/// Time for which no query is sent through a daemon after one that got no answer. It doubles with
/// each further one, up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Millis = Millis(800);
/// Longest time for which no query is sent through a daemon after one without answer.
const MAX_BACKOFF: Millis = Millis(6400);

/// One daemon through which queries can be sent.
#[derive(Clone, Debug)]
struct Relay {
    name: Box<str>,
    /// When the advisor is expected to have served its queries in flight.
    busy_until: Millis,
    /// Number of its queries in flight.
    in_flight: usize,
    /// Time to the daemon, from there to the advisor, and back.
    round_trip: RoundTrip,
    /// Consecutive queries without answer.
    unanswered: u32,
}

/// A query's place in a daemon's queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Booking {
    /// Name of the daemon.
    pub(super) through: Box<str>,
    /// When the answer is expected.
    pub(super) expected: Millis,
    /// When the advisor would have served the query if it were at no distance.
    served: Millis,
    /// Whether no other query was in flight through the daemon.
    was_idle: bool,
}

/// The daemons through which queries can be sent, the own one first.
#[derive(Clone, Debug, Default)]
pub(super) struct Relays(Vec<Relay>);

impl Relay {
    fn new(name: &str) -> Self {
        Self {
            name: name.into(),
            busy_until: Millis::ZERO,
            in_flight: 0,
            round_trip: RoundTrip::default(),
            unanswered: 0,
        }
    }

    /// Returns when a query sent now would be answered. A daemon that was not measured yet is
    /// expected to be near, so that each is measured soon.
    fn answers_at(&self, takes: Millis, now: Millis) -> Millis {
        let round_trip = self.round_trip.get().unwrap_or_default();
        let way = Millis(round_trip.get() / 2);
        self.busy_until.max(now + way) + takes + round_trip.since(way)
    }

    fn can_take(&self, is_slow: bool, now: Millis) -> bool {
        let ahead = self.busy_until.since(now);
        if is_slow { ahead == Millis::ZERO } else { ahead <= MAX_QUEUED }
    }
}

/// Returns whether a query that the advisor serves for `takes` counts as slow.
pub(super) fn is_slow(takes: Millis) -> bool {
    takes > SLOW_QUERY
}

impl Relays {
    /// Sets the daemons, the own one first. What is known about those that stay is kept.
    pub(super) fn set(&mut self, names: &[Box<str>]) {
        let old = std::mem::take(&mut self.0);
        let known = |name: &str| old.iter().find(|r| &*r.name == name).cloned();
        self.0 = names.iter().map(|n| known(n).unwrap_or_else(|| Relay::new(n))).collect();
    }

    pub(super) const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of peers that no query is in flight through.
    pub(super) fn idle(&self, now: Millis) -> usize {
        self.0.iter().skip(1).filter(|r| r.in_flight == 0 && r.busy_until <= now).count()
    }

    /// Adds a query that the advisor serves for `takes` to the queue that answers it first. Returns
    /// `None` if no daemon can take it now.
    pub(super) fn book(&mut self, takes: Millis, now: Millis) -> Option<Booking> {
        let is_slow = is_slow(takes);
        let first = usize::from(is_slow && self.0.len() > 1);
        let relays = self.0.iter_mut().skip(first).filter(|r| r.can_take(is_slow, now));
        let relay = relays.min_by_key(|r| r.answers_at(takes, now))?;
        let expected = relay.answers_at(takes, now);
        let was_idle = relay.in_flight == 0;
        relay.busy_until = relay.busy_until.max(now) + takes;
        relay.in_flight += 1;
        let served = relay.busy_until;
        Some(Booking { through: relay.name.clone(), expected, served, was_idle })
    }

    /// Handles the answer to a query through a daemon. `booking` is that of the query, if it is
    /// still known.
    pub(super) fn answered(&mut self, through: &str, booking: Option<&Booking>, now: Millis) {
        let Some(relay) = self.find(through) else { return };
        relay.in_flight = relay.in_flight.saturating_sub(1);
        relay.unanswered = 0;
        if let Some(booking) = booking.filter(|b| b.was_idle) {
            relay.round_trip.record(now.since(booking.served));
        }
        if relay.in_flight == 0 {
            relay.busy_until = relay.busy_until.min(now);
        }
    }

    /// Handles a query through a daemon that failed.
    pub(super) fn failed(&mut self, through: &str, now: Millis) {
        if let Some(relay) = self.find(through) {
            relay.in_flight = relay.in_flight.saturating_sub(1);
        }
        self.back_off(through, now);
    }

    /// Sends no query through a daemon for a while, since one is overdue or has failed.
    pub(super) fn back_off(&mut self, through: &str, now: Millis) {
        if let Some(relay) = self.find(through) {
            let backoff = MAX_BACKOFF.min(MIN_BACKOFF.times(1 << relay.unanswered.min(3)));
            relay.unanswered += 1;
            relay.busy_until = relay.busy_until.max(now + backoff);
        }
    }

    fn find(&mut self, name: &str) -> Option<&mut Relay> {
        self.0.iter_mut().find(|r| &*r.name == name)
    }
}
