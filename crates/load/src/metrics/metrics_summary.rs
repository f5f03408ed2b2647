use std::collections::BTreeMap;

use serde::Serialize;
use smol_str::SmolStr;

/// Metrics of the quick or of the long calls.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassSummary {
    /// Calls that arrived.
    pub requests: u64,
    /// Calls whose complete answer arrived.
    pub complete: u64,
    /// Sum of the stall times in seconds.
    pub stall_total_s: f64,
    /// Mean stall time of a call that was not refused, in milliseconds.
    pub stall_mean_ms: f64,
    /// 95th percentile of the stall time in milliseconds.
    pub stall_p95_ms: f64,
    /// 99th percentile of the stall time in milliseconds.
    pub stall_p99_ms: f64,
    /// Median time to first token in milliseconds.
    pub first_token_p50_ms: f64,
    /// 99th percentile of the time to first token in milliseconds.
    pub first_token_p99_ms: f64,
    /// Median gap between tokens in milliseconds.
    pub gap_p50_ms: f64,
    /// 99th percentile of the gap between tokens in milliseconds.
    pub gap_p99_ms: f64,
    /// 99.9th percentile of the gap between tokens in milliseconds.
    pub gap_p999_ms: f64,
    /// Median time to the complete answer in seconds.
    pub completion_p50_s: f64,
    /// 99th percentile of the time to the complete answer in seconds.
    pub completion_p99_s: f64,
}

/// What the decisions of the policies cost; elapsed times vary from run to run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CostSummary {
    /// Requests dispatched.
    pub dispatches: u64,
    /// Ignored actions that the policy interface forbids, such as a dispatch to an unknown target.
    pub illegal_actions: u64,
    /// Median elapsed time of `submit` with its actions, in nanoseconds.
    pub submit_p50_ns: u64,
    /// 99th percentile of the elapsed time of `submit` with its actions, in nanoseconds.
    pub submit_p99_ns: u64,
    /// Elapsed time of all methods of the policy for each dispatch, in nanoseconds.
    pub policy_ns_per_dispatch: f64,
    /// Bytes of digests that a node sends each second, on average.
    pub digest_bytes_per_s: f64,
    /// Bytes of probes and their answers for a node each second, on average.
    pub probe_bytes_per_s: f64,
}

/// Metrics of one trial or of one run over HTTP.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MetricsSummary {
    /// Sum of the stall times of all calls in seconds.
    pub stall_total_s: f64,
    /// Calls with at most 64 output tokens.
    pub quick: ClassSummary,
    /// All other calls.
    pub long: ClassSummary,
    /// Tokens of complete answers each second.
    pub goodput_tokens_per_s: f64,
    /// Calls refused before they ran, by kind of error.
    pub refusals: BTreeMap<SmolStr, u64>,
    /// Calls that failed after they were sent, by kind of error.
    pub failures: BTreeMap<SmolStr, u64>,
    /// Calls still open at the end of the run.
    pub unfinished: u64,
    /// Preemptions for each thousand requests; `None` if no engine counted them.
    pub preemptions_per_1000: Option<f64>,
    /// Tokens computed again after preemptions.
    pub recomputed_tokens: Option<u64>,
    /// Share of the tokens processed by engines that were recomputed or belong to no complete
    /// answer.
    pub wasted_share: Option<f64>,
    /// Cost of the decisions; `None` over HTTP.
    pub cost: Option<CostSummary>,
}

impl MetricsSummary {
    /// Number of refused calls of all error kinds.
    pub fn refused(&self) -> u64 {
        self.refusals.values().sum()
    }

    /// Number of failed calls of all error kinds.
    pub fn failed(&self) -> u64 {
        self.failures.values().sum()
    }
}
