//! The simulated execution of one attempt.

use super::workload::Workload;
use pimentovalve_core::clock::Millis;
use pimentovalve_core::contract::task;
use pimentovalve_core::machine::capacity::Capacity;
use pimentovalve_core::machine::worker::Ending;

/// Speed of a worker without faults, and the throttle of an attempt without limit, in percent.
pub const FULL_SPEED_PERCENT: u8 = 100;

/// A running attempt. All times are on the worker's own clock, which may be skewed.
#[derive(Clone, Debug)]
pub struct Run {
    /// Task to which the attempt belongs.
    pub task: task::Id,
    /// Number of the attempt; [`Workload::fail_first`] compares with it.
    pub attempt: task::Attempt,
    /// Resources that the attempt reserves on the worker.
    pub needs: Capacity,
    /// Simulated workload of the task.
    pub workload: Workload,
    /// Progress at `progress_at`, as run time at full speed.
    pub progress: Millis,
    /// Time at which `progress` was computed.
    pub progress_at: Millis,
    /// Throttle set by the controller, in percent of full speed.
    pub throttle: u8,
    /// Speed of the worker, in percent of full speed.
    pub speed: u8,
    /// Time of the next usage sample; `None` if usage hasn't changed since the last one.
    pub sample_at: Option<Millis>,
}

impl Run {
    /// Returns throttle times speed; full speed is the square of [`FULL_SPEED_PERCENT`].
    fn rate(&self) -> u64 {
        u64::from(self.throttle) * u64::from(self.speed)
    }

    /// Updates `progress` to `now`.
    pub fn advance(&mut self, now: Millis) {
        let full = u64::from(FULL_SPEED_PERCENT) * u64::from(FULL_SPEED_PERCENT);
        self.progress =
            self.progress + Millis(now.since(self.progress_at).times(self.rate()).get() / full);
        self.progress_at = now;
    }

    /// Returns when the run time is used up at the current rate, or `None` if it never is.
    pub fn end(&self) -> Option<Millis> {
        let left = self.workload.run_ms?.since(self.progress);
        let full = u64::from(FULL_SPEED_PERCENT) * u64::from(FULL_SPEED_PERCENT);
        let rate = self.rate();
        if rate == 0 && left > Millis::ZERO {
            return None;
        }
        Some(self.progress_at + Millis(left.times(full).get().div_ceil(rate.max(1))))
    }

    /// Returns how the attempt ends once its run time is used up.
    pub fn ending(&self) -> Ending {
        match &self.workload.fail {
            Some(reason) => Ending::Failed(reason.clone()),
            None if self.attempt <= self.workload.fail_first => {
                Ending::Failed(format!("attempt {} fails", self.attempt))
            }
            None => Ending::Completed(self.workload.result.clone()),
        }
    }

    /// Returns the actual usage of the attempt; throttling scales its CPU share.
    pub fn usage(&self) -> Capacity {
        let cpu = self.workload.use_cpu.unwrap_or(self.needs.cpu_milli);
        let memory = self.workload.use_memory.unwrap_or(self.needs.memory_mib);
        let cpu = cpu.saturating_mul(u64::from(self.throttle)) / u64::from(FULL_SPEED_PERCENT);
        Capacity::new(cpu, memory, self.needs.accelerators)
    }
}
