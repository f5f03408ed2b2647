use base::NodeName;
use fleet::{RevisionStamp, RevisionSync};

/// One simulated node with what was recorded about it.
pub struct FakeNode {
    pub name: NodeName,
    pub domain: usize,
    /// `None` while the node is down.
    pub sync: Option<RevisionSync>,
    pub incarnation: u32,
    pub paused_until: u64,
    pub is_reader: bool,
    /// Time and stamp of each accepted revision, over all incarnations.
    pub accepted: Vec<(u64, RevisionStamp)>,
    /// Incarnation that accepted each entry of `accepted`.
    pub accepted_incarnations: Vec<u32>,
    /// Time and revision in effect each time the node became ready, over all incarnations.
    pub ready: Vec<(u64, RevisionStamp)>,
    pub rejections: usize,
    pub ignored: usize,
    pub sent_bytes: u64,
    pub platform_bytes: u64,
}

impl FakeNode {
    pub fn new(name: NodeName, domain: usize) -> Self {
        Self {
            name,
            domain,
            sync: None,
            incarnation: 0,
            paused_until: 0,
            is_reader: false,
            accepted: Vec::new(),
            accepted_incarnations: Vec::new(),
            ready: Vec::new(),
            rejections: 0,
            ignored: 0,
            sent_bytes: 0,
            platform_bytes: 0,
        }
    }

    /// Returns the revision in effect.
    pub fn stamp(&self) -> Option<RevisionStamp> {
        Some(self.sync.as_ref()?.accepted()?.stamp)
    }

    /// Returns whether the node may serve.
    pub fn is_ready(&self) -> bool {
        self.sync.as_ref().is_some_and(RevisionSync::is_ready)
    }

    /// Returns when the node first accepted `stamp` or a newer revision, but at least `since`.
    pub fn reached_at(&self, stamp: RevisionStamp, since: u64) -> Option<u64> {
        let found = self.accepted.iter().find(|(_, known)| *known >= stamp);
        found.map(|(at, _)| (*at).max(since))
    }

    /// Returns the revisions that each incarnation accepted, in order.
    pub fn accepted_by_incarnation(&self) -> Vec<Vec<RevisionStamp>> {
        let mut incarnations = vec![Vec::new(); self.incarnation as usize + 1];
        for ((_, stamp), incarnation) in self.accepted.iter().zip(&self.accepted_incarnations) {
            incarnations[*incarnation as usize].push(*stamp);
        }
        incarnations
    }
}
