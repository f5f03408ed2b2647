use base::{ClockTime, NodeName, RevisionNumber};

/// What a reconciler knows of the nodes of its domain and their revisions, and since when.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// Live nodes of the domain, this one included, sorted.
    pub live: Vec<NodeName>,
    /// When the list of live nodes was last confirmed.
    pub listed_at: Option<ClockTime>,
    /// When a peer last reported its revision.
    pub heard_at: Option<ClockTime>,
    /// Highest revision reported by any peer or target.
    pub highest: RevisionNumber,
    /// When the process started or its last pause ended.
    pub resumed_at: ClockTime,
}

impl MembershipView {
    /// Tells whether the list of live nodes and the revision of some peer were received after the
    /// last pause. A node that is alone in its domain needs no peer's revision.
    pub fn is_fresh(&self) -> bool {
        let after = |at: Option<ClockTime>| at.is_some_and(|at| at >= self.resumed_at);
        after(self.listed_at) && (self.live.len() < 2 || after(self.heard_at))
    }
}
