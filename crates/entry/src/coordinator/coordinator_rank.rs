use std::cmp::Reverse;

use base::{CoreShare, DomainName, NodeName, rank_score};

/// A node that can be the placement coordinator of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatorCandidate {
    /// The node.
    pub node: NodeName,
    /// Processor share of the node.
    pub capacity: CoreShare,
}

/// Sorts the nodes of a failure domain, each with a payload, by their suitability as its placement
/// coordinator, best first.
///
/// Nodes with a larger processor share go first, since the coordinator handles every generation of
/// its domain; a hash breaks ties. Nodes with the same view compute the same order. While views
/// differ, two nodes may coordinate at the same time, which makes placement less efficient but not
/// wrong.
///
/// ```
/// use entry::{CoordinatorCandidate, rank_coordinators};
/// let candidate = |node: &str, capacity| CoordinatorCandidate {
///     node: node.parse().unwrap(),
///     capacity: base::CoreShare(capacity),
/// };
/// let mut candidates = vec![(candidate("n1", 120), "first"), (candidate("n2", 500), "second")];
/// rank_coordinators(&"patan".parse().unwrap(), &mut candidates);
/// assert_eq!(candidates[0].1, "second");
/// ```
pub fn rank_coordinators<T>(domain: &DomainName, candidates: &mut [(CoordinatorCandidate, T)]) {
    candidates.sort_by_cached_key(|(candidate, _)| {
        let score = rank_score(domain.as_str(), candidate.node.as_str());
        (Reverse((candidate.capacity, score)), candidate.node.clone())
    });
}
