use base::{ClockTime, NodeName, TargetName, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::TargetLoad;

/// Time after which a grant that its node did not confirm counts as lost on the way.
const CONFIRM_WAIT: TimeSpan = TimeSpan::from_secs(1);

/// Identifies a grant among those of all desks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// Room on a target that a desk gave to a call of another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomGrant {
    /// Its identifier.
    pub id: GrantId,
    /// Node that asked.
    pub node: NodeName,
    /// The target.
    pub target: TargetName,
    /// Load of the call.
    pub load: TargetLoad,
    granted_at: ClockTime,
}

/// Grants of a desk that their nodes have not confirmed yet.
///
/// From the grant to the word of the node that it has the load, the desk itself has to count it;
/// afterwards it would count twice.
///
/// ```
/// use base::ClockTime;
/// use entry::{GrantLedger, TargetLoad};
/// let mut ledger = GrantLedger::new(7);
/// let now = ClockTime::new(1_000);
/// let (node, target) = ("n1".parse().unwrap(), "e1".parse().unwrap());
/// let id = ledger.grant(now, node, target, TargetLoad::default());
/// assert_eq!(ledger.confirm(&[id]).len(), 1);
/// assert!(ledger.confirm(&[id]).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct GrantLedger {
    next: u64,
    grants: Vec<RoomGrant>,
}

impl GrantLedger {
    /// Creates an empty ledger; `first` has to differ between desks.
    pub fn new(first: u64) -> Self {
        Self {
            next: first,
            grants: Vec::new(),
        }
    }

    /// Notes a grant.
    pub fn grant(
        &mut self,
        now: ClockTime,
        node: NodeName,
        target: TargetName,
        load: TargetLoad,
    ) -> GrantId {
        let id = GrantId(self.next);
        self.next = self.next.wrapping_add(1);
        self.grants.push(RoomGrant {
            id,
            node,
            target,
            load,
            granted_at: now,
        });
        id
    }

    /// Takes out the grants that a node has taken over, or that nobody wants any more.
    pub fn confirm(&mut self, ids: &[GrantId]) -> Vec<RoomGrant> {
        self.take_out(|grant| ids.contains(&grant.id))
    }

    /// Takes out the grants that were not confirmed in time.
    pub fn expire(&mut self, now: ClockTime) -> Vec<RoomGrant> {
        self.take_out(|grant| now.since(grant.granted_at) >= CONFIRM_WAIT)
    }

    fn take_out(&mut self, is_over: impl Fn(&RoomGrant) -> bool) -> Vec<RoomGrant> {
        if !self.grants.iter().any(&is_over) {
            return Vec::new();
        }
        let (over, open) = self.grants.drain(..).partition(|grant| is_over(grant));
        self.grants = open;
        over
    }
}
