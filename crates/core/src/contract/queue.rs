//! Queue of waiting work by urgency class and team, with weighted fair queueing between teams.
//!
//! Each class has a lane, and each team that has had work in the class a [`Flow`] with a tag. The
//! flow with the smallest tag is served next, and its tag rises by the cost of the placed work
//! divided by the team's weight (start-time fair queueing). When a flow becomes busy, its tag is
//! raised to the tag that was served last, so that a team can't accumulate credit while idle.
//! Within a flow, units are served in the order of arrival.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::table::Number;
use std::collections::VecDeque;

/// Task index of a [`Unit`] that stands for all waiting tasks of a gang.
pub const ALL_TASKS: u32 = u32::MAX;

/// Unit of placement: one task, or all waiting tasks of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// Number of the job.
    pub job: Number,
    /// Index of the task, or [`ALL_TASKS`].
    pub index: u32,
    /// When the unit began to wait.
    pub since: Millis,
}

/// The waiting work of one team in one class.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Number of the team.
    pub team: u16,
    /// Virtual start time: the cost of the work served so far, divided by the weight.
    tag: u64,
    /// Waiting units in the order in which they are served.
    units: VecDeque<Unit>,
    /// Number of the last pass in which the flow was blocked.
    blocked_in_pass: u64,
}

impl Flow {
    /// Returns the waiting units in the order in which they are served.
    pub const fn units(&self) -> &VecDeque<Unit> {
        &self.units
    }
}

/// The waiting work of one class.
#[derive(Clone, Debug, Default)]
struct Lane {
    /// Sorted by team.
    flows: Vec<Flow>,
    /// Largest tag of a flow at the time it was served (the virtual time).
    served_tag: u64,
}

/// All waiting work of a scheduler.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: [Lane; Class::ALL.len()],
    pass: u64,
}

impl Queue {
    /// Adds a unit at the end of its flow, or at the front if `front` is set.
    pub fn push(&mut self, class: Class, team: u16, unit: Unit, front: bool) {
        let lane = &mut self.lanes[class.index()];
        let served_tag = lane.served_tag;
        let i = lane.position_or_insert(team);
        let flow = &mut lane.flows[i];
        if flow.units.is_empty() {
            flow.tag = flow.tag.max(served_tag);
        }
        if front {
            flow.units.push_front(unit);
        } else {
            flow.units.push_back(unit);
        }
    }

    /// Begins a new pass, which unblocks all flows.
    pub fn begin(&mut self) {
        self.pass += 1;
    }

    /// Returns the flow of a class to serve next: of the flows that are neither empty nor blocked
    /// in this pass, the one with the smallest tag. Teams for which `first` returns true go before
    /// all others.
    pub fn next(&self, class: Class, first: impl Fn(u16) -> bool) -> Option<&Flow> {
        let flows = self.lanes[class.index()].flows.iter();
        flows
            .filter(|f| !f.units.is_empty() && f.blocked_in_pass != self.pass)
            .min_by_key(|f| (!first(f.team), f.tag))
    }

    /// Excludes a flow for the rest of this pass.
    pub fn block(&mut self, class: Class, team: u16) {
        let pass = self.pass;
        if let Some(flow) = self.lanes[class.index()].flow_mut(team) {
            flow.blocked_in_pass = pass;
        }
    }

    /// Returns the unit at `position` of a flow.
    pub fn unit(&self, class: Class, team: u16, position: usize) -> Option<Unit> {
        let flows = &self.lanes[class.index()].flows;
        let found = flows.binary_search_by_key(&team, |f| f.team);
        found.ok().and_then(|i| flows[i].units.get(position).copied())
    }

    /// Removes and returns the unit at `position` of a flow.
    pub fn remove(&mut self, class: Class, team: u16, position: usize) -> Option<Unit> {
        self.lanes[class.index()].flow_mut(team).and_then(|f| f.units.remove(position))
    }

    /// Raises the tag of a flow by the expected cost of a placed unit.
    pub fn charge(&mut self, class: Class, team: u16, cost: u64, weight: u32) {
        let lane = &mut self.lanes[class.index()];
        let mut served_tag = lane.served_tag;
        if let Some(flow) = lane.flow_mut(team) {
            served_tag = served_tag.max(flow.tag);
            flow.tag = flow.tag.saturating_add(cost / u64::from(weight.max(1)));
        }
        lane.served_tag = served_tag;
    }

    /// Replaces the charge for a unit by its actual cost.
    pub fn settle(&mut self, class: Class, team: u16, charged: u64, cost: u64, weight: u32) {
        let weight = u64::from(weight.max(1));
        if let Some(flow) = self.lanes[class.index()].flow_mut(team) {
            flow.tag = (flow.tag + cost / weight).saturating_sub(charged / weight);
        }
    }

    /// Removes the units of all classes for which `keep` returns false.
    pub fn retain(&mut self, mut keep: impl FnMut(&Unit) -> bool) {
        for flow in self.lanes.iter_mut().flat_map(|lane| &mut lane.flows) {
            flow.units.retain(&mut keep);
        }
    }

    /// Returns whether a class has no waiting unit.
    pub fn is_empty(&self, class: Class) -> bool {
        self.lanes[class.index()].flows.iter().all(|f| f.units.is_empty())
    }
}

impl Lane {
    fn flow_mut(&mut self, team: u16) -> Option<&mut Flow> {
        let found = self.flows.binary_search_by_key(&team, |f| f.team);
        found.ok().map(|i| &mut self.flows[i])
    }

    fn position_or_insert(&mut self, team: u16) -> usize {
        let found = self.flows.binary_search_by_key(&team, |f| f.team);
        found.unwrap_or_else(|i| {
            let flow = Flow {
                team,
                tag: self.served_tag,
                units: VecDeque::new(),
                blocked_in_pass: u64::MAX,
            };
            self.flows.insert(i, flow);
            i
        })
    }
}

#[cfg(test)]
mod tests;
