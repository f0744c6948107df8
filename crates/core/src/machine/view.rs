//! The view of the fleet's free capacity that a steward decides on.
//!
//! The controllers of workers report free capacity, with a lag. [`View`] subtracts from the last
//! report what this steward has claimed since, so that it doesn't give the same room twice. What
//! other stewards claimed meanwhile is not known: the controller, and in the end the worker
//! itself, refuses what would exceed the capacity, and the view learns from the refusal.

use crate::clock::Millis;
use crate::contract::configuration::Weights;
use crate::machine::capacity::Capacity;
use crate::machine::placement::{Ask, Handle, Index, Site, Spot, cost};
use crate::machine::worker::Worker;
use crate::zone::Place;

/// Needs that are remembered as fitting nowhere until some worker has more room.
const MISSES: usize = 16;

/// Cost of the worker on which the job failed last: above that of every other.
const AVOIDED_COST: u64 = u64::MAX / 2;

/// Greatest cost, in thousandths, by which the preferences of two stewards differ.
const PREFERENCE_COST: u64 = 400;

/// What a controller reports of one worker.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// Capacity that is neither taken by running attempts nor reserved.
    pub free: &'a Capacity,
    /// Whether the worker is leaving: it gets nothing new.
    pub leaving: bool,
    /// When the controller made the report.
    pub at: Millis,
}

/// A claim of this steward that the reports may not show yet.
#[derive(Clone, Copy, Debug)]
struct Claim {
    needs: Capacity,
    /// When the controller granted it; a later report shows it.
    granted: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Slot {
    worker: Worker,
    domain: usize,
    rack: u32,
    reported: Capacity,
    reported_at: Millis,
    /// Claims that the last report doesn't show.
    claims: Vec<Claim>,
    /// Kept free for reservations.
    held: Capacity,
    /// What may be claimed now: reported, less claims and holds.
    available: Capacity,
    leaving: bool,
    quarantined: bool,
    forgotten: bool,
    /// Own tasks that are claimed or running.
    tasks: u32,
    spot: Option<Spot>,
}

/// A failure domain with the index of its workers.
#[derive(Clone, Debug)]
struct Domain {
    place: Place,
    index: Index,
}

/// Free capacity of the fleet, as far as this steward knows.
#[derive(Clone, Debug, Default)]
pub struct View {
    slots: Vec<Slot>,
    /// Live slots, sorted by the worker's name.
    names: Vec<Handle>,
    /// Slots that can be used again.
    vacant: Vec<Handle>,
    /// Sorted by place.
    domains: Vec<Domain>,
    racks: Vec<Place>,
    /// Capacity of all workers that are not leaving.
    total: Capacity,
    /// Greatest amount of each resource on any worker that was seen.
    largest: Capacity,
    /// What may be claimed now, on all workers together.
    available: Capacity,
    /// Needs that fitted nowhere since a worker last gained room.
    misses: Vec<Capacity>,
    /// Raised whenever a worker gains room.
    gains: u64,
    /// Number of the steward, by which its preferences differ from those of others.
    salt: u64,
}

impl View {
    /// Sets the number by which the preferences of this view differ from those of others.
    pub const fn salt(&mut self, salt: u64) {
        self.salt = salt;
    }

    /// Takes in a report. An older report than the last one is ignored.
    pub fn report(&mut self, report: &Report<'_>) -> Handle {
        let handle = self.handle_or_insert(report.worker);
        if report.at < self.slots[handle as usize].reported_at {
            return handle;
        }
        self.update(handle, |slot| {
            slot.worker.capacity = report.worker.capacity;
            slot.reported = *report.free;
            slot.reported_at = report.at;
            slot.leaving = report.leaving;
            slot.forgotten = false;
            slot.claims.retain(|c| c.granted.is_none_or(|granted| granted > report.at));
        });
        handle
    }

    /// Takes a worker out of the view: it is gone or can't be reached.
    pub fn forget(&mut self, name: &str) {
        if let Some(handle) = self.handle(name) {
            self.update(handle, |slot| slot.forgotten = true);
            self.vacate(handle);
        }
    }

    /// Sets whether a worker is quarantined.
    pub fn quarantine(&mut self, handle: Handle, quarantined: bool) {
        if self.slots[handle as usize].quarantined != quarantined {
            self.update(handle, |slot| slot.quarantined = quarantined);
        }
    }

    /// Returns the handle of a worker.
    pub fn handle(&self, name: &str) -> Option<Handle> {
        self.position(name).ok().map(|i| self.names[i])
    }

    /// Returns a worker.
    pub fn worker(&self, handle: Handle) -> &Worker {
        &self.slots[handle as usize].worker
    }

    /// Returns what may be claimed on a worker now; zero when it gets nothing new.
    pub fn available(&self, handle: Handle) -> Capacity {
        let slot = &self.slots[handle as usize];
        if slot.usable() { slot.available } else { Capacity::ZERO }
    }

