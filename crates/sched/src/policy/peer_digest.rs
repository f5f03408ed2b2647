use base::{NodeName, TargetName};

/// Summary of the requests that one node has in flight on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetDigest {
    /// Target that the summary is about.
    pub target: TargetName,
    /// Requests that the node dispatched to the target and that have not finished.
    pub in_flight: u32,
    /// Tokens that these requests hold in the engine's memory now.
    pub held_tokens: u32,
    /// Tokens that these requests are predicted to hold at their peak.
    pub peak_tokens: u32,
}

/// Summary of the requests in flight of one node, published to its peers in the failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerDigest {
    /// Node that publishes the digest.
    pub node: NodeName,
    /// Sequence number, higher with every digest of the node; orders its digests.
    pub sequence: u64,
    /// Targets on which the node has work, sorted by name.
    pub targets: Vec<TargetDigest>,
}
