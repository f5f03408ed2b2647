use std::sync::Arc;
use std::time::Duration;

use base::TargetName;
use tokio::time::sleep;

use super::RelayParts;
use crate::RouteCandidates;

/// Time after which the view is read again while a call waits for its first token.
const LEAVE_CHECK: Duration = Duration::from_millis(500);

/// Finds out that the target of a call that may be moved is about to be taken away.
pub struct LeaveWatch {
    parts: Arc<RelayParts>,
    target: TargetName,
    route: Arc<RouteCandidates>,
}

impl LeaveWatch {
    /// Creates the watch of a call at `target` that any other candidate of `route` could run.
    pub fn new(parts: Arc<RelayParts>, target: TargetName, route: Arc<RouteCandidates>) -> Self {
        Self {
            parts,
            target,
            route,
        }
    }

    /// Tells whether the target is leaving and another one could run the call.
    pub fn is_reclaimed(&self) -> bool {
        if !self.parts.is_leaving(&self.target) {
            return false;
        }
        let mut others = self.route.candidates.iter();
        others.any(|other| *other != self.target && self.parts.may_send(other))
    }

    /// Waits until the target is leaving and another one could run the call.
    pub async fn reclaimed(&self) {
        while !self.is_reclaimed() {
            sleep(LEAVE_CHECK).await;
        }
    }
}
