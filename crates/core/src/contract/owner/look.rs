//! Looks at workers: they renew leases and bring what runs and what has ended.

use super::order::{Look, Order, Why};
use super::{Effect, Owner, Phase, Running};
use crate::clock::Millis;
use crate::ledger::shard::book::Book;
use crate::ledger::shard::{End, Entry, Life, Run};
use std::sync::Arc;

/// Time without progress after which a run counts as hung, as a multiple of its estimate.
const HUNG_ESTIMATES: u64 = 3;
/// Shortest time without progress after which a run counts as hung.
const HUNG_MIN: Millis = Millis::from_secs(3);
/// Looks in a row without answer after which a worker gets no further lease.
const MAX_MISSES: u32 = 1;
/// Greatest pause after a look without answer, as a multiple of the first.
const MAX_PAUSES: u32 = 4;
/// Pause after a look without answer.
const MISS_PAUSE: Millis = Millis(250);
/// Renewals within one lease while ends can't be recorded.
const RENEWALS_PER_LEASE: u64 = 4;

/// A run at work, as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Working {
    /// The run.
    pub run: Run,
    /// Share of its work that is done, in hundredths.
    pub percent: u64,
}

/// Why a look brought no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Miss {
    /// Another life answered at the address.
    OtherLife,
    /// There was no answer, or none that can be used.
    Silent,
}

/// What a worker says when it is looked at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// When the answering life began, if the worker says so.
    pub born: Option<u64>,
    /// Reading of the worker's clock.
    pub clock: u64,
    /// What is at work.
    pub working: Vec<Working>,
    /// Ends that the worker was not told to forget, by rising number.
    pub ends: Vec<End>,
}

impl Owner {
    /// Starts the looks that are due.
    pub(super) fn look(&mut self, book: &Book, now: Millis) {
        for i in 0..self.hosts.len() {
            let host = &self.hosts[i];
            let is_needed = host.runs > 0 || (!host.answers && host.is_listed);
            if !is_needed || host.looking.is_some() || now < host.next_look {
                continue;
            }
            if host.has_lapsed(now) && host.misses > MAX_MISSES {
                self.give_up(i);
                if self.hosts[i].runs == 0 && !self.hosts[i].is_listed {
                    continue;
                }
            }
            self.looks += 1;
            let (number, lease) = (self.looks, self.limits.lease);
            let host = &mut self.hosts[i];
            host.looking = Some(number);
            let is_recording = host.noting > host.noted;
            let wait =
                if host.runs == 0 || is_recording { Millis::ZERO } else { self.limits.look_wait };
            // A worker that does not answer gets no further lease, or it could never be given up.
            let lease_end = if host.misses > MAX_MISSES { None } else { host.grant(lease, now) };
            let (on, address) = (Arc::clone(&host.life), host.listed.address.clone());
            let noted = host.noted.max(book.noted(&host.life));
            let look = Look { on, address, number, noted, lease_end, wait };
            self.effects.push(Effect::Order(Order::Look(look)));
        }
    }

    /// Takes in what a look brought.
    pub fn looked(
        &mut self,
        on: &Life,
        number: u64,
        report: Result<&Report, Miss>,
        book: &Book,
        now: Millis,
    ) {
        let (pause, lease) = (self.limits.look_pause, self.limits.lease);
        let Some(host) = self.host_mut(on) else { return };
        if host.looking != Some(number) {
            return;
        }
        host.looking = None;
        let report = match report {
            Ok(report) => report,
            Err(miss) => {
                host.misses += 1;
                host.next_look = now + MISS_PAUSE.times(host.misses.min(MAX_PAUSES).into());
                host.answers = false;
                if miss == Miss::OtherLife {
                    // Another worker has its address: this life is over.
                    self.end_life(on, book, now);
                }
                return;
            }
        };
        if report.born.is_some_and(|b| b != on.born) {
            // The list tells of the new life soon.
            host.next_look = now + MISS_PAUSE;
            host.answers = false;
            return;
        }
        host.misses = 0;
        let was_silent = !std::mem::replace(&mut host.answers, true);
        host.confirm(lease, now);
        host.anchor(report.clock, now);
        let is_recording = host.noting > host.noted;
        let renew = Millis(lease.get() / RENEWALS_PER_LEASE);
        host.next_look = now + if is_recording { renew } else { pause };
        let life = Arc::clone(&host.life);
        if was_silent {
            self.is_dirty = true;
            self.settle_lives(&life, now);
        }
        self.take_ends(on, report, now);
        self.compare(on, number, report, book, now);
    }

