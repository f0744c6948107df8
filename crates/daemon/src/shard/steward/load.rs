//! Load of the owner, logged at a fixed interval: how much of its time goes to placement passes and
//! how much to events, and the sizes on which both depend.

use super::State;
use crate::shard::view;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::owner::Effort;
use std::time::{Duration, Instant};

/// Interval between two log lines.
const LOG_INTERVAL: Millis = Millis::from_secs(1);

/// Work of the owner since the last log line.
#[derive(Debug, Default)]
pub(super) struct Load {
    logged_at: Millis,
    events: u64,
    passes: u64,
    /// Turns of the steward without placement, since the list of workers was too old.
    held_passes: u64,
    /// Time spent in the steward, placement passes included.
    busy: Duration,
    placing: Duration,
    longest_pass: Duration,
    /// Work of the present owner up to the last log line.
    effort: Effort,
}

impl Load {
    /// Adds a batch of events and the scheduling that followed it.
    pub(super) fn add_work(&mut self, events: u64, began: Instant) {
        self.events += events;
        self.busy += began.elapsed();
    }

    /// Adds a turn in which the list of workers was too old for a placement pass.
    pub(super) const fn add_held_pass(&mut self) {
        self.held_passes += 1;
    }

    /// Adds a placement pass.
    pub(super) fn add_pass(&mut self, began: Instant) {
        let took = began.elapsed();
        self.passes += 1;
        self.placing += took;
        self.longest_pass = self.longest_pass.max(took);
    }
}

impl State {
    /// Logs the load of the owner if a line is due, and starts the next interval. Does nothing while
    /// another daemon owns the shard.
    pub(super) fn log_load(&mut self) {
        let now = view::now();
        let over = now.since(self.load.logged_at);
        let Some(tenure) = self.tenure.as_ref().filter(|_| over >= LOG_INTERVAL) else { return };
        self.leftover = tenure.owner.leftover(&self.replica, now);
        let effort = tenure.owner.effort();
        let usage = tenure.owner.usage();
        let speeds = tenure.owner.speeds(now);
        let percent = |part: u64| (part * 100).checked_div(usage.total).unwrap_or_default();
        let next = Load { logged_at: now, effort, ..Load::default() };
        let Load {
            events, passes, held_passes, busy, placing, longest_pass, effort: before, ..
        } = std::mem::replace(&mut self.load, next);
        let (unbegun, [advised_ms, decided_ms, recorded_ms, begun_ms]) = self.stages.take_medians();
        tracing::info!(
            epoch = tenure.epoch,
            unbegun,
            advised_ms,
            decided_ms,
            recorded_ms,
            begun_ms,
            "stages of starts"
        );
        tracing::info!(
            epoch = tenure.epoch,
            over_ms = over.get(),
            events,
            busy_ms = Millis::from(busy).get(),
            passes,
            held_passes,
            placing_ms = Millis::from(placing).get(),
            longest_pass_ms = Millis::from(longest_pass).get(),
            steps_examined = effort.steps.saturating_sub(before.steps),
            hosts_examined = effort.hosts.saturating_sub(before.hosts),
            runs_examined = effort.runs.saturating_sub(before.runs),
            overtaking = effort.overtaking.saturating_sub(before.overtaking),
            over_quota = effort.over_quota.saturating_sub(before.over_quota),
            beyond_rate = tenure.owner.beyond_count(),
            open_steps = self.replica.open().len(),
            runs = tenure.owner.run_count(),
            workers = tenure.owner.hosts().len(),
            used_percent = percent(usage.used),
            held_percent = percent(usage.held),
            fastest_percent = speeds.fastest_percent,
            slowest_percent = speeds.slowest_percent,
            slowed = speeds.slowed,
            failing = speeds.failing,
            "owner load"
        );
    }
}
