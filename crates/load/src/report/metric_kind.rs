use strum::{Display, EnumIter, EnumString};

use crate::MetricsSummary;

/// A metric that is compared between policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum MetricKind {
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
    /// 99th percentile of the time to the complete answer of long calls in seconds.
    LongCompletionP99,
    /// Tokens of complete answers each second.
    Goodput,
    /// Refused calls for each thousand requests.
    Refusals,
}

impl MetricKind {
    /// Value of this metric; `None` if it was not measured.
    pub fn value(self, metrics: &MetricsSummary) -> Option<f64> {
        let requests = (metrics.quick.requests + metrics.long.requests).max(1) as f64;
        Some(match self {
            Self::StallTotal => metrics.stall_total_s,
            Self::StallQuick => metrics.quick.stall_total_s,
            Self::StallLong => metrics.long.stall_total_s,
            Self::Preemptions => return metrics.preemptions_per_1000,
            Self::QuickGapP99 => metrics.quick.gap_p99_ms,
            Self::QuickGapP999 => metrics.quick.gap_p999_ms,
            Self::LongGapP99 => metrics.long.gap_p99_ms,
            Self::QuickFirstP99 => metrics.quick.first_token_p99_ms,
            Self::LongCompletionP99 => metrics.long.completion_p99_s,
            Self::Goodput => metrics.goodput_tokens_per_s,
            Self::Refusals => metrics.refused() as f64 * 1e3 / requests,
        })
    }

    /// Whether lower values are better.
    pub fn is_lower_better(self) -> bool {
        self != Self::Goodput
    }
}
