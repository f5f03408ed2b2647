use std::ops::{AddAssign, SubAssign};

use base::{ClockTime, DomainName, NodeName, TargetName, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::OutputEstimate;

/// Prompt tokens that an engine prefills per millisecond while it also decodes.
///
/// Source: 14 tokens/ms when it only prefills, in chunks that alternate with decode steps of about
/// the same length.
const PREFILL_TOKENS_PER_MS: u64 = 7;

/// Time that a busy engine takes to prefill a prompt of `tokens` tokens.
///
/// ```
/// assert_eq!(entry::prefill_time(3_500).as_millis(), 500);
/// ```
pub fn prefill_time(tokens: u64) -> TimeSpan {
    TimeSpan::new(tokens / PREFILL_TOKENS_PER_MS)
}

/// Load that one or more calls put on one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Calls that were sent and have not ended.
    pub calls: u32,
    /// Tokens that these calls are expected to hold in the engine's memory.
    pub tokens: u64,
    /// Prompt tokens of calls that have produced no output yet.
    pub prefill: u64,
    /// Tokens of generations whose memory is being copied to the target.
    pub incoming: u64,
}

impl TargetLoad {
    /// Whether it takes memory or compute time of an engine.
    pub fn is_on_engine(&self) -> bool {
        self.tokens > 0 || self.prefill > 0 || self.incoming > 0
    }

    /// Work of a call that has not begun: its prompt tokens plus its expected output tokens.
    pub fn work(&self) -> u64 {
        let held = self.tokens.saturating_sub(self.prefill);
        self.prefill + OutputEstimate::output_of_held(held)
    }

    /// Whether no calls are left.
    pub fn is_empty(&self) -> bool {
        self.calls == 0
    }
}

impl AddAssign for TargetLoad {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.tokens += other.tokens;
        self.prefill += other.prefill;
        self.incoming += other.incoming;
    }
}

impl SubAssign for TargetLoad {
    fn sub_assign(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill = self.prefill.saturating_sub(other.prefill);
        self.incoming = self.incoming.saturating_sub(other.incoming);
    }
}

/// The nodes whose calls a load report from a peer covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadOrigin {
    /// One node of the own failure domain.
    Node(NodeName),
    /// Another failure domain, which reports the load on its own engines.
    Domain(DomainName),
    /// One node of another failure domain.
    RemoteNode(DomainName, NodeName),
}

/// Load report from a peer: the load that the calls of one origin put on targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerLoads {
    /// Whose calls the report covers.
    pub origin: LoadOrigin,
    /// When this node received the report.
    pub received_at: ClockTime,
    /// When the report was sent, by the clock of the sending node; orders the reports of one node.
    pub sent_at: ClockTime,
    /// Load on each target, sorted by target.
    pub loads: Vec<(TargetName, TargetLoad)>,
}
