use base::NodeName;
use fleet::{RevisionStamp, RevisionView};

/// One node with its view and what was recorded about it.
pub struct FakeNode {
    pub name: NodeName,
    pub domain: usize,
    /// `None` while the VM is down.
    pub view: Option<RevisionView>,
    pub incarnation: u32,
    pub paused_until: u64,
    pub is_reader: bool,
    /// Time and revision of each acceptance, over all incarnations.
    pub accepted: Vec<(u64, RevisionStamp)>,
    /// The incarnation of each acceptance.
    pub accepted_in: Vec<u32>,
    /// Time and revision in effect when the node became ready, for each incarnation.
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
            view: None,
            incarnation: 0,
            paused_until: 0,
            is_reader: false,
            accepted: Vec::new(),
            accepted_in: Vec::new(),
            ready: Vec::new(),
            rejections: 0,
            ignored: 0,
            sent_bytes: 0,
            platform_bytes: 0,
        }
    }

    /// The revision in effect.
    pub fn stamp(&self) -> Option<RevisionStamp> {
        Some(self.view.as_ref()?.accepted()?.stamp)
    }

    /// Whether the node may serve.
    pub fn is_ready(&self) -> bool {
        self.view.as_ref().is_some_and(RevisionView::is_ready)
    }

    /// When the node first had `stamp` or a newer revision at or after `since`.
    pub fn reached(&self, stamp: RevisionStamp, since: u64) -> Option<u64> {
        let reached = self.accepted.iter().find(|(_, known)| *known >= stamp);
        reached.map(|(at, _)| (*at).max(since))
    }

    /// The revisions that each incarnation accepted, in order.
    pub fn runs(&self) -> Vec<Vec<RevisionStamp>> {
        let mut runs = vec![Vec::new(); self.incarnation as usize + 1];
        for ((_, stamp), run) in self.accepted.iter().zip(&self.accepted_in) {
            runs[*run as usize].push(*stamp);
        }
        runs
    }
}
