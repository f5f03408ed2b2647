use std::cmp::Reverse;

use base::{CoreShare, DomainName, NodeName, rank_score};

/// A node that can place generations for its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeskCandidate {
    /// The node.
    pub node: NodeName,
    /// Its share of a processor.
    pub capacity: CoreShare,
}

/// Orders the nodes of a failure domain, each with what belongs to it, by their claim to place its generations, best first.
///
/// Nodes with more processor go first, since the desk hears of each generation of its domain. All
/// nodes with the same view agree; while views differ, two desks place at once, which costs
/// efficiency only.
///
/// ```
/// use entry::{DeskCandidate, rank_desks};
/// let candidate = |node: &str, capacity| DeskCandidate {
///     node: node.parse().unwrap(),
///     capacity: base::CoreShare(capacity),
/// };
/// let mut desks = vec![(candidate("n1", 120), "first"), (candidate("n2", 500), "second")];
/// rank_desks(&"patan".parse().unwrap(), &mut desks);
/// assert_eq!(desks[0].1, "second");
/// ```
pub fn rank_desks<T>(domain: &DomainName, candidates: &mut [(DeskCandidate, T)]) {
    candidates.sort_by_cached_key(|(one, _)| {
        let score = rank_score(domain.as_str(), one.node.as_str());
        (Reverse((one.capacity, score)), one.node.clone())
    });
}
