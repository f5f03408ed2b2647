use std::time::Duration;

use hdrhistogram::Histogram;
use sched::PeerDigest;

use crate::CostSummary;

/// Largest processor time that is told apart, in nanoseconds.
const TOP_NANOS: u64 = 1_000_000_000;
/// Length of a probe or of its answer: target, four counters and framing.
pub const PROBE_BYTES: u64 = 64;
/// Fixed part of a digest: sequence number and framing.
const DIGEST_BASE: usize = 16;
/// Counters of one target in a digest.
const DIGEST_COUNTERS: usize = 12;

/// Counts what decisions cost. Nothing in a trial depends on these figures.
#[derive(Clone, Debug)]
pub struct CostBook {
    submits: Histogram<u64>,
    nanos: u128,
    /// Requests dispatched.
    pub dispatches: u64,
    /// Actions that were ignored.
    pub illegal: u64,
    /// Bytes of digests, once for each receiver.
    pub digest_bytes: u64,
    /// Bytes of probes and answers.
    pub probe_bytes: u64,
}

impl CostBook {
    /// Creates an empty book.
    pub fn new() -> Self {
        // The bounds are constants that the library accepts.
        let submits = Histogram::new_with_bounds(1, TOP_NANOS, 3).expect("valid bounds");
        Self {
            submits,
            nanos: 0,
            dispatches: 0,
            illegal: 0,
            digest_bytes: 0,
            probe_bytes: 0,
        }
    }

    /// Notes the processor time of one call of a policy.
    pub fn add_call(&mut self, spent: Duration, submit: bool) {
        self.nanos += spent.as_nanos();
        if submit {
            self.submits.saturating_record(spent.as_nanos() as u64);
        }
    }

    /// Sums up over `seconds` and `nodes`.
    pub fn summary(&self, seconds: f64, nodes: usize) -> CostSummary {
        let spread = seconds.max(1e-9) * nodes as f64;
        CostSummary {
            dispatches: self.dispatches,
            illegal_actions: self.illegal,
            submit_p50_ns: self.submits.value_at_quantile(0.5),
            submit_p99_ns: self.submits.value_at_quantile(0.99),
            policy_ns_per_dispatch: self.nanos as f64 / self.dispatches.max(1) as f64,
            digest_bytes_per_s: self.digest_bytes as f64 / spread,
            probe_bytes_per_s: self.probe_bytes as f64 / spread,
        }
    }
}

/// Length of a digest as MessagePack would take it, without authentication.
pub fn digest_bytes(digest: &PeerDigest) -> u64 {
    let entry = |target: &sched::TargetDigest| target.target.as_str().len() + DIGEST_COUNTERS;
    let entries: usize = digest.targets.iter().map(entry).sum();
    (DIGEST_BASE + digest.node.as_str().len() + entries) as u64
}
