//! Size and time-out of reads that fit what a link carries.
//!
//! A read that is too large for its time-out never completes, and each repetition uses up the link
//! for nothing. Reads therefore begin small, grow while they are quick, and shrink after a time-out.

use crate::clock::Millis;

#[cfg(test)]
mod tests;

/// Size of the first read, in kilobytes.
const FIRST_KB: u32 = 64;
/// Minimum size of a read, in kilobytes.
const MIN_KB: u32 = 32;
/// Maximum size of a read, in kilobytes.
const MAX_KB: u32 = 1024;
/// A full read that took at most this long is followed by one of twice the size.
const QUICK: Millis = Millis(300);
/// Minimum time-out of a read.
const MIN_TIMEOUT: Millis = Millis(1000);
/// Maximum time-out of a read: a lost response must be noticed.
const MAX_TIMEOUT: Millis = Millis(3000);
/// Time-out as a multiple of the duration of the last read.
const TIMEOUT_FACTOR: u64 = 3;

/// Size and time-out of the next read over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadSize {
    kb: u32,
    timeout: Millis,
}

impl Default for ReadSize {
    fn default() -> Self {
        Self { kb: FIRST_KB, timeout: MIN_TIMEOUT }
    }
}

impl ReadSize {
    /// Returns the size of the next read, in kilobytes.
    pub const fn kilobytes(&self) -> u32 {
        self.kb
    }

    /// Returns the time-out of the next read.
    pub const fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Records a read that returned `bytes`. Only a read of at least half the size allows a larger
    /// one, since others don't tell how long a full one takes.
    pub fn completed(&mut self, bytes: usize, took: Millis) {
        self.timeout = took.times(TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
        let is_full = u64::try_from(bytes).unwrap_or(u64::MAX) >= u64::from(self.kb) * 1024 / 2;
        if is_full && took <= QUICK {
            self.enlarge();
        }
    }

    /// Doubles the size, for a record that does not fit. Returns whether it was below the maximum.
    pub fn enlarge(&mut self) -> bool {
        let before = self.kb;
        self.kb = MAX_KB.min(before * 2);
        self.kb > before
    }

    /// Records a read that got no response in time.
    pub fn timed_out(&mut self) {
        self.kb = MIN_KB.max(self.kb / 2);
        self.timeout = MAX_TIMEOUT.min(self.timeout + MIN_TIMEOUT);
    }
}