    /// Records the ends that are new.
    fn take_ends(&mut self, on: &Life, report: &Report, now: Millis) {
        let lease = self.limits.lease;
        let Some(host) = self.host_mut(on) else { return };
        let known = host.noting;
        let ends: Vec<End> = report.ends.iter().filter(|e| e.number > known).cloned().collect();
        let Some(last) = ends.last().map(|e| e.number) else { return };
        host.noting = last;
        host.next_look = now + Millis(lease.get() / RENEWALS_PER_LEASE);
        for end in &ends {
            let Ok(i) = self.run_index(&end.run) else { continue };
            if *self.runs[i].on == *on {
                self.free(i);
                self.runs[i].phase = Phase::Ending;
            }
        }
        self.effects.push(Effect::Record(Entry::Ended { on: on.clone(), ends }));
    }

    /// The ends up to `number` are recorded: the worker may forget them.
    pub(super) fn noted(&mut self, on: &Life, number: u64, now: Millis) {
        let pause = self.limits.look_pause;
        if let Some(host) = self.host_mut(on) {
            host.noted = host.noted.max(number);
            host.next_look = host.next_look.min(now + pause);
        }
    }

    /// Compares what runs with what should.
    fn compare(&mut self, on: &Life, number: u64, report: &Report, book: &Book, now: Millis) {
        let mut listed: Vec<&Working> = report.working.iter().collect();
        listed.sort_by_key(|w| w.run);
        let (mut lost, mut hung) = (Vec::new(), Vec::new());
        for running in self.runs.iter_mut().filter(|r| *r.on == *on) {
            let found = listed.binary_search_by(|w| w.run.cmp(&running.run));
            match (found, running.phase) {
                (Ok(_), Phase::Working { .. }) if running.doomed => hung.push((running.run, false)),
                (Ok(at), Phase::Working { .. }) => {
                    if listed[at].percent > running.progress.0 {
                        running.progress = (listed[at].percent, now);
                    } else if is_hung(book, running, now) {
                        hung.push((running.run, true));
                    }
                }
                (Err(_), Phase::Working { since } | Phase::Stopped { since }) if number > since => {
                    lost.push(running.run);
                }
                _ => {}
            }
        }
        self.lose(&lost);
        for run in &lost {
            self.break_gang(run, book, now);
        }
        for (run, is_blamed) in hung {
            let why = if is_blamed { Why::Hung } else { Why::Stray };
            if let Some(host) = self.host_mut(on).filter(|_| is_blamed) {
                host.strike(now);
            }
            self.stop(&run, why, now);
            self.break_gang(&run, book, now);
        }
        for working in listed {
            self.adopt(on, working.run, book, now);
        }
    }

    /// Stops a run that nobody asked for any more, such as one whose order came late.
    fn adopt(&mut self, on: &Life, run: Run, book: &Book, now: Millis) {
        if self.run_index(&run).is_ok() {
            return;
        }
        let needs = super::needs_of(book, &run);
        self.insert(Running::adopted(run, Arc::new(on.clone()), needs, now));
        self.stop(&run, Why::Stray, now);
    }
}

fn is_hung(book: &Book, running: &Running, now: Millis) -> bool {
    let stage = &running.run.task.stage;
    let Some(step) = super::step_of(book, stage) else { return false };
    let allowed = HUNG_MIN.max(step.estimate_ms.times(HUNG_ESTIMATES));
    !step.lasting && now.since(running.progress.1) > allowed
}
