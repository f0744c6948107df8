//! One running attempt on virtual work.

use super::plan::Plan;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::Ending;

/// Full speed, in percent.
pub const FULL: u8 = 100;

/// A running attempt. Its instants are the worker's own clock.
#[derive(Clone, Debug)]
pub struct Run {
    /// The task.
    pub task: task::Id,
    /// Its attempt.
    pub attempt: task::Attempt,
    /// What it takes.
    pub needs: Capacity,
    /// What it does.
    pub plan: Plan,
    /// How far it had come at `since`, in run time at full speed.
    pub done: Millis,
    /// When `done` was true.
    pub since: Millis,
    /// Percentage of full speed that orders leave it.
    pub throttle: u8,
    /// Percentage of full speed that the worker has.
    pub speed: u8,
    /// When its usage is sampled next, if it changed since the last sample.
    pub sample_at: Option<Millis>,
}

impl Run {
    fn rate(&self) -> u64 {
        u64::from(self.throttle) * u64::from(self.speed)
    }

    /// Takes in the progress up to `now`.
    pub fn advance(&mut self, now: Millis) {
        let full = u64::from(FULL) * u64::from(FULL);
        self.done = self.done + Millis(now.since(self.since).times(self.rate()).get() / full);
        self.since = now;
    }

    /// Returns when the work is done, `None` if it never is.
    pub fn end(&self) -> Option<Millis> {
        let left = self.plan.run_ms?.since(self.done);
        let full = u64::from(FULL) * u64::from(FULL);
        let rate = self.rate();
        if rate == 0 && left > Millis::ZERO {
            return None;
        }
        Some(self.since + Millis(left.times(full).get().div_ceil(rate.max(1))))
    }

    /// Returns how the attempt ends when its work is done.
    pub fn ending(&self) -> Ending {
        match &self.plan.fail {
            Some(reason) => Ending::Failed(reason.clone()),
            None if self.attempt <= self.plan.fail_first => {
                Ending::Failed(format!("attempt {} fails", self.attempt))
            }
            None => Ending::Completed(self.plan.result.clone()),
        }
    }

    /// Returns what the attempt really uses.
    pub fn usage(&self) -> Capacity {
        let cpu = self.plan.use_cpu.unwrap_or(self.needs.cpu_milli);
        let memory = self.plan.use_memory.unwrap_or(self.needs.memory_mib);
        let cpu = cpu.saturating_mul(u64::from(self.throttle)) / u64::from(FULL);
        Capacity::new(cpu, memory, self.needs.accelerators)
    }
}
