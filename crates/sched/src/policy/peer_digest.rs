use base::{NodeName, TargetName};

/// What one node has in flight on one target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetDigest {
    /// Target that the figures are about.
    pub target: TargetName,
    /// Requests that the node has sent there and not seen finished.
    pub in_flight: u32,
    /// Tokens that these requests hold in the engine's memory now.
    pub held_tokens: u32,
    /// Tokens that these requests are predicted to hold at their peak.
    pub peak_tokens: u32,
}

/// Work in flight of one node, published to the peers of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerDigest {
    /// Node that publishes the digest.
    pub node: NodeName,
    /// Rises with every digest of one node.
    pub sequence: u64,
    /// Targets on which the node has work, sorted by name.
    pub targets: Vec<TargetDigest>,
}
