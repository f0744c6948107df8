use super::Gate;
use crate::clock::Millis;
use crate::link::patience::hold;
use googletest::prelude::*;

/// Interval between two callers: a hundred a second.
const ARRIVAL: u64 = 10;
/// Time that an append takes while the store is well: the store, and a round trip between regions.
const APPEND: Millis = Millis(65);
/// Time-out of an append, after which the outage is known.
const TIMEOUT: u64 = 1000;
const RETRY_AFTER: Millis = Millis(1000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Waiting,
    Stored(Millis),
    Refused(Millis),
}

/// Plays callers, of which each is handed in once, against a store whose appends take what
/// `append` says, `None` while it is silent. The owner appends one batch at a time.
struct Play {
    gate: Gate<usize>,
    /// Deadline and fate of each caller.
    callers: Vec<(Millis, Fate)>,
    /// Callers that were ever part of a batch that was sent.
    sent: Vec<usize>,
    largest: usize,
    appends: usize,
}

impl Play {
    fn run(duration: u64, lefts: &[u64], append: impl Fn(Millis) -> Option<Millis>) -> Self {
        let (gate, callers, sent) = (Gate::new(4096), Vec::new(), Vec::new());
        let mut play = Self { gate, callers, sent, largest: 0, appends: 0 };
        let mut flight: Option<(Millis, Option<Millis>, Vec<usize>)> = None;
        for now in (0..duration).map(Millis) {
            while let Some(caller) = play.gate.let_go(now) {
                play.callers[caller].1 = Fate::Refused(now);
            }
            if now.get() % ARRIVAL == 0 && now.get() + 3000 < duration {
                let caller = play.callers.len();
                let left = Millis(lefts[caller % lefts.len()]);
                let silence = play.gate.breaker().open_for(now);
                let held =
                    silence.map_or(Millis(left.get() * 8 / 10), |s| hold(left, RETRY_AFTER, s));
                let until = now + held;
                play.callers.push((now + left, Fate::Waiting));
                if play.gate.put(now, until, caller).is_err() {
                    play.callers[caller].1 = Fate::Refused(now);
                }
            }
            if let Some((end, took, batch)) = flight.take_if(|(end, ..)| *end <= now) {
                match took {
                    Some(took) => {
                        play.gate.succeeded(now, took);
                        batch.iter().for_each(|i| play.callers[*i].1 = Fate::Stored(now));
                    }
                    None => {
                        play.gate.failed(end);
                        // The outcome is in doubt: the same batch is sent again.
                        flight = Some(Self::send(now, batch, &append));
                    }
                }
            }
            if flight.is_none() {
                let allowance = play.gate.allowance(now);
                let batch: Vec<usize> = (0..allowance).filter_map(|_| play.gate.take()).collect();
                play.largest = play.largest.max(batch.len());
                play.appends += 1;
                play.sent.extend(&batch);
                flight = Some(Self::send(now, batch, &append));
            }
        }
        play
    }

    fn send(
        now: Millis,
        batch: Vec<usize>,
        append: &impl Fn(Millis) -> Option<Millis>,
    ) -> (Millis, Option<Millis>, Vec<usize>) {
        let took = append(now);
        (
            now + took.unwrap_or(Millis(if now.get() < 2000 + TIMEOUT { TIMEOUT } else { 200 })),
            took,
            batch,
        )
    }

    fn count(&self, is_meant: impl Fn(Fate) -> bool) -> usize {
        self.callers.iter().filter(|(_, fate)| is_meant(*fate)).count()
    }

    fn refused_but_sent(&self) -> usize {
        let refused = |i: &&usize| matches!(self.callers[**i].1, Fate::Refused(_));
        self.sent.iter().filter(refused).count()
    }

    fn stored_late(&self) -> usize {
        let late = |(until, fate): &&(Millis, Fate)| matches!(fate, Fate::Stored(at) if at > until);
        self.callers.iter().filter(late).count()
    }
}

/// A silence of 4 s, with a hundred callers a second that have 1 to 3 s.
#[gtest]
fn those_who_can_still_be_served_when_the_store_is_back_are_served() {
    let outage = Millis(2000)..Millis(6000);
    let play =
        Play::run(12_000, &[1000, 2000, 3000], |now| (!outage.contains(&now)).then_some(APPEND));
    // Nobody is told "not run" whose entry was ever sent; only the batch in flight is in doubt.
    expect_that!(play.refused_but_sent(), eq(0));
    let in_doubt = play.stored_late();
    expect_that!(in_doubt, le(APPEND.get() as usize / ARRIVAL as usize + 1));
    // Of those who came in the last second of the outage, all that were held are served at once.
    let came = |at: u64| (at / ARRIVAL) as usize;
    let last = &play.callers[came(5200)..came(6000)];
    let served = last.iter().filter(|(_, f)| matches!(f, Fate::Stored(at) if *at < Millis(6600)));
    expect_that!(served.count(), ge(last.len() * 2 / 3));
    // Each of the others heard so with time for one retry, or had no such time.
    for (until, fate) in &play.callers {
        if let Fate::Refused(at) = fate {
            expect_that!(*at, le(*until));
        }
    }
    expect_that!(play.count(|f| f == Fate::Waiting), eq(0));
}

/// A store 58 times slower: an append takes 232 ms and a round trip.
#[gtest]
fn a_slow_store_serves_all_with_few_large_appends() {
    let play = Play::run(8000, &[1000, 3000], |now| {
        Some(if now < Millis(2000) { APPEND } else { Millis(232 + 61) })
    });
    expect_that!(play.count(|f| matches!(f, Fate::Refused(_))), eq(0));
    expect_that!(play.stored_late(), eq(0));
    expect_that!(play.largest, ge(25));
    expect_that!(play.appends, le(2000 / 65 + 6000 / 293 + 4));
}

#[gtest]
fn a_full_gate_and_a_hopeless_deadline_refuse_at_once() {
    let mut gate = Gate::new(1);
    gate.succeeded(Millis(0), Millis(200));
    expect_that!(gate.put(Millis(100), Millis(120), 'a'), err(eq('a')));
    expect_that!(gate.put(Millis(100), Millis(900), 'b'), ok(anything()));
    expect_that!(gate.put(Millis(100), Millis(900), 'c'), err(eq('c')));
}
