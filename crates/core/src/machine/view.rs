//! A steward's view of the free capacity of all workers.
//!
//! Controllers report the free capacity of workers with a delay. [`View`] subtracts this steward's
//! own claims since the last report, so that it doesn't allocate the same capacity twice. Claims
//! of other stewards are unknown until the next report: the controller, and finally the worker,
//! refuses what would exceed the capacity, and the view is corrected on refusal.

use crate::clock::Millis;
use crate::contract::configuration::Weights;
use crate::machine::capacity::Capacity;
use crate::machine::placement::{Handle, Index, PlacementRequest, Spot, WorkerSite, cost};
use crate::machine::worker::Worker;
use crate::zone::Place;

/// Limit on the remembered needs that no worker can currently satisfy.
const MAX_UNPLACEABLE: usize = 16;

/// Cost of the worker on which the job last failed; exceeds the cost of any other worker.
const AVOIDED_COST: u64 = u64::MAX / 2;

/// Upper bound of the per-steward cost offset, in thousandths. The offset makes stewards prefer
/// different workers, so that they compete less for the same one.
const MAX_JITTER_COST: u64 = 400;

/// A controller's report on one worker.
#[derive(Clone, Copy, Debug)]
pub struct Report<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// Capacity neither used by running attempts nor reserved.
    pub free: &'a Capacity,
    /// Whether the worker is leaving and accepts no new work.
    pub leaving: bool,
    /// When the controller made the report.
    pub at: Millis,
}

/// Capacity claimed by this steward that the last report may not include yet.
#[derive(Clone, Copy, Debug)]
struct Claim {
    needs: Capacity,
    /// When the controller granted it; reports made after this include it. `None` until granted.
    granted: Option<Millis>,
}

/// State of one worker in the view.
#[derive(Clone, Debug)]
struct Slot {
    worker: Worker,
    /// Position in [`View::domains`].
    domain: usize,
    /// Position in [`View::racks`].
    rack: u32,
    /// Free capacity in the last report, corrected for refusals and ended tasks since.
    reported: Capacity,
    reported_at: Millis,
    /// Claims not included in the last report.
    claims: Vec<Claim>,
    /// Capacity held for reservations.
    held: Capacity,
    /// Capacity that can be claimed now: `reported` less `claims` and `held`.
    available: Capacity,
    leaving: bool,
    quarantined: bool,
    /// Whether the worker is gone or unreachable; the slot is freed once unreferenced.
    removed: bool,
    /// Number of this steward's tasks that are claimed or running here.
    tasks: u32,
    /// Position in the domain's index; `None` while the worker is not usable.
    spot: Option<Spot>,
}

/// A failure domain with an index of its workers by free capacity.
#[derive(Clone, Debug)]
struct Domain {
    place: Place,
    index: Index,
}

/// Free capacity of all workers, as known to this steward.
#[derive(Clone, Debug, Default)]
pub struct View {
    slots: Vec<Slot>,
    /// Live slots, sorted by the worker's name.
    names: Vec<Handle>,
    /// Unused slots.
    vacant: Vec<Handle>,
    /// In the order in which they were first seen.
    domains: Vec<Domain>,
    /// In the order in which they were first seen.
    racks: Vec<Place>,
    /// Capacity of all workers that are neither leaving nor removed.
    total: Capacity,
    /// Componentwise maximum of the capacities of all workers seen so far.
    largest: Capacity,
    /// Capacity that can be claimed now, summed over all usable workers.
    available: Capacity,
    /// Needs that no worker could satisfy since available capacity last increased anywhere.
    unplaceable: Vec<Capacity>,
    /// Number of times a worker's available capacity increased.
    gains: u64,
    /// Seed of this steward's cost offsets; 0 disables them.
    salt: u64,
}

impl View {
    /// Sets the seed of this steward's cost offsets, which must differ between stewards. 0 disables
    /// them.
    pub const fn salt(&mut self, salt: u64) {
        self.salt = salt;
    }

