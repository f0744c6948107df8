//! What the dispatcher knows of one runner.

use super::Config;
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::link::slot::Pool;
use crate::machine::worker::Epoch;
use crate::name::Name;
use crate::zone::membership::{Instance, State};

/// The control of a runner's worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    pub epoch: Epoch,
    /// Since when this instance knows that it controls the worker.
    pub since: Millis,
    /// When the last call was sent that proved it.
    pub proven: Millis,
}

/// One runner.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub instance: Instance,
    pub service: Name,
    pub worker: Name,
    pub pool: Pool,
    /// Present while this instance controls the worker.
    pub held: Option<Held>,
    /// The other entry instance that should control the worker.
    pub controller: Option<Name>,
    /// Tries that are forwarded there.
    pub forwarded: usize,
    /// No try of a class is forwarded before this instant, in the order of [`Class::ALL`].
    pub closed: [Millis; Class::ALL.len()],
    /// Used only when there is no other before this instant.
    pub shunned: Millis,
    /// When it was last chosen; the least recently chosen is preferred.
    pub chosen: u64,
    /// No question is put to it before this instant.
    pub next_question: Millis,
}

impl Entry {
    pub fn new(instance: &Instance, service: &Name, worker: &Name, pool: Pool) -> Self {
        Self {
            instance: instance.clone(),
            service: service.clone(),
            worker: worker.clone(),
            pool,
            held: None,
            controller: None,
            forwarded: 0,
            closed: [Millis::ZERO; Class::ALL.len()],
            shunned: Millis::ZERO,
            chosen: 0,
            next_question: Millis::ZERO,
        }
    }

    /// Returns whether this instance may spend the runner's slots now.
    pub fn is_usable(&self, config: &Config, now: Millis) -> bool {
        self.held.is_some_and(|held| {
            let sure = now < held.proven + config.term;
            let settled = held.epoch == 1 || now.since(held.since) >= config.settle;
            sure && settled
        })
    }

    /// Returns whether a try may go to the runner now; a local one is not forwarded again.
    pub fn has_room(&self, config: &Config, class: Class, local: bool, now: Millis) -> bool {
        let live = self.instance.state == State::Live;
        if self.held.is_some() {
            live && self.is_usable(config, now) && self.pool.free() > 0
        } else {
            let slots = self.pool.limits().slots as usize;
            let open = self.controller.is_some() && self.closed[class.index()] <= now;
            live && !local && open && self.forwarded < slots
        }
    }

    /// Returns how many tries this instance has under way at the runner.
    pub const fn load(&self) -> usize {
        if self.held.is_some() { self.pool.spent() } else { self.forwarded }
    }

    /// Returns how many tries this instance may have under way at the runner.
    pub fn capacity(&self, config: &Config, class: Class, now: Millis) -> usize {
        let usable = match self.held {
            Some(_) => self.is_usable(config, now),
            None => self.controller.is_some() && self.closed[class.index()] <= now,
        };
        let live = self.instance.state == State::Live;
        if usable && live { self.pool.limits().slots as usize } else { 0 }
    }
}
