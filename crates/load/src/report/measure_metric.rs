use strum::{Display, EnumIter, EnumString};

use crate::MeasureSummary;

/// A measure that is compared between policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum MeasureMetric {
    /// Sum of the stall times in seconds.
    StallTotal,
    /// Stall time of quick calls in seconds.
    StallQuick,
    /// Stall time of long calls in seconds.
    StallLong,
    /// Preemptions for each thousand requests.
    Preemptions,
    /// 99th percentile of the gap between tokens of quick calls in milliseconds.
    QuickGapP99,
    /// 99.9th percentile of the gap between tokens of quick calls in milliseconds.
    QuickGapP999,
    /// 99th percentile of the gap between tokens of long calls in milliseconds.
    LongGapP99,
    /// 99th percentile of the time to first token of quick calls in milliseconds.
    QuickFirstP99,
    /// 99th percentile of the time to the whole answer of long calls in seconds.
    LongCompletionP99,
    /// Tokens of complete answers each second.
    Goodput,
    /// Refused calls for each thousand.
    Refusals,
}

impl MeasureMetric {
    /// Value of this measure; `None` if it was not counted.
    pub fn value(self, measures: &MeasureSummary) -> Option<f64> {
        let requests = (measures.quick.requests + measures.long.requests).max(1) as f64;
        Some(match self {
            Self::StallTotal => measures.stall_total_s,
            Self::StallQuick => measures.quick.stall_total_s,
            Self::StallLong => measures.long.stall_total_s,
            Self::Preemptions => return measures.preemptions_per_1000,
            Self::QuickGapP99 => measures.quick.gap_p99_ms,
            Self::QuickGapP999 => measures.quick.gap_p999_ms,
            Self::LongGapP99 => measures.long.gap_p99_ms,
            Self::QuickFirstP99 => measures.quick.first_token_p99_ms,
            Self::LongCompletionP99 => measures.long.completion_p99_s,
            Self::Goodput => measures.goodput_tokens_per_s,
            Self::Refusals => measures.refused() as f64 * 1e3 / requests,
        })
    }

    /// Whether less is better.
    pub fn is_cost(self) -> bool {
        self != Self::Goodput
    }
}
