//! The dispatcher's state of one runner.

use super::Config;
use crate::clock::Millis;
use crate::contract::class::Class;
use crate::link::slot::Pool;
use crate::machine::worker::Epoch;
use crate::name::Name;
use crate::zone::membership::{Instance, State};

/// This instance's control of a runner's worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Control {
    pub epoch: Epoch,
    /// When this instance learned that it controls the worker under this epoch.
    pub since: Millis,
    /// When the last call was sent that confirmed it.
    pub proven: Millis,
}

/// State of one runner.
#[derive(Clone, Debug)]
pub(super) struct RunnerState {
    pub instance: Instance,
    pub service: Name,
    pub worker: Name,
    pub pool: Pool,
    /// Present while this instance controls the worker.
    pub control: Option<Control>,
    /// Another entry instance that is expected to control the worker.
    pub controller: Option<Name>,
    /// Number of forwarded attempts in flight.
    pub forwarded: usize,
    /// For each class in the order of [`Class::ALL`], until when no attempt is forwarded.
    pub forwarding_paused_until: [Millis; Class::ALL.len()],
    /// Until this instant the runner is used only if there is no other.
    pub penalized_until: Millis,
    /// Number of the dispatcher's choice that last selected it.
    pub last_chosen: u64,
    /// Earliest time of the next slot query.
    pub next_query: Millis,
}

impl RunnerState {
    pub fn new(instance: &Instance, service: &Name, worker: &Name, pool: Pool) -> Self {
        Self {
            instance: instance.clone(),
            service: service.clone(),
            worker: worker.clone(),
            pool,
            control: None,
            controller: None,
            forwarded: 0,
            forwarding_paused_until: [Millis::ZERO; Class::ALL.len()],
            penalized_until: Millis::ZERO,
            last_chosen: 0,
            next_query: Millis::ZERO,
        }
    }

    /// Returns whether this instance may allocate the runner's slots now.
    pub fn is_usable(&self, config: &Config, now: Millis) -> bool {
        self.control.is_some_and(|control| {
            let in_term = now < control.proven + config.term;
            let settled = control.epoch == 1 || now.since(control.since) >= config.settle;
            in_term && settled
        })
    }

    /// Returns whether an attempt of a class can be dispatched to the runner now. An attempt that
    /// was `forwarded` by another instance is not forwarded again.
    pub fn accepts(&self, config: &Config, class: Class, forwarded: bool, now: Millis) -> bool {
        let live = self.instance.state == State::Live;
        if self.control.is_some() {
            live && self.is_usable(config, now) && self.pool.free() > 0
        } else {
            let slots = self.pool.limits().slots as usize;
            let open =
                self.controller.is_some() && self.forwarding_paused_until[class.index()] <= now;
            live && !forwarded && open && self.forwarded < slots
        }
    }

    /// Returns the number of attempts that this instance has in flight on the runner.
    pub const fn load(&self) -> usize {
        if self.control.is_some() { self.pool.allocated() } else { self.forwarded }
    }

    /// Returns the limit on the attempts that this instance may have in flight on the runner.
    pub fn usable_slots(&self, config: &Config, class: Class, now: Millis) -> usize {
        let usable = match self.control {
            Some(_) => self.is_usable(config, now),
            None => self.controller.is_some() && self.forwarding_paused_until[class.index()] <= now,
        };
        let live = self.instance.state == State::Live;
        if usable && live { self.pool.limits().slots as usize } else { 0 }
    }
}