    /// Returns what may be claimed on a worker by the owner of a hold of `held` there.
    pub fn available_with(&self, handle: Handle, held: &Capacity) -> Capacity {
        let slot = &self.slots[handle as usize];
        if slot.usable() { slot.room(&slot.held.saturating_sub(held)) } else { Capacity::ZERO }
    }

    /// Returns what a probe may claim on a quarantined worker.
    pub fn available_to_probe(&self, handle: Handle) -> Capacity {
        let slot = &self.slots[handle as usize];
        if slot.present() { slot.available } else { Capacity::ZERO }
    }

    /// Returns whether a worker may get new work.
    pub fn is_usable(&self, handle: Handle) -> bool {
        self.slots[handle as usize].usable()
    }

    /// Returns the greatest amount of each resource on any worker that was seen.
    pub const fn largest(&self) -> &Capacity {
        &self.largest
    }

    /// Returns the capacity of all workers that are not leaving, quarantined ones included.
    pub const fn total(&self) -> &Capacity {
        &self.total
    }

    /// Returns what may be claimed now, on all workers together.
    pub const fn free(&self) -> &Capacity {
        &self.available
    }

    /// Returns a number that rises whenever a worker gains room.
    pub const fn gains(&self) -> u64 {
        self.gains
    }

    /// Returns the workers, sorted by name.
    pub fn workers(&self) -> impl Iterator<Item = (Handle, &Worker)> {
        self.names.iter().map(|&handle| (handle, &self.slots[handle as usize].worker))
    }

    /// Returns whether a worker with room for `needs` exists, even if it is full now.
    pub fn could_hold(&self, needs: &Capacity) -> bool {
        self.workers().any(|(_, worker)| worker.capacity.holds(needs))
    }

    /// Returns the position of a worker's failure domain.
    pub fn domain(&self, handle: Handle) -> usize {
        self.slots[handle as usize].domain
    }

    /// Returns the number of a worker's rack.
    pub fn rack(&self, handle: Handle) -> u32 {
        self.slots[handle as usize].rack
    }

    /// Claims room for a task.
    pub fn claim(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| {
            slot.claims.push(Claim { needs: *needs, granted: None });
            slot.tasks += 1;
        });
    }

    /// Notes that the controller granted a claim.
    pub fn grant(&mut self, handle: Handle, needs: &Capacity, now: Millis) {
        let claims = &mut self.slots[handle as usize].claims;
        if let Some(claim) = claims.iter_mut().find(|c| c.granted.is_none() && c.needs == *needs) {
            claim.granted = Some(now);
        }
    }

    /// Notes a task that runs already, such as one placed before this steward began.
    pub fn occupy(&mut self, handle: Handle) {
        self.slots[handle as usize].tasks += 1;
    }