    /// Applies a report, adding the worker if it is new. Reports older than the last one are
    /// ignored.
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
            slot.removed = false;
            slot.claims.retain(|c| c.granted.is_none_or(|granted| granted > report.at));
        });
        handle
    }

    /// Removes a worker that is gone or unreachable. Its handle stays valid until this steward has
    /// no tasks and no holds there.
    pub fn forget(&mut self, name: &str) {
        if let Some(handle) = self.handle(name) {
            self.update(handle, |slot| slot.removed = true);
            self.vacate(handle);
        }
    }

    /// Sets whether a worker is quarantined and so excluded from [`Self::find`].
    pub fn quarantine(&mut self, handle: Handle, quarantined: bool) {
        if self.slots[handle as usize].quarantined != quarantined {
            self.update(handle, |slot| slot.quarantined = quarantined);
        }
    }

    /// Returns the handle of the worker with this name, if the view contains it.
    pub fn handle(&self, name: &str) -> Option<Handle> {
        self.position(name).ok().map(|i| self.names[i])
    }

    /// Returns the worker of a handle.
    pub fn worker(&self, handle: Handle) -> &Worker {
        &self.slots[handle as usize].worker
    }

    /// Returns the capacity that can be claimed on a worker now; zero if it isn't usable.
    pub fn available(&self, handle: Handle) -> Capacity {
        let slot = &self.slots[handle as usize];
        if slot.is_usable() { slot.available } else { Capacity::ZERO }
    }

    /// Returns the capacity that the owner of a hold of `held` on a worker can claim there.
    pub fn available_with(&self, handle: Handle, held: &Capacity) -> Capacity {
        let slot = &self.slots[handle as usize];
        if slot.is_usable() {
            slot.unclaimed(&slot.held.saturating_sub(held))
        } else {
            Capacity::ZERO
        }
    }

    /// Returns the capacity that a probe can claim on a worker, whether quarantined or not.
    pub fn available_to_probe(&self, handle: Handle) -> Capacity {
        let slot = &self.slots[handle as usize];
        if slot.is_present() { slot.available } else { Capacity::ZERO }
    }

    /// Returns whether a worker accepts new work: it is present, not leaving and not quarantined.
    pub fn is_usable(&self, handle: Handle) -> bool {
        self.slots[handle as usize].is_usable()
    }

    /// Returns the componentwise maximum of the capacities of all workers seen so far.
    pub const fn largest(&self) -> &Capacity {
        &self.largest
    }

    /// Returns the total capacity of all workers that are not leaving, including quarantined ones.
    pub const fn total(&self) -> &Capacity {
        &self.total
    }

    /// Returns the capacity that can be claimed now, summed over all usable workers.
    pub const fn free(&self) -> &Capacity {
        &self.available
    }

    /// Returns a counter that increases whenever a worker's available capacity increases. Callers
    /// use it to skip passes that would decide nothing.
    pub const fn gains(&self) -> u64 {
        self.gains
    }

    /// Returns the workers, sorted by name.
    pub fn workers(&self) -> impl Iterator<Item = (Handle, &Worker)> {
        self.names.iter().map(|&handle| (handle, &self.slots[handle as usize].worker))
    }

    /// Returns whether `needs` fit the total capacity of some worker, whatever is in use there.
    pub fn could_hold(&self, needs: &Capacity) -> bool {
        self.workers().any(|(_, worker)| worker.capacity.holds(needs))
    }

    /// Returns the index of a worker's failure domain, as passed to the `crowd` function of
    /// [`Self::find`].
    pub fn domain(&self, handle: Handle) -> usize {
        self.slots[handle as usize].domain
    }

    /// Returns the index of a worker's rack, as passed to the `crowd` function of [`Self::find`].
    pub fn rack(&self, handle: Handle) -> u32 {
        self.slots[handle as usize].rack
    }

    /// Claims capacity for a task.
    pub fn claim(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| {
            slot.claims.push(Claim { needs: *needs, granted: None });
            slot.tasks += 1;
        });
    }

    /// Marks a claim as granted by the controller at `now`.
    pub fn grant(&mut self, handle: Handle, needs: &Capacity, now: Millis) {
        let claims = &mut self.slots[handle as usize].claims;
        if let Some(claim) = claims.iter_mut().find(|c| c.granted.is_none() && c.needs == *needs) {
            claim.granted = Some(now);
        }
    }

    /// Counts a task that is already running, such as one placed before this steward started.
    pub fn occupy(&mut self, handle: Handle) {
        self.slots[handle as usize].tasks += 1;
    }

    /// Withdraws a claim that the controller refused. The worker has less free capacity than last
    /// reported, so `needs` are deducted from it until the next report.
    pub fn refuse(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| {
            slot.drop_claim(needs);
            slot.reported = slot.reported.saturating_sub(needs);
            slot.tasks = slot.tasks.saturating_sub(1);
        });
        self.vacate(handle);
    }

    /// Withdraws a claim that was never sent to the controller or was released there.
    pub fn release(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| {
            slot.drop_claim(needs);
            slot.tasks = slot.tasks.saturating_sub(1);
        });
        self.vacate(handle);
    }

    /// Frees the capacity of a task that ended at `now`, unless a report already includes its end.
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

    /// Holds capacity for a reservation, so that other tasks can't claim it.
    pub fn hold(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| slot.held = slot.held.plus(needs));
    }

    /// Releases capacity held by [`Self::hold`].
    pub fn unhold(&mut self, handle: Handle, needs: &Capacity) {
        self.update(handle, |slot| slot.held = slot.held.saturating_sub(needs));
    }

    /// Returns the worker with the lowest cost for `request`, or `None` if no candidate has enough
    /// available capacity.
    ///
    /// `crowd` returns the number of tasks of the same job in a failure domain and in a rack, given
    /// their indexes.
    pub fn find(
        &mut self,
        request: &PlacementRequest,
        home: Option<&Place>,
        weights: &Weights,
        crowd: &dyn Fn(usize, u32) -> (u32, u32),
    ) -> Option<Handle> {
        if self.unplaceable.iter().any(|smaller| request.needs.holds(smaller)) {
            return None;
        }
        let mut best: Option<(u64, Handle)> = None;
        for (d, domain) in self.domains.iter().enumerate() {
            let remote = home.is_some_and(|home| !home.same_region(&domain.place));
            domain.index.candidates(&request.needs, |handle, free| {
                let slot = &self.slots[handle as usize];
                let (in_domain, in_rack) =
                    if request.spread { crowd(d, slot.rack) } else { (0, 0) };
                let site =
                    WorkerSite { capacity: slot.worker.capacity, remote, in_domain, in_rack };
                let avoided = u64::from(request.avoid == Some(handle)) * AVOIDED_COST;
                let jitter = jitter(self.salt, handle) * u64::from(weights.waiting);
                let cost = cost(request, free, &site, weights) + jitter + avoided;
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, handle));
                }
            });
        }
        if best.is_none() && self.unplaceable.len() < MAX_UNPLACEABLE {
            self.unplaceable.push(request.needs);
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
            removed: true,
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

    /// Changes a slot, then updates its available capacity, the totals and the index.
    fn update(&mut self, handle: Handle, change: impl FnOnce(&mut Slot)) {
        let slot = &mut self.slots[handle as usize];
        let (before, was_usable) = (slot.available, slot.is_usable());
        let (was_present, capacity) = (slot.is_present(), slot.worker.capacity);
        change(slot);
        slot.available = slot.unclaimed(&slot.held);
        let (after, usable, domain) = (slot.available, slot.is_usable(), slot.domain);
        if was_present {
            self.total = self.total.saturating_sub(&capacity);
        }
        if slot.is_present() {
            self.total = self.total.plus(&slot.worker.capacity);
            self.largest = self.largest.greatest(&slot.worker.capacity);
        }
        if was_usable {
            self.available = self.available.saturating_sub(&before);
        }
        if usable {
            self.available = self.available.plus(&after);
        }
        if usable && !(was_usable && before.holds(&after)) {
            self.gains += 1;
            self.unplaceable.clear();
        }
        if was_usable != usable || before != after {
            if let Some(spot) = slot.spot.take()
                && let Some(moved) = self.domains[domain].index.remove(spot)
            {
                self.slots[moved as usize].spot = Some(spot);
            }
            if usable {
                let spot = self.domains[domain].index.insert(handle, &after);
                self.slots[handle as usize].spot = Some(spot);
            }
        }
    }

    /// Frees the slot of a removed worker once none of this steward's tasks or holds refers to it.
    fn vacate(&mut self, handle: Handle) {
        let slot = &self.slots[handle as usize];
        if slot.removed
            && slot.tasks == 0
            && slot.held == Capacity::ZERO
            && let Ok(i) = self.position(slot.worker.name.as_str())
        {
            self.names.remove(i);
            self.vacant.push(handle);
        }
    }
}

/// Returns a cost offset for a worker, below [`MAX_JITTER_COST`], that differs between stewards.
const fn jitter(salt: u64, handle: Handle) -> u64 {
    if salt == 0 {
        return 0;
    }
    let mixed = (salt ^ handle as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 32) % MAX_JITTER_COST
}

impl Slot {
    /// Returns whether the worker is known and not leaving.
    const fn is_present(&self) -> bool {
        !self.leaving && !self.removed
    }

    /// Returns whether ordinary work may be placed on the worker.
    const fn is_usable(&self) -> bool {
        self.is_present() && !self.quarantined
    }

    /// Returns the reported capacity less all claims and `held`.
    fn unclaimed(&self, held: &Capacity) -> Capacity {
        let claimed = self.claims.iter().fold(*held, |sum, c| sum.plus(&c.needs));
        self.reported.saturating_sub(&claimed)
    }

    /// Removes a claim of `needs`. Returns whether there was one.
    fn drop_claim(&mut self, needs: &Capacity) -> bool {
        let found = self.claims.iter().position(|c| c.needs == *needs);
        found.map(|i| self.claims.swap_remove(i)).is_some()
    }
}

#[cfg(test)]
mod tests;
