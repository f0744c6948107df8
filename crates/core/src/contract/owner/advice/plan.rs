//! Size of a round of queries about one step: how many workers it names, and over how many queries
//! they are spread.
//!
//! Naming one more worker lengthens the answer by [`AdvisorTiming::worker_us`]. Naming too few
//! costs another round: the base time of the advisor, and the way there and back.

use super::MAX_NAMED;
use crate::clock::Millis;
use crate::contract::work::AdvisorTiming;

#[cfg(test)]
mod tests;

/// Time that another round costs a step in addition to the advisor's base time: one round trip
/// between regions, and a placement pass.
const ROUND_OVERHEAD: Millis = Millis(80);
/// Percentage of the allowed workers that still have room when the answer arrives.
const STILL_FREE_PERCENT: f64 = 80.0;
/// Idle daemons for each query that a round sends in addition to the first, so that a round leaves
/// most of them to other steps.
const IDLE_PER_QUERY: usize = 12;
/// Part of the advisor's base time that another query must save a round, as a divisor.
const MIN_SAVING_DIVISOR: u64 = 8;

/// The load that the advisor takes for a queue's steps, as far as it is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(in crate::contract::owner) struct Plan {
    /// Response times of the advisor.
    pub(in crate::contract::owner) timing: AdvisorTiming,
    /// Share of the named workers that the advisor allows, in thousandths.
    pub(in crate::contract::owner) share: u64,
    /// Number of daemons that no query is in flight through.
    pub(in crate::contract::owner) idle: usize,
}

impl Plan {
    /// Returns how many workers to name for a step that needs `needed` of them: the number at which
    /// naming one more costs as much as it saves on average by avoiding another round.
    #[expect(clippy::cast_precision_loss, reason = "numbers of workers and microseconds are small")]
    pub(in crate::contract::owner) fn named(&self, needed: usize) -> usize {
        let most = MAX_NAMED * (1 + self.idle / IDLE_PER_QUERY);
        if needed == 0 || needed >= most {
            return needed.min(most);
        }
        let usable = self.share as f64 / 1000.0 * STILL_FREE_PERCENT / 100.0;
        let round_us = self.timing.answer_us + ROUND_OVERHEAD.get() * 1000;
        let price = self.timing.worker_us as f64 / round_us as f64;
        // Logarithm of the probability that of `named` workers `needed - 1` are usable, so that one
        // more usable worker avoids another round.
        let (hit, miss) = (usable.ln(), (1.0 - usable).max(f64::MIN_POSITIVE).ln());
        let mut named = needed;
        let mut one_short = (needed as f64).ln() + (needed - 1) as f64 * hit + miss;
        while named < most {
            let is_past_peak = named as f64 * usable >= (needed - 1) as f64;
            if is_past_peak && usable * one_short.exp() <= price {
                break;
            }
            named += 1;
            one_short += (named as f64 / (named - (needed - 1)) as f64).ln() + miss;
        }
        named
    }

    /// Returns the time that the advisor takes for a round that names `named` workers.
    pub(in crate::contract::owner) fn response_time(&self, named: usize) -> Millis {
        let each = u64::try_from(named.div_ceil(self.queries(named))).unwrap_or(u64::MAX);
        let naming = self.timing.worker_us.saturating_mul(each);
        Millis(self.timing.answer_us.saturating_add(naming) / 1000) + ROUND_OVERHEAD
    }

    /// Returns over how many queries to spread `named` workers.
    pub(in crate::contract::owner) fn queries(&self, named: usize) -> usize {
        let least = named.div_ceil(MAX_NAMED).max(1);
        let most = least.max(1 + self.idle / IDLE_PER_QUERY);
        let naming = self.timing.worker_us.saturating_mul(u64::try_from(named).unwrap_or(u64::MAX));
        let is_worth = |queries: &usize| {
            let queries = u64::try_from(*queries).unwrap_or(u64::MAX);
            let saving = naming / queries.saturating_mul(queries + 1);
            saving > 0 && saving >= self.timing.answer_us / MIN_SAVING_DIVISOR
        };
        (least..most).take_while(is_worth).last().map_or(least, |queries| queries + 1)
    }
}
