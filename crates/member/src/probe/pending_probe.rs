use base::{ClockTime, NodeName};

/// Why a node is probed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ProbePurpose {
    /// To find out whether it is alive.
    FailureDetection,
    /// To find out whether a dead, suspected or unknown node answers again; a missing answer has no
    /// effect.
    Reconnect,
    /// On behalf of a peer whose own probe was not answered.
    Relay {
        origin: NodeName,
        origin_sequence: u64,
    },
}

/// Whether peers were asked to probe as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProbeStage {
    /// Only this node has probed.
    Direct,
    /// The direct probe timed out; peers were asked to probe, or, without peers, the direct probe
    /// was sent again.
    Indirect,
}

/// A probe that was sent and not answered yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingProbe {
    pub(crate) sequence: u64,
    pub(crate) node: NodeName,
    pub(crate) purpose: ProbePurpose,
    pub(crate) stage: ProbeStage,
    pub(crate) deadline: ClockTime,
    /// Peers that were asked to probe and have not reported a result.
    pub(crate) outstanding_results: u32,
}
