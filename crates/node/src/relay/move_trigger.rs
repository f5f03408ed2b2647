use std::sync::Arc;
use std::time::Duration;

use base::TargetName;
use tokio::time::sleep;

use super::RelayContext;
use crate::RouteCandidates;

/// Time between two checks of the node's view while a call waits for its first token.
const VIEW_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Condition under which a call without tokens is moved: its target is leaving, and another
/// candidate can run the call.
pub struct MoveTrigger {
    context: Arc<RelayContext>,
    target: TargetName,
    route: Arc<RouteCandidates>,
}

impl MoveTrigger {
    /// Creates the trigger of a call at `target` that may be moved to any other candidate of
    /// `route`.
    pub fn new(
        context: Arc<RelayContext>,
        target: TargetName,
        route: Arc<RouteCandidates>,
    ) -> Self {
        Self {
            context,
            target,
            route,
        }
    }

    /// Tells whether the target is leaving and another candidate can run the call.
    pub fn is_due(&self) -> bool {
        if !self.context.is_leaving(&self.target) {
            return false;
        }
        let mut others = self.route.candidates.iter();
        others.any(|other| *other != self.target && self.context.may_send(other))
    }

    /// Waits until the target is leaving and another candidate can run the call.
    pub async fn wait(&self) {
        while !self.is_due() {
            sleep(VIEW_CHECK_INTERVAL).await;
        }
    }
}
