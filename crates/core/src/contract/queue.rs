//! The queue: waiting work by urgency class and team, taken in weighted fair order.
//!
//! Each class has a lane, each team with waiting work in it a [`Flow`] with a tag. The flow
//! with the least tag is served next, and its tag rises by the cost of what was placed, divided
//! by the team's weight (start-time fair queueing). A flow that becomes busy starts at the tag
//! that was served last, so that idle time is not saved up. Within a flow the order is that of
//! arrival.

use crate::clock::Millis;
use crate::contract::class::Class;
use crate::contract::table::Number;
use std::collections::VecDeque;

/// Index that stands for all tasks of a gang.
pub const ALL_TASKS: u32 = u32::MAX;

/// What is placed at once: one task, or all tasks of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unit {
    /// The job.
    pub job: Number,
    /// The task, or [`ALL_TASKS`].
    pub index: u32,
    /// When it began to wait.
    pub since: Millis,
}

/// The waiting work of one team in one class.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Number of the team.
    pub team: u16,
    /// Cost that was served so far, per weight.
    tag: u64,
    /// In the order in which they are served.
    units: VecDeque<Unit>,
    /// Number of the pass in which the flow was found blocked.
    blocked: u64,
}

impl Flow {
    /// Returns the waiting units, first to be served first.
    pub const fn units(&self) -> &VecDeque<Unit> {
        &self.units
    }
}

/// The waiting work of one class.
#[derive(Clone, Debug, Default)]
struct Lane {
    /// Sorted by team.
    flows: Vec<Flow>,
    /// Tag of the flow that was served last.
    served: u64,
}

/// All waiting work.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    lanes: [Lane; Class::ALL.len()],
    pass: u64,
}

impl Queue {
    /// Adds a unit at the end of its flow, or at the front when it has waited its turn before.
    pub fn push(&mut self, class: Class, team: u16, unit: Unit, front: bool) {
        let lane = &mut self.lanes[class.index()];
        let served = lane.served;
        let i = lane.position_or_insert(team);
        let flow = &mut lane.flows[i];
        if flow.units.is_empty() {
            flow.tag = flow.tag.max(served);
        }
        if front {
            flow.units.push_front(unit);
        } else {
            flow.units.push_back(unit);
        }
    }

    /// Begins a pass, in which every flow is looked at again.
    pub fn begin(&mut self) {
        self.pass += 1;
    }

    /// Returns the flow that is to be served next in a class: not empty, not blocked in this
    /// pass, of a team for which `first` is true if there is one, with the least tag.
    pub fn next(&self, class: Class, first: impl Fn(u16) -> bool) -> Option<&Flow> {
        let flows = self.lanes[class.index()].flows.iter();
        flows
            .filter(|f| !f.units.is_empty() && f.blocked != self.pass)
            .min_by_key(|f| (!first(f.team), f.tag))
    }

    /// Leaves a flow out for the rest of this pass.
    pub fn block(&mut self, class: Class, team: u16) {
        let pass = self.pass;
        if let Some(flow) = self.lanes[class.index()].flow_mut(team) {
            flow.blocked = pass;
        }
    }

    /// Returns the unit at `position` of a flow.
    pub fn unit(&self, class: Class, team: u16, position: usize) -> Option<Unit> {
        let flows = &self.lanes[class.index()].flows;
        let found = flows.binary_search_by_key(&team, |f| f.team);
        found.ok().and_then(|i| flows[i].units.get(position).copied())
    }

    /// Takes the unit at `position` out of a flow.
    pub fn remove(&mut self, class: Class, team: u16, position: usize) -> Option<Unit> {
        self.lanes[class.index()].flow_mut(team).and_then(|f| f.units.remove(position))
    }

    /// Charges a flow with the cost of a unit that was placed.
    pub fn charge(&mut self, class: Class, team: u16, cost: u64, weight: u32) {
        let lane = &mut self.lanes[class.index()];
        let mut served = lane.served;
        if let Some(flow) = lane.flow_mut(team) {
            served = served.max(flow.tag);
            flow.tag = flow.tag.saturating_add(cost / u64::from(weight.max(1)));
        }
        lane.served = served;
    }

    /// Corrects a charge once the true cost is known.
    pub fn settle(&mut self, class: Class, team: u16, charged: u64, cost: u64, weight: u32) {
        let weight = u64::from(weight.max(1));
        if let Some(flow) = self.lanes[class.index()].flow_mut(team) {
            flow.tag = (flow.tag + cost / weight).saturating_sub(charged / weight);
        }
    }

    /// Drops the units of a class for which `keep` is false.
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
            let flow = Flow { team, tag: self.served, units: VecDeque::new(), blocked: u64::MAX };
            self.flows.insert(i, flow);
            i
        })
    }
}

#[cfg(test)]
mod tests;
