use base::{ClockTime, NodeName};

/// Why a node is probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbePurpose {
    /// To learn whether it is alive.
    Own,
    /// To find a dead or unknown node again; a failure means nothing.
    Reconnect,
    /// For a peer that gets no answer itself.
    Relay {
        origin: NodeName,
        origin_sequence: u64,
    },
}

/// How far an own probe got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// Sent by this node.
    Direct,
    /// Sent by peers as well.
    Indirect,
}

/// A probe without an answer yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingProbe {
    pub(crate) sequence: u64,
    pub(crate) node: NodeName,
    pub(crate) purpose: ProbePurpose,
    pub(crate) stage: ProbeStage,
    pub(crate) deadline: ClockTime,
    /// Peers that were asked and have not told their result.
    pub(crate) missing_results: u32,
}
