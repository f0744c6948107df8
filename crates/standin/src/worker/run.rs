//! One running attempt on virtual work.

use super::workload::Workload;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::Ending;

/// Full speed, in percent.
pub const FULL_SPEED_PERCENT: u8 = 100;

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
    pub workload: Workload,
    /// How far it had come at `since`, in run time at full speed.
    pub progress: Millis,
    /// When `progress` was true.
    pub progress_at: Millis,
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
        let full = u64::from(FULL_SPEED_PERCENT) * u64::from(FULL_SPEED_PERCENT);
        self.progress =
            self.progress + Millis(now.since(self.progress_at).times(self.rate()).get() / full);
        self.progress_at = now;
    }

    /// Returns when the work is progress, `None` if it never is.
    pub fn end(&self) -> Option<Millis> {
        let left = self.workload.run_ms?.since(self.progress);
        let full = u64::from(FULL_SPEED_PERCENT) * u64::from(FULL_SPEED_PERCENT);
        let rate = self.rate();
        if rate == 0 && left > Millis::ZERO {
            return None;
        }
        Some(self.progress_at + Millis(left.times(full).get().div_ceil(rate.max(1))))
    }

    /// Returns how the attempt ends when its work is progress.
    pub fn ending(&self) -> Ending {
        match &self.workload.fail {
            Some(reason) => Ending::Failed(reason.clone()),
            None if self.attempt <= self.workload.fail_first => {
                Ending::Failed(format!("attempt {} fails", self.attempt))
            }
            None => Ending::Completed(self.workload.result.clone()),
        }
    }

    /// Returns what the attempt really uses.
    pub fn usage(&self) -> Capacity {
        let cpu = self.workload.use_cpu.unwrap_or(self.needs.cpu_milli);
        let memory = self.workload.use_memory.unwrap_or(self.needs.memory_mib);
        let cpu = cpu.saturating_mul(u64::from(self.throttle)) / u64::from(FULL_SPEED_PERCENT);
        Capacity::new(cpu, memory, self.needs.accelerators)
    }
}
