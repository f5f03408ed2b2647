use base::{ClockTime, NodeName, TargetName, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::TargetLoad;

/// Time after which a grant that its node did not confirm counts as lost in transit.
const CONFIRM_TIMEOUT: TimeSpan = TimeSpan::from_secs(1);

/// Identifies a grant among those of all placement coordinators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GrantId(pub u64);

/// Capacity of a target that a placement coordinator granted to a call of another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityGrant {
    /// Identifier of the grant.
    pub id: GrantId,
    /// Node that requested it.
    pub node: NodeName,
    /// Target on which the call runs.
    pub target: TargetName,
    /// Load of the call.
    pub load: TargetLoad,
    granted_at: ClockTime,
}

/// Grants of a placement coordinator that their nodes have not confirmed yet.
///
/// Until the node reports the load of the call itself, the coordinator has to count it. After that,
/// the load would be counted twice, so the grant is removed.
///
/// ```
/// use base::ClockTime;
/// use entry::{GrantTracker, TargetLoad};
/// let mut tracker = GrantTracker::new(7);
/// let now = ClockTime::new(1_000);
/// let (node, target) = ("n1".parse().unwrap(), "e1".parse().unwrap());
/// let id = tracker.grant(now, node, target, TargetLoad::default());
/// assert_eq!(tracker.confirm(&[id]).len(), 1);
/// assert!(tracker.confirm(&[id]).is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct GrantTracker {
    next_id: u64,
    grants: Vec<CapacityGrant>,
}

impl GrantTracker {
    /// Creates a tracker without grants. Coordinators have to pass different `first_id`s, as
    /// identifiers are unique among all coordinators.
    pub fn new(first_id: u64) -> Self {
        Self {
            next_id: first_id,
            grants: Vec::new(),
        }
    }

    /// Records a grant and returns its identifier.
    pub fn grant(
        &mut self,
        now: ClockTime,
        node: NodeName,
        target: TargetName,
        load: TargetLoad,
    ) -> GrantId {
        let id = GrantId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        self.grants.push(CapacityGrant {
            id,
            node,
            target,
            load,
            granted_at: now,
        });
        id
    }

    /// Removes and returns grants that their node confirmed or that are no longer wanted.
    pub fn confirm(&mut self, ids: &[GrantId]) -> Vec<CapacityGrant> {
        self.extract(|grant| ids.contains(&grant.id))
    }

    /// Removes and returns the grants that were not confirmed in time.
    pub fn expire(&mut self, now: ClockTime) -> Vec<CapacityGrant> {
        self.extract(|grant| now.since(grant.granted_at) >= CONFIRM_TIMEOUT)
    }

    /// Removes and returns the grants for which `is_over` is true.
    fn extract(&mut self, is_over: impl Fn(&CapacityGrant) -> bool) -> Vec<CapacityGrant> {
        if !self.grants.iter().any(&is_over) {
            return Vec::new();
        }
        let (over, open) = self.grants.drain(..).partition(|grant| is_over(grant));
        self.grants = open;
        over
    }
}
