use std::time::Duration;

use hdrhistogram::Histogram;
use sched::PeerDigest;

use crate::CostSummary;

/// Upper bound of the elapsed time histogram in nanoseconds; longer times count as this one.
const MAX_NANOS: u64 = 1_000_000_000;
/// Assumed bytes of a probe or of its answer: target, four counters and framing.
pub const PROBE_BYTES: u64 = 64;
/// Assumed bytes of the fixed part of a digest: sequence number and framing.
const DIGEST_HEADER_BYTES: usize = 16;
/// Assumed bytes of the counters of one target in a digest.
const DIGEST_COUNTER_BYTES: usize = 12;

/// Records what the decisions of the policies cost in elapsed time and messages. The
/// simulation itself doesn't depend on these figures.
#[derive(Clone, Debug)]
pub struct CostRecorder {
    submit_times: Histogram<u64>,
    total_nanos: u128,
    /// Requests dispatched.
    pub dispatches: u64,
    /// Actions that were ignored because the policy interface forbids them.
    pub illegal: u64,
    /// Bytes of digests, counted once for each receiver.
    pub digest_bytes: u64,
    /// Bytes of probes and answers.
    pub probe_bytes: u64,
}

impl CostRecorder {
    /// Creates an empty recorder.
    pub fn new() -> Self {
        // The bounds are constants that the library accepts.
        let submit_times = Histogram::new_with_bounds(1, MAX_NANOS, 3).expect("valid bounds");
        Self {
            submit_times,
            total_nanos: 0,
            dispatches: 0,
            illegal: 0,
            digest_bytes: 0,
            probe_bytes: 0,
        }
    }

    /// Records the elapsed time of one call of a policy's method; `submit` tells whether it
    /// was `RoutePolicy::submit`.
    pub fn record_policy_call(&mut self, spent: Duration, submit: bool) {
        self.total_nanos += spent.as_nanos();
        if submit {
            self.submit_times.saturating_record(spent.as_nanos() as u64);
        }
    }

    /// Computes the cost; byte rates are means for each node and second.
    pub fn summary(&self, seconds: f64, nodes: usize) -> CostSummary {
        let node_seconds = seconds.max(1e-9) * nodes as f64;
        CostSummary {
            dispatches: self.dispatches,
            illegal_actions: self.illegal,
            submit_p50_ns: self.submit_times.value_at_quantile(0.5),
            submit_p99_ns: self.submit_times.value_at_quantile(0.99),
            policy_ns_per_dispatch: self.total_nanos as f64 / self.dispatches.max(1) as f64,
            digest_bytes_per_s: self.digest_bytes as f64 / node_seconds,
            probe_bytes_per_s: self.probe_bytes as f64 / node_seconds,
        }
    }
}

/// Estimated bytes of a digest encoded as MessagePack, without authentication.
pub fn digest_bytes(digest: &PeerDigest) -> u64 {
    let entry = |target: &sched::TargetDigest| target.target.as_str().len() + DIGEST_COUNTER_BYTES;
    let entries: usize = digest.targets.iter().map(entry).sum();
    (DIGEST_HEADER_BYTES + digest.node.as_str().len() + entries) as u64
}