    /// Takes back a claim that the controller refused: the worker has less room than the last
    /// report said, so it gets nothing of this size until the next one.
    pub fn refuse(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| {
            slot.drop_claim(needs);
            slot.reported = slot.reported.saturating_sub(needs);
            slot.tasks = slot.tasks.saturating_sub(1);
        });
        self.vacate(handle);
    }

    /// Takes back a claim that was never asked of the controller, or was released there.
    pub fn release(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| {
            slot.drop_claim(needs);
            slot.tasks = slot.tasks.saturating_sub(1);
        });
        self.vacate(handle);
    }

    /// Notes that a task ended at `now`: its room is free, unless a report showed that already.
    pub fn free_up(&mut self, handle: Handle, needs: &Capacity, now: Millis) {
        self.update(handle, |slot| {
            slot.tasks = slot.tasks.saturating_sub(1);
            if !slot.drop_claim(needs) && slot.reported_at < now {
                let free = slot.reported.plus(needs);
                slot.reported = free.least(&slot.worker.capacity);
            }
        });
        self.vacate(handle);
    }

    /// Keeps room free for a reservation.
    pub fn hold(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| slot.held = slot.held.plus(needs));
    }

    /// Ends a hold.
    pub fn unhold(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| slot.held = slot.held.saturating_sub(needs));
    }

    /// Returns the worker where `ask` costs least, `None` if no worker with room was found.
    ///
    /// `crowd` gives the number of tasks of the same job in a failure domain and in a rack.
    pub fn find(
        &mut self,
        ask: &Ask,
        home: Option<&Place>,
        weights: &Weights,
        crowd: &dyn Fn(usize, u32) -> (u32, u32),
    ) -> Option<Handle> {
        if self.misses.iter().any(|miss| ask.needs.holds(miss)) {
            return None;
        }
        let mut best: Option<(u64, Handle)> = None;
        for (d, domain) in self.domains.iter().enumerate() {
            let remote = home.is_some_and(|home| !home.same_region(&domain.place));
            domain.index.candidates(&ask.needs, |handle, free| {
                let slot = &self.slots[handle as usize];
                let (in_domain, in_rack) = if ask.spread { crowd(d, slot.rack) } else { (0, 0) };
                let site = Site { capacity: slot.worker.capacity, remote, in_domain, in_rack };
                let avoided = u64::from(ask.avoid == Some(handle)) * AVOIDED_COST;
                let preference = preference(self.salt, handle) * u64::from(weights.waiting);
                let cost = cost(ask, free, &site, weights) + preference + avoided;
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, handle));
                }
            });
        }
        if best.is_none() && self.misses.len() < MISSES {
            self.misses.push(ask.needs);
        }
        best.map(|(_, handle)| handle)
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.names.binary_search_by(|&h| self.slots[h as usize].worker.name.as_str().cmp(name))
    }

    fn handle_or_insert(&mut self, worker: &Worker) -> Handle {
        let position = match self.position(worker.name.as_str()) {
            Ok(i) => return self.names[i],
            Err(i) => i,
        };
        let slot = Slot {
            worker: worker.clone(),
            domain: self.domain_or_insert(&worker.place),
            rack: self.rack_or_insert(&worker.place),
            reported: Capacity::ZERO,
            reported_at: Millis::ZERO,
            claims: Vec::new(),
            held: Capacity::ZERO,
            available: Capacity::ZERO,
            leaving: false,
            quarantined: false,
            forgotten: true,
            tasks: 0,
            spot: None,
        };
        let handle = if let Some(handle) = self.vacant.pop() {
            self.slots[handle as usize] = slot;
            handle
        } else {
            self.slots.push(slot);
            Handle::try_from(self.slots.len() - 1).unwrap_or(Handle::MAX)
        };
        self.names.insert(position, handle);
        handle
    }

    fn domain_or_insert(&mut self, place: &Place) -> usize {
        let found = self.domains.iter().position(|d| d.place.same_domain(place));
        found.unwrap_or_else(|| {
            self.domains.push(Domain { place: place.clone(), index: Index::default() });
            self.domains.len() - 1
        })
    }

    fn rack_or_insert(&mut self, place: &Place) -> u32 {
        let found = self.racks.iter().position(|r| r.same_rack(place));
        let rack = found.unwrap_or_else(|| {
            self.racks.push(place.clone());
            self.racks.len() - 1
        });
        u32::try_from(rack).unwrap_or(u32::MAX)
    }

    /// Changes a slot, then brings its availability, the totals and the index up to date.
    fn update(&mut self, handle: Handle, change: impl FnOnce(&mut Slot)) {
        let slot = &mut self.slots[handle as usize];
        let (was, was_usable) = (slot.available, slot.usable());
        let (was_present, capacity) = (slot.present(), slot.worker.capacity);
        change(slot);
        slot.available = slot.room(&slot.held);
        let (now, usable, domain) = (slot.available, slot.usable(), slot.domain);
        if was_present {
            self.total = self.total.saturating_sub(&capacity);
        }
        if slot.present() {
            self.total = self.total.plus(&slot.worker.capacity);
            self.largest = self.largest.greatest(&slot.worker.capacity);
        }
        if was_usable {
            self.available = self.available.saturating_sub(&was);
        }
        if usable {
            self.available = self.available.plus(&now);
        }
        if usable && !(was_usable && was.holds(&now)) {
            self.gains += 1;
            self.misses.clear();
        }
        if was_usable != usable || was != now {
            if let Some(spot) = slot.spot.take()
                && let Some(moved) = self.domains[domain].index.remove(spot)
            {
                self.slots[moved as usize].spot = Some(spot);
            }
            if usable {
                let spot = self.domains[domain].index.insert(handle, &now);
                self.slots[handle as usize].spot = Some(spot);
            }
        }
    }

    /// Makes a forgotten worker's slot usable again once no own task refers to it.
    fn vacate(&mut self, handle: Handle) {
        let slot = &self.slots[handle as usize];
        if slot.forgotten
            && slot.tasks == 0
            && slot.held == Capacity::ZERO
            && let Ok(i) = self.position(slot.worker.name.as_str())
        {
            self.names.remove(i);
            self.vacant.push(handle);
        }
    }
}

/// Returns the cost of a worker, below [`PREFERENCE_COST`], that differs between stewards.
const fn preference(salt: u64, handle: Handle) -> u64 {
    if salt == 0 {
        return 0;
    }
    let mixed = (salt ^ handle as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 32) % PREFERENCE_COST
}

impl Slot {
    const fn present(&self) -> bool {
        !self.leaving && !self.forgotten
    }

    const fn usable(&self) -> bool {
        self.present() && !self.quarantined
    }

    fn room(&self, held: &Capacity) -> Capacity {
        let claimed = self.claims.iter().fold(*held, |sum, c| sum.plus(&c.needs));
        self.reported.saturating_sub(&claimed)
    }

    fn drop_claim(&mut self, needs: &Capacity) -> bool {
        let found = self.claims.iter().position(|c| c.needs == *needs);
        found.map(|i| self.claims.swap_remove(i)).is_some()
    }
}

#[cfg(test)]
mod tests;
