use base::{ClockTime, NodeName, RevisionNumber};

/// What a board knows of the nodes of its domain, and since when.
#[derive(Clone, Debug, Default)]
pub struct BoardView {
    /// Live nodes of the domain, this one included, sorted.
    pub live: Vec<NodeName>,
    /// When the list of live nodes was last confirmed.
    pub listed_at: Option<ClockTime>,
    /// When a peer last mentioned its revision.
    pub heard_at: Option<ClockTime>,
    /// Highest revision mentioned anywhere.
    pub highest: RevisionNumber,
    /// Start of the process or end of its last pause.
    pub resumed_at: ClockTime,
}

impl BoardView {
    /// Tells whether the list of live nodes and the revision of a peer are newer than the last
    /// pause; a node that is alone hears of no peer.
    pub fn is_fresh(&self) -> bool {
        let after = |at: Option<ClockTime>| at.is_some_and(|at| at >= self.resumed_at);
        after(self.listed_at) && (self.live.len() < 2 || after(self.heard_at))
    }
}
