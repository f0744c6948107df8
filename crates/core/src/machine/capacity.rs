//! Amounts of machine resources: capacities, needs and usage.

use crate::finding::List;
use serde::{Deserialize, Serialize};
use std::fmt;

/// An amount of each resource.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl Capacity {
    /// Zero of each resource.
    pub const ZERO: Self = Self { cpu_milli: 0, memory_mib: 0, accelerators: 0 };

    /// Returns an amount of `cpu_milli` thousandths of a core, `memory_mib` mebibytes and
    /// `accelerators` accelerators.
    pub const fn new(cpu_milli: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self { cpu_milli, memory_mib, accelerators }
    }

    /// Returns whether `need` is at most this amount in every resource.
    pub const fn holds(&self, need: &Self) -> bool {
        need.cpu_milli <= self.cpu_milli
            && need.memory_mib <= self.memory_mib
            && need.accelerators <= self.accelerators
    }

    /// Returns this amount less `need`, or `None` if `need` doesn't fit.
    pub const fn checked_sub(&self, need: &Self) -> Option<Self> {
        if self.holds(need) { Some(self.saturating_sub(need)) } else { None }
    }

    /// Returns this amount less `need`, clamped to zero in each resource.
    pub const fn saturating_sub(&self, need: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(need.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(need.memory_mib),
            accelerators: self.accelerators.saturating_sub(need.accelerators),
        }
    }

    /// Returns the sum, saturating.
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns how many times `need` fits in this amount; `u64::MAX` if `need` is zero.
    pub fn times_held(&self, need: &Self) -> u64 {
        let times = |amount: u64, need: u64| amount.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu_milli, need.cpu_milli)
            .min(times(self.memory_mib, need.memory_mib))
            .min(times(self.accelerators, need.accelerators))
    }

    /// Returns the smaller amount of each resource.
    pub fn least(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.min(other.cpu_milli),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns the greater amount of each resource.
    pub fn greatest(&self, other: &Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns `percent` hundredths of the amount, saturating, rounded down.
    pub const fn percent(&self, percent: u64) -> Self {
        self.fraction(percent, 100)
    }

    /// Returns the amount times `part`, divided by `whole`, saturating, rounded down; the amount
    /// itself for a `whole` of zero.
    pub const fn fraction(&self, part: u64, whole: u64) -> Self {
        if whole == 0 {
            return *self;
        }
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(part) / whole,
            memory_mib: self.memory_mib.saturating_mul(part) / whole,
            accelerators: self.accelerators.saturating_mul(part) / whole,
        }
    }

    /// Returns the dominant share: the largest fraction of `whole` in any resource, in millionths.
    pub fn dominant(&self, whole: &Self) -> u64 {
        let part = |amount: u64, whole: u64| {
            amount.saturating_mul(1_000_000).checked_div(whole).unwrap_or(0)
        };
        part(self.cpu_milli, whole.cpu_milli)
            .max(part(self.memory_mib, whole.memory_mib))
            .max(part(self.accelerators, whole.accelerators))
    }

    /// Returns the amount multiplied by `count`, saturating.
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Checks that processor time and memory are not zero.
    ///
    /// # Errors
    ///
    /// Returns a finding for each resource that is zero.
    pub fn check(&self) -> Result<(), List> {
        let mut findings = List::new();
        if self.cpu_milli == 0 {
            findings.note("cpu_milli", "must be at least 1 thousandth of a core");
        }
        if self.memory_mib == 0 {
            findings.note("memory_mib", "must be at least 1 MiB");
        }
        findings.into_result()
    }
}

impl fmt::Display for Capacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { cpu_milli, memory_mib, accelerators } = self;
        write!(f, "{cpu_milli} mcpu, {memory_mib} MiB, {accelerators} accelerators")
    }
}
