use std::ops::{AddAssign, SubAssign};

use base::{ClockTime, DomainName, NodeName, TargetName, TimeSpan};
use serde::{Deserialize, Serialize};

/// Prompt tokens that an engine reads in a millisecond while it also decodes.
///
/// Source: 14 tokens/ms alone, in chunks that alternate with steps of about the same length.
const PREFILL_RATE: u64 = 7;

/// Time that a busy engine takes to read a prompt of `tokens` tokens.
///
/// ```
/// assert_eq!(entry::reading_time(3_500).as_millis(), 500);
/// ```
pub fn reading_time(tokens: u64) -> TimeSpan {
    TimeSpan::new(tokens / PREFILL_RATE)
}

/// Load that calls put on one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSum {
    /// Calls sent and not ended.
    pub calls: u32,
    /// Tokens that these calls are expected to hold at their end.
    pub tokens: u64,
    /// Prompt tokens of calls that have produced nothing yet.
    pub prefill: u64,
    /// Tokens that are being copied to the target.
    pub incoming: u64,
}

impl LoadSum {
    /// Whether it takes memory or time of an engine.
    pub fn is_on_engine(&self) -> bool {
        self.tokens > 0 || self.prefill > 0 || self.incoming > 0
    }

    /// Whether nothing is left.
    pub fn is_empty(&self) -> bool {
        self.calls == 0
    }
}

impl AddAssign for LoadSum {
    fn add_assign(&mut self, other: Self) {
        self.calls += other.calls;
        self.tokens += other.tokens;
        self.prefill += other.prefill;
        self.incoming += other.incoming;
    }
}

impl SubAssign for LoadSum {
    fn sub_assign(&mut self, other: Self) {
        self.calls = self.calls.saturating_sub(other.calls);
        self.tokens = self.tokens.saturating_sub(other.tokens);
        self.prefill = self.prefill.saturating_sub(other.prefill);
        self.incoming = self.incoming.saturating_sub(other.incoming);
    }
}

/// Whose load a peer tells of.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadOrigin {
    /// One node of the own failure domain.
    Node(NodeName),
    /// Another failure domain, which tells what is on its own engines.
    Domain(DomainName),
    /// One node of another failure domain.
    FarNode(DomainName, NodeName),
}

/// Load that peers put on targets, as one of them said last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerLoads {
    /// Whose load it is.
    pub origin: LoadOrigin,
    /// When this node heard it.
    pub heard_at: ClockTime,
    /// When it was said, on the clock of the node that said it; orders what one node says.
    pub told_at: ClockTime,
    /// Loads, sorted by target.
    pub loads: Vec<(TargetName, LoadSum)>,
}
